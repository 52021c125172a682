//! Orders the model engine beside a sidecar.

use clap::Subcommand;
use serde_json::{Value, json};

use crate::admin::{Admin, refused};
use crate::error::{CliError, CliResult};
use crate::util;

const HELP: &str = "\
Orders the model engine beside a sidecar.

Each order carries a fencing number from the platform's service. An order that may meet an earlier one
still under way is not sent; the command says when to try again (exit code 3).";

/// Arguments.
#[derive(clap::Args, Debug)]
#[command(long_about = HELP)]
pub struct Args {
    /// The sidecar's name
    member: String,
    /// What to do
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Load a model version from the weight store
    LoadModel {
        /// Model
        model: String,
        /// Version
        version: String,
    },
    /// Load an adapter from the weight store
    LoadAdapter {
        /// Model
        model: String,
        /// Adapter
        adapter: String,
    },
    /// Change between prefill and decode
    SetRole {
        /// prefill or decode
        role: String,
    },
}

impl Action {
    fn body(&self) -> Value {
        match self {
            Action::LoadModel { model, version } => {
                json!({ "load-model": { "model": model, "version": version } })
            }
            Action::LoadAdapter { model, adapter } => {
                json!({ "load-adapter": { "model": model, "adapter": adapter } })
            }
            Action::SetRole { role } => json!({ "set-role": { "role": role } }),
        }
    }
}

/// Runs the command.
pub fn run(admin: &Admin, args: Args) -> CliResult<()> {
    let path = format!("members/{}/orders", args.member);
    let reply = admin.send(&path, &json!({ "action": args.action.body() }))?;
    match reply.status {
        200 => util::print("done"),
        409 if reply.body["title"].is_null() => Err(CliError::Raced {
            detail: format!("not sent: {}", reply.body),
        }),
        409 => Err(CliError::Raced {
            detail: refused(&reply).to_string(),
        }),
        502 if reply.body["title"].is_null() => Err(CliError::Unknown {
            detail: format!("may have taken effect: {}", reply.body),
        }),
        _ => Err(refused(&reply)),
    }
}
