//! The desk of a sidecar: messages in, calls of the machines, effects out.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use ebonyloft_core::executor::Effect;
use ebonyloft_core::ids::{MemberId, Peer};
use ebonyloft_core::members::{Card, Standing};
use ebonyloft_core::message::{Answer, Ask, Control, Frame, LoadReport};
use ebonyloft_core::orders::{Order, OrderResult};
use ebonyloft_core::placement::Placement;
use ebonyloft_core::prefill;
use ebonyloft_core::time::Moment;
use futures_channel::mpsc::UnboundedSender;

use super::home::{self, SLOTS_AT_ONCE};
use super::server::{ServerEvent, ServerHandle};
use super::{Event, Machines};
use crate::clock::Clock;
use crate::control::{ControlMessage, ControlSender, News};
use crate::link::{Identity, LinkEvent, LinkSender};
use crate::metrics::Metrics;

/// How often lost hand-overs are asked for again.
const HANDOVER_PAUSE: std::time::Duration = std::time::Duration::from_millis(300);
/// How often gauges are sent.
const GAUGE_PAUSE: std::time::Duration = std::time::Duration::from_secs(1);

struct Link {
    peer: Peer,
    sender: LinkSender,
    told: LoadReport,
}

/// Owns the machines of a sidecar.
pub struct Desk {
    machines: Machines,
    me: Rc<Identity>,
    control: ControlSender,
    server: ServerHandle,
    events: UnboundedSender<Event>,
    clock: Clock,
    metrics: Metrics,
    links: HashMap<u64, Link>,
    by_peer: HashMap<Peer, u64>,
    cards: HashMap<MemberId, Card>,
    placement: Rc<Placement>,
    asked: HashSet<Peer>,
    ask_at: Moment,
    gauge_at: Moment,
    leaving: bool,
    told_load: HashSet<Peer>,
}

impl Desk {
    /// A desk with nothing on it.
    pub fn new(
        machines: Machines,
        me: Rc<Identity>,
        control: ControlSender,
        server: ServerHandle,
        events: UnboundedSender<Event>,
        clock: Clock,
        metrics: Metrics,
    ) -> Self {
        Desk {
            machines,
            me,
            control,
            server,
            events,
            clock,
            metrics,
            links: HashMap::new(),
            by_peer: HashMap::new(),
            cards: HashMap::new(),
            placement: Rc::default(),
            asked: HashSet::new(),
            ask_at: Moment(0),
            gauge_at: Moment(0),
            leaving: false,
            told_load: HashSet::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Link(event) => self.on_link(now, event),
            Event::News(news) => self.on_news(now, news),
            Event::Server(event) => self.on_server(now, event),
            Event::HandedOver { from, body } => self.on_handed(&from, body),
            Event::Fence(fence) => self.machines.gate.on_platform(now, fence),
            Event::Leave => self.begin_leave(),
        }
        self.flush_load(now);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let effects = self.machines.executor.on_tick(now);
        self.apply(effects);
        let effects = self.machines.prefills.on_tick(now);
        self.apply_prefill(effects);
        self.machines.ledger.forget(now);
        if now >= self.ask_at {
            self.ask_at = now.after(HANDOVER_PAUSE);
            self.ask_handovers();
        }
        if now >= self.gauge_at {
            self.gauge_at = now.after(GAUGE_PAUSE);
            self.send_gauges();
        }
        self.flush_load(now);
    }

    fn begin_leave(&mut self) {
        if self.leaving {
            return;
        }
        tracing::info!("leaving");
        self.leaving = true;
        self.machines.executor.leave();
        self.machines.prefills.leave();
        let _ = self
            .control
            .unbounded_send(ControlMessage::Standing(Standing::Leaving));
        let peers: Vec<Peer> = self.by_peer.keys().cloned().collect();
        self.told_load.extend(peers);
    }

    /// Nothing runs, and no slot's records wait here to be handed over.
    fn nothing_left(&self) -> bool {
        let alone = self.placement.homes().iter().all(|h| *h == self.me.peer);
        let placed = self.placement.mentions(&self.me.peer) && !alone;
        self.machines.executor.open() == 0 && self.machines.prefills.is_empty() && !placed
    }

