//! Calls over links that were idle for about as long as a lease.

use std::time::{Duration, Instant};

use ebonyloft_core::lease::LEASE;
use ebonyloft_standins::client::{Call, Client, Outcome};
use ebonyloft_standins::new_key;
use ebonyloft_standins::site::{CALLER_TOKEN, Site, SiteSpec, with_site};

const ENTRIES: usize = 16;
const ROUNDS: u32 = 6;
/// Pauses between two calls through one entry: these around the lease.
const STEP: Duration = Duration::from_micros(700);

async fn send(site: &Site, entry: usize, subject: &str) -> Outcome {
    let call = Call::plain(CALLER_TOKEN, &new_key(), "badge-check", "gate", subject);
    Client::default().send(site.entry_addr(entry), &call, |_| {}).await
}

/// Guards against refusals as overload by an idle site: the sidecar closed the link of an entry that had nothing
/// open there, just when the entry sent the next call.
#[test]
fn a_call_is_served_whenever_it_comes() {
    with_site(SiteSpec { entries: ENTRIES, ..SiteSpec::default() }, async |site| {
        let site = &*site;
        let calls = (0..ENTRIES).map(async |entry| {
            for round in 0..ROUNDS {
                let first = send(site, entry, &format!("first {entry} {round}")).await;
                assert!(matches!(first, Outcome::Whole(_)), "{first:?}");
                let sent_at = Instant::now();
                let offset = STEP * (ENTRIES as u32 * round + entry as u32);
                let pause = LEASE - STEP * (ENTRIES as u32 * ROUNDS / 2) + offset;
                compio::time::sleep(pause.saturating_sub(sent_at.elapsed())).await;
                let next = send(site, entry, &format!("next {entry} {round}")).await;
                assert!(matches!(next, Outcome::Whole(_)), "after {pause:?}: {next:?}");
            }
        });
        futures_util::future::join_all(calls).await;
    });
}
