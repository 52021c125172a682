//! The caller's end of a stream: nothing, then a head, then events, then an end that tells the truth.

use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::verdict::Verdict;
use futures_channel::{mpsc, oneshot};
use futures_util::SinkExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{HeaderMap, Response, StatusCode};

use crate::gateway::answer::{self, Body, Broken, Cause};
use crate::gateway::send::Whole;

/// Runs of events that wait for a caller who reads slowly; then the backend server waits too.
const WAITING_MAX: usize = 8;

type Sender = mpsc::Sender<Result<Frame<Bytes>, Broken>>;

/// Where a stream's answer goes.
pub struct Outlet {
    reply: Option<oneshot::Sender<Response<Body>>>,
    events: Option<Sender>,
    passed: u64,
}

impl Outlet {
    /// Nothing was said yet.
    pub fn new(reply: oneshot::Sender<Response<Body>>) -> Self {
        Outlet { reply: Some(reply), events: None, passed: 0 }
    }

    /// Has the caller the head of the answer?
    pub fn begun(&self) -> bool {
        self.reply.is_none()
    }

    /// Runs of events passed on.
    pub fn events(&self) -> u64 {
        self.passed
    }

    /// Sends the head.
    pub fn begin(&mut self, status: StatusCode, headers: HeaderMap) {
        let (sender, receiver) = mpsc::channel(WAITING_MAX);
        let mut response = Response::new(StreamBody::new(receiver).boxed_unsync());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        self.events = Some(sender);
        self.send(response);
    }

    /// Passes whole events on.
    pub async fn pass(&mut self, events: Vec<u8>) {
        self.passed += 1;
        if let Some(sender) = &mut self.events {
            // A caller who is gone ends the whole task by another way.
            let _ = sender.send(Ok(Frame::data(Bytes::from(events)))).await;
        }
    }

    /// The stream is whole.
    pub fn finish(&mut self) {
        self.events = None;
    }

    /// Passes on a backend server's failure, or breaks off what was begun.
    pub fn fail(self, answer: Whole) {
        if self.begun() {
            return self.break_off();
        }
        let Whole { status, headers, body, .. } = answer;
        let mut this = self;
        this.send(answer::whole(status, headers, body));
    }

    /// Says why there is no answer, or breaks off what was begun.
    pub fn refuse(self, cause: Cause, verdict: Verdict, retry: Option<Duration>) {
        if self.begun() {
            return self.break_off();
        }
        let mut this = self;
        this.send(answer::refusal(cause, verdict, retry));
    }

    fn break_off(mut self) {
        if let Some(mut sender) = self.events.take()
            && sender.try_send(Err(Broken)).is_err()
        {
            // The queue is full: closing it without its end is left to the body's reader.
            compio::runtime::spawn(async move {
                let _ = sender.send(Err(Broken)).await;
            })
            .detach();
        }
    }

    fn send(&mut self, response: Response<Body>) {
        if let Some(reply) = self.reply.take() {
            // The caller may have gone in this very moment.
            let _ = reply.send(response);
        }
    }
}
