//! The actor of an entry: owns the state machines of requests, the pool views and the links.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use ebonyloft_core::config::Route;
use ebonyloft_core::ids::{Peer, prefix_digest};
use ebonyloft_core::members::{Role, Standing};
use ebonyloft_core::message::{Answer, Control, Frame};
use ebonyloft_core::request::{Request, Spec, Step};
use ebonyloft_core::time::Timestamp;
use ebonyloft_core::verdict::{Reason, Refusal, Verdict};
use futures_channel::mpsc::UnboundedSender;

use super::dialer::{Dialer, LostCall};
use super::pool_views::PoolViews;
use super::{DRAIN_NOTICE, Event, SharedState};
use crate::clock::Clock;
use crate::control::{ControlMessage, ControlSender, ControlUpdate};
use crate::link::{EventSink, Identity, LinkEvent, LinkSender};
use crate::metrics::Metrics;
use crate::settings::EntrySettings;

/// Messages from the actor to the HTTP task of a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answer bytes from `offset` on; `digest` covers all bytes up to their end.
    Bytes { offset: u64, bytes: String, digest: u64 },
    /// The answer is complete.
    Complete { status: u16, mime: String, attempt: String },
    /// The request was refused for good.
    Refused(Refusal),
}

/// A caller's request, submitted by its HTTP task.
pub struct Submission {
    /// Request id, unique in this process.
    pub id: u64,
    /// The request.
    pub spec: Spec,
    /// The route resolved for it.
    pub route: Rc<Route>,
    /// Number of answer bytes that the caller has already received.
    pub resume_offset: u64,
    /// Digest of those bytes, if the caller sent it.
    pub resume_digest: Option<u64>,
    /// Cancel the run as soon as the caller disconnects instead of waiting for it to reattach.
    pub cancel_run: bool,
    /// Channel to the HTTP task.
    pub reply: UnboundedSender<Reply>,
}

struct ActiveRequest {
    request: Request,
    route: Rc<Route>,
    resume_offset: u64,
    resume_digest: Option<u64>,
    cancel_run: bool,
    reply: UnboundedSender<Reply>,
    calls: Vec<(u64, Peer)>,
    submitted_at: Timestamp,
    answer_started: bool,
}

/// Owns the requests, pool views and links of an entry.
pub struct EntryActor {
    control: ControlSender,
    clock: Clock,
    metrics: Metrics,
    shared: Rc<RefCell<SharedState>>,
    views: PoolViews,
    dialer: Dialer,
    requests: HashMap<u64, ActiveRequest>,
    /// Call id to request id and the request's own sequence number for the call.
    calls: HashMap<u64, (u64, u64)>,
    wakeups: BTreeSet<(Timestamp, u64)>,
    last_call: u64,
    peer_links: HashMap<u64, LinkSender>,
    accept_until: Timestamp,
    draining: bool,
}

impl EntryActor {
    /// Creates an actor without requests or links.
    pub fn new(
        settings: &EntrySettings,
        me: Rc<Identity>,
        control: ControlSender,
        sink: EventSink,
        shared: Rc<RefCell<SharedState>>,
        clock: Clock,
        metrics: Metrics,
    ) -> Self {
        EntryActor {
            dialer: Dialer::new(me, sink),
            control,
            clock,
            metrics,
            shared,
            views: PoolViews::new(settings, clock.now()),
            requests: HashMap::new(),
            calls: HashMap::new(),
            wakeups: BTreeSet::new(),
            last_call: 0,
            peer_links: HashMap::new(),
            accept_until: Timestamp::NEVER,
            draining: false,
        }
    }

    /// Closes all links.
    pub fn close(self) {
        self.dialer.close();
        for sender in self.peer_links.values() {
            sender.close();
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Link(event) => self.on_link(now, event),
            Event::Update(update) => self.on_update(update),
            Event::Submit(submission) => self.on_submit(now, *submission),
            Event::HungUp(id) => self.on_hangup(id),
            Event::Drain => self.begin_drain(),
            Event::ListPools(reply) => {
                let _ = reply.send(self.views.explain_all());
            }
            Event::Explain(labels, reply) => {
                let _ = reply.send(self.views.explain(&labels));
            }
        }
    }

