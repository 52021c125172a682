//! Account shares under load reports that are lost, late or repeated: they change in which order
//! requests are admitted, never whether a request is counted or how often it runs.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyloft_core::config::Rate;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::accounts::{Account, Accounts, Quota, Unit};
use ebonyloft_router::catalog::{Engine, Server, ServerId, Stage};
use ebonyloft_router::demand::Demand;
use ebonyloft_router::engine_load::EngineLoad;
use ebonyloft_router::engines::{AdmissionContext, AdmissionDecision, EngineAdmission, Ticket};
use ebonyloft_router::fair_share::{
    AccountUse, AccountUses, AccountWeights, Claim, FairShares, ShareKey, shares,
};
use ebonyloft_router::forecast::MemoryForecast;
use ebonyloft_router::load_report::{LoadReport, LoadReports};
use ebonyloft_router::precedence::Precedence;
use ebonyloft_router::urgency::UrgencyContext;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GATEWAYS: usize = 3;
const ACCOUNTS: usize = 4;
/// Answers that the engine holds at once.
const SLOTS: u32 = 4;
const START: Timestamp = Timestamp::from_millis(100_000);

/// What happens to a load report on its way to one peer.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Arrives,
    Lost,
    Repeated,
    /// It arrives after that many further steps.
    Late(u8),
}

#[derive(Clone, Debug)]
enum Step {
    Ask { gateway: usize, account: usize, cost: u32 },
    Report { gateway: usize, to: [Delivery; GATEWAYS] },
    Complete,
    Pause(u16),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        2 => Just(Delivery::Arrives),
        2 => Just(Delivery::Lost),
        1 => Just(Delivery::Repeated),
        1 => (1_u8..6).prop_map(Delivery::Late),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    // Account 0 asks for more than the others.
    let account = prop_oneof![3 => Just(0), 1 => 1..ACCOUNTS];
    prop_oneof![
        4 => (0..GATEWAYS, account, 100_000_u32..10_000_000)
            .prop_map(|(gateway, account, cost)| Step::Ask { gateway, account, cost }),
        3 => (0..GATEWAYS, [delivery(), delivery(), delivery()])
            .prop_map(|(gateway, to)| Step::Report { gateway, to }),
        2 => Just(Step::Complete),
        2 => (1_u16..300).prop_map(Step::Pause),
    ]
}

fn key(account: usize) -> ShareKey {
    ShareKey::new("llm", Some(&format!("a{account}")))
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Waiting(Ticket),
    Running,
    Ended,
    Refused,
}

struct Request {
    gateway: usize,
    account: usize,
    cost: f64,
    at: Timestamp,
    fate: Fate,
    runs: u32,
}

#[derive(Default)]
struct Gateway {
    engines: EngineAdmission,
    reports: LoadReports,
    shares: FairShares,
    seq: u64,
}

/// Gateways that share one engine.
struct Model {
    now: Timestamp,
    gateways: Vec<Gateway>,
    requests: Vec<Request>,
    in_flight: Vec<(u8, usize, LoadReport)>,
    weights: AccountWeights,
}

