//! Slopes and overheads, for docs/CAPACITY.md and docs/MEASUREMENTS.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::{Args as ClapArgs, Subcommand};
use ebonyloft_core::config::{Class, Document, parts};
use ebonyloft_core::ids::{Account, Attempt, Digest, Incarnation, Key, MemberId, Peer};
use ebonyloft_core::ledger::Ledger;
use ebonyloft_core::members::{Card, Members, Role, Standing};
use ebonyloft_core::message::{
    Admission, Answer, Ask, Begin, Completion, Frame, LoadReport, Repeat, Work,
};
use ebonyloft_core::placement::Placement;
use ebonyloft_core::time::Moment;
use hdrhistogram::Histogram;

use crate::client::{Call, Client, Outcome};
use crate::engine::EngineSpec;
use crate::site::{CALLER_TOKEN, SiteSpec, document, with_site};

/// Measures slopes and overheads.
#[derive(Clone, Debug, ClapArgs)]
pub struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Debug, Subcommand)]
enum What {
    /// Latency that entry and sidecar add, and requests and tokens a second of a core
    Overhead {
        /// Requests a measurement
        #[arg(long, default_value_t = 2_000)]
        requests: usize,
    },
    /// Memory, bytes and processor time of state and messages, each from several points
    Slopes,
}

/// Runs the command.
pub fn run(args: Args) -> bool {
    match args.what {
        What::Overhead { requests } => overhead(requests),
        What::Slopes => slopes(),
    }
    true
}

fn overhead(requests: usize) {
    let engine = EngineSpec {
        token: Duration::from_micros(200),
        ..EngineSpec::default()
    };
    let spec = SiteSpec {
        entries: 1,
        decode: 1,
        call: Duration::from_micros(10),
        engine,
        ..SiteSpec::default()
    };
    with_site(spec, async |site| {
        let client = Client::default();
        let service = SocketAddr::new(site.engine(0).ip(), 9_000);
        let service = SocketAddr::new(with_host(service, 80), 9_000);
        let direct = Call::plain(CALLER_TOKEN, "k", "badge-check", "gate", "s");
        let direct = Call {
            path: "/badge-check".to_owned(),
            ..direct
        };
        let plain_direct = latency(requests, async || {
            client.send(service, &direct, |_| {}).await
        })
        .await;
        let entry = site.entry(0);
        let plain_routed = latency(requests, async || {
            let key = crate::new_key();
            let call = Call::plain(CALLER_TOKEN, &key, "badge-check", "gate", &key);
            client.send(entry, &call, |_| {}).await
        })
        .await;
        println!(
            "plain call, one after the other:   direct p50 {:.3} p99 {:.3} ms, routed p50 {:.3} p99 {:.3} ms, added p50 {:.3} ms",
            plain_direct.0,
            plain_direct.1,
            plain_routed.0,
            plain_routed.1,
            plain_routed.0 - plain_direct.0
        );
        let engine = site.engine(0);
        let first_direct = latency(requests / 4, async || {
            let mut call = Call::completion(CALLER_TOKEN, "k", "queue-slot", "short prompt", 2);
            call.body = call.body.replace(
                "\"stream\":true",
                &format!("\"stream\":true,\"request_id\":\"{}\"", crate::new_key()),
            );
            client.send(engine, &call, |_| {}).await
        })
        .await;
        let first_routed = latency(requests / 4, async || {
            let call = Call::completion(
                CALLER_TOKEN,
                &crate::new_key(),
                "queue-slot",
                "short prompt",
                2,
            );
            client.send(entry, &call, |_| {}).await
        })
        .await;
        println!(
            "completion of two tokens:          direct p50 {:.3} p99 {:.3} ms, routed p50 {:.3} p99 {:.3} ms, added p50 {:.3} ms",
            first_direct.0,
            first_direct.1,
            first_routed.0,
            first_routed.1,
            first_routed.0 - first_direct.0
        );

        let plain = throughput(requests * 5, 64, async |_| {
            let key = crate::new_key();
            let call = Call::plain(CALLER_TOKEN, &key, "badge-check", "gate", &key);
            client.send(entry, &call, |_| {}).await
        })
        .await;
        plain.print("plain calls, 64 at once", requests * 5, "call");
        let answers = 200;
        let tokens = throughput(answers, 20, async |_| {
            let call = Call::completion(
                CALLER_TOKEN,
                &crate::new_key(),
                "summary",
                &"a prompt ".repeat(20),
                400,
            );
            client.send(entry, &call, |_| {}).await
        })
        .await;
        tokens.print("answers of 400 tokens, 20 at once", answers * 400, "token");
    });
}

