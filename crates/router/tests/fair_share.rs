//! Shares of client accounts: which accounts are over their share, and what gateways tell each other.

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::Value;
use ebonyloft_core::config::Rate;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::accounts::{Account, Accounts, Quota, Unit};
use ebonyloft_router::fair_share::{
    ACCOUNTS_MAX, AccountUse, AccountUses, AccountWeights, Claim, FairShares, REPORTED_MAX,
    ShareKey, shares,
};
use ebonyloft_router::load_report::{GossipMessage, LoadReport};
use ebonyloft_router::report_timing::{LOAD_TIMEOUT, REPORT_INTERVAL};
use proptest::prelude::*;

const NOW: Timestamp = Timestamp::from_millis(100_000);
/// Cost of a usual request: 3,200 prompt tokens and 864 of the answer.
const COST: f64 = 3_632.0 * 864.0;

fn after(ms: u64) -> Timestamp {
    NOW.after(Duration::from_millis(ms))
}

fn key(account: &str) -> ShareKey {
    ShareKey::new("llm", Some(account))
}

fn account(name: &str, quota: Option<Quota>) -> Account {
    Account { name: name.into(), quota, ..Account::default() }
}

fn requests(rate: f64) -> Option<Quota> {
    Some(Quota { bound: Rate { rate, burst: rate }, unit: Unit::Requests })
}

/// Shares of accounts `a0`, `a1` and so on, whose quotas have these rates.
fn with_quotas(rates: &[f64]) -> FairShares {
    let named = |(i, rate): (usize, &f64)| account(&format!("a{i}"), requests(*rate));
    let accounts = Accounts::from(rates.iter().enumerate().map(named).collect::<Vec<_>>());
    let mut shares = FairShares::default();
    shares.configure(AccountWeights::of(&accounts));
    shares
}

/// Records that an account asked for `asked` usual requests and that `admitted` of them were
/// admitted.
fn use_up(shares: &mut FairShares, at: Timestamp, account: &str, asked: f64, admitted: f64) {
    shares.on_requested(at, key(account), asked * COST);
    shares.on_admitted(at, key(account), admitted * COST, at);
}

/// Accounts `a0`, `a1` and so on that are over their share.
fn over(shares: &mut FairShares, at: Timestamp, accounts: usize) -> Vec<usize> {
    shares.evaluate(at);
    (0..accounts).filter(|i| shares.is_over(key(&format!("a{i}")))).collect()
}

/// Use of an account as one gateway sees it.
fn used(shares: &FairShares, at: Timestamp, account: &str) -> Option<AccountUse> {
    let uses = shares.uses(at, key(account).service);
    uses.into_iter().find(|(number, _)| *number == key(account).account).map(|(_, used)| used)
}

/// Sends the figures of one gateway to another.
fn send(from: &mut FairShares, name: &str, to: &mut FairShares, at: Timestamp) {
    to.on_report(at, name, from.report(at));
}

/// One account under its quota took the capacity of all others.
#[test]
fn an_account_at_eight_times_its_usual_load_is_over_its_share_while_others_go_without() {
    for quota in [1_000.0, 2.0] {
        // Over its quota most of its requests never get here; under it all do.
        let asked = if quota > 8.0 { 80.0 } else { 20.0 };
        let mut shares = with_quotas(&[quota; 4]);
        use_up(&mut shares, NOW, "a0", asked, 17.0);
        for i in 1..4 {
            use_up(&mut shares, NOW, &format!("a{i}"), 10.0, 6.0);
        }
        assert_eq!(over(&mut shares, NOW, 4), [0], "quota {quota}");
    }
}

/// Accounts that ask for what they usually do got what they asked for, and one that asks for no more
/// than its share must not wait behind others.
#[test]
fn an_account_that_asks_for_less_than_its_share_is_not_over_it() {
    let mut shares = with_quotas(&[1.0; 4]);
    use_up(&mut shares, NOW, "a0", 80.0, 30.0);
    use_up(&mut shares, NOW, "a1", 10.0, 10.0);
    use_up(&mut shares, NOW, "a2", 10.0, 2.0);
    use_up(&mut shares, NOW, "a3", 1.0, 0.0);
    assert_eq!(over(&mut shares, NOW, 4), [0]);
}

