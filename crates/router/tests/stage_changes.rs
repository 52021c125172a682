//! Who is told of engines that change their stage.

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::ServerId;
use ebonyloft_router::stage_changes::{STAGE_CHANGE_BACKOFF, StageChanges};

const NOW: Timestamp = Timestamp::from_millis(100_000);

fn ids(names: &[&str]) -> Vec<ServerId> {
    names.iter().map(|name| ServerId::new(*name, 1)).collect()
}

/// What was seen: the gateway that orders engines reported all its load to all gateways of all
/// zones while any engine changed. Leaders of other zones pass the engines on instead, and only
/// what comes from another zone, so that nothing goes round.
#[test]
fn zone_leaders_pass_on_what_other_zones_report() {
    let mut orders = StageChanges::default();
    orders.set_ordered(ids(&["e1", "e2"]));
    let told = orders.announced(NOW, true);
    assert_eq!(told, ids(&["e1", "e2"]));
    let mut leader = StageChanges::default();
    leader.on_report_of_other_zone(NOW, &told);
    assert_eq!(leader.announced(NOW, true), told);
    assert!(leader.announced(NOW, false).is_empty(), "not a leader any more");
    assert!(leader.ordered().is_empty());
    let later = NOW.after(STAGE_CHANGE_BACKOFF);
    assert!(leader.announced(later, true).is_empty(), "not reported any more");
}

#[test]
fn an_engine_is_reported_once() {
    let mut changes = StageChanges::default();
    changes.set_ordered(ids(&["e1"]));
    changes.on_report_of_other_zone(NOW, &ids(&["e1", "e3"]));
    assert_eq!(changes.announced(NOW, true), ids(&["e1", "e3"]));
}
