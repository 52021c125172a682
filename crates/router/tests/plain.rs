//! Plain backend servers that fail, hang or turn slow are passed over by their own answers.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::outcome::{Fate, Load};
use ebonyloft_router::plain::Plain;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::fleet::server;

/// One server of the played load.
#[derive(Clone, Copy)]
struct Behaviour {
    /// Time of a call, in milliseconds.
    ms: u64,
    /// Share of calls that fail.
    fails: f64,
    /// Share of calls that hang until the caller gives up after a second.
    hangs: f64,
}

const GOOD: Behaviour = Behaviour { ms: 30, fails: 0.0, hangs: 0.0 };

fn servers(n: usize) -> Vec<Server> {
    (0..n).map(|i| Server { zone: format!("z{i}"), ..server(i, 6, None) }).collect()
}

/// Plays 20 calls a second for 20 s at one entry and gives the share that ended well within 150 ms.
fn play(behaviours: &[Behaviour], seed: u64, by_record: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let servers = servers(behaviours.len());
    let mut plain = Plain::default();
    let mut open: Vec<(Timestamp, usize, Timestamp, Fate)> = Vec::new();
    let mut good = 0;
    for n in 0..400_u64 {
        let now = Timestamp::from_millis(1_000 + n * 50);
        open.sort_by_key(|o| o.0);
        while open.first().is_some_and(|o| o.0 <= now) {
            let (end, i, sent, fate) = open.remove(0);
            plain.ended(end, &servers[i].id, sent, fate, None);
        }
        let server = match by_record {
            true => plain.pick(now, "z0", servers.iter(), &[], || rng.random()).expect("one"),
            false => &servers[n as usize % servers.len()],
        };
        let i = servers.iter().position(|s| s.id == server.id).expect("it is of the list");
        let b = behaviours[i];
        let (ms, fate) = match rng.random::<f64>() {
            x if x < b.hangs => (1_000, Fate::Lost),
            x if x < b.hangs + b.fails => (b.ms, Fate::Answered(500)),
            _ => (b.ms, Fate::Answered(200)),
        };
        good += u32::from(fate == Fate::Answered(200) && ms <= 150);
        plain.sent(now, &server.id);
        open.push((now.after(Duration::from_millis(ms)), i, now, fate));
    }
    f64::from(good) / 400.0
}

/// The mean over some seeds of what callers get, by record and in turn.
fn compare(behaviours: &[Behaviour]) -> (f64, f64) {
    let mean = |by_record| (0..8).map(|s| play(behaviours, s, by_record)).sum::<f64>() / 8.0;
    (mean(true), mean(false))
}

#[test]
fn a_server_that_fails_is_passed_over() {
    let (record, turn) = compare(&[GOOD, GOOD, GOOD, Behaviour { fails: 0.45, ..GOOD }]);
    assert!(turn < 0.90, "in turn {turn}");
    assert!(record > 0.97, "by record {record}");
}

#[test]
fn a_server_that_hangs_is_passed_over() {
    let (record, turn) = compare(&[GOOD, GOOD, GOOD, Behaviour { hangs: 0.45, ..GOOD }]);
    assert!(turn < 0.90, "in turn {turn}");
    assert!(record > 0.95, "by record {record}");
}

#[test]
fn a_server_that_turned_slow_is_passed_over() {
    let (record, turn) = compare(&[GOOD, GOOD, GOOD, Behaviour { ms: 200, ..GOOD }]);
    assert!(turn < 0.76, "in turn {turn}");
    assert!(record > 0.97, "by record {record}");
}

#[test]
fn a_server_that_mended_is_tried_again() {
    let servers = servers(2);
    let mut plain = Plain::default();
    let start = Timestamp::from_millis(1_000);
    for n in 0..20 {
        let sent = start.after(Duration::from_millis(n * 10));
        plain.sent(sent, &servers[0].id);
        plain.ended(sent.after(Duration::from_millis(5)), &servers[0].id, sent, Fate::Lost, None);
    }
    let soon = start.after(Duration::from_millis(300));
    let later = start.after(Duration::from_secs(12));
    assert!(plain.cost(soon, "z0", &servers[0]) > plain.cost(soon, "z0", &servers[1]) * 3.0);
    assert!(plain.cost(later, "z0", &servers[0]) < plain.cost(soon, "z0", &servers[0]) / 3.0);
}

#[test]
fn a_full_server_costs_more_than_one_in_another_zone() {
    let servers = servers(2);
    let mut plain = Plain::default();
    let sent = Timestamp::from_millis(970);
    let now = Timestamp::from_millis(1_000);
    let load = Some(Load { running: 6, waiting: 12, slots: 6 });
    plain.sent(sent, &servers[0].id);
    plain.ended(now, &servers[0].id, sent, Fate::Answered(200), load);
    let pick = plain.pick(now, "z0", servers.iter(), &[], || 0.5).expect("one");
    assert_eq!(pick.id, servers[1].id);
}

#[test]
fn a_tried_server_is_not_picked_again() {
    let servers = servers(2);
    let plain = Plain::default();
    let now = Timestamp::from_millis(1_000);
    let tried = vec![servers[0].id.clone()];
    let pick = plain.pick(now, "z0", servers.iter(), &tried, || 0.5).expect("one");
    assert_eq!(pick.id, servers[1].id);
    let all: Vec<ServerId> = servers.iter().map(|s| s.id.clone()).collect();
    assert!(plain.pick(now, "z0", servers.iter(), &all, || 0.5).is_none());
}
