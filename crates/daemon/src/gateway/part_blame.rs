//! Quarantine of requests with a part of the prompt that crashes backend servers, whatever else they hold.
//!
//! The rules are in `ebonyloft_router::part_blame`; `quarantine` observes the crashes. A confirmed part is also
//! written to the store, under a lease, so that it outlives the loss of all gateways. The removal of a key is
//! ignored, since keys also expire with the store. An operator releases a part by writing a release record.

use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::store::Item;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::lost_attempts::LostAttempt;
use ebonyloft_router::part_blame::{
    ANNOUNCE_TIME, CONFIRMED_TTL, PartChange, PartDigest, PartFact, PartState, PartUpdate,
    PromptParts,
};
use ebonyloft_router::stream_origin::SoftwareId;
use serde::{Deserialize, Serialize};

use super::answer::Cause;
use super::intake::Intake;
use super::leased_record::{self, Record};
use super::quarantine::{self, Refused};
use super::shared::{Shared, SnapshotVersion};
use super::watch::Sink;

/// Prefix of the store's keys of confirmed parts.
pub const CONFIRMED_PREFIX: &str = "ebonyloft/crashing-parts/";
/// Hex digits of a part's digest in a key.
const PART_DIGITS: usize = 16;
/// Gateways that write a confirmed part besides the first one, on average.
const WRITERS: f64 = 2.0;

/// A confirmed part's record in the store; its key begins with the part's digest.
#[derive(Debug, Deserialize, Serialize)]
struct PartRecord {
    /// The software whose servers the part crashes.
    #[serde(default)]
    software: SoftwareId,
    /// Servers that crashed under the part.
    servers: Vec<String>,
    /// When it was confirmed, or released.
    #[serde(default)]
    at: Timestamp,
    /// The gateway that wrote the record.
    by: String,
    /// Set by an operator to release the part.
    #[serde(default)]
    release: bool,
}

/// The only probe of suspected parts in the whole system.
pub struct Probe {
    number: u64,
}

impl Probe {
    /// Whether another gateway's probe of the same parts comes first.
    fn yields(&self, shared: &Shared) -> bool {
        shared.part_blame.borrow().yields(shared.now(), self.number)
    }

    /// Ends the probe, so that the next one may begin if the parts are still suspected.
    pub fn close(self, shared: &Shared) {
        publish(shared, vec![PartFact::Over(self.number).now()]);
    }
}

/// Decides by its parts whether a request may be sent. It waits briefly while a part is being probed or
/// a lost run with it is being checked; any other refusal is immediate.
pub async fn admit(shared: &Shared, intake: &Intake) -> Result<Option<Probe>, Refused> {
    if is_free(shared, intake) {
        return Ok(None);
    }
    let software = software(shared, intake);
    let state = || shared.part_blame.borrow().state(shared.now(), &intake.parts, &software);
    loop {
        quarantine::wait_while(shared, || matches!(state(), PartState::Held(_))).await;
        match state() {
            PartState::Free => return Ok(None),
            PartState::Suspect => {
                let probe = announce_probe(shared, intake, &software);
                compio::time::sleep(ANNOUNCE_TIME).await;
                if !probe.yields(shared) {
                    return Ok(Some(probe));
                }
                probe.close(shared);
            }
            PartState::Held(until) => {
                return Err(refuse(shared, intake, None, Cause::Suspect, until));
            }
            PartState::Refused { part, until } => {
                return Err(refuse(shared, intake, Some(part), Cause::Quarantined, until));
            }
        }
    }
}

/// Whether no part can keep a request back, which saves a walk through the servers.
fn is_free(shared: &Shared, intake: &Intake) -> bool {
    intake.parts.is_empty() || shared.part_blame.borrow().is_quiet()
}

fn announce_probe(shared: &Shared, intake: &Intake, software: &[SoftwareId]) -> Probe {
    let number = shared.random_id();
    let fact = shared.part_blame.borrow().probe(&intake.parts, software, number);
    tracing::info!(
        id = intake.id(),
        parts = intake.part_digits(),
        "request sent as a probe of its parts"
    );
    publish(shared, vec![fact.now()]);
    Probe { number }
}

fn refuse(
    shared: &Shared,
    intake: &Intake,
    part: Option<PartDigest>,
    cause: Cause,
    until: Timestamp,
) -> Refused {
    let crashes = part.map(|part| shared.part_blame.borrow().crashes(part).len());
    let part = part.map(|part| part.to_string());
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    let ms = until.since(shared.now()).as_millis() as u64;
    tracing::info!(
        id = intake.id(), content = %intake.digest, parts = intake.part_digits(), part, ?cause,
        endings = crashes, ms, config, roster, age, "request refused"
    );
    shared.metrics.count("gateway.parts.refused", 1);
    Refused::new(cause, until)
}

