//! How long answers become, learned by route, and what one is expected to take and to give.
//!
//! Answers the load of customers whose answers differ: one writes 864 tokens to prompts of 3,200,
//! another 4,544 to 5,200. What the longest allowed output and the caller's estimate say of the length
//! is learned from answers that ended. With the expectations of the first customer the engines of the
//! second ran out of memory some 60 times a day.

use serde::{Deserialize, Serialize};

use crate::forecast::Profile;

/// Logarithm of an answer's length as a part of the longest that its caller allows: first guess, the
/// mean and standard deviation over 2,096 answers of a day (708 of 2,040 tokens at the median).
const FIRST_PART: Moments = Moments::guess(-1.05, 0.6);
/// Logarithm of a caller's estimate by the length: first guess, over the same answers.
const FIRST_ERROR: Moments = Moments::guess(0.0, 0.5);
/// Answers that the first guess counts for.
const FIRST_WEIGHT: f64 = 8.0;
/// Least weight of a new answer: the last hundred count, some forty seconds of one gateway.
const NEW_WEIGHT: f64 = 0.01;
/// Least standard deviation, for answers that are all alike.
const SIGMA_MIN: f64 = 0.05;
/// Least probability that is divided by: an answer beyond all that were seen is taken to end soon.
const TAIL: f64 = 1e-9;

/// Worth of a written token against one of the prompt, as the users weigh requests.
pub const TOKEN_WORTH: f64 = 10.0;
/// Part of a request's worth that does not depend on its size.
pub const FIXED_WORTH: f64 = 0.3;

/// Mean and variance, learned.
#[derive(Clone, Copy, Debug)]
struct Moments {
    mean: f64,
    var: f64,
    seen: f64,
}

impl Moments {
    const fn guess(mean: f64, sigma: f64) -> Self {
        Moments { mean, var: sigma * sigma, seen: FIRST_WEIGHT }
    }

    fn observe(&mut self, value: f64) {
        self.seen += 1.0;
        let weight = (1.0 / self.seen).max(NEW_WEIGHT);
        let off = value - self.mean;
        self.mean += weight * off;
        self.var += weight * (off * off * (1.0 - weight) - self.var);
    }
}

/// Lengths of the answers of one route.
#[derive(Clone, Copy, Debug)]
pub struct Lengths {
    part: Moments,
    error: Moments,
}

impl Default for Lengths {
    fn default() -> Self {
        Lengths { part: FIRST_PART, error: FIRST_ERROR }
    }
}

impl Lengths {
    /// An answer of at most `most` tokens ended whole with `made`; `hint` was its caller's estimate.
    pub fn observe(&mut self, most: u64, hint: Option<u64>, made: u64) {
        if most == 0 || made == 0 {
            return;
        }
        self.part.observe((made as f64 / most as f64).ln());
        if let Some(hint) = hint {
            self.error.observe((hint.max(1) as f64 / made as f64).ln());
        }
    }

    /// What is expected of an answer of at most `most` tokens; `hint` is the caller's estimate.
    pub fn expect(&self, most: u64, hint: Option<u64>) -> Growth {
        let most = most.max(1) as f64;
        let (mut mean, mut var) = (most.ln() + self.part.mean, self.part.var);
        if let Some(hint) = hint {
            // Both are normal; the surer one counts more.
            let told = (hint.max(1) as f64).ln() - self.error.mean;
            let weight = var / (var + self.error.var).max(f64::MIN_POSITIVE);
            mean += weight * (told - mean);
            var *= 1.0 - weight;
        }
        Growth { mean: mean.min(most.ln()), sigma: var.sqrt().max(SIGMA_MIN), most }
    }
}

/// What is expected of one answer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Growth {
    /// Mean of the length's logarithm.
    mean: f64,
    /// Standard deviation of it.
    sigma: f64,
    most: f64,
}

impl Growth {
    /// Memory of the answer at the moments ahead, when it has `made` tokens.
    pub fn profile(&self, prompt: u64, made: u64) -> Profile {
        let (prompt, made) = (prompt as f64, made as f64);
        let there = self.longer(made).max(TAIL);
        Profile::expect(
            |ahead| prompt + (made + ahead as f64).min(self.most.max(made)),
            |ahead| match ahead {
                0 => 1.0,
                _ => (self.longer(made + ahead as f64) / there).min(1.0),
            },
        )
    }

    /// Mean length.
    pub fn length(&self) -> f64 {
        (self.mean + self.sigma * self.sigma / 2.0).exp().clamp(1.0, self.most)
    }

    /// Memory times time that it is expected to take, in tokens squared.
    pub fn cost(&self, prompt: u64) -> f64 {
        let length = self.length();
        (prompt as f64 + length / 2.0) * length
    }

    /// Its size, as the users weigh requests.
    pub fn size(&self, prompt: u64) -> f64 {
        prompt as f64 + TOKEN_WORTH * self.length()
    }

    /// The probability that it becomes longer than this.
    fn longer(&self, tokens: f64) -> f64 {
        if tokens >= self.most {
            return 0.0;
        }
        if tokens < 1.0 {
            return 1.0;
        }
        above((tokens.ln() - self.mean) / self.sigma)
    }
}

/// What a service's usual request costs and is worth, learned from those that come.
#[derive(Clone, Copy, Debug)]
pub struct Usual {
    cost: f64,
    size: f64,
    seen: f64,
}

impl Default for Usual {
    /// Until requests were seen: 3,200 prompt tokens and an answer of 864.
    fn default() -> Self {
        Usual { cost: 3_632.0 * 864.0, size: 3_200.0 + TOKEN_WORTH * 864.0, seen: FIRST_WEIGHT }
    }
}

impl Usual {
    /// A request came.
    pub fn observe(&mut self, growth: &Growth, prompt: u64) {
        self.seen += 1.0;
        let weight = (1.0 / self.seen).max(NEW_WEIGHT);
        self.cost += weight * (growth.cost(prompt) - self.cost);
        self.size += weight * (growth.size(prompt) - self.size);
    }

    /// What a request gives for the memory that it is expected to take, against the usual one: an
    /// answer of twice the length keeps more memory for twice the time, and is worth less than twice
    /// as much to its caller.
    pub fn gives(&self, growth: &Growth, prompt: u64) -> f64 {
        let worth = FIXED_WORTH + (1.0 - FIXED_WORTH) * growth.size(prompt) / self.size.max(1.0);
        worth * self.cost / growth.cost(prompt).max(1.0)
    }
}

/// The probability that a normal value lies above `x` standard deviations; a rational approximation
/// that is right to seven places (Abramowitz and Stegun, 26.2.17).
fn above(x: f64) -> f64 {
    const POWERS: [f64; 5] = [0.319381530, -0.356563782, 1.781477937, -1.821255978, 1.330274429];
    let t = 1.0 / (1.0 + 0.2316419 * x.abs());
    let sum = POWERS.iter().rev().fold(0.0, |sum, p| (sum + p) * t);
    let tail = (-x * x / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt() * sum;
    if x >= 0.0 { tail } else { 1.0 - tail }
}
