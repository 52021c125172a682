//! What the removal of a registration means: its owner took it away, or it lapsed while the store was silent.

#[path = "removals/world.rs"]
mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::store_state::{REREGISTRATION_TIME, StoreState};
use ebonyloft_router::zone_leader::{LEADERS_PER_ZONE, StoreLink};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::{Access, DRAIN, Mutant, Plan, TICK, World};

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
/// Servers renew their registrations as often as this.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

fn at(ms: u64) -> Timestamp {
    NOW.after(Duration::from_millis(ms))
}

/// Records an answer that is current as of `known_at` and applied; true if the store was unreachable before.
fn answer(state: &mut StoreState, now: Timestamp, known_at: Timestamp) -> bool {
    let returned = state.on_reached(now, known_at);
    state.known(known_at);
    returned
}

/// A store that was heard at `at(0)`.
fn heard() -> StoreState {
    let mut state = StoreState::default();
    answer(&mut state, NOW, NOW);
    state
}

/// Guards against a cut watch that is taken for an outage in which registrations lapse.
#[test]
fn a_removal_after_a_cut_watch_is_trusted() {
    let mut state = heard();
    assert!(state.on_failure(at(500)));
    assert!(answer(&mut state, at(560), at(555)));
    assert!(state.is_trusted(at(560)), "a registration can't lapse within 60 ms");
}

/// Guards against cuts in a row, each of which delays the trust in removals once more.
#[test]
fn removals_are_trusted_however_often_watches_are_cut() {
    let mut state = heard();
    for ms in (1_000..30_000).step_by(250) {
        state.on_failure(at(ms));
        answer(&mut state, at(ms + 90), at(ms + 85));
        assert!(state.is_trusted(at(ms + 100)), "{ms}");
    }
}

/// Guards against a gateway that can reach the store and takes its peers' loss of it for an outage.
#[test]
fn the_first_answer_to_a_gateway_refutes_an_outage_that_only_peers_reported() {
    let mut state = heard();
    assert!(state.adopt(at(1_200), StoreLink::Away));
    assert!(answer(&mut state, at(1_400), at(1_395)));
    assert!(state.is_trusted(at(1_400)));
}

/// Guards against lapsed servers that are dropped because the outage was first reported by peers.
#[test]
fn an_outage_that_peers_reported_counts_from_their_last_answer_once_it_is_confirmed() {
    let mut state = heard();
    state.adopt(at(1_200), StoreLink::Away);
    state.on_failure(at(1_500));
    answer(&mut state, at(2_600), at(2_600));
    assert!(!state.is_trusted(at(2_600)), "2.6 s are enough for a registration to lapse");
}

/// Guards against lapsed servers that are dropped at the store's return.
#[test]
fn a_removal_in_an_outage_is_trusted_only_after_servers_had_time_to_register_again() {
    for silence in [HEARTBEAT * 2, HEARTBEAT * 3, HEARTBEAT * 20] {
        let mut state = heard();
        state.on_failure(at(100));
        let back = at(100).after(silence);
        assert!(!state.is_trusted(back), "{silence:?}");
        answer(&mut state, back, back);
        assert!(!state.is_trusted(back), "{silence:?}");
        assert!(!state.is_trusted(back.after(Duration::from_secs(2))), "{silence:?}");
        assert!(state.is_trusted(back.after(REREGISTRATION_TIME)), "{silence:?}");
    }
}

/// Guards against a removed server that is kept for as long as peers of an earlier release report again and again
/// that the store is not settled.
#[test]
fn a_server_is_kept_for_the_drain_timeout_at_most_while_peers_do_not_trust_the_store() {
    let mut state = heard();
    let link = StoreLink::Heard { settles: 2_200, age: 100 };
    for ms in (200..10_000).step_by(200) {
        state.adopt(at(ms), link);
        state.known(at(ms - 100));
        let until = state.kept_until(at(ms), DRAIN).expect("a deadline");
        assert!(!state.is_trusted(at(ms)) && until < at(ms - 100).after(DRAIN), "{ms}");
    }
}

/// Guards against lapsed servers that are dropped because they vanished long before the store's return.
#[test]
fn what_vanished_in_a_silence_is_kept_until_the_store_is_trusted() {
    let mut state = heard();
    state.on_failure(at(100));
    assert_eq!(state.kept_until(at(5_000), DRAIN), None);
    state.on_reached(at(5_000), at(5_000));
    assert_eq!(state.kept_until(at(5_000), DRAIN), None);
    // The list was complete after the return: what vanishes from now on has left.
    state.known(at(5_000));
    assert!(state.kept_until(at(5_300), DRAIN).is_some_and(|until| until < at(7_000)));
}

