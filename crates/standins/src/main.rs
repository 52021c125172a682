//! Stand-ins and measuring tools.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use ebonyloft_standins::cmd;

/// Stand-ins for what surrounds the router, and the tools that measure it.
#[derive(Debug, Parser)]
#[command(name = "ebonyloft-standins", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Show the main job from end to end in one process
    Demo(cmd::demo::Args),
    /// Send load and report goodput under both latency targets and wasted prefill
    Load(Box<cmd::load::Args>),
    /// Measure slopes and overheads
    Measure(cmd::measure::Args),
    /// Prove the protocols by search and by randomised runs
    Prove(cmd::prove::Args),
}

fn main() -> ExitCode {
    let good = match Cli::parse().command {
        Command::Demo(args) => cmd::demo::run(args),
        Command::Load(args) => cmd::load::run(*args),
        Command::Measure(args) => cmd::measure::run(args),
        Command::Prove(args) => cmd::prove::run(args),
    };
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
