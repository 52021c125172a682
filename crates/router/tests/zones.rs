//! Exchange between availability zones, and overflow of requests that their own zone can't serve.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::engine_speeds::SpeedReport;
use ebonyloft_router::fleet::{Fleet, Gateway};
use ebonyloft_router::load_report::{GossipMessage, LoadReport};
use ebonyloft_router::zones::{
    ALL_SCOPE_GATEWAYS, FULL_BACKOFF, Memory, SUMMARY_LIFETIME, Scope, ServiceCapacity,
    ZONE_SCOPE_GATEWAYS, ZONE_SCOPE_TOKENS, ZoneSummaries, ZoneSummary, scope,
};

const NOW: Timestamp = Timestamp::from_millis(100_000);
const SOON: Duration = Duration::from_millis(500);

fn summary(zone: &str, seq: u64, free: u32, read: u32) -> ZoneSummary {
    ZoneSummary {
        name: format!("front-{zone}-1"),
        zone: zone.into(),
        addr: ([127, 0, 0, 1], 7_000).into(),
        incarnation: 1,
        seq,
        config: 1,
        roster: 1.into(),
        fleet: 1.into(),
        gossip_checksum: 0,
        part_checksum: 0,
        part_facts: true,
        capacities: vec![ServiceCapacity {
            service: "llm".into(),
            free,
            free_slots: free / 100,
            prefill_ms: read,
            urgent: None,
        }],
        speeds: SpeedReport::default(),
    }
}

/// Until the ranks are known, all gateways of a zone send summaries.
#[test]
fn one_summary_of_each_zone_is_relayed_however_many_gateways_send() {
    let mut summaries = ZoneSummaries::default();
    for n in 0..222 {
        let name = format!("front-siracusa-ortigia-{n}");
        let now = NOW.after(Duration::from_millis(n));
        summaries.on_summary(
            now,
            ZoneSummary { name, ..summary(["b", "c", "d"][n as usize % 3], 1, 500, 90) },
        );
    }
    let now = NOW.after(SOON);
    let relayed: Vec<ZoneSummary> = summaries.relayed(now).cloned().collect();
    let zones: Vec<&str> = relayed.iter().map(|d| d.zone.as_str()).collect();
    assert_eq!(zones, ["b", "c", "d"]);
    assert!(relayed.iter().all(|d| d.name.ends_with(|c: char| c.is_ascii_digit()) && d.seq == 1));
    // The latest summaries.
    assert_eq!(relayed[0].name, "front-siracusa-ortigia-219");
    assert_eq!(summaries.relayed(now.after(SUMMARY_LIFETIME)).count(), 0);
}

fn overflow_zone(
    summaries: &ZoneSummaries,
    now: Timestamp,
    tried: &[String],
    draw: f64,
) -> Option<String> {
    summaries.overflow_target(now, ("llm", false), SOON, tried, draw).map(|d| d.zone.clone())
}

fn fleet(gateways: usize) -> Fleet {
    let gateway = |n: usize| {
        let addr = ([127, 0, 0, 1], n as u16).into();
        (format!("g{n}"), Gateway { addr, zone: format!("z{}", n % 4), power: 90 })
    };
    let mut fleet = Fleet::default();
    fleet.replace(NOW, (0..gateways).map(gateway).collect::<BTreeMap<_, _>>(), 1.into());
    fleet
}

#[test]
fn large_fleets_share_by_zone() {
    let small = ZONE_SCOPE_TOKENS - 1;
    assert_eq!(scope(&fleet(4), small), Scope::All);
    assert_eq!(scope(&fleet(ZONE_SCOPE_GATEWAYS - 1), small), Scope::All);
    assert_eq!(scope(&fleet(ZONE_SCOPE_GATEWAYS), small), Scope::Zone);
    assert_eq!(scope(&fleet(410), 0), Scope::Zone);
}

#[test]
fn zones_with_enough_memory_share_by_zone_unless_there_are_few_gateways() {
    let large = ZONE_SCOPE_TOKENS * 4;
    assert_eq!(scope(&fleet(ALL_SCOPE_GATEWAYS), large), Scope::Zone);
    assert_eq!(scope(&fleet(ALL_SCOPE_GATEWAYS), large - 1), Scope::All);
    assert_eq!(scope(&fleet(ALL_SCOPE_GATEWAYS - 1), large), Scope::All);
}

