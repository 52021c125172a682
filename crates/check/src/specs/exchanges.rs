//! Model of the connections between a gateway and a backend server that may answer twice.
//!
//! The gateway starts each of six exchanges once, on an idle connection that may carry it or on a new
//! one: two of one attempt, as a prefill and the run after it are, one of another attempt, two calls whose answers
//! name nothing, and one whose answer has no effect. The server answers each exchange at most once in
//! its turn, and some of them a second time at any later moment; it may leave the id out. The router's
//! `correlation` decides what a connection may carry and which answers are accepted. The invariants: no
//! exchange accepts an answer to another one, and none refuses its own while the server answers once and
//! echoes ids.

use ebonyloft_router::correlation::{Correlation, Echo, Exchange};

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
    /// An answer that names several attempts is accepted.
    SeveralIds,
    /// A connection may carry two exchanges of one attempt.
    SameAttempt,
    /// A call whose answer names nothing may use a connection that has carried other exchanges, and
    /// accepts an answer there.
    SharedCall,
    /// Only the check of the answer to such a call is in force: its own answer is refused too.
    SharedCallChecked,
}

/// All mutants that leave out a rule.
pub const MUTANTS: [Mutant; 6] = [
    Mutant::OtherAttempt,
    Mutant::MissingId,
    Mutant::SeveralIds,
    Mutant::SameAttempt,
    Mutant::SharedCall,
    Mutant::SharedCallChecked,
];

/// The exchanges; each index is one of them.
const EXCHANGES: [Exchange<'static>; 6] = [
    Exchange::Attempt("a"),
    Exchange::Attempt("a"),
    Exchange::Attempt("b"),
    Exchange::Unnamed,
    Exchange::Unnamed,
    Exchange::Unread,
];

/// Connections that are open at the same time.
const CONNECTIONS_MAX: usize = 2;
/// Second answers in all.
const SECOND_ANSWERS: u8 = 2;

/// What an answer names.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Named {
    Nothing,
    Own,
    Several,
}

/// An answer on its way to the gateway.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Answer {
    to: usize,
    named: Named,
}

impl Answer {
    fn echo(self) -> Echo<'static> {
        match (self.named, EXCHANGES[self.to].id()) {
            (Named::Own, Some(id)) => Echo::Attempt(id),
            (Named::Several, _) => Echo::Malformed,
            _ => Echo::Absent,
        }
    }
}

#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Connection {
    /// Exchanges that it has carried, in order.
    carried: Vec<usize>,
    /// The gateway waits for the answer to the last of them.
    is_waiting: bool,
    /// Exchanges that the server has not answered.
    unanswered: Vec<usize>,
    /// Exchanges that it has answered twice.
    answered_twice: Vec<usize>,
    /// Answers that the gateway has not read, in order.
    in_flight: Vec<Answer>,
}

impl Connection {
    fn correlation(&self) -> Correlation {
        super::correlation(&EXCHANGES, &self.carried)
    }

    fn begin(&mut self, exchange: usize) {
        self.carried.push(exchange);
        self.unanswered.push(exchange);
        self.is_waiting = true;
    }
}

/// A state of the model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Exchanges {
    mutant: Mutant,
    /// Exchanges that have not been started.
    remaining: Vec<usize>,
    connections: Vec<Connection>,
    second_answers: u8,
    violation: Option<&'static str>,
}

impl Exchanges {
    /// The initial state.
    pub fn new(mutant: Mutant) -> Self {
        Exchanges {
            mutant,
            remaining: (0..EXCHANGES.len()).collect(),
            connections: Vec::new(),
            second_answers: SECOND_ANSWERS,
            violation: None,
        }
    }

    fn may_carry(&self, connection: &Connection, exchange: usize) -> bool {
        match (self.mutant, EXCHANGES[exchange]) {
            (Mutant::SameAttempt, Exchange::Attempt(_))
            | (Mutant::SharedCall | Mutant::SharedCallChecked, Exchange::Unnamed) => true,
            (_, exchange) => connection.correlation().may_carry(exchange),
        }
    }

    fn is_answer(&self, connection: &Connection, exchange: usize, echo: Echo<'_>) -> bool {
        match (self.mutant, EXCHANGES[exchange], echo) {
            (Mutant::OtherAttempt, Exchange::Attempt(_), Echo::Attempt(_))
            | (Mutant::MissingId, Exchange::Attempt(_), Echo::Absent)
            | (Mutant::SeveralIds, _, Echo::Malformed)
            | (Mutant::SharedCall, Exchange::Unnamed, Echo::Absent) => true,
            (_, exchange, echo) => connection.correlation().is_answer(exchange, echo),
        }
    }

