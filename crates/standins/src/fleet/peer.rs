//! A stand-in for another gateway: it sends gossip about itself and serves state that a test sets, with
//! bodies limited to a slow link's rate.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, UdpSocket};
use ebonyloft_router::catalog::{Config, ServerId};
use ebonyloft_router::engine_load::EngineLoad;
use ebonyloft_router::fetches::Versions;
use ebonyloft_router::load_report::{GossipMessage, LoadReport};
use ebonyloft_router::registry::{Change, Registration};
use ebonyloft_router::zone_leader::StoreLink;
use ebonyloftd::gateway::state_sync::{RegistryUpdate, StateUpdate};
use ebonyloftd::http::{self, Body};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::slow;

/// Interval between two datagrams.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes a second at which bodies of answers are sent.
const BODY_RATE: usize = 200;

/// State that the peer announces and serves.
#[derive(Default)]
struct State {
    versions: Versions,
    config: Option<Config>,
    changes: Vec<Change>,
    /// Milliseconds until a missing registration counts as the backend server's removal.
    settle_ms: u32,
    engine_loads: BTreeMap<u32, EngineLoad>,
}

/// A running peer.
pub struct Peer {
    name: String,
    addr: SocketAddr,
    state: RefCell<State>,
}

impl Peer {
    /// Starts a peer with empty state.
    pub async fn start(name: &str, addr: SocketAddr) -> Rc<Peer> {
        let state = RefCell::default();
        let peer = Rc::new(Peer { name: name.to_owned(), addr, state });
        let listener = TcpListener::bind(addr).await.expect("a free address");
        let me = peer.clone();
        let handler = move |req| {
            let response = me.answer(&req);
            async move { response }
        };
        let never = Rc::new(std::cell::Cell::new(false));
        compio::runtime::spawn(http::serve(listener, handler, never)).detach();
        peer
    }

    /// Returns its registration with `power` in thousandths of a core; of the gateways of a zone, the one
    /// with the most power takes duties first.
    pub fn registration(&self, power: u32) -> Vec<u8> {
        format!("{{\"addr\":\"{}\",\"zone\":\"a\",\"power\":{power}}}", self.addr).into_bytes()
    }

    /// Sets the configuration that it serves.
    pub fn set_config(&self, config: &Config) {
        let mut state = self.state.borrow_mut();
        state.versions.config = config.version;
        state.config = Some(config.clone());
    }

    /// Adds a change of a backend server's registration at this revision.
    pub fn add_change(&self, name: &str, entry: Registration, revision: u64) {
        let mut state = self.state.borrow_mut();
        let revision = revision.into();
        state.versions.roster = revision;
        state.changes.push(Change { name: name.to_owned(), entry, revision });
    }

    /// Sets the announced time until a missing registration counts as the backend server's removal, in
    /// milliseconds.
    pub fn set_settle_ms(&self, settle_ms: u32) {
        self.state.borrow_mut().settle_ms = settle_ms;
    }

    /// Sets the load that it announces at an engine.
    pub fn set_load(&self, id: &ServerId, load: EngineLoad) {
        self.state.borrow_mut().engine_loads.insert(id.short_hash(), load);
    }

    /// Sends gossip datagrams to a gateway until the process ends.
    pub async fn send_gossip(self: Rc<Self>, to: IpAddr) {
        self.send_gossip_to_all(vec![to]).await;
    }

    /// Sends the same datagrams to several gateways.
    pub async fn send_gossip_to_all(self: Rc<Self>, gateways: Vec<IpAddr>) {
        let socket = UdpSocket::bind(self.addr).await.expect("a free address");
        for seq in 1.. {
            let State { versions, settle_ms, .. } = *self.state.borrow();
            let engine_loads = self.state.borrow().engine_loads.clone();
            let Versions { config, roster, fleet } = versions;
            let link = StoreLink::Heard { settles: settle_ms, age: 0 };
            let name = self.name.clone();
            let share = LoadReport {
                name,
                seq,
                config,
                roster,
                fleet,
                link,
                engine_loads,
                ..LoadReport::default()
            };
            let mut bytes = Vec::new();
            ciborium::into_writer(&GossipMessage::Share(share), &mut bytes)
                .expect("encodable share");
            for ip in &gateways {
                // Fails while the gateway is down.
                let _ = socket.send_to(bytes.clone(), SocketAddr::new(*ip, self.addr.port())).await;
            }
            compio::time::sleep(GOSSIP_INTERVAL).await;
        }
    }

    fn answer(&self, req: &Request<Incoming>) -> Response<Body> {
        let requested = req.uri().query().unwrap_or_default().split('.');
        let requested: Vec<u64> = requested.filter_map(|part| part.parse().ok()).collect();
        let [config, roster, _] = requested[..] else {
            return http::response(StatusCode::NOT_FOUND, "text/plain", http::full_body(""));
        };
        let state = self.state.borrow();
        let changes = || RegistryUpdate::Changes(state.changes.clone());
        let belief = StateUpdate {
            versions: state.versions,
            config: state.config.clone().filter(|c| c.version > config),
            roster: (state.versions.roster > roster.into()).then(changes),
            fleet: None,
            settled: state.settle_ms == 0,
            age: 0,
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&belief, &mut bytes).expect("encodable belief");
        http::response(StatusCode::OK, "application/cbor", slow::body(bytes, BODY_RATE))
    }
}
