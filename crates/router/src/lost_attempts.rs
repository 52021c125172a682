//! Determines whether a backend server crashed when an attempt at it broke off.
//!
//! An attempt also breaks off when its answer is lost or corrupted on the network, when connections are
//! reset, or when this process or the network path was stalled. The server is then alive and answers later
//! requests. It has crashed if its registration is gone, if another incarnation answers at its address, or if
//! connections to its port are refused. An attempt for which none of this is learned in time is not counted
//! as a crash.
//!
//! A crash may also leave connections open and silent, as that of a whole VM does. The attempt is then given up
//! only after the stall timeout, often when the registration is gone already, and so are the attempts that were
//! sent meanwhile. Only those are attributed to the crash whose server was heard from after they were sent.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::{Server, ServerId};
use crate::part_blame::PromptParts;
use crate::request_digest::RequestDigest;
use crate::stream_origin::SoftwareId;

/// Delay between the loss of a stream and the first probe of its server: the time that a crashing process
/// takes to close its port.
pub const STREAM_PROBE_DELAY: Duration = Duration::from_millis(30);
/// The same delay for a short call, where other calls to the server usually show within it whether it is
/// alive.
pub const CALL_PROBE_DELAY: Duration = Duration::from_millis(1_000);
/// Interval between the first two probes of a server; each further interval is longer by half of this.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Refused connections that mean a crash: a single one may come from a server with too many connections.
const REFUSALS_MIN: u32 = 2;
/// How long a lost attempt is investigated: a registration expires within three heartbeats, and a crashed
/// server is back after some seconds as a new incarnation.
pub const INVESTIGATION_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Probes of one server in one investigation, spread over `INVESTIGATION_TIMEOUT`.
const PROBES_MAX: u32 = 10;
/// How long it is remembered when a server was last heard from, and that it crashed: longer than the usual
/// timeout of a request that gets no answer.
const LIVENESS_TTL: Duration = Duration::from_secs(60);

/// An attempt that broke off.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostAttempt {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Shared parts of its prompt.
    pub parts: PromptParts,
    /// Software of the server that it was sent to.
    pub software: SoftwareId,
    /// It broke off soon after its start.
    pub early: bool,
    /// When it was sent.
    pub sent: Timestamp,
    /// When it was lost; for one that stalled, when its server was last heard from.
    pub at: Timestamp,
    /// Identifies the investigation.
    pub number: u64,
}

/// Result of probing a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// The probed incarnation answered.
    Alive,
    /// Another incarnation answered.
    Other,
    /// The connection was refused.
    Nobody,
    /// No answer.
    Silence,
}

#[derive(Clone, Debug)]
struct Investigation {
    addr: SocketAddr,
    attempts: Vec<LostAttempt>,
    probe_at: Timestamp,
    probes: u32,
    refusals: u32,
}

/// Lost attempts under investigation, by server incarnation.
#[derive(Clone, Debug, Default)]
pub struct LostAttempts {
    investigations: BTreeMap<ServerId, Investigation>,
    /// When each server was last heard from.
    heard: HashMap<ServerId, Timestamp>,
    /// Incarnations that crashed, each with the time of the first loss there.
    crashed: HashMap<ServerId, Timestamp>,
}

impl LostAttempts {
    /// Adds a lost attempt; the server is probed after `wait` unless its state is known before.
    pub fn add(&mut self, server: &Server, attempt: LostAttempt, wait: Duration) {
        let probe_at = attempt.at.after(wait);
        let investigation =
            self.investigations.entry(server.id.clone()).or_insert_with(|| Investigation {
                addr: server.addr,
                attempts: Vec::new(),
                probe_at,
                probes: 0,
                refusals: 0,
            });
        investigation.probe_at = investigation.probe_at.min(probe_at);
        investigation.attempts.push(attempt);
    }

    /// Something arrived from the server.
    pub fn on_heard(&mut self, now: Timestamp, id: &ServerId) {
        match self.heard.get_mut(id) {
            Some(at) => *at = now,
            None => drop(self.heard.insert(id.clone(), now)),
        }
    }

    /// When the server was last heard from, if that was after `sent`.
    pub fn heard_since(&self, sent: Timestamp, id: &ServerId) -> Option<Timestamp> {
        self.heard.get(id).copied().filter(|at| *at >= sent)
    }

