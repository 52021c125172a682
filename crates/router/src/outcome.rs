//! Outcome of one attempt at a backend server, and whether another attempt may follow.

use std::time::Duration;

use ebonyloft_core::verdict::Verdict;

use crate::limits::Limit;

/// Slowness of a VM on which work takes as long as usual, in percent.
pub const USUAL_SLOWNESS: u32 = 100;

/// Load that a backend server reports with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests in progress.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// How long work takes on its VM at this moment, in percent of the usual time; `None` if it does
    /// not state that.
    pub slowness: Option<u32>,
}

/// Head of a backend server's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// It has the backend server's signature.
    pub signed: bool,
    /// The backend server states that it did not run the request.
    pub not_run: bool,
    /// Another incarnation of a backend server has the address.
    pub moved: bool,
    /// Load, if reported.
    pub load: Option<Load>,
    /// The body has a content encoding that was not requested.
    pub encoded: bool,
    /// Name of the incarnation that answered, if stated.
    pub instance: Option<String>,
    /// The backend server announces that it leaves.
    pub leaving: bool,
    /// The backend server asks this gateway to back off.
    pub back_off: Option<BackOff>,
    /// Rate limit that the backend server states for all gateways.
    pub limit: Option<Limit>,
}

/// How long a backend server asks the gateway to back off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackOff {
    /// For this time from the answer on.
    For(Duration),
    /// The stated time could not be parsed.
    Unreadable,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// No byte of it reached a backend server.
    Unsent,
    /// The backend server states that it did not run the request.
    Rejected,
    /// Another incarnation of a backend server has the address; the request did not run.
    Moved,
    /// Answered completely, with this status.
    Answered(u16),
    /// Sent without a complete answer: it may have run.
    Lost,
    /// Another exchange's answer came in place of its own: it may have run. The moment of that answer
    /// says nothing about the backend server.
    Mismatched,
}

impl AttemptOutcome {
    /// Whether the request may have run in this attempt.
    pub fn verdict(self) -> Verdict {
        match self {
            AttemptOutcome::Unsent | AttemptOutcome::Rejected | AttemptOutcome::Moved => {
                Verdict::NotRun
            }
            AttemptOutcome::Answered(_) | AttemptOutcome::Lost | AttemptOutcome::Mismatched => {
                Verdict::MayHaveRun
            }
        }
    }

    /// Whether it was sent and got no complete answer of its own.
    pub fn is_lost(self) -> bool {
        matches!(self, AttemptOutcome::Lost | AttemptOutcome::Mismatched)
    }

    /// Outcome according to the head of the attempt's answer.
    pub fn from_reply(reply: &Reply) -> AttemptOutcome {
        match reply {
            Reply { moved: true, .. } => AttemptOutcome::Moved,
            Reply { not_run: true, .. } => AttemptOutcome::Rejected,
            Reply { signed: false, status, .. } if *status < 300 => AttemptOutcome::Lost,
            Reply { encoded: true, .. } => AttemptOutcome::Lost,
            Reply { status, .. } => AttemptOutcome::Answered(*status),
        }
    }

    /// Whether the backend server failed: no answer, or a 5xx status.
    pub fn failed(self) -> bool {
        match self {
            AttemptOutcome::Answered(status) => status >= 500,
            AttemptOutcome::Lost | AttemptOutcome::Mismatched => true,
            AttemptOutcome::Unsent | AttemptOutcome::Rejected | AttemptOutcome::Moved => false,
        }
    }
}

/// State of a request over all its attempts.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// It may run more than once.
    pub repeatable: bool,
    /// Backend servers on which it may have run.
    pub runs: u32,
    /// Highest number of backend servers on which it may run.
    pub runs_max: u32,
    /// Attempts that were rejected or not sent.
    pub rejections: u32,
    /// An attempt is in flight.
    pub in_flight: bool,
}

/// Attempts that may be rejected or stay unsent before the request is refused. Each rejection costs retry
/// budget, and after three full servers in a row the others are assumed to be full too.
pub const REJECTIONS_MAX: u32 = 3;

impl Progress {
    /// State of a request that was not sent yet.
    pub fn new(repeatable: bool, runs_max: u32) -> Self {
        Progress { repeatable, runs: 0, runs_max, rejections: 0, in_flight: false }
    }

    /// Starts an attempt; until its outcome is recorded the request may be running.
    pub fn begin(&mut self) {
        self.in_flight = true;
    }

    /// Records the outcome of the attempt.
    pub fn record(&mut self, outcome: AttemptOutcome) {
        self.in_flight = false;
        match outcome.verdict() {
            Verdict::NotRun => self.rejections += 1,
            Verdict::MayHaveRun => self.runs += 1,
        }
    }

    /// Whether it may be sent to another backend server.
    pub fn may_send(&self) -> bool {
        let runs = if self.repeatable { self.runs_max } else { 1 };
        self.runs < runs && self.rejections < REJECTIONS_MAX
    }

    /// Whether it may have run in any attempt.
    pub fn verdict(&self) -> Verdict {
        match (self.runs, self.in_flight) {
            (0, false) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}
