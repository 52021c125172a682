//! Members, configuration and placement of one process: a task that owns them.
//!
//! It owns the datagram socket, probes peers, watches the platform when this process is a reader of
//! its zone, pulls bodies from peers otherwise, and tells the desk what came into force.

mod platform;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compio::net::UdpSocket;
use ebonyloft_core::config::Document;
use ebonyloft_core::config::parts::{self, Manifest, Part};
use ebonyloft_core::ids::{Digest, Peer};
use ebonyloft_core::members::{Card, Datagram, Members, Send, Standing};
use ebonyloft_core::message::Control;
use ebonyloft_core::placement::Placement;
use ebonyloft_core::placement::keeper::{self, Change};
use ebonyloft_core::spread::{self, Effect, Spread};
use ebonyloft_core::time::Moment;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::clock::Clock;
use crate::link::{self, Identity};
use crate::store::{Store, VmRow};

/// Key of the manifest in the platform's service.
pub const MANIFEST_KEY: &str = "ebonyloft/config/manifest";
/// Prefix of the keys of document parts.
pub const PART_PREFIX: &str = "ebonyloft/config/part/";
/// Key of the placement.
pub const PLACEMENT_KEY: &str = "ebonyloft/placement";
/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Pause between two changes of the placement by one process.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Largest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 8 << 10;

/// What the desk is told.
#[derive(Clone, Debug)]
pub enum News {
    /// The members changed.
    Members(Rc<Vec<Card>>),
    /// A configuration came into force.
    Config { revision: u64, doc: Rc<Document> },
    /// A placement came into force.
    Placement(Rc<Placement>),
}

/// What the control task is told.
pub enum ControlMessage {
    /// A datagram arrived.
    Datagram(SocketAddr, Box<Datagram>),
    /// A peer's control question.
    Ask {
        body: Control,
        reply: oneshot::Sender<Control>,
    },
    /// A peer answered a pull.
    Pulled {
        from: Peer,
        topic: Topic,
        body: Option<Control>,
    },
    /// The platform answered, or did not.
    Read(
        Topic,
        Result<crate::store::Stored, crate::store::StoreError>,
    ),
    /// The platform answered with the manifest and the parts that were missing.
    Manifest(Box<(Manifest, Vec<Part>)>),
    /// The parts of a newer configuration were joined.
    Joined(Box<Joined>),
    /// The platform answered with a placement.
    Placement(Box<Placement>),
    /// The platform answered, with nothing stored.
    Empty(Topic),
    /// The platform did not answer.
    Failed(Topic),
    /// The platform's list of VMs.
    Vms(Vec<VmRow>),
    /// A peer told all members that it knows.
    Cards(Vec<Card>),
    /// A peer spoke on a link.
    Contact(Peer),
    /// Ledger slots that were taken over.
    Taken(Vec<u16>),
    /// This process takes a standing.
    Standing(Standing),
    /// A question of this process's own desk.
    Status(oneshot::Sender<Status>),
}

/// A configuration ready to come into force.
pub struct Joined {
    manifest: Manifest,
    bodies: HashMap<Digest, Arc<str>>,
    doc: Document,
}

/// The two kinds of document that are spread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// The operators' configuration.
    Config,
    /// The placement of the ledger slots.
    Placement,
}

/// What a process knows, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Configuration revision in force.
    pub revision: u64,
    /// Placement epoch in force.
    pub epoch: u64,
    /// When somebody last compared with the platform.
    pub checked_at: Moment,
    /// Members known.
    pub members: Vec<Card>,
    /// Is this process a reader of its zone?
    pub reader: bool,
    /// Bytes of datagrams sent and received.
    pub bytes: u64,
    /// Accepted changes, oldest first.
    pub audit: Vec<parts::AuditRecord>,
    /// Does the placement still name this process?
    pub placed: bool,
}

/// The way to the control task.
pub type ControlSender = UnboundedSender<ControlMessage>;

/// What the control task is made of.
pub struct Setup {
    /// Names and key.
    pub identity: Rc<Identity>,
    /// This process's card.
    pub card: Card,
    /// The platform.
    pub store: Rc<dyn Store>,
    /// Addresses to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The process's clock.
    pub clock: Clock,
    /// Where news go.
    pub sink: Rc<dyn Fn(News)>,
}

/// Starts the task.
pub async fn start(setup: Setup) -> std::io::Result<ControlSender> {
    let socket = UdpSocket::bind(setup.card.addr).await?;
    let (sender, receiver) = unbounded();
    let task = Task::new(setup, socket.clone(), sender.clone());
    compio::runtime::spawn(receive(socket, sender.clone())).detach();
    compio::runtime::spawn(task.run(receiver)).detach();
    Ok(sender)
}

