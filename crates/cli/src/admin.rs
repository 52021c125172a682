//! Calls of an entry's administration interface.

use std::time::Duration;

use serde_json::Value;

use crate::error::{CliError, CliResult};

/// Longest time a call may take.
const CALL_WAIT: Duration = Duration::from_secs(20);

/// Where to ask, as whom, and how to print.
#[derive(Clone, Debug)]
pub struct Admin {
    addr: String,
    token: String,
    json: bool,
}

/// An answer.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Value,
}

impl Admin {
    /// Asks the entry at `addr`.
    pub fn new(addr: &str) -> Self {
        Admin {
            addr: addr.to_owned(),
            token: String::new(),
            json: false,
        }
    }

    /// With this operator token.
    pub fn token(mut self, token: &str) -> Self {
        token.clone_into(&mut self.token);
        self
    }

    /// Prints JSON.
    pub fn json(mut self, yes: bool) -> Self {
        self.json = yes;
        self
    }

    /// Is JSON wanted?
    pub fn wants_json(&self) -> bool {
        self.json
    }

    /// Reads; anything but success is an error.
    pub fn read(&self, path: &str) -> CliResult<Value> {
        let reply = self.call("GET", path, None)?;
        match reply.status {
            200 => Ok(reply.body),
            _ => Err(refused(&reply)),
        }
    }

    /// Sends; the caller looks at the status.
    pub fn send(&self, path: &str, body: &Value) -> CliResult<Reply> {
        self.call("POST", path, Some(body.to_string()))
    }

    fn call(&self, method: &str, path: &str, body: Option<String>) -> CliResult<Reply> {
        let unreachable = |detail: String| CliError::Unreachable {
            addr: self.addr.clone(),
            detail,
        };
        let runtime = compio::runtime::Runtime::new()?;
        runtime.block_on(async {
            let asked = self.ask(method, path, body);
            match compio::time::timeout(CALL_WAIT, asked).await {
                Ok(answered) => answered.map_err(|e| unreachable(e.to_string())),
                Err(_) => Err(unreachable("no answer".to_owned())),
            }
        })
    }

    async fn ask(&self, method: &str, path: &str, body: Option<String>) -> cyper::Result<Reply> {
        let client = cyper::Client::builder().no_proxy().build()?;
        let url = format!("http://{}/admin/{path}", self.addr);
        let req = match method {
            "POST" => client.post(url)?,
            _ => client.get(url)?,
        };
        let req = req.bearer_auth(&self.token)?;
        let req = req.body(body.unwrap_or_default());
        let res = req.send().await?;
        let status = res.status().as_u16();
        let text = res.text().await?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok(Reply { status, body })
    }
}

/// The error of an answer that is no success.
pub fn refused(reply: &Reply) -> CliError {
    let detail = match reply.body["detail"].as_str() {
        Some(detail) if !detail.is_empty() => detail.to_owned(),
        _ => reply.body["title"].as_str().unwrap_or("refused").to_owned(),
    };
    CliError::Refused {
        status: reply.status,
        detail,
    }
}
