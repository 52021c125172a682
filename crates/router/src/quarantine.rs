//! Requests under which backend servers end.
//!
//! A request that ends whichever server runs it comes again, under another id and at any gateway. What it did
//! therefore stays with its content, and is told to all gateways: an ending is a fact (this content, this
//! life of a server), so that all of them count the same whoever saw it, and none counts twice. A content
//! under which several servers ended is refused everywhere until a deadline.
//!
//! A server that ends takes all its requests along. One of them that had run for a while says little; what
//! had only just begun is suspected, tried again by one gateway at a time, and cleared by one whole answer.

use std::collections::HashMap;
use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::catalog::ServerId;
use crate::content::Content;
use crate::drift::mix;

/// Points at which a content is refused: three servers that ended as soon as they ran it, or five that ended
/// later.
pub const PROOF: u32 = 5;
/// Points of a server that ended as soon as it ran the content.
const EARLY_POINTS: u32 = 2;
/// Points of a server that ended while it ran the content.
const LATE_POINTS: u32 = 1;
/// How long an ending counts: longer than callers repeat, shorter than it takes to forget a busy day.
pub const SUSPECT_LIFE: Duration = Duration::from_secs(600);
/// How long a proved content is refused; by then an operator has looked at it or nobody sends it.
pub const PROVED_LIFE: Duration = Duration::from_secs(3_600);
/// How long a suspected content is tried by one gateway alone, if nothing is heard of the end.
pub const TRIAL_LIFE: Duration = Duration::from_millis(3_000);
/// How long a content is held back for a loss that is being looked into.
pub const INQUIRY_LIFE: Duration = Duration::from_millis(600);
/// Contents kept that are not proved; with an ending or two each they take under two megabytes.
pub const SUSPECTS_MAX: usize = 8_192;
/// Proved contents kept; a flood of suspects does not push them out.
pub const PROVED_MAX: usize = 4_096;
/// How long a whole answer speaks for a content: what many callers ask for is there whenever a server ends.
pub const SOUND_LIFE: Duration = Duration::from_secs(10);
/// Contents kept that were answered whole lately: more than one gateway serves in that time.
const SOUND_MAX: usize = 16_384;
/// Rows between two looks at their numbers.
const LOOK_ROWS: usize = 512;
/// Trials and inquiries kept of one content: more are not made at a time.
const HOLDS_MAX: usize = 16;
/// Endings kept of one content; more prove nothing more.
const ENDINGS_MAX: usize = PROOF as usize;

/// A server that ended under a content.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ending {
    /// The life that ended.
    pub server: ServerId,
    /// It had only just begun to run the content.
    pub early: bool,
    /// When the run was lost.
    pub at: Timestamp,
}

/// What gateways tell each other of a content.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Word {
    /// The content.
    #[serde(rename = "c")]
    pub content: Content,
    /// Milliseconds since what is told.
    #[serde(rename = "a")]
    pub age: u64,
    /// What is told.
    #[serde(rename = "f")]
    pub fact: Fact,
}

/// What happened to a content.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Fact {
    /// A run broke off as soon as it had begun; why is being looked into, by this number.
    #[serde(rename = "l")]
    Lost(u64),
    /// A suspected content is being tried, by this number.
    #[serde(rename = "t")]
    Trying(u64),
    /// The trial or the inquiry of this number is over.
    #[serde(rename = "o")]
    Over(u64),
    /// A server ended under it; whether it had only just begun.
    #[serde(rename = "e")]
    Ended(ServerId, bool),
    /// It was answered whole.
    #[serde(rename = "s")]
    Served,
    /// It is proved.
    #[serde(rename = "p")]
    Proved,
    /// An operator lets it in again.
    #[serde(rename = "r")]
    Released,
}

/// How a request with some content is treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// As any other.
    Free,
    /// It is tried, by nobody else meanwhile.
    Suspect,
    /// It is being tried or looked into until then at the latest.
    Held(Timestamp),
    /// It is refused until then.
    Proved(Timestamp),
}

/// What a fact changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that matters for a decision.
    Nothing,
    /// The content is suspected, or more than before.
    Suspected,
    /// The content is proved.
    Proved,
    /// The content is neither any more.
    Cleared,
}

#[derive(Clone, Debug, Default)]
struct Row {
    endings: Vec<Ending>,
    proved_at: Option<Timestamp>,
    /// Endings up to then don't count: it was answered whole.
    served_at: Timestamp,
    /// Neither endings nor proofs up to then count: an operator let it in.
    released_at: Timestamp,
    /// Trials and inquiries, by their numbers, and until when each counts at the latest.
    holds: Vec<(u64, Timestamp)>,
}

impl Row {
    fn points(&self) -> u32 {
        let points = |e: &Ending| if e.early { EARLY_POINTS } else { LATE_POINTS };
        self.endings.iter().map(points).sum()
    }

    fn held_until(&self) -> Timestamp {
        self.holds.iter().map(|(_, until)| *until).max().unwrap_or_default()
    }

