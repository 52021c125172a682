//! Quotas: whoever lends, the sum keeps the bound.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ebonyloft_core::config::Rate;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::fleet::{Fleet, Gateway};
use ebonyloft_router::node::Excess;
use ebonyloft_router::quota::borrower::Borrower;
use ebonyloft_router::quota::homes::{Homes, Missing, Votes, gateway_number};
use ebonyloft_router::quota::lender::{Lender, spare};
use ebonyloft_router::quota::{Ask, Key, LEASE_TTL, Reply};

const BOUND: Rate = Rate { rate: 1_000.0, burst: 1_000.0 };

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

/// A question that was not asked before.
fn ask(need: u64, more: u64) -> Ask {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    Ask { number, key: Key::account("one"), need, more, limit: None }
}

fn lent(reply: Reply) -> u64 {
    match reply {
        Reply::Lent(tokens) => tokens,
        Reply::Over { .. } | Reply::Elsewhere => 0,
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
    fleet.replace(at(0), list, 1);
    fleet
}

/// What each gateway misses; who is not in it is not heard.
struct Views(BTreeMap<String, Missing>);

impl Votes for Views {
    fn missing(&self, name: &str) -> Option<&Missing> {
        self.0.get(name)
    }
}

fn all_hear(fleet: &Fleet) -> Views {
    Views(fleet.all().keys().map(|name| (name.clone(), Missing::new())).collect())
}

#[test]
fn a_home_that_starts_grants_what_time_has_brought() {
    let mut lender = Lender::new(at(0));
    assert!(matches!(lender.lend(at(100), &ask(500, 0), &BOUND, 1.0, true), Reply::Over { .. }));
    assert_eq!(lent(lender.lend(at(500), &ask(500, 0), &BOUND, 1.0, true)), 500);
    assert_eq!(lent(lender.lend(at(500), &ask(1, 0), &BOUND, 1.0, true)), 0);
}

#[test]
fn an_account_that_rested_has_its_burst() {
    let mut lender = Lender::new(at(0));
    assert_eq!(lent(lender.lend(at(60_000), &ask(1_000, 0), &BOUND, 1.0, true)), 1_000);
}

#[test]
fn a_deputy_begins_with_nothing() {
    let mut lender = Lender::new(at(0));
    assert_eq!(lent(lender.lend(at(60_000), &ask(1_000, 0), &BOUND, 1.0, false)), 0);
    assert_eq!(lent(lender.lend(at(60_200), &ask(200, 0), &BOUND, 1.0, false)), 200);
}

#[test]
fn a_home_that_was_paused_begins_anew() {
    let mut lender = Lender::new(at(0));
    lender.tick(at(4_000), 1);
    assert_eq!(lent(lender.lend(at(4_001), &ask(1_000, 0), &BOUND, 1.0, true)), 0);
}

#[test]
fn a_home_whose_list_of_gateways_changes_begins_anew() {
    let mut lender = Lender::new(at(0));
    for ms in (0..=4_000).step_by(250) {
        lender.tick(at(ms), 1);
    }
    lender.tick(at(4_100), 2);
    assert_eq!(lent(lender.lend(at(4_200), &ask(1_000, 0), &BOUND, 1.0, true)), 0);
}

#[test]
fn what_is_lent_ahead_leaves_half_a_bucket_for_those_who_are_there() {
    let mut lender = Lender::new(at(0));
    assert_eq!(lent(lender.lend(at(60_000), &ask(100, 5_000), &BOUND, 1.0, true)), 500);
    assert_eq!(lent(lender.lend(at(60_000), &ask(100, 5_000), &BOUND, 1.0, true)), 100);
}

#[test]
fn a_raised_burst_is_there_at_once_and_a_lowered_one_binds_at_once() {
    let mut lender = Lender::new(at(0));
    assert_eq!(lent(lender.lend(at(60_000), &ask(1_000, 0), &BOUND, 1.0, true)), 1_000);
    let raised = Rate { burst: 3_000.0, ..BOUND };
    assert_eq!(lent(lender.lend(at(60_000), &ask(2_000, 0), &raised, 1.0, true)), 2_000);
    let lowered = Rate { rate: 10.0, burst: 10.0 };
    assert_eq!(lent(lender.lend(at(90_000), &ask(10, 0), &lowered, 1.0, true)), 10);
    assert_eq!(lent(lender.lend(at(90_100), &ask(10, 0), &lowered, 1.0, true)), 0);
}

#[test]
fn a_request_larger_than_the_burst_passes_a_full_bucket_and_is_paid_off() {
    let mut lender = Lender::new(at(0));
    assert_eq!(lent(lender.lend(at(60_000), &ask(3_000, 0), &BOUND, 1.0, true)), 3_000);
    assert_eq!(lent(lender.lend(at(61_900), &ask(1, 0), &BOUND, 1.0, true)), 0);
    assert_eq!(lent(lender.lend(at(62_100), &ask(1, 0), &BOUND, 1.0, true)), 1);
}

#[test]
fn those_who_are_sent_away_come_back_one_behind_the_other() {
    let mut lender = Lender::new(at(0));
    lender.lend(at(60_000), &ask(1_000, 0), &BOUND, 1.0, true);
    let backs: Vec<u32> = (0..4)
        .map(|_| match lender.lend(at(60_000), &ask(100, 0), &BOUND, 1.0, true) {
            Reply::Over { back, .. } => back,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(backs, [100, 200, 300, 400]);
}

#[test]
fn in_any_window_no_more_is_lent_than_its_rate_and_one_burst() {
    let mut lender = Lender::new(at(0));
    let mut all = Vec::new();
    for ms in (0..40_000).step_by(7) {
        lender.tick(at(ms), 1);
        let tokens = lent(lender.lend(at(ms), &ask(13, 40), &BOUND, 1.0, true));
        all.push((ms, tokens));
    }
    for (from, _) in &all {
        let within = all.iter().filter(|(ms, _)| (*from..from + 8_000).contains(ms));
        let sum: u64 = within.map(|(_, tokens)| tokens).sum();
        assert!(sum <= 9_013, "{sum} from {from}");
    }
    // Under more demand than the bound nothing of it is left.
    let last: u64 = all.iter().filter(|(ms, _)| *ms >= 20_000).map(|(_, t)| t).sum();
    assert!(last >= 19_600, "{last}");
}

#[test]
fn all_gateways_agree_on_a_home_and_it_lends_the_whole_bound() {
    let fleet = fleet(29);
    let views = all_hear(&fleet);
    for n in 0..50 {
        let account = Key::account(&format!("account-{n}"));
        let home = Homes::default().home(&fleet, &account, &Missing::new()).expect("a home");
        let mut sum = 0.0;
        for name in fleet.all().keys() {
            let part = Homes::default().part(&fleet, &account, name, &views);
            assert!(part == 0.0 || *name == home);
            sum += part;
        }
        assert_eq!(sum, 1.0);
    }
}

#[test]
fn accounts_are_spread_over_gateways_by_their_strength() {
    let mut list = fleet(8).all().clone();
    list.get_mut("front-0").expect("it is there").power = 700;
    let mut fleet = Fleet::default();
    fleet.replace(at(0), list, 1);
    let mut homes = Homes::default();
    let ranked = |n: usize, homes: &mut Homes| {
        homes.ranked(&fleet, &Key::account(&format!("account-{n}")))[0].clone()
    };
    let strong = (0..2_000).filter(|n| ranked(*n, &mut homes) == "front-0").count();
    assert!((850..1_150).contains(&strong), "{strong}");
}

#[test]
fn a_deputy_lends_for_those_who_miss_the_home_and_the_home_for_the_others() {
    let fleet = fleet(29);
    let account = Key::account("one");
    let ranked = Homes::default().ranked(&fleet, &account);
    let (home, deputy) = (&ranked[0], &ranked[1]);
    let mut views = all_hear(&fleet);
    let lost: Missing = [gateway_number(home)].into();
    let others = fleet.all().keys().filter(|name| *name != home);
    for name in others.take(10) {
        views.0.insert(name.clone(), lost.clone());
    }
    let at_home = Homes::default().part(&fleet, &account, home, &views);
    let at_deputy = Homes::default().part(&fleet, &account, deputy, &views);
    assert_eq!((at_home, at_deputy), (19.0 / 29.0, 10.0 / 29.0));
}

#[test]
fn a_home_that_hears_nobody_lends_its_own_part() {
    let fleet = fleet(29);
    let account = Key::account("one");
    let home = Homes::default().ranked(&fleet, &account)[0].clone();
    let own: Missing =
        fleet.all().keys().filter(|n| **n != home).map(|n| gateway_number(n)).collect();
    let views = Views([(home.clone(), own)].into());
    assert_eq!(Homes::default().part(&fleet, &account, &home, &views), 1.0 / 29.0);
}

#[test]
fn a_lost_gateway_moves_only_its_own_accounts() {
    let fleet = fleet(29);
    let mut fewer = Fleet::default();
    let list = fleet.all().iter().filter(|(name, _)| *name != "front-7");
    fewer.replace(at(0), list.map(|(n, g)| (n.clone(), g.clone())).collect(), 1);
    for n in 0..200 {
        let account = Key::account(&format!("account-{n}"));
        let before = Homes::default().ranked(&fleet, &account)[0].clone();
        let after = Homes::default().ranked(&fewer, &account)[0].clone();
        assert!(before == after || before == "front-7");
    }
}

#[test]
fn borrowed_tokens_are_used_once_and_lapse() {
    let (account, mut borrower) = (Key::account("one"), Borrower::default());
    borrower.lent(&account, at(0), 100);
    assert!(borrower.take(at(10), &account, 60));
    assert!(!borrower.take(at(10), &account, 60));
    assert!(borrower.take(at(10), &account, 40));
    borrower.lent(&account, at(100), 100);
    assert!(!borrower.take(at(100).after(LEASE_TTL), &account, 1));
}

#[test]
fn what_did_not_run_can_be_used_by_another_request_once() {
    let (account, mut borrower) = (Key::account("one"), Borrower::default());
    borrower.lent(&account, at(0), 100);
    assert!(borrower.take(at(10), &account, 100));
    borrower.give_back(at(50), &account, 100);
    assert!(borrower.take(at(60), &account, 100));
    assert!(!borrower.take(at(60), &account, 1));
}

#[test]
fn demand_is_borrowed_ahead_and_forgotten() {
    let (account, mut borrower) = (Key::account("one"), Borrower::default());
    for ms in (0..5_000).step_by(100) {
        borrower.take(at(ms), &account, 50);
    }
    let more = borrower.more(&account);
    assert!((120..190).contains(&more), "{more}");
    borrower.expire(at(5_000).after(Duration::from_secs(11)));
    assert_eq!(borrower.more(&account), 0);
}

#[test]
fn a_home_and_its_deputy_together_stay_within_what_is_tolerated() {
    let excess = Excess { part: 0.1, fixed: 190_000.0, window: Duration::from_secs(8) };
    for rate in [500.0, 47_000.0, 190_000.0, 2e6] {
        let bound = Rate { rate, burst: rate };
        let allowed = rate * 8.0 + rate;
        assert!(allowed * (1.0 + spare(&bound, &excess)) <= allowed * 1.1 + 190_000.0);
    }
    assert_eq!(spare(&BOUND, &Excess::default()), 0.0);
}

#[test]
fn a_question_that_is_asked_again_lends_nothing_more() {
    let mut lender = Lender::new(at(0));
    let once = ask(600, 0);
    assert_eq!(lent(lender.lend(at(60_000), &once, &BOUND, 1.0, true)), 600);
    assert_eq!(lent(lender.lend(at(60_040), &once, &BOUND, 1.0, true)), 600);
    assert_eq!(lent(lender.lend(at(60_040), &ask(440, 0), &BOUND, 1.0, true)), 440);
}

#[test]
fn what_lapses_unused_can_be_lent_anew_by_its_home() {
    let (account, mut borrower, mut lender) =
        (Key::account("one"), Borrower::default(), Lender::new(at(0)));
    lender.tick(at(59_900), 1);
    lender.tick(at(59_900), 1);
    assert_eq!(lent(lender.lend(at(61_000), &ask(900, 0), &BOUND, 1.0, true)), 900);
    borrower.lent(&account, at(61_000), 900);
    assert!(borrower.take(at(61_010), &account, 100));
    assert_eq!(borrower.unused(at(61_500), Duration::from_millis(300)), []);
    let unused = borrower.unused(at(61_750), Duration::from_millis(300));
    assert_eq!(unused, [(account.clone(), 800)]);
    assert!(!borrower.take(at(61_750), &account, 1));
    let before = lender.level(&account).expect("it was lent to");
    lender.take_back(&account, 800, 1.0);
    assert_eq!(lender.level(&account), Some(before + 800.0));
    lender.take_back(&account, 800, 1.0);
    assert_eq!(lender.level(&account), Some(BOUND.burst));
}
