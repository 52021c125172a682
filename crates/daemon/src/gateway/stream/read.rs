//! The prompt, read by an engine that does nothing else.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_platform::{engine, headers};
use ebonyloft_router::budget::Next;
use ebonyloft_router::catalog::{Server, Stage};
use ebonyloft_router::outcome::Fate;
use ebonyloft_router::prefill::{self, Choice};
use ebonyloft_router::share::Work;

use super::flight::{Flight, Source};
use crate::gateway::call;
use crate::gateway::intake::Intake;
use crate::gateway::limits;
use crate::gateway::quarantine::{self, Run, Sent};
use crate::gateway::retries;
use crate::gateway::said;
use crate::gateway::send::{self, Expect};
use crate::gateway::shared::{Basis, Shared};

/// How much longer than foretold a read may take before the prompt is read where the answer is
/// written.
const READ_SLACK: Duration = Duration::from_millis(600);
/// How long before its end a handle is not used any more: the ways, and the wait for a place.
const HANDLE_MARGIN: Duration = Duration::from_millis(60);
/// Readers tried for one prompt; each that does not accept it counts against the budget of extra arrivals.
const READERS_MAX: usize = 2;
/// How much longer an engine that writes answers takes to read a prompt: it reads at half the speed.
const LOCAL_PACE: u32 = 2;

/// When the prompt would be read if it were sent to its reader now.
pub fn foretold(shared: &Shared, intake: &Intake, flight: &Flight, now: Timestamp) -> Timestamp {
    if flight.source.is_some() {
        return now;
    }
    // All readers are looked at: whether any can be in time does not depend on the one chosen.
    match nearest(shared, &intake.service, intake.caller.prompt, now) {
        Some((_, at)) => at,
        None => alone(shared, &intake.service, intake.caller.prompt, now),
    }
}

/// The reader that would be done with a prompt first, and when.
pub fn nearest(
    shared: &Shared,
    service: &str,
    prompt: u64,
    now: Timestamp,
) -> Option<(Server, Timestamp)> {
    pick(shared, service, prompt, &shared.node().zone, now, 1)
}

/// When an engine that writes answers would have read a prompt.
pub fn alone(shared: &Shared, service: &str, prompt: u64, now: Timestamp) -> Timestamp {
    let alone = shared.service_estimates(service).reading.time(Work::default(), prompt);
    now.after(alone * LOCAL_PACE)
}

/// Has the prompt read by a prefill engine; without one, the engine that writes the answer reads it.
pub async fn elsewhere(shared: &Shared, intake: &Intake, flight: &mut Flight) {
    let node = shared.node();
    let loan = flight.place.as_ref().and_then(|p| p.loan.as_ref());
    let lent = loan.map(|loan| loan.reader.clone());
    for n in 0..READERS_MAX {
        let now = shared.now();
        let zone = flight.place.as_ref().map_or_else(|| &node.zone, |p| &p.server.zone);
        let picked = match &lent {
            // Of the readers of another zone only the one that was named is known.
            Some(named) => named.clone().filter(|_| n == 0),
            None => {
                let prompt = intake.caller.prompt;
                pick(shared, &intake.service, prompt, zone, now, shared.gateways_in_scope())
            }
        };
        let Some((reader, ready_at)) = picked else {
            return;
        };
        if !limits::take(shared, &reader.id, 1).await {
            continue;
        }
        if !retries::afford(shared, intake, Next::Prompt) {
            return;
        }
        if read_by(shared, intake, flight, &reader, ready_at, lent.is_some()).await {
            return;
        }
    }
}

/// A reader for an answer written in the zone, chosen as one of so many entries, and when the prompt
/// would be read there.
fn pick(
    shared: &Shared,
    service: &str,
    prompt: u64,
    zone: &str,
    now: Timestamp,
    entries: usize,
) -> Option<(Server, Timestamp)> {
    let (roster, engines) = (shared.roster.borrow(), shared.engines.borrow());
    let own = shared.zone();
    let readers = roster
        .ready(service)
        .filter(|s| s.stage == Some(Stage::Prefill) && !engines.faulty(now, &s.id))
        .filter(|s| own.as_ref().is_none_or(|own| s.zone == *own))
        .filter(|s| !said::rests(shared, &s.id));
    let (shares, paces) = (shared.shares.borrow(), shared.paces.borrow());
    let work = |id: &_| engines.own(id).plus(shares.work(now, id));
    let learned = shared.service_estimates(service);
    let choice = Choice { paces: &paces, reading: &learned.reading, prompt, zone, entries };
    let picked = prefill::pick(now, readers, work, &choice, || shared.draw());
    picked.map(|(s, at)| (s.clone(), at))
}

/// How long a prompt that was read is kept.
fn life(intake: &Intake) -> Duration {
    let service = intake.config.service(&intake.service);
    service.and_then(|s| s.engine.as_ref()).map_or(Duration::ZERO, |e| e.handle_life)
}

async fn read_by(
    shared: &Shared,
    intake: &Intake,
    flight: &mut Flight,
    reader: &Server,
    ready_at: Timestamp,
    lent: bool,
) -> bool {
    let now = shared.now();
    let prompt = intake.caller.prompt;
    let work = shared.engine_load(&reader.id);
    let plain = shared.service_estimates(&intake.service).reading.time(work, prompt);
    shared.engines.borrow_mut().reading(&reader.id, prompt);
    shared.request_report();
    flight.reading = Some((reader.id.clone(), prompt));
    let mut req = intake.request(now, &reader.id);
    headers::set_prefill(req.headers_mut());
    let limit = ready_at.since(now) + READ_SLACK;
    let Basis { config, roster, age } = shared.basis();
    flight.open = Some((reader.clone(), now));
    let (fate, answer) = send::whole(shared, intake, reader, req, limit, Expect::Handle).await;
    flight.open = None;
    let done = shared.now();
    flight.reading = None;
    let mut engines = shared.engines.borrow_mut();
    engines.read(&reader.id, prompt);
    let ms = done.since(now).as_millis() as u64;
    let foretold = ready_at.since(now).as_millis() as u64;
    let rate = shared.service_estimates(&intake.service).reading.rate() as u64;
    tracing::info!(
        id = intake.id(), server = %reader.id, ?fate, prompt, queue = work.unread, ms, foretold, rate,
        config, roster, age, "prompt read"
    );
    shared.metrics.time("gateway.read_ms", ms);
    let handle = answer.as_ref().and_then(|a| engine::read_prefilled(&a.body));
    if let Some(handle) = handle {
        // The queue of another zone's reader is not known here: its time says nothing.
        if !lent {
            shared.paces.borrow_mut().observe(&reader.id, done.since(now), plain);
            shared.service_estimates(&intake.service).reading.observe(
                work,
                prompt,
                done.since(now),
            );
        }
        let (id, addr) = (reader.id.clone(), reader.addr);
        let until = done.after(life(intake)).before(HANDLE_MARGIN);
        flight.source = Some(Source { id, addr, handle, until });
        retries::accepted(shared, intake);
        return true;
    }
    // That it wants nothing is no fault.
    if !said::rests(shared, &reader.id) {
        engines.fault(done, &reader.id);
    }
    drop(engines);
    if fate == Fate::Lost {
        let sent = Sent { server: reader, run: Run::Begun, at: now };
        quarantine::note_loss(shared, intake, sent);
    }
    if fate == Fate::Moved {
        call::gone(shared, &reader.id);
    }
    false
}
