//! Client of the platform's metadata store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_platform::store::{self, Consistency, Item, Lease, Page, StoreError, Write};
use ebonyloft_router::correlation::Exchange;
use hyper::{Request, StatusCode};

use super::pool::{ExchangeError, PendingAnswer, Pool};

/// Timeout of a call. The store answers in 4 ms, and some sixty times slower when it is slow.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Milliseconds that the store may hold a poll for changes open: next to nothing.
const POLL_WAIT_MS: u64 = 1;
/// Shortest timeout of a watch, however little time is left for it, so that a store that is down
/// is asked at most three times a second.
const WATCH_MIN: Duration = Duration::from_millis(300);
/// How much later than requested the answer to a watch may come.
const WATCH_SLACK: Duration = Duration::from_millis(500);
/// Most pages read of one prefix; a guard against a list that never ends.
const PAGES_MAX: usize = 200;

/// A watch whose answer has started to arrive.
pub struct WatchReply {
    /// The answer.
    pub reply: PendingAnswer,
    /// How long the store was asked to hold the watch open.
    pub wait: Duration,
}

/// Client of the metadata store; cheap to clone.
#[derive(Clone)]
pub struct StoreClient {
    pool: Rc<Pool>,
    addr: SocketAddr,
}

impl StoreClient {
    /// Creates a client of the store at `addr`.
    pub fn new(pool: Rc<Pool>, addr: SocketAddr) -> Self {
        StoreClient { pool, addr }
    }

    /// Reads one key; none if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        match self.call(store::get(key), CALL_TIMEOUT, store::parse_item).await {
            Ok(item) => Ok(Some(item)),
            Err(StoreError::NotFound) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Reads all items of a prefix. The revision is that of the first page, so that a watch from
    /// there also returns what changed between the pages, and whatever is newer than a stale list.
    pub async fn list(&self, prefix: &str, age: Consistency) -> Result<Page, StoreError> {
        self.list_pages(prefix, "", age, |_| false).await
    }

    /// Reads the items of a prefix in whole pages, from after `start` to the page with `end`.
    pub async fn list_until(
        &self,
        prefix: &str,
        start: &str,
        end: &str,
        age: Consistency,
    ) -> Result<Page, StoreError> {
        self.list_pages(prefix, start, age, |last| last >= end).await
    }

    async fn list_pages(
        &self,
        prefix: &str,
        start: &str,
        age: Consistency,
        is_enough: impl Fn(&str) -> bool,
    ) -> Result<Page, StoreError> {
        let mut all = Page { items: Vec::new(), has_more: true, revision: u64::MAX };
        for _ in 0..PAGES_MAX {
            let after = all.items.last().map_or_else(|| start.to_owned(), |i| i.key.clone());
            let req = store::range(prefix, &after, age);
            let page = self.call(req, CALL_TIMEOUT, store::parse_page).await?;
            all.revision = all.revision.min(page.revision);
            all.has_more = page.has_more && !page.items.is_empty();
            all.items.extend(page.items);
            if !all.has_more || all.items.last().is_some_and(|i| is_enough(&i.key)) {
                break;
            }
        }
        Ok(all)
    }

    /// Changes of a prefix after a revision, without waiting for new ones. Used while the
    /// store is unreachable: its return is noticed within the time of a call, where a watch that
    /// began during the outage would only end after some three seconds.
    pub async fn poll_changes(&self, prefix: &str, after: u64) -> Result<Page, StoreError> {
        self.call(store::watch(prefix, after, POLL_WAIT_MS), CALL_TIMEOUT, store::parse_changes)
            .await
    }

    /// Changes of a prefix after a revision, as soon as there are any. Returns within `within`,
    /// answered or not; reading the body may still take long after that.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        within: Duration,
    ) -> Result<WatchReply, StoreError> {
        let wait = within.saturating_sub(WATCH_SLACK).max(WATCH_MIN);
        let req = store::watch(prefix, after, wait.as_millis() as u64);
        let limit = wait + WATCH_SLACK;
        let started = self.pool.start_call(self.addr, req, limit, Exchange::Trusted).await;
        let reply = started.map_err(store_error)?;
        Ok(WatchReply { reply, wait })
    }

    /// Reads the body of a watch's answer.
    pub async fn read_watch(&self, reply: PendingAnswer) -> Result<Page, StoreError> {
        let (status, body) =
            self.pool.finish_call(reply, CALL_TIMEOUT).await.map_err(store_error)?;
        store::parse_changes(status, &body)
    }

    /// Creates a lease.
    pub async fn lease(&self, ttl: Duration) -> Result<Lease, StoreError> {
        self.call(store::grant_lease(ttl.as_millis() as u64), CALL_TIMEOUT, store::parse_lease)
            .await
    }

    /// Renews a lease.
    pub async fn renew(&self, id: u64) -> Result<u64, StoreError> {
        self.call(store::renew_lease(id), CALL_TIMEOUT, store::parse_renewal).await
    }

    /// Revokes a lease, which deletes its keys.
    pub async fn revoke(&self, id: u64) -> Result<(), StoreError> {
        self.call(store::revoke_lease(id), CALL_TIMEOUT, |status, _| match status.is_success() {
            true => Ok(()),
            false => Err(StoreError::Unknown { detail: format!("status {status}") }),
        })
        .await
    }

    /// Writes if the keys are at the expected revisions.
    pub async fn txn(
        &self,
        expected: &[(&str, u64)],
        writes: &[Write<'_>],
    ) -> Result<u64, StoreError> {
        self.call(store::txn(expected, writes), CALL_TIMEOUT, store::parse_commit).await
    }

    /// Removes keys; returns the revision of the removal.
    pub async fn remove(&self, keys: &[&str]) -> Result<u64, StoreError> {
        self.call(store::remove(keys), CALL_TIMEOUT, store::parse_commit).await
    }

    async fn call<T>(
        &self,
        req: Request<Bytes>,
        limit: Duration,
        read: impl Fn(StatusCode, &[u8]) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let (status, body) = self.pool.call(self.addr, req, limit).await.map_err(store_error)?;
        read(status, &body)
    }
}

fn store_error(e: ExchangeError) -> StoreError {
    match e {
        ExchangeError::Unsent => StoreError::Rejected { status: 0 },
        ExchangeError::Lost | ExchangeError::Mismatched => {
            StoreError::Unknown { detail: "no answer in time".to_owned() }
        }
    }
}
