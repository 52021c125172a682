//! `ebonyloft trace`: finds out from a request's id what happened to it.

#[path = "support/command.rs"]
mod command;

use std::process::Output;

const LOG: &str = r#"
  9.10 front-a {"timestamp":"2026-07-06T12:57:55.2Z","level":"INFO","message":"request refused","id":"b2","cause":"Overload","verdict":"NotRun"}
{"timestamp":"2026-07-06T12:57:55.1Z","level":"INFO","message":"no place in time","id":"b2","ms":100,"waiting":2}
{"timestamp":"2026-07-06T12:57:55.3Z","level":"INFO","message":"sent","id":"c3","server":"i-1","fate":"Lost","ms":40}
{"timestamp":"2026-07-06T12:57:55.4Z","level":"INFO","message":"request refused","id":"c3","cause":"Lost","verdict":"MayHaveRun"}
not JSON, but it names b2
"#;

fn trace(args: &[&str], input: &str) -> Output {
    command::run(&[&["trace"], args].concat(), input)
}

#[test]
fn a_refused_request_is_explained_with_its_lines_in_order() {
    let output = trace(&["b2"], LOG);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3);
    assert!(lines[0].contains("no place in time") && lines[0].contains("waiting=2"));
    assert!(lines[1].contains("request refused") && lines[1].contains("verdict=NotRun"));
    assert_eq!(lines[2], "Refused: no place would have been free in time. It did not run.");
}

#[test]
fn a_lost_request_is_explained_as_possibly_run() {
    let output = trace(&["c3"], LOG);
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.ends_with("Failed: it was sent and no whole answer came; it may have run.\n"));
}

/// For a quarantined request, the crashes under the same digest are printed too. These lines come from
/// requests of other callers and do not have its id.
#[test]
fn a_quarantined_request_is_printed_with_the_crashes_under_the_same_digest() {
    let log = r#"
{"timestamp":"2026-07-06T12:57:51.1Z","message":"backend server ended under a request","content":"0a1b","server":"i-7"}
{"timestamp":"2026-07-06T12:57:51.2Z","message":"content proved","content":"0a1b","servers":"i-5 i-6 i-7"}
{"timestamp":"2026-07-06T12:57:51.3Z","message":"content proved","content":"ffff","servers":"i-1 i-2 i-3"}
{"timestamp":"2026-07-06T12:57:51.4Z","message":"sent","id":"d4","content":"0a1b","fate":"Lost"}
{"timestamp":"2026-07-06T12:57:55.2Z","message":"request refused","id":"e5","content":"0a1b","cause":"Quarantined"}
"#;
    let text = String::from_utf8(trace(&["e5"], log).stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[0].contains("server=i-7"));
    assert!(lines[1].contains("servers=i-5 i-6 i-7"));
    assert!(lines[2].contains("cause=Quarantined"));
    assert_eq!(lines[3], "Refused: servers ended under the same request. It did not run.");
}

/// Guards against an explanation by the whole request where a part of its prompt is the cause.
#[test]
fn a_request_refused_for_a_part_is_printed_with_the_lines_of_the_part() {
    let log = r#"
{"timestamp":"2026-07-06T12:57:51.1Z","message":"backend server crashed under a request","content":"0a1b","parts":"11 22","server":"i-7"}
{"timestamp":"2026-07-06T12:57:51.2Z","message":"part of prompts confirmed to crash servers","part":"22","servers":"i-5 i-6 i-7"}
{"timestamp":"2026-07-06T12:57:51.3Z","message":"part of prompts confirmed to crash servers","part":"33","servers":"i-1"}
{"timestamp":"2026-07-06T12:57:55.2Z","message":"request refused","id":"e5","content":"ffff","parts":"22 44","part":"22","cause":"Quarantined"}
"#;
    let text = String::from_utf8(trace(&["e5"], log).stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[0].contains("server=i-7") && lines[1].contains("servers=i-5 i-6 i-7"));
    let end = "Refused: servers crashed under the part 22 of its prompt, in other requests. It did not run.";
    assert_eq!(lines[3], end);
}

#[test]
fn an_unknown_request_is_an_error() {
    let output = trace(&["zz"], LOG);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(text.contains("no line of request zz"), "{text}");
}

#[test]
fn a_missing_file_is_named_in_the_error() {
    let output = trace(&["b2", "/nowhere/log"], "");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/log"));
}

