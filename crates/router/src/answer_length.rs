//! Learns the answer lengths of each route, and predicts the length, memory cost and value of an
//! answer.
//!
//! Answer lengths differ between customers: one has answers of 864 tokens to prompts of 3,200,
//! another of 4,544 to 5,200. How the length relates to the highest allowed output and to the
//! caller's estimate is learned from ended answers. With the figures of the first customer, the
//! engines of the second ran out of memory some 60 times a day.

use serde::{Deserialize, Serialize};

use crate::forecast::MemoryForecast;

/// Logarithm of the answer length divided by the highest allowed output: initial guess of the mean
/// and standard deviation (median answer 708 of 2,040 tokens).
const INITIAL_RATIO: RunningStats = RunningStats::initial(-1.05, 0.6);
/// Logarithm of the caller's estimate divided by the answer length: initial guess of the
/// mean and standard deviation.
const INITIAL_HINT_ERROR: RunningStats = RunningStats::initial(0.0, 0.5);
/// Number of answers that the initial guess counts for.
const INITIAL_WEIGHT: f64 = 8.0;
/// Lowest weight of a new answer: about the last hundred count, some forty seconds of one gateway.
const SAMPLE_WEIGHT_MIN: f64 = 0.01;
/// Lowest standard deviation, for routes whose answers all have the same length.
const SIGMA_MIN: f64 = 0.05;
/// Lowest probability used as a divisor: an answer longer than all before is expected to end soon.
const TAIL_MIN: f64 = 1e-9;

/// Value of an output token relative to a prompt token, as users weigh requests.
pub const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;
/// Fraction of a request's value that does not depend on its size.
pub const FIXED_VALUE: f64 = 0.3;

/// Running mean and variance, with exponential forgetting.
#[derive(Clone, Copy, Debug)]
struct RunningStats {
    mean: f64,
    var: f64,
    count: f64,
}

impl RunningStats {
    const fn initial(mean: f64, sigma: f64) -> Self {
        RunningStats { mean, var: sigma * sigma, count: INITIAL_WEIGHT }
    }

    fn observe(&mut self, value: f64) {
        self.count += 1.0;
        let weight = (1.0 / self.count).max(SAMPLE_WEIGHT_MIN);
        let deviation = value - self.mean;
        self.mean += weight * deviation;
        self.var += weight * (deviation * deviation * (1.0 - weight) - self.var);
    }
}

/// Statistics of the answer lengths of one route.
#[derive(Clone, Copy, Debug)]
pub struct AnswerLengths {
    ratio: RunningStats,
    hint_error: RunningStats,
}

impl Default for AnswerLengths {
    fn default() -> Self {
        AnswerLengths { ratio: INITIAL_RATIO, hint_error: INITIAL_HINT_ERROR }
    }
}

impl AnswerLengths {
    /// Records a complete answer of `generated` tokens that could have had `max_tokens`; `hint` is
    /// the caller's estimate.
    pub fn observe(&mut self, max_tokens: u64, hint: Option<u64>, generated: u64) {
        if max_tokens == 0 || generated == 0 {
            return;
        }
        self.ratio.observe((generated as f64 / max_tokens as f64).ln());
        if let Some(hint) = hint {
            self.hint_error.observe((hint.max(1) as f64 / generated as f64).ln());
        }
    }

    /// Predicts the length of an answer of at most `max_tokens` tokens; `hint` is the caller's
    /// estimate.
    pub fn expect(&self, max_tokens: u64, hint: Option<u64>) -> LengthForecast {
        let most = max_tokens.max(1) as f64;
        let (mut mean, mut var) = (most.ln() + self.ratio.mean, self.ratio.var);
        if let Some(hint) = hint {
            // Combines two normal distributions; the one with the smaller variance weighs more.
            let hinted = (hint.max(1) as f64).ln() - self.hint_error.mean;
            let weight = var / (var + self.hint_error.var).max(f64::MIN_POSITIVE);
            mean += weight * (hinted - mean);
            var *= 1.0 - weight;
        }
        LengthForecast { mean: mean.min(most.ln()), sigma: var.sqrt().max(SIGMA_MIN), most }
    }
}

