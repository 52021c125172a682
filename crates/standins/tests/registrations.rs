//! Registrations written by other programs: malformed ones, and names that a new incarnation uses again.

use std::time::Duration;

use ebonyloft_router::catalog::ServerId;
use ebonyloft_standins::fleet::{CHECK, Fleet, FleetSpec, PLAIN_SERVICE, SUMMARY, with_fleet};

/// Longer than a change in the store takes to have effect.
const APPLY_TIME: Duration = Duration::from_millis(600);

async fn assert_all_served(fleet: &Fleet, from: u32) {
    let caller = fleet.caller(0);
    for i in from..from + 6 {
        let check = caller.call(CHECK, &format!("c{i}")).await.expect("an answer");
        assert_eq!(check.status, 200);
        let summary = caller.summary(SUMMARY, &format!("s{i}")).await.expect("an answer");
        assert_eq!((summary.status, summary.complete), (200, true));
    }
}

/// Requests that reached a backend server so far.
fn arrivals(fleet: &Fleet, backend: usize) -> usize {
    fleet.backends[backend].observed.borrow().arrivals.len()
}

#[test]
fn malformed_registrations_are_ignored_and_do_not_affect_others() {
    with_fleet(FleetSpec { plain_servers: 3, ..FleetSpec::default() }, async |fleet| {
        let addr = fleet.backends[4].server.borrow().addr;
        for (i, value) in ["", "7", "{\"service\":", "{\"service\":\"plain\"}"].iter().enumerate() {
            fleet.store.put(&format!("servers/i-wrong-{i}"), value.as_bytes(), 0);
        }
        let state = format!(
            r#"{{"service":"{PLAIN_SERVICE}","address":"{addr}","zone":"a","version":"v1","slot_count":6,
            "state":"resting","sequence":1,"cold_remaining_ms":0}}"#
        );
        fleet.store.put("servers/i-wrong-state", state.as_bytes(), 0);
        assert_all_served(fleet, 0).await;
        // A valid registration becomes malformed: its server gets no more requests, neither from a gateway
        // that watches the store nor from a new one that lists it.
        let name = fleet.backends[4].server.borrow().id.name.clone();
        fleet.store.put(&format!("servers/{name}"), state.as_bytes(), 0);
        compio::time::sleep(APPLY_TIME).await;
        let before = arrivals(fleet, 4);
        assert_all_served(fleet, 10).await;
        fleet.add_gateway();
        fleet.wait_ready(1).await;
        for i in 0..6 {
            let check = fleet.caller(1).call(CHECK, &format!("d{i}")).await.expect("an answer");
            assert_eq!(check.status, 200);
        }
        assert_eq!(arrivals(fleet, 4), before);
        // The server registers correctly again and is the only plain one left.
        fleet.store.register(&fleet.backends[4].server.borrow());
        for backend in [3, 5] {
            fleet.store.unregister(&fleet.backends[backend].server.borrow());
        }
        compio::time::sleep(APPLY_TIME).await;
        assert_all_served(fleet, 20).await;
        assert_eq!(arrivals(fleet, 4), before + 6);
    });
}

#[test]
fn a_new_incarnation_under_the_same_name_is_a_new_server() {
    with_fleet(FleetSpec::default(), async |fleet| {
        assert_all_served(fleet, 0).await;
        for backend in &fleet.backends {
            let mut server = backend.server.borrow_mut();
            server.id = ServerId::new(server.id.name.clone(), server.id.born + 5_000);
            fleet.store.register(&server);
        }
        compio::time::sleep(APPLY_TIME).await;
        assert_all_served(fleet, 10).await;
    });
}
