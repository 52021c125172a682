//! The store comes back from a copy some seconds old: what was written since is gone, and revisions are given out
//! again.

use std::time::Duration;

use ebonyloft_standins::fleet::{Fleet, FleetSpec, SUMMARY, config, store, with_fleet};

const SECOND: Duration = Duration::from_secs(1);
/// Time after which a leaving server must receive no more requests.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Gateways of the fleet; two of them follow the store, and the others hear from these.
const GATEWAYS: usize = 4;

fn spec() -> FleetSpec {
    FleetSpec { gateways: GATEWAYS, prefill_engines: 2, ..FleetSpec::default() }
}

/// Has the first prefill engine say that it leaves; a second one stays in service.
fn drain_first_engine(fleet: &Fleet) {
    let engine = &fleet.backends[0];
    engine.server.borrow_mut().draining = true;
    fleet.store.register(&engine.server.borrow());
}

/// Writes registrations of other servers, which raises the revision that gateways know.
async fn register_others(fleet: &Fleet, count: usize) {
    for n in 0..count {
        let mut server = fleet.backends[1].server.borrow().clone();
        server.slots += 1 + n as u32 % 2;
        fleet.store.register(&server);
        compio::time::sleep(SECOND / 20).await;
    }
}

/// Sends summaries through each gateway; returns how many prompts the first prefill engine processed.
async fn prefills_at_first_engine(fleet: &Fleet, name: &str) -> u64 {
    let before = fleet.backends[0].observed.borrow().prefill_count;
    for n in 0..6 {
        for gateway in 0..fleet.gateways.len() {
            let attempt = format!("{name}-{gateway}-{n}");
            let answer = fleet.caller(gateway).summary(SUMMARY, &attempt).await;
            assert!(answer.expect("an answer").complete, "{attempt}");
        }
    }
    fleet.backends[0].observed.borrow().prefill_count - before
}

/// Guards against gateways that take a revision that is given out again for one that they know.
#[test]
fn all_gateways_leave_a_server_that_leaves_after_the_store_came_back() {
    with_fleet(spec(), async |fleet| {
        fleet.store.keep_copy();
        register_others(fleet, 4).await;
        compio::time::sleep(SECOND / 2).await;
        assert!(prefills_at_first_engine(fleet, "before").await > 0);
        let known = fleet.store.revision();
        fleet.store.restore_copy();
        compio::time::sleep(SECOND / 2).await;
        drain_first_engine(fleet);
        assert!(fleet.store.revision() <= known, "the revision is given out again");
        compio::time::sleep(LEAVING_BOUND).await;
        assert_eq!(prefills_at_first_engine(fleet, "after").await, 0);
    });
}

/// Guards against a watch that goes on in another era and misses what was written below its revision.
#[test]
fn changes_below_the_watched_revision_are_seen_after_the_store_came_back() {
    with_fleet(spec(), async |fleet| {
        fleet.store.keep_copy();
        register_others(fleet, 4).await;
        compio::time::sleep(SECOND / 2).await;
        let known = fleet.store.revision();
        fleet.store.set_fault(store::Fault::Silent);
        compio::time::sleep(SECOND / 4).await;
        fleet.store.restore_copy();
        drain_first_engine(fleet);
        while fleet.store.revision() <= known + 2 {
            fleet.store.put("op/other", b"x", 0);
        }
        fleet.store.set_fault(store::Fault::None);
        compio::time::sleep(LEAVING_BOUND).await;
        assert_eq!(prefills_at_first_engine(fleet, "after").await, 0);
    });
}

/// Guards against a copy that says that a server is ready which is known to leave.
#[test]
fn a_server_known_to_leave_is_not_ready_again_because_the_copy_says_so() {
    with_fleet(spec(), async |fleet| {
        fleet.store.keep_copy();
        drain_first_engine(fleet);
        compio::time::sleep(SECOND / 2).await;
        assert_eq!(prefills_at_first_engine(fleet, "before").await, 0);
        fleet.store.restore_copy();
        compio::time::sleep(SECOND / 2).await;
        assert_eq!(prefills_at_first_engine(fleet, "after").await, 0);
    });
}

