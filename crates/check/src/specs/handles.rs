//! Model of the life of handles: made, kept, named in a run, used.
//!
//! One gateway has the prompts of two requests read by one engine and moves the run of a third away from
//! it; another gateway has prompts read there too. The engine may answer once more than it should, and it
//! may end and start again at the same address under the same name, whose handles have the same names
//! again. The gateway hears of that at any later moment; it may be lost and return. The router's
//! `correlation` decides which answers are accepted, its `registry` which incarnations have ended. The
//! invariant: a request goes on only from its own handle.
//!
//! A handle names an address and no incarnation, so that no rule of a gateway covers an engine that issues
//! the same name to another request while the first one's run is on its way: `Reissue` tells whether it may.

use std::net::{Ipv4Addr, SocketAddr};

use ebonyloft_router::catalog::{Server, ServerId, Stage};
use ebonyloft_router::correlation::{Correlation, Echo, Exchange};
use ebonyloft_router::registry::{Change, Registration, ServerRegistry};

use crate::explore::Spec;

/// A rule of the model to leave out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutant {
    /// No rule is left out.
    None,
    /// An answer that names another attempt is accepted.
    OtherAttempt,
    /// An answer without an id is accepted on a connection that has carried other exchanges.
    MissingId,
    /// A migration's call may use a connection that has carried other exchanges, and accepts an answer
    /// there.
    SharedCall,
    /// A handle is named although the engine that issued it is known to have ended.
    EndedSource,
    /// A run that its own engine keeps is sent to whichever engine is at the address.
    AnyInstance,
}

/// All mutants that leave out a rule.
pub const MUTANTS: [Mutant; 5] = [
    Mutant::OtherAttempt,
    Mutant::MissingId,
    Mutant::SharedCall,
    Mutant::EndedSource,
    Mutant::AnyInstance,
];

/// When an engine that has started again issues the names of its earlier handles again.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reissue {
    /// Never: names don't repeat.
    Never,
    /// Once the gateway has heard of the start, and runs sent before have fetched their prompts.
    AfterNotice,
    /// At once.
    AtOnce,
}

/// The requests: two whose prompts are read, and one whose run is moved.
const REQUESTS: [Exchange<'static>; 3] =
    [Exchange::Attempt("a"), Exchange::Attempt("b"), Exchange::Unnamed];
/// The request whose run is moved.
const MOVED: usize = 2;
/// The owner of prompts of another gateway.
const OTHER: usize = 3;
/// Connections that are open at the same time.
const CONNECTIONS_MAX: usize = 2;

/// Where the memory is that a handle names.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Place {
    /// At the engine that read the prompt, fetched from its address.
    Prompt,
    /// At the engine that the run moves to.
    Target,
    /// At the engine that stopped the run, which continues it.
    Source,
}

/// A handle, as an answer brings it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Handle {
    place: Place,
    name: usize,
}

/// What the gateway knows of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Phase {
    Unsent,
    /// Sent to this life of the engine.
    Waiting(u8),
    /// It has a handle that it takes for one of this life.
    Kept(u8, Handle),
    /// A run that names the handle is on its way.
    Named(u8, Handle),
    Done,
}

/// An answer on its way to the gateway.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Answer {
    to: usize,
    has_id: bool,
    handle: Handle,
}

impl Answer {
    fn echo(self) -> Echo<'static> {
        REQUESTS[self.to].id().filter(|_| self.has_id).map_or(Echo::Absent, Echo::Attempt)
    }
}

#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Connection {
    /// The life of the engine that it was opened to.
    life: u8,
    /// Exchanges that it has carried, in order.
    carried: Vec<usize>,
    /// The gateway waits for the answer to the last of them.
    is_waiting: bool,
    /// The engine has not answered the last of them.
    is_unanswered: bool,
    /// Answers that the engine has sent, to be repeated.
    sent: Vec<Answer>,
    /// Answers that the gateway has not read, in order.
    in_flight: Vec<Answer>,
}

