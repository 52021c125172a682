//! Back-off of backend servers.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::ServerId;
use ebonyloft_router::outcome::Pause;
use ebonyloft_router::pauses::{BACK_OFF_DEFAULT, BACK_OFF_MAX, Pauses, soonest};

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
const SECOND: Duration = Duration::from_secs(1);

fn id(name: &str) -> ServerId {
    ServerId::new(name, 0)
}

#[test]
fn a_server_is_available_when_its_back_off_ends() {
    let mut pauses = Pauses::default();
    assert_eq!(pauses.note(NOW, &id("a"), Pause::For(SECOND * 2)), (NOW.after(SECOND * 2), true));
    assert!(!pauses.is_open(NOW.after(SECOND), &id("a")));
    assert!(pauses.is_open(NOW.after(SECOND * 2), &id("a")));
    assert!(pauses.is_open(NOW, &id("b")));
    // The next incarnation stated no back-off.
    assert!(pauses.is_open(NOW, &ServerId::new("a", 1)));
    // A later back-off replaces an earlier one, even if it is shorter.
    pauses.note(NOW, &id("a"), Pause::For(SECOND));
    assert!(pauses.is_open(NOW.after(SECOND), &id("a")));
}

#[test]
fn invalid_and_excessive_back_offs_are_bounded() {
    let mut pauses = Pauses::default();
    let year = Pause::For(SECOND * 31_536_000);
    assert_eq!(pauses.note(NOW, &id("a"), year), (NOW.after(BACK_OFF_MAX), false));
    let (until, as_stated) = pauses.note(NOW, &id("b"), Pause::Unreadable);
    assert_eq!((until, as_stated), (NOW.after(BACK_OFF_DEFAULT), false));
    pauses.note(NOW, &id("c"), Pause::For(Duration::ZERO));
    assert!(pauses.is_open(NOW, &id("c")));
}

#[test]
fn the_earliest_end_is_known_when_all_servers_back_off() {
    let mut pauses = Pauses::default();
    let all = [id("a"), id("b")];
    let first = |pauses: &Pauses| soonest(all.iter().map(|id| pauses.until(NOW, id)));
    assert_eq!(first(&pauses), None);
    pauses.note(NOW, &id("a"), Pause::For(SECOND * 3));
    assert_eq!(first(&pauses), None);
    pauses.note(NOW, &id("b"), Pause::For(SECOND * 2));
    assert_eq!(first(&pauses), Some(NOW.after(SECOND * 2)));
    assert_eq!(soonest(std::iter::empty()), None);
    pauses.expire(NOW.after(SECOND * 2));
    assert!(!pauses.is_open(NOW.after(SECOND * 2), &id("a")));
}
