//! Printing.

use std::io::{self, Write};

use comfy_table::{ContentArrangement, Table, presets};
use serde_json::Value;

use crate::error::CliResult;

/// Prints lines; a reader that stops reading is no failure.
pub fn print(text: &str) -> CliResult<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{text}")?;
    Ok(())
}

/// Prints JSON.
pub fn print_json(value: &Value) -> CliResult<()> {
    print(&serde_json::to_string_pretty(value)?)
}

/// Prints a table.
pub fn print_table(header: &[&str], rows: Vec<Vec<String>>) -> CliResult<()> {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(header);
    table.add_rows(rows);
    let lines: Vec<String> = table
        .to_string()
        .lines()
        .map(|l| l.trim().to_owned())
        .collect();
    print(&lines.join("\n"))
}

/// A value as a cell.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

/// A member of an object, as a list.
pub fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}
