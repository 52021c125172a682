//! The platform's store: registrations of gateways, a revision for backend servers, and a link.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::fleet::Gateway;
use ebonyloft_router::revision::Revision;

/// Time of an answer without its transfer.
const LATENCY: Duration = Duration::from_millis(4);
/// Bytes a second of the store's link.
const LINK_RATE: f64 = 125e6;
/// Items of a page.
pub const PAGE_ITEMS: usize = 200;
/// Bytes of an item in a page: key, value in base64 and revisions.
pub const ITEM_BYTES: usize = 260;

/// State of the store.
#[derive(Default)]
pub struct Store {
    gateways: BTreeMap<String, Gateway>,
    revision: Revision,
    /// Revision of the last change of a gateway's registration.
    pub fleet_revision: Revision,
    /// Revision of the last change of a backend server's registration.
    pub server_revision: Revision,
    link_free_at: Timestamp,
    /// Does it answer?
    pub away: bool,
}

impl Store {
    /// Time at which an answer of so many bytes to a call made now has arrived.
    pub fn answer_at(&mut self, now: Timestamp, bytes: usize) -> Timestamp {
        let start = self.link_free_at.max(now);
        self.link_free_at = start.after(Duration::from_secs_f64(bytes as f64 / LINK_RATE));
        self.link_free_at.after(LATENCY)
    }

    fn next(&self) -> Revision {
        Revision::new(self.revision.era(), self.revision.number() + 1)
    }

    /// Writes a gateway's registration.
    pub fn register(&mut self, name: &str, gateway: Gateway) -> Revision {
        self.revision = self.next();
        self.fleet_revision = self.revision;
        self.gateways.insert(name.to_owned(), gateway);
        self.revision
    }

    /// Removes registrations.
    pub fn remove(&mut self, names: &[String]) {
        self.revision = self.next();
        self.fleet_revision = self.revision;
        self.gateways.retain(|name, _| !names.contains(name));
    }

    /// Changes a backend server's registration.
    pub fn change_server(&mut self) {
        self.revision = self.next();
        self.server_revision = self.revision;
    }

    /// All registrations of gateways.
    pub fn list(&self) -> BTreeMap<String, Gateway> {
        self.gateways.clone()
    }

    /// The registrations in whole pages from after `start` to the page with `end`, and the number
    /// of pages.
    pub fn list_until(&self, start: &str, end: &str) -> (BTreeMap<String, Gateway>, usize) {
        let all: Vec<(&String, &Gateway)> =
            self.gateways.iter().filter(|(name, _)| name.as_str() > start).collect();
        let covered = all.iter().position(|(name, _)| name.as_str() >= end).unwrap_or(all.len());
        let pages = covered / PAGE_ITEMS + 1;
        let read = all.into_iter().take(pages * PAGE_ITEMS);
        (read.map(|(name, g)| (name.clone(), g.clone())).collect(), pages)
    }

    /// Number of registered gateways.
    pub fn gateway_count(&self) -> usize {
        self.gateways.len()
    }

    /// The current revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }
}
