//! Calls of the platform for the control task, each in a task of its own.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::config::parts::{Manifest, Part};
use ebonyloft_core::ids::{Digest, Peer};
use ebonyloft_core::members::Datagram;
use ebonyloft_core::placement::Placement;
use ebonyloft_core::placement::keeper::Change;
use ebonyloft_core::time::Moment;

use super::{ControlMessage, ControlSender, MANIFEST_KEY, PART_PREFIX, PLACEMENT_KEY, Topic};
use crate::store::{Store, StoreError, Stored};

/// Pause of a reader after a failed call.
const PAUSE: Duration = Duration::from_secs(1);
/// Pause between two looks at the list of VMs.
const VMS_PAUSE: Duration = Duration::from_secs(2);

/// Starts the watches of a reader; they rest while this process is none.
pub fn watch(store: &Rc<dyn Store>, reader: &Rc<Cell<bool>>, sender: &ControlSender) {
    for topic in [Topic::Config, Topic::Placement] {
        let (store, reader, sender) = (store.clone(), reader.clone(), sender.clone());
        compio::runtime::spawn(watch_one(store, topic, reader, sender)).detach();
    }
    let (store, reader, sender) = (store.clone(), reader.clone(), sender.clone());
    compio::runtime::spawn(watch_vms(store, reader, sender)).detach();
}

async fn watch_one(
    store: Rc<dyn Store>,
    topic: Topic,
    reader: Rc<Cell<bool>>,
    sender: ControlSender,
) {
    let mut index = 0;
    loop {
        if !reader.get() {
            compio::time::sleep(PAUSE).await;
            continue;
        }
        let read = store.watch(key(topic), index).await;
        let pause = read.is_err() || read.as_ref().is_ok_and(|s| s.index == 0);
        if let Ok(stored) = &read {
            index = stored.index;
        }
        if sender
            .unbounded_send(ControlMessage::Read(topic, read))
            .is_err()
        {
            return;
        }
        if pause {
            compio::time::sleep(PAUSE).await;
        }
    }
}

async fn watch_vms(store: Rc<dyn Store>, reader: Rc<Cell<bool>>, sender: ControlSender) {
    loop {
        if reader.get()
            && let Ok(rows) = store.vms().await
            && sender.unbounded_send(ControlMessage::Vms(rows)).is_err()
        {
            return;
        }
        compio::time::sleep(VMS_PAUSE).await;
    }
}

/// Reads one document once.
pub fn read(store: &Rc<dyn Store>, topic: Topic, sender: &ControlSender) {
    let (store, sender) = (store.clone(), sender.clone());
    compio::runtime::spawn(async move {
        let stored = store.read(key(topic)).await;
        let _ = sender.unbounded_send(ControlMessage::Read(topic, stored));
    })
    .detach();
}

/// Understands what the platform answered; fetches the parts that are not held.
pub fn complete(
    store: &Rc<dyn Store>,
    topic: Topic,
    read: Result<Stored, StoreError>,
    bodies: &HashMap<Digest, Arc<str>>,
    sender: &ControlSender,
) {
    let (store, sender, bodies) = (store.clone(), sender.clone(), bodies.clone());
    compio::runtime::spawn(async move {
        let message = interpret(&store, topic, read, &bodies).await;
        let _ = sender.unbounded_send(message);
    })
    .detach();
}

fn key(topic: Topic) -> &'static str {
    match topic {
        Topic::Config => MANIFEST_KEY,
        Topic::Placement => PLACEMENT_KEY,
    }
}

async fn interpret(
    store: &Rc<dyn Store>,
    topic: Topic,
    read: Result<Stored, StoreError>,
    bodies: &HashMap<Digest, Arc<str>>,
) -> ControlMessage {
    let Ok(stored) = read else {
        return ControlMessage::Failed(topic);
    };
    let Some(value) = stored.value else {
        return ControlMessage::Empty(topic);
    };
    match topic {
        Topic::Placement => match serde_json::from_slice::<Placement>(&value) {
            Ok(placement) => ControlMessage::Placement(Box::new(placement)),
            Err(_) => ControlMessage::Failed(topic),
        },
        Topic::Config => match manifest(store, &value, bodies).await {
            Some(read) => ControlMessage::Manifest(Box::new(read)),
            None => ControlMessage::Failed(topic),
        },
    }
}

async fn manifest(
    store: &Rc<dyn Store>,
    value: &Bytes,
    bodies: &HashMap<Digest, Arc<str>>,
) -> Option<(Manifest, Vec<Part>)> {
    let manifest: Manifest = serde_json::from_slice(value).ok()?;
    let mut parts = Vec::new();
    for digest in manifest.parts.iter().filter(|d| !bodies.contains_key(d)) {
        let stored = store.read(&format!("{PART_PREFIX}{digest}")).await.ok()?;
        let part = Part::new(String::from_utf8(stored.value?.to_vec()).ok()?);
        if part.digest != *digest {
            return None;
        }
        parts.push(part);
    }
    Some((manifest, parts))
}

/// Changes the placement by one compare-and-swap; whoever loses a race looks again later.
pub fn change(
    store: &Rc<dyn Store>,
    now: Moment,
    me: Peer,
    homes: Vec<Peer>,
    change: Change,
    sender: &ControlSender,
) {
    let (store, sender) = (store.clone(), sender.clone());
    compio::runtime::spawn(async move {
        let Ok(stored) = store.read(PLACEMENT_KEY).await else {
            return;
        };
        let old: Placement = match &stored.value {
            Some(value) => match serde_json::from_slice(value) {
                Ok(old) => old,
                Err(_) => return,
            },
            None => Placement::default(),
        };
        let next = change.apply(now, &me, &homes, &old);
        let current = match next {
            None => old,
            Some(next) => {
                let value = serde_json::to_vec(&next).unwrap_or_default();
                match store.swap(PLACEMENT_KEY, value.into(), stored.index).await {
                    Ok(true) => {
                        tracing::info!(epoch = next.epoch, ?change, "placement changed");
                        next
                    }
                    _ => return,
                }
            }
        };
        let _ = sender.unbounded_send(ControlMessage::Placement(Box::new(current)));
    })
    .detach();
}

/// Size of a datagram as sent, in bytes.
pub fn size_of(data: &Datagram) -> u64 {
    let mut bytes = Vec::with_capacity(1_024);
    let _ = ciborium::into_writer(data, &mut bytes);
    bytes.len() as u64
}
