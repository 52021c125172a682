//! Shows what happened to one request, from the gateways' logs.

mod handles;

use std::io::{self, Read, Write};
use std::path::PathBuf;

use serde_json::Value;

use self::handles::explain_handles;
use crate::error::{CliError, CliResult};
use crate::logs::{self, Line, field};

const HELP: &str = "\
Reads the gateways' logs, from files or standard input, and prints all lines about one request in the
order of time, followed by what became of each handle of its prompt or run, and an explanation of how the
request ended.

If the request was refused because servers crashed before under the same request, or under a part of its
prompt, the lines about these crashes are printed too.

Use it to look into a failed request that a caller names by its id. Logs of several gateways may be
given in any order: each retry of a caller has an id of its own, and is in the log of the gateway that
received it. Text before the JSON of a line is skipped, and lines without JSON are ignored.";

/// Refusal causes that result from earlier requests with the same digest, or a part of the same digest.
const QUARANTINE_CAUSES: [&str; 2] = ["Quarantined", "Suspect"];

/// Arguments.
#[derive(clap::Args, Debug)]
#[command(long_about = HELP)]
pub struct Args {
    /// Attempt id of the request, as the caller sent it
    id: String,
    /// Log files; standard input if there are none
    files: Vec<PathBuf>,
}

/// Runs the command.
pub fn run(args: Args) -> CliResult<()> {
    let (mut lines, mut digest_lines) = (Vec::new(), Vec::new());
    if args.files.is_empty() {
        collect_lines(&args.id, io::stdin(), &mut lines, &mut digest_lines)?;
    }
    for path in &args.files {
        collect_lines(&args.id, logs::open(path)?, &mut lines, &mut digest_lines)?;
    }
    if lines.is_empty() {
        let detail = format!("no line of request {}: none of these gateways received it", args.id);
        return Err(CliError::Input { detail });
    }
    lines.extend(explaining_lines(&lines, digest_lines));
    logs::sort(&mut lines);
    let mut out = io::stdout().lock();
    for line in &lines {
        writeln!(out, "{}", logs::format(line))?;
    }
    if let Some(explanation) = lines.iter().rev().find_map(explain_version) {
        writeln!(out, "{explanation}")?;
    }
    for explanation in explain_handles(&lines) {
        writeln!(out, "{explanation}")?;
    }
    if let Some(explanation) = lines.iter().rev().find_map(explain_end) {
        writeln!(out, "{explanation}")?;
    }
    Ok(())
}

/// Collects the log lines about a request, and those about digests, which have no request id.
fn collect_lines(
    id: &str,
    input: impl Read,
    lines: &mut Vec<Line>,
    digest_lines: &mut Vec<Line>,
) -> CliResult<()> {
    let is_relevant =
        |line: &str| line.contains(id) || line.contains("\"content\"") || line.contains("\"part\"");
    logs::read(input, is_relevant, |line| {
        if field(&line, "id") == id {
            lines.push(line);
        } else if !line.contains_key("id") {
            digest_lines.push(line);
        }
    })
}

/// The lines about digests that explain a refusal: of the part that it names, or of the whole request.
fn explaining_lines(lines: &[Line], digest_lines: Vec<Line>) -> Vec<Line> {
    let is_refusal = |line: &&Line| QUARANTINE_CAUSES.contains(&field(line, "cause"));
    if !lines.iter().any(|line| is_refusal(&line)) {
        return Vec::new();
    }
    let first = |key| lines.iter().map(|l| field(l, key)).find(|d| !d.is_empty());
    let (part, digest) = (first("part"), first("content").unwrap_or_default());
    let explains = |line: &Line| match part {
        Some(part) => logs::names_part(line, part),
        None => field(line, "content") == digest,
    };
    digest_lines.into_iter().filter(explains).collect()
}

/// Explains which software version a request that resumed a stream had to go to, and why.
fn explain_version(line: &Line) -> Option<String> {
    if field(line, "message") != "stream resumed" {
        return None;
    }
    let attempt = match field(line, "resumes") {
        "" => "an attempt that it does not name".to_owned(),
        id => format!("attempt {id}"),
    };
    Some(match (field(line, "origin"), field(line, "version")) {
        ("Unknown", _) => {
            format!("It resumes {attempt}; no gateway knows which version of the servers began it.")
        }
        (_, "") => format!("It resumes {attempt}; no server of the version that began it is left."),
        (_, version) => format!("It resumes {attempt}, which version {version} began."),
    })
}

/// Explains how a request ended; `None` for lines that do not end one.
fn explain_end(line: &Line) -> Option<String> {
    let part = field(line, "part");
    match field(line, "cause") {
        "Quarantined" if !part.is_empty() => Some(format!(
            "Refused: servers crashed under the part {part} of its prompt, in other requests. It did not run."
        )),
        _ => explain_without_part(line).map(str::to_owned),
    }
}

fn explain_without_part(line: &Line) -> Option<&'static str> {
    let cause = match (field(line, "message"), field(line, "cause")) {
        ("request refused" | "request refused unread", cause) => cause,
        ("stream ended", _) => match field(line, "word") {
            "whole" => return Some("It was answered completely."),
            "caller gone" => return Some("The caller disconnected before the end."),
            "timeout" => {
                return Some("The timeout of the route, or the caller's deadline, passed.");
            }
            "failed" => return Some("The failure that a backend server reported was passed on."),
            _ => return None,
        },
        ("request ended", _) if line.get("status") == Some(&Value::from(200)) => {
            return Some("It was answered completely.");
        }
        _ => return None,
    };
    Some(match cause {
        "Overload" => "Refused: no place would have been free in time. It did not run.",
        "NoServer" => "Refused: no backend server of the service was known. It did not run.",
        "NotReady" => "Refused: the gateway knew no configuration yet. It did not run.",
        "Stopping" => "Refused: the gateway was stopping. It did not run.",
        "Unauthorized" => {
            "Refused: it has no key, or no account of this configuration holds the key."
        }
        "Unconfirmed" => {
            "Refused: the configuration may be older than the revocation of its key. It did not run."
        }
        "OverQuota" => "Refused: its account sends more than its quota allows. It did not run.",
        "QuotaUnknown" => {
            "Refused: no gateway that lends its account's quota answered. It did not run."
        }
        "NoRoute" => "Refused: no route of this configuration matches its host and path.",
        "Budget" => "Given up: the retry budget was used up; see the verdict.",
        "Quarantined" => "Refused: servers ended under the same request. It did not run.",
        "Suspect" => {
            "Refused: the same request may have crashed a server, which is being checked. It did not run."
        }
        "NoVersion" => {
            "Refused: no server has the software version that began its stream. It did not run."
        }
        "OriginUnknown" => {
            "Refused: it is not known which software version began its stream. It did not run."
        }
        "Lost" => "Failed: it was sent and no whole answer came; it may have run.",
        _ => return None,
    })
}
