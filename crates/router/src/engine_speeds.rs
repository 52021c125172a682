//! Speeds of model engines: how long each takes for a prompt and for an output token, relative to
//! the average of its service.
//!
//! A gateway learns them from its own prompts and events, and from what its peers report. With two
//! requests a second for dozens of engines, its own observations of one engine take minutes. The
//! factors of both kinds of work are kept for an incarnation, whatever its stage is at present.
//!
//! Gateways have different averages: in an availability zone whose prefill engines are all slow, the
//! average is slow. Factors are therefore kept and reported relative to fixed times, and divided by
//! what the service's average is at this gateway when they are used.
//!
//! Where no server of a service has reported how long its work takes now, only the prefill factors
//! that the gateway observed itself are used.

mod report;

use std::borrow::Cow;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use ebonyloft_core::time::Timestamp;

pub use self::report::{REPORT_REFRESH, ROWS_MAX, SpeedReport, SpeedRow};
use crate::catalog::{Server, ServerId, Stage};
use crate::outcome::USUAL_SLOWNESS;

/// Weight of a new observation of an engine's prefill speed: about the last five prompts count, so
/// that an engine that becomes slow is recognized within half a second of prefill.
pub const SAMPLE_WEIGHT: f64 = 0.2;
/// Range of a speed factor: no engine is faster than the others by more, and one that is slower by
/// more is avoided for its queue alone.
pub const FACTOR_RANGE: (f64, f64) = (0.8, 10.0);
/// Range of one observation relative to the service's average. Where most of the engines observed are
/// slow, fast ones lie far below the average.
pub const OBSERVED_RANGE: (f64, f64) = (0.2, 10.0);
/// Range of a factor that is reported, relative to the fixed times.
pub const REPORTED_RANGE: (f64, f64) = (0.01, 60.0);
/// Fixed time of an output token that reported factors are relative to. That of a prompt is the initial
/// guess of the prefill speed.
pub const TOKEN_SECONDS: f64 = 0.004;
/// Time constant of the decode factor. A VM is slowed by its other programs for tenths of a second,
/// which is to move the factor by a few hundredths only.
pub const DECODE_TIME: Duration = Duration::from_secs(10);
/// Observations after which the initial factor no longer counts as one.
const FIRST_OBSERVATIONS: u32 = 8;
/// Longest time that one event counts for, so that the first event after a pause does not replace
/// all earlier ones.
const EVENT_TIME_MAX: Duration = Duration::from_millis(100);
/// Smallest weight of an event in the average of its service: some ten seconds of one gateway.
const AVERAGE_WEIGHT: f64 = 0.005;
/// How long a reported factor is valid, and an own one counts for more than a single observation.
pub const FACTOR_LIFETIME: Duration = Duration::from_secs(30);
/// Observations that an own or reported factor counts for at most. Prefill factors forget after
/// some ten prompts; decode factors have 7 bits for the number in a report.
const PREFILL_WEIGHT_MAX: u32 = 20;
const DECODE_WEIGHT_MAX: u32 = 127;

/// Speed of each engine relative to its service's average; 2.0 is twice as slow.
#[derive(Clone, Debug, Default)]
pub struct SpeedFactors {
    factors: HashMap<ServerId, f64>,
}

impl SpeedFactors {
    /// Returns the speed factor of an engine.
    pub fn of(&self, id: &ServerId) -> f64 {
        self.factors.get(id).copied().unwrap_or(1.0)
    }

    /// Records a prefill that took `took` where a factor of 1.0 predicts `expected`.
    pub fn observe(&mut self, id: &ServerId, took: Duration, expected: Duration) {
        let observed = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let factor = self.factors.entry(id.clone()).or_insert(1.0);
        *factor += SAMPLE_WEIGHT * (observed.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1) - *factor);
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, alive: impl Fn(&ServerId) -> bool) {
        self.factors.retain(|id, _| alive(id));
    }
}

/// Speed of an engine at one kind of work, from own observations and those of others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Time that the work takes, relative to the service's average or to the fixed time.
    pub factor: f64,
    /// Prompts or events that it was observed with; earlier ones are forgotten.
    pub weight: u32,
    /// Time since the latest observation or report.
    pub age: Duration,
}

