//! Compares a file with the configuration in force.

use ebonyloft_core::config::diff::diff;
use ebonyloft_core::config::{Document, check};

use crate::admin::Admin;
use crate::error::{CliError, CliResult};
use crate::util;

const HELP: &str = "\
Compares a file with the configuration in force at the entry, value by value.

Prints nothing when they are the same.";

/// Arguments.
#[derive(clap::Args, Debug)]
#[command(long_about = HELP)]
pub struct Args {
    /// The file, JSON
    file: String,
}

/// Runs the command.
pub fn run(admin: &Admin, args: Args) -> CliResult<()> {
    let mine = super::load(&args.file)?;
    let shown = admin.read("config")?;
    let theirs: Document = serde_json::from_value(shown["document"].clone())?;
    if !check::check(&theirs).is_empty() && shown["revision"] != 0 {
        return Err(CliError::Input {
            detail: "the entry's document is not valid".to_owned(),
        });
    }
    let changes = diff(&theirs, &mine);
    if admin.wants_json() {
        return util::print_json(&serde_json::to_value(&changes)?);
    }
    for change in &changes {
        if let Some(before) = &change.before {
            util::print(&format!("- {} {before}", change.path))?;
        }
        if let Some(after) = &change.after {
            util::print(&format!("+ {} {after}", change.path))?;
        }
    }
    Ok(())
}