    /// The server answered a request that was sent at `sent`: attempts lost before then did not crash it.
    /// Returns them.
    pub fn on_answer(&mut self, id: &ServerId, sent: Timestamp) -> Vec<LostAttempt> {
        self.crashed.remove(id);
        let Some(investigation) = self.investigations.get_mut(id) else {
            return Vec::new();
        };
        investigation.refusals = 0;
        let (cleared, left) =
            investigation.attempts.drain(..).partition(|attempt| attempt.at <= sent);
        investigation.attempts = left;
        if investigation.attempts.is_empty() {
            self.investigations.remove(id);
        }
        cleared
    }

    /// The server has crashed: returns the attempts that were lost by its crash. An attempt sent after the
    /// first loss reached a server that was already down.
    pub fn on_crash(&mut self, id: &ServerId) -> Vec<LostAttempt> {
        let mut attempts = self
            .investigations
            .remove(id)
            .map_or_else(Vec::new, |investigation| investigation.attempts);
        let losses = attempts.iter().map(|attempt| attempt.at);
        let Some(first) = losses.chain(self.crashed.get(id).copied()).min() else {
            return attempts;
        };
        self.crashed.insert(id.clone(), first);
        attempts.retain(|attempt| attempt.sent <= first);
        attempts
    }

    /// Does the same for all incarnations of a name except `current`.
    pub fn on_crash_except(
        &mut self,
        name: &str,
        current: Option<&ServerId>,
    ) -> Vec<(ServerId, Vec<LostAttempt>)> {
        let superseded = |id: &&ServerId| id.name == name && Some(*id) != current;
        let ids: Vec<ServerId> = self.investigations.keys().filter(superseded).cloned().collect();
        ids.into_iter().map(|id| (id.clone(), self.on_crash(&id))).collect()
    }

    /// Incarnations that have ended, since another one registered at their address.
    pub fn replaced(&self, addr: SocketAddr, by: &ServerId) -> Vec<ServerId> {
        let at_addr = self
            .investigations
            .iter()
            .filter(|(id, investigation)| investigation.addr == addr && *id != by);
        at_addr.map(|(id, _)| id.clone()).collect()
    }

    /// Servers to probe now; each is probed again later unless its state is learned before.
    pub fn due_probes(&mut self, now: Timestamp) -> Vec<(ServerId, SocketAddr)> {
        let mut due = Vec::new();
        for (id, investigation) in &mut self.investigations {
            if investigation.probe_at <= now && investigation.probes < PROBES_MAX {
                investigation.probe_at =
                    now.after(PROBE_INTERVAL + PROBE_INTERVAL / 2 * investigation.probes);
                investigation.probes += 1;
                due.push((id.clone(), investigation.addr));
            }
        }
        due
    }

    /// Time of the next probe.
    pub fn next_probe_at(&self) -> Option<Timestamp> {
        let open =
            self.investigations.values().filter(|investigation| investigation.probes < PROBES_MAX);
        open.map(|investigation| investigation.probe_at).min()
    }

    /// Records the result of a probe; true if the server has crashed.
    pub fn on_probe_result(&mut self, id: &ServerId, result: ProbeResult) -> bool {
        let Some(investigation) = self.investigations.get_mut(id) else {
            return false;
        };
        match result {
            ProbeResult::Other => true,
            ProbeResult::Nobody => {
                investigation.refusals += 1;
                investigation.refusals >= REFUSALS_MIN
            }
            ProbeResult::Alive | ProbeResult::Silence => false,
        }
    }

    /// Removes and returns lost attempts whose cause was not found in time.
    pub fn expire(&mut self, now: Timestamp) -> Vec<(ServerId, LostAttempt)> {
        self.heard.retain(|_, at| at.after(LIVENESS_TTL) > now);
        self.crashed.retain(|_, at| at.after(LIVENESS_TTL) > now);
        let mut expired = Vec::new();
        for (id, investigation) in &mut self.investigations {
            let (old, left) = investigation
                .attempts
                .drain(..)
                .partition(|attempt| attempt.at.after(INVESTIGATION_TIMEOUT) <= now);
            investigation.attempts = left;
            let old: Vec<LostAttempt> = old;
            expired.extend(old.into_iter().map(|attempt| (id.clone(), attempt)));
        }
        self.investigations.retain(|_, investigation| !investigation.attempts.is_empty());
        expired
    }

    /// Whether an attempt of this request is under investigation.
    pub fn is_investigated(&self, digest: &RequestDigest) -> bool {
        self.investigations.values().any(|investigation| {
            investigation.attempts.iter().any(|attempt| attempt.digest == *digest)
        })
    }
}