/// Speed of an engine at both kinds of work; `None` where it was not observed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineSpeed {
    /// Time of a prompt.
    pub prefill: Option<Speed>,
    /// Time of an output token.
    pub decode: Option<Speed>,
}

impl EngineSpeed {
    /// Returns the speed at the work of a stage.
    pub fn at(&self, stage: Stage) -> Option<Speed> {
        match stage {
            Stage::Prefill => self.prefill,
            Stage::Decode => self.decode,
        }
    }

    /// Returns the factor at the work of a stage. An engine that was observed at the other work only
    /// is taken to be as fast or slow at this one.
    pub fn factor(&self, stage: Stage) -> f64 {
        let known = self.at(stage).or(self.prefill).or(self.decode);
        known.map_or(1.0, |speed| speed.factor)
    }
}

/// Speeds of a service's engines at one moment.
pub type SpeedSnapshot = HashMap<ServerId, EngineSpeed>;

/// An own estimate.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    factor: f64,
    count: u32,
    first_at: Timestamp,
    observed_at: Timestamp,
    sent: Option<Sent>,
}

/// What was last reported of an estimate.
#[derive(Clone, Copy, Debug)]
struct Sent {
    factor: f64,
    weight: u32,
    at: Timestamp,
}

impl Estimate {
    /// The initial estimate of an engine of average speed.
    fn new(now: Timestamp, scale: f64) -> Self {
        Estimate { factor: scale, count: 0, first_at: now, observed_at: now, sent: None }
    }

    /// Records an observation, relative to an engine of average speed, whose factor is `scale`.
    fn observe(&mut self, now: Timestamp, observed: f64, scale: f64, weight: f64) {
        let observed = observed.clamp(OBSERVED_RANGE.0, OBSERVED_RANGE.1) * scale;
        // The initial factor counts as one of the first observations.
        let first =
            if self.count < FIRST_OBSERVATIONS { 1.0 / f64::from(self.count + 2) } else { 0.0 };
        let weight = weight.max(first);
        self.factor += weight * (observed - self.factor);
        self.count = self.count.saturating_add(1);
        self.observed_at = now;
    }

    fn is_recent(&self, now: Timestamp) -> bool {
        now.since(self.observed_at) < FACTOR_LIFETIME
    }
}

fn weight_max(stage: Stage) -> u32 {
    match stage {
        Stage::Prefill => PREFILL_WEIGHT_MAX,
        Stage::Decode => DECODE_WEIGHT_MAX,
    }
}

/// Own observations of one engine.
#[derive(Clone, Debug)]
struct OwnSpeeds {
    service: String,
    prefill: Option<Estimate>,
    decode: Option<Estimate>,
}

impl OwnSpeeds {
    fn at(&self, stage: Stage) -> Option<&Estimate> {
        match stage {
            Stage::Prefill => self.prefill.as_ref(),
            Stage::Decode => self.decode.as_ref(),
        }
    }
}

/// A factor that a peer reported.
#[derive(Clone, Copy, Debug)]
struct Reported {
    factor: f64,
    weight: u32,
    received_at: Timestamp,
}

/// Seconds per output token, averaged over the engines of a service.
#[derive(Clone, Copy, Debug, Default)]
struct TokenAverage {
    seconds: f64,
    count: u32,
}

impl TokenAverage {
    fn observe(&mut self, seconds: f64) {
        self.count = self.count.saturating_add(1);
        let weight = AVERAGE_WEIGHT.max(1.0 / f64::from(self.count));
        self.seconds += weight * (seconds - self.seconds);
    }
}

/// Factors of an engine of a service's average speed.
#[derive(Clone, Copy, Debug)]
struct Scales {
    prefill: f64,
    decode: f64,
}

impl Default for Scales {
    fn default() -> Self {
        Scales { prefill: 1.0, decode: 1.0 }
    }
}

impl Scales {
    fn at(&self, stage: Stage) -> f64 {
        match stage {
            Stage::Prefill => self.prefill,
            Stage::Decode => self.decode,
        }
    }
}

