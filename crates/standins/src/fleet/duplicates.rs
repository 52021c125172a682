//! A relay in front of a backend server that sends some of its answers a second time.
//!
//! The relay finds where each answer ends, keeps a copy and writes it again later on the same connection. Which
//! answers, when, and whether the copy still names its request is set while it runs. Answers that end with
//! their connection, and those that break off, are sent once.

mod messages;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;
use ebonyloft_platform::simulation::{self, CallKind};
use futures_channel::mpsc;
use futures_util::StreamExt;

use self::messages::{Scanner, Sender, parse_answer, parse_request, with_head};

const READ_SIZE: usize = 16 << 10;

/// When the second answer is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Moment {
    /// In the same write as the end of the first.
    SameWrite,
    /// This long after the end of the first; at the end of the answer that is being sent then, if any. The
    /// connection is idle, unless the next request has been sent by then.
    After(Duration),
    /// When the next request has arrived, before its answer.
    BeforeNext,
    /// When the next request has arrived, in place of its answer, which is dropped.
    InsteadOfNext,
}

/// Answers that are sent twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Duplicate {
    /// Kind of the call that is answered.
    pub kind: CallKind,
    /// When the second answer is sent.
    pub moment: Moment,
    /// Whether the second answer names its request.
    pub with_id: bool,
}

/// A second answer that was written to an open connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Delivery {
    /// Kind of the call that it answers.
    pub kind: CallKind,
    /// Kind of the call whose answer was due then; `None` if the connection was idle.
    pub due: Option<CallKind>,
    /// Whether it names its request.
    pub with_id: bool,
}

/// The second answers that one or several relays sent, in order; relays of several threads may share them.
pub type Deliveries = Arc<Mutex<Vec<Delivery>>>;

/// A relay in front of one backend server.
pub struct Duplicator {
    rules: RefCell<Vec<Duplicate>>,
    deliveries: Deliveries,
    /// Accepts connections; none once they are refused.
    accept_loop: RefCell<Option<JoinHandle<()>>>,
}

impl Duplicator {
    /// Listens at `front` and relays to `target`; at first it sends each answer once.
    pub async fn start(front: SocketAddr, target: SocketAddr) -> Rc<Duplicator> {
        let listener = TcpListener::bind(front).await.expect("a free address");
        let relay = Rc::new(Duplicator::new(&[], Deliveries::default()));
        let accept_loop = compio::runtime::spawn(relay.clone().serve(listener, target));
        relay.accept_loop.replace(Some(accept_loop));
        relay
    }

    /// A relay that follows `rules` from the start and counts in `deliveries`.
    pub fn new(rules: &[Duplicate], deliveries: Deliveries) -> Duplicator {
        let rules = RefCell::new(rules.to_vec());
        Duplicator { rules, deliveries, accept_loop: RefCell::default() }
    }

    /// Refuses new connections from now on; open ones are still relayed.
    pub fn refuse_connections(&self) {
        self.accept_loop.take();
    }

    /// Sets the answers that are sent twice from now on; the first entry of a kind applies.
    pub fn set(&self, rules: &[Duplicate]) {
        self.rules.replace(rules.to_vec());
    }

    /// The second answers that were sent so far.
    pub fn deliveries(&self) -> Vec<Delivery> {
        self.deliveries.lock().expect("deliveries lock").clone()
    }

    /// Relays connections to `target` until the task is dropped.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, target: SocketAddr) {
        loop {
            let Ok((client, _)) = listener.accept().await else {
                continue;
            };
            // The server is down: the client sees its connection closed.
            let Ok(server) = TcpStream::connect(target).await else {
                continue;
            };
            let _ = client.set_nodelay(true);
            let _ = server.set_nodelay(true);
            let (link, events) = Link::new(self.clone(), client, server);
            compio::runtime::spawn(link.run(events)).detach();
        }
    }

    fn rule(&self, kind: CallKind) -> Option<Duplicate> {
        self.rules.borrow().iter().find(|rule| rule.kind == kind).copied()
    }
}

/// What happens on the two connections of a link.
enum Event {
    FromClient(Vec<u8>),
    FromServer(Vec<u8>),
    /// A copy is due that waits for its time.
    Due(SecondAnswer),
    /// One of the connections has ended.
    Ended,
}

/// A copy of an answer.
struct SecondAnswer {
    rule: Duplicate,
    bytes: Vec<u8>,
}

/// A client's connection and the one to the server that it is relayed to.
struct Link {
    relay: Rc<Duplicator>,
    client: TcpStream,
    server: TcpStream,
    requests: Scanner,
    answers: Scanner,
    /// The request that is arriving.
    request: Vec<u8>,
    /// The answer that is being sent, as far as it has arrived.
    answer: Vec<u8>,
    /// Kinds of the calls that have been sent and not been answered.
    unanswered: VecDeque<CallKind>,
    /// Copies that wait for the next request.
    for_next: Vec<SecondAnswer>,
    /// Copies that are overdue, and wait for the end of an answer.
    overdue: Vec<SecondAnswer>,
    /// The next answer is dropped.
    drops_answer: bool,
    /// Tasks that read the connections and wait for the time of copies.
    tasks: Vec<JoinHandle<()>>,
    sender: mpsc::UnboundedSender<Event>,
}

/// A connection has ended, or its bytes are no messages.
struct LinkClosed;

impl Link {
    fn new(relay: Rc<Duplicator>, client: TcpStream, server: TcpStream) -> (Link, Events) {
        let (sender, events) = mpsc::unbounded();
        let tasks = vec![
            compio::runtime::spawn(read(client.clone(), sender.clone(), Event::FromClient)),
            compio::runtime::spawn(read(server.clone(), sender.clone(), Event::FromServer)),
        ];
        let link = Link {
            relay,
            client,
            server,
            requests: Scanner::new(Sender::Client),
            answers: Scanner::new(Sender::Server),
            request: Vec::new(),
            answer: Vec::new(),
            unanswered: VecDeque::new(),
            for_next: Vec::new(),
            overdue: Vec::new(),
            drops_answer: false,
            tasks,
            sender,
        };
        (link, events)
    }

