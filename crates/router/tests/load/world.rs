//! Simulated engines, callers and gateways, for running a load against the admission decisions.
//!
//! Engines process prompts one after the other, or hold answers in limited memory for as long as
//! their tokens take. Gateways learn of each other's load with a delay of one datagram round.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_router::answer_length::{
    AnswerLengths, FIXED_VALUE, OUTPUT_TOKEN_WEIGHT, TypicalRequest,
};
use ebonyloft_router::catalog::{Engine, Server, ServerId, Stage};
use ebonyloft_router::demand::{Demand, FIRST_EVENT};
use ebonyloft_router::engine_load::{EngineLoad, Prompt};
use ebonyloft_router::engines::{AdmissionContext, AdmissionDecision, EngineAdmission, Ticket};
use ebonyloft_router::fair_share::FairShares;
use ebonyloft_router::forecast::MemoryForecast;
use ebonyloft_router::load_report::{LoadReport, LoadReports};
use ebonyloft_router::precedence::Precedence;
use ebonyloft_router::prefill::{self, ChoiceContext, SpeedFactors};
use ebonyloft_router::prefill_speed::{INITIAL_RATE, PrefillSpeed};
use ebonyloft_router::urgency::arrivals::{self, ArrivalRates};
use ebonyloft_router::urgency::share::URGENT_SHARE;
use ebonyloft_router::urgency::{ServiceUrgency, UrgencyContext};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::accounts::{self, AccountLoad, Tally};
use crate::fleet::{engine, server};

/// One step of simulated time.
const STEP: Duration = Duration::from_millis(5);
/// Steps between two rounds of load reports.
const ROUND_STEPS: u64 = 20;
/// Time of one output token.
const TOKEN: f64 = 0.0043;
/// Time without an answer after which callers leave.
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_600);
/// Tokens of a long prompt; an idle engine processes it in half a second.
const LONG_PROMPT: u64 = 16_000;
/// Goal of urgent requests.
const URGENT_GOAL: Duration = Duration::from_millis(800);
/// Tokens that a prefill engine processes before it turns to an urgent prompt.
const CHUNK: f64 = 2_048.0;
/// Name of the service.
const SERVICE: &str = "llm";
/// Highest output that callers allow, in tokens.
const OUTPUT_MAX: u64 = 2_040;

/// Memory counted for an answer without an estimate of its length.
fn reserve(prompt: u64) -> MemoryForecast {
    AnswerLengths::default().expect(OUTPUT_MAX, None).memory_forecast(prompt, 0)
}

/// Cost of an answer without an estimate of its length.
fn cost(prompt: u64) -> f64 {
    AnswerLengths::default().expect(OUTPUT_MAX, None).cost(prompt)
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub prefill_engines: usize,
    pub decode_engines: usize,
    /// Requests a second, and the factor by which they increase from second 4 to 10.
    pub rate: f64,
    pub burst: f64,
    /// One prefill engine is lost from second 5 on.
    pub lose_engine: bool,
    /// Admit by predictions; otherwise every request queues and prefill starts at once.
    pub predict: bool,
    /// Apply the value threshold when memory is scarce.
    pub threshold: bool,
    /// Fraction of the prompts that have `LONG_PROMPT` tokens.
    pub long_prompts: f64,
    /// Latency goal of the first event.
    pub goal: Duration,
    /// A third of the engines takes nothing new from second 5 on.
    pub lose_third: bool,
    /// Fraction of the requests that are urgent.
    pub urgent: f64,
    /// Serve them by their urgency level; otherwise all have one level.
    pub levels: bool,
    /// Accounts that the requests belong to.
    pub accounts: Option<AccountLoad>,
    pub seed: u64,
}

