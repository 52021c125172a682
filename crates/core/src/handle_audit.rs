//! Check over gateways' logs: memory at an engine belongs to one request.
//!
//! Engines don't ask whose handle or reservation a request names. The logs do tell: each line that brings
//! one names the request that it was brought for, and each line of a run names what it uses. Lines may be
//! given in any order and from any number of gateways. Logs are bounded, so that a line that brought a
//! handle may be missing; what can't be judged is counted.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde_json::{Map, Value};

/// A line of a log.
pub type Line = Map<String, Value>;

/// Id in the log of a request whose caller gave none.
const NO_ID: &str = "-";

/// What kind of memory it is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Kind {
    Copy,
    Prompt,
    Reservation,
}

/// Memory at an engine.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Memory {
    kind: Kind,
    /// The incarnation that issued it.
    issuer: String,
    /// The engine that has the copy of a run; engines may name copies by their targets.
    holder: String,
    name: String,
}

impl fmt::Display for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Memory { kind, issuer, holder, name } = self;
        match kind {
            Kind::Copy => write!(f, "the handle {name} of {issuer} for a copy at {holder}"),
            Kind::Prompt => write!(f, "the handle {name} of {issuer}"),
            Kind::Reservation => write!(f, "the reservation {name} of {issuer}"),
        }
    }
}

/// Requests, by id.
type Ids = BTreeSet<String>;

/// Collects what the lines of gateways' logs say about memory at engines.
#[derive(Clone, Debug, Default)]
pub struct HandleAudit {
    /// Requests that each memory was brought for.
    received: BTreeMap<Memory, Ids>,
    /// Requests whose runs named it.
    named: BTreeMap<Memory, Ids>,
    /// Requests that released it unused.
    dropped: BTreeMap<Memory, Ids>,
    /// Answers that brought a handle and named another request.
    foreign_answers: Vec<String>,
}

/// What the logs say.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AuditReport {
    /// Handles and reservations that were received.
    pub received: usize,
    /// Those that a run named.
    pub named: usize,
    /// Those named by a run or released whose receipt is in none of the logs.
    pub unaccounted: usize,
    /// Memory that more than its own request had to do with, a sentence each.
    pub violations: Vec<String>,
}

impl HandleAudit {
    /// Takes a line; those about other things change nothing.
    pub fn add(&mut self, line: &Line) {
        let id = text(line, "id");
        if id.is_empty() || id == NO_ID {
            return;
        }
        match text(line, "message") {
            "prefill ended" => self.add_prefill(line, id),
            "placed" | "reservation in another zone requested" => {
                insert(&mut self.received, reservation(line), id);
            }
            "run copied" | "run stopped for migration" => {
                insert(&mut self.received, copy(line), id);
            }
            "run sent" => {
                insert(&mut self.named, reservation(line), id);
                insert(&mut self.named, named_handle(line), id);
            }
            "handle dropped" if !is_copy(line) => {
                insert(&mut self.dropped, prompt(line, "server"), id);
            }
            _ => {}
        }
    }

    /// Takes a line of a log as text; text before the JSON is skipped, and so are lines without any.
    pub fn add_text(&mut self, text: &str) {
        let json = text.find('{').map(|start| &text[start..]).unwrap_or_default();
        if let Ok(Value::Object(line)) = serde_json::from_str(json) {
            self.add(&line);
        }
    }

    /// Leaves out what engines of this name issued: one that starts again under its name gives names again, and
    /// the lines tell its lives apart only as far as gateways had heard. Answers that named another request stay.
    pub fn exclude(&mut self, engine: &str) {
        let is_kept = |memory: &Memory| memory.issuer.split('@').next() != Some(engine);
        for seen in [&mut self.received, &mut self.named, &mut self.dropped] {
            seen.retain(|memory, _| is_kept(memory));
        }
    }

    /// Judges all lines together.
    pub fn report(&self) -> AuditReport {
        let mut violations = self.foreign_answers.clone();
        for (verb, seen) in [("received", &self.received), ("named", &self.named)] {
            for (memory, ids) in seen.iter().filter(|(_, ids)| ids.len() > 1) {
                violations.push(format!("{memory} was {verb} by the requests {}", list(ids)));
            }
        }
        let mut unaccounted = 0;
        for (verb, seen) in [("named", &self.named), ("released", &self.dropped)] {
            for (memory, ids) in seen {
                let Some(owners) = self.received.get(memory) else {
                    unaccounted += 1;
                    continue;
                };
                let others: Ids = ids.difference(owners).cloned().collect();
                if !others.is_empty() {
                    let (others, owners) = (list(&others), list(owners));
                    violations
                        .push(format!("{memory} was {verb} by {others}, received by {owners}"));
                }
            }
        }
        let (received, named) = (self.received.len(), self.named.len());
        AuditReport { received, named, unaccounted, violations }
    }

    fn add_prefill(&mut self, line: &Line, id: &str) {
        let memory = prompt(line, "server");
        let named = text(line, "named");
        if let Some(memory) = memory.as_ref().filter(|_| !named.is_empty() && named != id) {
            self.foreign_answers
                .push(format!("{memory} was received by {id} in an answer to {named}"));
        }
        insert(&mut self.received, memory, id);
    }
}

fn insert(seen: &mut BTreeMap<Memory, Ids>, memory: Option<Memory>, id: &str) {
    if let Some(memory) = memory {
        seen.entry(memory).or_default().insert(id.to_owned());
    }
}

fn reservation(line: &Line) -> Option<Memory> {
    memory(Kind::Reservation, text(line, "server"), "", text(line, "hold"))
}

/// The prompt's handle that a line has, issued by the engine in the field `issuer`.
fn prompt(line: &Line, issuer: &str) -> Option<Memory> {
    memory(Kind::Prompt, text(line, issuer), "", text(line, "handle"))
}

/// The copy that a migration's call brought.
fn copy(line: &Line) -> Option<Memory> {
    memory(Kind::Copy, text(line, "server"), text(line, "holder"), text(line, "handle"))
}

fn named_handle(line: &Line) -> Option<Memory> {
    if !is_copy(line) {
        return prompt(line, "source");
    }
    memory(Kind::Copy, text(line, "source"), text(line, "server"), text(line, "handle"))
}

fn memory(kind: Kind, issuer: &str, holder: &str, name: &str) -> Option<Memory> {
    let (issuer, holder) = (issuer.to_owned(), holder.to_owned());
    (!name.is_empty()).then(|| Memory { kind, issuer, holder, name: name.to_owned() })
}

fn is_copy(line: &Line) -> bool {
    line.get("copy") == Some(&Value::Bool(true))
}

fn text<'a>(line: &'a Line, key: &str) -> &'a str {
    line.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn list(ids: &Ids) -> String {
    ids.iter().map(String::as_str).collect::<Vec<_>>().join(" and ")
}