fn with_host(addr: SocketAddr, host: u8) -> std::net::IpAddr {
    match addr.ip() {
        std::net::IpAddr::V4(ip) => {
            let [a, b, c, _] = ip.octets();
            std::net::IpAddr::V4(std::net::Ipv4Addr::new(a, b, c, host))
        }
        ip => ip,
    }
}

/// Median and 99th percentile, in milliseconds.
async fn latency(count: usize, mut send: impl AsyncFnMut() -> Outcome) -> (f64, f64) {
    let mut times: Histogram<u64> = Histogram::new(3).expect("three digits are valid");
    for i in 0..count + count / 10 {
        let began = Instant::now();
        let outcome = send().await;
        assert!(matches!(outcome, Outcome::Whole(_)), "{outcome:?}");
        if i >= count / 10 {
            let _ = times.record(began.elapsed().as_nanos() as u64);
        }
    }
    let at = |q| times.value_at_quantile(q) as f64 / 1e6;
    (at(0.5), at(0.99))
}

struct Throughput {
    secs: f64,
    /// Processor seconds by thread.
    cpu: BTreeMap<String, f64>,
}

impl Throughput {
    fn print(&self, name: &str, units: usize, unit: &str) {
        let of = |prefix: &str| -> f64 {
            self.cpu
                .iter()
                .filter(|(n, _)| n.starts_with(prefix))
                .map(|(_, s)| s)
                .sum()
        };
        let micros = |secs: f64| secs * 1e6 / units as f64;
        let (entry, sidecar) = (of("entry"), of("gate") + of("write"));
        println!(
            "{name}: {:.0} {unit}s/s; entry {:.1} us of processor a {unit} ({:.0}/s of a core), sidecar {:.1} us ({:.0}/s of a core)",
            units as f64 / self.secs,
            micros(entry),
            units as f64 / entry,
            micros(sidecar),
            units as f64 / sidecar,
        );
    }
}

async fn throughput(
    count: usize,
    at_once: usize,
    send: impl AsyncFn(usize) -> Outcome,
) -> Throughput {
    let before = thread_seconds();
    let began = Instant::now();
    let next = std::cell::Cell::new(0);
    let worker = async || {
        while next.get() < count {
            next.set(next.get() + 1);
            let outcome = send(next.get()).await;
            assert!(matches!(outcome, Outcome::Whole(_)), "{outcome:?}");
        }
    };
    futures_util::future::join_all((0..at_once).map(|_| worker())).await;
    let secs = began.elapsed().as_secs_f64();
    let mut cpu = thread_seconds();
    for (name, secs) in &mut cpu {
        *secs -= before.get(name).copied().unwrap_or(0.0);
    }
    Throughput { secs, cpu }
}

/// Processor seconds of each thread of this process, by name.
fn thread_seconds() -> BTreeMap<String, f64> {
    const TICKS: f64 = 100.0;
    let mut all = BTreeMap::new();
    let tasks = std::fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    for task in tasks {
        let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        let (Some(open), Some(close)) = (stat.find('('), stat.rfind(')')) else {
            continue;
        };
        let fields: Vec<&str> = stat[close + 1..].split_whitespace().collect();
        let ticks = |i: usize| {
            fields
                .get(i)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let name = stat[open + 1..close].to_owned();
        *all.entry(name).or_default() += (ticks(11) + ticks(12)) / TICKS;
    }
    all
}

fn slopes() {
    // What grows most comes last: memory given back would hide what follows.
    frames();
    placement();
    members();
    documents();
    ledger();
}

fn size(frame: &Frame) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("frames can be written");
    bytes.len()
}

