//! Waits until a revision is in force everywhere.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::admin::Admin;
use crate::error::{CliError, CliResult};
use crate::util;

const HELP: &str = "\
Waits until a revision is in force at every member, and names those that lag.

Every member is asked. One that does not answer counts as lagging. The exit code is 1 when the time is
up first.";

/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(300);

/// Arguments.
#[derive(clap::Args, Debug)]
#[command(long_about = HELP)]
pub struct Args {
    /// The revision; by default the one in force at the entry
    #[arg(long)]
    revision: Option<u64>,
    /// Seconds to wait at most
    #[arg(long, default_value_t = 15)]
    secs: u64,
}

/// Runs the command.
pub fn run(admin: &Admin, args: Args) -> CliResult<()> {
    let revision = match args.revision {
        Some(revision) => revision,
        None => admin.read("config")?["revision"].as_u64().unwrap_or(0),
    };
    let until = Instant::now() + Duration::from_secs(args.secs);
    loop {
        let rows = admin.read("lag")?;
        let lagging: Vec<&Value> = util::list(&rows)
            .iter()
            .filter(|r| r["revision"].as_u64().is_none_or(|at| at < revision))
            .collect();
        if lagging.is_empty() {
            return done(admin, revision, util::list(&rows).len());
        }
        if Instant::now() >= until {
            return Err(CliError::Refused {
                status: 0,
                detail: named(revision, &lagging),
            });
        }
        std::thread::sleep(PAUSE);
    }
}

fn done(admin: &Admin, revision: u64, members: usize) -> CliResult<()> {
    if admin.wants_json() {
        return util::print_json(&json!({ "revision": revision, "members": members }));
    }
    util::print(&format!(
        "revision {revision} is in force at all {members} members"
    ))
}

fn named(revision: u64, lagging: &[&Value]) -> String {
    let names: Vec<String> = lagging
        .iter()
        .map(|r| match r["revision"].as_u64() {
            Some(at) => format!("{} (revision {at})", util::cell(&r["member"])),
            None => format!("{} (no answer)", util::cell(&r["member"])),
        })
        .collect();
    format!(
        "revision {revision} is not in force at: {}",
        names.join(", ")
    )
}