    /// Relays until one of the connections ends; dropping the tasks closes the other one.
    async fn run(mut self, mut events: Events) {
        while let Some(event) = events.next().await {
            if self.on_event(event).await.is_err() {
                return;
            }
        }
    }

    async fn on_event(&mut self, event: Event) -> Result<(), LinkClosed> {
        match event {
            Event::FromClient(bytes) => self.on_request_bytes(bytes).await,
            Event::FromServer(bytes) => self.on_answer_bytes(&bytes).await,
            Event::Due(copy) if self.answer.is_empty() => self.deliver(copy).await,
            Event::Due(copy) => {
                self.overdue.push(copy);
                Ok(())
            }
            Event::Ended => Err(LinkClosed),
        }
    }

    async fn on_request_bytes(&mut self, bytes: Vec<u8>) -> Result<(), LinkClosed> {
        let mut at = 0;
        let mut ended = false;
        while at < bytes.len() {
            let (taken, ends) = self.requests.scan(&bytes[at..]).ok_or(LinkClosed)?;
            self.request.extend_from_slice(&bytes[at..at + taken]);
            at += taken;
            if ends {
                let request = std::mem::take(&mut self.request);
                let head = parse_request(&request).ok_or(LinkClosed)?;
                self.unanswered.push_back(CallKind::of(&head));
                ended = true;
            }
        }
        write(&mut self.server, bytes).await?;
        if ended {
            for copy in std::mem::take(&mut self.for_next) {
                self.drops_answer |= copy.rule.moment == Moment::InsteadOfNext;
                self.deliver(copy).await?;
            }
        }
        Ok(())
    }

    async fn on_answer_bytes(&mut self, mut bytes: &[u8]) -> Result<(), LinkClosed> {
        while !bytes.is_empty() {
            let (taken, ends) = self.answers.scan(bytes).ok_or(LinkClosed)?;
            let part = &bytes[..taken];
            bytes = &bytes[taken..];
            self.answer.extend_from_slice(part);
            match (ends, self.drops_answer) {
                (false, true) => {}
                (false, false) => write(&mut self.client, part.to_vec()).await?,
                (true, true) => {
                    self.drops_answer = false;
                    self.unanswered.pop_front();
                    self.answer.clear();
                }
                (true, false) => self.end_answer(part.to_vec()).await?,
            }
            if ends {
                for copy in std::mem::take(&mut self.overdue) {
                    self.deliver(copy).await?;
                }
            }
        }
        Ok(())
    }

    /// Sends the last part of an answer, and schedules its copy.
    async fn end_answer(&mut self, mut part: Vec<u8>) -> Result<(), LinkClosed> {
        let answer = std::mem::take(&mut self.answer);
        let rule = self.unanswered.pop_front().and_then(|kind| self.relay.rule(kind));
        let Some(copy) = rule.and_then(|rule| SecondAnswer::new(rule, &answer)) else {
            return write(&mut self.client, part).await;
        };
        match copy.rule.moment {
            Moment::SameWrite => {
                part.extend_from_slice(&copy.bytes);
                write(&mut self.client, part).await?;
                self.record(copy.rule);
            }
            Moment::After(delay) => {
                write(&mut self.client, part).await?;
                let sender = self.sender.clone();
                self.tasks.push(compio::runtime::spawn(async move {
                    compio::time::sleep(delay).await;
                    // Fails if the link has been closed.
                    let _ = sender.unbounded_send(Event::Due(copy));
                }));
            }
            Moment::BeforeNext | Moment::InsteadOfNext => {
                write(&mut self.client, part).await?;
                self.for_next.push(copy);
            }
        }
        Ok(())
    }

    async fn deliver(&mut self, copy: SecondAnswer) -> Result<(), LinkClosed> {
        write(&mut self.client, copy.bytes).await?;
        self.record(copy.rule);
        Ok(())
    }

    fn record(&self, rule: Duplicate) {
        let Duplicate { kind, with_id, .. } = rule;
        let due = self.unanswered.front().copied();
        let mut deliveries = self.relay.deliveries.lock().expect("deliveries lock");
        deliveries.push(Delivery { kind, due, with_id });
    }
}

type Events = mpsc::UnboundedReceiver<Event>;

impl SecondAnswer {
    /// Copies a complete answer.
    fn new(rule: Duplicate, answer: &[u8]) -> Option<SecondAnswer> {
        if rule.with_id {
            return Some(SecondAnswer { rule, bytes: answer.to_vec() });
        }
        let mut head = parse_answer(answer)?;
        simulation::remove_attempt(head.headers_mut());
        Some(SecondAnswer { rule, bytes: with_head(&head, answer) })
    }
}

async fn read(
    mut from: TcpStream,
    sender: mpsc::UnboundedSender<Event>,
    event: fn(Vec<u8>) -> Event,
) {
    loop {
        let BufResult(read, buffer) = from.read(Vec::with_capacity(READ_SIZE)).await;
        let event = if read.unwrap_or(0) == 0 { Event::Ended } else { event(buffer) };
        let ended = matches!(event, Event::Ended);
        if sender.unbounded_send(event).is_err() || ended {
            return;
        }
    }
}

async fn write(to: &mut TcpStream, bytes: Vec<u8>) -> Result<(), LinkClosed> {
    let BufResult(wrote, _) = to.write_all(bytes).await;
    wrote.map_err(|_| LinkClosed)
}