impl Connection {
    fn correlation(&self) -> Correlation {
        super::correlation(&REQUESTS, &self.carried)
    }

    fn begin(&mut self, exchange: usize) {
        self.carried.push(exchange);
        (self.is_waiting, self.is_unanswered) = (true, true);
    }
}

/// The newest registration that the gateway has heard of.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Heard {
    First,
    Removed,
    Second,
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Handles {
    mutant: Mutant,
    reissue: Reissue,
    /// The current or last life of the engine.
    life: u8,
    is_running: bool,
    /// Owners of the handles of this life, by name; none once used.
    issued: Vec<Option<usize>>,
    /// Owners of the copies at the engine that the run moves to, by name.
    copies: Vec<Option<usize>>,
    heard: Heard,
    phases: [Phase; 3],
    connections: Vec<Connection>,
    /// Second answers that may still come.
    second_answers: u8,
    /// Prompts of another gateway that may still be read.
    others: u8,
    /// Times that the gateway may still be lost.
    losses: u8,
    violation: Option<&'static str>,
}

type Successors = Vec<(String, Handles)>;

impl Handles {
    /// The initial state.
    pub fn new(mutant: Mutant, reissue: Reissue) -> Self {
        Handles {
            mutant,
            reissue,
            life: 1,
            is_running: true,
            issued: Vec::new(),
            copies: Vec::new(),
            heard: Heard::First,
            phases: [Phase::Unsent; 3],
            connections: Vec::new(),
            second_answers: 1,
            others: 1,
            losses: 1,
            violation: None,
        }
    }

    fn registry(&self) -> ServerRegistry {
        let mut registry = ServerRegistry::default();
        let mut apply = |revision: u64, entry| {
            let revision = revision.into();
            let change = Change { name: "engine".to_owned(), entry, revision };
            registry.apply(change, true);
        };
        apply(1, Registration::Server(engine(1)));
        match self.heard {
            Heard::First => {}
            Heard::Removed => apply(2, Registration::Removed),
            Heard::Second => apply(3, Registration::Server(engine(2))),
        }
        registry
    }

    fn has_ended(&self, life: u8) -> bool {
        self.mutant != Mutant::EndedSource && self.registry().has_ended(&engine(life).id)
    }

    fn may_carry(&self, connection: &Connection, exchange: usize) -> bool {
        let is_shared = self.mutant == Mutant::SharedCall && exchange == MOVED;
        is_shared || connection.correlation().may_carry(REQUESTS[exchange])
    }

    fn is_answer(&self, connection: &Connection, exchange: usize, echo: Echo<'_>) -> bool {
        match (self.mutant, REQUESTS[exchange], echo) {
            (Mutant::OtherAttempt, Exchange::Attempt(_), Echo::Attempt(_))
            | (Mutant::MissingId, Exchange::Attempt(_), Echo::Absent)
            | (Mutant::SharedCall, Exchange::Unnamed, _) => true,
            (_, exchange, echo) => connection.correlation().is_answer(exchange, echo),
        }
    }

    /// May the engine issue a handle now?
    fn may_issue(&self) -> bool {
        let is_named_before =
            |phase: &Phase| matches!(phase, Phase::Named(life, _) if *life < self.life);
        let has_heard = self.life == 1 || self.heard == Heard::Second;
        self.is_running
            && (self.reissue != Reissue::AfterNotice
                || has_heard && !self.phases.iter().any(is_named_before))
    }

    /// Returns a copy in which the order of the connections does not matter.
    fn changed(&self, change: impl FnOnce(&mut Handles)) -> Handles {
        let mut next = self.clone();
        change(&mut next);
        next.connections.sort_unstable();
        next
    }

