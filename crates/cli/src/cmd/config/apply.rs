//! Puts a file in force everywhere.

use std::time::Duration;

use serde_json::json;

use crate::admin::{Admin, refused};
use crate::error::{CliError, CliResult};
use crate::util;

const HELP: &str = "\
Puts a configuration file in force everywhere.

The change is accepted only if nobody changed the configuration since the revision that you saw
(--from; by default the one in force when the command starts). If somebody did, nothing is changed,
the difference is shown, and the exit code is 3. If an answer is lost on the way the command looks for
the change in the history and never writes it twice; when that stays unclear the exit code is 4, and
the same command with the same --change may be run again.";

/// Looks at the history after a lost answer.
const LOOKS: u32 = 10;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(500);

/// Arguments.
#[derive(clap::Args, Debug)]
#[command(long_about = HELP)]
pub struct Args {
    /// The file, JSON
    file: String,
    /// Revision that the change is based on
    #[arg(long)]
    from: Option<u64>,
    /// Your own id of the change; made up when absent
    #[arg(long)]
    change: Option<String>,
    /// What it is for, for the audit trail
    #[arg(long, default_value = "")]
    why: String,
}

/// Runs the command.
pub fn run(admin: &Admin, args: Args) -> CliResult<()> {
    let doc = super::load(&args.file)?;
    let from = match args.from {
        Some(from) => from,
        None => base_revision(admin)?,
    };
    let change = args
        .change
        .unwrap_or_else(|| uuid::Uuid::now_v7().to_string());
    let form = json!({ "from": from, "change": change, "why": args.why, "document": doc });
    let reply = match admin.send("config", &form) {
        Ok(reply) => reply,
        Err(e @ CliError::Unreachable { .. }) => return look_up(admin, &change, &e.to_string()),
        Err(e) => return Err(e),
    };
    match reply.status {
        200 => done(admin, &reply.body["revision"]),
        409 => Err(CliError::Raced {
            detail: raced(&reply.body["detail"]),
        }),
        502 => look_up(admin, &change, "the platform's answer was lost"),
        _ => Err(refused(&reply)),
    }
}

/// The revision in force; zero while there is none, for the first change.
fn base_revision(admin: &Admin) -> CliResult<u64> {
    Ok(admin.read("config")?["revision"].as_u64().unwrap_or(0))
}

fn done(admin: &Admin, revision: &serde_json::Value) -> CliResult<()> {
    if admin.wants_json() {
        return util::print_json(&json!({ "revision": revision }));
    }
    util::print(&format!("accepted as revision {revision}"))
}

fn look_up(admin: &Admin, change: &str, why: &str) -> CliResult<()> {
    for _ in 0..LOOKS {
        if let Ok(history) = admin.read("history")
            && let Some(record) = util::list(&history).iter().find(|r| r["change"] == change)
        {
            return done(admin, &record["to"]);
        }
        std::thread::sleep(PAUSE);
    }
    let detail = format!(
        "{why}; not known whether the change was accepted. Run the command again with --change {change}"
    );
    Err(CliError::Unknown { detail })
}

fn raced(detail: &serde_json::Value) -> String {
    let parsed: Option<serde_json::Value> =
        detail.as_str().and_then(|t| serde_json::from_str(t).ok());
    let Some(parsed) = parsed else {
        return util::cell(detail);
    };
    let mut lines = vec![format!(
        "`{}` changed the configuration first (revision {}); nothing was changed. Your file differs:",
        util::cell(&parsed["by"]),
        parsed["revision"],
    )];
    for change in util::list(&parsed["diff"]) {
        let path = util::cell(&change["path"]);
        lines.push(format!(
            "  {path}: theirs {}, yours {}",
            change["before"], change["after"]
        ));
    }
    lines.join("\n")
}
