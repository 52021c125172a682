//! Who may continue a stream: the table of records, the history of a service, and the conclusion.

#[path = "support/fleet.rs"]
mod support;

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::{Server, ServerId, SoftwareVersion, Stage};
use ebonyloft_router::load_report::{GossipMessage, GossipState, LoadReport};
use ebonyloft_router::part_blame::{PartDigest, PartFact, PromptParts};
use ebonyloft_router::registry::{Change, Effect, Registration, ServerRegistry};
use ebonyloft_router::request_digest::RequestDigest;
use ebonyloft_router::stream_origin::history::SoftwareHistory;
use ebonyloft_router::stream_origin::table::{OriginTable, RECORDS_MAX};
use ebonyloft_router::stream_origin::{Origin, SoftwareId, StreamKey, Testimony, conclude};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

const SECOND: Duration = Duration::from_secs(1);
const NOW: Timestamp = Timestamp(1_800_000_000_000_000);

fn server(n: usize, version: &str) -> Server {
    let version = SoftwareVersion::new(version);
    Server { version, ..support::server(n, 4, Some(Stage::Decode)) }
}

fn software(version: &str) -> SoftwareId {
    SoftwareId::of(&server(0, version))
}

fn key(n: usize) -> StreamKey {
    StreamKey::new("", &format!("a{n}"))
}

#[test]
fn only_the_same_version_of_the_same_service_is_admitted() {
    let origin = Origin::Software(software("v1"));
    assert!(origin.admits(&server(7, "v1")));
    assert!(!origin.admits(&server(7, "v1.1")));
    assert!(!origin.admits(&Server { service: "other".into(), ..server(7, "v1") }));
    assert!(Origin::Unstarted.admits(&server(7, "v2")));
    assert!(!Origin::Unknown.admits(&server(7, "v1")));
}

/// Guards against servers that state no version counting as one version.
#[test]
fn a_server_without_a_version_is_its_own_software() {
    let (one, two) = (server(1, ""), server(2, ""));
    assert_eq!(SoftwareId::of(&one), SoftwareId::of(&one.clone()));
    assert_ne!(SoftwareId::of(&one), SoftwareId::of(&two));
    let reborn = Server { id: ServerId::new(one.id.name.clone(), 9), ..one.clone() };
    assert_ne!(SoftwareId::of(&one), SoftwareId::of(&reborn));
    assert_ne!(SoftwareId::of(&one), software("v1"));
}

#[test]
fn a_stream_of_another_account_has_another_key() {
    assert_ne!(StreamKey::new("one", "a"), StreamKey::new("two", "a"));
    assert_ne!(StreamKey::new("one", "a"), StreamKey::new("", "a"));
}

/// Guards against a record being forgotten before its caller's deadline, or kept for long after it.
#[test]
fn a_record_lasts_until_its_callers_deadline() {
    let mut table = OriginTable::default();
    table.begin(NOW, key(1), software("v1"), NOW.after(14 * SECOND));
    let at = |seconds| NOW.after(seconds * SECOND);
    assert_eq!(table.testimony(at(14), key(1)), Testimony::Recorded(software("v1")));
    assert_eq!(table.testimony(at(17), key(1)), Testimony::Nothing);
    table.expire(at(17));
    assert!(table.is_empty());
    // A deadline without end does not keep a record for ever.
    table.begin(NOW, key(2), software("v1"), Timestamp::NEVER);
    assert_eq!(table.testimony(at(601), key(2)), Testimony::Nothing);
}

/// Guards against memory that grows with the number of streams.
#[test]
fn records_are_bounded_and_the_first_to_expire_are_dropped() {
    let mut table = OriginTable::default();
    for n in 0..RECORDS_MAX + 100 {
        let ends_at = NOW.after(SECOND + Duration::from_micros(n as u64));
        table.begin(NOW, key(n), software("v1"), ends_at);
    }
    assert_eq!(table.len(), RECORDS_MAX);
    assert_eq!(table.testimony(NOW, key(99)), Testimony::Nothing);
    assert_eq!(table.testimony(NOW, key(100)), Testimony::Recorded(software("v1")));
}

