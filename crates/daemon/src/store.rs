//! The platform's key-value service and its list of VMs, behind traits.
//!
//! The one implementation speaks the published HTTP interface of Consul's key-value store: raw
//! values, `ModifyIndex` for compare-and-swap, blocking queries as watches.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use ebonyloft_core::time::Moment;
use serde::Deserialize;
use snafu::Snafu;

/// Longest time a call may take, watches apart.
pub const CALL_WAIT: Duration = Duration::from_secs(3);
/// How long a watch waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Why a call gave nothing.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// No answer: a write may have taken effect.
    #[snafu(display("the platform's service did not answer; a write may have taken effect"))]
    NoAnswer,
    /// It refused the call.
    #[snafu(display("the platform's service refused the call with status {status}"))]
    Refused { status: u16 },
    /// It answered something unreadable.
    #[snafu(display("the platform's service answered what can't be read"))]
    Unreadable,
}

/// A value with the index that compare-and-swap needs; index zero means that there is none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stored {
    /// Index of the last change.
    pub index: u64,
    /// The value.
    pub value: Option<Bytes>,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct VmRow {
    /// Name of the process on it.
    pub name: String,
    /// `live`, `leaving` or `gone`.
    pub state: String,
    /// When it took that state.
    pub since: Moment,
    /// Address of the process's links.
    pub addr: std::net::SocketAddr,
}

/// A call under way.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + 'a>>;

/// The platform, as far as this system uses it.
pub trait Store {
    /// Reads a value.
    fn read<'a>(&'a self, key: &'a str) -> Pending<'a, Stored>;
    /// Waits until a value's index differs from `index`, or some seconds.
    fn watch<'a>(&'a self, key: &'a str, index: u64) -> Pending<'a, Stored>;
    /// Writes if the index is still `index`; false when another write came first.
    fn swap<'a>(&'a self, key: &'a str, value: Bytes, index: u64) -> Pending<'a, bool>;
    /// The VMs that the platform knows of; late, never early.
    fn vms<'a>(&'a self) -> Pending<'a, Vec<VmRow>>;
}

/// The service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    base: String,
    client: cyper::Client,
}

impl HttpStore {
    /// A client of the service at `base`, such as `http://10.0.0.5:8500`.
    pub fn new(base: &str) -> Self {
        // The builder sets no TLS, so building can't fail.
        let client = cyper::Client::builder()
            .no_proxy()
            .build()
            .expect("plain client");
        HttpStore {
            base: base.trim_end_matches('/').to_owned(),
            client,
        }
    }

    async fn fetch(&self, url: &str, wait: Duration) -> Result<Stored, StoreError> {
        let sent = async {
            let res = self
                .client
                .get(url)
                .map_err(no_answer)?
                .send()
                .await
                .map_err(no_answer)?;
            let status = res.status().as_u16();
            let index = index_of(&res);
            let body = res.bytes().await.map_err(no_answer)?;
            match status {
                200 => Ok(Stored {
                    index,
                    value: Some(body),
                }),
                404 => Ok(Stored::default()),
                status => Err(StoreError::Refused { status }),
            }
        };
        compio::time::timeout(wait, sent)
            .await
            .unwrap_or(Err(StoreError::NoAnswer))
    }
}

fn no_answer(_: cyper::Error) -> StoreError {
    StoreError::NoAnswer
}

fn index_of(res: &cyper::Response) -> u64 {
    let text = res
        .headers()
        .get("x-consul-index")
        .and_then(|v| v.to_str().ok());
    text.and_then(|t| t.parse().ok()).unwrap_or(0)
}

impl Store for HttpStore {
    fn read<'a>(&'a self, key: &'a str) -> Pending<'a, Stored> {
        Box::pin(async move {
            self.fetch(&format!("{}/v1/kv/{key}?raw", self.base), CALL_WAIT)
                .await
        })
    }

    fn watch<'a>(&'a self, key: &'a str, index: u64) -> Pending<'a, Stored> {
        Box::pin(async move {
            let wait = WATCH_WAIT.as_secs();
            let url = format!("{}/v1/kv/{key}?raw&index={index}&wait={wait}s", self.base);
            self.fetch(&url, WATCH_WAIT + CALL_WAIT).await
        })
    }

    fn swap<'a>(&'a self, key: &'a str, value: Bytes, index: u64) -> Pending<'a, bool> {
        Box::pin(async move {
            let url = format!("{}/v1/kv/{key}?cas={index}", self.base);
            let sent = async {
                let req = self.client.put(&url).map_err(no_answer)?.body(value);
                let res = req.send().await.map_err(no_answer)?;
                let status = res.status().as_u16();
                let text = res.text().await.map_err(no_answer)?;
                match status {
                    200 => Ok(text.trim() == "true"),
                    status => Err(StoreError::Refused { status }),
                }
            };
            compio::time::timeout(CALL_WAIT, sent)
                .await
                .unwrap_or(Err(StoreError::NoAnswer))
        })
    }

    fn vms<'a>(&'a self) -> Pending<'a, Vec<VmRow>> {
        Box::pin(async move {
            let stored = self
                .fetch(&format!("{}/v1/vms", self.base), CALL_WAIT)
                .await?;
            let body = stored.value.unwrap_or_default();
            serde_json::from_slice(&body).map_err(|_| StoreError::Unreadable)
        })
    }
}
