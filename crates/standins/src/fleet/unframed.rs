//! A relay in front of a backend server that removes the framing of its answers: they have neither a length
//! nor chunks, and end with their connection, or do not end.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;
use ebonyloftd::open_count::OpenCount;
use futures_util::future::select;

/// Bytes read at a time.
const READ_SIZE: usize = 16 << 10;
/// Blank line after the last event of a part that may be sent.
const EVENT_END: &[u8] = b"\n\n";

/// Bytes that are sent again and again until the caller closes the connection.
#[derive(Clone, Debug, Default)]
pub struct Flood {
    /// Sent once before them.
    pub start: Vec<u8>,
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Pause after each time.
    pub pause: Duration,
    /// They come in place of the head.
    pub replaces_head: bool,
}

/// How answers end.
#[derive(Clone, Debug, Default)]
pub struct Ending {
    /// Number of bytes of the body after which it is cut off.
    pub cut_at: Option<usize>,
    /// Only complete events are sent, also of a stream that breaks off.
    pub whole_events: bool,
    /// Bytes sent after the body.
    pub tail: Vec<u8>,
    /// The connection is reset at the end instead of closed.
    pub reset: bool,
    /// They do not end.
    pub flood: Option<Flood>,
}

/// A running relay.
pub struct UnframedRelay {
    /// How answers to requests end that were forwarded for a caller.
    pub requests: Rc<RefCell<Ending>>,
    /// How answers to all other calls end.
    pub calls: Rc<RefCell<Ending>>,
    /// Number of answers sent.
    pub answers: Rc<Cell<usize>>,
    /// Bytes of floods sent, and the number of floods that go on.
    pub flooded: Rc<Cell<usize>>,
    pub open_floods: OpenCount,
    _accept_loop: JoinHandle<()>,
}

impl UnframedRelay {
    /// Relays from `addr` to `target`; the paths of callers' requests start with one of `prefixes`.
    pub async fn start(
        addr: SocketAddr,
        target: SocketAddr,
        prefixes: &'static [&'static str],
    ) -> UnframedRelay {
        let listener = TcpListener::bind(addr).await.expect("a free address");
        let (requests, calls) =
            (Rc::<RefCell<Ending>>::default(), Rc::<RefCell<Ending>>::default());
        let answers = Rc::<Cell<usize>>::default();
        let (flooded, open_floods) = (Rc::<Cell<usize>>::default(), OpenCount::default());
        let endings = Endings {
            requests: requests.clone(),
            calls: calls.clone(),
            prefixes,
            flooded: flooded.clone(),
            open_floods: open_floods.clone(),
        };
        let accept_loop = accept_loop(listener, target, endings, answers.clone());
        let _accept_loop = compio::runtime::spawn(accept_loop);
        UnframedRelay { requests, calls, answers, flooded, open_floods, _accept_loop }
    }

    /// Sets how answers to callers' requests end.
    pub fn end_requests(&self, ending: Ending) {
        self.requests.replace(ending);
    }

    /// Sets how answers to all other calls end.
    pub fn end_calls(&self, ending: Ending) {
        self.calls.replace(ending);
    }
}

#[derive(Clone)]
struct Endings {
    requests: Rc<RefCell<Ending>>,
    calls: Rc<RefCell<Ending>>,
    prefixes: &'static [&'static str],
    flooded: Rc<Cell<usize>>,
    open_floods: OpenCount,
}

impl Endings {
    /// The ending of the answer to a request that starts with these bytes.
    fn of(&self, request: &[u8]) -> Ending {
        let line = request.split(|b| *b == b'\r').next().unwrap_or_default();
        let path = String::from_utf8_lossy(line);
        let path = path.split(' ').nth(1).unwrap_or_default();
        let is_request = self.prefixes.iter().any(|prefix| path.starts_with(prefix));
        if is_request { self.requests.borrow().clone() } else { self.calls.borrow().clone() }
    }
}

async fn accept_loop(
    listener: TcpListener,
    target: SocketAddr,
    endings: Endings,
    answers: Rc<Cell<usize>>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let (endings, answers) = (endings.clone(), answers.clone());
        compio::runtime::spawn(async move {
            // A connection that fails ends like any other: both sockets are closed.
            let _ = relay(client, target, endings, &answers).await;
        })
        .detach();
    }
}

/// Relays one exchange.
async fn relay(
    mut client: TcpStream,
    target: SocketAddr,
    endings: Endings,
    answers: &Cell<usize>,
) -> std::io::Result<()> {
    let _ = client.set_nodelay(true);
    let first = read(&mut client).await?;
    if first.is_empty() {
        return Ok(());
    }
    let ending = endings.of(&first);
    let mut upstream = TcpStream::connect(target).await?;
    let _ = upstream.set_nodelay(true);
    upstream.write_all(first).await.0?;
    let is_reset = ending.reset;
    let _open = ending.flood.as_ref().map(|_| endings.open_floods.begin());
    let flooded = endings.flooded.clone();
    // The work is cancelled upstream as soon as the client disconnects.
    let requests = std::pin::pin!(forward_requests(client.clone(), upstream.clone()));
    let answer = std::pin::pin!(forward_answer(upstream, client.clone(), ending, &flooded));
    select(requests, answer).await;
    answers.set(answers.get() + 1);
    if is_reset {
        client.set_zero_linger()?;
    }
    Ok(())
}

