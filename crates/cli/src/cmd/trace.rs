//! Shows what happened to one request, from the gateways' logs.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::path::PathBuf;

use serde_json::{Map, Value};

use crate::error::{CliError, CliResult};

const HELP: &str = "\
Reads the gateways' logs, from files or standard input, and prints all lines about one request in the
order of time, followed by an explanation of how the request ended.

If the request was refused because servers crashed under the same request before, the lines about
these crashes are printed too.

Use it to look into a failed request that a caller names by its id. Logs of several gateways may be
given in any order: each retry of a caller has an id of its own, and is in the log of the gateway that
received it. Text before the JSON of a line is skipped, and lines without JSON are ignored.";

/// Fields that are not printed as `name=value`: common to all lines, or printed in columns.
const COMMON_FIELDS: [&str; 5] = ["timestamp", "level", "message", "target", "id"];

/// Refusal causes that result from earlier requests with the same digest.
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
        let file = File::open(path)
            .map_err(|source| CliError::File { path: path.display().to_string(), source })?;
        collect_lines(&args.id, file, &mut lines, &mut digest_lines)?;
    }
    if lines.is_empty() {
        let detail = format!("no line of request {}: none of these gateways received it", args.id);
        return Err(CliError::Input { detail });
    }
    if lines.iter().any(|line| QUARANTINE_CAUSES.contains(&field(line, "cause"))) {
        let digest = lines.iter().map(|l| field(l, "content")).find(|d| !d.is_empty());
        let digest = digest.unwrap_or_default().to_owned();
        lines.extend(digest_lines.into_iter().filter(|l| field(l, "content") == digest));
    }
    lines.sort_by(|a, b| field(a, "timestamp").cmp(field(b, "timestamp")));
    let mut out = io::stdout().lock();
    for line in &lines {
        writeln!(out, "{}", format_line(line))?;
    }
    if let Some(explanation) = lines.iter().rev().find_map(explain_version) {
        writeln!(out, "{explanation}")?;
    }
    if let Some(explanation) = lines.iter().rev().find_map(explain_end) {
        writeln!(out, "{explanation}")?;
    }
    Ok(())
}

/// Collects the log lines about a request, and the lines about request digests, which have no request id.
fn collect_lines(
    id: &str,
    input: impl Read,
    lines: &mut Vec<Map<String, Value>>,
    digest_lines: &mut Vec<Map<String, Value>>,
) -> CliResult<()> {
    for line in BufReader::new(input).split(b'\n') {
        let line = line?;
        let line = String::from_utf8_lossy(&line);
        // Log collectors may put a prefix before the JSON.
        let is_relevant = line.contains(id) || line.contains("\"content\"");
        let Some(start) = line.find('{').filter(|_| is_relevant) else {
            continue;
        };
        let Ok(Value::Object(map)) = serde_json::from_str(&line[start..]) else {
            continue;
        };
        if field(&map, "id") == id {
            lines.push(map);
        } else if !map.contains_key("id") && map.contains_key("content") {
            digest_lines.push(map);
        }
    }
    Ok(())
}

/// Formats a log line: time, message, then the other fields.
fn format_line(line: &Map<String, Value>) -> String {
    let fields: Vec<String> = line
        .iter()
        .filter(|(k, _)| !COMMON_FIELDS.contains(&k.as_str()))
        .map(|(k, v)| match v {
            Value::String(s) => format!("{k}={s}"),
            other => format!("{k}={other}"),
        })
        .collect();
    format!("{}  {:<18} {}", field(line, "timestamp"), field(line, "message"), fields.join(" "))
}

/// Explains which software version a request that resumed a stream had to go to, and why.
fn explain_version(line: &Map<String, Value>) -> Option<String> {
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
fn explain_end(line: &Map<String, Value>) -> Option<&'static str> {
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

/// A field of a log line as text; empty if it is absent or not a string.
fn field<'a>(line: &'a Map<String, Value>, key: &str) -> &'a str {
    line.get(key).and_then(Value::as_str).unwrap_or_default()
}
