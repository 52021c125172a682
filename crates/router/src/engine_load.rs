//! Load at one engine, as gateways count it and report it to each other.

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::forecast::MemoryForecast;
use crate::varint;

/// Load at one engine, encoded in few bytes because traffic between availability zones is
/// expensive.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "EncodedLoad", into = "EncodedLoad")]
pub struct EngineLoad {
    /// Forecast of the memory reserved and in use.
    pub memory: MemoryForecast,
    /// Requests.
    pub count: u32,
    /// Prompt tokens sent for prefill and not processed yet.
    pub unread: u64,
    /// Prompts sent for prefill and not processed yet.
    pub reads: u32,
    /// Those of the unread tokens that belong to prompts that the engine processes before others.
    pub unread_urgent: u64,
}

/// Tokens of prompts that an engine processes at once, before it turns to a more urgent prompt.
const CHUNK_TOKENS: u64 = 2_048;

/// Tokens of a prompt sent for prefill.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Its tokens.
    pub tokens: u64,
    /// Whether the engine processes it before prompts of the least urgent level.
    pub urgent: bool,
}

impl From<u64> for Prompt {
    /// Returns a prompt of the least urgent level.
    fn from(tokens: u64) -> Self {
        Prompt { tokens, urgent: false }
    }
}

#[serde_as]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
struct EncodedLoad(#[serde_as(as = "serde_with::Bytes")] Vec<u8>);

impl From<EngineLoad> for EncodedLoad {
    fn from(w: EngineLoad) -> Self {
        let mut out = Vec::with_capacity(ENCODED_USUAL);
        varint::write_unsigned(&mut out, w.count.into());
        varint::write_unsigned(&mut out, w.unread);
        varint::write_unsigned(&mut out, w.reads.into());
        w.memory.encode(&mut out);
        // Last, and only where there are urgency levels: older gateways ignore what follows.
        if w.unread_urgent > 0 {
            varint::write_unsigned(&mut out, w.unread_urgent);
        }
        EncodedLoad(out)
    }
}

impl TryFrom<EncodedLoad> for EngineLoad {
    type Error = &'static str;

    fn try_from(EncodedLoad(bytes): EncodedLoad) -> Result<Self, Self::Error> {
        EngineLoad::decode(&mut &bytes[..]).ok_or("truncated engine load")
    }
}

impl EngineLoad {
    fn decode(bytes: &mut &[u8]) -> Option<EngineLoad> {
        let count = varint::read_unsigned(bytes)?.try_into().ok()?;
        let unread = varint::read_unsigned(bytes)?;
        let reads = varint::read_unsigned(bytes)?.try_into().ok()?;
        let memory = MemoryForecast::decode(bytes)?;
        let unread_urgent = if bytes.is_empty() { 0 } else { varint::read_unsigned(bytes)? };
        Some(EngineLoad { memory, count, unread, reads, unread_urgent })
    }

    /// Returns the load that delays an urgent prompt, or another one: for an urgent one the urgent
    /// tokens, and a chunk of others that is in progress.
    pub fn delaying(self, urgent: bool) -> EngineLoad {
        match urgent {
            true => {
                let unread = self.unread.min(self.unread_urgent + CHUNK_TOKENS);
                EngineLoad { unread, ..self }
            }
            false => self,
        }
    }

    /// Returns the sum of both loads.
    pub fn plus(self, other: EngineLoad) -> EngineLoad {
        EngineLoad {
            memory: self.memory.plus(other.memory),
            count: self.count + other.count,
            unread: self.unread + other.unread,
            reads: self.reads + other.reads,
            unread_urgent: self.unread_urgent + other.unread_urgent,
        }
    }
}

/// Usual encoded size of the load at one engine, in bytes.
const ENCODED_USUAL: usize = 24;
