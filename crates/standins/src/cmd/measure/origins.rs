//! Measures what remembering the software that began each stream takes, by size of the fleet.

use std::time::Duration;

use clap::Args as ClapArgs;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::catalog::SoftwareVersion;
use ebonyloft_router::load_report::{GossipMessage, GossipState};
use ebonyloft_router::stream_origin::table::{OriginRecord, OriginTable};
use ebonyloft_router::stream_origin::{SoftwareId, StreamKey};
use ebonyloft_router::zone_leader::LEADERS_PER_ZONE;
use ebonyloft_router::zones::ZONE_SCOPE_GATEWAYS;
use ebonyloftd::gateway::origins::records::{RECORD_INTERVAL, RECORDS_MAX, REPORT_INTERVAL};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{encoded_size, measure_growth};

/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_HEADERS: u64 = 28;

/// Measures records, datagrams and bytes of the origins of streams.
///
/// Plays the tables of one scope of gateways that begin streams at random times; the callers' deadlines
/// are all the same.
#[derive(Clone, Debug, ClapArgs)]
pub struct Args {
    /// Numbers of gateways, one run each
    #[arg(long, value_delimiter = ',', default_value = "29,410,1000")]
    gateways: Vec<usize>,
    /// Streams that one gateway begins in a second
    #[arg(long, default_value_t = 3.0)]
    streams: f64,
    /// Callers' deadline, in seconds
    #[arg(long, default_value_t = 14)]
    deadline: u64,
    /// Number of availability zones
    #[arg(long, default_value_t = 6)]
    zones: usize,
    /// Seed of the runs
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the command; returns whether the arguments are valid.
pub fn run(args: &Args) -> bool {
    if args.zones == 0 || args.gateways.contains(&0) || !(0.0..=1e4).contains(&args.streams) {
        eprintln!("gateways and zones must be at least 1, and streams from 0 to 10,000");
        return false;
    }
    measure_memory(args);
    args.gateways.iter().for_each(|gateways| measure_scope(args, *gateways));
    true
}

fn software() -> SoftwareId {
    SoftwareId::new("service", &SoftwareVersion::new("v1.2").expect("a valid version"))
}

fn key(rng: &mut ChaCha8Rng) -> StreamKey {
    StreamKey::new("", &format!("{:016x}", rng.random::<u64>()))
}

/// Prints the memory of records at several sizes.
fn measure_memory(args: &Args) {
    let (mut rng, mut table) = (ChaCha8Rng::seed_from_u64(args.seed), OriginTable::default());
    let now = Timestamp(1_800_000_000_000_000);
    measure_growth("record of a stream", &[4_000, 16_000, 64_000], |from, to| {
        for n in from..to {
            let ends_at = now.after(Duration::from_secs(60) + Duration::from_micros(n as u64));
            table.begin(now, key(&mut rng), software(), ends_at);
            table.take_outgoing(now, RECORDS_MAX);
        }
    });
}

/// Prints what the gateways of one scope send and hold.
fn measure_scope(args: &Args, gateways: usize) {
    let scope =
        if gateways < ZONE_SCOPE_GATEWAYS { gateways } else { gateways.div_ceil(args.zones) };
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let mut tables = vec![OriginTable::default(); scope];
    let mut follower = OriginTable::default();
    let (start, lifetime) = (Timestamp(1_800_000_000_000_000), Duration::from_secs(args.deadline));
    let rounds = 3 * args.deadline * 1_000 / REPORT_INTERVAL.as_millis() as u64;
    let (mut datagrams, mut bytes, mut saved_bytes, mut saves) = (0_u64, 0_u64, 0_u64, 0_u64);
    let mut saved_at = start;
    for round in 0..rounds {
        let now = start.after(REPORT_INTERVAL * round as u32);
        for table in &mut tables {
            let chance = args.streams * REPORT_INTERVAL.as_secs_f64();
            if rng.random_bool(chance.min(1.0)) {
                table.begin(now, key(&mut rng), software(), now.after(lifetime));
            }
            let records = table.take_outgoing(now, RECORDS_MAX);
            if !records.is_empty() {
                records.iter().for_each(|record| follower.on_record(now, *record));
                let state = GossipState { origins: records, ..GossipState::default() };
                datagrams += 1;
                bytes += encoded_size(&GossipMessage::Notes(state)) as u64 + DATAGRAM_HEADERS;
            }
        }
        if now.since(saved_at) >= RECORD_INTERVAL {
            let records: Vec<OriginRecord> = follower.take_unsaved(now, usize::MAX);
            (saved_at, saves) = (now, saves + 1);
            // The platform stores values as base64.
            saved_bytes += encoded_size(&records) as u64 * 4 / 3;
        }
    }
    let seconds = (REPORT_INTERVAL * rounds as u32).as_secs_f64();
    let per_second = |n: u64| n as f64 / seconds;
    let per_gateway = |n: u64| per_second(n * LEADERS_PER_ZONE as u64) / scope as f64;
    println!(
        "{gateways} gateways, {scope} in a scope: a gateway sends {:.1} datagrams, {:.0} bytes a second; \
         a gateway that follows the store gets {:.0} datagrams, {:.0} bytes a second and holds {} \
         records; {:.1} writes of {:.0} bytes a second",
        per_gateway(datagrams),
        per_gateway(bytes),
        per_second(datagrams),
        per_second(bytes),
        follower.len(),
        per_second(saves),
        saved_bytes as f64 / saves.max(1) as f64,
    );
}
