//! Socket on which a request is written and its answer read, and which tells a reset from a proper end.
//!
//! The system reports a reset once. If a write takes the error, the next read returns no bytes, as after a proper
//! end, and the part of an answer that ends with its connection would look whole. An end that comes while the
//! request is still being written is therefore passed on only once the rest was written, or no write has failed
//! for a while: a server that ends an answer properly reads on or leaves the request unread.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use compio::BufResult;
use compio::buf::{IoBuf, IoBufMut};
use compio::io::{AsyncRead, AsyncWrite};
use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::body::{Body, Frame, SizeHint};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response};

use crate::http::{self, Pieces};

/// Statuses of final answers. The HTTP library also takes those above, which are none, and 101, which answers a
/// request for another protocol and is never asked for.
pub const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Port of URIs that name none.
const HTTP_PORT: u16 = 80;
/// How long a reset is waited for after an end that came before the request was written.
const RESET_TIMEOUT: Duration = Duration::from_millis(100);

/// A socket for hyper.
pub type AnswerSocket = HyperStream<(Reader, Writer)>;

/// Wraps a connected socket; the bodies of requests on it must be made by the returned state.
pub fn wrap(stream: TcpStream) -> (AnswerSocket, Rc<WriteState>) {
    let state = Rc::<WriteState>::default();
    let reader = Reader { stream: stream.clone(), state: state.clone() };
    let writer = Writer { stream, state: state.clone() };
    (HyperStream::new_plain((reader, writer)), state)
}

/// Sends one request to the host in its URI, over a connection of its own. None if no whole answer of at most `limit`
/// bytes comes back.
pub async fn exchange(req: Request<Bytes>, limit: usize) -> Option<Response<Bytes>> {
    let uri = req.uri().clone();
    let host = uri.host()?;
    let stream = TcpStream::connect((host, uri.port_u16().unwrap_or(HTTP_PORT))).await.ok()?;
    let (io, writes) = wrap(stream);
    let (mut sender, conn) = http1::handshake(io).await.ok()?;
    // Dropping the task closes the socket.
    let _conn = compio::runtime::spawn(conn);
    let mut req = req.map(|body| writes.upload(body));
    req.headers_mut().insert(HOST, uri.authority()?.as_str().parse().ok()?);
    *req.uri_mut() = uri.path_and_query()?.as_str().parse().ok()?;
    let response = sender.send_request(req).await.ok()?;
    let (parts, body) = response.into_parts();
    let is_final = FINAL_STATUSES.contains(&parts.status.as_u16());
    let body = http::read_body(body, limit).await.filter(|_| is_final)?;
    Some(Response::from_parts(parts, body))
}

/// How far the requests of a connection have been written.
#[derive(Debug, Default)]
pub struct WriteState {
    /// Bytes of the body that the connection has not taken over yet.
    unsent: Cell<usize>,
    is_writing: Cell<bool>,
    has_failed: Cell<bool>,
    /// Wakes the reader that waits for a change.
    waker: RefCell<Option<Waker>>,
}

impl WriteState {
    /// The body of the next request.
    pub fn upload(self: &Rc<Self>, bytes: Bytes) -> Upload {
        self.unsent.set(bytes.len());
        Upload { pieces: Pieces(bytes), state: self.clone() }
    }

    fn is_writing(&self) -> bool {
        self.is_writing.get() || self.unsent.get() > 0
    }

    fn end_write(&self, has_failed: bool) {
        self.is_writing.set(false);
        self.has_failed.set(self.has_failed.get() || has_failed);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Waits until the request is written, a write fails, or no write has failed for a while; an error if
    /// one has.
    async fn settle(&self) -> io::Result<()> {
        let settled = poll_fn(|cx| {
            if self.has_failed.get() || !self.is_writing() {
                return Poll::Ready(());
            }
            self.waker.replace(Some(cx.waker().clone()));
            Poll::Pending
        });
        // Once the time is over, what is known by then counts.
        let _ = compio::time::timeout(RESET_TIMEOUT, settled).await;
        if self.has_failed.get() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

/// The body of a request, which is counted as the connection takes it over.
#[derive(Debug)]
pub struct Upload {
    pieces: Pieces,
    state: Rc<WriteState>,
}

impl Body for Upload {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = Pin::new(&mut self.pieces).poll_frame(cx);
        self.state.unsent.set(self.pieces.0.len());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.pieces.size_hint()
    }
}

/// The half that answers are read from.
#[derive(Debug)]
pub struct Reader {
    stream: TcpStream,
    state: Rc<WriteState>,
}

impl AsyncRead for Reader {
    async fn read<B: IoBufMut>(&mut self, buf: B) -> BufResult<usize, B> {
        let BufResult(read, buf) = self.stream.read(buf).await;
        if matches!(read, Ok(0))
            && let Err(e) = self.state.settle().await
        {
            return BufResult(Err(e), buf);
        }
        BufResult(read, buf)
    }
}

/// The half that requests are written to.
#[derive(Debug)]
pub struct Writer {
    stream: TcpStream,
    state: Rc<WriteState>,
}

impl AsyncWrite for Writer {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        self.state.is_writing.set(true);
        let BufResult(written, buf) = self.stream.write(buf).await;
        self.state.end_write(written.is_err());
        BufResult(written, buf)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}
