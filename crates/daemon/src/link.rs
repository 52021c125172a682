//! Links between processes: WebSocket with CBOR, authenticated both ways by the cluster key.
//!
//! A link is owned by two tasks, one that reads and one that writes. Its owner hears of it by
//! events and sends by a queue. A link that stays silent is closed by its owner and dialled anew.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::io::compat::AsyncStream;
use compio::net::{TcpListener, TcpStream};
use ebonyloft_core::ids::{Peer, Zone};
use ebonyloft_core::message::{Control, FRAME_LIMIT, Frame, PROTOCOL_VERSION};
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error as WsError, Message};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Longest time a handshake may take.
pub const HANDSHAKE_WAIT: Duration = Duration::from_millis(1_500);
/// Longest time a control question may take.
pub const CALL_WAIT: Duration = Duration::from_secs(5);
/// Bytes queued on a link at most; a peer that takes them slower is cut off and attaches anew.
pub const QUEUE_LIMIT: usize = 16 << 20;

type Socket = WebSocketStream<Compat<std::pin::Pin<Box<AsyncStream<TcpStream>>>>>;

/// Why a link failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum LinkError {
    /// The connection failed.
    #[snafu(display("connection to {addr} failed: {source}"))]
    Connect {
        addr: SocketAddr,
        source: std::io::Error,
    },
    /// WebSocket failed.
    #[snafu(display("link failed: {source}"))]
    Socket { source: Box<WsError> },
    /// The peer took too long.
    #[snafu(display("the peer took too long"))]
    TimedOut,
    /// The peer closed the link.
    #[snafu(display("the peer closed the link"))]
    Closed,
    /// The peer does not have the cluster key.
    #[snafu(display("the peer could not prove that it has the cluster key"))]
    Denied,
    /// The peer speaks another version.
    #[snafu(display("the peer speaks version {version}, this process {PROTOCOL_VERSION}"))]
    Version { version: u16 },
    /// A frame that does not belong here or can't be read.
    #[snafu(display("unexpected frame: {detail}"))]
    Unexpected { detail: String },
}

/// Names and key of this process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// This process.
    pub peer: Peer,
    /// Its zone.
    pub zone: Zone,
    /// The cluster key.
    pub key: Vec<u8>,
}

/// The sending side of a link.
#[derive(Clone, Debug)]
pub struct LinkSender {
    queue: UnboundedSender<Vec<u8>>,
    queued: Rc<Cell<usize>>,
    sent: Rc<Cell<u64>>,
}

impl LinkSender {
    /// Queues a frame; false when the link is gone or too slow.
    pub fn send(&self, frame: &Frame) -> bool {
        let bytes = encode(frame);
        let queued = self.queued.get() + bytes.len();
        if queued > QUEUE_LIMIT {
            self.close();
            return false;
        }
        self.queued.set(queued);
        self.sent.set(self.sent.get() + bytes.len() as u64);
        self.queue.unbounded_send(bytes).is_ok()
    }

    /// Closes the link.
    pub fn close(&self) {
        self.queue.close_channel();
    }

    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.get()
    }
}

/// What happens on links.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link is open.
    Up {
        link: u64,
        peer: Peer,
        zone: Zone,
        sender: LinkSender,
    },
    /// A frame arrived.
    Frame { link: u64, peer: Peer, frame: Frame },
    /// A link ended.
    Down { link: u64, peer: Peer },
    /// A dial failed.
    Failed { link: u64, error: LinkError },
}

/// Where link events go.
pub type Sink = Rc<dyn Fn(LinkEvent)>;

thread_local! {
    static NEXT_LINK: Cell<u64> = const { Cell::new(1) };
}

/// A number for a new link, unique in this process.
pub fn next_link() -> u64 {
    NEXT_LINK.with(|n| {
        let id = n.get();
        n.set(id + 1);
        id
    })
}

/// Accepts links until the process ends.
pub async fn accept(listener: TcpListener, me: Rc<Identity>, sink: Sink) {
    loop {
        let Ok((stream, addr)) = listener.accept().await else {
            continue;
        };
        let (me, sink) = (me.clone(), sink.clone());
        compio::runtime::spawn(async move {
            let opened = compio::time::timeout(HANDSHAKE_WAIT, accept_one(stream, &me)).await;
            match opened {
                Ok(Ok((socket, peer, zone))) => run(next_link(), socket, peer, zone, sink).await,
                Ok(Err(e)) => tracing::warn!(%addr, error = %e, "link refused"),
                Err(_) => tracing::warn!(%addr, "link handshake timed out"),
            }
        })
        .detach();
    }
}