    fn is_watched(&self) -> bool {
        self.endings.iter().any(|e| e.early)
    }

    /// Until when it matters at all.
    fn ends_at(&self) -> Timestamp {
        let proof = self.proved_at.map_or(Timestamp::default(), |at| at.after(PROVED_LIFE));
        let endings = self.endings.iter().map(|e| e.at.after(SUSPECT_LIFE)).max();
        let cleared = self.served_at.max(self.released_at);
        // A clearing must outlive the endings that others may still tell.
        let cleared =
            if cleared > Timestamp::default() { cleared.after(SUSPECT_LIFE) } else { cleared };
        proof.max(endings.unwrap_or_default()).max(cleared).max(self.held_until())
    }

    fn standing(&self, now: Timestamp) -> Standing {
        if let Some(at) = self.proved_at
            && at.after(PROVED_LIFE) > now
        {
            return Standing::Proved(at.after(PROVED_LIFE));
        }
        if self.held_until() > now {
            return Standing::Held(self.held_until());
        }
        if self.is_watched() { Standing::Suspect } else { Standing::Free }
    }
}

/// All contents of which something is known.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    rows: HashMap<Content, Row>,
    /// Contents that were answered whole here, and when.
    sound: HashMap<Content, Timestamp>,
    /// Rows at which their numbers are looked at again.
    look_at: usize,
}

impl Quarantine {
    /// How a request is treated.
    pub fn standing(&self, now: Timestamp, content: &Content) -> Standing {
        self.rows.get(content).map_or(Standing::Free, |row| row.standing(now))
    }

    /// Servers that are known to have ended under a content.
    pub fn endings(&self, content: &Content) -> &[Ending] {
        self.rows.get(content).map_or(&[], |row| &row.endings)
    }

    /// Would one more server that ends at once prove a content? Then it is worth being kept by others too.
    pub fn is_close(&self, content: &Content) -> bool {
        let close = |row: &Row| row.proved_at.is_none() && row.points() + EARLY_POINTS >= PROOF;
        self.rows.get(content).is_some_and(close)
    }

    /// Is anything known of a content?
    pub fn is_known(&self, content: &Content) -> bool {
        self.rows.contains_key(content)
    }

    /// A content was answered whole here; true when others should hear of it.
    pub fn served_here(&mut self, now: Timestamp, content: Content) -> bool {
        if self.sound.len() >= SOUND_MAX {
            self.sound.retain(|_, at| at.after(SOUND_LIFE) > now);
        }
        if self.sound.len() >= SOUND_MAX {
            self.sound.clear();
        }
        self.sound.insert(content, now);
        self.is_known(&content)
    }

    /// Was a content answered whole here shortly before a moment, or since?
    pub fn is_sound(&self, at: Timestamp, content: &Content) -> bool {
        self.sound.get(content).is_some_and(|served| served.after(SOUND_LIFE) > at)
    }

    /// Takes what happened here, or what a peer tells.
    pub fn take(&mut self, now: Timestamp, word: &Word) -> Change {
        let (content, at) = (word.content, now.before(Duration::from_millis(word.age)));
        match &word.fact {
            Fact::Lost(number) => self.hold(now, content, *number, at.after(INQUIRY_LIFE)),
            Fact::Trying(number) => self.hold(now, content, *number, at.after(TRIAL_LIFE)),
            Fact::Over(number) => self.let_go(now, content, *number),
            Fact::Ended(server, early) => {
                let ending = Ending { server: server.clone(), early: *early, at };
                return self.ended(now, content, ending);
            }
            Fact::Served => return self.served(content, at),
            Fact::Proved => return self.proved(now, content, at),
            Fact::Released => return self.released(content, at),
        }
        Change::Nothing
    }

    fn hold(&mut self, now: Timestamp, content: Content, number: u64, until: Timestamp) {
        let row = self.rows.entry(content).or_default();
        row.holds.retain(|(_, until)| *until > now);
        if row.holds.len() < HOLDS_MAX && row.holds.iter().all(|(n, _)| *n != number) {
            row.holds.push((number, until));
        }
        self.bound();
    }

    /// Only its own hold: others may still be looked into.
    fn let_go(&mut self, now: Timestamp, content: Content, number: u64) {
        let Some(row) = self.rows.get_mut(&content) else {
            return;
        };
        row.holds.retain(|(n, until)| *n != number && *until > now);
    }

    fn ended(&mut self, now: Timestamp, content: Content, ending: Ending) -> Change {
        if ending.at.after(SUSPECT_LIFE) <= now {
            return Change::Nothing;
        }
        let row = self.rows.entry(content).or_default();
        let known = row.endings.iter().any(|e| e.server == ending.server);
        let void = ending.at <= row.served_at.max(row.released_at);
        if known || void || row.endings.len() >= ENDINGS_MAX {
            return Change::Nothing;
        }
        row.endings.push(ending);
        let proved = row.proved_at.is_none() && row.points() >= PROOF;
        if proved {
            row.proved_at = row.endings.iter().map(|e| e.at).max();
        }
        let change = if proved { Change::Proved } else { Change::Suspected };
        self.bound();
        change
    }

