//! Keyed digests of request contents and of parts of prompts. All gateways of a system compute the same
//! digest for the same request.

use ebonyloft_router::part_blame::PartDigest;
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

    /// Digest of a part of a prompt: its id, and the model that the prompt is for.
    pub fn part_digest(&self, model: &str, id: &str) -> PartDigest {
        let digest = self.digest([model.as_bytes(), id.as_bytes()]);
        PartDigest::of(std::array::from_fn(|i| digest[i]))
    }

    /// Digest of a request; `account` is empty if the request has none.
    pub fn request_digest(
        &self,
        account: &str,
        method: &Method,
        host: &str,
        uri: &Uri,
        body: &[u8],
    ) -> RequestDigest {
        let target = uri.path_and_query().map_or("", |p| p.as_str());
        let (account, method) = (account.as_bytes(), method.as_str().as_bytes());
        let digest = self.digest([account, method, host.as_bytes(), target.as_bytes(), body]);
        RequestDigest::of(std::array::from_fn(|i| digest[i]))
    }

    /// Each field is preceded by its length, so that two different lists never hash the same bytes.
    fn digest<const N: usize>(&self, fields: [&[u8]; N]) -> [u8; 32] {
        let mut mac = self.mac.clone();
        for field in fields {
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field);
        }
        mac.finalize().into_bytes().into()
    }
}