    fn run_timers(&mut self) {
        let now = self.clock.now();
        let lost = self.dialer.on_tick(now);
        self.on_lost_calls(now, lost);
        while let Some((at, id)) = self.wakeups.first().copied() {
            if at > now {
                break;
            }
            self.wakeups.pop_first();
            self.advance(now, id, |request, now, fleet| request.on_tick(now, fleet));
        }
        self.metrics.gauge("entry.open", self.requests.len() as u64);
    }

    fn begin_drain(&mut self) {
        if self.draining {
            return;
        }
        tracing::info!("draining");
        self.draining = true;
        self.accept_until = self.clock.now().after(DRAIN_NOTICE);
        self.shared.borrow_mut().draining = true;
        let _ = self.control.unbounded_send(ControlMessage::Standing(Standing::Leaving));
    }

    fn on_link(&mut self, now: Timestamp, event: LinkEvent) {
        match event {
            LinkEvent::Up { link, peer, sender, .. } => {
                if self.dialer.on_frame_received(now, link) {
                    let _ = self.control.unbounded_send(ControlMessage::PeerSeen(peer.clone()));
                    let lost = self.dialer.on_up(now, link, peer, sender);
                    self.on_lost_calls(now, lost);
                } else {
                    self.peer_links.insert(link, sender);
                }
            }
            LinkEvent::Down { link, .. } => {
                self.peer_links.remove(&link);
                let lost = self.dialer.on_down(now, link);
                self.on_lost_calls(now, lost);
            }
            LinkEvent::DialFailed { link, error } => {
                tracing::debug!(%error, "failed to connect to a sidecar");
                let lost = self.dialer.on_down(now, link);
                self.on_lost_calls(now, lost);
            }
            LinkEvent::Frame { link, peer, frame } => self.on_frame(now, link, &peer, frame),
        }
    }

    fn on_frame(&mut self, now: Timestamp, link: u64, peer: &Peer, frame: Frame) {
        self.dialer.on_frame_received(now, link);
        match frame {
            Frame::Pong { load: Some(load), .. } => self.views.on_load(peer, &load),
            Frame::Pong { .. } => {}
            Frame::Answer { id, answer } => self.on_answer(now, peer, id, answer),
            Frame::Control { id, body } => self.on_control(link, id, body),
            Frame::Ping { seq } => {
                if let Some(sender) = self.peer_links.get(&link) {
                    sender.send(&Frame::Pong { seq, load: None });
                }
            }
            _ => tracing::warn!(peer = %peer.id, "unexpected frame"),
        }
    }

    fn on_control(&mut self, link: u64, id: u64, body: Control) {
        let Some(sender) = self.peer_links.get(&link).cloned() else {
            return;
        };
        if let Control::Drain { by } = &body {
            tracing::info!(%by, "an operator requested a drain");
            self.begin_drain();
            sender.send(&Frame::Control { id, body: Control::Ok });
            return;
        }
        let (reply, answer) = futures_channel::oneshot::channel();
        let _ = self.control.unbounded_send(ControlMessage::Request { body, reply });
        compio::runtime::spawn(async move {
            if let Ok(body) = answer.await {
                sender.send(&Frame::Control { id, body });
            }
        })
        .detach();
    }

    fn on_answer(&mut self, now: Timestamp, peer: &Peer, call: u64, answer: Answer) {
        if let Answer::Refused { reason, .. } = &answer
            && matches!(reason, Reason::Leaving | Reason::Upstream)
        {
            self.views.on_failed(now, peer);
        }
        if let Answer::Failed { reason: Reason::Upstream, .. } = &answer {
            self.views.on_failed(now, peer);
        }
        let Some((id, seq)) = self.calls.get(&call).copied() else {
            return;
        };
        if is_final(&answer) {
            self.close_call(id, call);
        }
        self.advance(now, id, |request, now, fleet| request.on_answer(now, fleet, seq, answer));
    }

