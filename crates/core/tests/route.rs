//! Choice of an executor by the number of admissions sent to each.

use std::time::Duration;

use ebonyloft_core::config::Class;
use ebonyloft_core::ids::{Account, Incarnation, Key, MemberId, Peer, Zone};
use ebonyloft_core::message::{PlainCall, Repeat, Work};
use ebonyloft_core::request::{Intent, Spec};
use ebonyloft_core::route::{EarliestSlot, PoolView};
use ebonyloft_core::time::Timestamp;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW: Timestamp = Timestamp::from_millis(100_000);
const HOLD: Duration = Duration::from_millis(20);

fn peer(n: usize) -> Peer {
    Peer { id: MemberId(format!("vm-{n}")), life: Incarnation(1) }
}

fn pool(servers: usize) -> PoolView {
    let mut pool = PoolView::default();
    pool.set((0..servers).map(|n| (peer(n), Zone::default())));
    pool
}

/// An at-most-once call whose first byte is wanted within 150 ms.
fn at_most_once_spec() -> Spec {
    let call = PlainCall {
        method: "POST".into(),
        path: String::new(),
        mime: String::new(),
        body: Vec::new(),
    };
    Spec {
        intent: Intent::Run,
        waiter: 1,
        key: Key { account: Account::from("a"), text: "k".to_owned() },
        first: true,
        class: Class::Urgent,
        first_by: NOW.after(Duration::from_millis(150)),
        deadline: NOW.after(Duration::from_secs(1)),
        repeat: Repeat::Once,
        remote_prefill: false,
        work: Work::Plain(call),
        avoid: Vec::new(),
        begun_by: None,
    }
}

fn choose(pool: &mut PoolView) -> Result<Peer, Option<Timestamp>> {
    let mut policy = EarliestSlot { zone: Zone::default() };
    pool.executor(NOW, &at_most_once_spec(), HOLD, &mut policy, &mut ChaCha8Rng::seed_from_u64(1))
}

/// Guards against counting choices instead of admissions. Retries that join an existing attempt
/// send no admission; when they were counted, servers whose load was not known yet looked full.
#[test]
fn choices_without_an_admission_do_not_fill_a_server() {
    let mut pool = pool(2);
    for _ in 0..40 {
        assert!(choose(&mut pool).is_ok());
    }
}

#[test]
fn admissions_since_the_last_report_count() {
    let mut pool = pool(1);
    for _ in 0..8 {
        let executor = choose(&mut pool).expect("a slot is free");
        pool.on_sent(&executor);
    }
    assert!(choose(&mut pool).is_err(), "eight requests of 20 ms each are ahead");
}
