//! Forecast of the memory that answers will take at an engine over their next tokens.
//!
//! An engine's memory holds only a dozen answers of unknown length. An engine that runs out
//! discards an answer's memory and processes its prompt again, which costs as much as the answer is
//! worth, while reserving for the longest answers leads to as many refusals. So admission compares
//! an engine's memory with the expected use at a few points ahead, leaving out the answers that
//! will have ended by then. The points are counted in tokens, because all answers of an engine
//! advance at the same speed.

use serde::{Deserialize, Serialize};

use crate::varint;

/// Points of a forecast, in tokens that each answer generates from now. They double, since the end
/// of an answer is less certain the farther off it is, and reach from the age of a load report to
/// the length of the longest answers seen.
pub const POINTS: [u64; 6] = [0, 256, 512, 1_024, 2_048, 4_096];
/// Index of the last point for which memory is reserved when an answer begins.
pub const RESERVED_POINT: usize = 2;
/// Standard deviations kept free above the expected use. With 2.0, 13 in 100 requests with
/// short answers are preempted instead of 4; with 3.0, 4 in 100 with long answers fewer are served.
pub const MARGIN_SIGMAS: f64 = 2.4;
/// Standard deviations kept free for the most urgent requests where no engine has the usual margin.
/// If the forecast fails, the engine preempts a less urgent request.
pub const URGENT_MARGIN_SIGMAS: f64 = 1.0;
/// Memory is rounded to this many tokens when encoded: two blocks of an engine's memory.
const ENCODED_UNIT: u64 = 32;
/// Unit of the encoded variance in tokens squared; keeps the encoding short.
const VARIANCE_UNIT: f64 = 4_096.0;

/// Steps between the first two points at which the use is interpolated: 16 tokens, about an event.
const SOON_STEPS: u64 = 16;

/// Expected memory use in tokens at each point of `POINTS`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "[[u64; POINTS.len()]; 2]", into = "[[u64; POINTS.len()]; 2]")]
pub struct MemoryForecast {
    /// Expected use at each point.
    mean: [u64; POINTS.len()],
    /// Variance at each point, in units of 4,096 tokens squared.
    variance: [u64; POINTS.len()],
}

impl From<[[u64; POINTS.len()]; 2]> for MemoryForecast {
    fn from([mean, variance]: [[u64; POINTS.len()]; 2]) -> Self {
        MemoryForecast { mean, variance }
    }
}

impl From<MemoryForecast> for [[u64; POINTS.len()]; 2] {
    fn from(p: MemoryForecast) -> Self {
        [p.mean, p.variance]
    }
}

impl MemoryForecast {
    /// Encodes in few bytes: memory rounded to 32 tokens, each point as the difference from the one
    /// before, and standard deviations in place of variances.
    pub(crate) fn encode(&self, out: &mut Vec<u8>) {
        let mut before = 0;
        for mean in self.mean {
            let units = (mean + ENCODED_UNIT / 2) / ENCODED_UNIT;
            varint::write_signed(out, units as i64 - before as i64);
            before = units;
        }
        for variance in self.variance {
            varint::write_unsigned(out, (variance as f64).sqrt().round() as u64);
        }
    }

    /// Decodes what `encode` wrote.
    pub(crate) fn decode(bytes: &mut &[u8]) -> Option<MemoryForecast> {
        let mut profile = MemoryForecast::default();
        let mut units = 0_i64;
        for mean in &mut profile.mean {
            units = units.checked_add(varint::read_signed(bytes)?)?;
            *mean = u64::try_from(units).ok()?.checked_mul(ENCODED_UNIT)?;
        }
        for variance in &mut profile.variance {
            *variance = varint::read_unsigned(bytes)?.checked_pow(2)?;
        }
        Some(profile)
    }

    /// Returns a forecast of constant use.
    pub const fn constant(tokens: u64) -> Self {
        MemoryForecast { mean: [tokens; POINTS.len()], variance: [0; POINTS.len()] }
    }

    /// Returns the forecast of an answer that uses `size(n)` tokens and has not ended with
    /// probability `survival(n)` at the point `n`.
    pub fn from_survival(size: impl Fn(u64) -> f64, survival: impl Fn(u64) -> f64) -> Self {
        let mut profile = MemoryForecast::default();
        for (i, ahead) in POINTS.into_iter().enumerate() {
            let (size, survival) = (size(ahead), survival(ahead));
            profile.mean[i] = (size * survival) as u64;
            profile.variance[i] =
                (size * size * survival * (1.0 - survival) / VARIANCE_UNIT) as u64;
        }
        profile
    }

    /// Returns the use now.
    pub fn now(&self) -> u64 {
        self.mean[0]
    }

    /// Returns the memory to reserve for an answer that begins.
    pub fn reserved(&self) -> u64 {
        self.mean[..=RESERVED_POINT].iter().copied().max().unwrap_or(0)
    }

    /// Returns the highest expected use at any point.
    pub fn peak(&self) -> u64 {
        self.mean.iter().copied().max().unwrap_or(0)
    }

    /// Returns the least room left of `memory` at any point, with `margin` standard deviations kept
    /// free; negative when memory is expected to run out.
    pub fn free_tokens(&self, memory: u64, margin: f64) -> i64 {
        let room = |(mean, variance): (&u64, &u64)| {
            let margin_tokens = (*variance as f64 * VARIANCE_UNIT).sqrt() * margin;
            memory as i64 - *mean as i64 - margin_tokens as i64
        };
        self.mean.iter().zip(&self.variance).map(room).min().unwrap_or(0)
    }

    /// Returns the least room left of `memory` at any time until the first point ahead, with
    /// `margin` standard deviations kept free. Between the points the use is interpolated: when many
    /// answers are expected to end by then, memory may run out before they do.
    pub fn free_tokens_soon(&self, memory: u64, margin: f64) -> i64 {
        let between = |[a, b]: [u64; 2], x: f64| a as f64 + (b as f64 - a as f64) * x;
        let room = |step: u64| {
            let x = step as f64 / SOON_STEPS as f64;
            let mean = between([self.mean[0], self.mean[1]], x);
            let variance = between([self.variance[0], self.variance[1]], x) * VARIANCE_UNIT;
            memory as i64 - mean as i64 - (variance.sqrt() * margin) as i64
        };
        (0..=SOON_STEPS).map(room).min().unwrap_or(0)
    }

    /// Returns the sum of both forecasts.
    pub fn plus(self, other: MemoryForecast) -> MemoryForecast {
        self.combine(other, |a, b| a + b)
    }

    /// Returns this forecast without the other.
    pub fn minus(self, other: MemoryForecast) -> MemoryForecast {
        self.combine(other, u64::saturating_sub)
    }

    fn combine(self, other: MemoryForecast, join: impl Fn(u64, u64) -> u64) -> MemoryForecast {
        let combined = |a: [u64; POINTS.len()], b: [u64; POINTS.len()]| {
            std::array::from_fn(|i| join(a[i], b[i]))
        };
        MemoryForecast {
            mean: combined(self.mean, other.mean),
            variance: combined(self.variance, other.variance),
        }
    }
}
