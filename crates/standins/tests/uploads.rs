//! Configurations sent between gateways: the link limits how many are sent at a time.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use ebonyloft_standins::fleet::{Fleet, FleetSpec, large_config, with_fleet};

const SECOND: Duration = Duration::from_secs(1);
/// Port of the interface between gateways.
const PEER_PORT: u16 = 7_660;
/// Number of routes that makes a configuration of megabytes, more than a socket buffer takes.
const ROUTE_COUNT: usize = 40_000;

/// Asks the first gateway for its state newer than the versions in `query`.
fn send_query(fleet: &Fleet, query: &str) -> TcpStream {
    let addr = (fleet.gateways[0].ip, PEER_PORT);
    let mut stream = TcpStream::connect(addr).expect("a connection");
    let head = format!("GET /belief?{query} HTTP/1.1\r\nhost: peer\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the query is sent");
    stream.set_nonblocking(true).expect("a socket");
    stream
}

/// Sends a query; returns the connection with the rest of the response unread, and the status.
async fn status(fleet: &Fleet, query: &str) -> (TcpStream, String) {
    let (mut stream, mut head) = (send_query(fleet, query), String::new());
    while head.len() < 12 {
        compio::time::sleep(SECOND / 100).await;
        let mut buffer = [0; 12];
        if let Ok(n) = stream.read(&mut buffer) {
            assert!(n > 0, "the gateway closed the connection");
            head.push_str(&String::from_utf8_lossy(&buffer[..n]));
        }
    }
    (stream, head[9..12].to_owned())
}

/// The test gateways have a link of 10 Mbit/s, which allows one configuration at a time. Queries for the lists
/// alone are still answered meanwhile.
#[test]
fn a_weak_vm_sends_one_configuration_at_a_time() {
    with_fleet(FleetSpec { gateways: 1, ..FleetSpec::default() }, async |fleet| {
        fleet.configure(&large_config(2, ROUTE_COUNT));
        compio::time::sleep(2 * SECOND).await;
        let (stale, current) = (0, u64::MAX);
        let config_query = format!("{stale}.{current}.{current}");
        let (first, code) = status(fleet, &config_query).await;
        assert_eq!(code, "200");
        assert_eq!(status(fleet, &config_query).await.1, "503");
        assert_eq!(status(fleet, &format!("{current}.{stale}.{stale}")).await.1, "200");
        // Gateways of the previous version ask for everything in one call.
        assert_eq!(status(fleet, &format!("{stale}.{stale}.{stale}")).await.1, "200");
        // The peer that received the configuration disconnects.
        drop(first);
        compio::time::sleep(SECOND / 2).await;
        assert_eq!(status(fleet, &config_query).await.1, "200");
    });
}