    /// The gateway sends a prompt, or the call that moves a run; the run began in the first life.
    fn send(&self, request: usize, out: &mut Successors) {
        let life = match (self.heard, request) {
            (_, MOVED) | (Heard::First, _) => 1,
            (Heard::Second, _) => 2,
            (Heard::Removed, _) => return,
        };
        if self.phases[request] != Phase::Unsent || !self.is_running {
            return;
        }
        if self.connections.len() < CONNECTIONS_MAX {
            let next = self.changed(|next| {
                next.phases[request] = Phase::Waiting(life);
                let mut connection = Connection { life: next.life, ..Connection::default() };
                connection.begin(request);
                next.connections.push(connection);
            });
            out.push((format!("{request} is sent on a new connection"), next));
        }
        for (i, connection) in self.connections.iter().enumerate() {
            if connection.is_waiting || !self.may_carry(connection, request) {
                continue;
            }
            let next = self.changed(|next| {
                next.phases[request] = Phase::Waiting(life);
                next.connections[i].begin(request);
            });
            out.push((format!("{request} is sent on that of {:?}", connection.carried), next));
        }
    }

    /// The engine answers with a handle, unless another life was meant.
    fn answer(&self, i: usize, out: &mut Successors) {
        let connection = &self.connections[i];
        let (true, true, Some(to)) = (
            connection.is_unanswered,
            connection.life == self.life && self.may_issue(),
            connection.carried.last().copied(),
        ) else {
            return;
        };
        if self.phases[to] != Phase::Waiting(self.life) {
            let next = self.changed(|next| {
                next.phases[to] = Phase::Done;
                next.connections.remove(i);
            });
            out.push((format!("{to} is rejected, another life was meant"), next));
            return;
        }
        let places: &[Place] =
            if to == MOVED { &[Place::Target, Place::Source] } else { &[Place::Prompt] };
        for place in places.iter().copied() {
            for has_id in [true, false].into_iter().filter(|has_id| !has_id || to != MOVED) {
                let next = self.changed(|next| {
                    let owners = match place {
                        Place::Target => &mut next.copies,
                        Place::Prompt | Place::Source => &mut next.issued,
                    };
                    let handle = Handle { place, name: owners.len() };
                    owners.push(Some(to));
                    let answer = Answer { to, has_id, handle };
                    let connection = &mut next.connections[i];
                    connection.is_unanswered = false;
                    connection.sent.push(answer);
                    connection.in_flight.push(answer);
                });
                let id = if has_id { "with" } else { "without" };
                out.push((format!("{to} is answered {id} its id, kept at {place:?}"), next));
            }
        }
    }

    fn answer_again(&self, i: usize, out: &mut Successors) {
        let connection = &self.connections[i];
        if self.second_answers == 0 || !self.is_running || connection.life != self.life {
            return;
        }
        for answer in connection.sent.iter().copied() {
            for has_id in [answer.has_id, false] {
                let next = self.changed(|next| {
                    next.second_answers -= 1;
                    next.connections[i].in_flight.push(Answer { has_id, ..answer });
                });
                out.push((format!("{} is answered again, id {has_id}", answer.to), next));
            }
        }
    }

    /// The gateway reads the next answer; one that arrives while none is due, or that is refused, ends
    /// the connection.
    fn read(&self, i: usize, out: &mut Successors) {
        let connection = &self.connections[i];
        let (Some(answer), Some(request)) =
            (connection.in_flight.first().copied(), connection.carried.last().copied())
        else {
            return;
        };
        let is_accepted =
            connection.is_waiting && self.is_answer(connection, request, answer.echo());
        let next = self.changed(|next| {
            if let (true, Phase::Waiting(life)) = (connection.is_waiting, next.phases[request]) {
                next.phases[request] = match is_accepted {
                    true => Phase::Kept(life, answer.handle),
                    false => Phase::Done,
                };
            }
            if !is_accepted {
                next.connections.remove(i);
                return;
            }
            next.connections[i].is_waiting = false;
            next.connections[i].in_flight.remove(0);
        });
        let verdict = if is_accepted { "accepted" } else { "refused" };
        out.push((format!("an answer to {} is {verdict} for {request}", answer.to), next));
    }

