//! Learns how fast the engines of a service process prompts.
//!
//! Engines differ between customers: one type processes 33,333 tokens a second with an overhead of
//! 32 ms, another 55,556 with 3 ms. With the wrong figures, requests are refused that could be in
//! time, and engines are divided wrongly between the stages. Only prompts sent to engines that were
//! known to be idle count: load reports of a queue arrive late, when most of it is already
//! processed, which made the rate a third too high. Time over tokens is fitted by quantile
//! regression, which unknown queues and single slow engines hardly affect.

use std::collections::VecDeque;
use std::time::Duration;

use crate::engine_load::EngineLoad;

/// Initial guess of the rate, in prompt tokens a second.
pub const INITIAL_RATE: f64 = 33_333.0;
/// Initial guess of the overhead: the first step and the network both ways.
pub const INITIAL_OVERHEAD: Duration = Duration::from_millis(30);
/// Samples kept: some thirty seconds of one gateway, so that a change shows within fifteen.
const SAMPLES_MAX: usize = 32;
/// Prompt lengths at which the initial guess counts as a sample, so that the first samples don't
/// fit noise. A far too high rate (134,000 tokens a second) keeps all engines busy, and only prompts
/// sent to idle engines count, so it is never corrected.
const GUESS_LENGTHS: [f64; 6] = [1_000.0, 1_800.0, 2_600.0, 3_800.0, 5_400.0, 8_000.0];
/// Real samples that replace one of these: after 24, some twelve seconds, none is left.
const SAMPLES_PER_GUESS: usize = 4;
/// Samples before anything is learned.
pub const SAMPLES_MIN: usize = 6;
/// Two prompts whose lengths differ by less than this fraction of their mean say little about the
/// slope.
const LENGTH_GAP_MIN: f64 = 0.1;
/// Fraction of samples taken to be undisturbed: this many lie below the fitted line.
const QUANTILE: f64 = 0.25;
/// Accepted rates in tokens a second; rejects lines through noise.
const RATE_RANGE: (f64, f64) = (1_000.0, 1_000_000.0);

#[derive(Clone, Copy, Debug)]
struct Sample {
    tokens: f64,
    seconds: f64,
}

/// Prefill speed of one service's engines.
#[derive(Clone, Debug)]
pub struct PrefillSpeed {
    samples: VecDeque<Sample>,
    rate: f64,
    overhead: f64,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        PrefillSpeed {
            samples: VecDeque::new(),
            rate: INITIAL_RATE,
            overhead: INITIAL_OVERHEAD.as_secs_f64(),
        }
    }
}

impl PrefillSpeed {
    /// Returns the prompt tokens that one otherwise idle engine processes in a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the time per prompt that does not depend on its length.
    pub fn overhead(&self) -> Duration {
        Duration::from_secs_f64(self.overhead)
    }

    /// Returns how long an engine with this load takes until it has processed a prompt.
    pub fn time(&self, load: EngineLoad, prompt: u64) -> Duration {
        Duration::from_secs_f64((load.unread + prompt) as f64 / self.rate + self.overhead)
    }

    /// Records that prefill took `took`; `load` is the engine's load known when the prompt was
    /// sent.
    pub fn observe(&mut self, load: EngineLoad, prompt: u64, took: Duration) {
        if load.reads > 0 {
            return;
        }
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { tokens: prompt as f64, seconds: took.as_secs_f64() });
        if self.samples.len() >= SAMPLES_MIN && self.lengths_differ() {
            self.fit();
        }
    }

    /// Do the prompt lengths differ? Equal ones say nothing about the rate.
    fn lengths_differ(&self) -> bool {
        let tokens = self.samples.iter().map(|s| s.tokens);
        let (least, most) =
            tokens.fold((f64::MAX, 0.0_f64), |(least, most), t| (least.min(t), most.max(t)));
        most > least * (1.0 + LENGTH_GAP_MIN)
    }

    fn fit(&mut self) {
        let guess = |tokens: f64| Sample {
            tokens,
            seconds: tokens / INITIAL_RATE + INITIAL_OVERHEAD.as_secs_f64(),
        };
        let replaced = self.samples.len() / SAMPLES_PER_GUESS;
        let guessed = GUESS_LENGTHS.iter().skip(replaced).map(|tokens| guess(*tokens));
        let all: Vec<Sample> = self.samples.iter().copied().chain(guessed).collect();
        let lines = all
            .iter()
            .enumerate()
            .flat_map(|(i, a)| all[i + 1..].iter().filter_map(|b| Line::through(*a, *b)));
        let total_loss = |line: &Line| all.iter().map(|s| line.loss(*s)).sum::<f64>();
        let best = lines.map(|line| (total_loss(&line), line)).min_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, line)) = best {
            self.rate = 1.0 / line.slope;
            self.overhead = line.overhead;
        }
    }
}

/// Prefill time as a linear function of the prompt length.
#[derive(Clone, Copy, Debug)]
struct Line {
    slope: f64,
    overhead: f64,
}

impl Line {
    /// Returns the line through two samples, unless their lengths are too close or no engine can
    /// have this speed.
    fn through(a: Sample, b: Sample) -> Option<Line> {
        let difference = b.tokens - a.tokens;
        if difference.abs() <= LENGTH_GAP_MIN * (a.tokens + b.tokens) / 2.0 {
            return None;
        }
        let slope = (b.seconds - a.seconds) / difference;
        let overhead = a.seconds - slope * a.tokens;
        let rates = 1.0 / RATE_RANGE.1..=1.0 / RATE_RANGE.0;
        (rates.contains(&slope) && overhead >= 0.0).then_some(Line { slope, overhead })
    }

    /// Quantile loss of one sample; the line with the smallest sum has a quarter of the samples
    /// below it, and passes through two of them.
    fn loss(&self, s: Sample) -> f64 {
        let above = s.seconds - (self.overhead + self.slope * s.tokens);
        if above > 0.0 { above * QUANTILE } else { -above * (1.0 - QUANTILE) }
    }
}
