//! Short calls: requests with a single answer from a plain backend server.

use std::time::Duration;

use ebonyloft_core::time::Timestamp;
use ebonyloft_core::verdict::Verdict;
use ebonyloft_router::admission_queue::{QueueDecision, Ticket};
use ebonyloft_router::budget::NextSend;
use ebonyloft_router::catalog::{Server, ServerId};
use ebonyloft_router::outcome::{AttemptOutcome, Progress};
use ebonyloft_router::stream_origin::Origin;
use futures_channel::oneshot;
use futures_util::future::select;
use hyper::Response;

use super::announcements;
use super::answer::{self, Body, Cause};
use super::intake::Intake;
use super::keys;
use super::limits;
use super::quarantine::{self, RunStage, Sent};
use super::retries;
use super::send::{self, CompleteAnswer, Expect};
use super::shared::{Shared, SnapshotVersion};

/// Fraction of the route's goal after which an idempotent call is sent to another server; the rest
/// is enough for a call of average length.
pub const GIVE_UP_FRACTION: f64 = 0.7;
/// Fraction of the goal after which a refused caller should retry, up to twice as much to spread
/// the retries. With the time waited before and a call of average length after it, a retry still
/// meets the goal.
const RETRY_AFTER_FRACTION: f64 = 0.25;

/// State of a call: the send under way, or the ticket in the admission queue.
#[derive(Default)]
struct InFlight {
    send: Option<(Server, Timestamp)>,
    ticket: Option<Ticket>,
}

impl InFlight {
    /// Ends what is open when the caller has disconnected. The send's connection is already closed,
    /// and its duration says nothing about the server.
    fn close(self, shared: &Shared, intake: &Intake) {
        let service = &intake.service;
        if let Some((server, sent)) = self.send {
            shared.plain_servers.borrow_mut().on_abandoned(&server.id, sent);
            shared.admission_queue(service).on_abandoned(sent);
            let sent = Sent {
                server: &server,
                run: RunStage::Call,
                at: sent,
                stalled: false,
                blames_parts: true,
            };
            quarantine::on_abandoned(shared, intake, sent);
        }
        if let Some(ticket) = self.ticket {
            shared.admission_queue(service).leave(ticket);
        }
        shared.queue_waiters.wake_all();
    }
}

/// Waits in the admission queue; false if the call cannot meet its goal.
async fn wait_for_admission(shared: &Shared, intake: &Intake, flight: &mut InFlight) -> bool {
    let joined = shared.now();
    let ticket = shared.admission_queue(&intake.service).enqueue(
        joined,
        intake.level,
        intake.goal_at,
        intake.route().goal,
    );
    flight.ticket = Some(ticket);
    let decision = loop {
        let now = shared.now();
        let decision = shared.admission_queue(&intake.service).decide(now, ticket);
        let QueueDecision::Wait(until) = decision else {
            break decision;
        };
        let timer = std::pin::pin!(compio::time::sleep(until.since(now)));
        select(shared.queue_waiters.wait(), timer).await;
    };
    flight.ticket = None;
    shared.admission_queue(&intake.service).leave(ticket);
    if decision == QueueDecision::Go {
        return true;
    }
    let (limit, waiting) = {
        let queue = shared.admission_queue(&intake.service);
        (queue.concurrency_limit(), queue.waiting())
    };
    let ms = shared.now().since(joined).as_millis() as u64;
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    tracing::info!(
        id = intake.id(),
        ms,
        window = limit,
        waiting,
        config,
        roster,
        age,
        "not admitted in time"
    );
    false
}

