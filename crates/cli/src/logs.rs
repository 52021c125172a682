//! Lines of the gateways' logs.

use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::Path;

use serde_json::{Map, Value};

use crate::error::{CliError, CliResult};

/// Fields that are not printed as `name=value`: common to all lines, or printed in columns.
const COMMON_FIELDS: [&str; 5] = ["timestamp", "level", "message", "target", "id"];

/// A log line.
pub type Line = Map<String, Value>;

/// Opens a log file.
pub fn open(path: &Path) -> CliResult<File> {
    File::open(path).map_err(|source| CliError::File { path: path.display().to_string(), source })
}

/// Calls `take` with each line of a log that has JSON and for which `is_relevant` is true of its text.
pub fn read(
    input: impl Read,
    is_relevant: impl Fn(&str) -> bool,
    mut take: impl FnMut(Line),
) -> CliResult<()> {
    for line in BufReader::new(input).split(b'\n') {
        let line = line?;
        let line = String::from_utf8_lossy(&line);
        // Log collectors may put a prefix before the JSON.
        let Some(start) = line.find('{').filter(|_| is_relevant(&line)) else {
            continue;
        };
        if let Ok(Value::Object(map)) = serde_json::from_str(&line[start..]) {
            take(map);
        }
    }
    Ok(())
}

/// Sorts lines by time.
pub fn sort(lines: &mut [Line]) {
    lines.sort_by(|a, b| field(a, "timestamp").cmp(field(b, "timestamp")));
}

/// Formats a log line: time, message, then the other fields.
pub fn format(line: &Line) -> String {
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

/// A field of a log line as text; empty if it is absent or not a string.
pub fn field<'a>(line: &'a Line, key: &str) -> &'a str {
    line.get(key).and_then(Value::as_str).unwrap_or_default()
}

/// Is the line about a part of prompts?
pub fn names_part(line: &Line, part: &str) -> bool {
    field(line, "part") == part || field(line, "parts").split(' ').any(|other| other == part)
}