/// Outcomes of all requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub left: u32,
    /// Prompts that were processed after their caller had left.
    pub wasted: u32,
    /// Longest wait before a refusal.
    pub longest_wait: Duration,
    /// Value by size of all answers asked for, and of those delivered; a late one counts a fifth.
    pub value_asked: f64,
    pub value_served: f64,
    /// Requests with a long prompt: asked, and served.
    pub long_prompts_asked: u32,
    pub long_prompts_served: u32,
    /// Answers among the longest tenth: asked for, and in time.
    pub long_asked: u32,
    pub long_in_time: u32,
    /// Urgent requests that arrived in the burst: asked, and in time.
    pub urgent_asked: u32,
    pub urgent_in_time: u32,
    /// The same of other requests.
    pub routine_asked: u32,
    pub routine_in_time: u32,
}

impl Outcome {
    /// Returns the fraction of the callers' value that was delivered; a late answer counts a fifth.
    pub fn value(&self) -> f64 {
        (f64::from(self.in_time) + 0.2 * f64::from(self.late)) / f64::from(self.asked)
    }

    /// Returns the fractions in time of the urgent requests of the burst and of the others.
    pub fn by_class(&self) -> (f64, f64) {
        let share = |in_time: u32, asked: u32| f64::from(in_time) / f64::from(asked);
        let urgent = share(self.urgent_in_time, self.urgent_asked);
        (urgent, share(self.routine_in_time, self.routine_asked))
    }

    /// Counts a request of the burst by its class.
    fn count_class(&mut self, urgent: bool, in_time: bool) {
        let (asked, served) = match urgent {
            true => (&mut self.urgent_asked, &mut self.urgent_in_time),
            false => (&mut self.routine_asked, &mut self.routine_in_time),
        };
        if in_time {
            *served += 1;
        } else {
            *asked += 1;
        }
    }

    /// Returns the fraction in time of the requests whose prompt is not long.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked - self.long_prompts_asked)
    }

    /// Returns the same, weighted by the size of the answers.
    pub fn weighted_value(&self) -> f64 {
        self.value_served / self.value_asked
    }
}

/// Size of the typical request.
const TYPICAL_SIZE: f64 = 3_200.0 + OUTPUT_TOKEN_WEIGHT * 864.0;
/// Output tokens that one in ten answers exceeds.
const LONG: u64 = 1_600;

/// Returns the value of an answer by its size.
fn size_value(prompt: u64, output: u64) -> f64 {
    let size = (prompt as f64 + OUTPUT_TOKEN_WEIGHT * output as f64) / TYPICAL_SIZE;
    FIXED_VALUE + (1.0 - FIXED_VALUE) * size
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Waiting(Ticket),
    Prefill { engine: usize, until: Timestamp },
    Decoding { until: Timestamp },
    Done,
}

struct Request {
    entry: usize,
    account: usize,
    arrived: Timestamp,
    prompt: u64,
    output: u64,
    urgent: bool,
    decode_engine: usize,
    state: State,
}

#[derive(Default)]
struct Entry {
    engines: EngineAdmission,
    shares: LoadReports,
    urgency: ServiceUrgency,
    fair: FairShares,
}

/// The simulation.
pub struct Simulation {
    plan: Plan,
    /// Random numbers of the load, separate from those of decisions: runs with the same seed have
    /// the same load.
    load: ChaCha8Rng,
    rng: ChaCha8Rng,
    servers: Vec<Server>,
    spec: Engine,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    free_at: HashMap<usize, Timestamp>,
    /// When a prefill engine has processed its urgent prompts.
    urgent_free_at: HashMap<usize, Timestamp>,
    now: Timestamp,
    steps: u64,
    outcome: Outcome,
    tallies: Vec<Tally>,
}

/// Simulates 20 s.
pub fn simulate(plan: Plan) -> Outcome {
    let mut simulation = Simulation::new(plan);
    for _ in 0..4_000 {
        simulation.step();
    }
    simulation.outcome
}

