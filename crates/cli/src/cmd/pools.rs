//! Lists the pools.

use crate::admin::Admin;
use crate::error::CliResult;
use crate::util::{self, cell};

const HELP: &str = "\
Lists the pools with the backend servers that the entry sends to and their load as last reported.";

/// Arguments.
#[derive(clap::Args, Debug)]
#[command(long_about = HELP)]
pub struct Args {}

/// Runs the command.
pub fn run(admin: &Admin, _args: Args) -> CliResult<()> {
    let pools = admin.read("pools")?;
    if admin.wants_json() {
        return util::print_json(&pools);
    }
    let mut rows = Vec::new();
    for pool in util::list(&pools) {
        for server in util::list(&pool["servers"]) {
            rows.push(vec![
                cell(&pool["pool"]),
                cell(&server["member"]),
                cell(&server["zone"]),
                format!("{}/{}", server["used"], server["slots"]),
                cell(&server["waiting"]),
                if server["leaving"] == true {
                    "leaving".to_owned()
                } else {
                    "-".to_owned()
                },
            ]);
        }
    }
    util::print_table(&["pool", "member", "zone", "used", "waiting", "note"], rows)
}