async fn receive(socket: UdpSocket, sender: ControlSender) {
    loop {
        let buffer = Vec::with_capacity(DATAGRAM_LIMIT);
        let compio::BufResult(result, buffer) = socket.recv_from(buffer).await;
        let Ok((_, src)) = result else { continue };
        let Ok(data) = ciborium::from_reader::<Datagram, _>(&buffer[..]) else {
            continue;
        };
        if sender
            .unbounded_send(ControlMessage::Datagram(src, Box::new(data)))
            .is_err()
        {
            return;
        }
    }
}

struct Task {
    identity: Rc<Identity>,
    members: Members,
    config: Spread,
    placing: Spread,
    manifest: Manifest,
    bodies: HashMap<Digest, Arc<str>>,
    placement: Rc<Placement>,
    placement_checked: bool,
    store: Rc<dyn Store>,
    seeds: Vec<SocketAddr>,
    clock: Clock,
    sink: Rc<dyn Fn(News)>,
    socket: UdpSocket,
    sender: ControlSender,
    rng: SmallRng,
    up_since: Moment,
    change_at: Moment,
    taken: Vec<u16>,
    told: u64,
    /// Changes of the members for which the reader's duty was last worked out.
    duty_at: u64,
    bytes: u64,
    reader: Rc<std::cell::Cell<bool>>,
}

impl Task {
    fn new(setup: Setup, socket: UdpSocket, sender: ControlSender) -> Self {
        Task {
            identity: setup.identity,
            members: Members::new(setup.card),
            config: Spread::default(),
            placing: Spread::default(),
            manifest: Manifest::default(),
            bodies: HashMap::new(),
            placement: Rc::default(),
            placement_checked: false,
            store: setup.store,
            seeds: setup.seeds,
            clock: setup.clock,
            sink: setup.sink,
            socket,
            sender,
            rng: SmallRng::from_os_rng(),
            up_since: setup.clock.now(),
            change_at: Moment(0),
            taken: Vec::new(),
            told: 0,
            duty_at: u64::MAX,
            bytes: 0,
            reader: Rc::new(std::cell::Cell::new(true)),
        }
    }

