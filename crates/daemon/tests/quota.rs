//! Quotas and limits that gateways share: what logs say of them.

use ebonyloft_core::time::Timestamp;
use ebonyloftd::gateway::quota::Shortage;

#[test]
fn a_logged_shortage_keeps_its_form() {
    assert_eq!(format!("{:?}", Shortage::Unknown), "Unknown");
    assert_eq!(format!("{:?}", Shortage::Over(Timestamp(123_456))), "Over(Moment(123456))");
}
