//! Whose prompts and reservations the runs of backend servers used.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Instant;

use ebonyloft_router::catalog::ServerId;

use super::backend::BackendServer;

/// Prompts and copies that a backend server made, and what its runs named.
#[derive(Clone, Debug, Default)]
pub struct Ownership {
    made: Vec<Made>,
    named: Vec<Named>,
    /// Reservations that were made, each with the server's life.
    held: HashSet<(u64, String)>,
    /// Reservations that runs named, each with the server's life and the attempt.
    reservations: Vec<(u64, String, String)>,
}

/// A prompt, or a copy of a run. A server that starts again may give its names once more.
#[derive(Clone, Debug)]
struct Made {
    handle: String,
    attempt: String,
    /// The incarnation that made it.
    maker: ServerId,
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
    pub fn on_handle(&mut self, handle: &str, attempt: &str, maker: &ServerId) {
        self.record_made(handle, attempt, maker, None);
    }

    /// Records a copy of a run, which only the engine `user` can use.
    pub fn on_copy(&mut self, handle: &str, attempt: &str, maker: &ServerId, user: SocketAddr) {
        self.record_made(handle, attempt, maker, Some(user));
    }

    fn record_made(
        &mut self,
        handle: &str,
        attempt: &str,
        maker: &ServerId,
        user: Option<SocketAddr>,
    ) {
        let (handle, attempt, maker) = (handle.to_owned(), attempt.to_owned(), maker.clone());
        self.made.push(Made { handle, attempt, maker, at: Instant::now(), user });
    }

    /// Records a handle of the engine `source` that a run of an attempt named.
    pub fn on_named(&mut self, source: SocketAddr, handle: &str, attempt: &str) {
        let (handle, attempt) = (handle.to_owned(), attempt.to_owned());
        self.named.push(Named { source, handle, attempt, at: Instant::now() });
    }

    /// Records a reservation that was made in this life of the server.
    pub fn on_held(&mut self, life: u64, hold: &str) {
        self.held.insert((life, hold.to_owned()));
    }

    /// Records a reservation that a run of an attempt named in this life of the server. A name that this life has not
    /// given so far is nobody's.
    pub fn on_reservation(&mut self, life: u64, hold: &str, attempt: &str) {
        if self.held.contains(&(life, hold.to_owned())) {
            self.reservations.push((life, hold.to_owned(), attempt.to_owned()));
        }
    }
}

/// Runs that were told to use what belongs to another attempt, over all backend servers of a deployment. For a
/// handle: whose it was, the incarnation that made it, and the run's own exchanges with the engine there.
pub fn violations<'a>(backends: impl Iterator<Item = &'a BackendServer> + Clone) -> Vec<String> {
    let makers: HashMap<SocketAddr, &BackendServer> =
        backends.clone().map(|b| (b.server.borrow().addr, b)).collect();
    backends.flat_map(|backend| violations_at(backend, &makers)).collect()
}

fn violations_at(
    backend: &BackendServer,
    makers: &HashMap<SocketAddr, &BackendServer>,
) -> Vec<String> {
    let mut out = Vec::new();
    let (seen, addr) = (backend.observed.borrow(), backend.server.borrow().addr);
    for Named { source, handle, attempt, at } in &seen.ownership.named {
        let Some(maker) = makers.get(source) else {
            out.push(format!("{attempt} used {handle} of {source}, where no server is"));
            continue;
        };
        let there = maker.observed.borrow();
        // What the name meant when it was named.
        let is_meant = |made: &&Made| {
            made.handle == *handle && made.at <= *at && made.user.is_none_or(|user| user == addr)
        };
        let owner = match there.ownership.made.iter().rfind(is_meant) {
            Some(meant) if meant.attempt == *attempt => continue,
            Some(Made { attempt, maker, at: made_at, .. }) => {
                let age = at.duration_since(*made_at).as_millis();
                format!("made for {attempt} by {maker}, {age} ms before")
            }
            None => "made for no attempt".to_owned(),
        };
        let own = there.ownership.made.iter().filter(|made| made.attempt == *attempt);
        let own: Vec<_> = own.map(|made| format!("{} by {}", made.handle, made.maker)).collect();
        let sent = there.priorities.get(attempt).map_or(0, Vec::len);
        out.push(format!(
            "{attempt} used {handle} of {source}, {owner}; sent there itself {sent} times, made there for \
             it {own:?}"
        ));
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
