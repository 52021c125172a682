//! What backend servers say with their answers beside the status: that they leave, that they want nothing.

use std::time::{Duration, Instant};

use ebonyloft_standins::fleet::runner::Fault;
use ebonyloft_standins::fleet::{
    CHECK, Fleet, FleetSpec, LOOKUP, ONCE_SUMMARY, SUMMARY, store, with_fleet,
};

/// Within which a server that said that it leaves must be sent nothing more.
const BOUND: Duration = Duration::from_secs(2);

/// Sends requests of all kinds through all gateways.
async fn requests(fleet: &Fleet, name: &str, count: usize) {
    for n in 0..count {
        for gateway in 0..fleet.gateways.len() {
            let caller = fleet.caller(gateway);
            for path in [CHECK, LOOKUP] {
                let _ = caller.call(path, &format!("{name}-{path}-{gateway}-{n}")).await;
            }
            for path in [SUMMARY, ONCE_SUMMARY] {
                let _ = caller.summary(path, &format!("{name}-{path}-{gateway}-{n}")).await;
            }
        }
    }
}

/// Requests, prompts and reservations that a server took later than a moment.
fn taken_later(fleet: &Fleet, runner: usize, than: Instant) -> usize {
    let seen = fleet.runners[runner].seen.borrow();
    seen.taken.iter().filter(|at| **at > than).count()
}

/// What operators saw: a backend server was sent calls 2.1 s after an answer of its own had said that it
/// leaves, by the gateway that had passed that answer on. Both calls ran; the next ones would have been cut.
///
/// Order of events: the store fell silent to everybody; a server reported to it that it leaves, which was
/// acknowledged twelve seconds later; meanwhile it said so with each answer; the gateway passed these on and
/// went by its list. Cause: of an answer's head only what concerns the request was read; the only word of
/// leaving that counted was the store's.
///
/// Evidence: in the record of a played day the gateway's list was 4.6 s old, at one revision throughout, and
/// named the server as ready; the calls were in the gateway for 6 ms.
#[test]
fn a_server_whose_answer_says_that_it_leaves_is_sent_nothing_more() {
    let spec = FleetSpec { gateways: 1, readers: 2, writers: 3, plain: 3, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        fleet.store.set_fault(store::Fault::Silent);
        // A reader, a writer and a plain server.
        let leaving = [0, 2, 5];
        leaving.iter().for_each(|n| fleet.runners[*n].say_leaving());
        requests(fleet, "before", 6).await;
        let heard = Instant::now();
        compio::time::sleep(BOUND).await;
        requests(fleet, "after", 6).await;
        for n in leaving {
            assert_eq!(taken_later(fleet, n, heard), 0, "server {n} was sent something");
        }
    });
}

/// Any answer counts, also one to a reservation only.
#[test]
fn an_engine_that_says_so_with_a_reservation_is_sent_nothing_more() {
    let spec = FleetSpec { gateways: 1, readers: 1, writers: 2, plain: 1, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        fleet.store.set_fault(store::Fault::Silent);
        let writer = &fleet.runners[1];
        writer.set_fault(Fault::Full);
        writer.say_leaving();
        requests(fleet, "before", 6).await;
        let heard = Instant::now();
        writer.set_fault(Fault::None);
        requests(fleet, "after", 6).await;
        assert!(writer.seen.borrow().refused > 0, "it was never asked");
        assert_eq!(taken_later(fleet, 1, heard), 0, "it was asked again");
    });
}

/// Who is told by an answer tells the others.
#[test]
fn all_gateways_hear_what_one_was_told() {
    let spec = FleetSpec { gateways: 3, readers: 1, writers: 1, plain: 2, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        compio::time::sleep(BOUND / 2).await;
        fleet.store.set_fault(store::Fault::Silent);
        // The one that the first gateway used and knows is used again.
        let _ = fleet.caller(0).call(CHECK, "first").await;
        let used = if fleet.runs("first") == fleet.runners[2].runs("first") { 2 } else { 3 };
        fleet.runners[used].say_leaving();
        let _ = fleet.caller(0).call(CHECK, "second").await;
        assert_eq!(fleet.runners[used].runs("second"), 1, "it is not told");
        compio::time::sleep(BOUND / 4).await;
        let heard = Instant::now();
        requests(fleet, "after", 6).await;
        assert_eq!(taken_later(fleet, used, heard), 0, "another gateway sent it something");
    });
}