/// The softwares that may serve a request.
fn software(shared: &Shared, intake: &Intake) -> Vec<SoftwareId> {
    let registry = shared.registry.borrow();
    let servers = registry.ready(&intake.service).filter(|s| intake.origin.admits(s));
    let mut software: Vec<SoftwareId> = servers.map(SoftwareId::shared).collect();
    software.sort_unstable();
    software.dedup();
    software
}

/// The part because of which a request is refused, if it is. Checked again at each step, since the
/// request may have waited.
pub fn refused_part(shared: &Shared, intake: &Intake) -> Option<PartDigest> {
    if is_free(shared, intake) {
        return None;
    }
    let software = software(shared, intake);
    match shared.part_blame.borrow().state(shared.now(), &intake.parts, &software) {
        PartState::Refused { part, .. } => Some(part),
        PartState::Free | PartState::Held(_) | PartState::Suspect => None,
    }
}

/// Must a prompt with these parts not be sent to some server of a service?
pub fn is_refused_by_any(shared: &Shared, parts: &PromptParts, service: &str) -> bool {
    let registry = shared.registry.borrow();
    registry.ready(service).any(|server| is_refused(shared, parts, server))
}

/// Must a prompt with these parts not be sent to a server?
pub fn is_refused(shared: &Shared, parts: &PromptParts, to: &Server) -> bool {
    let blame = shared.part_blame.borrow();
    !parts.is_empty() && blame.is_refused(shared.now(), parts, SoftwareId::shared(to))
}

/// Handles an answer that went on past its beginning.
pub fn on_sound(shared: &Shared, intake: &Intake, server: &Server) {
    if intake.parts.is_empty() {
        return;
    }
    let (now, software) = (shared.now(), SoftwareId::shared(server));
    let fact = shared.part_blame.borrow_mut().on_sound(now, &intake.parts, software);
    publish(shared, fact.into_iter().map(PartFact::now).collect());
}

/// Handles a run that was lost when it had just begun: its parts are held back until it is known
/// whether its server crashed.
pub fn on_lost(shared: &Shared, attempt: &LostAttempt) {
    let LostAttempt { parts, software, number, .. } = attempt;
    let fact = shared.part_blame.borrow().loss(shared.now(), parts, *software, *number);
    publish(shared, fact.into_iter().map(PartFact::now).collect());
}

/// Handles lost runs whose server turned out to be alive.
pub fn on_alive(shared: &Shared, attempts: &[LostAttempt]) {
    let held = attempts.iter().filter(|attempt| attempt.early && !attempt.parts.is_empty());
    publish(shared, held.map(|attempt| PartFact::Over(attempt.number).now()).collect());
}

/// Handles the crash of a server under attempts.
pub fn on_crash(shared: &Shared, id: &ServerId, attempts: &[LostAttempt]) {
    let mut updates = Vec::new();
    for attempt in attempts.iter().filter(|attempt| attempt.early && !attempt.parts.is_empty()) {
        let age = shared.now().since(attempt.at).as_millis() as u64;
        let fact = PartFact::Crashed(id.clone(), attempt.software, attempt.parts.clone());
        updates.push(PartUpdate { age, fact });
        updates.push(PartFact::Over(attempt.number).now());
    }
    publish(shared, updates);
}

/// Applies observations made here and publishes them to all gateways.
fn publish(shared: &Shared, updates: Vec<PartUpdate>) {
    if updates.is_empty() {
        return;
    }
    apply(shared, &updates, None);
    shared.outgoing_gossip.borrow_mut().part_updates.extend(updates);
    shared.background_waiters.wake_all();
}

/// Applies observations made here, or reported by a peer or the store; what a sound answer here contradicts is
/// refuted.
pub fn apply(shared: &Shared, updates: &[PartUpdate], peer: Option<&str>) {
    let now = shared.now();
    // What contradicts an update is known only before the update is applied.
    let refutations: Vec<PartUpdate> = match peer {
        Some(_) => {
            let blame = shared.part_blame.borrow();
            updates.iter().filter_map(|update| blame.refutation(now, update)).collect()
        }
        None => Vec::new(),
    };
    let changes = shared.part_blame.borrow_mut().apply_all(now, updates);
    changes.iter().for_each(|change| on_change(shared, *change, peer));
    // In a large fleet only some of the gateways that could refute do so.
    if !refutations.is_empty() && quarantine::refutes(shared) {
        publish(shared, refutations);
    }
}

