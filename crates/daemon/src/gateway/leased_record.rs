//! Records that outlive all gateways: written to the platform's store once, under a lease of their own.

use std::time::Duration;

use ebonyloft_platform::store::{StoreError, Write};

use ebonyloft_router::revision::Revision;

use super::shared::Shared;

/// Back-off before a failed write to the store is repeated; doubled each time.
const WRITE_BACKOFF: Duration = Duration::from_millis(500);
/// Longest such back-off: once the store is back, it stays for a few seconds at least.
const WRITE_BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Interval at which a written record's writer checks whether the store may have lost it.
const RESTORE_CHECK: Duration = Duration::from_secs(2);

/// A record to write.
pub struct Record {
    /// Key in the store.
    pub key: String,
    /// Value in the store.
    pub value: Vec<u8>,
    /// Lifetime of its lease.
    pub ttl: Duration,
}

/// Writes a record while there is one to write, repeated on failure and when the store has come back from an
/// older copy. On a conflict another gateway has written it.
pub async fn write(shared: &Shared, record: impl Fn() -> Option<Record>) {
    let mut backoff = WRITE_BACKOFF;
    while let Some(record) = record() {
        match try_write(shared, &record).await {
            Ok(()) => {
                if !is_lost(shared, record.ttl).await {
                    return;
                }
                backoff = WRITE_BACKOFF;
                continue;
            }
            Err(StoreError::Conflict) => return,
            Err(e) => tracing::info!(key = record.key, error = %e, "quarantine record not written"),
        }
        compio::time::sleep(backoff.mul_f64(0.5 + shared.random_fraction())).await;
        backoff = (backoff * 2).min(WRITE_BACKOFF_MAX);
    }
}

/// Waits until the store has come back from a copy that may lack the record; false once the record's lifetime is
/// over.
async fn is_lost(shared: &Shared, ttl: Duration) -> bool {
    let written_at = shared.now();
    while shared.now() < written_at.after(ttl) {
        if shared.restored_at.get().is_some_and(|at| at > written_at) {
            return true;
        }
        compio::time::sleep(RESTORE_CHECK.min(ttl)).await;
    }
    false
}

async fn try_write(shared: &Shared, record: &Record) -> Result<(), StoreError> {
    let Record { key, value, ttl } = record;
    let lease = shared.store.lease(*ttl).await?;
    let write = Write { key, value, lease: lease.id };
    let written = shared.store.txn(&[(key, Revision::default())], &[write]).await;
    if matches!(written, Err(StoreError::Conflict)) {
        shared.store.revoke(lease.id).await?;
    }
    written.map(drop)
}
