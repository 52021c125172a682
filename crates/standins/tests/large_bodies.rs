//! Requests with large bodies, many at once.

use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use ebonyloft_standins::fleet::{CHECK, Fleet, FleetSpec, config, with_fleet};

/// Size of a body, within the configured limit.
const BODY: usize = 4 << 20;
const UPLOADS: usize = 24;
/// Most of them that a gateway of the stand-ins has memory for.
const TAKEN_MAX: usize = 110_000_000 / 2 / BODY + 1;
const ANSWERED_WITHIN: Duration = Duration::from_millis(300);

/// A request whose body is being sent.
struct Upload {
    stream: TcpStream,
    answer: String,
}

impl Upload {
    async fn start(fleet: &Fleet, attempt: &str) -> Upload {
        let ip = fleet.gateways[0].ip;
        let mut stream = TcpStream::connect((ip, 8_144)).await.expect("a connection");
        let head = format!(
            "POST /check/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {attempt}\r\n\
             Deadline-Ms: 9000\r\nContent-Length: {BODY}\r\n\r\n"
        );
        stream.write_all(head.into_bytes()).await.0.expect("the head is sent");
        Upload { stream, answer: String::new() }
    }

    async fn read(&mut self, time: Duration) {
        let read = compio::time::timeout(time, self.stream.read(vec![0; 4_096])).await;
        if let Ok(BufResult(Ok(n), buffer)) = read {
            self.answer.push_str(&String::from_utf8_lossy(&buffer[..n]));
        }
    }

    async fn finish(&mut self) {
        self.stream.write_all(vec![b'x'; BODY]).await.0.expect("the body is sent");
        self.read(Duration::from_secs(5)).await;
    }
}

/// Starts uploads, whose ids are the name with their number.
async fn start_uploads(fleet: &Fleet, name: &str) -> Vec<Upload> {
    let mut uploads = Vec::new();
    for n in 0..UPLOADS {
        uploads.push(Upload::start(fleet, &format!("{name}-{n}")).await);
    }
    uploads
}

/// Runs a test on a gateway that takes bodies of this size, and requests that last `timeout` at most.
fn with_large_bodies(timeout: Duration, test: impl AsyncFnOnce(&Fleet)) {
    with_fleet(FleetSpec { gateways: 1, ..FleetSpec::default() }, async |fleet| {
        let mut next = config(2, &FleetSpec::default());
        next.limits.body = BODY;
        next.routes.iter_mut().for_each(|route| route.timeout = timeout);
        fleet.configure(&next);
        compio::time::sleep(Duration::from_secs(1)).await;
        test(fleet).await;
    });
}

/// Guards against bodies that exceed the memory together although each of them is allowed: the process was ended,
/// and requests that it had passed on were not answered.
#[test]
fn bodies_that_have_no_room_beside_others_are_refused_unread() {
    with_large_bodies(Duration::from_secs(10), async |fleet| {
        let mut uploads = start_uploads(fleet, "form").await;
        for upload in &mut uploads {
            upload.read(ANSWERED_WITHIN / UPLOADS as u32).await;
        }
        let (mut taken, refused): (Vec<_>, Vec<_>) =
            uploads.into_iter().partition(|upload| upload.answer.is_empty());
        assert!((1..=TAKEN_MAX).contains(&taken.len()), "{} bodies are taken", taken.len());
        for upload in &refused {
            assert!(upload.answer.starts_with("HTTP/1.1 503"), "{}", upload.answer);
            assert!(upload.answer.contains("retry-after"), "{}", upload.answer);
            assert!(upload.answer.contains("not-run"), "{}", upload.answer);
        }
        let small = fleet.caller(0).call(CHECK, "small").await.expect("an answer");
        assert_eq!(small.status, 200, "small requests have room");
        for upload in &mut taken {
            upload.finish().await;
            assert!(upload.answer.starts_with("HTTP/1.1 200"), "{}", upload.answer);
        }
        let ran = (0..UPLOADS).filter(|n| fleet.run_count(&format!("form-{n}")) > 0).count();
        assert_eq!(ran, taken.len());
        let mut next = Upload::start(fleet, "next").await;
        next.finish().await;
        assert!(next.answer.starts_with("HTTP/1.1 200"), "there is room again: {}", next.answer);
    });
}

/// Guards against a caller that never sends its body and takes the memory of others for good.
#[test]
fn a_body_that_does_not_come_gives_its_memory_back_at_the_deadline() {
    with_large_bodies(Duration::from_secs(2), async |fleet| {
        let _uploads = start_uploads(fleet, "stuck").await;
        compio::time::sleep(Duration::from_millis(2_500)).await;
        let mut next = Upload::start(fleet, "next").await;
        next.finish().await;
        assert!(next.answer.starts_with("HTTP/1.1 200"), "{}", next.answer);
        assert!((0..UPLOADS).all(|n| fleet.run_count(&format!("stuck-{n}")) == 0));
    });
}
