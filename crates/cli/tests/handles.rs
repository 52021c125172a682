//! `ebonyloft handles`: checks in logs that handles and reservations belong to one request each.

#[path = "support/command.rs"]
mod command;

use std::process::Output;

const LOG: &str = r#"
  9.10 front-a {"timestamp":"2026-07-06T12:57:55.1Z","message":"placed","id":"a","server":"i-2@7","hold":"h1"}
{"timestamp":"2026-07-06T12:57:55.2Z","message":"prefill ended","id":"a","server":"i-1@5","handle":"p1","named":"a"}
{"timestamp":"2026-07-06T12:57:55.3Z","message":"run sent","id":"a","server":"i-2@7","hold":"h1","handle":"p1","source":"i-1@5"}
not JSON, but it has a "handle"
"#;

fn handles(input: &str) -> Output {
    command::run(&["handles"], input)
}

#[test]
fn logs_without_a_violation_are_summed_up() {
    let output = handles(LOG);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(text, "2 received, 2 named by runs, 0 unaccounted for, 0 violations\n");
}

#[test]
fn a_handle_of_another_request_is_printed_and_fails_the_command() {
    let log = format!(
        "{LOG}{}",
        r#"{"message":"run sent","id":"b","server":"i-3@8","handle":"p1","source":"i-1@5"}"#
    );
    let output = handles(&log);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "the handle p1 of i-1@5 was named by the requests a and b");
    assert_eq!(lines[1], "the handle p1 of i-1@5 was named by b, received by a");
    assert_eq!(lines[2], "2 received, 2 named by runs, 0 unaccounted for, 2 violations");
}

#[test]
fn logs_without_handles_are_refused() {
    assert_eq!(handles("{\"message\":\"sent\",\"id\":\"a\"}\n").status.code(), Some(2));
}