/// What was said ends with the life that said it: the next one at the address is used.
#[test]
fn the_next_life_is_used() {
    let spec = FleetSpec { gateways: 2, readers: 1, writers: 1, plain: 1, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        let plain = fleet.runners[2].clone();
        plain.say_leaving();
        requests(fleet, "before", 1).await;
        let answer = fleet.caller(0).call(CHECK, "refused").await.expect("an answer");
        assert_eq!(answer.status, 503);
        plain.stay();
        plain.crash("the end of a life");
        compio::time::sleep(BOUND).await;
        for gateway in 0..2 {
            let answer = fleet.caller(gateway).call(CHECK, &format!("again{gateway}")).await;
            assert_eq!(answer.expect("an answer").status, 200);
        }
    });
}

/// What the rule says: a server that turns a request away may say for how long it wants nothing; no more
/// than two requests may reach it from the same gateway from half a second on until then.
///
/// Cause of the failure: of an answer's head only that nothing had run was read, and the next request chose
/// the server as if it had said nothing.
#[test]
fn a_server_that_wants_nothing_is_sent_nothing() {
    let spec = FleetSpec { gateways: 1, readers: 1, writers: 1, plain: 1, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        fleet.runners.iter().for_each(|r| r.want_nothing(Some("5")));
        requests(fleet, "before", 1).await;
        compio::time::sleep(BOUND / 4).await;
        let begin = Instant::now();
        for n in 0..20 {
            for path in [CHECK, LOOKUP, SUMMARY, ONCE_SUMMARY] {
                let caller = fleet.caller(0);
                compio::runtime::spawn(async move {
                    let attempt = format!("after-{n}{path}");
                    // Whatever it is told: what reaches the servers counts.
                    let _ = match path {
                        CHECK | LOOKUP => caller.call(path, &attempt).await,
                        _ => caller.summary(path, &attempt).await,
                    };
                })
                .detach();
            }
            compio::time::sleep(BOUND / 40).await;
        }
        for runner in 0..fleet.runners.len() {
            let sent = taken_later(fleet, runner, begin);
            println!("server {runner}: {sent}");
            assert!(sent <= 2, "server {runner} was sent {sent} requests");
        }
    });
}

/// When all that could serve want nothing for longer than the caller's goal, the caller hears so at once,
/// and the earliest moment.
#[test]
fn who_cannot_be_served_in_time_is_told_the_earliest_moment() {
    let spec = FleetSpec { gateways: 1, readers: 1, writers: 1, plain: 2, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        fleet.runners[1].want_nothing(Some("7"));
        fleet.runners[2].want_nothing(Some("9"));
        fleet.runners[3].want_nothing(Some("5"));
        requests(fleet, "before", 1).await;
        for (path, most) in [(CHECK, 5.0), (LOOKUP, 5.0), (SUMMARY, 7.0)] {
            let caller = fleet.caller(0);
            let answer = match path {
                SUMMARY => caller.summary(path, path).await,
                _ => caller.call(path, path).await,
            };
            let answer = answer.expect("an answer");
            assert_eq!((answer.status, fleet.runs(path)), (503, 0), "{path}");
            assert!(answer.took < Duration::from_millis(50), "{path}: {:?}", answer.took);
            let wait: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
            assert!(wait <= most && wait > most - 4.0, "{path}: {wait} of {most}");
        }
    });
}

/// A pause that ends within the goal is waited for; one server's pause is nobody else's.
#[test]
fn a_short_pause_is_waited_for_and_others_are_used() {
    let spec = FleetSpec { gateways: 1, readers: 1, writers: 2, plain: 1, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        fleet.runners[3].want_nothing(Some("0.1"));
        let _ = fleet.caller(0).call(CHECK, "before").await;
        fleet.runners[3].want_nothing(None);
        let answer = fleet.caller(0).call(CHECK, "after").await.expect("an answer");
        assert_eq!(answer.status, 200);
        fleet.runners[1].want_nothing(Some("60"));
        for n in 0..8 {
            let answer = fleet.caller(0).summary(SUMMARY, &format!("s{n}")).await;
            assert_eq!(answer.expect("an answer").status, 200, "{n}");
        }
    });
}

/// What is no time is no reason to stay away for long, nor to fail.
#[test]
fn nonsense_is_no_time() {
    let spec = FleetSpec { gateways: 1, readers: 1, writers: 1, plain: 1, ..FleetSpec::default() };
    with_fleet(spec, async |fleet| {
        for (n, text) in ["-3", "NaN", "soon", "1e400", ""].into_iter().enumerate() {
            fleet.runners[2].want_nothing(Some(text));
            let answer = fleet.caller(0).call(CHECK, &format!("n{n}")).await.expect("an answer");
            assert_eq!(answer.status, 503, "{text}");
            fleet.runners[2].want_nothing(None);
            compio::time::sleep(Duration::from_millis(1_100)).await;
            let answer = fleet.caller(0).call(CHECK, &format!("a{n}")).await.expect("an answer");
            assert_eq!(answer.status, 200, "{text}");
        }
    });
}
