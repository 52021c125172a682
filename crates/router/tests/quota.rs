//! Quotas: whichever gateways grant tokens, the sum keeps the rate limit.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ebonyloft_core::config::Rate;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::fleet::{Fleet, Gateway};
use ebonyloft_router::node::Excess;
use ebonyloft_router::quota::issuer::{LeaseIssuer, standby_share};
use ebonyloft_router::quota::leases::TokenLeases;
use ebonyloft_router::quota::ownership::{
    Owners, ReachabilityReports, UnreachableGateways, gateway_number,
};
use ebonyloft_router::quota::{LEASE_TTL, LeaseDecision, LeaseRequest, LimitKey};

const BOUND: Rate = Rate { rate: 1_000.0, burst: 1_000.0 };

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

/// A lease request with a new number.
fn ask(need: u64, more: u64) -> LeaseRequest {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    LeaseRequest { number, key: LimitKey::account("one"), need, prefetch: more, limit: None }
}

fn granted(reply: LeaseDecision) -> u64 {
    match reply {
        LeaseDecision::Lent(tokens) => tokens,
        LeaseDecision::Over { .. } | LeaseDecision::Elsewhere => 0,
    }
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    let gateway = |i: usize| Gateway {
        addr: ([127, 0, 0, 1], 7_000 + i as u16).into(),
        zone: "a".to_owned(),
        power: 100,
    };
    let list: BTreeMap<String, Gateway> =
        (0..count).map(|i| (format!("front-{i}"), gateway(i))).collect();
    fleet.replace(at(0), list, 1.into());
    fleet
}

/// Unreachable gateways by reporting gateway; a gateway without an entry has no recent report.
struct Reports(BTreeMap<String, UnreachableGateways>);

impl ReachabilityReports for Reports {
    fn unreachable(&self, name: &str) -> Option<&UnreachableGateways> {
        self.0.get(name)
    }
}

fn all_reachable(fleet: &Fleet) -> Reports {
    Reports(fleet.all().keys().map(|name| (name.clone(), UnreachableGateways::new())).collect())
}

#[test]
fn a_new_owner_grants_accrued_tokens_only() {
    let mut issuer = LeaseIssuer::new(at(0));
    assert!(matches!(
        issuer.grant(at(100), &ask(500, 0), &BOUND, 1.0, true),
        LeaseDecision::Over { .. }
    ));
    assert_eq!(granted(issuer.grant(at(500), &ask(500, 0), &BOUND, 1.0, true)), 500);
    assert_eq!(granted(issuer.grant(at(500), &ask(1, 0), &BOUND, 1.0, true)), 0);
}

#[test]
fn an_idle_account_has_its_burst() {
    let mut issuer = LeaseIssuer::new(at(0));
    assert_eq!(granted(issuer.grant(at(60_000), &ask(1_000, 0), &BOUND, 1.0, true)), 1_000);
}

#[test]
fn a_standby_starts_without_tokens() {
    let mut issuer = LeaseIssuer::new(at(0));
    assert_eq!(granted(issuer.grant(at(60_000), &ask(1_000, 0), &BOUND, 1.0, false)), 0);
    assert_eq!(granted(issuer.grant(at(60_200), &ask(200, 0), &BOUND, 1.0, false)), 200);
}

/// Guards against an account that is refused once after the loss of its owner, whenever it calls next.
#[test]
fn a_standby_grants_what_came_in_since_the_others_were_lost() {
    let mut issuer = LeaseIssuer::new(at(0));
    issuer.observe(at(1_000), Some(7));
    issuer.observe(at(58_000), Some(8));
    issuer.observe(at(58_100), Some(8));
    assert_eq!(granted(issuer.grant(at(58_300), &ask(300, 0), &BOUND, 1.0, false)), 300);
    assert_eq!(granted(issuer.grant(at(58_300), &ask(1, 0), &BOUND, 1.0, false)), 0);
    // Where the others are not observed, nothing is known to have come in.
    let mut issuer = LeaseIssuer::new(at(0));
    issuer.observe(at(1_000), Some(7));
    issuer.observe(at(2_000), None);
    assert_eq!(granted(issuer.grant(at(60_000), &ask(1, 0), &BOUND, 1.0, false)), 0);
}

#[test]
fn an_owner_that_was_paused_starts_over() {
    let mut issuer = LeaseIssuer::new(at(0));
    issuer.tick(at(4_000), 1);
    assert_eq!(granted(issuer.grant(at(4_001), &ask(1_000, 0), &BOUND, 1.0, true)), 0);
}

#[test]
fn an_owner_starts_over_when_the_gateway_list_changes() {
    let mut issuer = LeaseIssuer::new(at(0));
    for ms in (0..=4_000).step_by(250) {
        issuer.tick(at(ms), 1);
    }
    issuer.tick(at(4_100), 2);
    assert_eq!(granted(issuer.grant(at(4_200), &ask(1_000, 0), &BOUND, 1.0, true)), 0);
}

