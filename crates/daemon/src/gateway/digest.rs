//! Keyed digests of request contents. All gateways of a system compute the same digest for the
//! same request.

use ebonyloft_router::request_digest::RequestDigest;
use hmac::{Hmac, Mac};
use hyper::{Method, Uri};
use sha2::Sha256;

/// Computes keyed digests (HMAC-SHA-256).
pub struct Digester {
    /// Initialised with the key; cloned for each request.
    mac: Hmac<Sha256>,
}

impl Digester {
    /// Creates a digester with the key that all gateways of the system share.
    pub fn new(key: &[u8]) -> Self {
        Digester { mac: Hmac::new_from_slice(key).expect("HMAC accepts keys of any length") }
    }

    /// Digest of a request; `account` is empty if the request has none. Each part is preceded by
    /// its length, so that two different requests never hash the same bytes.
    pub fn request_digest(
        &self,
        account: &str,
        method: &Method,
        host: &str,
        uri: &Uri,
        body: &[u8],
    ) -> RequestDigest {
        let mut mac = self.mac.clone();
        let target = uri.path_and_query().map_or("", |p| p.as_str());
        let (account, method) = (account.as_bytes(), method.as_str().as_bytes());
        for part in [account, method, host.as_bytes(), target.as_bytes(), body] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        let digest = mac.finalize().into_bytes();
        RequestDigest::of(std::array::from_fn(|i| digest[i]))
    }
}
