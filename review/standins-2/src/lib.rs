//! Stand-ins and helpers of the review's cases: a store, runners, clients, and gateway processes.
//!
//! The store is the project's own stand-in. Runners and clients are small ones on plain sockets, so that a case
//! decides on each byte and each moment. All addresses are loopback addresses of this process's own network.

pub mod client;
pub mod gateway;
pub mod http;
pub mod record;
pub mod runner;
pub mod store;

use std::net::{Ipv4Addr, SocketAddr};

/// Loopback address number `host` of this process's network.
pub fn ip(host: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 128 + (pid >> 8 & 0x7f) as u8, (pid & 0xff) as u8, host)
}

/// A socket address in that network.
pub fn addr(host: u8, port: u16) -> SocketAddr {
    (ip(host), port).into()
}

/// Is the disruption of the case played?
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
