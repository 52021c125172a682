//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// A request or a response: its first line, headers and body.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?;
        Some(unescape(pair.1))
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.to_ascii_lowercase().contains("close"))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let code = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match code.and_then(|c| u8::from_str_radix(c, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the message broke off")
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(broken());
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads one message; `None` if the connection was closed before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message { start, headers: Vec::new(), body: Vec::new() };
    loop {
        let line = read_line(reader)?.ok_or_else(broken)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let line = read_line(reader)?.ok_or_else(broken)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken())?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            read_line(reader)?.ok_or_else(broken)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| broken())?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// A response.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Response { status, headers: Vec::new(), body: body.into() }
    }

    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    fn write(&self, mut to: impl Write) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {} status\r\n", self.status);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        to.write_all(&bytes)
    }
}

/// Serves connections, each in a thread of its own, until `ended` is set; then all are closed. The
/// connection is closed where the handler returns nothing.
pub fn serve<H>(listener: TcpListener, ended: Arc<AtomicBool>, handler: H)
where
    H: Fn(Message) -> Option<Response> + Clone + Send + 'static,
{
    listener.set_nonblocking(true).expect("a listener can be made nonblocking");
    thread::spawn(move || {
        let mut open: Vec<TcpStream> = Vec::new();
        while !ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                open.push(copy);
            }
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(&stream, handler);
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
        drop(listener);
        for stream in open {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    });
}

fn serve_connection(
    stream: &TcpStream,
    handler: impl Fn(Message) -> Option<Response>,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(message) = read_message(&mut reader)? {
        match handler(message) {
            Some(response) => response.write(stream)?,
            None => return Ok(()),
        }
    }
    Ok(())
}
