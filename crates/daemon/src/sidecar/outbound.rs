//! Background calls that a sidecar makes: shard handovers from previous owners, and the read of its
//! engine's highest fencing token.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_core::ids::{MemberId, Peer};
use ebonyloft_core::message::Control;
use futures_channel::mpsc::UnboundedSender;
use serde::{Deserialize, Serialize};

use super::Event;
use crate::link::{self, Identity};
use crate::store::Store;

/// Shards requested in one call, so that the answer stays below the frame limit.
pub const SHARDS_PER_CALL: usize = 16;
/// Prefix of the store keys of fencing records.
pub const FENCING_KEY_PREFIX: &str = "ebonyloft/orders/";
/// Pause after a failed read of the fencing record.
const READ_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The fencing token and order lease of one engine, as kept in the platform's store.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct FencingRecord {
    /// Highest token issued.
    pub fence: u64,
    /// Operator that holds the token.
    pub holder: String,
    /// End of this operator's lease.
    pub lease_end: ebonyloft_core::time::Timestamp,
}

/// Requests the records of these shards from their previous owner.
pub fn request_handover(
    addr: SocketAddr,
    me: &Rc<Identity>,
    from: Peer,
    epoch: u64,
    shards: Vec<u16>,
    events: &UnboundedSender<Event>,
) {
    let (me, events) = (me.clone(), events.clone());
    compio::runtime::spawn(async move {
        let body = link::call(addr, &me, Control::TakeOver { epoch, slots: shards }).await.ok();
        let _ = events.unbounded_send(Event::HandoverAnswered { from, body });
    })
    .detach();
}

/// Reads the highest fencing token; retries until the platform's store answers.
pub fn read_fence(store: Rc<dyn Store>, me: MemberId, events: UnboundedSender<Event>) {
    compio::runtime::spawn(async move {
        let key = format!("{FENCING_KEY_PREFIX}{me}");
        loop {
            if let Ok(stored) = store.read(&key).await {
                let record =
                    stored.value.and_then(|v| serde_json::from_slice::<FencingRecord>(&v).ok());
                let fence = record.unwrap_or_default().fence;
                let _ = events.unbounded_send(Event::FencingToken(fence));
                return;
            }
            compio::time::sleep(READ_RETRY_PAUSE).await;
        }
    })
    .detach();
}