    /// Logs what the machines counted.
    pub fn note_end(&self) {
        let stats = self.machines.executor.stats();
        tracing::info!(
            started = stats.started,
            ended = stats.ended,
            violations = stats.violations(),
            "sidecar ends"
        );
    }

    /// Closes all links.
    pub fn close(self) {
        for link in self.links.values() {
            link.sender.close();
        }
    }

    fn on_link(&mut self, now: Moment, event: LinkEvent) {
        match event {
            LinkEvent::Up {
                link, peer, sender, ..
            } => {
                if let Some(old) = self.by_peer.insert(peer.clone(), link)
                    && let Some(old) = self.links.remove(&old)
                {
                    old.sender.close();
                    self.machines.executor.on_link_down(&peer);
                }
                self.links.insert(
                    link,
                    Link {
                        peer: peer.clone(),
                        sender,
                        told: LoadReport::default(),
                    },
                );
                self.machines.executor.on_alive(now, &peer);
                self.told_load.insert(peer);
            }
            LinkEvent::Down { link, peer } => {
                self.links.remove(&link);
                if self.by_peer.get(&peer) == Some(&link) {
                    self.by_peer.remove(&peer);
                    self.machines.executor.on_link_down(&peer);
                }
            }
            LinkEvent::Frame { link, peer, frame } => {
                if self.links.contains_key(&link) {
                    self.on_frame(now, link, peer, frame);
                }
            }
            LinkEvent::Failed { .. } => {}
        }
    }

    fn on_frame(&mut self, now: Moment, link: u64, peer: Peer, frame: Frame) {
        match frame {
            Frame::Ping { seq } => {
                self.machines.executor.on_alive(now, &peer);
                let load = self.changed_load(now, link);
                self.send(link, &Frame::Pong { seq, load });
            }
            Frame::Ask { id, ask } => self.on_ask(now, link, peer, id, ask),
            Frame::Control { id, body } => self.on_control(now, link, id, body),
            _ => tracing::warn!(peer = %peer.id, "unexpected frame"),
        }
    }

    fn on_ask(&mut self, now: Moment, link: u64, peer: Peer, id: u64, ask: Ask) {
        let ledger = &mut self.machines.ledger;
        let answer = match ask {
            Ask::Claim {
                key,
                digest,
                repeat,
                executor,
                ..
            } => ledger.claim(now, &key, digest, repeat, &executor),
            Ask::Find { key } => ledger.find(now, &key),
            Ask::Reassign {
                key,
                attempt,
                ended,
                executor,
            } => ledger.reassign(now, &key, attempt, ended, &executor),
            Ask::Settle {
                key,
                attempt,
                ended,
            } => ledger.settle(now, &key, attempt, ended),
            Ask::Prefill {
                attempt,
                class,
                start_at,
                deadline,
                work,
            } => {
                let effects = self
                    .machines
                    .prefills
                    .on_job(now, &peer, id, attempt, class, start_at, deadline, work);
                self.told_load.insert(peer);
                return self.apply_prefill(effects);
            }
            Ask::Forget { attempt } => {
                let effects = self.machines.prefills.on_forget(now, &attempt);
                return self.apply_prefill(effects);
            }
            ask => {
                if matches!(ask, Ask::Admit(_)) {
                    self.told_load.insert(peer.clone());
                }
                let effects = self.machines.executor.on_ask(now, &peer, id, ask);
                return self.apply(effects);
            }
        };
        self.send(link, &Frame::Answer { id, answer });
    }

    fn on_control(&mut self, now: Moment, link: u64, id: u64, body: Control) {
        let answer = match body {
            Control::TakeOver { epoch, slots } => {
                match self.machines.ledger.hand_over(epoch, &slots) {
                    Some(records) => Control::HandOver {
                        epoch,
                        slots,
                        records,
                    },
                    None => Control::Unfit,
                }
            }
            Control::List { limit } => Control::Listed {
                rows: self.machines.executor.rows(limit as usize),
            },
            Control::Drain { by } => {
                tracing::info!(%by, "told to drain");
                let _ = self.events.unbounded_send(Event::Leave);
                Control::Ok
            }
            Control::Order(order) => return self.on_order(now, link, id, order),
            body => return self.pass_control(link, id, body),
        };
        self.send(link, &Frame::Control { id, body: answer });
    }

