//! Configurations sent from gateway to gateway: as many at a time as the link carries.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use ebonyloft_standins::fleet::{Fleet, FleetSpec, large_config, with_fleet};

const SECOND: Duration = Duration::from_secs(1);
/// Port at which gateways reach each other.
const PEER_PORT: u16 = 7_660;
/// Enough for megabytes, which no socket holds.
const ROUTES: usize = 40_000;

/// Asks the first gateway for its configuration or its lists.
fn ask(fleet: &Fleet, query: &str) -> TcpStream {
    let addr = (fleet.gateways[0].ip, PEER_PORT);
    let mut stream = TcpStream::connect(addr).expect("a connection");
    let head = format!("GET /belief?{query} HTTP/1.1\r\nhost: peer\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("an open connection");
    stream.set_nonblocking(true).expect("a socket");
    stream
}

/// The connection, its answer unread but for the status.
async fn status(fleet: &Fleet, query: &str) -> (TcpStream, String) {
    let (mut stream, mut head) = (ask(fleet, query), String::new());
    while head.len() < 12 {
        compio::time::sleep(SECOND / 100).await;
        let mut buffer = [0; 12];
        if let Ok(n) = stream.read(&mut buffer) {
            assert!(n > 0, "the gateway hung up");
            head.push_str(&String::from_utf8_lossy(&buffer[..n]));
        }
    }
    (stream, head[9..12].to_owned())
}

/// The stand-ins' gateways have 10 Mbit/s: one at a time. What a peer wants to know of the lists is told
/// beside it.
#[test]
fn a_weak_vm_sends_one_configuration_at_a_time() {
    with_fleet(FleetSpec { gateways: 1, ..FleetSpec::default() }, async |fleet| {
        fleet.configure(&large_config(2, ROUTES));
        compio::time::sleep(2 * SECOND).await;
        let (all, none) = (0, u64::MAX);
        let wanted = format!("{all}.{none}.{none}");
        let (first, code) = status(fleet, &wanted).await;
        assert_eq!(code, "200");
        assert_eq!(status(fleet, &wanted).await.1, "503");
        assert_eq!(status(fleet, &format!("{none}.{all}.{all}")).await.1, "200");
        // Peers of the version before ask for everything by one call.
        assert_eq!(status(fleet, &format!("{all}.{all}.{all}")).await.1, "200");
        // Its reader is gone.
        drop(first);
        compio::time::sleep(SECOND / 2).await;
        assert_eq!(status(fleet, &wanted).await.1, "200");
    });
}