impl Model {
    fn new() -> Self {
        let quota = |rate| Some(Quota { bound: Rate { rate, burst: rate }, unit: Unit::Requests });
        // Quotas differ, and the last account has none.
        let account = |i: usize| Account {
            name: format!("a{i}").as_str().into(),
            quota: if i + 1 < ACCOUNTS { quota(1.0 + i as f64) } else { None },
            ..Account::default()
        };
        let accounts = Accounts::from((0..ACCOUNTS).map(account).collect::<Vec<_>>());
        let weights = AccountWeights::of(&accounts).expect("there are quotas");
        let gateway = |_| {
            let mut gateway = Gateway::default();
            gateway.shares.configure(Some(weights.clone()));
            gateway
        };
        let gateways = (0..GATEWAYS).map(gateway).collect();
        Model { now: START, gateways, requests: Vec::new(), in_flight: Vec::new(), weights }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Ask { gateway, account, cost } => self.ask(*gateway, *account, f64::from(*cost)),
            Step::Report { gateway, to } => self.report(*gateway, to),
            Step::Complete => self.complete(),
            Step::Pause(ms) => self.now = self.now.after(Duration::from_millis((*ms).into())),
        }
        for (left, ..) in &mut self.in_flight {
            *left -= 1;
        }
        while let Some(i) = self.in_flight.iter().position(|(left, ..)| *left == 0) {
            let (_, to, report) = self.in_flight.remove(i);
            self.receive(to, report);
        }
        self.decide();
    }

    fn ask(&mut self, gateway: usize, account: usize, cost: f64) {
        let now = self.now;
        let demand = Demand {
            memory: MemoryForecast::constant(1_000),
            read_time: Duration::ZERO,
            first_by: now.after(Duration::from_millis(900)),
            ends_at: now.after(Duration::from_secs(14)),
            value: 1.0,
            begun: false,
            precedence: Precedence::default(),
        };
        let Gateway { engines, shares, .. } = &mut self.gateways[gateway];
        shares.on_requested(now, key(account), cost);
        let ticket = engines.join(now, demand, now);
        engines.set_claim(ticket, key(account), cost);
        let fate = Fate::Waiting(ticket);
        self.requests.push(Request { gateway, account, cost, at: now, fate, runs: 0 });
    }

    fn report(&mut self, from: usize, to: &[Delivery; GATEWAYS]) {
        let sender = &mut self.gateways[from];
        sender.seq += 1;
        let report = LoadReport {
            name: format!("g{from}"),
            seq: sender.seq,
            engine_loads: sender.engines.engine_loads(),
            account_uses: sender.shares.report(self.now),
            ..LoadReport::default()
        };
        for (peer, delivery) in to.iter().enumerate().filter(|(peer, _)| *peer != from) {
            match delivery {
                Delivery::Arrives => self.receive(peer, report.clone()),
                Delivery::Lost => {}
                Delivery::Repeated => {
                    self.receive(peer, report.clone());
                    self.in_flight.push((3, peer, report.clone()));
                }
                Delivery::Late(steps) => self.in_flight.push((*steps, peer, report.clone())),
            }
        }
    }

    /// Takes a report in as the daemon does.
    fn receive(&mut self, to: usize, mut report: LoadReport) {
        let Gateway { reports, shares, .. } = &mut self.gateways[to];
        let (name, uses) = (report.name.clone(), std::mem::take(&mut report.account_uses));
        if reports.on_report(self.now, report) {
            shares.on_report(self.now, &name, uses);
        }
    }

    /// Ends the answer that began first.
    fn complete(&mut self) {
        if let Some(request) = self.requests.iter_mut().find(|r| r.fate == Fate::Running) {
            request.fate = Fate::Ended;
            let engines = &mut self.gateways[request.gateway].engines;
            let memory = MemoryForecast::constant(1_000);
            engines.on_released(self.now, &server().id, memory, true);
        }
    }

    fn decide(&mut self) {
        let (now, server, engine) = (self.now, server(), engine());
        for i in 0..self.requests.len() {
            let request = &self.requests[i];
            let Fate::Waiting(ticket) = request.fate else { continue };
            let Gateway { engines, reports, shares, .. } = &mut self.gateways[request.gateway];
            if shares.evaluate(now) {
                engines.update_over_share(|key, cost| shares.is_over_by(key, cost));
            }
            let urgency = UrgencyContext::default();
            let (read_at, gateways) = (now, GATEWAYS);
            let context = AdmissionContext { engine: &engine, read_at, gateways, urgency };
            let peer_load = |id: &ServerId| -> EngineLoad { reports.peer_load(now, id) };
            let decision =
                engines.decide(now, ticket, &context, [&server].into_iter(), peer_load, || 0.5);
            let running = self.requests.iter().filter(|r| r.fate == Fate::Running).count();
            let request = &mut self.requests[i];
            match decision {
                // The engine itself refuses what exceeds its slots.
                AdmissionDecision::Ask(id) if running >= SLOTS as usize => {
                    engines.on_full(now, &id)
                }
                AdmissionDecision::Ask(id) => {
                    engines.leave(ticket);
                    engines.on_reserved(&id, MemoryForecast::constant(1_000));
                    shares.on_admitted(now, key(request.account), request.cost, request.at);
                    request.fate = Fate::Running;
                    request.runs += 1;
                }
                AdmissionDecision::Wait(_) => {}
                AdmissionDecision::Refuse(..) => {
                    engines.leave(ticket);
                    request.fate = Fate::Refused;
                }
            }
        }
    }

    /// Use of an account at one gateway, computed from all its requests.
    fn counted(&self, gateway: usize, account: usize) -> AccountUse {
        let mut used = AccountUse::default();
        let all = self.requests.iter().filter(|r| (r.gateway, r.account) == (gateway, account));
        for r in all {
            let age = self.now.since(r.at).as_secs_f64();
            let cost = r.cost * (-age / 5.0).exp();
            used.requested += cost;
            used.admitted += cost * f64::from(r.runs);
            used.asking |= age < 5.0;
        }
        used
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for r in &self.requests {
            let expected = u32::from(matches!(r.fate, Fate::Running | Fate::Ended));
            prop_assert_eq!(r.runs, expected, "a request ran more than once or was not counted");
        }
        for gateway in 0..GATEWAYS {
            // What a gateway reports is its own use only, whatever it received. A second later the
            // report isn't held back as sent before.
            let own = self.gateways[gateway].shares.report(self.now.after(Duration::from_secs(1)));
            for (account, reported) in own.values().flat_map(AccountUses::decode) {
                let account = (0..ACCOUNTS).find(|a| key(*a).account == account).expect("known");
                let counted = self.counted(gateway, account);
                let later = (-0.2_f64).exp();
                let is_close = |a: f64, b: f64| (a - b * later).abs() <= 1e-3 * b + 1_000.0;
                prop_assert!(
                    is_close(reported.requested, counted.requested)
                        && is_close(reported.admitted, counted.admitted),
                    "gateway {} reports {:?} of account {}, counted {:?}",
                    gateway,
                    reported,
                    account,
                    counted
                );
            }
            self.check_verdicts(gateway)?;
        }
        Ok(())
    }

    /// By the figures that the gateway has, no account that asks for less than its share is over it.
    fn check_verdicts(&mut self, gateway: usize) -> Result<(), TestCaseError> {
        let shares_here = &mut self.gateways[gateway].shares;
        shares_here.evaluate(self.now);
        let uses = shares_here.uses(self.now, key(0).service);
        let capacity: f64 = uses.iter().map(|(_, u)| u.admitted).sum();
        let asking: BTreeMap<u32, AccountUse> =
            uses.into_iter().filter(|(_, u)| u.asking).collect();
        let weight_sum: f64 = asking.keys().map(|account| self.weights.weight(*account)).sum();
        let claims: Vec<Claim> = asking
            .iter()
            .map(|(a, u)| Claim { weight: self.weights.weight(*a), requested: u.requested })
            .collect();
        let max_min = shares(capacity, &claims);
        for ((account, used), share) in asking.iter().zip(max_min) {
            let is_over =
                self.gateways[gateway].shares.is_over(ShareKey { account: *account, ..key(0) });
            let weighted = capacity * self.weights.weight(*account) / weight_sum;
            prop_assert!(used.admitted <= used.requested * (1.0 + 1e-9), "{:?}", used);
            prop_assert!(
                share <= used.requested && share >= weighted.min(used.requested) * 0.999_999
            );
            if used.requested <= weighted {
                prop_assert!(!is_over, "asks {:?} of {} and is over its share", used, weighted);
            }
        }
        Ok(())
    }
}

fn server() -> Server {
    Server {
        id: ServerId::new("i-0", 0),
        service: "llm".into(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        zone: "z".into(),
        slots: SLOTS,
        draining: false,
        stage: Some(Stage::Decode),
        version: None,
    }
}

fn engine() -> Engine {
    Engine {
        moves: false,
        slots: SLOTS,
        tokens: 100_000,
        stride: 12,
        handle_life: Duration::from_millis(500),
        switch: Duration::from_secs(6),
        hold: Duration::from_secs(2),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// A report that came twice or late counted its sender's use twice, and one that was lost left it
    /// out of what the sender itself counts.
    #[test]
    fn reports_change_only_the_order(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
        model.check()?;
    }
}
