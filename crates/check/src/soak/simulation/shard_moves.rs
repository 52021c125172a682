//! Moves of ledger shards between sidecars.

use super::*;

impl Simulation {
    pub(super) fn publish_placement(&mut self, next: Option<Placement>) {
        let Some(next) = next else { return };
        let epoch = next.epoch;
        assert_eq!(epoch as usize, self.placements.len() + 1, "one placement per epoch");
        self.placements.push(next);
        for sidecar in 0..SIDECAR_COUNT {
            let wait = Duration::from_millis(self.rng.random_range(1..1_500));
            self.schedule(wait, Event::AdoptPlacement { sidecar, epoch });
        }
        for entry in 0..ENTRY_COUNT {
            let wait = Duration::from_millis(self.rng.random_range(1..3_000));
            self.schedule(wait, Event::EntryAdoptsPlacement { entry, epoch });
        }
    }

    pub(super) fn current_placement(&self) -> &Placement {
        &self.placements[self.placements.len() - 1]
    }

    pub(super) fn available_sidecars(&self) -> Vec<Peer> {
        let available = self.sidecars.iter().filter(|s| s.alive && !s.leaving);
        available.map(|s| s.peer.clone()).collect()
    }

    pub(super) fn adopt_placement(&mut self, sidecar: usize, epoch: u64) {
        if !self.sidecars[sidecar].alive {
            return;
        }
        let placement = self.placements[epoch as usize - 1].clone();
        self.sidecars[sidecar].ledger.adopt(&placement);
        self.request_handovers(sidecar);
    }

    pub(super) fn request_handovers(&mut self, sidecar: usize) {
        if self.rng.random_bool(0.6) {
            return;
        }
        let epoch = self.sidecars[sidecar].ledger.placement().epoch;
        let incarnation = self.sidecars[sidecar].peer.life;
        for wanted in self.sidecars[sidecar].ledger.pending_handovers() {
            let wait = Duration::from_millis(self.rng.random_range(1..300));
            let (from, shards) = (wanted.from, wanted.slots);
            self.schedule(wait, Event::TakeOver { to: sidecar, incarnation, from, epoch, shards });
        }
    }

    pub(super) fn take_over(
        &mut self,
        to: usize,
        incarnation: Incarnation,
        from: &Peer,
        epoch: u64,
        shards: &[u16],
    ) {
        let Some(previous) = self.sidecar_index(from) else {
            return;
        };
        let running =
            self.sidecars[previous].alive && self.sidecars[previous].paused_until <= self.now;
        if !running || self.sidecars[to].peer.life != incarnation || !self.sidecars[to].alive {
            return;
        }
        let Some(records) = self.sidecars[previous].ledger.hand_over(epoch, shards) else {
            return;
        };
        // The answer may be lost, although the previous owner has released the shards.
        if self.rng.random_bool(0.2) {
            return;
        }
        self.sidecars[to].ledger.take_over(epoch, shards, records);
    }

    pub(super) fn record_taken_shards(&mut self, s: usize) {
        let taken = self.sidecars[s].ledger.finished_handovers();
        let current = self.current_placement().epoch == self.sidecars[s].ledger.placement().epoch;
        if taken.is_empty() || !current || self.rng.random_bool(0.9) {
            return;
        }
        let me = self.sidecars[s].peer.clone();
        let next = self.current_placement().finish_handover(&me, &taken);
        self.publish_placement(next);
    }

    pub(super) fn confirm_gone(&mut self, peer: &Peer) {
        self.ended_peers.insert(peer.clone());
        for entry in &mut self.entries {
            entry.known_sidecars.retain(|p| p != peer);
        }
        let owners = self.available_sidecars();
        if self.current_placement().contains_peer(peer) && !owners.is_empty() {
            let next = self.current_placement().replace_lost_owner(peer, &owners, self.now);
            self.publish_placement(next);
        }
    }
}
