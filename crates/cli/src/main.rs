//! The operators' command line.

mod admin;
mod cmd;
mod error;
mod util;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use admin::Admin;
use error::CliResult;

/// Operates an ebonyloft system through the administration interface of an entry.
#[derive(Debug, Parser)]
#[command(name = "ebonyloft", version)]
struct Cli {
    /// Administration address of an entry, as IP:PORT
    #[arg(
        long,
        env = "EBONYLOFT_ADMIN",
        global = true,
        default_value = "127.0.0.1:8001"
    )]
    admin: String,
    /// Operator token
    #[arg(
        long,
        env = "EBONYLOFT_TOKEN",
        global = true,
        hide_env_values = true,
        default_value = ""
    )]
    token: String,
    /// Print JSON
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check, compare, apply and show the configuration
    #[command(subcommand)]
    Config(cmd::config::Command),
    /// List the members
    Members(cmd::members::Args),
    /// List the pools with their backend servers' load
    Pools(cmd::pools::Args),
    /// List running requests
    Requests(cmd::requests::Args),
    /// Tell a member to leave gracefully
    Drain(cmd::drain::Args),
    /// Order the model engine beside a sidecar
    Order(cmd::order::Args),
    /// Say why requests with some labels go where they go
    Explain(cmd::explain::Args),
    /// Print completions for a shell
    Completions(cmd::completions::Args),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let admin = Admin::new(&cli.admin).token(&cli.token).json(cli.json);
    match dispatch(&admin, cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => e.report(),
    }
}

fn dispatch(admin: &Admin, command: Command) -> CliResult<()> {
    match command {
        Command::Config(command) => cmd::config::run(admin, command),
        Command::Members(args) => cmd::members::run(admin, args),
        Command::Pools(args) => cmd::pools::run(admin, args),
        Command::Requests(args) => cmd::requests::run(admin, args),
        Command::Drain(args) => cmd::drain::run(admin, args),
        Command::Order(args) => cmd::order::run(admin, args),
        Command::Explain(args) => cmd::explain::run(admin, args),
        Command::Completions(args) => cmd::completions::run(args),
    }
}
