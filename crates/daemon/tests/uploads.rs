//! Limit of concurrent uploads of configurations, by the bandwidth of the network link.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloftd::gateway::pool::BODY_TIMEOUT;
use ebonyloftd::gateway::uploads::Uploads;

const NOW: Timestamp = Timestamp::from_millis(100_000);

#[test]
fn a_link_carries_one_upload_per_ten_megabits() {
    for (link_mbps, expected) in [(10, 1), (5, 1), (25, 2), (200, 20), (0, 4)] {
        let uploads = Uploads::default();
        let open: Vec<_> = (0..100).map_while(|_| uploads.begin(NOW, link_mbps)).collect();
        assert_eq!(open.len(), expected, "{link_mbps} Mbit/s");
    }
}

#[test]
fn a_finished_upload_makes_room() {
    let uploads = Uploads::default();
    let first = uploads.begin(NOW, 10);
    assert!(first.is_some() && uploads.begin(NOW, 10).is_none());
    drop(first);
    assert!(uploads.begin(NOW, 10).is_some());
}

/// An upload whose connection stalls without an error is counted only for `BODY_TIMEOUT`.
#[test]
fn a_stalled_upload_stops_counting() {
    let uploads = Uploads::default();
    let _stalled = uploads.begin(NOW, 10).expect("the first");
    let last = NOW.after(BODY_TIMEOUT).before(Duration::from_millis(1));
    assert!(uploads.begin(last, 10).is_none());
    assert!(uploads.begin(NOW.after(BODY_TIMEOUT), 10).is_some());
}