fn peer(i: usize) -> Peer {
    Peer {
        id: MemberId(format!("vm-{i:05}")),
        life: Incarnation(1_800_000_000_000_000 + i as u64),
    }
}

fn key(i: usize) -> Key {
    Key {
        account: Account(format!("account-{}", i % 18_000)),
        text: crate::new_key(),
    }
}

/// Bytes of the frames that a request takes beside its prompt and answer.
fn frames() {
    let attempt = Attempt {
        epoch: 40,
        home: u64::MAX / 3,
        number: 123_456,
    };
    let load = LoadReport {
        used: 19,
        slots: 20,
        waiting: 3,
        free_at: Moment(1_800_000_000_000_000),
        urgent_at: Moment(1_800_000_000_000_000),
        backlog: 30_000,
        heads: vec![u64::MAX / 7; 4],
        leaving: false,
    };
    let ask = |ask| Frame::Ask { id: 1_000_000, ask };
    let answer = |answer| Frame::Answer {
        id: 1_000_000,
        answer,
    };
    let work = Work::Completion(Completion {
        model: "trinacria-8b".to_owned(),
        prompt: String::new(),
        max_tokens: 100,
        prompt_tokens: 1_500,
    });
    let admission = Admission {
        waiter: 1_000,
        attempt,
        life: peer(1).life,
        class: Class::Slow,
        first_by: Moment(1_800_000_000_000_000),
        deadline: Moment(1_800_000_000_000_000),
        repeat: Repeat::Idempotent,
        begin: Begin::AwaitKv,
        work,
        prefix: String::new(),
    };
    let claim = Ask::Claim {
        key: key(1),
        digest: Digest::of(b""),
        repeat: Repeat::Once,
        executor: peer(1),
        epoch: 40,
    };
    let chunk = Answer::Chunk {
        attempt,
        offset: 400,
        bytes: "word ".to_owned(),
    };
    let rows = [
        ("ping", size(&Frame::Ping { seq: 100_000 })),
        (
            "pong without load",
            size(&Frame::Pong {
                seq: 100_000,
                load: None,
            }),
        ),
        (
            "pong with load",
            size(&Frame::Pong {
                seq: 100_000,
                load: Some(load),
            }),
        ),
        ("claim", size(&ask(claim))),
        ("granted", size(&answer(Answer::Granted { attempt }))),
        (
            "admit, without the prompt",
            size(&ask(Ask::Admit(admission))),
        ),
        (
            "admitted",
            size(&answer(Answer::Admitted {
                slot_at: Moment(1_800_000_000_000_000),
            })),
        ),
        ("chunk of 5 bytes", size(&answer(chunk))),
    ];
    for (name, bytes) in rows {
        println!("frame: {name}: {bytes} bytes");
    }
}

fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Grows something point by point; prints bytes and nanoseconds an item at each, and the slope
/// between the first and the last point.
fn grow(name: &str, points: &[usize], mut add: impl FnMut(usize, usize)) {
    let mut seen: Vec<(usize, u64, Duration)> = vec![(0, resident(), Duration::ZERO)];
    let mut took = Duration::ZERO;
    for pair in std::iter::once(0)
        .chain(points.iter().copied())
        .collect::<Vec<_>>()
        .windows(2)
    {
        let began = Instant::now();
        add(pair[0], pair[1]);
        took += began.elapsed();
        seen.push((pair[1], resident(), took));
    }
    let text: Vec<String> = seen[1..]
        .iter()
        .map(|(n, bytes, took)| {
            let grown = bytes.saturating_sub(seen[0].1);
            format!(
                "{n}: {:.1} MB, {:.2} us each",
                grown as f64 / 1e6,
                took.as_secs_f64() * 1e6 / *n as f64
            )
        })
        .collect();
    let (first, last) = (seen[1], seen[seen.len() - 1]);
    let slope = (last.1 as f64 - first.1 as f64) / (last.0 - first.0) as f64;
    println!("{name}: {}; slope {slope:.0} bytes each", text.join("; "));
}

