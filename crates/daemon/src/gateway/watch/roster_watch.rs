//! A second watch, of the server registry alone, while the body of another store answer takes long
//! to arrive.
//!
//! One watch returns the changes of all keys, which costs the store one call for all of them. A
//! configuration of some thousand routes then takes seconds over a slow link, while a leaving
//! backend server must be known within a shorter bound. So changes of the registry must not wait
//! behind a body of any size.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use ebonyloft_platform::servers;
use ebonyloft_platform::store::{Consistency, StoreError};
use ebonyloft_router::revision::Revision;
use ebonyloft_router::staleness::watched_until;
use futures_util::future::{Either, select};

use super::{
    AnswerDates, BACKOFF_MAX, RosterSink, Sink, apply_answer, batch_delay, on_era, watch_timeout,
};
use crate::gateway::shared::Shared;
use crate::gateway::store::WatchReply;

/// How long an answer may take before the second watch starts: as long as changes are batched.
/// Usual answers are read in a few milliseconds.
const START_DELAY: Duration = Duration::from_millis(150);

/// Awaits an answer and follows the server registry meanwhile if `wanted`: changes after `after`,
/// or from a new list if there is none.
pub async fn during<T>(
    shared: &Rc<Shared>,
    after: Option<Revision>,
    wanted: bool,
    answer: impl Future<Output = T>,
) -> T {
    if !wanted {
        return answer.await;
    }
    match select(pin!(answer), pin!(follow(shared, after))).await {
        Either::Left((read, _)) => read,
        Either::Right((never, _)) => match never {},
    }
}

async fn follow(shared: &Rc<Shared>, after: Option<Revision>) -> Infallible {
    compio::time::sleep(START_DELAY).await;
    let sink = RosterSink(shared.clone());
    let mut from = after;
    loop {
        let delay = match step(shared, from, &sink).await {
            Ok(revision) => {
                from = Some(revision);
                batch_delay(shared)
            }
            Err(StoreError::Compacted) => {
                from = None;
                Duration::ZERO
            }
            Err(e) => {
                tracing::info!(
                    error = %e,
                    "can't follow the server registry while another answer is read"
                );
                BACKOFF_MAX
            }
        };
        compio::time::sleep(delay).await;
    }
}

async fn step(
    shared: &Shared,
    from: Option<Revision>,
    sink: &RosterSink,
) -> Result<Revision, StoreError> {
    let Some(after) = from else {
        let known_at = shared.now();
        let page = shared.store.list(servers::PREFIX, Consistency::Current).await?;
        on_era(shared, page.revision.era());
        let replace = || sink.replace(page.items, page.revision);
        let dates = AnswerDates { read_at: known_at, known_at };
        apply_answer(shared, servers::PREFIX, dates, replace);
        return Ok(page.revision);
    };
    let sent = shared.now();
    let WatchReply { reply, wait } =
        shared.store.watch(servers::PREFIX, after, watch_timeout(shared)).await?;
    let read_at = reply.head_at();
    let page = shared.store.read_watch(reply, after).await?;
    let known_at = watched_until(read_at, sent, wait, page.items.is_empty());
    let apply = || page.items.into_iter().for_each(|item| sink.apply(item));
    apply_answer(shared, servers::PREFIX, AnswerDates { read_at, known_at }, apply);
    Ok(page.revision.max(after))
}