/// Speeds of engines as this gateway knows them.
#[derive(Clone, Debug, Default)]
pub struct EngineSpeeds {
    /// Prefill factors for services of which no server reported how long its work takes.
    own_factors: SpeedFactors,
    /// Services of which one did.
    enabled: BTreeSet<String>,
    own: HashMap<ServerId, OwnSpeeds>,
    averages: HashMap<String, TokenAverage>,
    /// By service.
    scales: HashMap<String, Scales>,
    /// By engine and work, then by the name of the peer.
    reported: HashMap<(u32, Stage), HashMap<String, Reported>>,
    /// Where the next report to other zones begins.
    zone_row: usize,
}

impl EngineSpeeds {
    /// Records that a server of this service reported how long its work takes now; true when it is
    /// the first one.
    pub fn enable(&mut self, service: &str) -> bool {
        !self.enabled.contains(service) && self.enabled.insert(service.to_owned())
    }

    /// Are speeds of this service's engines shared and planned with?
    pub fn is_enabled(&self, service: &str) -> bool {
        self.enabled.contains(service)
    }

    /// Sets how long prefill takes at an engine of the service's average speed, relative to the fixed
    /// time.
    pub fn set_prefill_scale(&mut self, service: &str, scale: f64) {
        if self.is_enabled(service) {
            self.scales.entry(service.to_owned()).or_default().prefill = scale.max(1e-3);
        }
    }