/// Guards against a record being lost with one datagram, or with a gateway that begins to follow the
/// store after it was sent.
#[test]
fn records_are_sent_twice_and_again_to_a_new_follower() {
    let (mut table, mut follower) = (OriginTable::default(), OriginTable::default());
    for n in 0..3 {
        table.begin(NOW, key(n), software("v1"), NOW.after(14 * SECOND));
    }
    let first = table.take_outgoing(NOW, 2);
    let rest = table.take_outgoing(NOW, 100);
    assert_eq!((first.len(), rest.len()), (2, 3));
    assert!(table.has_outgoing());
    table.take_outgoing(NOW, 100);
    assert!(!table.has_outgoing());
    for record in table.own_records(NOW.after(SECOND)) {
        follower.on_record(NOW.after(SECOND), record);
    }
    assert_eq!(
        follower.testimony(NOW.after(15 * SECOND), key(2)),
        Testimony::Recorded(software("v1"))
    );
    assert!(follower.own_records(NOW).is_empty());
}

/// Guards against a repeated id being taken for one of two streams.
#[test]
fn records_of_two_versions_contradict_each_other() {
    let mut table = OriginTable::default();
    table.begin(NOW, key(1), software("v1"), NOW.after(SECOND));
    table.begin(NOW, key(1), software("v2"), NOW.after(SECOND));
    assert_eq!(table.testimony(NOW, key(1)), Testimony::Contradictory);
    assert!(table.take_outgoing(NOW, 100).is_empty());
}

#[test]
fn a_history_tells_the_only_version_once_it_is_complete() {
    let mut history = SoftwareHistory::default();
    let lifetime = 30 * SECOND;
    let at = |seconds| NOW.after(seconds * SECOND);
    history.observe(at(0), lifetime, [software("v1")].into_iter());
    assert_eq!(history.testimony(at(20)), Testimony::Nothing);
    assert_eq!(history.testimony(at(40)), Testimony::Sole(software("v1")));
    // A release: until the streams of the old version have ended, either may have begun one.
    history.observe(at(50), lifetime, [software("v1"), software("v2")].into_iter());
    history.observe(at(60), lifetime, [software("v2")].into_iter());
    assert_eq!(history.testimony(at(70)), Testimony::Nothing);
    assert!(history.is_mixed());
    history.observe(at(100), lifetime, [software("v2")].into_iter());
    assert_eq!(history.testimony(at(100)), Testimony::Sole(software("v2")));
    assert!(!history.is_mixed());
}

/// Guards against a process that reads the history taking a version for absent that left meanwhile.
#[test]
fn a_history_from_the_store_outlives_all_processes() {
    let mut before = SoftwareHistory::default();
    before.begin();
    before.observe(NOW, 30 * SECOND, [software("v1"), software("v2")].into_iter());
    let saved: SoftwareHistory = recode(&before);
    assert!(before.is_covered_by(&saved));
    let mut after = SoftwareHistory::default();
    after.merge(&saved);
    after.observe(NOW.after(3 * SECOND), 30 * SECOND, [software("v1")].into_iter());
    assert_eq!(after.testimony(NOW.after(3 * SECOND)), Testimony::Nothing);
    assert!(!after.is_covered_by(&saved));
}

/// Guards against another version under a registered name being taken for the same server.
#[test]
fn a_version_that_changes_under_a_name_is_known_at_once() {
    let mut registry = ServerRegistry::default();
    let change = |server: &Server, revision| Change {
        name: server.id.name.clone(),
        entry: Registration::Server(server.clone()),
        revision,
    };
    registry.apply(change(&server(1, "v1"), 1.into()), true);
    let origin = Origin::Software(software("v1"));
    assert_eq!(registry.apply(change(&server(1, "v2"), 2.into()), true), Effect::Changed);
    assert!(!registry.all().any(|server| origin.admits(server)));
}