/// With 30 accounts beside the large one, each has a thirtieth of the capacity or less; the last one
/// must not lose to the large one either.
#[test]
fn one_large_account_is_over_its_share_among_thirty_small_ones() {
    let mut shares = with_quotas(&[1.0; 31]);
    use_up(&mut shares, NOW, "a0", 8.0, 5.0);
    for i in 1..31 {
        use_up(&mut shares, NOW, &format!("a{i}"), 1.0, 0.8);
    }
    assert_eq!(over(&mut shares, NOW, 31), [0]);
}

/// Capacity that no other account asks for goes to any account, which is not over its share then.
#[test]
fn an_account_alone_or_with_enough_for_all_is_not_over_its_share() {
    let mut shares = with_quotas(&[1.0; 3]);
    use_up(&mut shares, NOW, "a0", 80.0, 40.0);
    assert_eq!(over(&mut shares, NOW, 3), [] as [usize; 0]);
    use_up(&mut shares, NOW, "a1", 1.0, 1.0);
    use_up(&mut shares, NOW, "a2", 2.0, 2.0);
    let mut all_served = with_quotas(&[1.0; 3]);
    use_up(&mut all_served, NOW, "a0", 80.0, 80.0);
    use_up(&mut all_served, NOW, "a1", 1.0, 1.0);
    assert_eq!(over(&mut all_served, NOW, 3), [] as [usize; 0]);
}

/// The small account has asked for nothing for five seconds; the large one was still put last.
#[test]
fn an_account_is_over_its_share_only_while_others_ask() {
    let mut shares = with_quotas(&[1.0; 2]);
    use_up(&mut shares, NOW, "a1", 10.0, 1.0);
    use_up(&mut shares, after(1_000), "a0", 80.0, 20.0);
    assert_eq!(over(&mut shares, after(1_000), 2), [0]);
    shares.on_requested(after(4_900), key("a0"), COST);
    assert_eq!(over(&mut shares, after(5_000), 2), [] as [usize; 0]);
}

/// The verdict flapped with every request of an account close to its share.
#[test]
fn use_up_to_a_tenth_above_the_share_is_not_over_it() {
    let verdict = |use_of_first: f64| {
        let mut shares = with_quotas(&[1.0; 2]);
        use_up(&mut shares, NOW, "a0", 100.0, use_of_first);
        use_up(&mut shares, NOW, "a1", 100.0, 20.0 - use_of_first);
        over(&mut shares, NOW, 2)
    };
    assert_eq!(verdict(10.9), [] as [usize; 0]);
    assert_eq!(verdict(11.1), [0]);
}

/// The account with the larger quota was cut down to what the small ones have.
#[test]
fn shares_follow_the_rates_of_quotas_of_each_unit() {
    let mut shares = with_quotas(&[30.0, 10.0]);
    use_up(&mut shares, NOW, "a0", 100.0, 30.0);
    use_up(&mut shares, NOW, "a1", 100.0, 10.0);
    assert_eq!(over(&mut shares, NOW, 2), [] as [usize; 0]);

    let tokens =
        |rate| Some(Quota { bound: Rate { rate, burst: rate }, unit: Unit::Tokens { plain: 1 } });
    let accounts = vec![
        account("r1", requests(1.0)),
        account("r3", requests(3.0)),
        account("t1", tokens(1e6)),
        account("t3", tokens(3e6)),
        account("none", None),
    ];
    let weights = AccountWeights::of(&Accounts::from(accounts)).expect("there are quotas");
    let weight = |name: &str| weights.weight(key(name).account);
    assert_eq!(["r1", "r3", "t1", "t3", "none"].map(weight), [0.5, 1.5, 0.5, 1.5, 1.0]);
}

/// Without quotas nothing is counted, sent or put last, also for what was counted before.
#[test]
fn shares_are_disabled_without_quotas() {
    assert_eq!(AccountWeights::of(&Accounts::from(vec![account("a0", None)])), None);
    let mut shares = with_quotas(&[1.0; 2]);
    use_up(&mut shares, NOW, "a0", 80.0, 20.0);
    use_up(&mut shares, NOW, "a1", 10.0, 1.0);
    assert_eq!(over(&mut shares, NOW, 2), [0]);
    shares.configure(None);
    assert!(shares.evaluate(after(1)), "requests that wait are updated once");
    assert_eq!(over(&mut shares, after(1), 2), [] as [usize; 0]);
    use_up(&mut shares, after(1), "a0", 80.0, 20.0);
    assert_eq!(shares.accounts(), 0);
    assert!(shares.report(after(1)).is_empty());
}

