//! Model of how three gateways of a zone learn that a backend server is leaving, in discrete ticks.
//!
//! Two gateways follow the store; the third learns from them. The store may stop answering any of them,
//! and a configuration may be written that takes longer to read than a leaving server may be used. The
//! invariant: if the store has answered at least one gateway without interruption since the server
//! announced its departure, all gateways know of it once the bound has passed.

use crate::explore::Spec;

/// A rule of the model to leave out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// No rule is left out.
    None,
    /// A watch of the store waits for as long as the contact bound allows.
    LongWatch,
    /// A gateway that has received nothing for long still claims contact with the store.
    SaysHeard,
    /// The server list is not watched while a large answer is being read.
    NoBypass,
    /// A gateway fetches nothing else from a peer while it fetches the peer's configuration.
    OnePull,
    /// Watches wait long, and a zone leader that believes itself up to date asks no peer.
    TrustsItself,
}

/// All mutants that leave out a rule.
pub const MUTANTS: [Mutant; 5] =
    [Mutant::LongWatch, Mutant::SaysHeard, Mutant::NoBypass, Mutant::OnePull, Mutant::TrustsItself];

/// Gateways of the zone.
const GATEWAYS: usize = 3;
/// Zone leaders: gateways that follow the store while it answers them.
const ZONE_LEADERS: usize = 2;
/// Ticks, of about 0.15 s each, after which a leaving server must receive no more requests.
const NOTICE_BOUND: u8 = 13;
/// Ticks for which a state may be used without confirmation; the rest of the bound is needed to learn
/// from other gateways.
const UNCONFIRMED_MAX: u8 = 7;
/// Ticks that a watch waits if only the contact bound limits it.
const CONTACT_BOUND: u8 = 18;
/// Ticks that a configuration takes over a slow link.
pub const CONFIG_TICKS: u8 = 15;
/// Ticks after which a zone leader asks peers that have newer state.
const ASK_PEERS_AFTER: u8 = 3;
/// Ticks after which another gateway replaces a missing zone leader.
const REPLACE_AFTER: u8 = 1;
/// Times that the set of gateways that the store answers may change.
const CHANGES_MAX: u8 = 2;
/// Last tick at which the server may announce its departure: by then a state may have gone unconfirmed for
/// as long as is allowed. The search ends once the bound after that has passed.
const ANNOUNCED_BY: u8 = UNCONFIRMED_MAX;

/// An answer of the store whose body is being read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Reading {
    until: u8,
    /// Whether it contains the server's departure.
    departure: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Gateway {
    /// Whether it is a zone leader, which follows the store.
    leads: bool,
    /// Whether it has lost contact with the store.
    lost_contact: bool,
    /// When its state was last confirmed by the store.
    confirmed_at: u8,
    reading: Option<Reading>,
    /// When a configuration that is being fetched from a peer will be complete.
    fetch_done: Option<u8>,
    has_config: bool,
    /// Whether it knows that the server is leaving.
    knows_departure: bool,
    /// Since when a peer has known of the departure while it has not.
    behind_since: Option<u8>,
    /// Since when too few zone leaders with contact to the store have been observed.
    leaders_missing_since: Option<u8>,
    /// Since when the store has answered it without interruption.
    answered_since: Option<u8>,
}

impl Gateway {
    fn new(leads: bool) -> Self {
        Gateway {
            leads,
            lost_contact: false,
            confirmed_at: 0,
            reading: None,
            fetch_done: None,
            has_config: false,
            knows_departure: false,
            behind_since: None,
            leaders_missing_since: None,
            answered_since: Some(0),
        }
    }
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Departure {
    mutant: Mutant,
    /// Ticks that a configuration takes to read from the store.
    reading: u8,
    now: u8,
    gateways: [Gateway; GATEWAYS],
    /// When the server announced its departure.
    announced_at: Option<u8>,
    /// Whether the large configuration was written.
    configured: bool,
    /// How often the set of gateways that the store answers has changed.
    changes: u8,
}

impl Departure {
    /// The initial state: the store answers all gateways and nothing has happened. Reading a configuration
    /// takes `reading` ticks from the store, and `CONFIG_TICKS` from a peer.
    pub fn new(mutant: Mutant, reading: u8) -> Self {
        let gateways = [0, 1, 2].map(|i| Gateway::new(i < ZONE_LEADERS));
        Departure {
            mutant,
            reading,
            now: 0,
            gateways,
            announced_at: None,
            configured: false,
            changes: 0,
        }
    }

    fn unconfirmed_max(&self) -> u8 {
        match self.mutant {
            Mutant::LongWatch | Mutant::TrustsItself => CONTACT_BOUND,
            _ => UNCONFIRMED_MAX,
        }
    }

    /// Whether the gateway claims in its zone to be in contact with the store.
    fn claims_contact(&self, gateway: &Gateway) -> bool {
        let fresh =
            !gateway.lost_contact && self.now - gateway.confirmed_at <= self.unconfirmed_max();
        gateway.leads && (fresh || self.mutant == Mutant::SaysHeard)
    }

