//! What may be said about a request that gave no answer.

use serde::{Deserialize, Serialize};

use crate::time::Moment;

/// Whether any submission of a request's key may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It did not run and never will under this key's earlier submissions.
    NotRun,
    /// It may have run; only the same key is safe to send again.
    MayHaveRun,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The answer changed since the caller's last byte; joining would splice two.
    AnswerChanged,
    /// The caller cancelled it.
    Cancelled,
    /// The deadline passes before an answer can be had.
    Deadline,
    /// The key came with another body before.
    KeyReused,
    /// The process is leaving.
    Leaving,
    /// The caller's account or label is over its limit.
    Limit,
    /// The key's home can't be asked at present.
    NoHome,
    /// Nothing is recorded of the key.
    NoRecord,
    /// No backend server of the pool is usable.
    NoServer,
    /// Stopped because nobody waited any more; it may be run again.
    Orphaned,
    /// All backend servers are full for too long.
    Overload,
    /// The record of this key is lost; an earlier submission may have run.
    RecordLost,
    /// No answer came and the request can't be repeated safely.
    Unknown,
    /// The backend server failed.
    Upstream,
}

impl Reason {
    /// Fixed text of the reason, for problem documents.
    pub fn title(self) -> &'static str {
        match self {
            Reason::AnswerChanged => {
                "the answer was produced anew and differs from the part you hold"
            }
            Reason::Cancelled => "the request was cancelled",
            Reason::Deadline => "the deadline cannot be met",
            Reason::KeyReused => "the key was used before with another body",
            Reason::Leaving => "this process is leaving",
            Reason::Limit => "the account or label is over its limit",
            Reason::NoHome => "the record of this key cannot be reached at present",
            Reason::NoRecord => "nothing is recorded of this key",
            Reason::Orphaned => "the request was stopped because nobody waited for it",
            Reason::NoServer => "no backend server of the pool is usable",
            Reason::Overload => "the pool is full",
            Reason::RecordLost => "the record of this key was lost with its holder",
            Reason::Unknown => "the outcome is not known",
            Reason::Upstream => "the backend server failed",
        }
    }
}

/// A request's final refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Whether any submission of the key may have run.
    pub verdict: Verdict,
    /// Whether this submission may have run.
    pub submission: Verdict,
    /// Why.
    pub reason: Reason,
    /// When it is worth coming back.
    pub retry_at: Option<Moment>,
}

impl Refusal {
    /// A refusal before anything was sent: this submission did not run.
    /// `first` says that no earlier submission of the key exists.
    pub fn unsent(reason: Reason, first: bool, retry_at: Option<Moment>) -> Self {
        let verdict = if first {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        Refusal {
            verdict,
            submission: Verdict::NotRun,
            reason,
            retry_at,
        }
    }

    /// A refusal after which nobody can know.
    pub fn unknown(reason: Reason) -> Self {
        Refusal {
            verdict: Verdict::MayHaveRun,
            submission: Verdict::MayHaveRun,
            reason,
            retry_at: None,
        }
    }
}
