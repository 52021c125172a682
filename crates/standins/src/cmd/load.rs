//! Sends load over a site and reports what became of it.

use clap::Args as ClapArgs;

/// Sends load over a site of stand-ins and reports what became of it.
#[derive(Clone, Debug, ClapArgs)]
pub struct Args {}

/// Runs the command.
pub fn run(_args: Args) -> bool {
    true
}
