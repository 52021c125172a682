//! Documents: split and joined, compared, selected; by literal cases and by properties.

use ebonyloft_core::config::check::parse;
use ebonyloft_core::config::diff::diff;
use ebonyloft_core::config::parts::{AuditRecord, Manifest, join, split};
use ebonyloft_core::config::select::Selector;
use ebonyloft_core::config::{AccountRule, Document, Labels};
use ebonyloft_core::ids::{Account, Digest};
use ebonyloft_core::time::Moment;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

fn fixed() -> Config {
    Config {
        cases: 64,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

fn document(accounts: &[(String, String)]) -> Document {
    let mut doc = Document::default();
    for (name, team) in accounts {
        let labels: Labels = [("team".to_owned(), team.clone())].into();
        let rule = AccountRule {
            token: Digest::of(name.as_bytes()),
            labels,
            bound: None,
        };
        doc.accounts.insert(Account(name.clone()), rule);
    }
    doc
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn what_is_split_joins_to_the_same(accounts in proptest::collection::vec(("[a-z]{1,12}", "[a-z]{0,5}"), 0..200)) {
        let doc = document(&accounts);
        let parts = split(&doc);
        let bodies: Vec<&str> = parts.iter().map(|p| p.body.as_str()).collect();
        prop_assert_eq!(join(&bodies), Some(doc));
    }

    #[test]
    fn one_account_changes_one_part(accounts in proptest::collection::vec(("[a-z]{4,12}", "[a-z]{1,5}"), 1..100)) {
        let before = document(&accounts);
        let mut after = before.clone();
        let name = Account(accounts[0].0.clone());
        after.accounts.get_mut(&name).expect("it is there").labels.clear();
        let old: Vec<Digest> = split(&before).iter().map(|p| p.digest).collect();
        let fresh = split(&after).iter().filter(|p| !old.contains(&p.digest)).count();
        prop_assert_eq!(fresh, 1);
        prop_assert_eq!(diff(&before, &after).len(), 1);
    }
}

#[test]
fn a_selector_names_the_label_that_misses() {
    let selector: Selector =
        serde_json::from_str(r#"{"event":"palermo","kind":["a","b"]}"#).expect("a selector");
    let labels: Labels = [("event", "palermo"), ("kind", "c")]
        .into_iter()
        .map(|(k, v)| (k.to_owned(), v.to_owned()))
        .collect();
    assert_eq!(selector.first_miss(&labels), Some("kind"));
    assert!(Selector::default().matches(&labels));
}

#[test]
fn parse_names_line_and_column() {
    let faults = parse("{\n  \"pools\": 1\n}").expect_err("not a document");
    assert_eq!(faults[0].path, "line 2 column 12");
}

#[test]
fn the_audit_trail_is_bounded_and_finds_a_change() {
    let mut manifest = Manifest::default();
    for i in 0..600 {
        let record = AuditRecord {
            from: 0,
            to: 0,
            who: "ops".into(),
            what: String::new(),
            at: Moment(i),
            change: format!("c-{i}"),
        };
        manifest = manifest.next(Vec::new(), record);
    }
    assert_eq!((manifest.revision, manifest.audit.len()), (600, 500));
    assert_eq!(
        manifest.accepted("c-599").map(|r| (r.from, r.to)),
        Some((599, 600))
    );
    assert_eq!(manifest.accepted("c-1"), None);
}
