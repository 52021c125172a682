//! Commands on the configuration.

pub mod apply;
pub mod check;
pub mod diff;
pub mod history;
pub mod show;
pub mod wait;

use clap::Subcommand;
use ebonyloft_core::config::Document;
use ebonyloft_core::config::check::parse;

use crate::admin::Admin;
use crate::error::{CliError, CliResult};

/// Commands on the configuration.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a file; asks no entry
    Check(check::Args),
    /// Compare a file with the configuration in force
    Diff(diff::Args),
    /// Put a file in force everywhere
    Apply(apply::Args),
    /// Print the configuration in force
    Show(show::Args),
    /// List accepted changes
    History(history::Args),
    /// Wait until a revision is in force everywhere
    Wait(wait::Args),
}

/// Runs the command.
pub fn run(admin: &Admin, command: Command) -> CliResult<()> {
    match command {
        Command::Check(args) => check::run(args),
        Command::Diff(args) => diff::run(admin, args),
        Command::Apply(args) => apply::run(admin, args),
        Command::Show(args) => show::run(admin, args),
        Command::History(args) => history::run(admin, args),
        Command::Wait(args) => wait::run(admin, args),
    }
}

/// Reads and checks a file; all faults are listed.
pub fn load(path: &str) -> CliResult<Document> {
    let text = std::fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })?;
    parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        CliError::Input {
            detail: lines.join("\n"),
        }
    })
}
