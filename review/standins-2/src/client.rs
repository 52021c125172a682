//! A client that keeps its connection.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Conn, Head};

/// What a client got.
#[derive(Clone, Debug)]
pub enum Got {
    /// A whole answer.
    Answer(Head, Vec<u8>),
    /// An answer that broke off.
    Cut(Head, Vec<u8>),
    /// The connection ended without an answer.
    Closed(String),
    /// Nothing came until the deadline.
    Silence,
}

impl Got {
    /// In a few words.
    pub fn text(&self) -> String {
        match self {
            Got::Answer(head, body) => format!(
                "{} {}, whole body of {} bytes",
                head.status(),
                if head.get("server-stamp").is_some() {
                    "with the runner's stamp"
                } else {
                    "of the gateway"
                },
                body.len()
            ),
            Got::Cut(head, body) => format!("{} cut off after {} bytes", head.status(), body.len()),
            Got::Closed(how) => format!("connection closed without an answer ({how})"),
            Got::Silence => "nothing until the deadline".to_owned(),
        }
    }
}

/// A client with one connection.
pub struct Client {
    conn: Conn,
}

impl Client {
    /// Connects to a gateway.
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        Ok(Client { conn: Conn::new(stream) })
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        line: &str,
        host: &str,
        attempt: &str,
        deadline: Duration,
        more: &str,
        body: &str,
    ) -> io::Result<()> {
        let text = format!(
            "{line} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {}\r\n{more}Content-Length: {}\r\n\r\n{body}",
            deadline.as_millis(),
            body.len()
        );
        self.conn.stream.write_all(text.as_bytes())
    }

    /// Waits for the answer for at most `limit`.
    pub fn receive(&mut self, limit: Duration) -> Got {
        let _ = self.conn.stream.set_read_timeout(Some(limit));
        let head = match self.conn.head() {
            Ok(Some(head)) => head,
            Ok(None) => return Got::Closed("end of the connection".to_owned()),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Got::Silence;
            }
            Err(e) => return Got::Closed(e.to_string()),
        };
        match self.conn.body(&head, |_| {}) {
            (body, true) => Got::Answer(head, body),
            (body, false) => Got::Cut(head, body),
        }
    }
}