    /// One tick, in which the messages sent in the previous tick arrive.
    fn tick(&self) -> Departure {
        let mut next = self.clone();
        next.now += 1;
        for i in 0..GATEWAYS {
            let mut gateway = self.gateways[i];
            if gateway.leads {
                next.watch_store(&mut gateway);
            }
            let leaders_seen = self.gateways[..i].iter().filter(|g| self.claims_contact(g)).count();
            next.update_role(&mut gateway, leaders_seen);
            self.ask_peers(&mut gateway, i, leaders_seen, next.now);
            next.gateways[i] = gateway;
        }
        next
    }

    fn watch_store(&self, gateway: &mut Gateway) {
        if gateway.answered_since.is_none() {
            gateway.reading = None;
            gateway.lost_contact |= self.now - gateway.confirmed_at >= self.unconfirmed_max();
            return;
        }
        gateway.lost_contact = false;
        let announced = self.announced_at.is_some();
        match gateway.reading {
            Some(reading) if reading.until <= self.now => {
                gateway.reading = None;
                gateway.has_config = true;
                gateway.knows_departure |= reading.departure;
                gateway.confirmed_at = self.now;
            }
            Some(_) if self.mutant == Mutant::NoBypass => {}
            Some(_) => {
                gateway.knows_departure |= announced;
                gateway.confirmed_at = self.now;
            }
            None if self.configured && !gateway.has_config => {
                let reading = Reading { until: self.now + self.reading, departure: announced };
                gateway.reading = Some(reading);
                gateway.confirmed_at = self.now;
            }
            None => {
                gateway.knows_departure |= announced;
                gateway.confirmed_at = self.now;
            }
        }
    }

    fn update_role(&self, gateway: &mut Gateway, leaders_seen: usize) {
        if leaders_seen >= ZONE_LEADERS {
            gateway.leaders_missing_since = None;
            gateway.leads = false;
            gateway.reading = None;
            return;
        }
        let since = *gateway.leaders_missing_since.get_or_insert(self.now);
        if !gateway.leads && self.now - since >= REPLACE_AFTER {
            // Its state is unconfirmed until the store has answered.
            (gateway.leads, gateway.lost_contact, gateway.confirmed_at) = (true, true, self.now);
        }
    }

    fn ask_peers(&self, gateway: &mut Gateway, i: usize, leaders_seen: usize, now: u8) {
        let peers = || self.gateways.iter().enumerate().filter(|(j, _)| *j != i).map(|(_, g)| g);
        if gateway.fetch_done.is_some_and(|until| until <= now) {
            gateway.fetch_done = None;
            gateway.has_config = true;
        }
        if !gateway.knows_departure && peers().any(|g| g.knows_departure) {
            let since = *gateway.behind_since.get_or_insert(now);
            let sole_leader = gateway.leads && leaders_seen == 0 && !gateway.lost_contact;
            let behind = now - since >= ASK_PEERS_AFTER && self.mutant != Mutant::TrustsItself;
            let busy = self.mutant == Mutant::OnePull && gateway.fetch_done.is_some();
            gateway.knows_departure = (!sole_leader || behind) && !busy;
        }
        if !gateway.has_config && gateway.fetch_done.is_none() && peers().any(|g| g.has_config) {
            gateway.fetch_done = Some(now + CONFIG_TICKS);
        }
    }

    /// From now on the store answers only the gateways of the bit set.
    fn with_answered(&self, answered: usize) -> Departure {
        let mut next = self.clone();
        next.changes += 1;
        for (i, gateway) in next.gateways.iter_mut().enumerate() {
            let reachable = answered & (1 << i) != 0;
            gateway.answered_since = reachable.then(|| gateway.answered_since.unwrap_or(self.now));
        }
        next
    }
}

impl Spec for Departure {
    type Label = String;

    fn successors(&self) -> Vec<(String, Self)> {
        let ended =
            self.announced_at.map_or(self.now > ANNOUNCED_BY, |at| self.now > at + NOTICE_BOUND);
        if ended {
            return Vec::new();
        }
        let mut out = vec![(format!("tick {}", self.now + 1), self.tick())];
        if self.announced_at.is_none() {
            let mut state = self.clone();
            state.announced_at = Some(state.now);
            out.push(("the server announces its departure".to_owned(), state));
        }
        if !self.configured {
            let mut state = self.clone();
            state.configured = true;
            out.push(("a large configuration is written".to_owned(), state));
        }
        if self.changes < CHANGES_MAX {
            for answered in 0..1 << GATEWAYS {
                out.push((
                    format!("the store answers gateways {answered:03b}"),
                    self.with_answered(answered),
                ));
            }
        }
        out
    }

    fn violation(&self) -> Option<&'static str> {
        let announced_at = self.announced_at?;
        let in_contact = |g: &Gateway| g.answered_since.is_some_and(|since| since <= announced_at);
        let late = self.now > announced_at + NOTICE_BOUND && self.gateways.iter().any(in_contact);
        let uninformed = self.gateways.iter().any(|g| !g.knows_departure);
        (late && uninformed).then_some("a server is sent requests after its departure")
    }
}