/// Dials a peer; the outcome comes as an event for `link`.
pub fn dial(link: u64, addr: SocketAddr, me: Rc<Identity>, sink: Sink) {
    compio::runtime::spawn(async move {
        match open(addr, &me).await {
            Ok((socket, peer, zone)) => run(link, socket, peer, zone, sink).await,
            Err(error) => sink(LinkEvent::Failed { link, error }),
        }
    })
    .detach();
}

/// Asks one control question on a link of its own.
pub async fn call(addr: SocketAddr, me: &Identity, body: Control) -> Result<Control, LinkError> {
    let asked = async {
        let (mut socket, _, _) = open(addr, me).await?;
        write(&mut socket, &Frame::Control { id: 1, body }).await?;
        loop {
            if let Frame::Control { id: 1, body } = read(&mut socket).await? {
                let _ = socket.close(None).await;
                return Ok(body);
            }
        }
    };
    compio::time::timeout(CALL_WAIT, asked)
        .await
        .map_err(|_| LinkError::TimedOut)?
}

async fn open(addr: SocketAddr, me: &Identity) -> Result<(Socket, Peer, Zone), LinkError> {
    let opened = async {
        let stream = TcpStream::connect(addr)
            .await
            .context(ConnectSnafu { addr })?;
        let _ = stream.set_nodelay(true);
        let stream = Box::pin(AsyncStream::new(stream)).compat();
        let url = format!("ws://{addr}/link");
        let (mut socket, _) =
            tokio_tungstenite::client_async_with_config(url, stream, Some(config()))
                .await
                .map_err(Box::new)
                .context(SocketSnafu)?;
        let (peer, zone) = greet(&mut socket, me).await?;
        Ok((socket, peer, zone))
    };
    compio::time::timeout(HANDSHAKE_WAIT, opened)
        .await
        .map_err(|_| LinkError::TimedOut)?
}

async fn greet(socket: &mut Socket, me: &Identity) -> Result<(Peer, Zone), LinkError> {
    let Frame::Challenge { version, nonce } = read(socket).await? else {
        return UnexpectedSnafu {
            detail: "wanted a challenge",
        }
        .fail();
    };
    snafu::ensure!(version == PROTOCOL_VERSION, VersionSnafu { version });
    let mine: [u8; 16] = rand::random();
    let hello = Frame::Hello {
        version: PROTOCOL_VERSION,
        peer: me.peer.clone(),
        zone: me.zone.clone(),
        nonce: mine,
        mac: proof(&me.key, &nonce, &me.peer),
    };
    write(socket, &hello).await?;
    let Frame::Welcome { peer, mac } = read(socket).await? else {
        return UnexpectedSnafu {
            detail: "wanted a welcome",
        }
        .fail();
    };
    snafu::ensure!(proven(&me.key, &mine, &peer, &mac), DeniedSnafu);
    Ok((peer, Zone::default()))
}

async fn accept_one(stream: TcpStream, me: &Identity) -> Result<(Socket, Peer, Zone), LinkError> {
    let _ = stream.set_nodelay(true);
    let stream = Box::pin(AsyncStream::new(stream)).compat();
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, Some(config()))
        .await
        .map_err(Box::new)
        .context(SocketSnafu)?;
    let nonce: [u8; 16] = rand::random();
    write(
        &mut socket,
        &Frame::Challenge {
            version: PROTOCOL_VERSION,
            nonce,
        },
    )
    .await?;
    let Frame::Hello {
        version,
        peer,
        zone,
        nonce: theirs,
        mac,
    } = read(&mut socket).await?
    else {
        return UnexpectedSnafu {
            detail: "wanted a hello",
        }
        .fail();
    };
    snafu::ensure!(version == PROTOCOL_VERSION, VersionSnafu { version });
    snafu::ensure!(proven(&me.key, &nonce, &peer, &mac), DeniedSnafu);
    let mac = proof(&me.key, &theirs, &me.peer);
    write(
        &mut socket,
        &Frame::Welcome {
            peer: me.peer.clone(),
            mac,
        },
    )
    .await?;
    Ok((socket, peer, zone))
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FRAME_LIMIT))
        .max_frame_size(Some(FRAME_LIMIT))
        .read_buffer_size(16 << 10)
        .write_buffer_size(16 << 10)
}

