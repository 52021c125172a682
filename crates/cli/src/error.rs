//! The one error type of the command line, and its exit codes.

use std::io;
use std::process::ExitCode;

use snafu::Snafu;

/// Result of a command.
pub type CliResult<T> = Result<T, CliError>;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum CliError {
    /// Reading or writing failed.
    #[snafu(display("{source}"), context(false))]
    Io { source: io::Error },
    /// A file can't be read.
    #[snafu(display("{path}: {source}"))]
    File { path: String, source: io::Error },
    /// The entry can't be asked.
    #[snafu(display("{addr}: {detail}; is this the administration address of an entry?"))]
    Unreachable { addr: String, detail: String },
    /// The entry refused.
    #[snafu(display("{detail}"))]
    Refused { status: u16, detail: String },
    /// The input is wrong; nothing was changed.
    #[snafu(display("{detail}"))]
    Input { detail: String },
    /// Another operator came first.
    #[snafu(display("{detail}"))]
    Raced { detail: String },
    /// Nobody knows yet whether a change was accepted.
    #[snafu(display("{detail}"))]
    Unknown { detail: String },
}

impl From<serde_json::Error> for CliError {
    fn from(e: serde_json::Error) -> Self {
        CliError::Input {
            detail: e.to_string(),
        }
    }
}

impl CliError {
    /// Prints the error and gives the exit code: 1 failed, 2 wrong input, 3 raced, 4 not known.
    pub fn report(&self) -> ExitCode {
        let code = match self {
            // Whoever reads the output may stop reading.
            CliError::Io { source } if source.kind() == io::ErrorKind::BrokenPipe => {
                return ExitCode::SUCCESS;
            }
            CliError::Input { .. } | CliError::File { .. } => 2,
            CliError::Raced { .. } => 3,
            CliError::Unknown { .. } => 4,
            _ => 1,
        };
        eprintln!("{self}");
        ExitCode::from(code)
    }
}