#[test]
fn grants_in_advance_leave_half_a_bucket_for_present_requests() {
    let mut issuer = LeaseIssuer::new(at(0));
    assert_eq!(granted(issuer.grant(at(60_000), &ask(100, 5_000), &BOUND, 1.0, true)), 500);
    assert_eq!(granted(issuer.grant(at(60_000), &ask(100, 5_000), &BOUND, 1.0, true)), 100);
}

#[test]
fn changes_of_the_burst_take_effect_at_once() {
    let mut issuer = LeaseIssuer::new(at(0));
    assert_eq!(granted(issuer.grant(at(60_000), &ask(1_000, 0), &BOUND, 1.0, true)), 1_000);
    let raised = Rate { burst: 3_000.0, ..BOUND };
    assert_eq!(granted(issuer.grant(at(60_000), &ask(2_000, 0), &raised, 1.0, true)), 2_000);
    let lowered = Rate { rate: 10.0, burst: 10.0 };
    assert_eq!(granted(issuer.grant(at(90_000), &ask(10, 0), &lowered, 1.0, true)), 10);
    assert_eq!(granted(issuer.grant(at(90_100), &ask(10, 0), &lowered, 1.0, true)), 0);
}

#[test]
fn a_request_above_the_burst_passes_a_full_bucket_and_is_paid_off_later() {
    let mut issuer = LeaseIssuer::new(at(0));
    assert_eq!(granted(issuer.grant(at(60_000), &ask(3_000, 0), &BOUND, 1.0, true)), 3_000);
    assert_eq!(granted(issuer.grant(at(61_900), &ask(1, 0), &BOUND, 1.0, true)), 0);
    assert_eq!(granted(issuer.grant(at(62_100), &ask(1, 0), &BOUND, 1.0, true)), 1);
}

