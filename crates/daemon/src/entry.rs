//! The entry: HTTP to callers and operators; it holds no truth.
//!
//! Its desk owns the request machines, the views of pools and the links to sidecars. The HTTP tasks
//! hand it requests and get answer bytes and the end over a queue of their own.

pub mod admin;
mod callers;
mod desk;
mod dialer;
mod views;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use ebonyloft_core::config::Document;
use ebonyloft_core::members::{Role, Standing};
use futures_channel::mpsc::unbounded;

use crate::clock::Clock;
use crate::control::{self, ControlMessage, News, Setup};
use crate::http;
use crate::link::{self, LinkEvent};
use crate::metrics::Metrics;
use crate::settings::EntrySettings;
use crate::sidecar::{card, identity};
use crate::store::HttpStore;
use callers::Callers;
use desk::{Desk, Submission};

/// Time between two ticks of the desk.
const TICK: Duration = Duration::from_millis(20);
/// How long a leaving entry still takes requests, until the balancer has noticed.
const NOTICE: Duration = Duration::from_secs(2);
/// How long a stopping process lingers so that its last bytes go out.
const LINGER: Duration = Duration::from_millis(300);

/// What the desk is told.
pub enum Event {
    /// Something on a link.
    Link(LinkEvent),
    /// Something came into force.
    News(News),
    /// A caller's request.
    Submit(Box<Submission>),
    /// The caller of this request hung up.
    Gone(u64),
    /// Leave gracefully.
    Leave,
    /// Tell the pools with their servers.
    Pools(futures_channel::oneshot::Sender<serde_json::Value>),
    /// Explain where a request with these labels goes.
    Explain(
        ebonyloft_core::config::Labels,
        futures_channel::oneshot::Sender<serde_json::Value>,
    ),
}

/// The listeners of an entry.
pub struct Sockets {
    /// For callers.
    pub callers: TcpListener,
    /// For operators.
    pub admin: TcpListener,
    /// For peers.
    pub peers: TcpListener,
}

impl Sockets {
    /// Binds all listeners.
    pub async fn bind(settings: &EntrySettings) -> std::io::Result<Sockets> {
        Ok(Sockets {
            callers: TcpListener::bind(settings.listen).await?,
            admin: TcpListener::bind(settings.admin_listen).await?,
            peers: TcpListener::bind(settings.common.peer_listen).await?,
        })
    }
}

/// What the HTTP tasks see of the configuration.
#[derive(Default)]
pub struct InForce {
    /// Revision; zero when there is none.
    pub revision: u64,
    /// The document.
    pub doc: Rc<Document>,
    /// Placement epoch.
    pub epoch: u64,
    /// Live entries, this one included.
    pub entries: usize,
    /// The process takes no new work.
    pub leaving: bool,
}

/// Runs an entry until `stop`, then leaves gracefully.
pub async fn run(
    settings: EntrySettings,
    sockets: Sockets,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    let clock = Clock::default();
    let identity = identity(&settings.common, &clock);
    let (events, mut receiver) = unbounded();
    let in_force = Rc::new(RefCell::new(InForce {
        entries: 1,
        ..InForce::default()
    }));

    let sink = events.clone();
    let on_link: link::Sink = Rc::new(move |e| drop(sink.unbounded_send(Event::Link(e))));
    compio::runtime::spawn(link::accept(
        sockets.peers,
        identity.clone(),
        on_link.clone(),
    ))
    .detach();

    let sink = events.clone();
    let on_news = Rc::new(move |n: News| drop(sink.unbounded_send(Event::News(n))));
    let store = Rc::new(HttpStore::new(&settings.common.platform));
    let control = control::start(Setup {
        identity: identity.clone(),
        card: card(&settings.common, &identity, Role::Entry),
        store: store.clone(),
        seeds: settings.common.seeds.clone(),
        clock,
        sink: on_news,
    })
    .await?;

    let metrics = Metrics::new(settings.common.statsd, &settings.common.name);
    let callers = Callers::new(
        &settings,
        in_force.clone(),
        events.clone(),
        clock,
        metrics.clone(),
    );
    let never = Rc::new(Cell::new(false));
    let handler = move |req| callers.clone().handle(req);
    compio::runtime::spawn(http::serve(sockets.callers, handler, never.clone())).detach();

    let admin = admin::Admin::new(
        &settings,
        admin::Ways {
            identity: identity.clone(),
            store,
            control: control.clone(),
            events: events.clone(),
            in_force: in_force.clone(),
            clock,
        },
    );
    let handler = move |req| admin.clone().handle(req);
    compio::runtime::spawn(http::serve(sockets.admin, handler, never)).detach();

    let mut desk = Desk::new(
        &settings,
        identity,
        control.clone(),
        on_link,
        in_force,
        clock,
        metrics,
    );
    tracing::info!(name = %settings.common.name, "entry started");
    let limit = settings.common.drain_limit();
    crate::desk::run(&mut desk, &mut receiver, stop, TICK, limit).await;
    let _ = control.unbounded_send(ControlMessage::Standing(Standing::Left));
    compio::time::sleep(LINGER).await;
    desk.close();
    Ok(())
}
