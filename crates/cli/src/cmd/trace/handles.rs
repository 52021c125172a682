//! What became of the handles of a request's prompt, and of its run's copies.

use serde_json::Value;

use crate::logs::{Line, field};

/// Messages of the lines that may bring a handle.
const RECEIPTS: [&str; 3] = ["prefill ended", "run copied", "run stopped for migration"];

/// A sentence for each handle that a request received; `lines` are its lines in the order of time.
pub fn explain_handles(lines: &[Line]) -> Vec<String> {
    let mut received: Vec<(&str, &str)> = Vec::new();
    let mut out = Vec::new();
    for (n, line) in lines.iter().enumerate() {
        let (engine, handle) = (field(line, "server"), field(line, "handle"));
        let brings = RECEIPTS.contains(&field(line, "message")) && !handle.is_empty();
        if brings && !received.contains(&(engine, handle)) {
            received.push((engine, handle));
            let fate = Fate::of(engine, handle, &lines[n + 1..]);
            out.push(format!("The handle {handle} of {engine} {}.", fate.text()));
        }
    }
    out
}

/// What became of a handle.
#[derive(Default)]
struct Fate<'a> {
    /// The engine that the last run naming it was sent to.
    sent_to: Option<&'a str>,
    /// Did that run accept it? Unknown while no line tells.
    accepted: Option<bool>,
    /// Why it was dropped; empty if the line does not say.
    dropped: Option<&'a str>,
}

impl<'a> Fate<'a> {
    fn of(engine: &str, handle: &str, later: &'a [Line]) -> Fate<'a> {
        let mut fate = Fate::default();
        let mut is_run_of_it = false;
        for line in later {
            let is_own = field(line, "handle") == handle;
            match field(line, "message") {
                "run sent" => {
                    is_run_of_it = is_own && field(line, "source") == engine;
                    if is_run_of_it {
                        (fate.sent_to, fate.accepted) = (Some(field(line, "server")), None);
                    }
                }
                "first event" | "run copied" | "run stopped for migration" if is_run_of_it => {
                    fate.accepted = Some(true);
                }
                "stream attempt ended" if is_run_of_it => {
                    fate.accepted = line.get("accepted").and_then(Value::as_bool);
                    is_run_of_it = false;
                }
                "handle dropped" if is_own && field(line, "server") == engine => {
                    fate.dropped = Some(field(line, "wasted"));
                }
                _ => {}
            }
        }
        fate
    }

    fn text(&self) -> String {
        let run = match (self.sent_to, self.accepted) {
            (Some(to), Some(true)) => return format!("was used by the run at {to}"),
            (Some(to), Some(false)) => {
                format!("was named by the run at {to}, which was not accepted")
            }
            (Some(to), None) => {
                format!("was named by the run at {to}; no line tells whether that was accepted")
            }
            (None, _) => "was named by no run".to_owned(),
        };
        match self.dropped {
            Some("") => format!("{run}, and was dropped"),
            Some(cause) => format!("{run}, and was dropped: {cause}"),
            None => format!("{run}; no line tells that it was dropped"),
        }
    }
}
