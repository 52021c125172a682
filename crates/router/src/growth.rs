//! How much memory an answer will need beyond its prompt.
//!
//! Answers the load of engines whose memory holds some seven answers: the memory that one takes grows
//! while it is written, its final length is not known, and an engine that runs out throws a whole
//! prompt away and has it read again. Counted is what the answer has now and what it will add within
//! the next seconds, in which others end.

/// Median length of an answer, as a part of the longest that its caller allows; measured over 2,096
/// answers of a day: 708 of 2,040 tokens.
pub const MEDIAN_PART: f64 = 0.35;
/// Weight of a caller's estimate against that median, both as logarithms: the lengths have a
/// standard deviation of 0.6, the estimates' errors one of 0.5 (measured over the same answers).
pub const HINT_WEIGHT: f64 = 0.59;
/// How far above the expected median an answer is counted: nine in ten end below it.
pub const UPPER: f64 = 1.6;
/// Tokens that are counted ahead of those made: what an answer adds in about two
/// seconds, half of the time that the others on the engine stay on average.
pub const HORIZON: f64 = 500.0;
/// Tokens counted ahead of an answer that is longer than was expected.
pub const OVERRUN: f64 = 400.0;

/// What is expected of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Growth {
    upper: f64,
    most: f64,
}

impl Growth {
    /// An answer of at most `most` tokens; `hint` is the caller's estimate.
    pub fn expect(most: u64, hint: Option<u64>) -> Self {
        let most = most as f64;
        let usual = (most * MEDIAN_PART).max(1.0);
        let median = match hint {
            Some(hint) => {
                let hint = (hint as f64).clamp(1.0, most.max(1.0));
                (hint.ln() * HINT_WEIGHT + usual.ln() * (1.0 - HINT_WEIGHT)).exp()
            }
            None => usual,
        };
        Growth { upper: median * UPPER, most }
    }

    /// Tokens to count beyond the prompt when `made` were made.
    pub fn tokens(&self, made: u64) -> u64 {
        let made = made as f64;
        let end = self.upper.max(made + OVERRUN);
        end.min(made + HORIZON).min(self.most).max(made) as u64
    }
}