    /// The gateway sends the run, or gives it up as the engine with its prompt has ended. A copy is kept
    /// by the engine that continues the run.
    fn name(&self, request: usize, out: &mut Successors) {
        let Phase::Kept(life, handle) = self.phases[request] else {
            return;
        };
        let is_void = handle.place == Place::Prompt && self.has_ended(life);
        let next = self.changed(|next| {
            next.phases[request] = if is_void { Phase::Done } else { Phase::Named(life, handle) };
        });
        let sent = if is_void { "is not sent" } else { "is sent" };
        out.push((format!("the run of {request} {sent}, it names {handle:?}"), next));
    }

    /// The engine that has the run takes the memory that it names.
    fn take(&self, request: usize, out: &mut Successors) {
        let Phase::Named(life, handle) = self.phases[request] else {
            return;
        };
        let meant = match handle.place {
            Place::Target => true,
            Place::Prompt => self.is_running,
            Place::Source => {
                self.is_running && (life == self.life || self.mutant == Mutant::AnyInstance)
            }
        };
        let next = self.changed(|next| {
            next.phases[request] = Phase::Done;
            let owners = match handle.place {
                Place::Target => &mut next.copies,
                Place::Prompt | Place::Source => &mut next.issued,
            };
            let owner = owners.get_mut(handle.name).filter(|_| meant).and_then(Option::take);
            if owner.is_some_and(|owner| owner != request) {
                next.violation = Some("a request went on from the handle of another one");
            }
        });
        out.push((format!("the run of {request} takes its memory"), next));
    }

    /// What happens around: the engine ends and starts again, another gateway uses it, this gateway hears
    /// of it, is lost and returns.
    fn surroundings(&self, out: &mut Successors) {
        if self.is_running && self.life == 1 {
            let next = self.changed(|next| {
                next.is_running = false;
                if next.reissue == Reissue::Never {
                    next.issued.fill(None);
                } else {
                    next.issued.clear();
                }
            });
            out.push(("the engine ends".to_owned(), next));
        }
        if !self.is_running {
            let next = self.changed(|next| (next.life, next.is_running) = (2, true));
            out.push(("the engine starts again".to_owned(), next));
        }
        if self.others > 0 && self.may_issue() {
            let next = self.changed(|next| {
                next.others -= 1;
                next.issued.push(Some(OTHER));
            });
            out.push(("another gateway's prompt is read".to_owned(), next));
        }
        if self.heard == Heard::First && (!self.is_running || self.life == 2) {
            out.push((
                "the gateway hears of the end".to_owned(),
                self.changed(|next| next.heard = Heard::Removed),
            ));
        }
        if self.heard != Heard::Second && self.life == 2 {
            out.push((
                "the gateway hears of the start".to_owned(),
                self.changed(|next| next.heard = Heard::Second),
            ));
        }
        if self.losses > 0 {
            let next = self.changed(|next| {
                next.losses -= 1;
                next.connections.clear();
                for phase in &mut next.phases {
                    if matches!(phase, Phase::Waiting(_) | Phase::Kept(..)) {
                        *phase = Phase::Done;
                    }
                }
            });
            out.push(("the gateway is lost and returns".to_owned(), next));
        }
    }
}

impl Spec for Handles {
    type Label = String;

    fn successors(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        for request in 0..REQUESTS.len() {
            self.send(request, &mut out);
            self.name(request, &mut out);
            self.take(request, &mut out);
        }
        for i in 0..self.connections.len() {
            self.answer(i, &mut out);
            self.answer_again(i, &mut out);
            self.read(i, &mut out);
        }
        self.surroundings(&mut out);
        out
    }

    fn violation(&self) -> Option<&'static str> {
        self.violation
    }
}

/// The engine in one of its lives.
fn engine(life: u8) -> Server {
    Server {
        id: ServerId::new("engine", life.into()),
        service: "summaries".to_owned(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        zone: "a".to_owned(),
        slots: 1,
        draining: false,
        stage: Some(Stage::Prefill),
        version: None,
    }
}
