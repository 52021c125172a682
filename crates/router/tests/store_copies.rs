//! Revisions of a store that comes back from an older copy.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::fetches::{FetchKind, Versions};
use ebonyloft_router::fleet::{Fleet, Gateway};
use ebonyloft_router::leadership::{LEASE, next_fence, order_gap};
use ebonyloft_router::load_report::{LoadReport, LoadReports};
use ebonyloft_router::membership::must_register;
use ebonyloft_router::revision::Revision;
use ebonyloft_router::store_state::StoreState;
use ebonyloft_router::zone_leader::StoreLink;
use proptest::prelude::*;

const NOW: Timestamp = Timestamp(1_000_000_000);
/// The last revision of an era, and the first one that the next era gives out.
const BEFORE: Revision = Revision::new(0, 117);
const AFTER: Revision = Revision::new(1, 115);

fn gateway() -> Gateway {
    Gateway { addr: ([127, 0, 0, 1], 1).into(), zone: "a".into(), power: 90 }
}

fn fleet(revision: Revision) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.replace(NOW, BTreeMap::from([("g".to_owned(), gateway())]), revision);
    fleet
}

proptest! {
    /// Guards against an order in which a number of a later era is older, and against peers that see another order.
    #[test]
    fn revisions_are_ordered_by_era_on_the_wire_too(
        a in (0_u64..1 << 20, 0_u64..1 << 44), b in (0_u64..1 << 20, 0_u64..1 << 44),
    ) {
        let (left, right) = (Revision::new(a.0, a.1), Revision::new(b.0, b.1));
        prop_assert_eq!(left.cmp(&right), a.cmp(&b));
        prop_assert_eq!(u64::from(left).cmp(&u64::from(right)), a.cmp(&b));
        prop_assert_eq!(Revision::from(u64::from(left)), left);
        prop_assert!(left <= Revision::MAX);
    }
}

/// Guards against peers of the release before whose numbers without an era can't be read.
#[test]
fn a_number_without_an_era_is_of_era_zero() {
    let mut bytes = Vec::new();
    ciborium::into_writer(&117_u64, &mut bytes).expect("a number");
    let read: Revision = ciborium::from_reader(&bytes[..]).expect("a revision");
    assert_eq!(read, BEFORE);
    let versions = Versions { config: 1, roster: Revision::MAX, fleet: Revision::MAX };
    let mut bytes = Vec::new();
    ciborium::into_writer(&versions, &mut bytes).expect("versions");
    let read: Versions = ciborium::from_reader(&bytes[..]).expect("versions");
    assert_eq!(read, versions);
}

/// Guards against lists of peers that are not fetched because their number was known before.
#[test]
fn lists_of_a_later_era_are_fetched() {
    let versions = |roster, fleet| Versions { config: 1, roster, fleet };
    let own = versions(BEFORE, BEFORE);
    assert!(own.is_older(FetchKind::Lists, versions(AFTER, BEFORE)));
    assert!(own.is_older(FetchKind::Lists, versions(BEFORE, AFTER)));
    assert!(!versions(AFTER, AFTER).is_older(FetchKind::Lists, own));
}

/// Guards against lists of gateways that are ignored because their number was known before.
#[test]
fn a_list_of_gateways_of_a_later_era_is_applied() {
    let mut known = fleet(BEFORE);
    known.replace(NOW, BTreeMap::new(), AFTER);
    assert_eq!(known.registration("g"), None);
    known.apply(NOW, "g", Some(gateway()), BEFORE);
    assert_eq!(known.registration("g"), None, "of the era before");
    known.apply(NOW, "g", Some(gateway()), AFTER);
    assert_eq!(known.registration("g"), Some(&gateway()));
}

/// Guards against a gateway that is not registered any more and waits for a number that it wrote long ago.
#[test]
fn a_registration_that_the_copy_lacks_is_written_again() {
    let mut known = fleet(BEFORE);
    known.replace(NOW, BTreeMap::new(), AFTER);
    assert!(must_register(&known, "g", &gateway(), Some(BEFORE)));
}

/// Guards against peers of the era before that vouch for a list of the next one.
#[test]
fn only_peers_of_the_same_era_confirm_a_list() {
    let mut reports = LoadReports::default();
    let link = StoreLink::Heard { settles: 0, age: 0 };
    let report = |name: &str, roster| LoadReport {
        name: name.into(),
        seq: 1,
        roster,
        link,
        ..LoadReport::default()
    };
    reports.on_report(NOW, report("before", BEFORE));
    assert_eq!(reports.known_at(NOW, AFTER), None);
    reports.on_report(NOW, report("after", AFTER));
    assert_eq!(reports.known_at(NOW, AFTER), Some(NOW));
    assert_eq!(reports.newest_roster(), AFTER);
}

/// Guards against servers that count as gone because the copy lacks them.
#[test]
fn missing_registrations_are_not_trusted_at_once_after_the_store_came_back() {
    let mut state = StoreState::default();
    state.on_reached(NOW, NOW);
    state.known(NOW);
    assert!(state.is_trusted(NOW));
    state.on_restored(NOW);
    assert!(!state.is_trusted(NOW.after(Duration::from_secs(2))));
    assert!(state.is_trusted(NOW.after(Duration::from_secs(3))));
}

/// Guards against two leaders with one fencing token, and against one that orders while the other still does.
#[test]
fn a_leader_of_a_later_era_has_a_higher_token_and_waits_for_the_one_before() {
    assert_eq!(next_fence(0, 0), 1);
    assert_eq!(next_fence(7, 0), 8);
    let first = next_fence(0, 1);
    assert!(first > 1_000_000);
    assert_eq!(next_fence(first, 1), first + 1);
    assert!(next_fence(0, 2) > next_fence(first, 1));
    let gap = Duration::from_secs(3);
    assert_eq!(order_gap(gap, NOW, None), gap);
    assert_eq!(order_gap(gap, NOW, Some(NOW)), gap + LEASE);
    assert_eq!(order_gap(gap, NOW.after(LEASE), Some(NOW)), gap);
}