    /// Questions that the control task answers.
    fn pass_control(&mut self, link: u64, id: u64, body: Control) {
        let Some(sender) = self.links.get(&link).map(|l| l.sender.clone()) else {
            return;
        };
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

    fn on_order(&mut self, now: Moment, link: u64, id: u64, order: Order) {
        if let Err(result) = self.machines.gate.check(now, &order) {
            return self.send(
                link,
                &Frame::Control {
                    id,
                    body: Control::Ordered(result),
                },
            );
        }
        let Some(sender) = self.links.get(&link).map(|l| l.sender.clone()) else {
            return;
        };
        tracing::info!(fence = order.fence, holder = %order.holder, action = ?order.action, "order sent");
        let sent = self.server.order(order);
        compio::runtime::spawn(async move {
            let result = sent
                .await
                .unwrap_or_else(|detail| OrderResult::Failed { detail });
            sender.send(&Frame::Control {
                id,
                body: Control::Ordered(result),
            });
        })
        .detach();
    }

    fn on_news(&mut self, _now: Moment, news: News) {
        match news {
            News::Members(cards) => {
                self.cards = cards
                    .iter()
                    .map(|c| (c.peer.id.clone(), c.clone()))
                    .collect();
            }
            News::Placement(placement) => {
                self.machines.ledger.adopt(&placement);
                self.placement = placement;
                self.ask_handovers();
            }
            News::Config { .. } => {}
        }
    }

    fn ask_handovers(&mut self) {
        let epoch = self.placement.epoch;
        for wanted in self.machines.ledger.wanted() {
            if self.asked.contains(&wanted.from) {
                continue;
            }
            let Some(card) = self.cards.get(&wanted.from.id) else {
                continue;
            };
            self.asked.insert(wanted.from.clone());
            let slots = wanted.slots.into_iter().take(SLOTS_AT_ONCE).collect();
            home::take_over(card.addr, &self.me, wanted.from, epoch, slots, &self.events);
        }
        let taken = self.machines.ledger.taken();
        if !taken.is_empty() && self.machines.ledger.wanted().is_empty() {
            let _ = self.control.unbounded_send(ControlMessage::Taken(taken));
        }
    }

    fn on_handed(&mut self, from: &Peer, body: Option<Control>) {
        self.asked.remove(from);
        if let Some(Control::HandOver {
            epoch,
            slots,
            records,
        }) = body
        {
            tracing::info!(from = %from.id, slots = slots.len(), records = records.len(), "slots taken over");
            self.machines.ledger.take_over(epoch, &slots, records);
            self.ask_handovers();
        }
    }

    fn on_server(&mut self, now: Moment, event: ServerEvent) {
        match event {
            ServerEvent::Output {
                attempt,
                text,
                tokens,
            } => {
                let effects = self
                    .machines
                    .executor
                    .on_output(now, attempt, &text, tokens);
                self.apply(effects);
            }
            ServerEvent::End {
                attempt,
                status,
                mime,
            } => {
                self.server.forget(&attempt);
                let effects = self.machines.executor.on_end(now, attempt, status, &mime);
                self.note_ends(&effects);
                self.apply(effects);
            }
            ServerEvent::Failed { attempt, ran } => {
                self.server.forget(&attempt);
                let effects = self.machines.executor.on_failed(now, attempt, ran);
                self.note_ends(&effects);
                self.apply(effects);
            }
            ServerEvent::Computed { attempt, kv } => {
                self.server.forget_prefill(&attempt);
                let effects = self.machines.prefills.on_computed(now, attempt, kv);
                self.apply_prefill(effects);
            }
            ServerEvent::Cache { seq, head, stored } => {
                self.machines.prefills.on_event(seq, head, stored);
            }
        }
    }

    /// Whoever gets an end also gets the load, so that its next choice is well founded.
    fn note_ends(&mut self, effects: &[Effect]) {
        for effect in effects {
            if let Effect::Answer {
                to,
                answer: Answer::End { .. },
                ..
            } = effect
            {
                self.told_load.insert(to.clone());
            }
        }
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Answer { to, id, answer } => self.answer(&to, id, answer),
                Effect::Run { attempt, kv } => {
                    if let Some(admission) = self.machines.executor.admission(&attempt) {
                        self.server.run(admission, kv);
                    }
                }
                Effect::Stop { attempt } => self.server.stop(&attempt),
                Effect::Hang { peer } => self.hang(&peer),
            }
        }
    }

    /// Closes the link of a peer whose lease lapsed, and forgets its prefill work.
    fn hang(&mut self, peer: &Peer) {
        let now = self.clock.now();
        tracing::info!(peer = %peer.id, "lease lapsed");
        if let Some(link) = self.by_peer.remove(peer)
            && let Some(link) = self.links.remove(&link)
        {
            link.sender.close();
        }
        let effects = self.machines.prefills.on_lapsed(now, peer);
        self.apply_prefill(effects);
    }

    fn apply_prefill(&mut self, effects: Vec<prefill::Effect>) {
        for effect in effects {
            match effect {
                prefill::Effect::Answer { to, id, answer } => {
                    self.told_load.insert(to.clone());
                    self.answer(&to, id, answer);
                }
                prefill::Effect::Compute { attempt, work } => self.server.prefill(attempt, work),
                prefill::Effect::Drop { attempt } => self.server.drop_prefill(&attempt),
            }
        }
    }

    fn answer(&self, to: &Peer, id: u64, answer: Answer) {
        if let Some(link) = self.by_peer.get(to) {
            self.send(*link, &Frame::Answer { id, answer });
        }
    }

    fn send(&self, link: u64, frame: &Frame) {
        if let Some(l) = self.links.get(&link)
            && !l.sender.send(frame)
        {
            tracing::debug!(peer = %l.peer.id, "link is gone or too slow");
        }
    }

    fn load(&self, now: Moment) -> LoadReport {
        LoadReport {
            backlog: self.machines.prefills.backlog(),
            heads: self.machines.prefills.heads(),
            leaving: self.leaving,
            ..self.machines.executor.load(now)
        }
    }

    fn flush_load(&mut self, now: Moment) {
        if self.told_load.is_empty() {
            return;
        }
        let load = self.load(now);
        for peer in std::mem::take(&mut self.told_load) {
            let Some(link) = self.by_peer.get(&peer).copied() else {
                continue;
            };
            self.send(
                link,
                &Frame::Pong {
                    seq: 0,
                    load: Some(load.clone()),
                },
            );
            if let Some(l) = self.links.get_mut(&link) {
                l.told = load.clone();
            }
        }
    }

    /// The load, if the peer does not know it yet; an expected moment alone is no news.
    fn changed_load(&mut self, now: Moment, link: u64) -> Option<LoadReport> {
        let load = self.load(now);
        let l = self.links.get_mut(&link)?;
        if (LoadReport {
            free_at: load.free_at,
            urgent_at: load.urgent_at,
            ..l.told.clone()
        }) == load
        {
            return None;
        }
        l.told = load.clone();
        Some(load)
    }

    fn send_gauges(&self) {
        let stats = self.machines.executor.stats();
        self.metrics
            .gauge("sidecar.open", self.machines.executor.open() as u64);
        self.metrics
            .gauge("sidecar.running", self.machines.executor.running() as u64);
        self.metrics
            .gauge("sidecar.records", self.machines.ledger.len() as u64);
        self.metrics.gauge("sidecar.started", stats.started);
        self.metrics.gauge("sidecar.orphaned", stats.orphaned);
        self.metrics.gauge("sidecar.violations", stats.violations());
        if stats.violations() > 0 {
            tracing::error!(?stats, "an invariant was broken");
        }
    }
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
        self.nothing_left()
    }
}
