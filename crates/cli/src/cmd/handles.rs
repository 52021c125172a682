//! Checks that handles and reservations belong to one request each, from the gateways' logs.

use std::io::{self, Read};
use std::path::PathBuf;

use ebonyloft_core::handle_audit::HandleAudit;

use crate::error::{CliError, CliResult};
use crate::logs;
use crate::util;

const HELP: &str = "\
Reads the gateways' logs, from files or standard input, and checks that each handle of a prompt or of a
run's copy, and each reservation, was received by one request only and was named and released by no other
one. Prints a sentence for each that was not, and how many were seen; fails if there are any.

Use it if a stream seems to go on from another request's prompt. Give the logs of all gateways, in any
order: what was received at a gateway whose log is missing, or by a line that was dropped, is counted as
unaccounted for and not judged.

An engine that starts again may give its names to other requests. Its lives are told apart by the start that
its registration states, once a gateway has heard of it: what the engine gave between its start and then looks
like another request's. An answer that named another request is reported with its id.";

/// Arguments.
#[derive(clap::Args, Debug)]
#[command(long_about = HELP)]
pub struct Args {
    /// Log files; standard input if there are none
    files: Vec<PathBuf>,
}

/// Runs the command.
pub fn run(args: Args) -> CliResult<()> {
    let mut audit = HandleAudit::default();
    if args.files.is_empty() {
        add_lines(io::stdin(), &mut audit)?;
    }
    for path in &args.files {
        add_lines(logs::open(path)?, &mut audit)?;
    }
    let report = audit.report();
    if report.received + report.named == 0 {
        let detail = "no line about a handle or a reservation in these logs".to_owned();
        return Err(CliError::Input { detail });
    }
    for violation in &report.violations {
        util::print(violation)?;
    }
    util::print(&format!(
        "{} received, {} named by runs, {} unaccounted for, {} violations",
        report.received,
        report.named,
        report.unaccounted,
        report.violations.len()
    ))?;
    if report.violations.is_empty() {
        return Ok(());
    }
    Err(CliError::Failed { detail: "memory at engines was used by other requests".to_owned() })
}

fn add_lines(input: impl Read, audit: &mut HandleAudit) -> CliResult<()> {
    let is_relevant = |line: &str| line.contains("\"handle\"") || line.contains("\"hold\"");
    logs::read(input, is_relevant, |line| audit.add(&line))
}