fn mac_of(key: &[u8], nonce: &[u8; 16], peer: &Peer) -> Hmac<Sha256> {
    // HMAC takes a key of any length, so this can't fail.
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("any key length is valid");
    mac.update(nonce);
    mac.update(&peer.life.0.to_be_bytes());
    mac.update(peer.id.0.as_bytes());
    mac
}

fn proof(key: &[u8], nonce: &[u8; 16], peer: &Peer) -> Vec<u8> {
    mac_of(key, nonce, peer).finalize().into_bytes().to_vec()
}

fn proven(key: &[u8], nonce: &[u8; 16], peer: &Peer, mac: &[u8]) -> bool {
    mac_of(key, nonce, peer).verify_slice(mac).is_ok()
}

fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    // Writing CBOR to memory fails for no frame type that we have.
    if let Err(e) = ciborium::into_writer(frame, &mut bytes) {
        tracing::error!(error = %e, "frame could not be written");
    }
    bytes
}

async fn write(socket: &mut Socket, frame: &Frame) -> Result<(), LinkError> {
    let message = Message::Binary(encode(frame).into());
    socket
        .send(message)
        .await
        .map_err(Box::new)
        .context(SocketSnafu)
}

async fn read(socket: &mut Socket) -> Result<Frame, LinkError> {
    loop {
        let message = socket.next().await.context(ClosedSnafu)?;
        if let Some(frame) = decode(message)? {
            return Ok(frame);
        }
    }
}

fn decode(message: Result<Message, WsError>) -> Result<Option<Frame>, LinkError> {
    match message.map_err(Box::new).context(SocketSnafu)? {
        Message::Binary(bytes) => match ciborium::from_reader(&bytes[..]) {
            Ok(frame) => Ok(Some(frame)),
            Err(e) => UnexpectedSnafu {
                detail: e.to_string(),
            }
            .fail(),
        },
        Message::Close(_) => Err(LinkError::Closed),
        _ => Ok(None),
    }
}

async fn run(link: u64, socket: Socket, peer: Peer, zone: Zone, sink: Sink) {
    let (writer, reader) = socket.split();
    let (queue, frames) = unbounded();
    let queued = Rc::new(Cell::new(0));
    let sender = LinkSender {
        queue,
        queued: queued.clone(),
        sent: Rc::new(Cell::new(0)),
    };
    sink(LinkEvent::Up {
        link,
        peer: peer.clone(),
        zone,
        sender: sender.clone(),
    });
    let writing = compio::runtime::spawn(write_all(writer, frames, queued));
    let reading = read_all(link, reader, &peer, &sink);
    // Whichever side ends first ends the link; dropping the other closes the socket.
    futures_util::future::select(Box::pin(reading), writing).await;
    sender.close();
    sink(LinkEvent::Down { link, peer });
}

async fn read_all(link: u64, mut reader: SplitStream<Socket>, peer: &Peer, sink: &Sink) {
    while let Some(message) = reader.next().await {
        match decode(message) {
            Ok(Some(frame)) => sink(LinkEvent::Frame {
                link,
                peer: peer.clone(),
                frame,
            }),
            Ok(None) => {}
            Err(e) => {
                tracing::debug!(peer = %peer.id, error = %e, "link ended");
                return;
            }
        }
    }
}

/// Writes whatever is queued before it flushes once.
async fn write_all(
    mut writer: SplitSink<Socket, Message>,
    mut frames: UnboundedReceiver<Vec<u8>>,
    queued: Rc<Cell<usize>>,
) {
    while let Some(first) = frames.next().await {
        let mut next = Some(first);
        while let Some(bytes) = next {
            queued.set(queued.get().saturating_sub(bytes.len()));
            if writer.feed(Message::Binary(bytes.into())).await.is_err() {
                return;
            }
            next = frames.try_recv().ok();
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
}
