//! Answers whose joins can be checked.
//!
//! A token names its place, the run that wrote it, and a chain value over all tokens before it. A
//! run that goes on behind bytes it was given continues their chain, so an answer joined from runs
//! that did not know of each other is told from a whole one.

use xxhash_rust::xxh3::xxh3_64;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flaw {
    /// Tokens are missing at the end.
    Short,
    /// More tokens than were asked for.
    Long,
    /// A token is not in its place.
    Order,
    /// Two runs were joined that did not know of each other.
    Splice,
}

const MASK: u64 = 0xff_ffff;

/// The chain before the first token.
pub fn seed(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes()) & MASK
}

fn next(chain: u64, run: u64, place: u32) -> u64 {
    let mut bytes = [0_u8; 20];
    bytes[..8].copy_from_slice(&chain.to_le_bytes());
    bytes[8..16].copy_from_slice(&run.to_le_bytes());
    bytes[16..].copy_from_slice(&place.to_le_bytes());
    xxh3_64(&bytes) & MASK
}

/// Writes tokens.
#[derive(Clone, Copy, Debug)]
pub struct Writer {
    chain: u64,
    run: u64,
    place: u32,
}

impl Writer {
    /// A writer of `run` that goes on behind `held`.
    pub fn new(prompt: &str, held: &str, run: u64) -> Self {
        let last = held.split_ascii_whitespace().last().and_then(parse);
        let (place, chain) = match last {
            Some((place, _, chain)) => (place + 1, chain),
            None => (0, seed(prompt)),
        };
        Writer {
            chain,
            run: run & MASK,
            place,
        }
    }

    /// The place of the next token.
    pub fn place(&self) -> u32 {
        self.place
    }

    /// The next token.
    pub fn write(&mut self) -> String {
        self.chain = next(self.chain, self.run, self.place);
        let text = format!("{}.{:x}.{:x} ", self.place, self.run, self.chain);
        self.place += 1;
        text
    }
}

fn parse(token: &str) -> Option<(u32, u64, u64)> {
    let mut parts = token.split('.');
    let place = parts.next()?.parse().ok()?;
    let run = u64::from_str_radix(parts.next()?, 16).ok()?;
    let chain = u64::from_str_radix(parts.next()?, 16).ok()?;
    Some((place, run, chain))
}

/// Is this the whole answer of `count` tokens?
pub fn check(prompt: &str, text: &str, count: u32) -> Result<(), Flaw> {
    let mut chain = seed(prompt);
    let mut place = 0;
    for token in text.split_ascii_whitespace() {
        let (at, run, told) = parse(token).ok_or(Flaw::Order)?;
        if at != place {
            return Err(Flaw::Order);
        }
        chain = next(chain, run, place);
        if chain != told {
            return Err(Flaw::Splice);
        }
        place += 1;
    }
    match place.cmp(&count) {
        std::cmp::Ordering::Less => Err(Flaw::Short),
        std::cmp::Ordering::Equal => Ok(()),
        std::cmp::Ordering::Greater => Err(Flaw::Long),
    }
}