#[test]
fn a_restart_of_many_engines_does_not_change_the_scope() {
    let mut memory = Memory::default();
    memory.observe(NOW, 1_000);
    memory.observe(NOW.after(Duration::from_secs(20)), 400);
    assert_eq!(memory.tokens(), 1_000);
    memory.observe(NOW.after(Duration::from_secs(61)), 400);
    assert_eq!(memory.tokens(), 400);
}

#[test]
fn a_zone_with_free_memory_and_a_prefill_engine_is_asked() {
    let mut summaries = ZoneSummaries::default();
    assert_eq!(overflow_zone(&summaries, NOW, &[], 0.5), None);
    summaries.on_summary(NOW, summary("full", 1, 50, 0));
    summaries.on_summary(NOW, summary("late", 1, 500, 501));
    assert_eq!(overflow_zone(&summaries, NOW, &[], 0.5), None);
    let mut pieces = summary("pieces", 1, 500, 0);
    pieces.capacities[0].free_slots = 0;
    summaries.on_summary(NOW, pieces);
    assert_eq!(overflow_zone(&summaries, NOW, &[], 0.5), None);
    summaries.on_summary(NOW, summary("good", 1, 500, 499));
    assert_eq!(overflow_zone(&summaries, NOW, &[], 0.5).as_deref(), Some("good"));
    assert_eq!(overflow_zone(&summaries, NOW, &["good".to_owned()], 0.5), None, "already asked");
    assert_eq!(summaries.overflow_target(NOW, ("other", false), SOON, &[], 0.5), None);
}

/// Gateways must not all ask the zone with the most room, because its summary is slightly old.
#[test]
fn zones_are_asked_in_proportion_to_their_capacity() {
    let mut summaries = ZoneSummaries::default();
    summaries.on_summary(NOW, summary("a", 1, 300, 0));
    summaries.on_summary(NOW, summary("b", 1, 100, 0));
    let asked = |zone: &str| {
        let draws = (0..1_000).map(|n| f64::from(n) / 1_000.0);
        draws.filter(|d| overflow_zone(&summaries, NOW, &[], *d).as_deref() == Some(zone)).count()
    };
    assert!((740..=760).contains(&asked("a")), "{}", asked("a"));
    assert_eq!(asked("a") + asked("b"), 1_000);
}

/// Capacity that a summary showed is not asked for again and again.
#[test]
fn a_zone_that_granted_nothing_is_not_asked_for_a_while() {
    let mut summaries = ZoneSummaries::default();
    summaries.on_summary(NOW, summary("a", 1, 300, 0));
    summaries.on_refused(NOW, "a", false);
    assert_eq!(overflow_zone(&summaries, NOW.after(FULL_BACKOFF / 2), &[], 0.5), None);
    assert!(overflow_zone(&summaries, NOW.after(FULL_BACKOFF), &[], 0.5).is_some());
}

#[test]
fn a_summary_is_valid_for_a_while() {
    let mut summaries = ZoneSummaries::default();
    assert!(summaries.on_summary(NOW, summary("a", 5, 500, 0)));
    assert!(
        !summaries.on_summary(NOW.after(SOON), summary("a", 5, 500, 0)),
        "relayed by another gateway"
    );
    assert!(!summaries.on_summary(NOW.after(SOON), summary("a", 4, 500, 0)), "outdated");
    let later = NOW.after(SUMMARY_LIFETIME);
    assert_eq!(overflow_zone(&summaries, later, &[], 0.5), None);
    assert!(summaries.on_summary(later, summary("a", 6, 500, 0)));
    assert!(overflow_zone(&summaries, later, &[], 0.5).is_some());
}

/// The report of one zone leader fits a datagram, with the summaries of the other zones of a large
/// region.
#[test]
fn a_load_report_with_summaries_of_other_zones_fits_a_datagram() {
    let summaries: Vec<ZoneSummary> = (0..7)
        .flat_map(|zone| [1, 2].map(|n| (zone, n)))
        .map(|(zone, n)| ZoneSummary {
            name: format!("front-{n}"),
            ..summary(&format!("zone-{zone}"), 1, 500, 90)
        })
        .collect();
    let mut bytes = Vec::new();
    let share = LoadReport {
        name: "front-zone-8-1".into(),
        zone_summaries: summaries,
        ..LoadReport::default()
    };
    ciborium::into_writer(&GossipMessage::Share(share), &mut bytes)
        .expect("a load report is encoded");
    assert!(bytes.len() < 2_500, "{}", bytes.len());
    let mut one = Vec::new();
    ciborium::into_writer(&GossipMessage::Digest(summary("zone-1", 1, 500, 90)), &mut one)
        .expect("encoded");
    assert!(one.len() < 120, "{}", one.len());
}