#[test]
fn account_refusals_are_explained() {
    for (cause, explanation) in [
        ("Unauthorized", "holds the key"),
        ("Unconfirmed", "may be older"),
        ("OverQuota", "more than its quota"),
        ("QuotaUnknown", "lends its account's quota"),
    ] {
        let line = format!(
            r#"{{"timestamp":"2026-07-06T12:57:55.2Z","message":"request refused","id":"f6","cause":"{cause}"}}"#
        );
        let out = trace(&["f6"], &line);
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(text.contains(explanation), "{cause}: {text}");
    }
}

/// Guards against a trace that does not tell which software version a resumed stream had to go to.
#[test]
fn the_version_of_a_resumed_stream_is_explained() {
    let explained = |fields: &str, cause: &str| {
        let resumed = format!(r#"{{"message":"stream resumed","id":"g7",{fields}}}"#);
        let refused = format!(r#"{{"message":"request refused","id":"g7","cause":"{cause}"}}"#);
        let out = trace(&["g7"], &format!("{resumed}\n{refused}\n"));
        String::from_utf8_lossy(&out.stdout).into_owned()
    };
    let text = explained(
        r#""resumes":"a1","origin":"Software(SoftwareId(7))","version":"v1.1""#,
        "Overload",
    );
    assert!(text.contains("It resumes attempt a1, which version v1.1 began."), "{text}");
    let text = explained(r#""resumes":"a1","origin":"Software(SoftwareId(7))""#, "NoVersion");
    assert!(text.contains("no server of the version that began it is left"), "{text}");
    assert!(text.contains("no server has the software version that began its stream"), "{text}");
    let text = explained(r#""origin":"Unknown""#, "OriginUnknown");
    assert!(text.contains("an attempt that it does not name; no gateway knows"), "{text}");
}

/// The sentences that `trace` prints about handles.
fn handle_sentences(log: &str) -> Vec<String> {
    let text = String::from_utf8(trace(&["a"], log).stdout).expect("text");
    text.lines().filter(|line| line.starts_with("The handle")).map(str::to_owned).collect()
}

const RECEIPT: &str = r#"{"timestamp":"2026-07-06T12:57:55.1Z","message":"prefill ended","id":"a","server":"i-1@5","handle":"p1","conn":4,"carried":2}"#;
const RUN: &str = r#"{"timestamp":"2026-07-06T12:57:55.2Z","message":"run sent","id":"a","server":"i-2@7","handle":"p1","source":"i-1@5"}"#;

#[test]
fn a_handle_that_a_run_used_is_named_with_its_engines() {
    let log = format!(
        "{RUN}\n{RECEIPT}\n{}\n{}\n",
        r#"{"timestamp":"2026-07-06T12:57:55.3Z","message":"first event","id":"a","ms":200}"#,
        r#"{"timestamp":"2026-07-06T12:57:55.9Z","message":"stream ended","id":"a","word":"whole"}"#
    );
    let text = String::from_utf8(trace(&["a"], &log).stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 6, "{text}");
    assert!(lines[0].contains("prefill ended") && lines[0].contains("conn=4"));
    assert!(lines[1].contains("run sent") && lines[1].contains("handle=p1"));
    assert_eq!(lines[4], "The handle p1 of i-1@5 was used by the run at i-2@7.");
    assert_eq!(lines[5], "It was answered completely.");
}

#[test]
fn a_handle_that_no_run_used_is_explained() {
    let rejected = r#"{"timestamp":"2026-07-06T12:57:55.3Z","message":"stream attempt ended","id":"a","accepted":false}"#;
    let dropped = r#"{"timestamp":"2026-07-06T12:57:55.4Z","message":"handle dropped","id":"a","server":"i-1@5","handle":"p1","wasted":"Refused"}"#;
    let of = |lines: &[&str]| handle_sentences(&lines.join("\n"));
    assert_eq!(
        of(&[RECEIPT, RUN, rejected, dropped]),
        [
            "The handle p1 of i-1@5 was named by the run at i-2@7, which was not accepted, and was dropped: Refused."
        ]
    );
    assert_eq!(
        of(&[RECEIPT, dropped]),
        ["The handle p1 of i-1@5 was named by no run, and was dropped: Refused."]
    );
    assert_eq!(
        of(&[RECEIPT, RUN]),
        [
            "The handle p1 of i-1@5 was named by the run at i-2@7; no line tells whether that was accepted; no line tells that it was dropped."
        ]
    );
}
