//! The sidecar: the only path to the backend server beside it, and a home of ledger slots.
//!
//! Its desk owns the executor, the prefill queue, the ledger and the order gate. Links, the control
//! task and the tasks that talk to the backend server send it messages; it never waits for any.

mod desk;
mod home;
pub use home::{FENCE_PREFIX, FenceRow};
pub mod server;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use ebonyloft_core::executor::{Executor, Pace};
use ebonyloft_core::ids::{Incarnation, MemberId, Peer, Zone};
use ebonyloft_core::ledger::Ledger;
use ebonyloft_core::members::{Card, Role, Standing};
use ebonyloft_core::message::Control;
use ebonyloft_core::orders::Gate;
use ebonyloft_core::prefill::{Prefills, Speed};
use ebonyloft_core::slots::Slots;
use ebonyloft_core::transfer::LinkLedger;
use futures_channel::mpsc::unbounded;

use crate::clock::Clock;
use crate::control::{self, ControlMessage, News, Setup};
use crate::link::{self, Identity, LinkEvent};
use crate::metrics::Metrics;
use crate::settings::{Common, ServerKind, SidecarSettings};
use crate::store::HttpStore;
use desk::Desk;
use server::{ServerEvent, ServerHandle};

/// Time between two ticks of the desk.
const TICK: Duration = Duration::from_millis(20);
/// Tokens of a prompt head that a cache hit saves.
pub const HEAD_TOKENS: u32 = 2_000;
/// Prefill jobs computed at once.
const LANES: usize = 1;
/// How long a stopping process lingers so that its last answers and news go out.
const LINGER: Duration = Duration::from_millis(500);

/// What the desk is told.
pub enum Event {
    /// Something on a link.
    Link(LinkEvent),
    /// Something came into force.
    News(News),
    /// The backend server said something.
    Server(ServerEvent),
    /// The earlier home answered.
    HandedOver { from: Peer, body: Option<Control> },
    /// The platform told the highest order number.
    Fence(u64),
    /// Leave gracefully.
    Leave,
}

/// This process as its peers know it.
pub fn identity(common: &Common, clock: &Clock) -> Rc<Identity> {
    let peer = Peer {
        id: MemberId(common.name.clone()),
        life: Incarnation(clock.now().0),
    };
    let zone = Zone(common.zone.clone());
    Rc::new(Identity {
        peer,
        zone,
        key: common.cluster_key.clone().into_bytes(),
    })
}

/// The card of this process.
pub fn card(common: &Common, identity: &Identity, role: Role) -> Card {
    Card {
        peer: identity.peer.clone(),
        version: 0,
        standing: Standing::Live,
        role,
        zone: identity.zone.clone(),
        addr: common.peer_listen,
        labels: common.label_map(),
    }
}

/// Runs a sidecar until `stop`, then leaves gracefully.
pub async fn run(
    settings: SidecarSettings,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    let clock = Clock::default();
    let identity = identity(&settings.common, &clock);
    let (events, mut receiver) = unbounded();

    let sink = events.clone();
    let on_link = Rc::new(move |e| drop(sink.unbounded_send(Event::Link(e))));
    compio::runtime::spawn(link::accept(listener, identity.clone(), on_link)).detach();

    let sink = events.clone();
    let on_news = Rc::new(move |n| drop(sink.unbounded_send(Event::News(n))));
    let store = Rc::new(HttpStore::new(&settings.common.platform));
    let control = control::start(Setup {
        identity: identity.clone(),
        card: card(&settings.common, &identity, Role::Sidecar),
        store: store.clone(),
        seeds: settings.common.seeds.clone(),
        clock,
        sink: on_news,
    })
    .await?;

    let sink = events.clone();
    let on_server = Rc::new(move |e| drop(sink.unbounded_send(Event::Server(e))));
    let server = ServerHandle::new(&settings, identity.peer.id.clone(), on_server);
    server.sweep().await;
    home::read_fence(store, identity.peer.id.clone(), events.clone());

    let metrics = Metrics::new(settings.common.statsd, &settings.common.name);
    let machines = machines(&settings, &identity);
    let mut desk = Desk::new(
        machines,
        identity,
        control.clone(),
        server,
        events.clone(),
        clock,
        metrics,
    );
    tracing::info!(name = %settings.common.name, "sidecar started");
    let limit = settings.common.drain_limit();
    crate::desk::run(&mut desk, &mut receiver, stop, TICK, limit).await;
    desk.note_end();
    let _ = control.unbounded_send(ControlMessage::Standing(Standing::Left));
    compio::time::sleep(LINGER).await;
    desk.close();
    Ok(())
}

/// The decision machines of a sidecar.
pub struct Machines {
    /// Attempts.
    pub executor: Executor,
    /// Prefill work.
    pub prefills: Prefills,
    /// Records of keys.
    pub ledger: Ledger,
    /// Orders to the engine.
    pub gate: Gate,
}

fn machines(settings: &SidecarSettings, identity: &Identity) -> Machines {
    let pace = Pace {
        token: Duration::from_secs_f64(settings.token_ms / 1e3),
        prefill_rate: settings.prefill_rate,
        call: Duration::from_secs_f64(settings.call_ms / 1e3),
    };
    let slots = Slots::new(settings.slots, settings.queue);
    let speed = Speed {
        rate: settings.prefill_rate,
        token_bytes: settings.token_bytes,
        lanes: LANES,
        head_tokens: HEAD_TOKENS,
    };
    let refuses = settings.fencing || settings.server_kind == ServerKind::Plain;
    Machines {
        executor: Executor::new(identity.peer.life, slots, pace),
        prefills: Prefills::new(speed, LinkLedger::new(settings.link_rate)),
        ledger: Ledger::new(identity.peer.clone()),
        gate: Gate::new(refuses),
    }
}