/// Guards against short outages in a row, in which a server misses one renewal after the other.
#[test]
fn outages_without_time_for_a_renewal_between_them_count_as_one() {
    let mut state = heard();
    for start in [1_000, 2_500] {
        state.on_failure(at(start));
        answer(&mut state, at(start + 1_300), at(start + 1_300));
    }
    assert!(!state.is_trusted(at(3_800)), "no renewal for 2.8 s");
    let mut state = heard();
    for start in [1_000, 4_000] {
        state.on_failure(at(start));
        answer(&mut state, at(start + 1_300), at(start + 1_300));
    }
    assert!(state.is_trusted(at(5_300)), "servers renewed between the outages");
}

/// Guards against a changed heartbeat interval that has no effect until a restart.
#[test]
fn how_soon_registrations_lapse_follows_the_heartbeat_interval_in_force() {
    let outage = |state: &mut StoreState, start| {
        state.on_failure(at(start));
        answer(state, at(start + 2_600), at(start + 2_600));
        state.is_trusted(at(start + 2_600))
    };
    let mut state = heard();
    assert!(!outage(&mut state, 100));
    state.set_heartbeat(HEARTBEAT * 3);
    assert!(outage(&mut state, 20_000), "2.6 s are less than one interval");
    state.set_heartbeat(HEARTBEAT);
    assert!(!outage(&mut state, 60_000));
}

/// Guards against a gateway that starts at the end of an outage and tells its peers that servers which lapsed in
/// it are gone.
#[test]
fn a_gateway_that_started_does_not_vouch_for_removals_at_once() {
    let mut state = StoreState::restarted(HEARTBEAT, NOW);
    assert!(!state.is_trusted(NOW), "nothing is known of the store");
    state.on_reached(NOW, NOW);
    state.known(NOW);
    assert!(!state.is_trusted(at(2_000)));
    let link = state.link(NOW, Duration::from_secs(1));
    assert!(matches!(link, StoreLink::Heard { settles: 2_000.., .. }), "{link:?}");
    assert!(state.is_trusted(NOW.after(REREGISTRATION_TIME)));
    // What leaves meanwhile is left in time.
    assert!(state.kept_until(at(500), DRAIN).is_some_and(|until| until < at(2_000)));
}

/// Guards against a removed server that a gateway keeps for as long as it does not trust the store, because it has
/// not yet known its list to be complete: the server was in its first list, and gone at its first call.
#[test]
fn what_left_while_a_gateway_started_is_left_in_time() {
    let mut state = StoreState::restarted(HEARTBEAT, NOW);
    let deadline = state.kept_until(at(400), DRAIN).expect("a deadline, before any answer");
    assert!(deadline < at(2_000), "{deadline:?}");
    state.on_reached(at(800), at(795));
    assert!(!state.is_trusted(at(800)));
    assert_eq!(state.kept_until(at(800), DRAIN), Some(deadline));
    // After an outage that reached into its start, it may have lapsed.
    let mut state = StoreState::restarted(HEARTBEAT, NOW);
    state.on_failure(at(100));
    state.on_reached(at(1_500), at(1_500));
    assert_eq!(state.kept_until(at(1_500), DRAIN), None);
}

/// Guards against a gateway that waits although peers vouch for the store.
#[test]
fn a_gateway_that_started_adopts_the_trust_of_its_peers() {
    let mut state = StoreState::restarted(HEARTBEAT, NOW);
    state.adopt(NOW, StoreLink::Heard { settles: 0, age: 100 });
    assert!(state.is_trusted(NOW));
    state.on_reached(at(300), at(300));
    assert!(state.is_trusted(at(300)));
}

/// Sizes of fleets, with the groups of gateways that follow the store together.
const FLEETS: [(usize, usize); 3] = [(4, 1), (29, 4), (300, 4)];
const SERVERS: usize = 8;
/// The fleets with seeds and ways in which the store does not answer.
fn plays() -> impl Iterator<Item = (usize, usize, u64, Access)> {
    FLEETS.into_iter().flat_map(|(gateways, groups)| {
        let access = [Access::Silent, Access::Rejected].into_iter().cycle();
        (0..6).zip(access).map(move |(seed, access)| (gateways, groups, seed, access))
    })
}