    fn on_lost_calls(&mut self, now: Timestamp, lost: Vec<LostCall>) {
        for LostCall { id: call, peer_ended } in lost {
            let Some((id, seq)) = self.calls.get(&call).copied() else {
                continue;
            };
            if let Some(active) = self.requests.get(&id)
                && let Some((_, peer)) = active.calls.iter().find(|(c, _)| *c == call)
            {
                let peer = peer.clone();
                self.views.on_failed(now, &peer);
            }
            self.close_call(id, call);
            self.advance(now, id, |request, now, fleet| {
                request.on_lost(now, fleet, seq, peer_ended)
            });
        }
    }

    fn on_update(&mut self, update: ControlUpdate) {
        match update {
            ControlUpdate::Members(members) => {
                let live_entry = |c: &&ebonyloft_core::members::MemberRecord| {
                    c.role == Role::Entry && c.usable()
                };
                self.shared.borrow_mut().entries = members.iter().filter(live_entry).count().max(1);
                self.metrics.gauge("control.members", members.len() as u64);
                self.views.set_members(members);
            }
            ControlUpdate::Config { revision, doc } => {
                let mut shared = self.shared.borrow_mut();
                shared.revision = revision;
                shared.doc = doc.clone();
                self.metrics.gauge("control.revision", revision);
                self.views.set_doc(doc);
            }
            ControlUpdate::Placement(placement) => {
                self.shared.borrow_mut().epoch = placement.epoch;
                self.metrics.gauge("control.epoch", placement.epoch);
                return self.views.set_placement(placement);
            }
        }
        self.dialer.set_members(self.views.members(), self.views.pinned());
    }

    fn on_submit(&mut self, now: Timestamp, submission: Submission) {
        let Submission { id, spec, route, resume_offset, resume_digest, cancel_run, reply } =
            submission;
        self.views.on_request();
        self.metrics.count("entry.requests", 1);
        let active = ActiveRequest {
            request: Request::new(spec),
            route,
            resume_offset,
            resume_digest,
            cancel_run,
            reply,
            calls: Vec::new(),
            submitted_at: now,
            answer_started: false,
        };
        self.requests.insert(id, active);
        self.advance(now, id, |request, now, fleet| request.begin(now, fleet));
    }

    fn on_hangup(&mut self, id: u64) {
        let now = self.clock.now();
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let steps = active.request.on_caller_gone(active.cancel_run);
        self.apply(now, id, steps);
        self.finish(id);
    }

