//! Plain backend servers that fail, hang or become slow are avoided because of their answers.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::outcome::{AttemptOutcome, Load};
use ebonyloft_router::plain_servers::PlainServers;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::fleet::server;

/// A simulated server.
#[derive(Clone, Copy)]
struct ServerModel {
    /// Duration of a call in milliseconds.
    ms: u64,
    /// Share of calls that fail.
    failure_share: f64,
    /// Share of calls that hang until the caller gives up after one second.
    hang_share: f64,
}

const HEALTHY: ServerModel = ServerModel { ms: 30, failure_share: 0.0, hang_share: 0.0 };

fn servers(n: usize) -> Vec<Server> {
    (0..n).map(|i| Server { zone: format!("z{i}"), ..server(i, 6, None) }).collect()
}

/// Simulates 20 calls per second for 20 s at one gateway, and returns the share answered successfully within
/// 150 ms.
fn simulate(models: &[ServerModel], seed: u64, by_stats: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let servers = servers(models.len());
    let mut plain = PlainServers::default();
    let mut in_flight: Vec<(Timestamp, usize, Timestamp, AttemptOutcome)> = Vec::new();
    let mut timely = 0;
    for n in 0..400_u64 {
        let now = Timestamp::from_millis(1_000 + n * 50);
        in_flight.sort_by_key(|o| o.0);
        while in_flight.first().is_some_and(|o| o.0 <= now) {
            let (end, i, sent, fate) = in_flight.remove(0);
            plain.on_ended(end, &servers[i].id, sent, fate, None);
        }
        let server = match by_stats {
            true => plain
                .pick(now, "z0", servers.iter(), &[], || rng.random())
                .expect("at least one server"),
            false => &servers[n as usize % servers.len()],
        };
        let i = servers.iter().position(|s| s.id == server.id).expect("the server is in the list");
        let b = models[i];
        let (ms, fate) = match rng.random::<f64>() {
            x if x < b.hang_share => (1_000, AttemptOutcome::Lost),
            x if x < b.hang_share + b.failure_share => (b.ms, AttemptOutcome::Answered(500)),
            _ => (b.ms, AttemptOutcome::Answered(200)),
        };
        timely += u32::from(fate == AttemptOutcome::Answered(200) && ms <= 150);
        plain.on_sent(now, &server.id);
        in_flight.push((now.after(Duration::from_millis(ms)), i, now, fate));
    }
    f64::from(timely) / 400.0
}

/// Mean share over some seeds, with selection by statistics and with round-robin.
fn compare(models: &[ServerModel]) -> (f64, f64) {
    let mean = |by_stats| (0..8).map(|s| simulate(models, s, by_stats)).sum::<f64>() / 8.0;
    (mean(true), mean(false))
}

#[test]
fn a_failing_server_is_avoided() {
    let (by_stats, round_robin) =
        compare(&[HEALTHY, HEALTHY, HEALTHY, ServerModel { failure_share: 0.45, ..HEALTHY }]);
    assert!(round_robin < 0.90, "round-robin {round_robin}");
    assert!(by_stats > 0.97, "by statistics {by_stats}");
}

#[test]
fn a_hanging_server_is_avoided() {
    let (by_stats, round_robin) =
        compare(&[HEALTHY, HEALTHY, HEALTHY, ServerModel { hang_share: 0.45, ..HEALTHY }]);
    assert!(round_robin < 0.90, "round-robin {round_robin}");
    assert!(by_stats > 0.95, "by statistics {by_stats}");
}

#[test]
fn a_slow_server_is_avoided() {
    let (by_stats, round_robin) =
        compare(&[HEALTHY, HEALTHY, HEALTHY, ServerModel { ms: 200, ..HEALTHY }]);
    assert!(round_robin < 0.76, "round-robin {round_robin}");
    assert!(by_stats > 0.97, "by statistics {by_stats}");
}

#[test]
fn a_recovered_server_is_tried_again() {
    let servers = servers(2);
    let mut plain = PlainServers::default();
    let start = Timestamp::from_millis(1_000);
    for n in 0..20 {
        let sent = start.after(Duration::from_millis(n * 10));
        plain.on_sent(sent, &servers[0].id);
        plain.on_ended(
            sent.after(Duration::from_millis(5)),
            &servers[0].id,
            sent,
            AttemptOutcome::Lost,
            None,
        );
    }
    let soon = start.after(Duration::from_millis(300));
    let later = start.after(Duration::from_secs(12));
    assert!(plain.cost(soon, "z0", &servers[0]) > plain.cost(soon, "z0", &servers[1]) * 3.0);
    assert!(plain.cost(later, "z0", &servers[0]) < plain.cost(soon, "z0", &servers[0]) / 3.0);
}

#[test]
fn a_full_server_costs_more_than_one_in_another_zone() {
    let servers = servers(2);
    let mut plain = PlainServers::default();
    let sent = Timestamp::from_millis(970);
    let now = Timestamp::from_millis(1_000);
    let load = Some(Load { running: 6, waiting: 12, slots: 6, slowness: None });
    plain.on_sent(sent, &servers[0].id);
    plain.on_ended(now, &servers[0].id, sent, AttemptOutcome::Answered(200), load);
    let pick = plain.pick(now, "z0", servers.iter(), &[], || 0.5).expect("at least one server");
    assert_eq!(pick.id, servers[1].id);
}

#[test]
fn a_tried_server_is_not_picked_again() {
    let servers = servers(2);
    let plain = PlainServers::default();
    let now = Timestamp::from_millis(1_000);
    let tried = vec![servers[0].id.clone()];
    let pick = plain.pick(now, "z0", servers.iter(), &tried, || 0.5).expect("at least one server");
    assert_eq!(pick.id, servers[1].id);
    let all: Vec<ServerId> = servers.iter().map(|s| s.id.clone()).collect();
    assert!(plain.pick(now, "z0", servers.iter(), &all, || 0.5).is_none());
}

/// Guards against a server that draws more calls because an answer of another exchange came at once.
#[test]
fn an_answer_of_another_exchange_makes_no_server_look_fast() {
    let (server, mut plain) = (&servers(1)[0], PlainServers::default());
    let at = Timestamp::from_millis;
    let before = plain.cost(at(0), "z0", server);
    for n in 0..20 {
        plain.on_sent(at(n * 100), &server.id);
        let outcome = AttemptOutcome::Mismatched;
        plain.on_ended(at(n * 100 + 1), &server.id, at(n * 100), outcome, None);
    }
    // Their failures are forgotten by then.
    assert!(plain.cost(at(60_000), "z0", server) >= before);
}
