//! Lists accepted changes.

use crate::admin::Admin;
use crate::error::CliResult;
use crate::util::{self, cell};

const HELP: &str = "\
Lists accepted changes, newest last: who changed what, when, from which revision to which.

The list lives in the platform's service together with the configuration and outlives every VM; the
last 500 changes are kept.";

/// Arguments.
#[derive(clap::Args, Debug)]
#[command(long_about = HELP)]
pub struct Args {
    /// How many of the newest
    #[arg(long, default_value_t = 20)]
    last: usize,
}

/// Runs the command.
pub fn run(admin: &Admin, args: Args) -> CliResult<()> {
    let history = admin.read("history")?;
    let records = util::list(&history);
    let newest = &records[records.len().saturating_sub(args.last)..];
    if admin.wants_json() {
        return util::print_json(&serde_json::to_value(newest)?);
    }
    let rows = newest.iter().map(|r| {
        let at = r["at"].as_u64().unwrap_or(0) / 1_000_000;
        vec![
            at.to_string(),
            cell(&r["from"]),
            cell(&r["to"]),
            cell(&r["who"]),
            cell(&r["what"]),
            cell(&r["change"]),
        ]
    });
    util::print_table(
        &["unix-time", "from", "to", "who", "what", "change"],
        rows.collect(),
    )
}