    /// Runs one step of a request's state machine, applies the result and schedules its next tick.
    fn advance(
        &mut self,
        now: Timestamp,
        id: u64,
        step: impl FnOnce(&mut Request, Timestamp, &mut dyn ebonyloft_core::request::Fleet) -> Vec<Step>,
    ) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let route = active.route.clone();
        let steps = step(&mut active.request, now, &mut self.views.route_fleet(&route));
        self.apply(now, id, steps);
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        if active.request.closed() {
            self.finish(id);
        } else if active.request.wake_at() != Timestamp::NEVER {
            self.wakeups.insert((active.request.wake_at(), id));
        }
    }

    fn apply(&mut self, now: Timestamp, id: u64, steps: Vec<Step>) {
        let mut lost = Vec::new();
        for step in steps {
            match step {
                Step::Ask { to, seq, ask } => {
                    self.last_call += 1;
                    let call = self.last_call;
                    self.calls.insert(call, (id, seq));
                    if let Some(active) = self.requests.get_mut(&id) {
                        active.calls.push((call, to.clone()));
                    }
                    lost.extend(self.dialer.call(now, &to, Some(call), ask));
                }
                Step::Tell { to, ask } => {
                    self.dialer.call(now, &to, None, ask);
                }
                Step::Deliver { bytes } => self.deliver(now, id, &bytes),
                Step::Complete { status, mime } => self.complete(id, status, mime),
                Step::Refuse(refusal) => self.refuse(id, refusal),
            }
        }
        self.on_lost_calls(now, lost);
    }

    fn deliver(&mut self, now: Timestamp, id: u64, bytes: &str) {
        let Some(active) = self.requests.get_mut(&id) else {
            return;
        };
        let received = active.request.received();
        let end = received.len() as u64;
        if !active.answer_started {
            active.answer_started = true;
            let ms = now.since(active.submitted_at).as_millis() as u64;
            self.metrics.time("entry.first_byte_ms", ms);
        }
        if end <= active.resume_offset {
            return;
        }
        let start = (end - bytes.len() as u64).max(active.resume_offset);
        let actual_digest =
            received.get(..active.resume_offset as usize).map(|p| prefix_digest(p.as_bytes()));
        if actual_digest.is_none() || active.resume_digest.is_some_and(|p| Some(p) != actual_digest)
        {
            return self.reject_resume(now, id);
        }
        active.resume_digest = None;
        let digest = prefix_digest(received.as_bytes());
        let bytes = received.get(start as usize..).unwrap_or_default().to_owned();
        let _ = active.reply.unbounded_send(Reply::Bytes { offset: start, bytes, digest });
    }

    /// Refuses a request whose caller holds bytes of another answer: resuming would splice the two.
    fn reject_resume(&mut self, now: Timestamp, id: u64) {
        let refusal = Refusal::unknown(Reason::AnswerChanged);
        self.refuse(id, refusal);
        if let Some(active) = self.requests.get_mut(&id) {
            let steps = active.request.on_caller_gone(false);
            self.apply(now, id, steps);
        }
    }

    fn complete(&mut self, id: u64, status: u16, mime: String) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        self.metrics.count("entry.completed", 1);
        let attempt = active.request.attempt().map(|a| a.to_string()).unwrap_or_default();
        let _ = active.reply.unbounded_send(Reply::Complete { status, mime, attempt });
    }

    fn refuse(&mut self, id: u64, refusal: Refusal) {
        let Some(active) = self.requests.get(&id) else {
            return;
        };
        let metric = match refusal.verdict {
            Verdict::NotRun => "entry.refused.not_run",
            Verdict::MayHaveRun => "entry.refused.may_have_run",
        };
        self.metrics.count(metric, 1);
        let key = &active.request.spec().key;
        tracing::info!(account = %key.account, key = %key.text, reason = ?refusal.reason, verdict = ?refusal.verdict, "refused a request");
        let _ = active.reply.unbounded_send(Reply::Refused(refusal));
    }

    fn finish(&mut self, id: u64) {
        if let Some(active) = self.requests.remove(&id) {
            for (call, peer) in active.calls {
                self.calls.remove(&call);
                self.dialer.finish_call(&peer, call);
            }
        }
    }

    fn close_call(&mut self, id: u64, call: u64) {
        self.calls.remove(&call);
        if let Some(active) = self.requests.get_mut(&id)
            && let Some(i) = active.calls.iter().position(|(c, _)| *c == call)
        {
            let (_, peer) = active.calls.swap_remove(i);
            self.dialer.finish_call(&peer, call);
        }
    }
}

/// Is this the last answer to its call?
fn is_final(answer: &Answer) -> bool {
    !matches!(answer, Answer::Admitted { .. } | Answer::Chunk { .. })
}

impl crate::event_loop::EventHandler for EntryActor {
    type Event = Event;

    fn on_event(&mut self, event: Event) {
        self.handle_event(event);
    }

    fn on_tick(&mut self) {
        self.run_timers();
    }

    fn start_draining(&mut self) {
        self.begin_drain();
    }

    fn leaving(&self) -> bool {
        self.draining
    }

    fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.clock.now() >= self.accept_until
    }
}
