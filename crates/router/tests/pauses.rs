//! Back-off of backend servers.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::back_offs::{BACK_OFF_DEFAULT, BACK_OFF_MAX, BackOffs, first_available};
use ebonyloft_router::catalog::ServerId;
use ebonyloft_router::outcome::BackOff;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
const SECOND: Duration = Duration::from_secs(1);

fn id(name: &str) -> ServerId {
    ServerId::new(name, 0)
}

#[test]
fn a_server_is_available_when_its_back_off_ends() {
    let mut back_offs = BackOffs::default();
    assert_eq!(
        back_offs.record(NOW, &id("a"), BackOff::For(SECOND * 2)),
        (NOW.after(SECOND * 2), true)
    );
    assert!(!back_offs.is_available(NOW.after(SECOND), &id("a")));
    assert!(back_offs.is_available(NOW.after(SECOND * 2), &id("a")));
    assert!(back_offs.is_available(NOW, &id("b")));
    // The next incarnation stated no back-off.
    assert!(back_offs.is_available(NOW, &ServerId::new("a", 1)));
    // A later back-off replaces an earlier one, even if it is shorter.
    back_offs.record(NOW, &id("a"), BackOff::For(SECOND));
    assert!(back_offs.is_available(NOW.after(SECOND), &id("a")));
}

#[test]
fn invalid_and_excessive_back_offs_are_bounded() {
    let mut back_offs = BackOffs::default();
    let year = BackOff::For(SECOND * 31_536_000);
    assert_eq!(back_offs.record(NOW, &id("a"), year), (NOW.after(BACK_OFF_MAX), false));
    let (until, as_stated) = back_offs.record(NOW, &id("b"), BackOff::Unreadable);
    assert_eq!((until, as_stated), (NOW.after(BACK_OFF_DEFAULT), false));
    back_offs.record(NOW, &id("c"), BackOff::For(Duration::ZERO));
    assert!(back_offs.is_available(NOW, &id("c")));
}

#[test]
fn the_earliest_end_is_known_when_all_servers_back_off() {
    let mut back_offs = BackOffs::default();
    let all = [id("a"), id("b")];
    let first =
        |back_offs: &BackOffs| first_available(all.iter().map(|id| back_offs.until(NOW, id)));
    assert_eq!(first(&back_offs), None);
    back_offs.record(NOW, &id("a"), BackOff::For(SECOND * 3));
    assert_eq!(first(&back_offs), None);
    back_offs.record(NOW, &id("b"), BackOff::For(SECOND * 2));
    assert_eq!(first(&back_offs), Some(NOW.after(SECOND * 2)));
    assert_eq!(first_available(std::iter::empty()), None);
    back_offs.expire(NOW.after(SECOND * 2));
    assert!(!back_offs.is_available(NOW.after(SECOND * 2), &id("a")));
}
