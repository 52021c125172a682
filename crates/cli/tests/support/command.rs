//! Runs the command with a text as its input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// The output of the command with these arguments.
pub fn run(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ebonyloft"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command");
    child.stdin.take().expect("its input").write_all(input.as_bytes()).expect("input that is read");
    child.wait_with_output().expect("its end")
}