    /// One that is proved stays so: the answer may have begun before.
    fn served(&mut self, content: Content, at: Timestamp) -> Change {
        let Some(row) = self.rows.get_mut(&content).filter(|row| row.proved_at.is_none()) else {
            return Change::Nothing;
        };
        let before = row.endings.len();
        row.served_at = row.served_at.max(at);
        row.endings.retain(|e| e.at > at);
        row.holds.clear();
        if row.endings.len() < before { Change::Cleared } else { Change::Nothing }
    }

    fn proved(&mut self, now: Timestamp, content: Content, at: Timestamp) -> Change {
        if at.after(PROVED_LIFE) <= now {
            return Change::Nothing;
        }
        let row = self.rows.entry(content).or_default();
        if at <= row.released_at || row.proved_at.is_some_and(|before| before >= at) {
            return Change::Nothing;
        }
        let change = if row.proved_at.is_none() { Change::Proved } else { Change::Nothing };
        row.proved_at = Some(at);
        self.bound();
        change
    }

    fn released(&mut self, content: Content, at: Timestamp) -> Change {
        let row = self.rows.entry(content).or_default();
        if at <= row.released_at {
            return Change::Nothing;
        }
        row.released_at = at;
        row.endings.retain(|e| e.at > at);
        row.holds.clear();
        row.proved_at = row.proved_at.filter(|proved| *proved > at);
        if row.proved_at.is_none() { Change::Cleared } else { Change::Nothing }
    }

    /// Everything that a peer should know, for one that knows something else.
    pub fn table(&self, now: Timestamp) -> Vec<Word> {
        let mut words = Vec::new();
        for (content, row) in &self.rows {
            let mut tell = |at: Timestamp, fact| {
                let age = now.since(at).as_millis() as u64;
                words.push(Word { content: *content, age, fact });
            };
            // What voids goes first.
            if row.released_at > Timestamp::default() {
                tell(row.released_at, Fact::Released);
            }
            if row.served_at > Timestamp::default() {
                tell(row.served_at, Fact::Served);
            }
            for e in &row.endings {
                tell(e.at, Fact::Ended(e.server.clone(), e.early));
            }
            if let Some(at) = row.proved_at {
                tell(at, Fact::Proved);
            }
        }
        words
    }

    /// A sum over all that is known, zero when nothing is: gateways with the same sum know the same.
    pub fn sum(&self) -> u64 {
        self.rows.iter().map(|(content, row)| row_sum(content, row)).fold(0, |a, b| a ^ b)
    }

    /// Contents that are suspected, and that are proved.
    pub fn counts(&self) -> (usize, usize) {
        let proved = self.rows.values().filter(|r| r.proved_at.is_some()).count();
        let suspect = self.rows.values().filter(|r| r.proved_at.is_none() && r.is_watched());
        (suspect.count(), proved)
    }

    /// Forgets what does not matter any more; the proved ones among it.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Content> {
        let over = |row: &Row| row.ends_at() <= now;
        let proved = |(content, row): (&Content, &Row)| {
            (over(row) && row.proved_at.is_some()).then_some(*content)
        };
        let forgotten = self.rows.iter().filter_map(proved).collect();
        self.rows.retain(|_, row| !over(row));
        for row in self.rows.values_mut() {
            row.endings.retain(|e| e.at.after(SUSPECT_LIFE) > now);
        }
        forgotten
    }

    /// Keeps both kinds within their numbers; the least and the oldest go first. This is a walk over
    /// everything, so it is made once in many rows, and makes room for as many.
    fn bound(&mut self) {
        if self.rows.len() < self.look_at.max(LOOK_ROWS) {
            return;
        }
        for (proved, most) in [(false, SUSPECTS_MAX), (true, PROVED_MAX)] {
            let mut rows: Vec<(u32, Timestamp, Content)> = self
                .rows
                .iter()
                .filter(|(_, row)| row.proved_at.is_some() == proved)
                .map(|(content, row)| (row.points(), row.ends_at(), *content))
                .collect();
            if rows.len() + LOOK_ROWS <= most {
                continue;
            }
            let over = (rows.len() + 2 * LOOK_ROWS - most).min(rows.len());
            rows.select_nth_unstable(over - 1);
            rows[..over].iter().for_each(|(.., content)| drop(self.rows.remove(content)));
        }
        self.look_at = self.rows.len() + LOOK_ROWS;
    }
}

fn row_sum(content: &Content, row: &Row) -> u64 {
    let own = mix(content.0 ^ content.1);
    if row.proved_at.is_some() {
        // Which of many endings each one keeps does not matter any more.
        return mix(own);
    }
    let ending = |e: &Ending| mix(own ^ e.server.number());
    row.endings.iter().map(ending).fold(0, |a, b| a ^ b)
}
