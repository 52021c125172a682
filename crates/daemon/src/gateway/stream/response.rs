//! The caller's side of a stream. The response starts with the head, continues with events, and
//! ends regularly only if the answer is complete.

use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::verdict::Verdict;
use futures_channel::{mpsc, oneshot};
use futures_util::SinkExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{HeaderMap, Response, StatusCode};

use crate::gateway::answer::{self, Body, BodyAborted, Cause};
use crate::gateway::send::CompleteAnswer;

/// Largest number of event batches buffered for a slow caller; beyond that the backend server is
/// slowed down.
const BUFFERED_BATCHES_MAX: usize = 8;

type Sender = mpsc::Sender<Result<Frame<Bytes>, BodyAborted>>;

/// The response to a streaming request.
pub struct ResponseStream {
    reply: Option<oneshot::Sender<Response<Body>>>,
    events: Option<Sender>,
    batches: u64,
}

impl ResponseStream {
    /// A response of which nothing was sent yet.
    pub fn new(reply: oneshot::Sender<Response<Body>>) -> Self {
        ResponseStream { reply: Some(reply), events: None, batches: 0 }
    }

    /// True if the head was sent.
    pub fn has_begun(&self) -> bool {
        self.reply.is_none()
    }

    /// Number of event batches sent.
    pub fn batches(&self) -> u64 {
        self.batches
    }

    /// Sends the head.
    pub fn send_head(&mut self, status: StatusCode, headers: HeaderMap) {
        let (sender, receiver) = mpsc::channel(BUFFERED_BATCHES_MAX);
        let mut response = Response::new(StreamBody::new(receiver).boxed_unsync());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        self.events = Some(sender);
        self.send(response);
    }

    /// Sends a batch of complete events.
    pub async fn send_events(&mut self, events: Vec<u8>) {
        self.batches += 1;
        if let Some(sender) = &mut self.events {
            // An error means that the caller disconnected, which ends the whole task by other
            // means.
            let _ = sender.send(Ok(Frame::data(Bytes::from(events)))).await;
        }
    }

    /// Ends the response regularly.
    pub fn finish(&mut self) {
        self.events = None;
    }

    /// Sends an error response of a backend server, or aborts a response that has begun.
    pub fn send_failure(self, answer: CompleteAnswer) {
        if self.has_begun() {
            return self.abort();
        }
        let CompleteAnswer { status, headers, body, .. } = answer;
        let mut this = self;
        this.send(answer::complete(status, headers, body));
    }

    /// Sends a refusal, or aborts a response that has begun.
    pub fn send_refusal(self, cause: Cause, verdict: Verdict, retry: Option<Duration>) {
        if self.has_begun() {
            return self.abort();
        }
        let mut this = self;
        this.send(answer::refusal(cause, verdict, retry));
    }

    fn abort(mut self) {
        if let Some(mut sender) = self.events.take()
            && sender.try_send(Err(BodyAborted)).is_err()
        {
            // The channel is full: the task waits until the body's reader has made room for the
            // error.
            compio::runtime::spawn(async move {
                let _ = sender.send(Err(BodyAborted)).await;
            })
            .detach();
        }
    }

    fn send(&mut self, response: Response<Body>) {
        if let Some(reply) = self.reply.take() {
            // An error means that the caller disconnected just now.
            let _ = reply.send(response);
        }
    }
}
