//! Injected faults.

use super::*;

impl Simulation {
    pub(super) fn inject_fault(&mut self) {
        if self.now >= FAULTS_END {
            return;
        }
        self.tally.faults += 1;
        let s = self.rng.random_range(0..SIDECAR_COUNT);
        let e = self.rng.random_range(0..ENTRY_COUNT);
        match self.rng.random_range(0..9) {
            0 | 1 => self.crash_sidecar(s),
            2 => self.crash_entry(e),
            3 => {
                let ms = self.rng.random_range(100..7_000);
                self.sidecars[s].paused_until = self.now.after(Duration::from_millis(ms));
            }
            4 => {
                let ms = self.rng.random_range(100..7_000);
                self.entries[e].paused_until = self.now.after(Duration::from_millis(ms));
            }
            5 | 6 => self.silence_link(e, s),
            7 => self.break_link(e, s),
            _ => self.start_leaving(s),
        }
    }

    pub(super) fn crash_sidecar(&mut self, s: usize) {
        if !self.sidecars[s].alive {
            return;
        }
        self.sidecars[s].alive = false;
        let peer = self.sidecars[s].peer.clone();
        let restart_after = Duration::from_millis(self.rng.random_range(100..6_000));
        self.schedule(restart_after, Event::Restart { is_sidecar: true, index: s });
        let confirmed_after = Duration::from_millis(self.rng.random_range(500..8_000));
        self.schedule(confirmed_after, Event::ConfirmGone { peer });
    }

    pub(super) fn crash_entry(&mut self, e: usize) {
        if !self.entries[e].alive {
            return;
        }
        self.entries[e].alive = false;
        self.tally.gone += self.entries[e].requests.len() as u64;
        let me = self.entries[e].peer.clone();
        for s in &mut self.sidecars {
            s.executor.on_link_down(&me);
        }
        let restart_after = Duration::from_millis(self.rng.random_range(100..4_000));
        self.schedule(restart_after, Event::Restart { is_sidecar: false, index: e });
    }

    pub(super) fn restart(&mut self, is_sidecar: bool, index: usize) {
        let incarnation = Incarnation(self.now.0);
        if !is_sidecar {
            let placement = self.current_placement().clone();
            let entry = self.new_entry(index, incarnation, &placement);
            self.entries[index] = entry;
            let available: Vec<Peer> = self.available_sidecars();
            self.entries[index].known_sidecars = available;
            return self.schedule(TICK, Event::TickEntry { entry: index, incarnation });
        }
        if self.sidecars[index].alive {
            return;
        }
        let previous = self.sidecars[index].peer.clone();
        let restarted = self.new_sidecar(index, incarnation);
        self.sidecars[index] = restarted;
        // A new incarnation shows that the previous one has ended.
        self.confirm_gone(&previous);
        let peer = self.sidecars[index].peer.clone();
        let placement = self.current_placement().clone();
        self.sidecars[index].ledger.adopt(&placement);
        for entry in &mut self.entries {
            entry.known_sidecars.push(peer.clone());
        }
        let next = self.current_placement().add_owner(&peer);
        if self.rng.random_bool(0.7) {
            self.publish_placement(next);
        }
        self.schedule(TICK, Event::TickSidecar { sidecar: index, incarnation });
    }

    /// A link silently drops frames in one direction or both.
    pub(super) fn silence_link(&mut self, e: usize, s: usize) {
        let key = self.link_key(e, s);
        let (to_sidecar, to_entry) = match self.rng.random_range(0..3) {
            0 => (true, false),
            1 => (false, true),
            _ => (true, true),
        };
        let now = self.now;
        let link = self.net.link(&key, now);
        link.drops_to_sidecar |= to_sidecar;
        link.drops_to_entry |= to_entry;
    }

    /// A link is reconnected, and the entry learns that its open requests on it are lost.
    pub(super) fn break_link(&mut self, e: usize, s: usize) {
        let key = self.link_key(e, s);
        let (now, incarnation) = (self.now, key.entry.life);
        self.net.reconnect(&key, now);
        self.sidecars[s].executor.on_link_down(&key.entry);
        let asks: Vec<u64> = self.entries[e]
            .pending
            .iter()
            .filter(|(_, (_, _, to))| *to == key.sidecar)
            .map(|(ask, _)| *ask)
            .collect();
        for ask in asks {
            self.schedule(
                Duration::from_millis(150),
                Event::RequestLost { entry: e, incarnation, ask, gone: false },
            );
        }
    }

    pub(super) fn link_key(&self, e: usize, s: usize) -> LinkKey {
        LinkKey { entry: self.entries[e].peer.clone(), sidecar: self.sidecars[s].peer.clone() }
    }

    /// A sidecar starts to leave gracefully, unless it is the last one available.
    pub(super) fn start_leaving(&mut self, s: usize) {
        if !self.sidecars[s].alive
            || self.sidecars[s].leaving
            || self.available_sidecars().len() < 2
        {
            return;
        }
        self.sidecars[s].leaving = true;
        self.sidecars[s].executor.start_draining();
        let me = self.sidecars[s].peer.clone();
        let owners = self.available_sidecars();
        if self.current_placement().owners().contains(&me) {
            let next = self.current_placement().start_handover(&me, &owners);
            self.publish_placement(next);
        }
        self.schedule(Duration::from_millis(200), Event::FinishLeaving { sidecar: s });
    }

    /// Stops a leaving sidecar once it has no attempts and no place in the placement; tries again later otherwise.
    pub(super) fn try_finish_leaving(&mut self, s: usize) {
        if !self.sidecars[s].alive {
            return;
        }
        let in_placement = self.current_placement().contains_peer(&self.sidecars[s].peer);
        if self.sidecars[s].executor.open() > 0 || in_placement {
            return self.schedule(Duration::from_millis(200), Event::FinishLeaving { sidecar: s });
        }
        self.crash_sidecar(s);
    }
}