    /// Computes the average decode speed of a service's engines anew.
    pub fn update_decode_scale<'a>(
        &mut self,
        now: Timestamp,
        service: &str,
        engines: impl Iterator<Item = &'a Server>,
    ) {
        let known = engines.filter_map(|s| self.merged(now, &s.id, Stage::Decode));
        let (sum, count) = known.fold((0.0, 0), |(sum, n), speed| (sum + speed.factor, n + 1));
        if self.is_enabled(service) && count > 0 {
            let decode = sum / f64::from(count);
            self.scales.entry(service.to_owned()).or_default().decode = decode.max(1e-3);
        }
    }

    fn scales(&self, service: &str) -> Scales {
        self.scales.get(service).copied().unwrap_or_default()
    }

    /// Records that a prefill took `took` where a factor of 1.0 predicts `expected`, and what the
    /// answer reported of the VM. Returns the time that it would have taken without a momentary
    /// slowdown.
    pub fn observe_prefill(
        &mut self,
        now: Timestamp,
        service: &str,
        id: &ServerId,
        (took, expected): (Duration, Duration),
        slowness: Option<u32>,
    ) -> Duration {
        if !self.is_enabled(service) {
            self.own_factors.observe(id, took, expected);
            return took;
        }
        let scale = self.scales(service).prefill;
        let usual = expected.mul_f64(self.relative(now, service, id).factor(Stage::Prefill));
        let took = without_slowdown(took, slowness.unwrap_or(USUAL_SLOWNESS), usual);
        let observed = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let own = self.own_speeds(service, id);
        let estimate = own.prefill.get_or_insert_with(|| Estimate::new(now, scale));
        estimate.observe(now, observed, scale, SAMPLE_WEIGHT);
        took
    }

    /// Records the time that one output token took at an engine, in seconds.
    pub fn observe_token(&mut self, now: Timestamp, service: &str, id: &ServerId, seconds: f64) {
        if !self.is_enabled(service) {
            return;
        }
        let average = match self.averages.get_mut(service) {
            Some(average) => average,
            None => self.averages.entry(service.to_owned()).or_default(),
        };
        average.observe(seconds);
        let average = average.seconds.max(1e-9);
        let (observed, scale) = (seconds / average, average / TOKEN_SECONDS);
        let own = self.own_speeds(service, id);
        let estimate = own.decode.get_or_insert_with(|| Estimate::new(now, scale));
        // Weighted by time and not by number: an engine with many streams has hundreds of events
        // within a slowdown of half a second.
        let time = now.since(estimate.observed_at).min(EVENT_TIME_MAX);
        let observed_for = now.since(estimate.first_at).clamp(EVENT_TIME_MAX, DECODE_TIME);
        let weight = time.as_secs_f64() / observed_for.as_secs_f64();
        estimate.observe(now, observed, scale, weight);
    }

    fn own_speeds(&mut self, service: &str, id: &ServerId) -> &mut OwnSpeeds {
        let new = || OwnSpeeds { service: service.to_owned(), prefill: None, decode: None };
        self.own.entry(id.clone()).or_insert_with(new)
    }

    /// Returns the speed of an engine relative to its service's average.
    pub fn relative(&self, now: Timestamp, service: &str, id: &ServerId) -> EngineSpeed {
        let scales = self.scales(service);
        let at = |stage| {
            let speed = self.merged(now, id, stage)?;
            Some(Speed { factor: speed.factor / scales.at(stage), ..speed })
        };
        EngineSpeed { prefill: at(Stage::Prefill), decode: at(Stage::Decode) }
    }

    /// Returns the speed of an engine relative to the fixed times, merged from own and reported
    /// factors.
    pub fn speed(&self, now: Timestamp, id: &ServerId) -> EngineSpeed {
        let at = |stage| self.merged(now, id, stage);
        EngineSpeed { prefill: at(Stage::Prefill), decode: at(Stage::Decode) }
    }

    fn merged(&self, now: Timestamp, id: &ServerId, stage: Stage) -> Option<Speed> {
        let own = self.own.get(id).and_then(|own| own.at(stage)).map(|e| {
            let weight = if e.is_recent(now) { e.count.min(weight_max(stage)) } else { 1 };
            (e.factor, weight, now.since(e.observed_at))
        });
        let reported = self.reported.get(&(id.short_hash(), stage));
        let reported = reported.into_iter().flat_map(HashMap::values);
        let reported = reported
            .filter(|r| now.since(r.received_at) < FACTOR_LIFETIME)
            .map(|r| (r.factor, r.weight, now.since(r.received_at)));
        let (mut sum, mut weight, mut age) = (0.0, 0, Duration::MAX);
        for (factor, observations, since) in own.into_iter().chain(reported) {
            sum += factor * f64::from(observations);
            weight += observations;
            age = age.min(since);
        }
        (weight > 0).then(|| Speed { factor: sum / f64::from(weight), weight, age })
    }

    /// Returns the prefill factors for the choice among these engines of a service.
    pub fn prefill_factors<'a>(
        &self,
        now: Timestamp,
        service: &str,
        engines: impl Iterator<Item = &'a Server>,
    ) -> Cow<'_, SpeedFactors> {
        if !self.is_enabled(service) {
            return Cow::Borrowed(&self.own_factors);
        }
        let known = engines.filter_map(|s| {
            Some((s.id.clone(), self.relative(now, service, &s.id).prefill?.factor))
        });
        Cow::Owned(SpeedFactors { factors: known.collect() })
    }

    /// Returns the decode factors of engines of a service; none where they are not used.
    pub fn decode_factors<'a>(
        &self,
        now: Timestamp,
        service: &str,
        engines: impl Iterator<Item = &'a Server>,
    ) -> impl Iterator<Item = (ServerId, f64)> {
        let engines = engines.filter(|_| self.is_enabled(service));
        engines.filter_map(move |s| {
            Some((s.id.clone(), self.relative(now, service, &s.id).decode?.factor))
        })
    }

    /// Returns the speeds of engines of a service; `None` where they are not planned with.
    pub fn snapshot<'a>(
        &self,
        now: Timestamp,
        service: &str,
        engines: impl Iterator<Item = &'a Server>,
    ) -> Option<SpeedSnapshot> {
        let speeds = engines.map(|s| (s.id.clone(), self.relative(now, service, &s.id)));
        self.is_enabled(service).then(|| speeds.collect())
    }

    /// Forgets engines that are gone and reported factors that are no longer valid.
    pub fn expire(&mut self, now: Timestamp, alive: impl Fn(&ServerId) -> bool) {
        self.own_factors.retain(&alive);
        self.own.retain(|id, _| alive(id));
        self.reported.retain(|_, peers| {
            peers.retain(|_, r| now.since(r.received_at) < FACTOR_LIFETIME);
            !peers.is_empty()
        });
    }
}

/// Returns the time that a prefill would have taken on a VM that works as usual; `usual` is what the
/// engine takes by what is known. A slowdown explains only what took longer than that. Without this
/// bound an engine that reports a high figure would count as fast and get all prompts. A figure below
/// the usual one changes nothing.
fn without_slowdown(took: Duration, slowness: u32, usual: Duration) -> Duration {
    let slowdown = f64::from(slowness.max(USUAL_SLOWNESS)) / f64::from(USUAL_SLOWNESS);
    took.div_f64(slowdown).max(took.min(usual))
}
