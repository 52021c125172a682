//! The check that memory at engines belongs to one request, over lines of logs.

use ebonyloft_core::handle_audit::{AuditReport, HandleAudit};

fn audit(log: &str) -> AuditReport {
    let mut audit = HandleAudit::default();
    log.lines().for_each(|line| audit.add_text(line));
    audit.report()
}

const OWN: &str = r#"
  9.10 front-a {"message":"placed","id":"a","server":"i-2@7","hold":"h1"}
{"message":"prefill ended","id":"a","server":"i-1@5","addr":"127.0.0.1:1","handle":"p1","named":"a"}
{"message":"run sent","id":"a","server":"i-2@7","hold":"h1","handle":"p1","source":"i-1@5","addr":"127.0.0.1:1"}
{"message":"prefill ended","id":"b","server":"i-1@5","addr":"127.0.0.1:1","handle":"p2","named":"b"}
{"message":"handle dropped","id":"b","server":"i-1@5","addr":"127.0.0.1:1","handle":"p2"}
not JSON
{"message":"prefill ended","id":"c","server":"i-1@5","fate":"Lost"}
"#;

#[test]
fn memory_of_one_request_each_breaks_no_rule() {
    let report = audit(OWN);
    assert_eq!(report, AuditReport { received: 3, named: 2, ..AuditReport::default() });
}

/// Guards against a check that misses a handle read from the answer to another request.
#[test]
fn a_handle_that_two_requests_received_and_named_is_found() {
    let log = format!(
        "{OWN}{}",
        r#"
{"message":"prefill ended","id":"d","server":"i-1@5","addr":"127.0.0.1:1","handle":"p1"}
{"message":"run sent","id":"d","server":"i-3@8","handle":"p1","source":"i-1@5","addr":"127.0.0.1:1"}
"#
    );
    let expected = [
        "the handle p1 of i-1@5 was received by the requests a and d",
        "the handle p1 of i-1@5 was named by the requests a and d",
    ];
    assert_eq!(audit(&log).violations, expected);
}

#[test]
fn an_answer_to_another_request_is_found_without_the_owners_lines() {
    let log = r#"{"message":"prefill ended","id":"d","server":"i-1@5","handle":"p1","named":"a"}"#;
    let expected = ["the handle p1 of i-1@5 was received by d in an answer to a"];
    assert_eq!(audit(log).violations, expected);
}

#[test]
fn a_run_that_names_or_releases_what_another_request_received_is_found() {
    let log = r#"
{"message":"run sent","id":"d","server":"i-3@8","handle":"p1","source":"i-1@5","addr":"127.0.0.1:1"}
{"message":"prefill ended","id":"a","server":"i-1@5","addr":"127.0.0.1:1","handle":"p1","named":"a"}
{"message":"prefill ended","id":"b","server":"i-1@5","addr":"127.0.0.1:1","handle":"p2","named":"b"}
{"message":"handle dropped","id":"d","server":"i-1@5","addr":"127.0.0.1:1","handle":"p2"}
"#;
    let expected = [
        "the handle p1 of i-1@5 was named by d, received by a",
        "the handle p2 of i-1@5 was released by d, received by b",
    ];
    assert_eq!(audit(log).violations, expected);
}

#[test]
fn handles_of_two_incarnations_may_have_one_name() {
    let log = r#"
{"message":"prefill ended","id":"a","server":"i-1@5","addr":"127.0.0.1:1","handle":"p1","named":"a"}
{"message":"prefill ended","id":"b","server":"i-1@6","addr":"127.0.0.1:1","handle":"p1","named":"b"}
{"message":"run sent","id":"b","server":"i-3@8","handle":"p1","source":"i-1@6","addr":"127.0.0.1:1"}
"#;
    assert_eq!(audit(log), AuditReport { received: 2, named: 1, ..AuditReport::default() });
}

/// Guards against a run that continues from another one's copy, and against a false alarm where engines
/// name copies by their targets.
#[test]
fn copies_of_runs_belong_to_their_runs() {
    let log = r#"
{"message":"run copied","id":"a","server":"i-2@7","holder":"i-3@8","handle":"c1"}
{"message":"run stopped for migration","id":"a","server":"i-2@7","holder":"i-3@8","handle":"c1"}
{"message":"run copied","id":"b","server":"i-2@7","holder":"i-4@9","handle":"c1"}
{"message":"run stopped for migration","id":"c","server":"i-2@7","holder":"i-2@7","handle":"c2"}
{"message":"run sent","id":"a","server":"i-3@8","handle":"c1","source":"i-2@7","copy":true}
{"message":"run sent","id":"c","server":"i-2@7","handle":"c2","source":"i-2@7","copy":true}
"#;
    assert_eq!(audit(log), AuditReport { received: 3, named: 2, ..AuditReport::default() });
    let foreign = r#"{"message":"run sent","id":"d","server":"i-4@9","handle":"c1","source":"i-2@7","copy":true}"#;
    let report = audit(&format!("{log}{foreign}"));
    let expected = ["the handle c1 of i-2@7 for a copy at i-4@9 was named by d, received by b"];
    assert_eq!(report.violations, expected);
}

#[test]
fn a_reservation_belongs_to_one_request() {
    let log = r#"
{"message":"placed","id":"a","server":"i-2@7","hold":"h1"}
{"message":"reservation in another zone requested","id":"b","server":"i-2@7","hold":"h1"}
{"message":"run sent","id":"b","server":"i-2@7","hold":"h1"}
"#;
    let expected = ["the reservation h1 of i-2@7 was received by the requests a and b"];
    assert_eq!(audit(log).violations, expected);
}

#[test]
fn memory_without_a_receipt_is_counted_and_not_judged() {
    let log = r#"
{"message":"run sent","id":"a","server":"i-2@7","hold":"h1","handle":"p1","source":"i-1@5"}
{"message":"run sent","id":"-","server":"i-2@7","hold":"h2","handle":"p2","source":"i-1@5"}
"#;
    assert_eq!(audit(log), AuditReport { named: 2, unaccounted: 2, ..AuditReport::default() });
}

/// Guards against a false alarm about an engine that gave its names again, and against one that hides answers to other
/// requests.
#[test]
fn an_excluded_engine_is_judged_by_the_ids_in_its_answers_only() {
    let log = r#"
{"message":"prefill ended","id":"a","server":"i-1@5","handle":"p1","named":"a"}
{"message":"prefill ended","id":"b","server":"i-1@5","handle":"p1","named":"b"}
{"message":"prefill ended","id":"c","server":"i-1@5","handle":"p2","named":"d"}
{"message":"placed","id":"a","server":"i-12@5","hold":"h1"}
{"message":"placed","id":"b","server":"i-12@5","hold":"h1"}
"#;
    let mut audit = HandleAudit::default();
    log.lines().for_each(|line| audit.add_text(line));
    audit.exclude("i-1");
    let expected = [
        "the handle p2 of i-1@5 was received by c in an answer to d",
        "the reservation h1 of i-12@5 was received by the requests a and b",
    ];
    assert_eq!(audit.report().violations, expected);
}
