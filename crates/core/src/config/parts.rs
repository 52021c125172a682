//! A document in parts below the platform's value limit.
//!
//! Parts are addressed by digest, so a writer stores them first and then swaps the manifest in one
//! compare-and-swap: readers see the whole old revision or the whole new one. The audit trail is
//! part of the manifest, so a change and its record are accepted together or not at all.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::Document;
use crate::ids::{Account, Digest};
use crate::time::Moment;

/// Account parts; 18,000 accounts make some 45 KB a part.
pub const ACCOUNT_PARTS: u64 = 64;
/// Audit records kept in the manifest; older ones are dropped, oldest first.
pub const AUDIT_LIMIT: usize = 500;
/// Largest value the platform takes, in bytes.
pub const VALUE_LIMIT: usize = 1_000_000;

/// One accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Revision before.
    pub from: u64,
    /// Revision after.
    pub to: u64,
    /// Operator's name.
    pub who: String,
    /// What changed, in short.
    pub what: String,
    /// When it was accepted, by the writer's clock.
    pub at: Moment,
    /// The writer's own id of the change; resolves a lost answer.
    pub change: String,
}

/// The root of a stored document.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// Grows by one with each accepted change.
    pub revision: u64,
    /// Digests of the parts, the document without accounts first.
    pub parts: Vec<Digest>,
    /// Accepted changes, oldest first.
    pub audit: Vec<AuditRecord>,
}

impl Manifest {
    /// The record of the change with this id, if it was accepted.
    pub fn accepted(&self, change: &str) -> Option<&AuditRecord> {
        self.audit.iter().rev().find(|r| r.change == change)
    }

    /// The manifest that follows this one.
    pub fn next(&self, parts: Vec<Digest>, mut record: AuditRecord) -> Manifest {
        let revision = self.revision + 1;
        record.from = self.revision;
        record.to = revision;
        let mut audit = self.audit.clone();
        audit.push(record);
        let surplus = audit.len().saturating_sub(AUDIT_LIMIT);
        audit.drain(..surplus);
        Manifest {
            revision,
            parts,
            audit,
        }
    }
}

/// A part body with its digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Digest of the body.
    pub digest: Digest,
    /// JSON text.
    pub body: String,
}

impl Part {
    /// A part of this body.
    pub fn new(body: String) -> Self {
        Part {
            digest: Digest::of(body.as_bytes()),
            body,
        }
    }
}

/// Splits a document.
pub fn split(doc: &Document) -> Vec<Part> {
    let mut head = doc.clone();
    let accounts = std::mem::take(&mut head.accounts);
    let mut shards: BTreeMap<u64, Document> = BTreeMap::new();
    for (name, rule) in accounts {
        shards
            .entry(shard_of(&name))
            .or_default()
            .accounts
            .insert(name, rule);
    }
    let mut parts = vec![to_part(&head)];
    parts.extend(shards.values().map(to_part_accounts));
    parts
}

fn shard_of(name: &Account) -> u64 {
    xxh3_64(name.0.as_bytes()) % ACCOUNT_PARTS
}

fn to_part(doc: &Document) -> Part {
    Part::new(serde_json::to_string(doc).unwrap_or_default())
}

fn to_part_accounts(doc: &Document) -> Part {
    Part::new(serde_json::to_string(&doc.accounts).unwrap_or_default())
}

/// Joins part bodies, in the manifest's order; `None` when a body is not what it should be.
pub fn join(bodies: &[&str]) -> Option<Document> {
    let (head, shards) = bodies.split_first()?;
    let mut doc: Document = serde_json::from_str(head).ok()?;
    for shard in shards {
        let accounts: BTreeMap<_, _> = serde_json::from_str(shard).ok()?;
        doc.accounts.extend(accounts);
    }
    Some(doc)
}