/// The large account spreads its requests over all gateways; at each it looks like any other.
#[test]
fn use_at_all_gateways_counts() {
    let mut gateways: Vec<FairShares> = (0..4).map(|_| with_quotas(&[1.0; 5])).collect();
    for (n, shares) in gateways.iter_mut().enumerate() {
        use_up(shares, NOW, "a0", 12.0, 4.0);
        use_up(shares, NOW, &format!("a{}", n + 1), 6.0, 4.0);
    }
    let (own, peers) = gateways.split_at_mut(1);
    assert_eq!(over(&mut own[0], NOW, 5), [] as [usize; 0]);
    for (n, peer) in peers.iter_mut().enumerate() {
        send(peer, &format!("g{n}"), &mut own[0], after(20));
    }
    assert_eq!(over(&mut own[0], after(20), 5), [0]);
}

/// Figures of a silent peer must not keep an account behind others.
#[test]
fn figures_of_a_peer_expire() {
    let (mut own, mut peer) = (with_quotas(&[1.0; 2]), with_quotas(&[1.0; 2]));
    use_up(&mut own, NOW, "a0", 10.0, 5.0);
    use_up(&mut own, NOW, "a1", 10.0, 5.0);
    use_up(&mut peer, NOW, "a0", 60.0, 30.0);
    send(&mut peer, "g1", &mut own, NOW);
    let valid = NOW.after(LOAD_TIMEOUT);
    assert_eq!(over(&mut own, valid.before(Duration::from_millis(1)), 2), [0]);
    assert_eq!(over(&mut own, valid, 2), [] as [usize; 0]);
}

/// A single lost report made the figures of its sender expire.
#[test]
fn figures_outlive_a_lost_report() {
    let (mut own, mut peer) = (with_quotas(&[1.0; 2]), with_quotas(&[1.0; 2]));
    use_up(&mut peer, NOW, "a0", 60.0, 30.0);
    use_up(&mut own, NOW, "a1", 10.0, 1.0);
    let mut sent = 0;
    for ms in (0..4_000).step_by(20) {
        let uses = peer.report(after(ms));
        sent += usize::from(!uses.is_empty());
        // Every second report that carries figures is lost.
        if sent % 2 == 1 {
            own.on_report(after(ms), "g1", uses);
        }
        assert_eq!(over(&mut own, after(ms), 2), [0], "{ms} ms");
    }
    let bound = 4_000 / REPORT_INTERVAL.as_millis() as usize + 1;
    assert!(sent <= bound, "{sent} reports carried figures");
}

/// A gateway that restarts has no use: nobody is over its share there until use is seen, its own or
/// that of its peers.
#[test]
fn a_restarted_gateway_learns_use_from_its_peers() {
    let (mut own, mut peer) = (with_quotas(&[1.0; 2]), with_quotas(&[1.0; 2]));
    use_up(&mut peer, NOW, "a0", 60.0, 30.0);
    use_up(&mut peer, NOW, "a1", 10.0, 5.0);
    own.on_requested(NOW, key("a0"), COST);
    own.on_requested(NOW, key("a1"), COST);
    assert_eq!(over(&mut own, NOW, 2), [] as [usize; 0]);
    send(&mut peer, "g1", &mut own, after(100));
    assert_eq!(over(&mut own, after(100), 2), [0]);
    // Its peers see a missing field and keep the figures of the previous process until they expire.
    peer.on_report(after(100), "g0", own.report(after(100)));
    peer.on_report(after(200), "g0", BTreeMap::new());
    assert_eq!(over(&mut peer, after(200), 2), [0]);
}

