//! Messages between the processes of the system.
//!
//! One enum a direction: an entry asks a sidecar in its role as home (records of keys) or as
//! executor (attempts), and the sidecar answers. All deadlines are moments.

use serde::{Deserialize, Serialize};

use crate::config::Class;
use crate::ids::{Attempt, Digest, Incarnation, Key, MemberId, Peer, Zone};
use crate::time::Moment;
use crate::verdict::Reason;

/// Version of the protocol between processes; links of another version are refused.
pub const PROTOCOL_VERSION: u16 = 1;
/// Largest frame on a link, in bytes.
pub const FRAME_LIMIT: usize = 4 << 20;

/// May the request run more than once?
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Running it again is harmless.
    Idempotent,
    /// It runs at most once.
    Once,
}

/// Work for a model engine.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Completion {
    /// Model name.
    pub model: String,
    /// The whole prompt.
    pub prompt: String,
    /// Output bound, in tokens.
    pub max_tokens: u32,
    /// Estimated prompt length, in tokens.
    pub prompt_tokens: u32,
}

/// Work for a plain service.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PlainCall {
    /// HTTP method.
    pub method: String,
    /// Path and query behind the service's own prefix.
    pub path: String,
    /// Content type of the body.
    pub mime: String,
    /// Body bytes.
    pub body: Vec<u8>,
}

/// What is to be done.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Work {
    /// A completion by a model engine.
    Completion(Completion),
    /// A call of a plain service.
    Plain(PlainCall),
}

impl Work {
    /// Gives the memory of the prompt or body back.
    pub fn clear(&mut self) {
        match self {
            Work::Completion(c) => c.prompt = String::new(),
            Work::Plain(p) => p.body = Vec::new(),
        }
    }

    /// Digest that tells one body from another under the same key.
    pub fn digest(&self) -> Digest {
        match self {
            Work::Completion(c) => {
                Digest::of(format!("{}\0{}\0{}", c.model, c.max_tokens, c.prompt).as_bytes())
            }
            Work::Plain(p) => {
                let mut bytes = format!("{}\0{}\0", p.method, p.path).into_bytes();
                bytes.extend_from_slice(&p.body);
                Digest::of(&bytes)
            }
        }
    }
}

/// Where an exported KV cache lies.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KvHandle {
    /// Address of the exporting engine.
    pub source: String,
    /// Its name for the blocks.
    pub blocks: String,
    /// Size, in bytes.
    pub bytes: u64,
    /// Prompt tokens computed (not found in the prefix cache).
    pub computed: u32,
    /// When the engine evicts it.
    pub evicted_at: Moment,
}

/// How an admitted attempt begins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Begin {
    /// As soon as a slot is free; the engine prefills by itself if it must.
    AtOnce,
    /// When its KV cache is ready: `Start` follows.
    AwaitKv,
}

/// A request to be admitted by an executor.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Admission {
    /// Number of the request at its entry; several may wait for one attempt.
    pub waiter: u64,
    /// The attempt that the home granted.
    pub attempt: Attempt,
    /// The life of the executor that it was granted for.
    pub life: Incarnation,
    /// Class of the work.
    pub class: Class,
    /// When the first byte is wanted; work that would get its slot later is refused.
    pub first_by: Moment,
    /// When an answer is of no use any more.
    pub deadline: Moment,
    /// May it run more than once?
    pub repeat: Repeat,
    /// How it begins.
    pub begin: Begin,
    /// The work.
    pub work: Work,
    /// Answer bytes that the caller holds already; the engine goes on behind them.
    pub prefix: String,
}

/// What an entry asks of a sidecar.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Ask {
    /// Home: record this key, or say what is recorded.
    Claim {
        key: Key,
        digest: Digest,
        repeat: Repeat,
        executor: Peer,
        epoch: u64,
    },
    /// Home: the attempt is sealed or superseded; grant another one at `executor`.
    Reassign {
        key: Key,
        attempt: Attempt,
        ended: Ended,
        executor: Peer,
    },
    /// Home: the attempt ended for good.
    Settle {
        key: Key,
        attempt: Attempt,
        ended: Ended,
    },
    /// Home: say what is recorded of this key; record nothing.
    Find { key: Key },
    /// Executor: admit this attempt.
    Admit(Admission),
    /// Executor: the KV cache is ready.
    Start { attempt: Attempt, kv: KvHandle },
    /// Executor: send the answer from `offset` on; `prefix` digests the bytes before it.
    Attach {
        attempt: Attempt,
        waiter: u64,
        life: Incarnation,
        offset: u64,
        prefix: u64,
    },
    /// Executor: this waiter's caller is gone.
    Detach {
        attempt: Attempt,
        waiter: u64,
        cancel: bool,
    },
    /// Executor: stop this attempt, whoever waits for it.
    Cancel { attempt: Attempt },
    /// Executor: never run this attempt, or say that it may have run.
    Revoke { attempt: Attempt },
    /// Prefill runner: compute and export.
    Prefill {
        attempt: Attempt,
        class: Class,
        start_at: Moment,
        deadline: Moment,
        work: Completion,
    },
    /// Prefill runner: the result is not wanted any more.
    Forget { attempt: Attempt },
}

/// How an attempt ended, as far as its entry knows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Ended {
    /// The whole answer lies at the executor.
    Done,
    /// It was sealed before it ran.
    Sealed,
    /// It may have run, and its executor is gone or failed.
    Lost,
}

