//! Whose prompts and reservations the runs of backend servers used.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use super::backend::BackendServer;

/// Prompts and copies that a backend server made, and what its runs named.
#[derive(Clone, Debug, Default)]
pub struct Ownership {
    made: Vec<Made>,
    named: Vec<Named>,
    /// Reservations that runs named, each with the server's life and the attempt.
    reservations: Vec<(u64, String, String)>,
}

/// A prompt, or a copy of a run. A server that starts again may give its names once more.
#[derive(Clone, Debug)]
struct Made {
    handle: String,
    attempt: String,
    at: Instant,
    /// The only engine that can use it. Targets name the copies that are made for them, so that two
    /// may have the same name.
    user: Option<SocketAddr>,
}

/// A handle that a run named.
#[derive(Clone, Debug)]
struct Named {
    source: SocketAddr,
    handle: String,
    attempt: String,
    at: Instant,
}

impl Ownership {
    /// Records a prompt that was made for an attempt.
    pub fn on_handle(&mut self, handle: &str, attempt: &str) {
        self.record_made(handle, attempt, None);
    }

    /// Records a copy of a run, which only the engine `user` can use.
    pub fn on_copy(&mut self, handle: &str, attempt: &str, user: SocketAddr) {
        self.record_made(handle, attempt, Some(user));
    }

    fn record_made(&mut self, handle: &str, attempt: &str, user: Option<SocketAddr>) {
        let (handle, attempt) = (handle.to_owned(), attempt.to_owned());
        self.made.push(Made { handle, attempt, at: Instant::now(), user });
    }

    /// Records a handle of the engine `source` that a run of an attempt named.
    pub fn on_named(&mut self, source: SocketAddr, handle: &str, attempt: &str) {
        let (handle, attempt) = (handle.to_owned(), attempt.to_owned());
        self.named.push(Named { source, handle, attempt, at: Instant::now() });
    }

    /// Records a reservation that a run of an attempt named in this life of the server.
    pub fn on_reservation(&mut self, life: u64, hold: &str, attempt: &str) {
        self.reservations.push((life, hold.to_owned(), attempt.to_owned()));
    }
}

/// Runs that were told to use what belongs to another attempt, over all backend servers of a deployment.
pub fn violations<'a>(backends: impl Iterator<Item = &'a BackendServer> + Clone) -> Vec<String> {
    let made: HashMap<SocketAddr, Vec<Made>> = backends
        .clone()
        .map(|b| (b.server.borrow().addr, b.observed.borrow().ownership.made.clone()))
        .collect();
    backends.flat_map(|backend| violations_at(backend, &made)).collect()
}

fn violations_at(backend: &BackendServer, made: &HashMap<SocketAddr, Vec<Made>>) -> Vec<String> {
    let mut out = Vec::new();
    let (seen, addr) = (backend.observed.borrow(), backend.server.borrow().addr);
    for Named { source, handle, attempt, at } in &seen.ownership.named {
        // What the name meant when it was named.
        let is_meant = |made: &&Made| {
            made.handle == *handle && made.at <= *at && made.user.is_none_or(|user| user == addr)
        };
        let meant = made.get(source).and_then(|made| made.iter().rfind(is_meant));
        if meant.is_none_or(|meant| meant.attempt != *attempt) {
            out.push(format!("{attempt} used {handle} of {source}, made for another attempt"));
        }
    }
    let mut takers: HashMap<(u64, &str), &str> = HashMap::new();
    for (life, hold, attempt) in &seen.ownership.reservations {
        let taker = *takers.entry((*life, hold)).or_insert(attempt);
        if taker != attempt {
            out.push(format!("{attempt} used the reservation {hold} of {taker}"));
        }
    }
    out
}