/// Simulates 20 s; returns what each account got during the burst.
pub fn simulate_accounts(plan: Plan) -> Vec<Tally> {
    let mut simulation = Simulation::new(plan);
    for _ in 0..4_000 {
        simulation.step();
    }
    simulation.tallies
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        let stage = |i| if i < plan.prefill_engines { Stage::Prefill } else { Stage::Decode };
        let server = |i| server(i, 24, Some(stage(i)));
        let entry = |_| Entry {
            engines: EngineAdmission::default(),
            shares: LoadReports::default(),
            urgency: ServiceUrgency::default(),
            fair: accounts::fair_shares(plan.accounts),
        };
        Simulation {
            plan,
            load: ChaCha8Rng::seed_from_u64(plan.seed),
            rng: ChaCha8Rng::seed_from_u64(plan.seed + 1_000),
            servers: (0..plan.prefill_engines + plan.decode_engines).map(server).collect(),
            spec: engine(24, 42_606),
            entries: (0..4).map(entry).collect(),
            requests: Vec::new(),
            free_at: HashMap::new(),
            urgent_free_at: HashMap::new(),
            now: Timestamp::from_millis(10_000),
            steps: 0,
            outcome: Outcome::default(),
            tallies: vec![Tally::default(); plan.accounts.map_or(1, |load| load.accounts)],
        }
    }

    fn step(&mut self) {
        self.steps += 1;
        self.now = self.now.after(STEP);
        if self.steps.is_multiple_of(ROUND_STEPS) {
            self.exchange_reports();
        }
        self.arrive();
        for i in 0..self.requests.len() {
            self.advance(i);
        }
        self.requests.retain(|r| r.state != State::Done);
    }

    fn seconds(&self) -> f64 {
        self.steps as f64 * STEP.as_secs_f64()
    }

    /// Whether this is the time of the burst.
    fn in_burst(&self, at: Timestamp) -> bool {
        let step = |steps: f64| Timestamp::from_millis(10_000).after(STEP.mul_f64(steps));
        (step(800.0)..step(2_000.0)).contains(&at)
    }

    /// Determines which accounts of a gateway are over their share.
    fn update_shares(&mut self, entry: usize) {
        let Entry { engines, fair, .. } = &mut self.entries[entry];
        if fair.evaluate(self.now) {
            engines.update_over_share(|account, cost| fair.is_over_by(account, cost));
        }
    }

    fn arrive(&mut self) {
        let burst = self.in_burst(self.now);
        let rate = self.plan.rate * if burst { self.plan.burst } else { 1.0 };
        if self.load.random::<f64>() >= rate * STEP.as_secs_f64() {
            return;
        }
        let normal: f64 = (0..12).map(|_| self.load.random::<f64>()).sum::<f64>() - 6.0;
        let mut prompt = (3_200.0 * (0.5 * normal - 0.125).exp()).clamp(200.0, 6_600.0) as u64;
        if self.plan.long_prompts > 0.0 && self.load.random_bool(self.plan.long_prompts) {
            prompt = LONG_PROMPT;
            self.outcome.long_prompts_asked += 1;
        }
        let normal: f64 = (0..12).map(|_| self.load.random::<f64>()).sum::<f64>() - 6.0;
        let output = (864.0 * (0.7 * normal - 0.245).exp()).clamp(12.0, 2_040.0) as u64;
        let entry = self.load.random_range(0..4);
        let account = match self.plan.accounts {
            Some(accounts) => accounts.pick(burst, self.load.random()),
            None => 0,
        };
        let gives = self.gives(prompt, output);
        let urgent = self.plan.urgent > 0.0 && self.load.random_bool(self.plan.urgent);
        self.entries[entry].fair.on_requested(self.now, accounts::key(account), cost(prompt));
        self.update_shares(entry);
        let over_share = self.entries[entry].fair.is_over_by(accounts::key(account), cost(prompt));
        let (_, read_at) = self.prefill_engine(entry, self.prompt(prompt, urgent));
        let first_by = self.now.after(self.goal(urgent));
        let precedence = Precedence { over_share, ..self.precedence(urgent) };
        self.entries[entry].urgency.arrivals.observe(self.now, precedence);
        let ends_at = self.now.after(Duration::from_secs(14));
        let memory = reserve(prompt);
        let read_time = PrefillSpeed::default().time(EngineLoad::default(), prompt);
        let need =
            Demand { memory, read_time, first_by, ends_at, value: gives, begun: false, precedence };
        let ticket = self.entries[entry].engines.join(self.now, need, read_at);
        self.entries[entry].engines.set_claim(ticket, accounts::key(account), cost(prompt));
        self.tallies[account].asked += u32::from(burst);
        let state = State::Waiting(ticket);
        self.outcome.asked += 1;
        self.outcome.value_asked += size_value(prompt, output);
        self.outcome.long_asked += u32::from(output > LONG);
        if burst {
            self.outcome.count_class(urgent, false);
        }
        self.requests.push(Request {
            entry,
            account,
            arrived: self.now,
            prompt,
            output,
            urgent,
            decode_engine: 0,
            state,
        });
    }

    /// Returns the expected value of a request by its caller's estimate, whose logarithm has a
    /// standard deviation of 0.5.
    fn gives(&mut self, prompt: u64, output: u64) -> f64 {
        let normal: f64 = (0..12).map(|_| self.load.random::<f64>()).sum::<f64>() - 6.0;
        let hint = (output as f64 * (0.5 * normal).exp()) as u64;
        if !self.plan.threshold {
            return f64::INFINITY;
        }
        TypicalRequest::default()
            .value(&AnswerLengths::default().expect(OUTPUT_MAX, Some(hint)), prompt)
    }

    fn goal(&self, urgent: bool) -> Duration {
        if urgent { URGENT_GOAL } else { self.plan.goal }
    }

    fn precedence(&self, urgent: bool) -> Precedence {
        let level = u8::from(self.plan.levels && !urgent);
        Precedence { level, ..Precedence::default() }
    }

    fn prompt(&self, tokens: u64, urgent: bool) -> Prompt {
        Prompt { tokens, urgent: urgent && self.plan.levels }
    }

    /// Returns the arrivals a second by precedence, as far as a gateway knows.
    fn rates(&self, e: &Entry) -> Vec<(Precedence, f64)> {
        let own = e.urgency.arrivals.rates(self.now);
        arrivals::sum(own.chain(e.shares.peer_arrivals(self.now, SERVICE)))
    }

    fn urgency<'a>(&self, e: &Entry, rates: &'a [(Precedence, f64)]) -> UrgencyContext<'a> {
        let exceeded = e.urgency.share.is_exceeded(self.now, URGENT_SHARE);
        UrgencyContext {
            least: u8::from(self.plan.levels),
            typical: MemoryForecast::constant(3_200 + 864),
            rates,
            by_goal: self.plan.levels && exceeded && e.engines.is_waiting_at(1),
        }
    }

    /// Returns how many of the engines of one stage are lost now.
    fn lost(&self, engines: usize) -> usize {
        match self.plan.lose_third && self.seconds() > 5.0 {
            true => engines / 3,
            false => 0,
        }
    }

    /// Returns the prefill engine that would finish first, and when, as far as this gateway knows.
    fn prefill_engine(&mut self, entry: usize, prompt: Prompt) -> (usize, Timestamp) {
        let lost = usize::from(self.plan.lose_engine && self.seconds() > 5.0)
            .max(self.lost(self.plan.prefill_engines));
        let prefill_engines = &self.servers[lost..self.plan.prefill_engines];
        let e = &self.entries[entry];
        let rates = self.rates(e);
        let headroom = match prompt.urgent {
            true => 0,
            false => self.urgency(e, &rates).prefill_headroom(self.precedence(false)),
        };
        let work = |id: &ServerId| e.engines.own_load(id).plus(e.shares.peer_load(self.now, id));
        let rng = &mut self.rng;
        let paces = SpeedFactors::default();
        let reading = PrefillSpeed::default();
        let choice = ChoiceContext {
            speed_factors: &paces,
            prefill_speed: &reading,
            prompt: prompt.tokens,
            urgent: prompt.urgent,
            headroom,
            zone: "z",
            gateways: 4,
        };
        let picked =
            prefill::pick(self.now, prefill_engines.iter(), work, &choice, || rng.random());
        let (server, at) = picked.unwrap_or((&prefill_engines[0], self.now.after(CALLER_TIMEOUT)));
        (self.index(&server.id.clone()), at)
    }

    fn index(&self, id: &ServerId) -> usize {
        self.servers.iter().position(|s| s.id == *id).expect("the engine is listed")
    }

    fn advance(&mut self, i: usize) {
        match self.requests[i].state {
            State::Waiting(ticket) => self.wait(i, ticket),
            State::Prefill { engine, until } if until <= self.now => self.read(i, engine),
            State::Decoding { until } if until <= self.now => self.end(i, true),
            _ => {}
        }
    }

    fn wait(&mut self, i: usize, ticket: Ticket) {
        let (entry, prompt, arrived) = {
            let r = &self.requests[i];
            (r.entry, self.prompt(r.prompt, r.urgent), r.arrived)
        };
        let (prefill_engine, mut read_at) = self.prefill_engine(entry, prompt);
        if !self.plan.predict {
            read_at = self.now;
        }
        let draw = self.rng.random();
        self.update_shares(entry);
        let e = &self.entries[entry];
        let work = |id: &ServerId| e.shares.peer_load(self.now, id);
        let lost = self.lost(self.plan.decode_engines);
        let decode_engines = self.servers[self.plan.prefill_engines + lost..].iter();
        let rates = self.rates(e);
        let urgency = self.urgency(e, &rates);
        let view = AdmissionContext { engine: &self.spec, read_at, gateways: 4, urgency };
        let advice = e.engines.decide(self.now, ticket, &view, decode_engines, work, || draw);
        match advice {
            AdmissionDecision::Ask(id) => {
                let decode_engine = self.index(&id);
                self.take(i, ticket, decode_engine, prefill_engine);
            }
            AdmissionDecision::Wait(_) => {}
            AdmissionDecision::Refuse(..) if self.plan.predict => {
                self.entries[entry].engines.leave(ticket);
                self.outcome.refused += 1;
                self.outcome.longest_wait = self.outcome.longest_wait.max(self.now.since(arrived));
                self.requests[i].state = State::Done;
            }
            AdmissionDecision::Refuse(..) if self.now.since(arrived) > CALLER_TIMEOUT => {
                self.entries[entry].engines.leave(ticket);
                self.outcome.left += 1;
                self.requests[i].state = State::Done;
            }
            AdmissionDecision::Refuse(..) => {}
        }
    }

    /// Asks an engine for a reservation; the engine knows its real use.
    fn take(&mut self, i: usize, ticket: Ticket, decode_engine: usize, prefill_engine: usize) {
        let need = reserve(self.requests[i].prompt);
        let used: u64 = self
            .requests
            .iter()
            .filter(|r| {
                r.decode_engine == decode_engine
                    && !matches!(r.state, State::Waiting(_) | State::Done)
            })
            .map(|r| reserve(r.prompt).reserved())
            .sum();
        let id = self.servers[decode_engine].id.clone();
        let r = &self.requests[i];
        let (entry, urgent, prompt) = (r.entry, r.urgent, self.prompt(r.prompt, r.urgent));
        let now = self.now;
        if used + need.reserved() > self.spec.tokens {
            self.entries[entry].engines.on_full(now, &id);
            return;
        }
        let until = self.queue_prompt(prefill_engine, prompt);
        let prefill_id = self.servers[prefill_engine].id.clone();
        let Request { account, arrived, .. } = self.requests[i];
        let key = accounts::key(account);
        let Entry { engines: e, urgency, fair, .. } = &mut self.entries[entry];
        if !urgent || e.is_waiting_at(1) {
            urgency.share.on_admitted(now, urgent, need.peak());
        }
        fair.on_admitted(now, key, cost(prompt.tokens), arrived);
        e.leave(ticket);
        e.on_reserved(&id, need);
        e.on_prefill_sent(&prefill_id, prompt);
        self.requests[i].decode_engine = decode_engine;
        self.requests[i].state = State::Prefill { engine: prefill_engine, until };
    }

    /// Adds a prompt to an engine's queue, and returns when it is processed. An urgent one delays
    /// all others behind the chunk that is in progress.
    fn queue_prompt(&mut self, engine: usize, prompt: Prompt) -> Timestamp {
        let now = self.now;
        let time = Duration::from_secs_f64(prompt.tokens as f64 / INITIAL_RATE);
        let free_at = self.free_at.get(&engine).copied().unwrap_or(now).max(now);
        if !prompt.urgent {
            self.free_at.insert(engine, free_at.after(time));
            return free_at.after(time);
        }
        let chunk_end = free_at.min(now.after(Duration::from_secs_f64(CHUNK / INITIAL_RATE)));
        let urgent_end = self.urgent_free_at.get(&engine).copied().unwrap_or(now);
        let until = urgent_end.max(chunk_end).after(time);
        for r in self.requests.iter_mut().filter(|r| !r.urgent) {
            if let State::Prefill { engine: at, until: end } = &mut r.state
                && *at == engine
                && *end > chunk_end
            {
                *end = end.after(time);
            }
        }
        self.urgent_free_at.insert(engine, until);
        self.free_at.insert(engine, free_at.after(time));
        until
    }

    fn read(&mut self, i: usize, engine: usize) {
        let id = self.servers[engine].id.clone();
        let (entry, prompt, arrived, output, urgent) = {
            let r = &self.requests[i];
            (r.entry, r.prompt, r.arrived, r.output, r.urgent)
        };
        let sent = self.prompt(prompt, urgent);
        self.entries[entry].engines.on_prefill_ended(&id, sent);
        let first = self.now.after(FIRST_EVENT / 2).since(arrived);
        if first > CALLER_TIMEOUT {
            self.outcome.wasted += 1;
            self.outcome.left += 1;
            return self.end(i, false);
        }
        let in_time = first <= self.goal(urgent);
        match in_time {
            true => self.outcome.in_time += 1,
            false => self.outcome.late += 1,
        }
        if self.in_burst(arrived) {
            if in_time {
                self.outcome.count_class(urgent, true);
            }
            self.tallies[self.requests[i].account].value += if in_time { 1.0 } else { 0.2 };
        }
        self.outcome.long_prompts_served += u32::from(prompt == LONG_PROMPT);
        self.outcome.value_served += size_value(prompt, output) * if in_time { 1.0 } else { 0.2 };
        self.outcome.long_in_time += u32::from(in_time && output > LONG);
        let until = self.now.after(Duration::from_secs_f64(output as f64 * TOKEN));
        self.requests[i].state = State::Decoding { until };
    }

    fn end(&mut self, i: usize, whole: bool) {
        let r = &mut self.requests[i];
        r.state = State::Done;
        let id = self.servers[r.decode_engine].id.clone();
        let tokens = reserve(r.prompt);
        self.entries[r.entry].engines.on_released(self.now, &id, tokens, whole);
    }

    fn exchange_reports(&mut self) {
        let shares: Vec<LoadReport> = self
            .entries
            .iter_mut()
            .enumerate()
            .map(|(i, e)| LoadReport {
                name: format!("e{i}"),
                seq: self.steps,
                engine_loads: e.engines.engine_loads(),
                arrivals: match self.plan.levels {
                    true => [(SERVICE.to_owned(), e.urgency.arrivals.report(self.now))].into(),
                    false => ArrivalRates::default(),
                },
                account_uses: e.fair.report(self.now),
                ..LoadReport::default()
            })
            .collect();
        for (i, e) in self.entries.iter_mut().enumerate() {
            for share in shares.iter().filter(|s| s.name != format!("e{i}")) {
                e.fair.on_report(self.now, &share.name, share.account_uses.clone());
                e.shares.on_report(self.now, share.clone());
            }
        }
    }
}
