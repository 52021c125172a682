//! Lists the members.

use crate::admin::Admin;
use crate::error::CliResult;
use crate::util::{self, cell};

const HELP: &str = "\
Lists the members as the entry sees them: name, role, availability zone, standing, address, labels.

A member that is `suspect` did not answer lately; `dead` has not for some time and may come back;
`left` has left or is confirmed gone.";

/// Arguments.
#[derive(clap::Args, Debug)]
#[command(long_about = HELP)]
pub struct Args {}

/// Runs the command.
pub fn run(admin: &Admin, _args: Args) -> CliResult<()> {
    let status = admin.read("status")?;
    if admin.wants_json() {
        return util::print_json(&status["members"]);
    }
    let rows = util::list(&status["members"]).iter().map(|m| {
        vec![
            cell(&m["peer"]["id"]),
            cell(&m["role"]),
            cell(&m["zone"]),
            cell(&m["standing"]),
            cell(&m["addr"]),
            labels(&m["labels"]),
        ]
    });
    util::print_table(
        &["member", "role", "zone", "standing", "address", "labels"],
        rows.collect(),
    )
}

fn labels(value: &serde_json::Value) -> String {
    let pairs = value
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(k, _)| *k != "zone");
    pairs
        .map(|(k, v)| format!("{k}={}", cell(v)))
        .collect::<Vec<_>>()
        .join(",")
}
