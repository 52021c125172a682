//! Small cases of a request's state machine.

use std::time::Duration;

use ebonyloft_core::config::Class;
use ebonyloft_core::ids::{Account, Attempt, Incarnation, Key, MemberId, Peer};
use ebonyloft_core::message::{Answer, Ask, AttemptEnd, PlainCall, Repeat, Work};
use ebonyloft_core::request::{Fleet, Intent, OWNER_PAUSE, Request, Spec, Step};
use ebonyloft_core::time::Timestamp;
use ebonyloft_core::verdict::{Reason, Refusal, Verdict};

const NOW: Timestamp = Timestamp(1_800_000_000_000_000);
const SECOND: Duration = Duration::from_secs(1);

fn peer(name: &str) -> Peer {
    Peer { id: MemberId::from(name), life: Incarnation(1) }
}

/// One executor, and an owner that changes.
struct OneServer {
    owner: Peer,
    epoch: u64,
}

impl Fleet for OneServer {
    fn owner(&self, _: &Key) -> Option<(Peer, u64)> {
        Some((self.owner.clone(), self.epoch))
    }

    fn executor(&mut self, _: Timestamp, spec: &Spec) -> Result<Peer, Option<Timestamp>> {
        let only = peer("gate");
        if spec.avoid.contains(&only) { Err(None) } else { Ok(only) }
    }

    fn on_sent(&mut self, _: &Peer) {}

    fn prefill(&mut self, _: Timestamp, _: &Spec, _: Timestamp) -> Option<(Peer, Timestamp)> {
        None
    }

    fn may_retry(&mut self, _: Timestamp) -> bool {
        true
    }
}

fn request() -> Request {
    let key = Key { account: Account::from("a"), text: "k".to_owned() };
    let (method, path, mime) = ("POST".to_owned(), String::new(), String::new());
    let work = Work::Plain(PlainCall { method, path, mime, body: Vec::new() });
    Request::new(Spec {
        waiter: 1,
        intent: Intent::Run,
        key,
        first: true,
        class: Class::Urgent,
        first_by: NOW.after(SECOND / 2),
        deadline: NOW.after(SECOND),
        repeat: Repeat::Once,
        remote_prefill: false,
        work,
        avoid: Vec::new(),
        begun_by: None,
    })
}

/// The only message among these steps, with its receiver and number.
fn asked(steps: &[Step]) -> (&Peer, u64, &Ask) {
    let [Step::Ask { to, seq, ask }] = steps else { panic!("{steps:?}") };
    (to, *seq, ask)
}

/// Guards against refusals at the start of a deployment: a shard moves, and the entry is told of it before the new
/// owner has taken the shard over, or after the old one gave it up.
#[test]
fn a_claim_is_repeated_while_its_shard_moves() {
    let mut fleet = OneServer { owner: peer("old"), epoch: 1 };
    let mut request = request();
    let steps = request.begin(NOW, &mut fleet);
    let (_, seq, _) = asked(&steps);
    let mut steps = request.on_answer(NOW, &mut fleet, seq, Answer::NotOwner { epoch: 2 });
    assert_eq!(steps, []);
    fleet = OneServer { owner: peer("new"), epoch: 2 };
    assert_eq!(request.wake_at(), NOW.after(OWNER_PAUSE));
    steps = request.on_tick(request.wake_at(), &mut fleet);
    let (to, seq, ask) = asked(&steps);
    assert_eq!(to, &peer("new"));
    assert!(matches!(ask, Ask::Claim { epoch: 2, .. }), "{ask:?}");
    steps = request.on_answer(request.wake_at(), &mut fleet, seq, Answer::NotOwner { epoch: 1 });
    // The shard never arrives.
    while steps.is_empty() {
        let now = request.wake_at();
        assert!(now <= NOW.after(SECOND / 2), "work that can't start in time is refused");
        let again = request.on_tick(now, &mut fleet);
        let (_, seq, _) = asked(&again);
        steps = request.on_answer(now, &mut fleet, seq, Answer::NotOwner { epoch: 1 });
    }
    let [Step::Refuse(Refusal { reason, verdict, .. })] = steps[..] else { panic!("{steps:?}") };
    assert_eq!((reason, verdict), (Reason::NoHome, Verdict::NotRun));
}

/// Guards against refusals as overload: the only executor was avoided because the admission to it was lost with a
/// link.
#[test]
fn an_executor_that_never_got_an_admission_is_used_again() {
    let mut fleet = OneServer { owner: peer("home"), epoch: 1 };
    let mut request = request();
    let steps = request.begin(NOW, &mut fleet);
    let attempt = Attempt { epoch: 1, home: 1, number: 1 };
    let granted = Answer::Granted { attempt };
    let steps = request.on_answer(NOW, &mut fleet, asked(&steps).1, granted);
    let (_, seq, ask) = asked(&steps);
    assert!(matches!(ask, Ask::Admit(_)), "{ask:?}");
    let steps = request.on_lost(NOW, &mut fleet, seq, false);
    let (_, seq, ask) = asked(&steps);
    assert!(matches!(ask, Ask::Attach { .. }), "{ask:?}");
    let steps = request.on_answer(NOW, &mut fleet, seq, Answer::Sealed { ran: false });
    let (to, _, ask) = asked(&steps);
    assert_eq!(to, &peer("home"));
    let Ask::Reassign { ended: AttemptEnd::Sealed, executor, .. } = ask else { panic!("{ask:?}") };
    assert_eq!(executor, &peer("gate"));
}
