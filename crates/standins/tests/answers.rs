//! What backend servers say with their answers beside the status: that they leave, that they want nothing.

use std::time::{Duration, Instant};

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