/// Guards against a copy that brings back a server whose registration was removed.
#[test]
fn a_server_known_to_have_ended_is_not_ready_again_because_the_copy_says_so() {
    with_fleet(spec(), async |fleet| {
        fleet.store.keep_copy();
        fleet.store.unregister(&fleet.backends[0].server.borrow());
        compio::time::sleep(SECOND / 2).await;
        assert_eq!(prefills_at_first_engine(fleet, "before").await, 0);
        fleet.store.restore_copy();
        compio::time::sleep(SECOND / 2).await;
        assert_eq!(prefills_at_first_engine(fleet, "after").await, 0);
    });
}

/// Guards against servers that are given up because the copy is older than their registration.
#[test]
fn a_server_that_the_copy_lacks_is_used_until_it_registers_again() {
    with_fleet(spec(), async |fleet| {
        fleet.store.unregister(&fleet.backends[1].server.borrow());
        fleet.store.unregister(&fleet.backends[0].server.borrow());
        fleet.store.keep_copy();
        for engine in &fleet.backends[..2] {
            fleet.store.register(&engine.server.borrow());
        }
        compio::time::sleep(SECOND).await;
        assert!(prefills_at_first_engine(fleet, "before").await > 0);
        fleet.store.restore_copy();
        compio::time::sleep(SECOND / 2).await;
        assert!(prefills_at_first_engine(fleet, "away").await > 0);
        fleet.store.register(&fleet.backends[0].server.borrow());
        compio::time::sleep(3 * SECOND).await;
        assert!(prefills_at_first_engine(fleet, "after").await > 0);
    });
}

/// Guards against a gateway that takes its registration for written although the copy lacks it.
#[test]
fn gateways_that_the_copy_lacks_register_again() {
    with_fleet(spec(), async |fleet| {
        let keys = fleet.store.keys("ebonyloft/gateways/");
        assert_eq!(keys.len(), GATEWAYS);
        for key in &keys {
            fleet.store.remove(key);
        }
        fleet.store.keep_copy();
        compio::time::sleep(8 * SECOND).await;
        assert_eq!(fleet.store.keys("ebonyloft/gateways/"), keys, "they register again");
        fleet.store.restore_copy();
        assert!(fleet.store.keys("ebonyloft/gateways/").is_empty());
        compio::time::sleep(8 * SECOND).await;
        assert_eq!(fleet.store.keys("ebonyloft/gateways/"), keys);
    });
}

/// Guards against a configuration that goes back because the copy holds an older one.
#[test]
fn the_configuration_does_not_go_back() {
    with_fleet(spec(), async |fleet| {
        fleet.store.keep_copy();
        let mut next = config(2, &spec());
        next.routes.retain(|route| route.kind == ebonyloft_router::catalog::Kind::Stream);
        fleet.configure(&next);
        compio::time::sleep(SECOND).await;
        fleet.store.restore_copy();
        compio::time::sleep(SECOND).await;
        for gateway in 0..GATEWAYS {
            let answer = fleet.caller(gateway).call(ebonyloft_standins::fleet::CHECK, "c").await;
            assert_eq!(answer.expect("an answer").status, 404);
        }
    });
}

/// Guards against two leaders with one fencing token, the second after the copy lost the first one's lock.
#[test]
fn a_leader_after_the_store_came_back_has_a_higher_fencing_token() {
    let spec = FleetSpec { prefill_engines: 0, decode_engines: 6, ..spec() };
    with_fleet(spec, async |fleet| {
        let fence = |fleet: &Fleet| -> Option<u64> {
            let value = fleet.store.value("ebonyloft/orders/record")?;
            let record: serde_json::Value = serde_json::from_slice(&value).ok()?;
            record["fence"].as_u64()
        };
        // Before the first leader there is neither a lock nor a record.
        fleet.store.remove("ebonyloft/orders/record");
        fleet.store.remove("ebonyloft/orders/lock");
        fleet.store.keep_copy();
        compio::time::sleep(5 * SECOND).await;
        let first = fence(fleet);
        fleet.store.restore_copy();
        compio::time::sleep(8 * SECOND).await;
        let second = fence(fleet);
        assert!(second.is_some() && second > first, "{second:?} after {first:?}");
    });
}