/// What a home records of a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Recorded {
    /// Granted, not known to have ended.
    Open,
    /// Answer complete at the executor.
    Done,
    /// May have run; nobody can know.
    Lost,
    /// Ended without an answer after a run that may have taken place; the next claim is granted.
    /// Homes keep it to themselves.
    Vacant,
}

/// What a sidecar answers.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Answer {
    /// Home: run this attempt at the executor named.
    Granted { attempt: Attempt },
    /// Home: the key is recorded already.
    Existing {
        attempt: Attempt,
        executor: Peer,
        state: Recorded,
    },
    /// Home: not the owner of the slot now; `epoch` is the one in force here.
    NotOwner { epoch: u64 },
    /// Home: nothing is recorded of this key.
    Absent,
    /// Home: the record of keys this old is lost.
    Void,
    /// Home: the key was recorded with another body.
    Conflict,
    /// Home: settled. `clean` says that no attempt of the key may have run.
    Settled { clean: bool },
    /// Executor: admitted; a slot is free at about this moment.
    Admitted { slot_at: Moment },
    /// Executor or prefill runner: refused and sealed.
    Refused {
        reason: Reason,
        retry_at: Option<Moment>,
    },
    /// Executor: sealed; `ran` says that it may have run.
    Sealed { ran: bool },
    /// Executor: the attempt is of an earlier life of this process.
    OtherLife { life: Incarnation },
    /// Executor: the bytes before the offset are not the ones held here.
    PrefixDiffers,
    /// Executor: answer bytes from `offset` on.
    Chunk {
        attempt: Attempt,
        offset: u64,
        bytes: String,
    },
    /// Executor: the answer is complete and has `length` bytes.
    End {
        attempt: Attempt,
        length: u64,
        status: u16,
        mime: String,
    },
    /// Executor: the attempt ended without a whole answer.
    Failed {
        attempt: Attempt,
        reason: Reason,
        ran: bool,
    },
    /// Prefill runner: exported.
    Prefilled { kv: KvHandle },
}

/// Load of a backend server, as its sidecar sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Slots in use or promised.
    pub used: u32,
    /// Slots in all.
    pub slots: u32,
    /// Admitted and waiting.
    pub waiting: u32,
    /// When a new admission of slow work would get a slot.
    pub free_at: Moment,
    /// When one of urgent work would.
    pub urgent_at: Moment,
    /// Prefill work queued, in tokens.
    pub backlog: u64,
    /// Prefixes lately cached, by digest of their head.
    pub heads: Vec<u64>,
    /// True when the process takes no new work.
    pub leaving: bool,
}

/// A frame on a link between two processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Frame {
    /// Acceptor's first frame.
    Challenge { version: u16, nonce: [u8; 16] },
    /// Dialer's first frame; `mac` covers the acceptor's nonce and the dialer's names.
    Hello {
        version: u16,
        peer: Peer,
        zone: Zone,
        nonce: [u8; 16],
        mac: Vec<u8>,
    },
    /// Acceptor's proof; the link is open.
    Welcome { peer: Peer, mac: Vec<u8> },
    /// Liveness probe; renews the session's lease.
    Ping { seq: u64 },
    /// Answer to a probe, with the load if the peer does not know it.
    Pong { seq: u64, load: Option<LoadReport> },
    /// A question.
    Ask { id: u64, ask: Ask },
    /// An answer to the question `id`; several for a stream.
    Answer { id: u64, answer: Answer },
    /// Control traffic; an answer carries the id of its question.
    Control { id: u64, body: Control },
}

/// Control traffic on a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Control {
    /// Ask for the parts of a configuration revision that differ from those held.
    Pull { have: Vec<Digest>, revision: u64 },
    /// Configuration bodies: the manifest and the parts that were missing, as JSON text.
    Parts {
        manifest: String,
        parts: Vec<String>,
    },
    /// Ask for the revision in force.
    AskRevision,
    /// The revision and placement epoch in force.
    RevisionIs { revision: u64, epoch: u64 },
    /// Ask for all members known.
    PullMembers,
    /// All members known.
    MembersAre(Vec<crate::members::Card>),
    /// Ask for the placement in force.
    PullPlacement,
    /// The placement in force.
    PlacementIs(Box<crate::placement::Placement>),
    /// Ask for the ledger records of these slots (new home to old home).
    TakeOver { epoch: u64, slots: Vec<u16> },
    /// Ledger records of the slots, and the release of them.
    HandOver {
        epoch: u64,
        slots: Vec<u16>,
        records: Vec<crate::ledger::Record>,
    },
    /// An order for the engine beside the sidecar.
    Order(crate::orders::Order),
    /// How the order went.
    Ordered(crate::orders::OrderResult),
    /// Ask what runs here.
    List { limit: u32 },
    /// What runs here.
    Listed { rows: Vec<Row> },
    /// Tell the process to leave gracefully.
    Drain { by: MemberId },
    /// It was understood.
    Ok,
    /// It can't be answered here.
    Unfit,
}

/// One running request, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Attempt.
    pub attempt: String,
    /// Class.
    pub class: Class,
    /// State word.
    pub state: String,
    /// Answer bytes so far.
    pub length: u64,
    /// Deadline.
    pub deadline: Moment,
}
