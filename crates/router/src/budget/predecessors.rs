//! What earlier processes of a VM have used of the retry budgets.
//!
//! Each gateway reports its use of the current window with its load. Its peers keep the last report of each
//! process for a window after it ended. A process that starts asks them, and counts what its predecessors
//! used as its own.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// Time from the first answer on for which a process goes on asking: answers of several peers cover lost
/// datagrams and peers that have started themselves.
const ASK_SPAN: Duration = Duration::from_millis(400);

/// Use of a service's retry budget by one process within one window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowUse {
    /// Requests of callers.
    #[serde(rename = "q")]
    pub requests: u32,
    /// Retries that were sent.
    #[serde(rename = "r")]
    pub retries: u32,
}

/// Uses of one process, by service.
pub type WindowUses = BTreeMap<String, WindowUse>;

/// Use by a process that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PastUse {
    /// When it was reported last.
    pub reported_at: Timestamp,
    /// The use that was reported.
    pub used: WindowUse,
}

impl PastUse {
    /// Requests and retries that count in the window that ends now. The retries may all have been sent just
    /// before the report; the requests are taken to have come evenly over the window before it.
    pub fn in_window(&self, now: Timestamp, window: Duration) -> (f64, f64) {
        let passed = now.since(self.reported_at).as_secs_f64() / window.as_secs_f64().max(1e-3);
        if passed >= 1.0 {
            return (0.0, 0.0);
        }
        (f64::from(self.used.requests) * (1.0 - passed), f64::from(self.used.retries))
    }
}

/// A process that has ended, as one peer knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PastProcess {
    /// Its start time in microseconds.
    #[serde(rename = "l")]
    pub incarnation: u64,
    /// Milliseconds since its last report.
    #[serde(rename = "a")]
    pub age: u64,
    /// What it reported last.
    #[serde(rename = "u")]
    pub uses: WindowUses,
}

/// Answer of a peer about the predecessors of a process.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PastReport {
    /// Milliseconds for which the peer has been receiving reports.
    #[serde(rename = "s")]
    pub span: u64,
    /// The predecessors that it knows of, within that time.
    #[serde(rename = "p")]
    pub processes: Vec<PastProcess>,
}

#[derive(Clone, Debug)]
struct Reported {
    incarnation: u64,
    received_at: Timestamp,
    uses: WindowUses,
}

/// What peers reported of their use, kept for their successors.
#[derive(Clone, Debug)]
pub struct PeerUses {
    /// Time from which on all reports were received.
    known_from: Timestamp,
    /// By name of the VM, the latest process last.
    processes: HashMap<String, Vec<Reported>>,
}

impl PeerUses {
    /// Nothing yet, at a process that receives all reports from `known_from` on.
    pub fn new(known_from: Timestamp) -> Self {
        PeerUses { known_from, processes: HashMap::new() }
    }

    /// Records the newest report of a peer.
    pub fn on_report(&mut self, now: Timestamp, name: &str, incarnation: u64, uses: &WindowUses) {
        if !self.processes.contains_key(name) {
            self.processes.insert(name.to_owned(), Vec::new());
        }
        let Some(processes) = self.processes.get_mut(name) else { return };
        match processes.last_mut().filter(|p| p.incarnation == incarnation) {
            Some(last) => {
                last.received_at = now;
                if last.uses != *uses {
                    last.uses.clone_from(uses);
                }
            }
            None => {
                processes.push(Reported { incarnation, received_at: now, uses: uses.clone() });
            }
        }
    }

    /// Answers a process that asks for its predecessors; `None` if none is known.
    pub fn past(
        &self,
        now: Timestamp,
        window: Duration,
        name: &str,
        incarnation: u64,
    ) -> Option<PastReport> {
        let past = self.processes.get(name)?.iter().filter(|p| p.incarnation != incarnation);
        let recent = past.filter(|p| now.since(p.received_at) < window);
        let processes: Vec<PastProcess> = recent
            .map(|p| PastProcess {
                incarnation: p.incarnation,
                age: now.since(p.received_at).as_millis() as u64,
                uses: p.uses.clone(),
            })
            .collect();
        let span = now.since(self.known_from).as_millis() as u64;
        (!processes.is_empty()).then_some(PastReport { span, processes })
    }

    /// Forgets processes that were heard of last more than a window ago.
    pub fn expire(&mut self, now: Timestamp, window: Duration) {
        for processes in self.processes.values_mut() {
            processes.retain(|p| now.since(p.received_at) < window);
        }
        self.processes.retain(|_, processes| !processes.is_empty());
    }
}

/// What a process has learned of its predecessors.
#[derive(Clone, Debug)]
pub struct Predecessors {
    known_from: Timestamp,
    /// Time until which peers are asked, once one has answered.
    ask_until: Option<Timestamp>,
    /// By incarnation: the latest report that any peer has received.
    processes: BTreeMap<u64, (Timestamp, WindowUses)>,
}

impl Predecessors {
    /// Nothing yet, of a process that has no predecessors from `known_from` on.
    pub fn new(known_from: Timestamp) -> Self {
        Predecessors { known_from, ask_until: None, processes: BTreeMap::new() }
    }

    /// Adds the answer of a peer; false if it tells nothing new.
    pub fn on_past_report(&mut self, now: Timestamp, report: PastReport) -> bool {
        let mut changed = self.ask_until.is_none();
        self.ask_until.get_or_insert(now.after(ASK_SPAN));
        self.known_from = self.known_from.min(now.before(Duration::from_millis(report.span)));
        for process in report.processes {
            let at = now.before(Duration::from_millis(process.age));
            let known = self.processes.get(&process.incarnation);
            if known.is_none_or(|(known_at, _)| *known_at < at) {
                changed |= known.is_none_or(|(_, uses)| *uses != process.uses);
                self.processes.insert(process.incarnation, (at, process.uses));
            }
        }
        changed
    }

    /// Time from which on all predecessors are known.
    pub fn known_from(&self) -> Timestamp {
        self.known_from
    }

    /// Must peers still be asked?
    pub fn must_ask(&self, now: Timestamp, window: Duration) -> bool {
        now.since(self.known_from) < window && self.ask_until.is_none_or(|until| now < until)
    }

    /// What they used of a service's budget.
    pub fn of_service(&self, service: &str) -> Vec<PastUse> {
        let uses = self.processes.values();
        let of_service = uses.filter_map(|(at, uses)| Some((*at, *uses.get(service)?)));
        of_service.map(|(reported_at, used)| PastUse { reported_at, used }).collect()
    }
}
