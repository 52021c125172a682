//! A reader of JSON, and base64.

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|b| b.is_ascii_whitespace() || matches!(b, b',' | b':')) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Table(rows));
                }
                let name = value(bytes, at)?.text().to_owned();
                rows.push((name, value(bytes, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(items));
                }
                items.push(value(bytes, at)?);
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8_lossy(&out).into_owned()));
                    }
                    b'\\' => {
                        out.push(*bytes.get(*at + 1)?);
                        *at += 2;
                    }
                    byte => {
                        out.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| !matches!(b, b',' | b'}' | b']' | b' ' | b'\n')) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
            Some(word.parse().map_or(Json::Null, Json::Number))
        }
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let all = part.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            let digit = DIGITS[(all >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= part.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