/// A server and gossip state as a gateway of the release before has them.
#[derive(Deserialize, Serialize)]
struct OldServer {
    id: ServerId,
    service: String,
    addr: std::net::SocketAddr,
    zone: String,
    slots: u32,
    draining: bool,
    stage: Option<Stage>,
}

#[derive(Deserialize, Serialize)]
struct OldGossipState {
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    leaving: Vec<ServerId>,
}

#[derive(Deserialize, Serialize)]
enum OldMessage {
    Notes(OldGossipState),
}

fn recode<A: Serialize, B: for<'de> Deserialize<'de>>(value: &A) -> B {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("encodable");
    ciborium::from_reader(&bytes[..]).expect("decodable")
}

/// Guards against a rolling upgrade in which gateways of two releases can't read each other.
#[test]
fn gateways_of_the_release_before_understand_what_is_sent() {
    let old: OldServer = recode(&server(1, "v1"));
    let back: Server = recode(&old);
    assert_eq!(back.version, None);
    // What an old gateway passes on is a server of unknown version, not of any.
    assert!(!Origin::Software(software("v1")).admits(&back));
    let mut table = OriginTable::default();
    table.begin(NOW, key(1), software("v1"), NOW.after(SECOND));
    let origins = table.take_outgoing(NOW, 8);
    let leaving = vec![ServerId::new("i-1", 0)];
    let state = GossipState { origins, leaving: leaving.clone(), ..GossipState::default() };
    let OldMessage::Notes(notes) = recode(&GossipMessage::Notes(state));
    assert_eq!(notes.leaving, leaving);
    let GossipMessage::Notes(state) = recode(&OldMessage::Notes(notes)) else {
        panic!("another message");
    };
    assert!(state.origins.is_empty());
}

/// Guards against blame of parts that gateways of the release before can't skip, or that keeps them exchanging state.
#[test]
fn gateways_of_the_release_before_skip_blame_of_parts() {
    let parts = PromptParts::new(RequestDigest(1, 1), &[PartDigest(1), PartDigest(2)]);
    let crashed = PartFact::Crashed(ServerId::new("i-1", 0), software("v1"), parts);
    let leaving = vec![ServerId::new("i-1", 0)];
    let part_updates = vec![crashed.now()];
    let state = GossipState { part_updates, leaving: leaving.clone(), ..GossipState::default() };
    let back: GossipMessage = recode(&GossipMessage::Notes(state.clone()));
    assert_eq!(back, GossipMessage::Notes(state.clone()));
    let OldMessage::Notes(notes) = recode(&GossipMessage::Notes(state));
    assert_eq!(notes.leaving, leaving);
    let report: LoadReport = recode(&LoadReport::default());
    assert_eq!(report.part_checksum, 0, "as of a gateway that sends none");
}

fn testimony() -> impl Strategy<Value = Testimony> {
    let versions = prop_oneof![Just("v1"), Just("v2")];
    prop_oneof![
        Just(Testimony::Nothing),
        Just(Testimony::Contradictory),
        versions.clone().prop_map(|v| Testimony::Recorded(software(v))),
        versions.prop_map(|v| Testimony::Sole(software(v))),
    ]
}

proptest! {
    /// Guards against a conclusion that depends on the order of answers, or that no gateway supports.
    #[test]
    fn a_conclusion_is_supported_and_independent_of_order(
        known in proptest::collection::vec(testimony(), 0..6),
    ) {
        let conclusion = conclude(known.iter().copied());
        prop_assert_eq!(conclusion, conclude(known.iter().rev().copied()));
        if let Origin::Software(id) = conclusion {
            let supports =
                |t: &Testimony| matches!(t, Testimony::Recorded(s) | Testimony::Sole(s) if *s == id);
            prop_assert!(known.iter().any(supports));
            let opposes = |t: &Testimony| {
                matches!(t, Testimony::Recorded(s) if *s != id) || *t == Testimony::Contradictory
            };
            prop_assert!(!known.iter().any(opposes));
        }
        prop_assert_ne!(conclusion, Origin::Unstarted);
    }
}
