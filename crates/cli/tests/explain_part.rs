//! `ebonyloft explain --logs`: why requests with a part of the prompt are refused.

use std::fs;
use std::process::{Command, Output};

const FIRST: &str = r#"{"timestamp":"2026-07-06T12:57:51.1Z","message":"backend server crashed under a request","parts":"11 22","server":"i-7"}
{"timestamp":"2026-07-06T12:57:52.2Z","message":"part of prompts confirmed to crash servers","part":"22","endings":3,"servers":"i-5 i-6 i-7"}
{"timestamp":"2026-07-06T12:57:55.2Z","message":"request refused","id":"e5","parts":"22 44","part":"22","cause":"Quarantined"}
"#;
const SECOND: &str = r#"front-b {"timestamp":"2026-07-06T12:57:50.9Z","message":"part of prompts suspected of crashing servers","part":"22","endings":1}
{"timestamp":"2026-07-06T12:57:56.0Z","message":"request refused","id":"e6","parts":"22","part":"22","cause":"Quarantined"}
{"timestamp":"2026-07-06T12:57:57.0Z","message":"part of prompts cleared of crashing servers","part":"11"}
"#;

fn explain(test: &str, part: &str) -> Output {
    let dir = std::env::temp_dir().join(format!("explain-part-{test}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    let files = [dir.join("a.log"), dir.join("b.log")];
    fs::write(&files[0], FIRST).expect("a file");
    fs::write(&files[1], SECOND).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_ebonyloft"))
        .args(["explain", "--logs"])
        .args(&files)
        .arg(part)
        .output();
    fs::remove_dir_all(&dir).expect("the folder");
    output.expect("the command")
}

/// Guards against lines of one gateway that are taken for all there is.
#[test]
fn a_confirmed_part_is_explained_from_the_logs_of_all_gateways() {
    let output = explain("confirmed", "part=22");
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}{}", String::from_utf8_lossy(&output.stderr));
    assert!(lines[0].contains("suspected") && lines[1].contains("server=i-7"));
    let end = "Part 22: confirmed at 2026-07-06T12:57:52.2Z after 3 crashes: i-5 i-6 i-7; \
               2 requests were refused for it, the last at 2026-07-06T12:57:56.0Z.";
    assert_eq!(lines[3], end);
}

#[test]
fn a_cleared_part_is_explained_as_such() {
    let text = String::from_utf8(explain("cleared", "part=11").stdout).expect("text");
    assert!(
        text.ends_with(
            "Part 11: cleared at 2026-07-06T12:57:57.0Z; no request was refused for it.\n"
        ),
        "{text}"
    );
}

#[test]
fn an_unknown_part_is_an_error() {
    for (part, expected) in [("part=99", "no line about part 99"), ("x=1", "one part=DIGEST")] {
        let output = explain("unknown", part);
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains(expected), "{text}");
    }
}
