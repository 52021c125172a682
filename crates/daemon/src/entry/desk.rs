//! The desk of an entry: request machines, views and links.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use ebonyloft_core::config::Route;
use ebonyloft_core::ids::{Peer, prefix_digest};
use ebonyloft_core::members::{Role, Standing};
use ebonyloft_core::message::{Answer, Control, Frame};
use ebonyloft_core::request::{Request, Spec, Step};
use ebonyloft_core::time::Moment;
use ebonyloft_core::verdict::{Reason, Refusal, Verdict};
use futures_channel::mpsc::UnboundedSender;

use super::dialer::{Dialer, Lost};
use super::views::Views;
use super::{Event, InForce, NOTICE};
use crate::clock::Clock;
use crate::control::{ControlMessage, ControlSender, News};
use crate::link::{Identity, LinkEvent, LinkSender, Sink};
use crate::metrics::Metrics;
use crate::settings::EntrySettings;

/// What an HTTP task hears of its request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answer bytes from `offset` on; `digest` covers all bytes up to their end.
    Bytes {
        offset: u64,
        bytes: String,
        digest: u64,
    },
    /// The answer is whole.
    Complete {
        status: u16,
        mime: String,
        attempt: String,
    },
    /// The final refusal.
    Refused(Refusal),
}

/// A caller's request.
pub struct Submission {
    /// Its number, unique in this process.
    pub id: u64,
    /// What it is.
    pub spec: Spec,
    /// Where it goes.
    pub route: Rc<Route>,
    /// Bytes that the caller holds already.
    pub skip: u64,
    /// Digest of those bytes, if the caller told it.
    pub prefix: Option<u64>,
    /// The caller wants the run stopped when it hangs up, without the reattach window.
    pub cancel: bool,
    /// The way back.
    pub reply: UnboundedSender<Reply>,
}

struct Live {
    request: Request,
    route: Rc<Route>,
    skip: u64,
    prefix: Option<u64>,
    cancel: bool,
    reply: UnboundedSender<Reply>,
    asks: Vec<(u64, Peer)>,
    began_at: Moment,
    first_byte: bool,
}

/// Owns the requests, views and links of an entry.
pub struct Desk {
    control: ControlSender,
    clock: Clock,
    metrics: Metrics,
    in_force: Rc<RefCell<InForce>>,
    views: Views,
    dialer: Dialer,
    live: HashMap<u64, Live>,
    /// Question number to request and the request's own number for it.
    asks: HashMap<u64, (u64, u64)>,
    wakes: BTreeSet<(Moment, u64)>,
    next_ask: u64,
    peer_links: HashMap<u64, LinkSender>,
    leave_at: Moment,
    leaving: bool,
}

impl Desk {
    /// A desk with nothing on it.
    pub fn new(
        settings: &EntrySettings,
        me: Rc<Identity>,
        control: ControlSender,
        sink: Sink,
        in_force: Rc<RefCell<InForce>>,
        clock: Clock,
        metrics: Metrics,
    ) -> Self {
        Desk {
            dialer: Dialer::new(me, sink),
            control,
            clock,
            metrics,
            in_force,
            views: Views::new(settings, clock.now()),
            live: HashMap::new(),
            asks: HashMap::new(),
            wakes: BTreeSet::new(),
            next_ask: 0,
            peer_links: HashMap::new(),
            leave_at: Moment::NEVER,
            leaving: false,
        }
    }

