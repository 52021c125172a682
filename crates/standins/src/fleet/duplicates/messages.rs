//! Finds where messages end in the bytes of a connection.

use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};

/// Headers that a message may have at most.
const HEADERS_MAX: usize = 64;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Who sends the messages: an answer without a length ends with its connection, a request has no body then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender {
    /// The end that opened the connection.
    Client,
    /// The other one.
    Server,
}

/// Finds the end of each message that is sent in one direction.
#[derive(Debug)]
pub struct Scanner {
    sender: Sender,
    place: Place,
    /// Bytes of the head, or of the line that a chunk begins with, as far as they have arrived.
    line: Vec<u8>,
}

/// What the next byte belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    Head,
    /// A body with this many bytes left.
    Body(u64),
    ChunkSize,
    /// A chunk with this many bytes left, its line end included.
    Chunk(u64),
    /// The lines after the last chunk.
    Trailer,
    /// A body that ends with its connection.
    Unbounded,
}

impl Scanner {
    /// Starts before the first message.
    pub fn new(sender: Sender) -> Scanner {
        Scanner { sender, place: Place::Head, line: Vec::new() }
    }

    /// Returns how many of the bytes belong to the current message, and whether it ends with them; `None` if
    /// they are no message.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<(usize, bool)> {
        let mut at = 0;
        while at < bytes.len() {
            let (taken, ends) = self.step(&bytes[at..])?;
            at += taken;
            if ends {
                self.place = Place::Head;
                return Some((at, true));
            }
        }
        Some((at, false))
    }

    fn step(&mut self, bytes: &[u8]) -> Option<(usize, bool)> {
        match self.place {
            Place::Unbounded => return Some((bytes.len(), false)),
            Place::Body(left) => {
                let taken = left.min(bytes.len() as u64);
                self.place = Place::Body(left - taken);
                return Some((taken as usize, taken == left));
            }
            Place::Chunk(left) => {
                let taken = left.min(bytes.len() as u64);
                let rest = left - taken;
                self.place = if rest == 0 { Place::ChunkSize } else { Place::Chunk(rest) };
                return Some((taken as usize, false));
            }
            Place::Head | Place::ChunkSize | Place::Trailer => {}
        }
        self.line.push(bytes[0]);
        let end = if self.place == Place::Head { HEAD_END } else { b"\r\n" };
        if !self.line.ends_with(end) {
            return Some((1, false));
        }
        let line = std::mem::take(&mut self.line);
        self.place = match self.place {
            Place::Head => self.body_after(&line)?,
            Place::ChunkSize => match httparse::parse_chunk_size(&line).ok()? {
                httparse::Status::Complete((_, 0)) => Place::Trailer,
                httparse::Status::Complete((_, size)) => Place::Chunk(size + 2),
                httparse::Status::Partial => return None,
            },
            _ if line == b"\r\n" => return Some((1, true)),
            _ => Place::Trailer,
        };
        Some((1, self.place == Place::Body(0)))
    }

    fn body_after(&self, head: &[u8]) -> Option<Place> {
        let headers = match self.sender {
            Sender::Client => parse_request(head)?.headers().clone(),
            Sender::Server => parse_answer(head)?.headers().clone(),
        };
        if headers.contains_key(http::header::TRANSFER_ENCODING) {
            return Some(Place::ChunkSize);
        }
        match (headers.get(http::header::CONTENT_LENGTH), self.sender) {
            (Some(length), _) => Some(Place::Body(length.to_str().ok()?.parse().ok()?)),
            (None, Sender::Client) => Some(Place::Body(0)),
            (None, Sender::Server) => Some(Place::Unbounded),
        }
    }
}

/// Parses the head that a request begins with; `None` if it is malformed or incomplete.
pub fn parse_request(bytes: &[u8]) -> Option<Request<()>> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut fields);
    head.parse(bytes).ok().filter(httparse::Status::is_complete)?;
    let mut request = Request::new(());
    *request.method_mut() = head.method?.parse().ok()?;
    *request.uri_mut() = head.path?.parse().ok()?;
    *request.headers_mut() = header_map(head.headers)?;
    Some(request)
}

/// Parses the head that an answer begins with; `None` if it is malformed or incomplete.
pub fn parse_answer(bytes: &[u8]) -> Option<Response<()>> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Response::new(&mut fields);
    head.parse(bytes).ok().filter(httparse::Status::is_complete)?;
    let mut answer = Response::new(());
    *answer.status_mut() = http::StatusCode::from_u16(head.code?).ok()?;
    *answer.headers_mut() = header_map(head.headers)?;
    Some(answer)
}

/// Writes an answer with this head and the body of `original`, which is complete.
pub fn with_head(head: &Response<()>, original: &[u8]) -> Vec<u8> {
    let body_at = original.windows(HEAD_END.len()).position(|w| w == HEAD_END);
    let body = body_at.map_or(&original[..0], |at| &original[at + HEAD_END.len()..]);
    let mut bytes = format!("HTTP/1.1 {}\r\n", head.status()).into_bytes();
    for (name, value) in head.headers() {
        for part in [name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"] {
            bytes.extend_from_slice(part);
        }
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

fn header_map(fields: &[httparse::Header<'_>]) -> Option<HeaderMap> {
    let mut map = HeaderMap::new();
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        map.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(map)
}
