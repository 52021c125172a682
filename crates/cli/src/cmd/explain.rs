//! Says why requests with some labels go where they go.

use crate::admin::Admin;
use crate::error::{CliError, CliResult};
use crate::util::{self, cell};

const HELP: &str = "\
Says why requests with some labels go where they go: the routes tried in order, the first label that
keeps each from matching, and the backend servers of the pools behind the route that matches.";

/// Arguments.
#[derive(clap::Args, Debug)]
#[command(long_about = HELP)]
pub struct Args {
    /// Labels, NAME=VALUE
    #[arg(required = true)]
    labels: Vec<String>,
}

/// Runs the command.
pub fn run(admin: &Admin, args: Args) -> CliResult<()> {
    if let Some(wrong) = args.labels.iter().find(|l| !l.contains('=')) {
        return Err(CliError::Input {
            detail: format!("`{wrong}` is not NAME=VALUE"),
        });
    }
    let told = admin.read(&format!("explain?{}", args.labels.join("&")))?;
    if admin.wants_json() {
        return util::print_json(&told);
    }
    for tried in util::list(&told["tried"]) {
        let line = match tried["matches"].as_bool() {
            Some(true) => "matches".to_owned(),
            _ => format!("label `{}` does not match", cell(&tried["missing"])),
        };
        util::print(&format!("route {}: {line}", cell(&tried["route"])))?;
    }
    if told["route"].is_null() {
        return util::print("no route takes such a request");
    }
    util::print(&format!(
        "goes by route {} as {} work",
        cell(&told["route"]),
        cell(&told["class"])
    ))?;
    for pool in util::list(&told["pools"]) {
        let names: Vec<String> = util::list(&pool["servers"])
            .iter()
            .map(|s| cell(&s["member"]))
            .collect();
        util::print(&format!(
            "pool {}: {}",
            cell(&pool["pool"]),
            names.join(", ")
        ))?;
    }
    Ok(())
}