/// When the store begins to treat calls differently.
const TROUBLE_AT: Duration = Duration::from_secs(5);

/// The store treats the gateways in a set, or all gateways and servers, in some way for a while.
#[derive(Clone, Debug, Default)]
struct Trouble {
    access: Access,
    rejected: Option<BTreeSet<usize>>,
    time: Duration,
    cut_every: Option<Duration>,
    /// When the gateways that follow the store start again.
    restart_at: Option<Duration>,
}

impl Trouble {
    fn is_on(&self, at: Duration) -> bool {
        at >= TROUBLE_AT && at < TROUBLE_AT + self.time
    }
}

impl Plan for Trouble {
    fn gateway(&self, at: Duration, number: usize) -> Access {
        let is_meant = self.rejected.as_ref().is_none_or(|set| set.contains(&number));
        if self.is_on(at) && is_meant { self.access } else { Access::Served }
    }

    fn servers(&self, at: Duration) -> Access {
        let is_meant = self.rejected.is_none();
        if self.is_on(at) && is_meant { self.access } else { Access::Served }
    }

    fn cuts(&self, at: Duration) -> bool {
        let every = self.cut_every.map(|every| every.as_millis());
        every.is_some_and(|every| at.as_millis() % every < TICK.as_millis())
    }
}

/// Plays one tick of the trouble.
fn step(world: &mut World, trouble: &Trouble) {
    if trouble.restart_at == Some(world.elapsed()) {
        (0..world.followers()).for_each(|n| world.restart(n));
    }
    world.step(trouble);
}

/// Plays the trouble; returns the first gateway that does not use a server, and when, among those that ran all the
/// while.
fn first_unused(world: &mut World, trouble: &Trouble) -> Option<(usize, Duration)> {
    let restarted = if trouble.restart_at.is_some() { world.followers() } else { 0 };
    while world.elapsed() < TROUBLE_AT + trouble.time + Duration::from_secs(4) {
        step(world, trouble);
        let at = world.elapsed();
        let lacks = |n: &usize| (0..SERVERS).any(|s| !world.uses(*n, s));
        if let Some(gateway) = (restarted..world.len()).find(lacks) {
            return Some((gateway, at));
        }
    }
    None
}

/// Plays a removal 0.4 s after the trouble begins; returns the latest use of the server by a gateway that
/// the store serves.
fn latest_use(world: &mut World, trouble: &Trouble) -> Duration {
    let mut latest = Duration::ZERO;
    let mut is_removed = false;
    while world.elapsed() < TROUBLE_AT + Duration::from_secs(6) {
        step(world, trouble);
        if !is_removed && world.elapsed() >= TROUBLE_AT + Duration::from_millis(400) {
            world.remove(0);
            is_removed = true;
        }
        for n in 0..world.len() {
            let is_cut_off = trouble.rejected.as_ref().is_some_and(|set| set.contains(&n));
            latest = latest.max(world.late_use(n, 0).filter(|_| !is_cut_off).unwrap_or_default());
        }
    }
    latest
}

/// Asserts that a removed server is left in time by the gateways that the store serves, while it treats a third
/// of all in another way; `rejected` chooses those by the size of the fleet, its groups and a seed.
fn assert_left_in_time(rejected: impl Fn(usize, usize, u64) -> BTreeSet<usize>) {
    for (gateways, groups, seed, access) in plays() {
        let mut world = World::new(gateways, groups, SERVERS, seed);
        let rejected = Some(rejected(gateways, groups, seed));
        let time = Duration::from_secs(5);
        let trouble = Trouble { access, rejected, time, ..Trouble::default() };
        let latest = latest_use(&mut world, &trouble);
        assert!(latest <= DRAIN, "{gateways} gateways, seed {seed}, {access:?}: {latest:?}");
    }
}

/// Guards against gateways in touch with the store that keep a removed server while it rejects others, the ones
/// that follow it for all.
#[test]
fn a_removed_server_is_left_in_time_while_the_store_rejects_some_gateways() {
    assert_left_in_time(|gateways, groups, seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let followers = 0..groups * LEADERS_PER_ZONE;
        let others = followers.end..gateways;
        followers.chain(others.filter(|_| rng.random_bool(0.3))).collect()
    });
}

/// Guards against a zone whose gateways wait for each other while the store rejects the highest-ranked third.
#[test]
fn a_removed_server_is_left_in_time_while_the_store_rejects_the_highest_ranked_gateways() {
    assert_left_in_time(|gateways, _, _| (0..(gateways / 3).max(LEADERS_PER_ZONE)).collect());
}

