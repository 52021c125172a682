//! Records of streams: reported to the gateways that follow the store, and written to it by one of
//! them while servers of several versions serve.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::store::{Item, StoreError, Write};
use ebonyloft_router::catalog::Server;
use ebonyloft_router::load_report::{GossipMessage, GossipState};
use ebonyloft_router::stream_origin::table::OriginRecord;
use ebonyloft_router::stream_origin::{SoftwareId, StreamKey};
use serde::{Deserialize, Serialize};

use super::followers_in_scope;
use crate::gateway::intake::Intake;
use crate::gateway::shared::Shared;
use crate::gateway::watch::Sink;

/// Prefix of the store's records of streams, by zone and slot.
pub const RECORD_PREFIX: &str = "ebonyloft/origins/";
/// Interval at which new records are reported.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(30);
/// Most records in a datagram.
pub const RECORDS_MAX: usize = 128;
/// Interval at which new records are written to the store. What is not written yet is lost with all gateways.
pub const RECORD_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a write that failed, for a store that is down or overloaded.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Most records of one write.
const SAVED_MAX: usize = 4_096;
/// Slots that records are written to in turn: half a minute of streams.
const SLOTS: u64 = 320;

/// A record in the store.
#[derive(Debug, Deserialize, Serialize)]
struct SavedRecord(StreamKey, SoftwareId, Timestamp);

/// Records which server wrote the first event of a request's answer.
pub fn on_first_event(shared: &Shared, intake: &Intake, server: &Server) {
    let Some(attempt) = &intake.caller.attempt else {
        return;
    };
    let key = StreamKey::new(intake.account_name(), attempt);
    let now = shared.now();
    let ends_at = intake.caller.time_left.map_or(intake.ends_at, |left| intake.came_at.after(left));
    shared.origins.borrow_mut().begin(now, key, SoftwareId::of(server), ends_at);
}

/// Applies records of a peer.
pub fn on_records(shared: &Shared, records: &[OriginRecord]) {
    let now = shared.now();
    let mut origins = shared.origins.borrow_mut();
    records.iter().for_each(|record| origins.on_record(now, *record));
}

/// Reports this gateway's records to the gateways that follow the store, and all of them to one that
/// is new.
pub async fn report(shared: Rc<Shared>) {
    let mut known = BTreeMap::new();
    loop {
        compio::time::sleep(REPORT_INTERVAL).await;
        if shared.origins.borrow().is_empty() {
            continue;
        }
        let followers = followers_in_scope(&shared);
        let now = shared.now();
        for (addr, life) in &followers {
            if known.get(addr) != Some(life) {
                let own = shared.origins.borrow().own_records(now);
                own.chunks(RECORDS_MAX).for_each(|records| send(&shared, *addr, records.to_vec()));
            }
        }
        known = followers;
        while shared.origins.borrow().has_outgoing() {
            let records = shared.origins.borrow_mut().take_outgoing(now, RECORDS_MAX);
            known.keys().for_each(|addr| send(&shared, *addr, records.clone()));
            if records.len() < RECORDS_MAX {
                break;
            }
        }
    }
}

fn send(shared: &Shared, to: SocketAddr, origins: Vec<OriginRecord>) {
    if !origins.is_empty() {
        let state = GossipState { origins, ..GossipState::default() };
        shared.queue_message(to, GossipMessage::Notes(state));
    }
}

/// Writes new records to the store while a service has had several softwares.
pub async fn keep(shared: Rc<Shared>) {
    loop {
        compio::time::sleep(RECORD_INTERVAL).await;
        let is_mixed = shared.histories.borrow().values().any(|history| history.is_mixed());
        if is_mixed && shared.role.borrow().leads() && save(&shared).await.is_err() {
            compio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Writes new records to the slot of the current time, so that a process that has just started leaves
/// alone what others wrote last.
async fn save(shared: &Shared) -> Result<(), StoreError> {
    let now = shared.now();
    let records = shared.origins.borrow_mut().take_unsaved(now, SAVED_MAX);
    if records.is_empty() {
        return Ok(());
    }
    let saved: Vec<SavedRecord> = records.iter().map(|record| saved_record(now, record)).collect();
    let mut value = Vec::new();
    if let Err(e) = ciborium::into_writer(&saved, &mut value) {
        tracing::error!(error = %e, "can't encode records of streams");
        return Ok(());
    }
    let slot = now.as_millis() / RECORD_INTERVAL.as_millis() as u64 % SLOTS;
    let key = format!("{RECORD_PREFIX}{}/{slot}", shared.node().zone);
    let write = Write { key: &key, value: &value, lease: 0 };
    let written = shared.store.txn(&[], &[write]).await;
    if let Err(e) = &written {
        tracing::info!(error = %e, count = records.len(), "can't write records of streams");
        shared.origins.borrow_mut().restore_unsaved(&records);
    }
    written.map(drop)
}

fn saved_record(now: Timestamp, record: &OriginRecord) -> SavedRecord {
    let until = now.after(Duration::from_millis(record.ttl.into()));
    SavedRecord(record.key, record.software, until)
}

/// Receives the store's records of streams.
pub struct RecordSink(pub Rc<Shared>);

impl Sink for RecordSink {
    fn apply(&self, item: Item) {
        let Some(value) = item.value else {
            return;
        };
        let records = match ciborium::from_reader::<Vec<SavedRecord>, _>(&value[..]) {
            Ok(records) => records,
            Err(e) => {
                let revision = item.revision;
                return tracing::warn!(key = item.key, %revision, error = %e, "invalid records of streams");
            }
        };
        let now = self.0.now();
        let mut origins = self.0.origins.borrow_mut();
        for SavedRecord(key, software, until) in records.into_iter().filter(|r| r.2 > now) {
            let ttl = u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX);
            origins.on_record(now, OriginRecord { key, software, ttl });
            origins.on_saved(key);
        }
    }
}