fn on_change(shared: &Shared, change: PartChange, peer: Option<&str>) {
    match change {
        PartChange::Suspected(part) => {
            let crashes = shared.part_blame.borrow().crashes(part).len();
            tracing::info!(%part, peer, endings = crashes, "part of prompts suspected of crashing servers");
        }
        PartChange::Confirmed(part, software) => on_confirmed(shared, part, software, peer),
        PartChange::Cleared(part) => {
            tracing::info!(%part, peer, "part of prompts cleared of crashing servers");
        }
    }
}

fn on_confirmed(shared: &Shared, part: PartDigest, software: SoftwareId, peer: Option<&str>) {
    let servers = servers(shared, part);
    let registry = shared.registry.borrow();
    let version = software.version(registry.all()).unwrap_or_default();
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    tracing::warn!(
        %part, peer, version, endings = servers.len(), servers = servers.join(" "), config, roster, age,
        "part of prompts confirmed to crash servers"
    );
    shared.metrics.count("gateway.parts.proved", 1);
    let share = WRITERS / shared.gateway_count() as f64;
    let writes = quarantine::is_first_gateway(shared) || shared.random_fraction() < share;
    if writes && peer != Some(STORE) {
        shared.unsaved_parts.borrow_mut().push((part, software, shared.now()));
    }
}

/// Names the store as the source of a fact.
const STORE: &str = "store";

fn servers(shared: &Shared, part: PartDigest) -> Vec<String> {
    let crashes = shared.part_blame.borrow().crashes(part);
    crashes.iter().map(ServerId::to_string).collect()
}

/// Confirms parts, writes them to the store and expires old state.
pub fn upkeep(shared: &Rc<Shared>) {
    let now = shared.now();
    let confirmed = shared.part_blame.borrow_mut().confirm(now);
    confirmed.into_iter().for_each(|(part, software)| on_confirmed(shared, part, software, None));
    for (part, software, at) in shared.unsaved_parts.take() {
        compio::runtime::spawn(store_record(shared.clone(), part, software, at)).detach();
    }
    for part in shared.part_blame.borrow_mut().expire(now) {
        tracing::info!(%part, "confirmation of a part of prompts expired");
    }
    let counts = shared.part_blame.borrow().counts();
    shared.metrics.gauge("gateway.parts.suspects", counts.suspects as u64);
    shared.metrics.gauge("gateway.parts.confirmed", counts.confirmed as u64);
}

/// Writes the record of a confirmed part to the store while the part stays confirmed.
async fn store_record(shared: Rc<Shared>, part: PartDigest, software: SoftwareId, at: Timestamp) {
    let by = &shared.node().name;
    let record = || {
        let is_confirmed = shared.part_blame.borrow().is_confirmed(shared.now(), part, software);
        let servers = servers(&shared, part);
        let record = PartRecord { software, servers, at, by: by.clone(), release: false };
        is_confirmed.then(|| Record {
            key: format!("{CONFIRMED_PREFIX}{:016x}-{:016x}", part.0, software.number()),
            value: serde_json::to_vec(&record).expect("plain strings serialise"),
            ttl: CONFIRMED_TTL,
        })
    };
    leased_record::write(&shared, record).await;
}

/// Applies the store's records of confirmed parts.
pub struct PartSink(pub Rc<Shared>);

impl Sink for PartSink {
    fn apply(&self, item: Item) {
        let digits = item.key.strip_prefix(CONFIRMED_PREFIX).and_then(|key| key.get(..PART_DIGITS));
        let part = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok()).map(PartDigest);
        let (Some(value), Some(part)) = (item.value, part) else {
            return;
        };
        let record = match serde_json::from_slice::<PartRecord>(&value) {
            Ok(record) => record,
            Err(e) => {
                let revision = item.revision;
                return tracing::warn!(key = item.key, %revision, error = %e, "invalid quarantine record");
            }
        };
        let now = self.0.now();
        let (fact, at) = match record.release {
            true => (PartFact::Released(part), now),
            false => (PartFact::Confirmed(record.software, part), record.at),
        };
        let age = now.since(at).min(Duration::from_secs(u32::MAX.into())).as_millis() as u64;
        apply(&self.0, &[PartUpdate { age, fact }], Some(STORE));
    }
}
