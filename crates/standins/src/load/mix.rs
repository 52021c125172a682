//! What the two deployments send.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::site::SiteSpec;

/// Characters of a prompt taken for a token.
pub const TOKEN_CHARS: usize = 4;

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Shape {
    /// A call of a plain service.
    Plain,
    /// A completion: prompt tokens shared by all, own prompt tokens, output tokens.
    Completion {
        shared: usize,
        own: usize,
        tokens: u32,
    },
}

/// A kind of work.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its label.
    pub name: &'static str,
    /// Share of the requests.
    pub share: f64,
    /// May wait, must complete.
    pub slow: bool,
    /// It runs at most once.
    pub once: bool,
    /// What it asks for.
    pub shape: Shape,
    /// Target for the first byte.
    pub first: Duration,
    /// Target between tokens.
    pub token: Duration,
    /// When its answer is of no use any more.
    pub deadline: Duration,
}

/// Kinds of work and their shares.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Name.
    pub name: &'static str,
    /// The kinds.
    pub kinds: Vec<Kind>,
}

fn check(name: &'static str, share: f64) -> Kind {
    Kind {
        name,
        share,
        slow: false,
        once: true,
        shape: Shape::Plain,
        first: Duration::from_millis(500),
        token: Duration::from_millis(500),
        deadline: Duration::from_millis(1_500),
    }
}

fn lookup(name: &'static str, share: f64) -> Kind {
    Kind {
        name,
        share,
        slow: false,
        once: false,
        shape: Shape::Completion {
            shared: 0,
            own: 60,
            tokens: 16,
        },
        first: Duration::from_millis(350),
        token: Duration::from_millis(32),
        deadline: Duration::from_millis(2_000),
    }
}

fn summary(share: f64, shared: usize, own: usize, tokens: u32) -> Kind {
    Kind {
        name: "summary",
        share,
        slow: true,
        once: false,
        shape: Shape::Completion {
            shared,
            own,
            tokens,
        },
        first: Duration::from_millis(3_000),
        token: Duration::from_millis(32),
        deadline: Duration::from_secs(30),
    }
}

impl Mix {
    /// Trinacria: gate checks, queue slots, short summaries.
    pub fn trinacria() -> Mix {
        let kinds = vec![
            check("badge-check", 0.45),
            lookup("queue-slot", 0.30),
            summary(0.25, 0, 1_500, 100),
        ];
        Mix {
            name: "trinacria",
            kinds,
        }
    }

    /// Licencia Feria: permit checks, stall maps, renewals, summaries of long files with a
    /// preamble that all share.
    pub fn feria() -> Mix {
        let renewal = Kind {
            slow: true,
            first: Duration::from_secs(2),
            deadline: Duration::from_secs(10),
            ..check("renewal", 0.05)
        };
        let kinds = vec![
            check("permit-check", 0.40),
            lookup("stall-map", 0.25),
            renewal,
            summary(0.30, 2_000, 3_000, 120),
        ];
        Mix {
            name: "feria",
            kinds,
        }
    }

    /// The mix of this name.
    pub fn named(name: &str) -> Option<Mix> {
        match name {
            "trinacria" => Some(Mix::trinacria()),
            "feria" => Some(Mix::feria()),
            _ => None,
        }
    }

    /// Draws a kind.
    pub fn pick(&self, rng: &mut ChaCha8Rng) -> &Kind {
        let mut left = rng.random_range(0.0..1.0);
        for kind in &self.kinds {
            left -= kind.share;
            if left < 0.0 {
                return kind;
            }
        }
        &self.kinds[0]
    }

    /// Requests a second that fill all decode slots of a site.
    pub fn capacity(&self, site: &SiteSpec) -> f64 {
        let token = site.engine.token.as_secs_f64();
        let held: f64 = self
            .kinds
            .iter()
            .map(|k| match k.shape {
                Shape::Plain => 0.0,
                Shape::Completion { tokens, .. } => k.share * f64::from(tokens) * token,
            })
            .sum();
        (site.decode * site.engine.slots) as f64 / held
    }
}

/// A prompt of this many tokens; the shared part comes first.
pub fn prompt(shared: usize, own: usize, number: u64) -> String {
    const PREAMBLE: &str = "the council of the city decides on every stall in its streets ";
    let mut text = String::with_capacity((shared + own) * TOKEN_CHARS);
    while text.len() < shared * TOKEN_CHARS {
        text.push_str(PREAMBLE);
    }
    text.truncate(shared * TOKEN_CHARS);
    let end = (shared + own) * TOKEN_CHARS;
    while text.len() < end {
        text.push_str(&format!("file {number} says that its page has a line; "));
    }
    text.truncate(end);
    text
}
