//! Whose prompts and reservations the runs of backend servers used.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::backend::BackendServer;

/// Prompts and copies that a backend server made, and reservations that its runs named.
#[derive(Clone, Debug, Default)]
pub struct Ownership {
    /// Handles, each with the attempt that its prompt or copy was made for. Targets name the copies that
    /// are made for them, so that two may have the same name.
    made: HashSet<(String, String)>,
    /// Reservations that runs named, each with the attempt.
    reservations: Vec<(String, String)>,
}

impl Ownership {
    /// Records a prompt, or a copy of a run, that was made for an attempt.
    pub fn on_handle(&mut self, handle: &str, attempt: &str) {
        self.made.insert((handle.to_owned(), attempt.to_owned()));
    }

    /// Records a reservation that a run of an attempt named.
    pub fn on_reservation(&mut self, hold: &str, attempt: &str) {
        self.reservations.push((hold.to_owned(), attempt.to_owned()));
    }
}

/// Runs that were told to use what belongs to another attempt, over all backend servers of a deployment.
pub fn violations<'a>(backends: impl Iterator<Item = &'a BackendServer> + Clone) -> Vec<String> {
    let made: HashMap<SocketAddr, HashSet<(String, String)>> = backends
        .clone()
        .map(|b| (b.server.borrow().addr, b.observed.borrow().ownership.made.clone()))
        .collect();
    backends.flat_map(|backend| violations_at(backend, &made)).collect()
}

fn violations_at(
    backend: &BackendServer,
    made: &HashMap<SocketAddr, HashSet<(String, String)>>,
) -> Vec<String> {
    let mut out = Vec::new();
    let seen = backend.observed.borrow();
    for (attempt, sources) in &seen.kv_sources {
        for (addr, handle) in sources {
            let key = (handle.clone(), attempt.clone());
            if !made.get(addr).is_some_and(|made| made.contains(&key)) {
                out.push(format!("{attempt} used {handle} of {addr}, made for another attempt"));
            }
        }
    }
    let mut takers: HashMap<&str, &str> = HashMap::new();
    for (hold, attempt) in &seen.ownership.reservations {
        let taker = *takers.entry(hold).or_insert(attempt);
        if taker != attempt {
            out.push(format!("{attempt} used the reservation {hold} of {taker}"));
        }
    }
    out
}
