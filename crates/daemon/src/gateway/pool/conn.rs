//! A connection of the pool, and what is known of its other end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use compio::runtime::JoinHandle;
use ebonyloft_core::time::Timestamp;
use ebonyloft_router::correlation::Correlation;
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::ext::on_informational;
use hyper::header::CONNECTION;
use hyper::{HeaderMap, Request, Response};

use super::{ExchangeError, IDLE_MAX};
use crate::answer_socket::{FINAL_STATUSES, Upload, WriteState};
use crate::http::is_framed;

/// Interim answers that an exchange may have.
const INTERIM_MAX: usize = 16;
/// References to the state of a watch that a connection itself has: its own, and its task's.
const OWN_WATCHES: usize = 2;

/// Tells later whether the other end closed a connection unannounced, as the end of its process does.
/// Nothing more is learned once the connection is closed at this end.
#[derive(Clone, Debug, Default)]
pub struct ConnWatch(pub(super) Rc<WatchState>);

#[derive(Debug, Default)]
pub(super) struct WatchState {
    pub(super) is_closed: Cell<bool>,
    pub(super) is_announced: Cell<bool>,
}

impl ConnWatch {
    /// Did the other end close the connection without an announcement?
    pub fn has_broken(&self) -> bool {
        self.0.is_closed.get() && !self.0.is_announced.get()
    }

    pub(super) fn on_head(&self, headers: &HeaderMap) {
        let mut options = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
        let closes = options.any(|v| v.split(',').any(|o| o.trim().eq_ignore_ascii_case("close")));
        if closes || !is_framed(headers) {
            self.0.is_announced.set(true);
        }
    }
}

/// A connection and what it has carried, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnUse {
    /// Number of the connection in this process.
    pub number: u64,
    /// Exchanges with the backend server that it carried before.
    pub carried: usize,
}

/// An open connection with no exchange on it.
pub struct Conn {
    pub(super) addr: SocketAddr,
    pub(super) number: u64,
    pub(super) correlation: Correlation,
    pub(super) watch: ConnWatch,
    pub(super) sender: SendRequest<Upload>,
    /// How far its requests have been written.
    pub(super) writes: Rc<WriteState>,
    /// Drives the connection; dropping it closes the socket.
    pub(super) task: JoinHandle<()>,
    pub(super) idle_since: Timestamp,
}

impl Conn {
    /// The connection and what it has carried, for the log.
    pub fn usage(&self) -> ConnUse {
        ConnUse { number: self.number, carried: self.correlation.exchanges() }
    }

    pub(super) async fn send(
        &mut self,
        req: Request<Bytes>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let mut req = req.map(|body| self.writes.upload(body));
        let (interim_sender, interim) = mpsc::unbounded();
        on_informational(&mut req, move |_| {
            // Fails once the exchange is given up.
            let _ = interim_sender.unbounded_send(());
        });
        let sent = pin!(self.sender.try_send_request(req));
        let result = match select(sent, interim.skip(INTERIM_MAX).into_future()).await {
            Either::Left((result, _)) => result,
            Either::Right(((None, _), sent)) => sent.await,
            Either::Right(((Some(()), _), _)) => {
                tracing::warn!(addr = %self.addr, "answer given up: interim answers do not end");
                return Err(ExchangeError::Lost);
            }
        };
        match result {
            Ok(response) if FINAL_STATUSES.contains(&response.status().as_u16()) => Ok(response),
            Ok(response) => {
                let status = response.status().as_u16();
                tracing::warn!(addr = %self.addr, status, "answer given up: its status is none");
                Err(ExchangeError::Lost)
            }
            Err(mut e) => Err(match e.take_message() {
                Some(_) => ExchangeError::Unsent,
                None => ExchangeError::Lost,
            }),
        }
    }

    /// Tells whether the other end has closed it.
    pub fn watch(&self) -> ConnWatch {
        self.watch.clone()
    }

    /// Is it open, and has it been idle for no longer than connections are kept?
    pub(super) fn is_recent(&self, now: Timestamp) -> bool {
        now.since(self.idle_since) < IDLE_MAX && !self.sender.is_closed()
    }

    /// Does something depend on the life of the process at the other end?
    pub(super) fn is_watched(&self) -> bool {
        Rc::strong_count(&self.watch.0) > OWN_WATCHES
    }

    /// Closes the socket.
    pub fn close(self) {
        drop(self.task);
    }
}
