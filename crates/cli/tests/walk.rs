//! The walk of docs/OPERATING.md, with the command line as operators use it.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use ebonyloft_standins::client::{Call, Client, Outcome};
use ebonyloft_standins::site::{CALLER_TOKEN, FIRST_TOKEN, OPERATOR_TOKEN, Site, SiteSpec};

/// Runs the command line against the first entry.
struct Walk {
    admin: String,
    dir: PathBuf,
}

impl Walk {
    fn new(site: &Site, name: &str) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).expect("directory");
        Walk {
            admin: site.admin(0).to_string(),
            dir,
        }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("file");
        path.display().to_string()
    }

    fn run(&self, token: &str, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_ebonyloft"))
            .args(args)
            .env("EBONYLOFT_ADMIN", &self.admin)
            .env("EBONYLOFT_TOKEN", token)
            .output()
            .expect("the command runs")
    }

    fn ok(&self, args: &[&str]) -> String {
        let out = self.run(OPERATOR_TOKEN, args);
        let err = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(out.status.success(), "{args:?}: {err}");
        String::from_utf8(out.stdout).expect("text")
    }

    fn fails(&self, token: &str, args: &[&str], code: i32) -> String {
        let out = self.run(token, args);
        assert_eq!(out.status.code(), Some(code), "{args:?}: {out:?}");
        String::from_utf8(out.stderr).expect("text")
    }
}

fn wait_for(walk: &Walk, token: &str, args: &[&str], word: &str) {
    for _ in 0..100 {
        let out = walk.run(token, args);
        if String::from_utf8_lossy(&out.stdout).contains(word) {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("{args:?} never said `{word}`");
}

#[test]
fn from_an_empty_platform_to_a_drain_and_an_audit_listing() {
    let site = Site::start(SiteSpec {
        plain: 2,
        ..SiteSpec::default()
    });
    let walk = Walk::new(&site, "walk");
    let first = walk.file("first.json", &site.document().to_string());

    // Nothing is in force: the first token applies the first document.
    wait_for(&walk, FIRST_TOKEN, &["config", "show"], "pools");
    let out = walk.run(
        FIRST_TOKEN,
        &["config", "apply", &first, "--why", "opening"],
    );
    assert_eq!(
        String::from_utf8_lossy(&out.stdout),
        "accepted as revision 1\n"
    );

    // A routed request.
    wait_for(&walk, OPERATOR_TOKEN, &["members"], "gate-1");
    let runtime = ebonyloft_standins::runtime();
    let send = |subject: &str| {
        let call = Call::plain(
            CALLER_TOKEN,
            &ebonyloft_standins::new_key(),
            "badge-check",
            "gate",
            subject,
        );
        runtime.block_on(Client::default().send(site.entry(0), &call, |_| {}))
    };
    let served = (0..100).any(|_| {
        std::thread::sleep(Duration::from_millis(100));
        matches!(send("b 1"), Outcome::Whole(_))
    });
    assert!(served);

    let explained = walk.ok(&["explain", "kind=badge-check", "team=desk"]);
    assert!(
        explained.starts_with("route checks: matches\n"),
        "{explained}"
    );
    assert!(
        explained.contains("goes by route checks as urgent work\n"),
        "{explained}"
    );
    assert!(
        explained.contains("pool gate: gate-0, gate-1\n"),
        "{explained}"
    );

    // A change, in force everywhere.
    let mut doc = site.document();
    doc["weights"]["goodput"] = 4.into();
    let second = walk.file("second.json", &doc.to_string());
    assert_eq!(
        walk.ok(&["config", "diff", &second]),
        "- weights.goodput 1.0\n+ weights.goodput 4.0\n"
    );
    assert_eq!(
        walk.ok(&["config", "apply", &second]),
        "accepted as revision 2\n"
    );
    let waited = walk.ok(&["config", "wait", "--revision", "2"]);
    assert_eq!(waited, "revision 2 is in force at all 7 members\n");
    let raced = walk.fails(
        OPERATOR_TOKEN,
        &["config", "apply", &first, "--from", "1"],
        3,
    );
    assert!(
        raced.starts_with("`ops` changed the configuration first (revision 2)"),
        "{raced}"
    );

    // A drain.
    assert_eq!(walk.ok(&["drain", "gate-1"]), "gate-1 is leaving\n");
    wait_for(&walk, OPERATOR_TOKEN, &["members"], "left");
    assert!(matches!(send("b 2"), Outcome::Whole(_)));
    let pools = walk.ok(&["pools"]);
    assert!(
        pools.contains("gate-0") && !pools.contains("gate-1"),
        "{pools}"
    );

    // The audit trail.
    let history = walk.ok(&["config", "history"]);
    let rows: Vec<Vec<&str>> = history
        .lines()
        .skip(1)
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert_eq!(rows.len(), 2, "{history}");
    assert_eq!(rows[0][1..5], ["0", "1", "first", "opening:"], "{history}");
    assert_eq!(
        rows[1][1..5],
        ["1", "2", "ops", "weights.goodput"],
        "{history}"
    );
}

#[test]
fn check_lists_every_fault_with_its_path() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let walk = Walk {
        admin: "127.0.0.1:1".to_owned(),
        dir,
    };
    let bad = r#"{"pools":{"a":{"kind":"plain","select":{}}},
        "routes":[{"name":"","target":{"plain":{"pool":"b"}},"class":"urgent","repeat":"once",
                   "deadline_ms":0,"first_ms":1,"token_ms":1}]}"#;
    let path = walk.file("bad.json", bad);
    assert_eq!(
        walk.fails("", &["config", "check", &path], 2),
        "routes[0].name: must not be empty\n\
         routes[0].target: no pool is named `b`\n\
         routes[0].deadline_ms: must lie from 1 to 3600000\n\
         operators: one operator at least needs the right to write\n"
    );
}

#[test]
fn check_refuses_unknown_fields() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let walk = Walk {
        admin: "127.0.0.1:1".to_owned(),
        dir,
    };
    let path = walk.file("unknown.json", r#"{"colour":"black"}"#);
    let said = walk.fails("", &["config", "check", &path], 2);
    assert!(said.contains("unknown field `colour`"), "{said}");
}

#[test]
fn an_entry_that_is_not_there_is_a_clear_error() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let walk = Walk {
        admin: "127.0.0.1:1".to_owned(),
        dir,
    };
    let said = walk.fails("t", &["members"], 1);
    assert!(
        said.contains("is this the administration address of an entry?"),
        "{said}"
    );
}

#[test]
fn completions_name_the_commands() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let walk = Walk {
        admin: "127.0.0.1:1".to_owned(),
        dir,
    };
    let text = walk.ok(&["completions", "bash"]);
    for word in ["config", "drain", "explain", "members"] {
        assert!(text.contains(word));
    }
}
