//! Calls that a sidecar makes as a home: hand-overs, and the highest order number.

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

/// Slots asked for in one question, so that the answer stays below the frame limit.
pub const SLOTS_AT_ONCE: usize = 16;
/// Prefix of the keys of order numbers.
pub const FENCE_PREFIX: &str = "ebonyloft/orders/";
/// Pause after a failed read of the order number.
const PAUSE: Duration = Duration::from_secs(1);

/// The order number of one engine, as the platform keeps it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct FenceRow {
    /// Highest number given out.
    pub fence: u64,
    /// Who holds it.
    pub holder: String,
    /// When the holder's lease ends.
    pub lease_end: ebonyloft_core::time::Moment,
}

/// Asks the earlier home for the records of some slots.
pub fn take_over(
    addr: SocketAddr,
    me: &Rc<Identity>,
    from: Peer,
    epoch: u64,
    slots: Vec<u16>,
    events: &UnboundedSender<Event>,
) {
    let (me, events) = (me.clone(), events.clone());
    compio::runtime::spawn(async move {
        let body = link::call(addr, &me, Control::TakeOver { epoch, slots })
            .await
            .ok();
        let _ = events.unbounded_send(Event::HandedOver { from, body });
    })
    .detach();
}

/// Reads the highest order number until the platform answers.
pub fn read_fence(store: Rc<dyn Store>, me: MemberId, events: UnboundedSender<Event>) {
    compio::runtime::spawn(async move {
        let key = format!("{FENCE_PREFIX}{me}");
        loop {
            if let Ok(stored) = store.read(&key).await {
                let row = stored
                    .value
                    .and_then(|v| serde_json::from_slice::<FenceRow>(&v).ok());
                let fence = row.unwrap_or_default().fence;
                let _ = events.unbounded_send(Event::Fence(fence));
                return;
            }
            compio::time::sleep(PAUSE).await;
        }
    })
    .detach();
}