/// The requested sum counts from the request and the admitted one counted from the admission, so
/// accounts whose requests had to wait seemed to get more than they asked for.
#[test]
fn waiting_does_not_put_an_account_over_its_share() {
    let mut shares = with_quotas(&[1.0; 2]);
    use_up(&mut shares, NOW, "a0", 80.0, 0.0);
    shares.on_requested(NOW, key("a1"), 5.0 * COST);
    shares.on_admitted(after(900), key("a1"), 5.0 * COST, NOW);
    shares.on_admitted(after(900), key("a0"), 20.0 * COST, NOW);
    let used = used(&shares, after(900), "a1").expect("it has asked");
    assert!((used.requested - used.admitted).abs() < 1.0, "{used:?}");
    assert_eq!(over(&mut shares, after(900), 2), [] as [usize; 0]);
}

/// 18,000 accounts made the table grow without bound; evicting must leave those of high use.
#[test]
fn the_table_is_bounded_and_keeps_the_accounts_of_high_use() {
    let mut shares = with_quotas(&[1.0; 2]);
    use_up(&mut shares, NOW, "a0", 400.0, 300.0);
    use_up(&mut shares, NOW, "a1", 300.0, 100.0);
    for i in 0..18_000_u64 {
        use_up(&mut shares, after(i / 18), &format!("small-{i}"), 1.0, 1.0);
        assert!(shares.accounts() <= ACCOUNTS_MAX);
    }
    let large = used(&shares, after(1_000), "a0").expect("it is kept");
    assert!(used(&shares, after(1_000), "a1").is_some());
    let peers: usize = (0..100)
        .map(|n| {
            let crowd = (0..2_000_u32).map(|i| (n * 2_000 + i, large));
            let figures = BTreeMap::from([(key("a0").service, AccountUses::encode(crowd))]);
            shares.on_report(after(1_000), &format!("g{n}"), figures);
            REPORTED_MAX
        })
        .sum();
    assert!(shares.uses(after(1_000), key("a0").service).len() <= ACCOUNTS_MAX + peers);
    shares.expire(after(60_000));
    assert_eq!(shares.accounts(), 0);
}

/// Bytes that the figures add to a load report.
fn added_bytes(uses: &BTreeMap<u32, AccountUses>) -> usize {
    let size = |account_uses| {
        let report = LoadReport { name: "i-0".into(), account_uses, ..LoadReport::default() };
        let mut bytes = Vec::new();
        ciborium::into_writer(&GossipMessage::Share(report), &mut bytes).expect("encoded");
        bytes.len()
    };
    size(uses.clone()) - size(BTreeMap::new())
}

/// The figures must stay a small part of a report of 52 engines, some 1,600 bytes, however many
/// accounts there are.
#[test]
fn the_figures_in_a_report_take_few_bytes() {
    for active in [16, 1_000] {
        let mut shares = with_quotas(&[1.0]);
        for i in 0..active {
            use_up(&mut shares, NOW, &format!("a{i}"), f64::from(i) + 1.0, f64::from(i) / 2.0);
        }
        let uses = shares.report(NOW);
        assert_eq!(added_bytes(&uses), 138, "{active} active accounts");
    }
}

/// Fields of an encoded report, by the letters that name them.
fn encoded_fields(report: &LoadReport) -> Vec<(Value, Value)> {
    Value::serialized(report).expect("encoded").into_map().expect("a map")
}

/// Gateways of different versions run side by side during an upgrade: a report without figures must be
/// encoded as before, one without the field must be decoded, and unknown fields must be ignored.
#[test]
fn old_and_new_reports_are_decoded() {
    let idle =
        LoadReport { account_uses: with_quotas(&[1.0]).report(NOW), ..LoadReport::default() };
    let names: Vec<_> = encoded_fields(&idle).into_iter().map(|(name, _)| name).collect();
    let before = ["n", "l", "s", "c", "r", "g", "k", "q", "o", "w"];
    assert_eq!(names, before.map(Value::from));
    let decoded: LoadReport =
        Value::Map(encoded_fields(&idle)).deserialized().expect("a report without the field");
    assert_eq!(decoded, idle);
    let mut shares = with_quotas(&[1.0]);
    use_up(&mut shares, NOW, "a0", 2.0, 1.0);
    let busy = LoadReport { account_uses: shares.report(NOW), ..LoadReport::default() };
    let mut fields = encoded_fields(&busy);
    assert!(fields.iter().any(|(name, _)| *name == Value::from("a")));
    fields.push((Value::from("unknown"), Value::from(1)));
    let decoded: LoadReport = Value::Map(fields).deserialized().expect("a report with figures");
    assert_eq!(decoded, busy);
}

