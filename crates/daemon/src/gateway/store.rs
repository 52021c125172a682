//! Client of the platform's metadata store.
//!
//! The era of the store is read from each answer here. Answers of an earlier era than the latest are not
//! passed on, and conditions of an earlier era do not hold.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonyloft_platform::store::{self, Answer, Consistency, Item, Lease, Page, StoreError, Write};
use ebonyloft_router::correlation::Exchange;
use ebonyloft_router::revision::Revision;
use hyper::Request;

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
    /// Latest era that an answer has had.
    era: Rc<Cell<Option<u64>>>,
}

impl StoreClient {
    /// Creates a client of the store at `addr`.
    pub fn new(pool: Rc<Pool>, addr: SocketAddr) -> Self {
        StoreClient { pool, addr, era: Rc::default() }
    }

    /// Returns the latest era that an answer has had; 0 before the first answer, and of a store that has none.
    pub fn era(&self) -> u64 {
        self.era.get().unwrap_or_default()
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
        let mut all = Page { items: Vec::new(), has_more: true, revision: Revision::MAX };
        for _ in 0..PAGES_MAX {
            let after = all.items.last().map_or_else(|| start.to_owned(), |i| i.key.clone());
            let req = store::range(prefix, &after, age);
            let page = self.call(req, CALL_TIMEOUT, store::parse_page).await?;
            if !all.items.is_empty() && page.revision.era() != all.revision.era() {
                return Err(StoreError::Compacted);
            }
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
    pub async fn poll_changes(&self, prefix: &str, after: Revision) -> Result<Page, StoreError> {
        let req = store::watch(prefix, after, POLL_WAIT_MS);
        let page = self.call(req, CALL_TIMEOUT, store::parse_changes).await?;
        same_era(page, after)
    }

    /// Changes of a prefix after a revision, as soon as there are any. Returns within `within`,
    /// answered or not; reading the body may still take long after that.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        within: Duration,
    ) -> Result<WatchReply, StoreError> {
        let wait_ms = within.saturating_sub(WATCH_SLACK).max(WATCH_MIN).as_millis() as u64;
        let wait = Duration::from_millis(wait_ms);
        let req = store::watch(prefix, after, wait_ms);
        let limit = wait + WATCH_SLACK;
        let reply = self.start(req, limit).await?;
        Ok(WatchReply { reply, wait })
    }

    /// Reads the body of the answer to a watch for changes after a revision.
    pub async fn read_watch(
        &self,
        reply: PendingAnswer,
        after: Revision,
    ) -> Result<Page, StoreError> {
        let page = self.finish(reply, CALL_TIMEOUT, store::parse_changes).await?;
        same_era(page, after)
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
        self.call(store::revoke_lease(id), CALL_TIMEOUT, |answer| match answer.status {
            status if status.is_success() => Ok(()),
            status => Err(StoreError::Unknown { detail: format!("status {status}") }),
        })
        .await
    }

    /// Writes if the keys are at the expected revisions.
    pub async fn txn(
        &self,
        expected: &[(&str, Revision)],
        writes: &[Write<'_>],
    ) -> Result<Revision, StoreError> {
        // Another value may have been written with this number since.
        let is_gone = |(_, r): &(&str, Revision)| !r.is_zero() && r.era() != self.era();
        if expected.iter().any(is_gone) {
            return Err(StoreError::Conflict);
        }
        self.call(store::txn(expected, writes), CALL_TIMEOUT, store::parse_commit).await
    }

    /// Removes keys; returns the revision of the removal.
    pub async fn remove(&self, keys: &[&str]) -> Result<Revision, StoreError> {
        self.call(store::remove(keys), CALL_TIMEOUT, store::parse_commit).await
    }

    async fn call<T>(
        &self,
        req: Request<Bytes>,
        limit: Duration,
        read: impl Fn(Answer<'_>) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.finish(self.start(req, limit).await?, limit, read).await
    }

    /// Sends a call and waits for the head of its answer.
    async fn start(
        &self,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<PendingAnswer, StoreError> {
        let sent = Instant::now();
        let started = self.pool.start_call(self.addr, req, limit, Exchange::Trusted).await;
        started.map_err(|e| match e {
            ExchangeError::Lost if sent.elapsed() >= limit => StoreError::Silent,
            e => store_error(e),
        })
    }

    async fn finish<T>(
        &self,
        reply: PendingAnswer,
        limit: Duration,
        read: impl Fn(Answer<'_>) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let era = store::era(reply.headers()).unwrap_or_else(|| self.era());
        let (status, body) = self.pool.finish_call(reply, limit).await.map_err(store_error)?;
        if era < self.era() {
            let detail = format!("an answer of era {era} of the store came in era {}", self.era());
            return Err(StoreError::Unknown { detail });
        }
        self.era.set(Some(era));
        read(Answer { status, era, body: &body })
    }
}

/// Changes after a revision of an earlier era lack what was written below its number.
fn same_era(page: Page, after: Revision) -> Result<Page, StoreError> {
    match page.revision.era() == after.era() {
        true => Ok(page),
        false => Err(StoreError::Compacted),
    }
}

fn store_error(e: ExchangeError) -> StoreError {
    match e {
        ExchangeError::Unsent => StoreError::Rejected { status: 0 },
        ExchangeError::Lost | ExchangeError::Mismatched => {
            StoreError::Unknown { detail: "the connection ended".to_owned() }
        }
    }
}
