//! Backend servers and engines for tests.

use std::time::Duration;

use ebonyloft_router::catalog::{Engine, Server, ServerId, SoftwareVersion, Stage};

/// Returns the backend server `i-N`, a model engine if it has a stage.
pub fn server(n: usize, slots: u32, stage: Option<Stage>) -> Server {
    let service = if stage.is_some() { "llm" } else { "app" };
    Server {
        id: ServerId::new(format!("i-{n}"), 0),
        service: service.into(),
        addr: ([127, 0, 0, 1], 9_000 + n as u16).into(),
        zone: "z".into(),
        slots,
        draining: false,
        stage,
        version: SoftwareVersion::new("v1"),
    }
}

/// Returns the parameters of engines with this many slots and tokens of memory.
#[allow(dead_code, reason = "tests of plain backend servers have no engines")]
pub fn engine(slots: u32, tokens: u64) -> Engine {
    Engine {
        slots,
        tokens,
        stride: 12,
        handle_life: Duration::from_millis(500),
        switch: Duration::from_secs(6),
        hold: Duration::from_secs(2),
        moves: false,
    }
}
