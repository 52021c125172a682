//! Prints completions for a shell.

use clap::CommandFactory;
use clap_complete::Shell;

use crate::Cli;
use crate::error::CliResult;

const HELP: &str = "\
Prints completions for a shell. For bash: ebonyloft completions bash > /etc/bash_completion.d/ebonyloft";

/// Arguments.
#[derive(clap::Args, Debug)]
#[command(long_about = HELP)]
pub struct Args {
    /// The shell
    shell: Shell,
}

/// Runs the command.
pub fn run(args: Args) -> CliResult<()> {
    clap_complete::generate(
        args.shell,
        &mut Cli::command(),
        "ebonyloft",
        &mut std::io::stdout(),
    );
    Ok(())
}
