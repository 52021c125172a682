//! The stand-in that answers twice: each second answer comes when and as it was set.

use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use ebonyloft_platform::simulation::CallKind;
use ebonyloft_standins::fleet::duplicates::{Delivery, Duplicate, Moment};
use ebonyloft_standins::fleet::{FleetSpec, with_fleet};

/// Long enough for a backend server to answer.
const PAUSE: Duration = Duration::from_millis(100);

/// A plain server behind a relay that sends answers twice; nothing else uses it.
fn with_connection<F: AsyncFnOnce(&mut Connection)>(
    duplicate: Duplicate,
    deliveries: &[Delivery],
    body: F,
) {
    let spec = FleetSpec {
        gateways: 0,
        prefill_engines: 0,
        decode_engines: 0,
        plain_servers: 1,
        duplicators: true,
        ..FleetSpec::default()
    };
    with_fleet(spec, async |fleet| {
        let addr = fleet.backends[0].server.borrow().addr;
        fleet.duplicators[0].set(&[duplicate]);
        body(&mut Connection(TcpStream::connect(addr).await.expect("a connection"))).await;
        assert_eq!(fleet.duplicators[0].deliveries(), deliveries);
    });
}

struct Connection(TcpStream);

impl Connection {
    async fn send(&mut self, attempt: &str) {
        let text = format!(
            "POST /lookup/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {attempt}\r\nContent-Length: 2\r\n\r\nab"
        );
        self.0.write_all(text.into_bytes()).await.0.expect("the request is sent");
    }

    /// The answers that arrive until the connection has been silent for a while: the id that each states in
    /// its head, and the one in its body.
    async fn answers(&mut self) -> Vec<(Option<String>, String)> {
        let mut text = String::new();
        while let Ok(BufResult(Ok(n), buffer)) =
            compio::time::timeout(PAUSE, self.0.read(Vec::with_capacity(4_096))).await
            && n > 0
        {
            text.push_str(std::str::from_utf8(&buffer).expect("text"));
        }
        let answers = text.split("HTTP/1.1 200 OK\r\n").skip(1);
        answers.map(|answer| (id_in_head(answer), id_in_body(answer))).collect()
    }
}

fn id_in_head(answer: &str) -> Option<String> {
    answer.lines().find_map(|line| Some(line.strip_prefix("attempt-id: ")?.to_owned()))
}

fn id_in_body(answer: &str) -> String {
    let (_, rest) = answer.split_once("\"attempt\":\"").expect("a body");
    rest.strip_suffix("\"}").expect("a whole body").to_owned()
}

fn answer(id: &str) -> (Option<String>, String) {
    (Some(id.to_owned()), id.to_owned())
}

fn duplicate(moment: Moment) -> Duplicate {
    Duplicate { kind: CallKind::Work, moment, with_id: true }
}

const IDLE: Delivery = Delivery { kind: CallKind::Work, due: None, with_id: true };
const AT_NEXT: Delivery = Delivery { due: Some(CallKind::Work), ..IDLE };

#[test]
fn a_second_answer_arrives_at_once() {
    with_connection(duplicate(Moment::SameWrite), &[IDLE], async |connection| {
        connection.send("a").await;
        assert_eq!(connection.answers().await, [answer("a"), answer("a")]);
    });
}

#[test]
fn a_second_answer_arrives_on_an_idle_connection() {
    with_connection(duplicate(Moment::After(2 * PAUSE)), &[IDLE], async |connection| {
        connection.send("a").await;
        assert_eq!(connection.answers().await, [answer("a")]);
        compio::time::sleep(PAUSE).await;
        assert_eq!(connection.answers().await, [answer("a")]);
    });
}

#[test]
fn a_second_answer_arrives_before_the_next() {
    with_connection(duplicate(Moment::BeforeNext), &[AT_NEXT], async |connection| {
        connection.send("a").await;
        assert_eq!(connection.answers().await, [answer("a")]);
        connection.send("b").await;
        assert_eq!(connection.answers().await, [answer("a"), answer("b")]);
    });
}

#[test]
fn a_second_answer_replaces_the_next() {
    with_connection(duplicate(Moment::InsteadOfNext), &[AT_NEXT], async |connection| {
        connection.send("a").await;
        assert_eq!(connection.answers().await, [answer("a")]);
        connection.send("b").await;
        assert_eq!(connection.answers().await, [answer("a")]);
        connection.send("c").await;
        assert_eq!(connection.answers().await, [answer("c")]);
    });
}

#[test]
fn a_second_answer_can_lack_its_id() {
    let duplicate = Duplicate { with_id: false, ..duplicate(Moment::BeforeNext) };
    with_connection(duplicate, &[Delivery { with_id: false, ..AT_NEXT }], async |connection| {
        connection.send("a").await;
        assert_eq!(connection.answers().await, [answer("a")]);
        connection.send("b").await;
        assert_eq!(connection.answers().await, [(None, "a".to_owned()), answer("b")]);
    });
}

#[test]
fn answers_of_other_calls_arrive_once() {
    let duplicate = Duplicate { kind: CallKind::Prefill, ..duplicate(Moment::SameWrite) };
    with_connection(duplicate, &[], async |connection| {
        connection.send("a").await;
        assert_eq!(connection.answers().await, [answer("a")]);
    });
}
