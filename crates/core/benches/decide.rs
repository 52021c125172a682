//! Cost of a routing decision as the pool grows.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ebonyloft_core::config::{Class, Weights};
use ebonyloft_core::ids::{Account, Incarnation, Key, MemberId, Peer, Zone};
use ebonyloft_core::message::{Completion, LoadReport, Repeat, Work};
use ebonyloft_core::request::{Intent, Spec};
use ebonyloft_core::route::{Earliest, PoolView, Reading};
use ebonyloft_core::time::Moment;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Moment = Moment(1_800_000_000_000_000);

fn pool(count: usize) -> PoolView {
    let mut view = PoolView::default();
    let peer = |i: usize| Peer {
        id: MemberId(format!("vm-{i:05}")),
        life: Incarnation(1),
    };
    view.set((0..count).map(|i| (peer(i), Zone(format!("zone-{}", i % 8)))));
    for i in 0..count {
        let load = LoadReport {
            used: (i % 20) as u32,
            slots: 20,
            free_at: NOW,
            ..Default::default()
        };
        view.on_load(&peer(i), &load);
    }
    view
}

fn spec() -> Spec {
    Spec {
        intent: Intent::Run,
        waiter: 1,
        key: Key {
            account: Account::from("a"),
            text: "k".to_owned(),
        },
        first: true,
        class: Class::Slow,
        first_by: NOW.after(Duration::from_secs(3)),
        deadline: NOW.after(Duration::from_secs(30)),
        repeat: Repeat::Idempotent,
        split: true,
        work: Work::Completion(Completion {
            model: "trinacria-8b".to_owned(),
            prompt: "a prompt ".repeat(700),
            max_tokens: 100,
            prompt_tokens: 1_500,
        }),
        avoid: Vec::new(),
    }
}

fn decide(c: &mut Criterion) {
    let spec = spec();
    let reading = Reading {
        rate: 20_000.0,
        token_bytes: 131_072,
        link_rate: 10e9,
        head_tokens: 2_000,
        weights: Weights::default(),
        affinity: true,
        timed: true,
    };
    let mut group = c.benchmark_group("decide");
    for count in [10, 24, 100, 300, 600] {
        let mut rng = SmallRng::seed_from_u64(7);
        let mut view = pool(count);
        let mut policy = Earliest {
            zone: Zone("zone-1".to_owned()),
        };
        let hold = Duration::from_secs(2);
        group.bench_function(BenchmarkId::new("executor", count), |b| {
            b.iter(|| black_box(view.executor(NOW, &spec, hold, &mut policy, &mut rng)));
        });
        group.bench_function(BenchmarkId::new("prefill", count), |b| {
            b.iter(|| black_box(view.prefill(NOW, &spec, NOW, &reading, &mut rng)));
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
