//! This gateway's load at each engine, and its back-offs from engines.

use std::collections::{BTreeMap, HashMap};

use ebonyloft_core::time::Timestamp;

use super::{
    COMPLETIONS_MAX, EngineAdmission, EngineState, FAULT_BACKOFF, FULL_BACKOFF, REJECT_BACKOFF,
    REJECT_DOUBLINGS,
};
use crate::catalog::ServerId;
use crate::engine_load::{EngineLoad, Prompt};
use crate::forecast::MemoryForecast;

impl EngineAdmission {
    /// Records that an engine reserved memory for a request.
    pub fn on_reserved(&mut self, id: &ServerId, memory: MemoryForecast) {
        let record = self.records.entry(id.clone()).or_default();
        record.load.memory = record.load.memory.plus(memory);
        record.load.count += 1;
    }

    /// Replaces the memory forecast of an answer at an engine.
    pub fn update_forecast(
        &mut self,
        id: &ServerId,
        before: MemoryForecast,
        after: MemoryForecast,
    ) {
        if let Some(record) = self.records.get_mut(id) {
            record.load.memory = record.load.memory.minus(before).plus(after);
        }
    }

    /// Releases the memory of an answer; `completed` when the answer ended there.
    pub fn on_released(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        memory: MemoryForecast,
        completed: bool,
    ) {
        if let Some(record) = self.records.get_mut(id) {
            record.load.memory = record.load.memory.minus(memory);
            record.load.count = record.load.count.saturating_sub(1);
            record.full_until = record.full_until.min(now);
        }
        if completed {
            self.completions.push_back(now);
            while self.completions.len() > COMPLETIONS_MAX {
                self.completions.pop_front();
            }
        }
    }

    /// Records that a prompt was sent to an engine for prefill.
    pub fn on_prefill_sent(&mut self, id: &ServerId, prompt: impl Into<Prompt>) {
        let Prompt { tokens, urgent } = prompt.into();
        let load = &mut self.records.entry(id.clone()).or_default().load;
        load.unread += tokens;
        load.unread_urgent += if urgent { tokens } else { 0 };
        load.reads += 1;
    }

    /// Records that an engine finished prefill of a prompt, or will not do it.
    pub fn on_prefill_ended(&mut self, id: &ServerId, prompt: impl Into<Prompt>) {
        let Prompt { tokens, urgent } = prompt.into();
        if let Some(record) = self.records.get_mut(id) {
            record.load.unread = record.load.unread.saturating_sub(tokens);
            let urgent_tokens = if urgent { tokens } else { 0 };
            record.load.unread_urgent = record.load.unread_urgent.saturating_sub(urgent_tokens);
            record.load.reads = record.load.reads.saturating_sub(1);
        }
    }

    /// Records that an engine refused a reservation.
    pub fn on_full(&mut self, now: Timestamp, id: &ServerId) {
        self.records.entry(id.clone()).or_default().full_until = now.after(FULL_BACKOFF);
    }

    /// Records that an engine rejected a request that had a reservation.
    pub fn rejected(&mut self, now: Timestamp, id: &ServerId) {
        let record = self.records.entry(id.clone()).or_default();
        let backoff = REJECT_BACKOFF * 2_u32.pow(record.rejects.min(REJECT_DOUBLINGS));
        record.rejects += 1;
        record.fault_until = record.fault_until.max(now.after(backoff));
    }

    /// Records that an engine accepted a request.
    pub fn on_accepted(&mut self, id: &ServerId) {
        if let Some(record) = self.records.get_mut(id) {
            record.rejects = 0;
        }
    }

    /// Backs off from an engine until the given time.
    pub fn back_off(&mut self, id: &ServerId, until: Timestamp) {
        let record = self.records.entry(id.clone()).or_default();
        record.fault_until = record.fault_until.max(until);
    }

    /// Records that an engine could not be reached or failed.
    pub fn on_fault(&mut self, now: Timestamp, id: &ServerId) {
        self.records.entry(id.clone()).or_default().fault_until = now.after(FAULT_BACKOFF);
    }

    /// Is an engine in back-off because of a failure?
    pub fn faulty(&self, now: Timestamp, id: &ServerId) -> bool {
        self.records.get(id).is_some_and(|r| r.fault_until > now)
    }

    /// May an engine be asked for a reservation now?
    pub fn may_take(&self, now: Timestamp, id: &ServerId) -> bool {
        let backing_off = |r: &EngineState| r.full_until > now || r.fault_until > now;
        !self.records.get(id).is_some_and(backing_off)
    }

    /// Returns this gateway's load at an engine.
    pub fn own_load(&self, id: &ServerId) -> EngineLoad {
        self.records.get(id).map_or_else(EngineLoad::default, |r| r.load)
    }

    /// Returns this gateway's load at all engines where it has any, by short hash of the engine's
    /// id.
    pub fn engine_loads(&self) -> BTreeMap<u32, EngineLoad> {
        self.records
            .iter()
            .filter(|(_, r)| r.load != EngineLoad::default())
            .map(|(id, r)| (id.short_hash(), r.load))
            .collect()
    }

    /// Replaces the decode factors of engines that are known to differ in speed.
    pub fn set_decode_factors(&mut self, factors: HashMap<ServerId, f64>) {
        self.decode_factors = factors;
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, alive: impl Fn(&ServerId) -> bool) {
        self.records.retain(|id, r| alive(id) || r.load != EngineLoad::default());
    }
}