/// Sends a request and answers it; stops if the caller disconnects.
pub async fn run(
    shared: &Shared,
    intake: &Intake,
    gone: oneshot::Receiver<()>,
    reply: oneshot::Sender<Response<Body>>,
) {
    retries::begin(shared, intake);
    let mut flight = InFlight::default();
    let work = deliver(shared, intake, &mut flight);
    let answered = answer::unless_disconnected(gone, work).await;
    flight.close(shared, intake);
    retries::close(shared, intake);
    let ms = shared.now().since(intake.came_at).as_millis() as u64;
    let status = answered.as_ref().map_or(0, |r| r.status().as_u16());
    tracing::info!(id = intake.id(), route = %intake.route().name, status, ms, "request ended");
    shared.metrics.time("gateway.call_ms", ms);
    if let Some(response) = answered {
        // The caller may have disconnected by now.
        let _ = reply.send(response);
    }
}

async fn deliver(shared: &Shared, intake: &Intake, flight: &mut InFlight) -> Response<Body> {
    let mut progress = Progress::new(intake.is_repeatable(), intake.route().attempts);
    let mut tried: Vec<ServerId> = Vec::new();
    let mut last_failure: Option<CompleteAnswer> = None;
    let mut cause = Cause::NoServer;
    while progress.may_send() {
        let now = shared.now();
        if now >= intake.ends_at {
            cause = Cause::Timeout;
            break;
        }
        if let Err(refused) = quarantine::check(shared, intake) {
            cause = refused;
            break;
        }
        if let Err(refused) = keys::check(shared, intake) {
            cause = refused;
            break;
        }
        // A failed call is retried only if the service has free capacity, so that it displaces no
        // other call.
        if last_failure.is_some() && !shared.admission_queue(&intake.service).has_room(now) {
            break;
        }
        if !retries::reserve(shared, intake, NextSend::Run) {
            cause = Cause::Budget;
            break;
        }
        if let Some(available_at) = all_paused_until(shared, intake, &tried) {
            if available_at >= intake.goal_at {
                return refuse_paused(shared, intake, progress.verdict(), available_at);
            }
            compio::time::sleep(available_at.since(now)).await;
            continue;
        }
        if !wait_for_admission(shared, intake, flight).await {
            cause = Cause::Overload;
            break;
        }
        let now = shared.now();
        let Some(server) = pick(shared, intake, now, Origin::Unstarted, &tried) else {
            break;
        };
        if !limits::acquire(shared, &server.id, 1).await {
            continue;
        }
        let now = shared.now();
        let limit = send_limit(shared, intake, now, &progress, &tried);
        progress.begin();
        let (outcome, answer) = send_to(shared, intake, &server, limit, flight).await;
        progress.record(outcome);
        let stalled = answer.is_none() && shared.now() >= now.after(limit);
        let sent =
            Sent { server: &server, run: RunStage::Call, at: now, stalled, blames_parts: true };
        quarantine::on_outcome(shared, intake, sent, outcome);
        tried.push(server.id.clone());
        match outcome {
            AttemptOutcome::Answered(status) => {
                if status < 500 {
                    return answer.map_or_else(|| lost_response(&progress), complete_response);
                }
                last_failure = answer;
            }
            AttemptOutcome::Moved => on_replaced(shared, &server.id),
            AttemptOutcome::Rejected => cause = Cause::Overload,
            AttemptOutcome::Lost | AttemptOutcome::Mismatched => cause = Cause::Lost,
            AttemptOutcome::Unsent => {}
        }
    }
    if let Some(answer) = last_failure {
        return complete_response(answer);
    }
    refuse(shared, intake, cause, progress.verdict())
}

/// When the first of the untried servers is available again, if all of them are paused or at their
/// limit.
fn all_paused_until(shared: &Shared, intake: &Intake, tried: &[ServerId]) -> Option<Timestamp> {
    let registry = shared.registry.borrow();
    let untried = registry.ready(&intake.service).filter(|s| !tried.contains(&s.id));
    announcements::available_at(shared, untried)
}

/// The best backend server for a call among those not tried yet.
pub fn pick(
    shared: &Shared,
    intake: &Intake,
    now: Timestamp,
    origin: Origin,
    tried: &[ServerId],
) -> Option<Server> {
    let (node, registry) = (shared.node(), shared.registry.borrow());
    let servers = registry
        .ready(&intake.service)
        .filter(|s| origin.admits(s) && !announcements::is_unavailable(shared, &s.id));
    let plain = shared.plain_servers.borrow();
    plain.pick(now, &node.zone, servers, tried, || shared.random_fraction()).cloned()
}