fn ledger() {
    let me = peer(0);
    let placement = Placement::found(std::slice::from_ref(&me), 1_024).expect("a home");
    let mut ledger = Ledger::new(me);
    ledger.adopt(&placement);
    let now = Moment(
        u64::try_from(
            std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default()
                .as_micros(),
        )
        .unwrap_or(0),
    );
    let executor = peer(1);
    grow(
        "ledger record, claimed",
        &[10_000, 50_000, 100_000, 200_000, 400_000],
        |from, to| {
            for i in from..to {
                let answer = ledger.claim(now, &key(i), Digest::of(b"x"), Repeat::Once, &executor);
                assert!(matches!(answer, Answer::Granted { .. }), "{answer:?}");
            }
        },
    );
}

fn card(i: usize) -> Card {
    Card {
        peer: peer(i),
        version: 1,
        standing: Standing::Live,
        role: Role::Sidecar,
        zone: ebonyloft_core::ids::Zone(format!("zone-{}", i % 8)),
        addr: SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 7_000)),
        labels: [
            ("job", "decode"),
            ("model", "trinacria-8b"),
            ("rack", "r17"),
        ]
        .into_iter()
        .map(|(k, v)| (k.to_owned(), v.to_owned()))
        .collect(),
    }
}

fn members() {
    let mut members = Members::new(card(0));
    grow(
        "member card",
        &[250, 500, 1_010, 5_000, 20_000],
        |from, to| {
            for i in from.max(1)..to {
                members.learn(Moment(1), card(i));
            }
        },
    );
}

fn documents() {
    let mut value = document(256, (1.0, 1.0));
    let mut kept: Vec<Document> = Vec::new();
    for accounts in [0, 4_500, 9_000, 18_000] {
        for i in 0..accounts {
            let token = Digest::of(format!("token {i}").as_bytes());
            let bound = serde_json::json!({ "rate": 5, "burst": 10 });
            value["accounts"][format!("account-{i}")] = serde_json::json!({ "token": token, "labels": { "team": "stall" }, "bound": bound });
        }
        let doc: Document = serde_json::from_value(value.clone()).expect("a document");
        let before = resident();
        let began = Instant::now();
        let parts = parts::split(&doc);
        let texts: Vec<&str> = parts.iter().map(|p| p.body.as_str()).collect();
        let joined = parts::join(&texts).expect("it joins");
        let took = began.elapsed();
        let largest = parts.iter().map(|p| p.body.len()).max().unwrap_or(0);
        let total: usize = parts.iter().map(|p| p.body.len()).sum();
        println!(
            "document: {accounts} accounts: {} parts, largest {largest} bytes, {total} in all, split and joined in {:.1} ms, {:.1} MB resident",
            parts.len(),
            took.as_secs_f64() * 1e3,
            resident().saturating_sub(before) as f64 / 1e6,
        );
        kept.push(joined);
    }
}

fn placement() {
    for homes in [4, 16, 64] {
        let homes: Vec<Peer> = (0..homes).map(peer).collect();
        let placement = Placement::found(&homes, 1_024).expect("homes");
        let json = serde_json::to_vec(&placement).expect("json").len();
        let mut cbor = Vec::new();
        ciborium::into_writer(&placement, &mut cbor).expect("cbor");
        println!(
            "placement: {} homes: {json} bytes stored, {} bytes between processes",
            homes.len(),
            cbor.len()
        );
    }
}