#[test]
fn retry_times_of_refused_callers_are_spaced() {
    let mut issuer = LeaseIssuer::new(at(0));
    issuer.grant(at(60_000), &ask(1_000, 0), &BOUND, 1.0, true);
    let backs: Vec<u32> = (0..4)
        .map(|_| match issuer.grant(at(60_000), &ask(100, 0), &BOUND, 1.0, true) {
            LeaseDecision::Over { back, .. } => back,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(backs, [100, 200, 300, 400]);
}

#[test]
fn grants_in_any_window_stay_within_the_rate_and_one_burst() {
    let mut issuer = LeaseIssuer::new(at(0));
    let mut all = Vec::new();
    for ms in (0..40_000).step_by(7) {
        issuer.tick(at(ms), 1);
        let tokens = granted(issuer.grant(at(ms), &ask(13, 40), &BOUND, 1.0, true));
        all.push((ms, tokens));
    }
    for (from, _) in &all {
        let within = all.iter().filter(|(ms, _)| (*from..from + 8_000).contains(ms));
        let sum: u64 = within.map(|(_, tokens)| tokens).sum();
        assert!(sum <= 9_013, "{sum} from {from}");
    }
    // Demand is above the limit, so all of it is used.
    let last: u64 = all.iter().filter(|(ms, _)| *ms >= 20_000).map(|(_, t)| t).sum();
    assert!(last >= 19_600, "{last}");
}

#[test]
fn all_gateways_agree_on_an_owner_and_it_grants_the_whole_limit() {
    let fleet = fleet(29);
    let reports = all_reachable(&fleet);
    for n in 0..50 {
        let account = LimitKey::account(&format!("account-{n}"));
        let owner = Owners::default()
            .owner(&fleet, &account, &UnreachableGateways::new())
            .expect("an owner");
        let mut sum = 0.0;
        for name in fleet.all().keys() {
            let part = Owners::default().share(&fleet, &account, name, &reports);
            assert!(part == 0.0 || *name == owner);
            sum += part;
        }
        assert_eq!(sum, 1.0);
    }
}

#[test]
fn accounts_are_spread_over_gateways_by_their_cpu_capacity() {
    let mut list = fleet(8).all().clone();
    list.get_mut("front-0").expect("front-0 is in the list").power = 700;
    let mut fleet = Fleet::default();
    fleet.replace(at(0), list, 1.into());
    let mut owners = Owners::default();
    let ranked = |n: usize, owners: &mut Owners| {
        owners.ranked(&fleet, &LimitKey::account(&format!("account-{n}")))[0].clone()
    };
    let strong = (0..2_000).filter(|n| ranked(*n, &mut owners) == "front-0").count();
    assert!((850..1_150).contains(&strong), "{strong}");
}

#[test]
fn a_standby_grants_to_gateways_that_cannot_reach_the_owner() {
    let fleet = fleet(29);
    let account = LimitKey::account("one");
    let ranked = Owners::default().ranked(&fleet, &account);
    let (owner, standby) = (&ranked[0], &ranked[1]);
    let mut reports = all_reachable(&fleet);
    let lost: UnreachableGateways = [gateway_number(owner)].into();
    let others = fleet.all().keys().filter(|name| *name != owner);
    for name in others.take(10) {
        reports.0.insert(name.clone(), lost.clone());
    }
    let at_owner = Owners::default().share(&fleet, &account, owner, &reports);
    let at_standby = Owners::default().share(&fleet, &account, standby, &reports);
    assert_eq!((at_owner, at_standby), (19.0 / 29.0, 10.0 / 29.0));
}

#[test]
fn an_isolated_owner_grants_its_own_share_only() {
    let fleet = fleet(29);
    let account = LimitKey::account("one");
    let owner = Owners::default().ranked(&fleet, &account)[0].clone();
    let own: UnreachableGateways =
        fleet.all().keys().filter(|n| **n != owner).map(|n| gateway_number(n)).collect();
    let reports = Reports([(owner.clone(), own)].into());
    assert_eq!(Owners::default().share(&fleet, &account, &owner, &reports), 1.0 / 29.0);
}

#[test]
fn a_lost_gateway_moves_only_its_own_accounts() {
    let fleet = fleet(29);
    let mut fewer = Fleet::default();
    let list = fleet.all().iter().filter(|(name, _)| *name != "front-7");
    fewer.replace(at(0), list.map(|(n, g)| (n.clone(), g.clone())).collect(), 1.into());
    for n in 0..200 {
        let account = LimitKey::account(&format!("account-{n}"));
        let before = Owners::default().ranked(&fleet, &account)[0].clone();
        let after = Owners::default().ranked(&fewer, &account)[0].clone();
        assert!(before == after || before == "front-7");
    }
}

#[test]
fn leased_tokens_are_used_once_and_expire() {
    let (account, mut leases) = (LimitKey::account("one"), TokenLeases::default());
    leases.on_granted(&account, at(0), 100);
    assert!(leases.spend(at(10), &account, 60));
    assert!(!leases.spend(at(10), &account, 60));
    assert!(leases.spend(at(10), &account, 40));
    leases.on_granted(&account, at(100), 100);
    assert!(!leases.spend(at(100).after(LEASE_TTL), &account, 1));
}

#[test]
fn tokens_of_a_request_that_did_not_run_are_used_once_more() {
    let (account, mut leases) = (LimitKey::account("one"), TokenLeases::default());
    leases.on_granted(&account, at(0), 100);
    assert!(leases.spend(at(10), &account, 100));
    leases.restore(at(50), &account, 100);
    assert!(leases.spend(at(60), &account, 100));
    assert!(!leases.spend(at(60), &account, 1));
}

#[test]
fn expected_demand_is_leased_in_advance_and_expires() {
    let (account, mut leases) = (LimitKey::account("one"), TokenLeases::default());
    for ms in (0..5_000).step_by(100) {
        leases.spend(at(ms), &account, 50);
    }
    let more = leases.prefetch(&account);
    assert!((120..190).contains(&more), "{more}");
    leases.expire(at(5_000).after(Duration::from_secs(11)));
    assert_eq!(leases.prefetch(&account), 0);
}

#[test]
fn an_owner_and_its_standby_stay_within_the_tolerated_excess() {
    let excess = Excess { fraction: 0.1, fixed: 190_000.0, window: Duration::from_secs(8) };
    for rate in [500.0, 47_000.0, 190_000.0, 2e6] {
        let bound = Rate { rate, burst: rate };
        let allowed = rate * 8.0 + rate;
        assert!(allowed * (1.0 + standby_share(&bound, &excess)) <= allowed * 1.1 + 190_000.0);
    }
    assert_eq!(standby_share(&BOUND, &Excess::default()), 0.0);
}

#[test]
fn a_repeated_lease_request_grants_nothing_more() {
    let mut issuer = LeaseIssuer::new(at(0));
    let once = ask(600, 0);
    assert_eq!(granted(issuer.grant(at(60_000), &once, &BOUND, 1.0, true)), 600);
    assert_eq!(granted(issuer.grant(at(60_040), &once, &BOUND, 1.0, true)), 600);
    assert_eq!(granted(issuer.grant(at(60_040), &ask(440, 0), &BOUND, 1.0, true)), 440);
}

#[test]
fn unused_tokens_can_be_granted_again_by_the_owner() {
    let (account, mut leases, mut issuer) =
        (LimitKey::account("one"), TokenLeases::default(), LeaseIssuer::new(at(0)));
    issuer.tick(at(59_900), 1);
    issuer.tick(at(59_900), 1);
    assert_eq!(granted(issuer.grant(at(61_000), &ask(900, 0), &BOUND, 1.0, true)), 900);
    leases.on_granted(&account, at(61_000), 900);
    assert!(leases.spend(at(61_010), &account, 100));
    assert_eq!(leases.take_expiring(at(61_500), Duration::from_millis(300)), []);
    let unused = leases.take_expiring(at(61_750), Duration::from_millis(300));
    assert_eq!(unused, [(account.clone(), 800)]);
    assert!(!leases.spend(at(61_750), &account, 1));
    let before = issuer.level(&account).expect("tokens were granted");
    issuer.return_unused(&account, 800, 1.0);
    assert_eq!(issuer.level(&account), Some(before + 800.0));
    issuer.return_unused(&account, 800, 1.0);
    assert_eq!(issuer.level(&account), Some(BOUND.burst));
}