    /// Closes all links.
    pub fn close(self) {
        self.dialer.close();
        for sender in self.peer_links.values() {
            sender.close();
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Link(event) => self.on_link(now, event),
            Event::News(news) => self.on_news(news),
            Event::Submit(submission) => self.on_submit(now, *submission),
            Event::Gone(id) => self.on_gone(id),
            Event::Leave => self.begin_leave(),
            Event::Pools(reply) => {
                let _ = reply.send(self.views.explain_all());
            }
            Event::Explain(labels, reply) => {
                let _ = reply.send(self.views.explain(&labels));
            }
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let lost = self.dialer.on_tick(now);
        self.on_lost(now, lost);
        while let Some((at, id)) = self.wakes.first().copied() {
            if at > now {
                break;
            }
            self.wakes.pop_first();
            self.drive(now, id, |request, now, fleet| request.on_tick(now, fleet));
        }
        self.metrics.gauge("entry.open", self.live.len() as u64);
    }

    fn begin_leave(&mut self) {
        if self.leaving {
            return;
        }
        tracing::info!("leaving");
        self.leaving = true;
        self.leave_at = self.clock.now().after(NOTICE);
        self.in_force.borrow_mut().leaving = true;
        let _ = self
            .control
            .unbounded_send(ControlMessage::Standing(Standing::Leaving));
    }

    fn on_link(&mut self, now: Moment, event: LinkEvent) {
        match event {
            LinkEvent::Up {
                link, peer, sender, ..
            } => {
                if self.dialer.on_heard(now, link) {
                    let _ = self
                        .control
                        .unbounded_send(ControlMessage::Contact(peer.clone()));
                    let lost = self.dialer.on_up(now, link, peer, sender);
                    self.on_lost(now, lost);
                } else {
                    self.peer_links.insert(link, sender);
                }
            }
            LinkEvent::Down { link, .. } => {
                self.peer_links.remove(&link);
                let lost = self.dialer.on_down(now, link);
                self.on_lost(now, lost);
            }
            LinkEvent::Failed { link, error } => {
                tracing::debug!(%error, "dial failed");
                let lost = self.dialer.on_down(now, link);
                self.on_lost(now, lost);
            }
            LinkEvent::Frame { link, peer, frame } => self.on_frame(now, link, &peer, frame),
        }
    }

    fn on_frame(&mut self, now: Moment, link: u64, peer: &Peer, frame: Frame) {
        self.dialer.on_heard(now, link);
        match frame {
            Frame::Pong {
                load: Some(load), ..
            } => self.views.on_load(peer, &load),
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
            tracing::info!(%by, "told to drain");
            self.begin_leave();
            sender.send(&Frame::Control {
                id,
                body: Control::Ok,
            });
            return;
        }
        let (reply, answer) = futures_channel::oneshot::channel();
        let _ = self
            .control
            .unbounded_send(ControlMessage::Ask { body, reply });
        compio::runtime::spawn(async move {
            if let Ok(body) = answer.await {
                sender.send(&Frame::Control { id, body });
            }
        })
        .detach();
    }

    fn on_answer(&mut self, now: Moment, peer: &Peer, ask: u64, answer: Answer) {
        if let Answer::Refused { reason, .. } = &answer
            && matches!(reason, Reason::Leaving | Reason::Upstream)
        {
            self.views.on_failed(now, peer);
        }
        if let Answer::Failed {
            reason: Reason::Upstream,
            ..
        } = &answer
        {
            self.views.on_failed(now, peer);
        }
        let Some((id, seq)) = self.asks.get(&ask).copied() else {
            return;
        };
        if is_final(&answer) {
            self.forget_ask(id, ask);
        }
        self.drive(now, id, |request, now, fleet| {
            request.on_answer(now, fleet, seq, answer)
        });
    }

    fn on_lost(&mut self, now: Moment, lost: Vec<Lost>) {
        for Lost { id: ask, gone } in lost {
            let Some((id, seq)) = self.asks.get(&ask).copied() else {
                continue;
            };
            if let Some(live) = self.live.get(&id)
                && let Some((_, peer)) = live.asks.iter().find(|(a, _)| *a == ask)
            {
                let peer = peer.clone();
                self.views.on_failed(now, &peer);
            }
            self.forget_ask(id, ask);
            self.drive(now, id, |request, now, fleet| {
                request.on_lost(now, fleet, seq, gone)
            });
        }
    }

    fn on_news(&mut self, news: News) {
        match news {
            News::Members(cards) => {
                let live = |c: &&ebonyloft_core::members::Card| c.role == Role::Entry && c.usable();
                self.in_force.borrow_mut().entries = cards.iter().filter(live).count().max(1);
                self.metrics.gauge("control.members", cards.len() as u64);
                self.views.set_cards(cards);
            }
            News::Config { revision, doc } => {
                let mut in_force = self.in_force.borrow_mut();
                in_force.revision = revision;
                in_force.doc = doc.clone();
                self.metrics.gauge("control.revision", revision);
                self.views.set_doc(doc);
            }
            News::Placement(placement) => {
                self.in_force.borrow_mut().epoch = placement.epoch;
                self.metrics.gauge("control.epoch", placement.epoch);
                return self.views.set_placement(placement);
            }
        }
        self.dialer
            .set_members(self.views.cards(), self.views.kept());
    }

    fn on_submit(&mut self, now: Moment, submission: Submission) {
        let Submission {
            id,
            spec,
            route,
            skip,
            prefix,
            cancel,
            reply,
        } = submission;
        self.views.on_request();
        self.metrics.count("entry.requests", 1);
        let live = Live {
            request: Request::new(spec),
            route,
            skip,
            prefix,
            cancel,
            reply,
            asks: Vec::new(),
            began_at: now,
            first_byte: false,
        };
        self.live.insert(id, live);
        self.drive(now, id, |request, now, fleet| request.begin(now, fleet));
    }

    fn on_gone(&mut self, id: u64) {
        let now = self.clock.now();
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        let steps = live.request.on_caller_gone(live.cancel);
        self.apply(now, id, steps);
        self.finish(id);
    }

    /// Calls a request's machine and does what it says, until nothing more follows at once.
    fn drive(
        &mut self,
        now: Moment,
        id: u64,
        call: impl FnOnce(&mut Request, Moment, &mut dyn ebonyloft_core::request::Fleet) -> Vec<Step>,
    ) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        let route = live.route.clone();
        let steps = call(&mut live.request, now, &mut self.views.fleet(&route));
        self.apply(now, id, steps);
        let Some(live) = self.live.get(&id) else {
            return;
        };
        if live.request.closed() {
            self.finish(id);
        } else if live.request.wake_at() != Moment::NEVER {
            self.wakes.insert((live.request.wake_at(), id));
        }
    }