/// Guards against a removed server that is kept as long as watches are cut.
#[test]
fn a_removed_server_is_left_in_time_while_watches_are_cut() {
    for (gateways, groups) in FLEETS {
        for ms in [200, 700, 1_500] {
            let mut world = World::new(gateways, groups, SERVERS, ms);
            let cut_every = Some(Duration::from_millis(ms));
            let trouble = Trouble { cut_every, ..Trouble::default() };
            let latest = latest_use(&mut world, &trouble);
            assert!(latest <= DRAIN, "{gateways} gateways, cut every {ms} ms: {latest:?}");
        }
    }
}

/// Guards against servers that only lapsed and are not used any more, in an outage and until they have
/// registered again.
#[test]
fn servers_that_lapse_in_an_outage_stay_in_use() {
    let mut lapses = 0;
    for (gateways, groups, seed, access) in plays() {
        for seconds in [2, 5] {
            let mut world = World::new(gateways, groups, SERVERS, seed);
            let time = Duration::from_secs(seconds);
            let trouble = Trouble { access, time, ..Trouble::default() };
            let unused = first_unused(&mut world, &trouble);
            assert_eq!(unused, None, "{gateways} gateways, seed {seed}, {access:?}, {time:?}");
            lapses += world.lapses();
        }
    }
    assert!(lapses > 100, "{lapses} registrations lapsed");
}

/// An outage of 5 s in which the followers of the store end; they start again around its end.
fn outage_with_restarts(seed: u64, access: Access) -> Trouble {
    let time = Duration::from_secs(5);
    let restart_at = Some(TROUBLE_AT + time - TICK * (seed as u32 * 5));
    Trouble { access, time, restart_at, ..Trouble::default() }
}

/// Guards against gateways that start at the end of an outage, know of no silence, and have all others drop the
/// servers that lapsed in it.
#[test]
fn servers_that_lapse_stay_in_use_where_gateways_start_at_the_end_of_the_outage() {
    let mut lapses = 0;
    for (gateways, groups, seed, access) in plays() {
        let mut world = World::new(gateways, groups, SERVERS, seed);
        let unused = first_unused(&mut world, &outage_with_restarts(seed, access));
        assert_eq!(unused, None, "{gateways} gateways, seed {seed}, {access:?}");
        lapses += world.lapses();
    }
    assert!(lapses > 50, "{lapses} registrations lapsed");
}

/// The followers of the store start again some time before a removal.
fn restarts(seed: u64) -> Trouble {
    let restart_at = Some(TROUBLE_AT - TICK * (seed as u32 * 10));
    Trouble { restart_at, ..Trouble::default() }
}

/// Guards against a removed server that is kept because the gateways that follow the store have just started.
#[test]
fn a_removed_server_is_left_in_time_where_the_followers_of_the_store_have_just_started() {
    for (gateways, groups) in FLEETS {
        for seed in 0..6 {
            let mut world = World::new(gateways, groups, SERVERS, seed);
            let latest = latest_use(&mut world, &restarts(seed));
            assert!(latest <= DRAIN, "{gateways} gateways, seed {seed}: {latest:?}");
        }
    }
}

/// Shows that the checks above see each wrong rule.
#[test]
fn the_checks_see_wrong_rules() {
    let seeds = 0..6;
    let world = |seed, mutant| World::new(4, 1, SERVERS, seed).with_mutant(mutant);
    let is_late = |mutant, trouble: &dyn Fn(u64) -> Trouble| {
        let latest = |seed| latest_use(&mut world(seed, mutant), &trouble(seed));
        seeds.clone().any(|seed| latest(seed) > DRAIN)
    };
    let drops = |mutant, trouble: &dyn Fn(u64) -> Trouble| {
        let unused = |seed| first_unused(&mut world(seed, mutant), &trouble(seed));
        seeds.clone().any(|seed| unused(seed).is_some())
    };
    let cuts = |_| Trouble { cut_every: Some(Duration::from_millis(700)), ..Trouble::default() };
    let outage =
        |_| Trouble { access: Access::Silent, time: Duration::from_secs(5), ..Trouble::default() };
    assert!(is_late(Mutant::CutIsOutage, &cuts));
    assert!(is_late(Mutant::KeepsUntilTrusted, &restarts));
    assert!(drops(Mutant::LapseIsRemoval, &outage));
    assert!(drops(Mutant::StartVouches, &|seed| outage_with_restarts(seed, Access::Silent)));
}