/// Sums of one request at each of many gateways were rounded to nothing when encoded in thousandths
/// of the memory in scope.
#[test]
fn figures_are_decoded_to_within_a_thousandth() {
    for cost in [1e5, COST, 40.0 * COST, 1e12] {
        let mut shares = with_quotas(&[1.0]);
        shares.on_requested(NOW, key("a0"), cost);
        shares.on_admitted(NOW, key("a0"), cost / 2.0, NOW);
        let figures = &shares.report(NOW)[&key("a0").service];
        let (account, used) = figures.decode().next().expect("one account");
        assert_eq!(account, key("a0").account);
        assert!((used.requested / cost - 1.0).abs() < 1e-3, "{cost} {used:?}");
        assert!((used.admitted / cost - 0.5).abs() < 1e-3, "{cost} {used:?}");
    }
}

/// Max-min fairness: nobody gets more than it asks for, nothing is left while somebody lacks, and
/// those that lack get equal amounts for their weights.
#[test]
fn capacity_is_divided_by_weighted_max_min_fairness() {
    let claim = |weight, requested| Claim { weight, requested };
    let all = [claim(1.0, 2.0), claim(1.0, 50.0), claim(2.0, 50.0), claim(1.0, 4.0)];
    assert_eq!(shares(30.0, &all), [2.0, 8.0, 16.0, 4.0]);
    assert_eq!(shares(200.0, &all), [2.0, 50.0, 50.0, 4.0]);
    assert_eq!(shares(0.0, &all), [0.0; 4]);
    assert!(shares(10.0, &[]).is_empty());
}

/// Verdicts were determined anew only at intervals, so that a decision followed use that had changed.
#[test]
fn a_verdict_follows_every_change_of_use() {
    let (mut own, mut peer) = (with_quotas(&[1.0; 2]), with_quotas(&[1.0; 2]));
    use_up(&mut own, NOW, "a0", 10.0, 5.0);
    assert!(own.evaluate(NOW));
    assert!(!own.evaluate(after(10)), "nothing has changed");
    use_up(&mut peer, after(10), "a1", 10.0, 1.0);
    send(&mut peer, "g1", &mut own, after(10));
    assert_eq!(over(&mut own, after(10), 2), [0]);
    use_up(&mut own, after(10), "a1", 10.0, 4.0);
    assert_eq!(over(&mut own, after(10), 2), [] as [usize; 0]);
}

/// Guards against an account that seems to be over its share because its peer's figures were taken between a
/// request and its admission.
#[test]
fn an_account_ahead_by_one_request_is_not_over_its_share() {
    let (mut own, mut peer) = (with_quotas(&[1.0; 2]), with_quotas(&[1.0; 2]));
    use_up(&mut peer, NOW, "a1", 4.0, 0.0);
    send(&mut peer, "g1", &mut own, NOW);
    use_up(&mut own, NOW, "a0", 1.0, 1.0);
    own.on_requested(after(90), key("a0"), COST);
    assert_eq!(over(&mut own, after(90), 2), [0]);
    assert!(!own.is_over_by(key("a0"), COST));
    use_up(&mut own, after(90), "a0", 3.0, 3.0);
    assert_eq!(over(&mut own, after(90), 2), [0]);
    assert!(own.is_over_by(key("a0"), COST), "it is ahead by more than that");
}

proptest! {
    /// Bytes of any length from a peer must neither stop a gateway nor make its sums infinite.
    #[test]
    fn arbitrary_figures_are_decoded_to_bounded_sums(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let uses: AccountUses = Value::Bytes(bytes).deserialized().expect("a byte string");
        let decoded: Vec<_> = uses.decode().collect();
        prop_assert!(decoded.len() <= REPORTED_MAX);
        for (_, used) in decoded {
            prop_assert!((0.0..1e23).contains(&used.requested));
            prop_assert!((0.0..=used.requested).contains(&used.admitted));
        }
    }
}
