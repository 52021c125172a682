//! Live migration of runs: when an engine is about to run out of memory, which gateway acts, which
//! run it moves and to which engine.
//!
//! An engine that runs out of memory preempts the newest of its least urgent requests and processes
//! the prompt again. Moving that run to an engine with free memory costs a few milliseconds.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

use crate::catalog::{Engine, Server, ServerId};
use crate::engine_load::EngineLoad;
use crate::engines::EngineAdmission;
use crate::forecast::{MARGIN_SIGMAS, MemoryForecast};

/// Standard deviations above the expected use at which an engine counts as about to run out.
const TRIGGER_SIGMAS: f64 = 1.0;
/// Shortest time between two checks of an engine, a sixth of the pause that callers notice.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without migrations from an engine after one that was refused or failed.
pub const FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);
/// How often one run may be moved. Each move is one more arrival at the service.
pub const MOVES_MAX: u32 = 2;

/// Is an engine with this load of all gateways expected to run out of memory within 256 tokens? At 3
/// to 9 ms a token there is time for a migration.
pub fn runs_out(load: EngineLoad, engine: &Engine) -> bool {
    load.memory.free_tokens_soon(engine.tokens, TRIGGER_SIGMAS) < 0
}

/// Is this gateway, with its name and its own requests at an engine, the one that moves a run from
/// there? It is if it has the most requests; among equals the smallest name decides.
pub fn decides<'a>(own: (&str, u32), mut peers: impl Iterator<Item = (&'a str, u32)>) -> bool {
    let (name, count) = own;
    count > 0 && !peers.any(|(peer, n)| n > count || (n == count && peer < name))
}

/// Returns the engine with the most free memory of those that can take a run with the forecast
/// `memory` with the full margin, which also rules out engines that are about to run out.
pub fn choose_target<'a>(
    now: Timestamp,
    source: &ServerId,
    servers: impl Iterator<Item = &'a Server>,
    engines: &EngineAdmission,
    engine: &Engine,
    peer_load: impl Fn(&ServerId) -> EngineLoad,
    memory: MemoryForecast,
) -> Option<&'a Server> {
    let free = |s: &'a Server| {
        let load = engines.own_load(&s.id).plus(peer_load(&s.id));
        let free = load.memory.plus(memory).free_tokens(engine.tokens, MARGIN_SIGMAS);
        (free >= 0 && load.count < engine.slots).then_some((free, s))
    };
    let servers = servers.filter(|s| s.id != *source && engines.may_take(now, &s.id));
    servers.filter_map(free).max_by_key(|(free, _)| *free).map(|(_, s)| s)
}

/// Identifies a run; a later run has a higher number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunId(u64);

/// Runs at one engine, and the migrations from it.
#[derive(Clone, Debug, Default)]
struct EngineRuns {
    /// Level of each run that may be moved.
    runs: BTreeMap<RunId, u8>,
    /// When it was last checked, and whether this gateway is to move a run.
    checked_at: Timestamp,
    is_due: bool,
    /// When a target was last looked for.
    searched_at: Timestamp,
    /// A migration from this engine is in progress.
    is_moving: bool,
    backoff_until: Timestamp,
}

impl EngineRuns {
    /// The newest run of the least urgent level, which the engine would preempt.
    fn selected(&self) -> Option<RunId> {
        self.runs.iter().max_by_key(|(run, level)| (**level, **run)).map(|(run, _)| *run)
    }
}

/// This gateway's runs that may be moved, by engine.
#[derive(Clone, Debug, Default)]
pub struct Migrations {
    engines: HashMap<ServerId, EngineRuns>,
    last_run: u64,
}

impl Migrations {
    /// Adds a run that may be moved; `level` is its urgency, 0 being the most urgent.
    pub fn add(&mut self, id: &ServerId, level: u8) -> RunId {
        self.last_run += 1;
        let run = RunId(self.last_run);
        self.engines.entry(id.clone()).or_default().runs.insert(run, level);
        run
    }

    /// Removes a run that ended, was moved or may not be moved any more.
    pub fn remove(&mut self, id: &ServerId, run: RunId) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.runs.remove(&run);
        }
    }

    /// Should a target be looked for, to which this run is moved? Called at each event of the run;
    /// `is_due` says whether the engine is expected to run out and this gateway decides. It is
    /// evaluated at most once in `CHECK_INTERVAL` for an engine.
    pub fn should_move(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        run: RunId,
        is_due: impl FnOnce() -> bool,
    ) -> bool {
        let Some(engine) = self.engines.get_mut(id) else {
            return false;
        };
        if now.since(engine.checked_at) >= CHECK_INTERVAL {
            engine.checked_at = now;
            engine.is_due = is_due();
        }
        let may_move = engine.is_due && !engine.is_moving && now >= engine.backoff_until;
        let searched = now.since(engine.searched_at) < CHECK_INTERVAL;
        if !may_move || searched || engine.selected() != Some(run) {
            return false;
        }
        engine.searched_at = now;
        true
    }

    /// Records that a migration from an engine begins.
    pub fn begin(&mut self, id: &ServerId) {
        self.engines.entry(id.clone()).or_default().is_moving = true;
    }

    /// Records that a migration from an engine ended.
    pub fn end(&mut self, id: &ServerId) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.is_moving = false;
            // The load has changed, so the next event checks it again.
            engine.checked_at = Timestamp::default();
        }
    }

    /// Records that a migration from an engine was refused or failed.
    pub fn on_failure(&mut self, now: Timestamp, id: &ServerId) {
        self.engines.entry(id.clone()).or_default().backoff_until = now.after(FAILURE_BACKOFF);
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, alive: impl Fn(&ServerId) -> bool) {
        self.engines.retain(|id, engine| alive(id) || !engine.runs.is_empty() || engine.is_moving);
    }
}