/// Time limit of this send: all the time left if no other server can be tried.
fn send_limit(
    shared: &Shared,
    intake: &Intake,
    now: Timestamp,
    progress: &Progress,
    tried: &[ServerId],
) -> Duration {
    let time_left = intake.ends_at.since(now);
    let mut after_loss = *progress;
    after_loss.record(AttemptOutcome::Lost);
    let has_others = shared.registry.borrow().ready(&intake.service).count() > tried.len() + 1;
    if after_loss.may_send() && has_others {
        return time_left.min(intake.route().goal.mul_f64(GIVE_UP_FRACTION));
    }
    time_left
}

async fn send_to(
    shared: &Shared,
    intake: &Intake,
    to: &Server,
    limit: Duration,
    flight: &mut InFlight,
) -> (AttemptOutcome, Option<CompleteAnswer>) {
    let sent = shared.now();
    shared.plain_servers.borrow_mut().on_sent(sent, &to.id);
    shared.admission_queue(&intake.service).on_sent(sent);
    flight.send = Some((to.clone(), sent));
    let req = intake.request(sent, &to.id);
    let (outcome, answer) =
        send::complete_exchange(shared, intake, to, req, limit, Expect::Signature).await;
    let now = shared.now();
    let load = answer.as_ref().and_then(|a| a.reply.load);
    shared.plain_servers.borrow_mut().on_ended(now, &to.id, sent, outcome, load);
    shared.admission_queue(&intake.service).on_ended(now, sent, outcome, load);
    shared.queue_waiters.wake_all();
    flight.send = None;
    let ms = now.since(sent).as_millis() as u64;
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    tracing::info!(
        id = intake.id(), content = %intake.digest, server = %to.id, fate = ?outcome, ms,
        running = load.map(|l| l.running), waiting = load.map(|l| l.waiting),
        slowness = load.and_then(|l| l.slowness), config, roster, age, "sent"
    );
    (outcome, answer)
}

/// Marks a server as gone after another one answered at its address.
pub fn on_replaced(shared: &Shared, id: &ServerId) {
    quarantine::on_ended(shared, id, "address");
    if shared.registry.borrow_mut().replaced(id) {
        tracing::info!(server = %id, "backend server is gone: another one answered at its address");
    }
}

fn complete_response(answer: CompleteAnswer) -> Response<Body> {
    answer::complete(answer.status, answer.headers, answer.body)
}

fn lost_response(progress: &Progress) -> Response<Body> {
    answer::refusal(Cause::Lost, progress.verdict(), None)
}

fn refuse(shared: &Shared, intake: &Intake, cause: Cause, verdict: Verdict) -> Response<Body> {
    let retry =
        intake.route().goal.mul_f64(RETRY_AFTER_FRACTION * (1.0 + shared.random_fraction()));
    refuse_with_retry(shared, intake, cause, verdict, retry)
}

/// Refuses a call because all servers are paused or at their limit until after the caller's goal.
fn refuse_paused(
    shared: &Shared,
    intake: &Intake,
    verdict: Verdict,
    at: Timestamp,
) -> Response<Body> {
    refuse_with_retry(shared, intake, Cause::Overload, verdict, at.since(shared.now()))
}

fn refuse_with_retry(
    shared: &Shared,
    intake: &Intake,
    cause: Cause,
    verdict: Verdict,
    retry: Duration,
) -> Response<Body> {
    let SnapshotVersion { config, roster, age } = shared.snapshot_version();
    tracing::info!(
        id = intake.id(), service = %intake.service, ?cause, ?verdict, config, roster, age,
        "request refused"
    );
    shared.metrics.count("gateway.refused", 1);
    answer::refusal(cause, verdict, Some(retry))
}
