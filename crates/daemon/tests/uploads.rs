//! How many configurations may be on their way at a time.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloftd::gateway::pool::BODY_TIMEOUT;
use ebonyloftd::gateway::uploads::Uploads;

const NOW: Timestamp = Timestamp::from_millis(100_000);

#[test]
fn a_link_carries_as_many_as_it_has_times_ten_megabits() {
    for (link, most) in [(10, 1), (5, 1), (25, 2), (200, 20), (0, 4)] {
        let uploads = Uploads::default();
        let open: Vec<_> = (0..100).map_while(|_| uploads.begin(NOW, link)).collect();
        assert_eq!(open.len(), most, "{link} Mbit/s");
    }
}

#[test]
fn one_that_has_ended_makes_room() {
    let uploads = Uploads::default();
    let first = uploads.begin(NOW, 10);
    assert!(first.is_some() && uploads.begin(NOW, 10).is_none());
    drop(first);
    assert!(uploads.begin(NOW, 10).is_some());
}

/// Its connection went silent and never ends: others are served all the same.
#[test]
fn one_that_stalls_does_not_count_for_ever() {
    let uploads = Uploads::default();
    let _stalled = uploads.begin(NOW, 10).expect("the first");
    let last = NOW.after(BODY_TIMEOUT).before(Duration::from_millis(1));
    assert!(uploads.begin(last, 10).is_none());
    assert!(uploads.begin(NOW.after(BODY_TIMEOUT), 10).is_some());
}