    fn apply(&mut self, now: Moment, id: u64, steps: Vec<Step>) {
        let mut lost = Vec::new();
        for step in steps {
            match step {
                Step::Ask { to, seq, ask } => {
                    self.next_ask += 1;
                    let number = self.next_ask;
                    self.asks.insert(number, (id, seq));
                    if let Some(live) = self.live.get_mut(&id) {
                        live.asks.push((number, to.clone()));
                    }
                    lost.extend(self.dialer.ask(now, &to, Some(number), ask));
                }
                Step::Tell { to, ask } => {
                    self.dialer.ask(now, &to, None, ask);
                }
                Step::Deliver { bytes } => self.deliver(now, id, &bytes),
                Step::Complete { status, mime } => self.complete(id, status, mime),
                Step::Refuse(refusal) => self.refuse(id, refusal),
            }
        }
        self.on_lost(now, lost);
    }

    fn deliver(&mut self, now: Moment, id: u64, bytes: &str) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        let held = live.request.held();
        let end = held.len() as u64;
        if !live.first_byte {
            live.first_byte = true;
            let ms = now.since(live.began_at).as_millis() as u64;
            self.metrics.time("entry.first_byte_ms", ms);
        }
        if end <= live.skip {
            return;
        }
        let from = (end - bytes.len() as u64).max(live.skip);
        let known = held
            .get(..live.skip as usize)
            .map(|p| prefix_digest(p.as_bytes()));
        if known.is_none() || live.prefix.is_some_and(|p| Some(p) != known) {
            return self.reject_prefix(now, id);
        }
        live.prefix = None;
        let digest = prefix_digest(held.as_bytes());
        let bytes = held.get(from as usize..).unwrap_or_default().to_owned();
        let _ = live.reply.unbounded_send(Reply::Bytes {
            offset: from,
            bytes,
            digest,
        });
    }

    /// The caller holds bytes of another answer: joining them would splice two.
    fn reject_prefix(&mut self, now: Moment, id: u64) {
        let refusal = Refusal::unknown(Reason::AnswerChanged);
        self.refuse(id, refusal);
        if let Some(live) = self.live.get_mut(&id) {
            let steps = live.request.on_caller_gone(false);
            self.apply(now, id, steps);
        }
    }

    fn complete(&mut self, id: u64, status: u16, mime: String) {
        let Some(live) = self.live.get(&id) else {
            return;
        };
        self.metrics.count("entry.completed", 1);
        let attempt = live
            .request
            .attempt()
            .map(|a| a.to_string())
            .unwrap_or_default();
        let _ = live.reply.unbounded_send(Reply::Complete {
            status,
            mime,
            attempt,
        });
    }

    fn refuse(&mut self, id: u64, refusal: Refusal) {
        let Some(live) = self.live.get(&id) else {
            return;
        };
        let name = match refusal.verdict {
            Verdict::NotRun => "entry.refused.not_run",
            Verdict::MayHaveRun => "entry.refused.may_have_run",
        };
        self.metrics.count(name, 1);
        let key = &live.request.spec().key;
        tracing::info!(account = %key.account, key = %key.text, reason = ?refusal.reason, verdict = ?refusal.verdict, "refused");
        let _ = live.reply.unbounded_send(Reply::Refused(refusal));
    }

    fn finish(&mut self, id: u64) {
        if let Some(live) = self.live.remove(&id) {
            for (ask, peer) in live.asks {
                self.asks.remove(&ask);
                self.dialer.done(&peer, ask);
            }
        }
    }

    fn forget_ask(&mut self, id: u64, ask: u64) {
        self.asks.remove(&ask);
        if let Some(live) = self.live.get_mut(&id)
            && let Some(i) = live.asks.iter().position(|(a, _)| *a == ask)
        {
            let (_, peer) = live.asks.swap_remove(i);
            self.dialer.done(&peer, ask);
        }
    }
}

/// Does no further answer to the same question follow?
fn is_final(answer: &Answer) -> bool {
    !matches!(answer, Answer::Admitted { .. } | Answer::Chunk { .. })
}

impl crate::desk::Desk for Desk {
    type Event = Event;

    fn on_event(&mut self, event: Event) {
        self.handle(event);
    }

    fn on_tick(&mut self) {
        self.tick();
    }

    fn leave(&mut self) {
        self.begin_leave();
    }

    fn leaving(&self) -> bool {
        self.leaving
    }

    fn idle(&self) -> bool {
        self.live.is_empty() && self.clock.now() >= self.leave_at
    }
}