    /// Returns a copy in which the order of the connections does not matter.
    fn changed(&self, change: impl FnOnce(&mut Exchanges)) -> Exchanges {
        let mut next = self.clone();
        change(&mut next);
        next.connections.sort_unstable();
        next
    }

    fn begin(&self, out: &mut Vec<(String, Self)>) {
        for (n, exchange) in self.remaining.iter().copied().enumerate() {
            if self.connections.len() < CONNECTIONS_MAX {
                let next = self.changed(|next| {
                    next.remaining.remove(n);
                    let mut connection = Connection::default();
                    connection.begin(exchange);
                    next.connections.push(connection);
                });
                out.push((format!("{exchange} starts on a new connection"), next));
            }
            for (i, connection) in self.connections.iter().enumerate() {
                if connection.is_waiting || !self.may_carry(connection, exchange) {
                    continue;
                }
                let next = self.changed(|next| {
                    next.remaining.remove(n);
                    next.connections[i].begin(exchange);
                });
                let carried = &connection.carried;
                out.push((format!("{exchange} starts on the connection of {carried:?}"), next));
            }
        }
    }

    fn answer(&self, i: usize, out: &mut Vec<(String, Self)>) {
        let connection = &self.connections[i];
        if let Some(to) = connection.unanswered.first().copied() {
            for named in [Named::Own, Named::Nothing] {
                let next = self.changed(|next| {
                    next.connections[i].unanswered.remove(0);
                    next.connections[i].in_flight.push(Answer { to, named });
                });
                out.push((format!("{to} is answered, {named:?} is named"), next));
            }
        }
        if self.second_answers == 0 {
            return;
        }
        for to in connection.carried.iter().copied() {
            if connection.unanswered.contains(&to) || connection.answered_twice.contains(&to) {
                continue;
            }
            for named in [Named::Own, Named::Nothing, Named::Several] {
                let next = self.changed(|next| {
                    next.second_answers -= 1;
                    next.connections[i].answered_twice.push(to);
                    next.connections[i].answered_twice.sort_unstable();
                    next.connections[i].in_flight.push(Answer { to, named });
                });
                out.push((format!("{to} is answered again, {named:?} is named"), next));
            }
        }
    }

    /// The gateway reads the next answer; one that arrives while none is due, or that is refused, ends
    /// the connection.
    fn read(&self, i: usize, out: &mut Vec<(String, Self)>) {
        let connection = &self.connections[i];
        let (Some(answer), Some(exchange)) =
            (connection.in_flight.first().copied(), connection.carried.last().copied())
        else {
            return;
        };
        let is_accepted =
            connection.is_waiting && self.is_answer(connection, exchange, answer.echo());
        let violation = match (is_accepted, connection.is_waiting) {
            (true, _) => self.wrong_acceptance(exchange, answer),
            (false, true) => self.wrong_refusal(connection, exchange, answer),
            (false, false) => None,
        };
        let next = self.changed(|next| {
            next.violation = violation;
            if !is_accepted {
                next.connections.remove(i);
                return;
            }
            next.connections[i].is_waiting = false;
            next.connections[i].in_flight.remove(0);
        });
        let verdict = if is_accepted { "accepted" } else { "refused" };
        out.push((format!("an answer to {} is {verdict} for {exchange}", answer.to), next));
    }

    fn wrong_acceptance(&self, exchange: usize, answer: Answer) -> Option<&'static str> {
        let is_wrong = answer.to != exchange && EXCHANGES[exchange] != Exchange::Unread;
        is_wrong.then_some("an exchange accepted an answer to another one")
    }

    fn wrong_refusal(
        &self,
        connection: &Connection,
        exchange: usize,
        answer: Answer,
    ) -> Option<&'static str> {
        let echoes = answer.named == Named::Own;
        let is_wrong = connection.answered_twice.is_empty() && answer.to == exchange && echoes;
        is_wrong.then_some("an exchange refused its own answer")
    }
}

impl Spec for Exchanges {
    type Label = String;

    fn successors(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        self.begin(&mut out);
        for i in 0..self.connections.len() {
            self.answer(i, &mut out);
            self.read(i, &mut out);
        }
        out
    }

    fn violation(&self) -> Option<&'static str> {
        self.violation
    }
}