async fn forward_requests(mut from: TcpStream, mut to: TcpStream) -> std::io::Result<()> {
    loop {
        let bytes = read(&mut from).await?;
        if bytes.is_empty() {
            return Ok(());
        }
        to.write_all(bytes).await.0?;
    }
}

/// Sends the head of an answer without its framing, and then the bytes of the body.
async fn forward_answer(
    mut from: TcpStream,
    mut to: TcpStream,
    ending: Ending,
    flooded: &Cell<usize>,
) -> std::io::Result<()> {
    if let Some(flood) = ending.flood.as_ref().filter(|flood| flood.replaces_head) {
        return send_flood(&mut to, flood, flooded).await;
    }
    let mut buffer = Vec::new();
    let head_end = loop {
        let bytes = read(&mut from).await?;
        if bytes.is_empty() {
            return Ok(());
        }
        buffer.extend_from_slice(&bytes);
        if let Some(at) = find(&buffer, b"\r\n\r\n") {
            break at;
        }
    };
    let rest = buffer.split_off(head_end + 4);
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let is_framing = |line: &&str| {
        let line = line.to_ascii_lowercase();
        line.starts_with("content-length:") || line.starts_with("transfer-encoding:")
    };
    let length = head.lines().find_map(|line| {
        line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok()
    });
    let kept: Vec<&str> = head.lines().filter(|line| !is_framing(line)).collect();
    let kept = format!("{}\r\n\r\n", kept.join("\r\n"));
    to.write_all(kept.into_bytes()).await.0?;
    let mut body = Body { to, ending, sent: 0, held: Vec::new() };
    match length {
        Some(length) => forward_length(&mut from, rest, length, &mut body).await?,
        None => forward_chunks(&mut from, rest, &mut body).await?,
    }
    let flood = body.ending.flood.take();
    let mut to = body.to.clone();
    body.finish().await?;
    match flood {
        Some(flood) => send_flood(&mut to, &flood, flooded).await,
        None => Ok(()),
    }
}

/// Sends a flood until the connection is closed.
async fn send_flood(
    to: &mut TcpStream,
    flood: &Flood,
    flooded: &Cell<usize>,
) -> std::io::Result<()> {
    to.write_all(flood.start.clone()).await.0?;
    loop {
        to.write_all(flood.bytes.clone()).await.0?;
        flooded.set(flooded.get() + flood.bytes.len());
        compio::time::sleep(flood.pause).await;
    }
}

async fn forward_length(
    from: &mut TcpStream,
    mut bytes: Vec<u8>,
    mut left: usize,
    body: &mut Body,
) -> std::io::Result<()> {
    loop {
        left -= bytes.len();
        if !body.send(bytes).await? || left == 0 {
            return Ok(());
        }
        bytes = read(from).await?;
        if bytes.is_empty() {
            return Ok(());
        }
    }
}

async fn forward_chunks(
    from: &mut TcpStream,
    mut buffer: Vec<u8>,
    body: &mut Body,
) -> std::io::Result<()> {
    loop {
        while let Some(end) = find(&buffer, b"\r\n") {
            let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let size = usize::from_str_radix(&size, 16).expect("a chunk size");
            if size == 0 {
                return Ok(());
            }
            let chunk_end = end + 2 + size;
            if buffer.len() < chunk_end + 2 {
                break;
            }
            let chunk = buffer[end + 2..chunk_end].to_vec();
            buffer.drain(..chunk_end + 2);
            if !body.send(chunk).await? {
                return Ok(());
            }
        }
        let bytes = read(from).await?;
        if bytes.is_empty() {
            return Ok(());
        }
        buffer.extend_from_slice(&bytes);
    }
}

/// The body as it is sent to the client.
struct Body {
    to: TcpStream,
    ending: Ending,
    sent: usize,
    /// Bytes of an incomplete event that are held back.
    held: Vec<u8>,
}

impl Body {
    /// Sends bytes; returns false once the body is cut off.
    async fn send(&mut self, bytes: Vec<u8>) -> std::io::Result<bool> {
        let mut bytes = bytes;
        if self.ending.whole_events {
            self.held.extend_from_slice(&bytes);
            let end =
                self.held.windows(2).rposition(|pair| pair == EVENT_END).map_or(0, |at| at + 2);
            bytes = self.held.drain(..end).collect();
        }
        let room = self.ending.cut_at.map_or(usize::MAX, |cut| cut - self.sent);
        bytes.truncate(room);
        self.sent += bytes.len();
        let goes_on = bytes.len() < room;
        if !bytes.is_empty() {
            self.to.write_all(bytes).await.0?;
        }
        Ok(goes_on)
    }

    /// Sends what follows the body.
    async fn finish(mut self) -> std::io::Result<()> {
        let tail = std::mem::take(&mut self.ending.tail);
        if !tail.is_empty() {
            self.to.write_all(tail).await.0?;
        }
        Ok(())
    }
}

async fn read(from: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let BufResult(read, buffer) = from.read(Vec::with_capacity(READ_SIZE)).await;
    read.map(|_| buffer)
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}
