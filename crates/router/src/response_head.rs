//! Finds the head of another HTTP response in the bytes of a body.
//!
//! A body without a length and without chunks ends with its connection. A faulty backend server may send another
//! response on the same connection, whose bytes are then read as part of the body.

use std::ops::Range;

/// What every status line begins with.
const PROTOCOL: &[u8] = b"HTTP/1.";
/// A status line up to its reason; `d` stands for a digit.
const STATUS_LINE: &[u8] = b"HTTP/1.d ddd";

/// Does the head of another response, or the beginning of one, follow in a body? `body` is complete.
///
/// Text that merely mentions a status line is told apart by what follows: a head has line ends of two bytes,
/// and a header or a blank line after its first line.
pub fn follows_in(body: &[u8]) -> bool {
    let mut from = 0;
    while let Some(at) = find(&body[from..], PROTOCOL).map(|at| from + at) {
        if is_head(&body[at..]) {
            return true;
        }
        from = at + PROTOCOL.len();
    }
    false
}

/// The status lines in `bytes`, each up to its line end, in order.
pub fn status_lines(bytes: &[u8]) -> impl Iterator<Item = Range<usize>> + '_ {
    let mut from = 0;
    std::iter::from_fn(move || {
        loop {
            let at = from + find(&bytes[from..], PROTOCOL)?;
            from = at + PROTOCOL.len();
            let rest = &bytes[at..];
            if rest.len() >= STATUS_LINE.len() && begins_status_line(rest) {
                let len = find(rest, b"\n").map_or(rest.len(), |len| len + 1);
                return Some(at..at + len);
            }
        }
    })
}

/// Is the line a header, by its syntax?
pub fn is_header(line: &[u8]) -> bool {
    let is_name = |name: &[u8]| !name.is_empty() && name.iter().all(|b| is_token_byte(*b));
    line.iter().position(|b| *b == b':').is_some_and(|colon| is_name(&line[..colon]))
}

/// Are the bytes a head, or cut off in one?
fn is_head(bytes: &[u8]) -> bool {
    if !begins_status_line(bytes) {
        return false;
    }
    let Some(len) = find(bytes, b"\n") else {
        return is_reason(bytes.get(STATUS_LINE.len()..).unwrap_or_default());
    };
    let (line, rest) = bytes.split_at(len + 1);
    if !line.ends_with(b"\r\n") {
        return false;
    }
    match find(rest, b"\n") {
        Some(len) => &rest[..=len] == b"\r\n" || is_header(&rest[..len]),
        None => rest.iter().all(|b| is_token_byte(*b)) || is_header(rest) || rest == b"\r",
    }
}

/// Do the bytes begin like a status line, as far as they go?
fn begins_status_line(bytes: &[u8]) -> bool {
    let pairs = bytes.iter().zip(STATUS_LINE);
    let begins = pairs.clone().all(|(byte, wanted)| match wanted {
        b'd' => byte.is_ascii_digit(),
        _ => byte == wanted,
    });
    begins && bytes.get(STATUS_LINE.len()).is_none_or(|b| matches!(b, b' ' | b'\r'))
}

/// Is it the reason of a status line, or the beginning of one?
fn is_reason(bytes: &[u8]) -> bool {
    let reason = bytes.strip_suffix(b"\r").unwrap_or(bytes);
    reason.iter().all(|b| b.is_ascii_alphabetic() || matches!(b, b' ' | b'-'))
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}
