//! A runner: a plain server whose answers a case decides on.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};
use crate::record::Record;

/// What became of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It is still at work.
    Running,
    /// It was done, and its answer was written.
    Answered,
    /// It was done, and its connection had ended.
    Unwanted,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request's id.
    pub attempt: String,
    /// When it began.
    pub begun: Instant,
    /// When it ended.
    pub ended: Option<Instant>,
    /// What became of it.
    pub end: End,
    /// The `Tenant` that it came with.
    pub tenant: Option<String>,
    /// Did it come with `Authorization`?
    pub has_key: bool,
}

/// The answer of a runner to one request.
pub enum Plan {
    /// Works for this long, then answers 200 with the text.
    Answer(Duration, String),
    /// Answers 200 at once, then sends so many events, one each interval.
    Events(u32, Duration),
}

/// A running server.
pub struct Runner {
    /// Its id.
    pub id: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its runs so far.
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Runner {
    /// Starts a runner; `plan` decides on the answer by the head of the request.
    pub fn start(
        id: &str,
        addr: SocketAddr,
        record: &Record,
        plan: impl Fn(&Head) -> Plan + Send + Sync + 'static,
    ) -> Runner {
        let listener = TcpListener::bind(addr).expect("a free address");
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let plan: Arc<dyn Fn(&Head) -> Plan + Send + Sync> = Arc::new(plan);
        let (id_, runs_, record) = (id.to_owned(), runs.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, runs, record, plan) =
                    (id_.clone(), runs_.clone(), record.clone(), plan.clone());
                std::thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while serve(&mut conn, &id, &runs, &record, plan.as_ref()) {}
                });
            }
        });
        Runner { id: id.to_owned(), addr, runs }
    }

    /// Its registration, as a plain server of a service.
    pub fn registration(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slot_count\":24,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}}",
            self.addr
        )
    }

    /// Its runs of one request.
    pub fn runs_of(&self, attempt: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("no panic");
        runs.iter().filter(|r| r.attempt == attempt).cloned().collect()
    }
}

/// Serves one request; false when the connection is over.
fn serve(
    conn: &mut Conn,
    id: &str,
    runs: &Mutex<Vec<Run>>,
    record: &Record,
    plan: &(dyn Fn(&Head) -> Plan + Send + Sync),
) -> bool {
    let Ok(Some(head)) = conn.head() else { return false };
    let (_, whole) = conn.body(&head, |_| {});
    if !whole {
        return false;
    }
    let Some(attempt) = head.get("attempt-id").map(str::to_owned) else {
        // A health check or report.
        let text = format!(
            "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nServer-Load: 0,0,24\r\nContent-Length: 0\r\n\r\n"
        );
        return conn.stream.write_all(text.as_bytes()).is_ok();
    };
    if head.get("expect-instance").is_some_and(|expected| expected != id) {
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        return conn.stream.write_all(text.as_bytes()).is_ok();
    }
    let begun = Instant::now();
    let index = {
        let mut runs = runs.lock().expect("no panic");
        runs.push(Run {
            attempt: attempt.clone(),
            begun,
            ended: None,
            end: End::Running,
            tenant: head.get("tenant").map(str::to_owned),
            has_key: head.get("authorization").is_some(),
        });
        runs.len() - 1
    };
    let deadline = head.get("deadline-ms").unwrap_or("-").to_owned();
    record.line(format!("runner {id} runs {attempt} ({}), Deadline-Ms {deadline}", head.line));
    let stamp =
        format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {id}.{attempt}\r\n");
    let answered = match plan(&head) {
        Plan::Answer(work, text) => {
            std::thread::sleep(work);
            let answer = format!("{stamp}Content-Length: {}\r\n\r\n{text}", text.len());
            !is_closed(&conn.stream) && conn.stream.write_all(answer.as_bytes()).is_ok()
        }
        Plan::Events(count, interval) => {
            let text = format!(
                "{stamp}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let mut sent = conn.stream.write_all(text.as_bytes()).is_ok();
            for n in 1..=count {
                std::thread::sleep(interval);
                let event = format!("id: {n}\ndata: piece {n}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                sent = sent
                    && !is_closed(&conn.stream)
                    && conn.stream.write_all(chunk.as_bytes()).is_ok();
                if !sent {
                    break;
                }
            }
            sent && conn.stream.write_all(b"0\r\n\r\n").is_ok()
        }
    };
    let end = if answered { End::Answered } else { End::Unwanted };
    {
        let run = &mut runs.lock().expect("no panic")[index];
        (run.end, run.ended) = (end, Some(Instant::now()));
    }
    record.line(format!(
        "runner {id} ends {attempt} after {} ms: {}",
        begun.elapsed().as_millis(),
        if answered { "answered" } else { "its connection had ended" }
    ));
    answered
}

/// Has the other end closed the connection?
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let closed = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}
