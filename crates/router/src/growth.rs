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

/// Mean length of an answer by its expected median: lengths around it have a standard deviation of
/// 0.55 of their logarithm (measured over the same answers).
pub const MEAN_PART: f64 = 1.16;
/// Memory times time of a usual request, in tokens squared: 3,200 prompt tokens and an answer of 864.
pub const USUAL_COST: f64 = 3_632.0 * 864.0;
/// Worth of a written token against one of the prompt, as the users weigh requests.
pub const TOKEN_WORTH: f64 = 10.0;
/// Size of a usual request by that weight.
pub const USUAL_SIZE: f64 = 3_200.0 + TOKEN_WORTH * 864.0;
/// Part of a request's worth that does not depend on its size.
pub const FIXED_WORTH: f64 = 0.3;

/// What is expected of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Growth {
    median: f64,
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
        Growth { median, most }
    }

    /// Tokens to count beyond the prompt when `made` were made.
    pub fn tokens(&self, made: u64) -> u64 {
        let made = made as f64;
        let end = (self.median * UPPER).max(made + OVERRUN);
        end.min(made + HORIZON).min(self.most).max(made) as u64
    }

    /// What a request with this prompt gives for the memory that it is expected to take, against the
    /// usual one: an answer of twice the length keeps more memory for twice the time, and is worth
    /// less than twice as much to its caller.
    pub fn return_on(&self, prompt: u64) -> f64 {
        let length = (self.median * MEAN_PART).min(self.most).max(1.0);
        let cost = (prompt as f64 + length / 2.0) * length / USUAL_COST;
        let size = (prompt as f64 + TOKEN_WORTH * length) / USUAL_SIZE;
        (FIXED_WORTH + (1.0 - FIXED_WORTH) * size) / cost
    }
}