    async fn run(mut self, mut receiver: UnboundedReceiver<ControlMessage>) {
        platform::watch(&self.store, &self.reader, &self.sender);
        self.greet_seeds();
        let mut next_tick = Instant::now();
        loop {
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                self.on_tick();
            }
            let due = std::pin::pin!(compio::time::sleep_until(next_tick));
            match select(receiver.next(), due).await {
                Either::Left((Some(message), _)) => self.on_message(message),
                Either::Left((None, _)) => return,
                Either::Right(_) => {}
            }
            self.tell_members();
        }
    }

    fn greet_seeds(&mut self) {
        let seeds = self.seeds.clone();
        for to in seeds {
            let kind = ebonyloft_core::members::Kind::Probe { seq: 0 };
            let from = self.members.me().clone();
            let heard = spread::heard(&self.config, &self.placing);
            let cards = Vec::new();
            self.send(Send {
                to,
                data: Datagram {
                    kind,
                    from,
                    heard,
                    cards,
                },
            });
            self.pull_members(to);
        }
    }

    /// A process that starts asks for all members at once; datagrams would take minutes.
    fn pull_members(&self, to: SocketAddr) {
        let (identity, sender) = (self.identity.clone(), self.sender.clone());
        compio::runtime::spawn(async move {
            let answer = link::call(to, &identity, Control::PullMembers).await;
            if let Ok(Control::MembersAre(cards)) = answer {
                let _ = sender.unbounded_send(ControlMessage::Cards(cards));
            }
        })
        .detach();
    }

    fn on_cards(&mut self, now: Moment, cards: Vec<Card>) {
        for card in cards {
            self.members.learn(now, card);
        }
        self.members.settle();
    }

    fn on_message(&mut self, message: ControlMessage) {
        let now = self.clock.now();
        match message {
            ControlMessage::Datagram(src, data) => self.on_datagram(now, src, *data),
            ControlMessage::Ask { body, reply } => {
                let _ = reply.send(self.answer(body));
            }
            ControlMessage::Pulled { from, topic, body } => self.on_pulled(now, &from, topic, body),
            ControlMessage::Read(topic, read) => {
                platform::complete(&self.store, topic, read, &self.bodies, &self.sender);
            }
            ControlMessage::Manifest(read) => {
                self.config.on_platform(now);
                self.put_config(read.0, read.1);
            }
            ControlMessage::Joined(joined) => self.on_joined(*joined),
            ControlMessage::Placement(placement) => {
                self.placing.on_platform(now);
                self.placement_checked = true;
                self.put_placement(*placement);
            }
            ControlMessage::Empty(topic) => self.on_empty(now, topic),
            ControlMessage::Failed(topic) => self.spread(topic).on_platform_failed(),
            ControlMessage::Vms(rows) => self.on_vms(now, rows),
            ControlMessage::Cards(cards) => self.on_cards(now, cards),
            ControlMessage::Contact(peer) => self.members.on_contact(now, &peer),
            ControlMessage::Taken(slots) => self.taken = slots,
            ControlMessage::Standing(standing) => {
                self.members.set_standing(standing);
                self.announce();
            }
            ControlMessage::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.clock.now();
        let heard = self.heard();
        for send in self.members.on_tick(now, &mut self.rng, heard) {
            self.send(send);
        }
        if self.duty_at != self.members.changes() {
            self.duty_at = self.members.changes();
            self.reader.set(spread::is_reader(&self.members));
        }
        for topic in [Topic::Config, Topic::Placement] {
            let mut rng = self.rng.clone();
            let effects = self.spread(topic).on_tick(now, &mut rng);
            self.rng = rng;
            self.apply(topic, effects);
        }
        self.keep_placement(now);
    }

    fn on_datagram(&mut self, now: Moment, src: SocketAddr, data: Datagram) {
        self.bytes += platform::size_of(&data);
        let (from, heard) = (data.from.peer.clone(), data.heard);
        let mine = self.heard();
        for send in self.members.on_datagram(now, src, data, mine) {
            self.send(send);
        }
        let effects = self
            .config
            .on_heard(now, &from, heard.config, heard.checked_at);
        self.apply(Topic::Config, effects);
        let effects = self
            .placing
            .on_heard(now, &from, heard.epoch, heard.checked_at);
        self.apply(Topic::Placement, effects);
    }

    fn answer(&mut self, body: Control) -> Control {
        match body {
            Control::Pull { have, .. } => {
                let missing = self.manifest.parts.iter().filter(|d| !have.contains(d));
                let parts = missing
                    .filter_map(|d| self.bodies.get(d))
                    .map(|b| b.to_string());
                let manifest = serde_json::to_string(&self.manifest).unwrap_or_default();
                Control::Parts {
                    manifest,
                    parts: parts.collect(),
                }
            }
            Control::AskRevision => Control::RevisionIs {
                revision: self.config.revision(),
                epoch: self.placing.revision(),
            },
            Control::PullMembers => Control::MembersAre(self.members.all().cloned().collect()),
            Control::PullPlacement => Control::PlacementIs(Box::new((*self.placement).clone())),
            _ => Control::Unfit,
        }
    }

    fn on_pulled(&mut self, now: Moment, from: &Peer, topic: Topic, body: Option<Control>) {
        match (topic, body) {
            (Topic::Config, Some(Control::Parts { manifest, parts })) => {
                let parts: Vec<Part> = parts.into_iter().map(Part::new).collect();
                let manifest = serde_json::from_str::<Manifest>(&manifest);
                let put = manifest.is_ok_and(|m| self.put_config(m, parts));
                if !put && self.config.revision() == 0 {
                    self.config.on_pull_failed(now);
                }
            }
            (Topic::Placement, Some(Control::PlacementIs(placement))) => {
                self.put_placement(*placement);
            }
            _ => {
                tracing::debug!(from = %from.id, ?topic, "pull failed");
                self.spread(topic).on_pull_failed(now);
            }
        }
    }

    fn on_empty(&mut self, now: Moment, topic: Topic) {
        self.spread(topic).on_platform(now);
        if topic == Topic::Placement {
            self.placement_checked = true;
        }
    }

    fn on_vms(&mut self, now: Moment, rows: Vec<VmRow>) {
        for row in &rows {
            let id = ebonyloft_core::ids::MemberId(row.name.clone());
            let known = self.members.card(&id).cloned();
            match known {
                Some(card) if row.state == "gone" && Moment(card.peer.life.0) < row.since => {
                    self.members.confirm_gone(now, &card.peer);
                }
                None if row.state == "live" && !self.seeds.contains(&row.addr) => {
                    self.seeds.push(row.addr);
                    self.greet_seeds();
                }
                _ => {}
            }
        }
    }

    /// Joins a newer manifest's parts, off this thread: 18,000 accounts take over 100 ms.
    fn put_config(&mut self, manifest: Manifest, parts: Vec<Part>) -> bool {
        if manifest.revision <= self.config.revision() {
            return false;
        }
        let mut bodies = self.bodies.clone();
        bodies.extend(parts.into_iter().map(|p| (p.digest, Arc::from(p.body))));
        let texts: Option<Vec<Arc<str>>> = manifest
            .parts
            .iter()
            .map(|d| bodies.get(d).cloned())
            .collect();
        let Some(texts) = texts else {
            tracing::warn!(
                revision = manifest.revision,
                "parts of a configuration are missing"
            );
            return false;
        };
        bodies.retain(|d, _| manifest.parts.contains(d));
        let sender = self.sender.clone();
        let work = move || parts::join(&texts.iter().map(|t| &**t).collect::<Vec<_>>());
        compio::runtime::spawn(async move {
            let doc = compio::runtime::spawn_blocking(work).await;
            if let Ok(Some(doc)) = doc {
                let joined = Box::new(Joined {
                    manifest,
                    bodies,
                    doc,
                });
                let _ = sender.unbounded_send(ControlMessage::Joined(joined));
            }
        })
        .detach();
        true
    }

    /// A joined document comes into force, unless a newer one has meanwhile.
    fn on_joined(&mut self, joined: Joined) {
        let Joined {
            manifest,
            bodies,
            doc,
        } = joined;
        let (fresh, effects) = self.config.on_body(manifest.revision);
        if fresh {
            let revision = manifest.revision;
            let who = manifest
                .audit
                .last()
                .map(|r| r.who.clone())
                .unwrap_or_default();
            self.bodies = bodies;
            self.manifest = manifest;
            tracing::info!(revision, %who, "configuration in force");
            (self.sink)(News::Config {
                revision,
                doc: Rc::new(doc),
            });
        }
        self.apply(Topic::Config, effects);
    }

    fn put_placement(&mut self, placement: Placement) {
        let (fresh, effects) = self.placing.on_body(placement.epoch);
        if fresh {
            tracing::info!(
                epoch = placement.epoch,
                homes = placement.homes().len(),
                "placement in force"
            );
            self.placement = Rc::new(placement);
            (self.sink)(News::Placement(self.placement.clone()));
        }
        self.apply(Topic::Placement, effects);
    }

    fn apply(&mut self, topic: Topic, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Pull(from) => self.pull(topic, from),
                Effect::Read => platform::read(&self.store, topic, &self.sender),
                Effect::Announce => self.announce(),
            }
        }
    }

    fn pull(&mut self, topic: Topic, from: Peer) {
        let Some(addr) = self.members.card(&from.id).map(|c| c.addr) else {
            return;
        };
        let (identity, sender) = (self.identity.clone(), self.sender.clone());
        let have: Vec<Digest> = self.bodies.keys().copied().collect();
        let revision = self.config.revision();
        let body = match topic {
            Topic::Config => Control::Pull { have, revision },
            Topic::Placement => Control::PullPlacement,
        };
        compio::runtime::spawn(async move {
            let body = link::call(addr, &identity, body).await.ok();
            let _ = sender.unbounded_send(ControlMessage::Pulled { from, topic, body });
        })
        .detach();
    }

    fn announce(&mut self) {
        let heard = self.heard();
        for send in self.members.announce(&mut self.rng, heard, spread::FANOUT) {
            self.send(send);
        }
    }

    fn keep_placement(&mut self, now: Moment) {
        if now < self.change_at {
            return;
        }
        let change = match self.taken.is_empty() {
            false => Some(Change::Taken(std::mem::take(&mut self.taken))),
            true => {
                let checked = self.placement_checked;
                keeper::wanted(&self.members, &self.placement, checked, self.up_since, now)
            }
        };
        let Some(change) = change else { return };
        use rand::Rng;
        let jitter = Duration::from_millis(self.rng.random_range(0..200));
        self.change_at = now.after(CHANGE_PAUSE).after(jitter);
        let homes = keeper::able_homes(&self.members);
        let me = self.members.me().peer.clone();
        platform::change(&self.store, now, me, homes, change, &self.sender);
    }

    fn heard(&self) -> ebonyloft_core::members::Heard {
        spread::heard(&self.config, &self.placing)
    }

    fn spread(&mut self, topic: Topic) -> &mut Spread {
        match topic {
            Topic::Config => &mut self.config,
            Topic::Placement => &mut self.placing,
        }
    }

    fn send(&mut self, send: Send) {
        let mut bytes = Vec::with_capacity(1_024);
        if ciborium::into_writer(&send.data, &mut bytes).is_err() {
            return;
        }
        self.bytes += bytes.len() as u64;
        let socket = self.socket.clone();
        compio::runtime::spawn(async move {
            let _ = socket.send_to(bytes, send.to).await;
        })
        .detach();
    }

    fn tell_members(&mut self) {
        let changes = self.members.changes();
        if changes != self.told {
            self.told = changes;
            (self.sink)(News::Members(Rc::new(
                self.members.all().cloned().collect(),
            )));
        }
    }

    fn status(&self) -> Status {
        Status {
            revision: self.config.revision(),
            epoch: self.placing.revision(),
            checked_at: self.heard().checked_at,
            members: self.members.all().cloned().collect(),
            reader: self.reader.get(),
            bytes: self.bytes,
            audit: self.manifest.audit.clone(),
            placed: self.placement.mentions(&self.members.me().peer),
        }
    }
}
