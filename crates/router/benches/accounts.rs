//! Benchmarks of the key lookup and of quota decisions.

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use ebonyloft_core::config::Rate;
use ebonyloft_core::ids::Digest;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::accounts::{Account, Accounts};
use ebonyloft_router::fleet::{Fleet, Gateway};
use ebonyloft_router::quota::issuer::LeaseIssuer;
use ebonyloft_router::quota::leases::TokenLeases;
use ebonyloft_router::quota::ownership::Owners;
use ebonyloft_router::quota::{LeaseRequest, LimitKey};

fn accounts(count: usize) -> Accounts {
    let account = |n: usize| Account {
        name: format!("account-{n}").as_str().into(),
        keys: vec![Digest::of(format!("{n}a").as_bytes()), Digest::of(format!("{n}b").as_bytes())],
        ..Account::default()
    };
    (0..count).map(account).collect::<Vec<_>>().into()
}

fn fleet(count: u16) -> Fleet {
    let gateway = |i: u16| Gateway {
        addr: ([127, 0, 0, 1], i).into(),
        zone: format!("z{}", i % 8),
        power: 90,
    };
    let list: BTreeMap<_, _> = (0..count).map(|i| (format!("front-{i}"), gateway(i))).collect();
    let mut fleet = Fleet::default();
    fleet.replace(Timestamp::default(), list, 1.into());
    fleet
}

fn look_up_key(c: &mut Criterion) {
    let all = accounts(18_000);
    let key = Digest::of(b"9000b");
    c.bench_function("key of 36,000", |b| b.iter(|| black_box(&all).find_by_key(black_box(&key))));
    c.bench_function("digest of a key", |b| {
        b.iter(|| Digest::of(black_box(b"banfqasnmgkcuyj8pjbv")));
    });
}

fn decide_quota(c: &mut Criterion) {
    let (fleet, account) = (fleet(410), LimitKey::account("account-7"));
    let bound = Rate { rate: 1e12, burst: 1e12 };
    let now = Timestamp::from_millis(60_000);
    let mut homes = Owners::default();
    c.bench_function("home of an account, 410 gateways", |b| {
        b.iter(|| homes.ranked(black_box(&fleet), &account));
    });
    let mut lender = LeaseIssuer::new(Timestamp::default());
    let mut number = 0;
    c.bench_function("a loan", |b| {
        b.iter(|| {
            number += 1;
            let ask = LeaseRequest {
                number,
                key: LimitKey::account("account-7"),
                need: 100,
                prefetch: 0,
                limit: None,
            };
            // The time moves on, so that grants of earlier iterations expire.
            let at = Timestamp::from_millis(60_000 + number / 4);
            lender.grant(at, &ask, &bound, 1.0, true)
        });
    });
    let mut borrower = TokenLeases::default();
    borrower.on_granted(&account, now, u64::MAX / 2);
    c.bench_function("a request that is held here", |b| {
        b.iter(|| borrower.spend(now, &account, 100));
    });
}

criterion_group!(benches, look_up_key, decide_quota);
criterion_main!(benches);
