//! Reads HTTP/1.1 messages from a socket.

use std::io::{self, Read};
use std::net::TcpStream;

/// Head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// First value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 << 10];
        let n = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..n]);
        Ok(n)
    }

    /// Reads a head; `None` if the connection ended before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|l| l.split_once(':'));
                let headers = headers
                    .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { line, headers }));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads exactly `len` bytes.
    pub fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..len).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to a head, by its length or chunks; the flag tells whether it is whole.
    /// `on_piece` sees each piece as it comes.
    pub fn body(&mut self, head: &Head, mut on_piece: impl FnMut(&[u8])) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        let is_chunked = head
            .get("transfer-encoding")
            .is_some_and(|t| t.to_ascii_lowercase().contains("chunked"));
        if is_chunked {
            loop {
                let Ok(line) = self.line() else { return (body, false) };
                let size = line.split(';').next().unwrap_or("").trim().to_owned();
                let Ok(len) = usize::from_str_radix(&size, 16) else { return (body, false) };
                let Ok(piece) = self.exact(len) else { return (body, false) };
                if self.line().is_err() {
                    return (body, false);
                }
                if len == 0 {
                    return (body, true);
                }
                on_piece(&piece);
                body.extend(piece);
            }
        }
        let len = head.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        match self.exact(len) {
            Ok(whole) => {
                on_piece(&whole);
                (whole, true)
            }
            Err(_) => (body, false),
        }
    }
}
