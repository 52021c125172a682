//! A gateway that only tells others what it knows: it follows the store, and sends large answers slowly.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, UdpSocket};
use ebonyloft_router::catalog::Config;
use ebonyloft_router::fetches::Versions;
use ebonyloft_router::load_report::{GossipMessage, LoadReport};
use ebonyloft_router::registry::{Change, Registration};
use ebonyloft_router::zone_leader::StoreLink;
use ebonyloftd::gateway::state_sync::{RegistryUpdate, StateUpdate};
use ebonyloftd::http::{self, Body};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::slow;

/// Pause between two datagrams.
const TELL: Duration = Duration::from_millis(100);
/// Bytes a second of an answer's body.
const RATE: usize = 200;

/// What a peer knows.
#[derive(Default)]
struct Known {
    versions: Versions,
    config: Option<Config>,
    changes: Vec<Change>,
    /// Milliseconds until a missing registration means that the backend server is gone.
    settles: u32,
}

/// A peer.
pub struct Peer {
    name: String,
    addr: SocketAddr,
    known: RefCell<Known>,
}

impl Peer {
    /// Starts one that knows nothing.
    pub async fn start(name: &str, addr: SocketAddr) -> Rc<Peer> {
        let known = RefCell::default();
        let peer = Rc::new(Peer { name: name.to_owned(), addr, known });
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

    /// Its registration, with thousandths of a core: the strongest go first.
    pub fn registration(&self, power: u32) -> Vec<u8> {
        format!("{{\"addr\":\"{}\",\"zone\":\"a\",\"power\":{power}}}", self.addr).into_bytes()
    }

    /// It hears of a configuration.
    pub fn hear_config(&self, config: &Config) {
        let mut known = self.known.borrow_mut();
        known.versions.config = config.version;
        known.config = Some(config.clone());
    }

    /// It hears that a backend server's registration changed, as of a revision.
    pub fn hear_change(&self, name: &str, entry: Registration, revision: u64) {
        let mut known = self.known.borrow_mut();
        known.versions.roster = revision;
        known.changes.push(Change { name: name.to_owned(), entry, revision });
    }

    /// From now on a missing registration means after so many milliseconds that the backend server is
    /// gone.
    pub fn set_settles(&self, settles: u32) {
        self.known.borrow_mut().settles = settles;
    }

    /// Tells a gateway of itself for as long as the program runs.
    pub async fn tell(self: Rc<Self>, to: IpAddr) {
        let socket = UdpSocket::bind(self.addr).await.expect("a free address");
        let to = SocketAddr::new(to, self.addr.port());
        for seq in 1.. {
            let Known { versions, settles, .. } = *self.known.borrow();
            let Versions { config, roster, fleet } = versions;
            let link = StoreLink::Heard { settles, age: 0 };
            let name = self.name.clone();
            let share =
                LoadReport { name, seq, config, roster, fleet, link, ..LoadReport::default() };
            let mut bytes = Vec::new();
            ciborium::into_writer(&GossipMessage::Share(share), &mut bytes)
                .expect("a share is encoded");
            let _ = socket.send_to(bytes, to).await;
            compio::time::sleep(TELL).await;
        }
    }

    fn answer(&self, req: &Request<Incoming>) -> Response<Body> {
        let parts = req.uri().query().unwrap_or_default().split('.');
        let asked: Vec<u64> = parts.filter_map(|part| part.parse().ok()).collect();
        let [config, roster, _] = asked[..] else {
            return http::response(StatusCode::NOT_FOUND, "text/plain", http::full_body(""));
        };
        let known = self.known.borrow();
        let news = || RegistryUpdate::Changes(known.changes.clone());
        let belief = StateUpdate {
            versions: known.versions,
            config: known.config.clone().filter(|c| c.version > config),
            roster: (known.versions.roster > roster).then(news),
            fleet: None,
            settled: known.settles == 0,
            age: 0,
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&belief, &mut bytes).expect("beliefs are encoded");
        http::response(StatusCode::OK, "application/cbor", slow::body(bytes, RATE))
    }
}