/// Predicted length of one answer, as a log-normal distribution.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LengthForecast {
    /// Mean of the logarithm of the length.
    mean: f64,
    /// Standard deviation of the logarithm of the length.
    sigma: f64,
    /// Highest allowed length.
    most: f64,
}

impl LengthForecast {
    /// Forecasts the memory of the answer once it has `generated` tokens.
    pub fn memory_forecast(&self, prompt: u64, generated: u64) -> MemoryForecast {
        let (prompt, generated) = (prompt as f64, generated as f64);
        let alive = self.survival(generated).max(TAIL_MIN);
        MemoryForecast::from_survival(
            |ahead| prompt + (generated + ahead as f64).min(self.most.max(generated)),
            |ahead| match ahead {
                0 => 1.0,
                _ => (self.survival(generated + ahead as f64) / alive).min(1.0),
            },
        )
    }

    /// Returns the mean length.
    pub fn length(&self) -> f64 {
        (self.mean + self.sigma * self.sigma / 2.0).exp().clamp(1.0, self.most)
    }

    /// Returns the expected memory use over time, in tokens squared.
    pub fn cost(&self, prompt: u64) -> f64 {
        let length = self.length();
        (prompt as f64 + length / 2.0) * length
    }

    /// Returns the size of the request as users weigh it: prompt tokens and weighted output tokens.
    pub fn size(&self, prompt: u64) -> f64 {
        prompt as f64 + OUTPUT_TOKEN_WEIGHT * self.length()
    }

    /// Returns the probability that the answer becomes longer than this.
    fn survival(&self, tokens: f64) -> f64 {
        if tokens >= self.most {
            return 0.0;
        }
        if tokens < 1.0 {
            return 1.0;
        }
        normal_tail((tokens.ln() - self.mean) / self.sigma)
    }
}

/// Average cost and size of a service's requests, learned from those that arrive.
#[derive(Clone, Copy, Debug)]
pub struct TypicalRequest {
    cost: f64,
    size: f64,
    count: f64,
}

impl Default for TypicalRequest {
    /// Initial guess: 3,200 prompt tokens and an answer of 864.
    fn default() -> Self {
        TypicalRequest {
            cost: 3_632.0 * 864.0,
            size: 3_200.0 + OUTPUT_TOKEN_WEIGHT * 864.0,
            count: INITIAL_WEIGHT,
        }
    }
}

impl TypicalRequest {
    /// Records a request that arrived.
    pub fn observe(&mut self, forecast: &LengthForecast, prompt: u64) {
        self.count += 1.0;
        let weight = (1.0 / self.count).max(SAMPLE_WEIGHT_MIN);
        self.cost += weight * (forecast.cost(prompt) - self.cost);
        self.size += weight * (forecast.size(prompt) - self.size);
    }

    /// Returns a request's value for the memory that it is expected to take, relative to the
    /// average request. An answer of twice the length takes more memory for twice the time, but is
    /// worth less than twice as much to its caller.
    pub fn value(&self, forecast: &LengthForecast, prompt: u64) -> f64 {
        let value = FIXED_VALUE + (1.0 - FIXED_VALUE) * forecast.size(prompt) / self.size.max(1.0);
        value * self.cost / forecast.cost(prompt).max(1.0)
    }
}

/// Returns the probability that a standard normal variable exceeds `x`, by a rational approximation
/// that is accurate to seven places (Abramowitz and Stegun, 26.2.17).
fn normal_tail(x: f64) -> f64 {
    const POWERS: [f64; 5] = [0.319381530, -0.356563782, 1.781477937, -1.821255978, 1.330274429];
    let t = 1.0 / (1.0 + 0.2316419 * x.abs());
    let sum = POWERS.iter().rev().fold(0.0, |sum, p| (sum + p) * t);
    let tail = (-x * x / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt() * sum;
    if x >= 0.0 { tail } else { 1.0 - tail }
}
