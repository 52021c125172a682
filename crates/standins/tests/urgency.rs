//! Urgency levels over real sockets: what engines are told, and who is placed first.

use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use ebonyloft_router::catalog::Config;
use ebonyloft_router::load_report::GossipMessage;
use ebonyloft_standins::eventually;
use ebonyloft_standins::fleet::backend::BackendSpec;
use ebonyloft_standins::fleet::{Fleet, FleetSpec, ONCE_SUMMARY, SUMMARY, config, with_fleet};

const SECOND: Duration = Duration::from_secs(1);
/// Routine streams sent before the urgent one, and how many of them the engine runs at once.
const ROUTINE: usize = 8;
const SLOTS: u32 = 2;

/// The configuration in which one-time summaries are urgent and others routine.
fn two_levels(spec: &FleetSpec) -> Config {
    let mut config = config(2, spec);
    for route in &mut config.routes {
        route.priority = if route.name == "summary-once" { 0 } else { 2 };
    }
    config
}

/// Runs a test's body on one gateway that starts with this configuration.
fn with_config(spec: FleetSpec, config: Config, body: impl AsyncFnOnce(&mut Fleet)) {
    with_fleet(FleetSpec { gateways: 0, ..spec }, async |fleet| {
        fleet.configure(&config);
        fleet.add_gateway();
        fleet.wait_ready(0).await;
        body(fleet).await;
    });
}

/// Returns whether each request for work of an attempt was for prefill, and its priority.
fn priorities(fleet: &Fleet, attempt: &str) -> Vec<(bool, Option<u8>)> {
    let of = |b: &std::rc::Rc<ebonyloft_standins::fleet::backend::BackendServer>| {
        b.observed.borrow().priorities.get(attempt).cloned().unwrap_or_default()
    };
    fleet.backends.iter().flat_map(of).collect()
}

/// Engines that are told nothing process urgent prompts behind all others.
#[test]
fn engines_are_told_the_priority_of_urgent_prompts_and_runs() {
    let spec = FleetSpec::default();
    with_config(spec.clone(), two_levels(&spec), async |fleet| {
        let caller = fleet.caller(0);
        caller.summary(ONCE_SUMMARY, "urgent").await.expect("an answer");
        caller.summary(SUMMARY, "routine").await.expect("an answer");
        assert_eq!(priorities(fleet, "urgent"), [(true, Some(2)), (false, Some(2))]);
        assert_eq!(priorities(fleet, "routine"), [(true, None), (false, None)]);
    });
}

/// A deployment whose requests all have one priority must not get a header that it did not get
/// before.
#[test]
fn without_levels_no_priority_is_sent() {
    let spec = FleetSpec::default();
    with_config(spec.clone(), config(2, &spec), async |fleet| {
        let caller = fleet.caller(0);
        for (path, attempt) in [(ONCE_SUMMARY, "once"), (SUMMARY, "other")] {
            caller.summary(path, attempt).await.expect("an answer");
            assert_eq!(priorities(fleet, attempt), [(true, None), (false, None)]);
        }
    });
}

/// What was seen: the most urgent class was served worst, since routine requests that had arrived
/// earlier took all memory that became free.
#[test]
fn an_urgent_request_is_placed_while_routine_ones_wait() {
    let runner = BackendSpec {
        slots: SLOTS,
        event_interval: Duration::from_millis(25),
        ..BackendSpec::default()
    };
    let spec = FleetSpec { decode_engines: 1, runner, ..FleetSpec::default() };
    let config = two_levels(&spec);
    with_config(spec, config, async |fleet| {
        let send = |path: &str, attempt: &str| {
            let caller = fleet.caller(0);
            let request = caller.summary_request(path, attempt);
            compio::runtime::spawn(async move { caller.send(request).await })
        };
        let names: Vec<String> = (0..ROUTINE).map(|i| format!("routine-{i}")).collect();
        let routine: Vec<_> = names.iter().map(|name| send(SUMMARY, name)).collect();
        let started = || names.iter().map(|name| fleet.run_count(name)).sum::<usize>();
        assert!(eventually(SECOND, || started() == SLOTS as usize).await);
        let urgent = send(ONCE_SUMMARY, "urgent");
        let placed = eventually(2 * SECOND, || fleet.run_count("urgent") == 1).await;
        let before = started();
        assert!(placed && before <= 2 * SLOTS as usize, "{placed}, {before} routine ones before");
        assert!(urgent.await.expect("the caller's task").expect("an answer").complete);
        for task in routine {
            task.await.expect("the caller's task").expect("an answer");
        }
    });
}

/// Keys of the fields of the first report of load at engines that a peer gets while a summary runs.
async fn report_fields(fleet: &Fleet, path: &str) -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let addr = socket.local_addr().expect("its address");
    let registration = format!("{{\"addr\":\"{addr}\",\"zone\":\"a\"}}");
    fleet.store.put("ebonyloft/gateways/peer", registration.as_bytes(), 0);
    let receive = async || {
        let BufResult(len, buffer) = socket.recv_from(Vec::with_capacity(8 << 10)).await;
        buffer[..len.expect("a datagram").0].to_vec()
    };
    compio::time::timeout(8 * SECOND, receive()).await.expect("a first report");
    let caller = fleet.caller(0);
    let request = caller.summary_request(path, "s1");
    let task = compio::runtime::spawn(async move { caller.send(request).await });
    let busy = async {
        loop {
            let bytes = receive().await;
            let Ok(GossipMessage::Share(report)) = ciborium::from_reader(&bytes[..]) else {
                continue;
            };
            if !report.engine_loads.is_empty() {
                return bytes;
            }
        }
    };
    let bytes = compio::time::timeout(2 * SECOND, busy).await.expect("a report of the load");
    task.await.expect("the caller's task").expect("an answer");
    let message: ciborium::Value = ciborium::from_reader(&bytes[..]).expect("decoded");
    let variant = message.into_map().expect("a variant").remove(0).1;
    let fields = variant.into_map().expect("the fields of a report").into_iter();
    fields.map(|(key, _)| key.into_text().expect("a name")).collect()
}

/// Peers learn the rate of urgent requests from load reports. A deployment without levels must get
/// no further field, since every byte between zones is paid for.
#[test]
fn only_gateways_with_levels_report_arrivals() {
    let spec = FleetSpec::default();
    with_config(spec.clone(), two_levels(&spec), async |fleet| {
        let fields = report_fields(fleet, ONCE_SUMMARY).await;
        assert!(fields.contains('u'), "{fields}");
    });
    with_config(spec.clone(), config(2, &spec), async |fleet| {
        let fields = report_fields(fleet, ONCE_SUMMARY).await;
        assert!(fields.chars().all(|key| "nlscrgkqowtmhdb".contains(key)), "{fields}");
    });
}
