//! Small cases of the machines, with literal moments.

use std::time::Duration;

use ebonyloft_core::affinity::Hints;
use ebonyloft_core::config::{Class, Document, Labels, Rate};
use ebonyloft_core::executor::{Effect, Executor, Pace};
use ebonyloft_core::ids::{Account, Attempt, Digest, Incarnation, Key, MemberId, Peer};
use ebonyloft_core::ledger::Ledger;
use ebonyloft_core::limits::{Limiter, RetryBudget};
use ebonyloft_core::message::{
    Admission, Answer, Ask, Begin, Completion, Ended, PlainCall, Recorded, Repeat, Work,
};
use ebonyloft_core::orders::{Action, Gate, ORDER_DELAY, Order, OrderResult, Permits};
use ebonyloft_core::placement::Placement;
use ebonyloft_core::slots::{Grant, Need, Slots, URGENT_STREAK};
use ebonyloft_core::time::Moment;
use ebonyloft_core::transfer::LinkLedger;
use ebonyloft_core::verdict::Reason;

const NOW: Moment = Moment(1_800_000_000_000_000);
const SECOND: Duration = Duration::from_secs(1);

fn peer(name: &str) -> Peer {
    Peer {
        id: MemberId::from(name),
        life: Incarnation(1),
    }
}

fn attempt(number: u64) -> Attempt {
    Attempt {
        epoch: 1,
        home: 1,
        number,
    }
}

fn key_at(at: Moment, tail: u8) -> Key {
    let text = uuid::Builder::from_unix_timestamp_millis(at.as_millis(), &[tail; 10]).into_uuid();
    Key {
        account: Account::from("a"),
        text: text.to_string(),
    }
}

fn home(name: &str) -> Ledger {
    let mut ledger = Ledger::new(peer(name));
    ledger.adopt(&Placement::found(&[peer(name)], 16).expect("a home"));
    ledger
}

fn claim(ledger: &mut Ledger, key: &Key) -> Answer {
    ledger.claim(NOW, key, Digest::of(b"x"), Repeat::Once, &peer("x"))
}

// The ledger.

#[test]
fn a_claim_is_granted_once_and_then_found() {
    let mut ledger = home("h");
    let key = key_at(NOW, 1);
    let Answer::Granted { attempt } = claim(&mut ledger, &key) else {
        panic!("not granted")
    };
    let existing = Answer::Existing {
        attempt,
        executor: peer("x"),
        state: Recorded::Open,
    };
    assert_eq!(claim(&mut ledger, &key), existing);
    assert_eq!(ledger.find(NOW, &key), existing);
    let other = ledger.claim(NOW, &key, Digest::of(b"y"), Repeat::Once, &peer("x"));
    assert_eq!(other, Answer::Conflict);
}

#[test]
fn a_call_that_runs_once_is_never_granted_again_after_a_loss() {
    let mut ledger = home("h");
    let key = key_at(NOW, 1);
    let Answer::Granted { attempt } = claim(&mut ledger, &key) else {
        panic!("not granted")
    };
    let answer = ledger.reassign(NOW, &key, attempt, Ended::Lost, &peer("y"));
    assert!(
        matches!(
            answer,
            Answer::Existing {
                state: Recorded::Lost,
                ..
            }
        ),
        "{answer:?}"
    );
    let sealed = ledger.reassign(NOW, &key, attempt, Ended::Sealed, &peer("y"));
    assert!(
        matches!(
            sealed,
            Answer::Existing {
                state: Recorded::Lost,
                ..
            }
        ),
        "{sealed:?}"
    );
}

#[test]
fn a_key_that_may_have_run_is_never_clean_again() {
    let mut ledger = home("h");
    let key = key_at(NOW, 1);
    let claim =
        |l: &mut Ledger| l.claim(NOW, &key, Digest::of(b"x"), Repeat::Idempotent, &peer("x"));
    let Answer::Granted { attempt: first } = claim(&mut ledger) else {
        panic!("not granted")
    };
    let moved = ledger.reassign(NOW, &key, first, Ended::Lost, &peer("y"));
    let Answer::Granted { attempt: second } = moved else {
        panic!("{moved:?}")
    };
    let settled = ledger.settle(NOW, &key, second, Ended::Sealed);
    assert_eq!(settled, Answer::Settled { clean: false });
    assert_eq!(ledger.find(NOW, &key), Answer::Absent);
    let Answer::Granted { attempt: third } = claim(&mut ledger) else {
        panic!("not granted")
    };
    let settled = ledger.settle(NOW, &key, third, Ended::Sealed);
    assert_eq!(settled, Answer::Settled { clean: false });
}

#[test]
fn keys_from_before_a_takeover_are_void() {
    let placement = Placement::found(&[peer("old"), peer("h")], 16).expect("homes");
    let placement = placement
        .gone(&peer("old"), &[peer("h")], NOW)
        .expect("a home is left");
    let mut ledger = Ledger::new(peer("h"));
    ledger.adopt(&placement);
    let count = |ledger: &mut Ledger, at: Moment| {
        (0..60)
            .filter(|i| claim(ledger, &key_at(at, *i)) == Answer::Void)
            .count()
    };
    let void = count(&mut ledger, NOW);
    assert!(
        void > 0 && void < 60,
        "only the slots of the old home: {void}"
    );
    assert_eq!(count(&mut ledger, NOW.after(3 * SECOND)), 0);
}

#[test]
fn a_home_answers_for_a_slot_only_after_the_hand_over() {
    let first = Placement::found(&[peer("old")], 16).expect("a home");
    let (mut old, mut new) = (Ledger::new(peer("old")), Ledger::new(peer("new")));
    old.adopt(&first);
    let keys: Vec<Key> = (0..40).map(|i| key_at(NOW, i)).collect();
    for key in &keys {
        assert!(matches!(claim(&mut old, key), Answer::Granted { .. }));
    }
    let second = first
        .leave(&peer("old"), &[peer("new")])
        .expect("a home is left");
    let wanted = new.adopt(&second);
    assert_eq!(claim(&mut new, &keys[0]), Answer::NotOwner { epoch: 2 });
    let slots = wanted[0].slots.clone();
    let records = old.hand_over(2, &slots).expect("it hands over");
    assert_eq!(claim(&mut old, &keys[0]), Answer::NotOwner { epoch: 1 });
    new.take_over(2, &slots, records);
    for key in &keys {
        assert!(matches!(claim(&mut new, key), Answer::Existing { .. }));
    }
}

// Slots.

fn need(class: Class, deadline: Duration) -> Need {
    let deadline = NOW.after(deadline);
    Need {
        class,
        first_by: deadline,
        deadline,
        hold: SECOND,
    }
}

#[test]
fn urgent_work_goes_first_and_slow_work_does_not_starve() {
    let mut slots = Slots::new(1, 100);
    assert_eq!(
        slots.admit(NOW, attempt(0), need(Class::Slow, 60 * SECOND)),
        Grant::Now
    );
    for i in 1..=20 {
        let class = if i <= 10 { Class::Slow } else { Class::Urgent };
        let grant = slots.admit(NOW, attempt(i), need(class, 300 * SECOND));
        assert!(matches!(grant, Grant::At(_)), "{grant:?}");
    }
    let mut order = Vec::new();
    let mut current = attempt(0);
    for _ in 0..12 {
        slots.release(&current);
        current = slots.grant(NOW)[0];
        order.push(current.number > 10);
    }
    let streak = URGENT_STREAK as usize;
    assert!(order[..streak].iter().all(|urgent| *urgent), "{order:?}");
    assert!(
        order
            .windows(streak + 1)
            .all(|w| w.iter().any(|urgent| !urgent)),
        "{order:?}"
    );
}

#[test]
fn work_that_cannot_end_in_time_is_refused_at_once() {
    let mut slots = Slots::new(1, 100);
    slots.admit(NOW, attempt(0), need(Class::Slow, 60 * SECOND));
    let late = slots.admit(NOW, attempt(1), need(Class::Slow, SECOND));
    assert_eq!(late, Grant::Full(NOW.after(SECOND)));
}

#[test]
fn an_idle_reserve_is_lent_out() {
    let mut slots = Slots::new(8, 100);
    let granted = (0..8)
        .filter(|i| slots.admit(NOW, attempt(*i), need(Class::Slow, 60 * SECOND)) == Grant::Now);
    assert_eq!(granted.count(), 8);
}

// The executor.

fn executor() -> Executor {
    let pace = Pace {
        token: Duration::from_millis(20),
        prefill_rate: 1e4,
        call: SECOND,
    };
    Executor::new(Incarnation(1), Slots::new(2, 10), pace)
}

fn admission(number: u64, repeat: Repeat) -> Admission {
    let work = match repeat {
        Repeat::Once => Work::Plain(PlainCall {
            method: "POST".into(),
            path: String::new(),
            mime: String::new(),
            body: Vec::new(),
        }),
        Repeat::Idempotent => Work::Completion(Completion {
            model: "m".into(),
            prompt: "p".into(),
            max_tokens: 10,
            prompt_tokens: 1,
        }),
    };
    Admission {
        waiter: 1,
        attempt: attempt(number),
        life: Incarnation(1),
        class: Class::Slow,
        first_by: NOW.after(30 * SECOND),
        deadline: NOW.after(30 * SECOND),
        repeat,
        begin: Begin::AtOnce,
        work,
        prefix: String::new(),
    }
}

fn answers(effects: &[Effect]) -> Vec<&Answer> {
    let mut found = Vec::new();
    for effect in effects {
        if let Effect::Answer { answer, .. } = effect {
            found.push(answer);
        }
    }
    found
}

#[test]
fn a_sealed_attempt_never_runs() {
    let mut executor = executor();
    let entry = peer("e");
    let effects = executor.on_ask(
        NOW,
        &entry,
        1,
        Ask::Revoke {
            attempt: attempt(1),
        },
    );
    assert_eq!(answers(&effects), [&Answer::Sealed { ran: false }]);
    let effects = executor.on_ask(NOW, &entry, 2, Ask::Admit(admission(1, Repeat::Once)));
    assert_eq!(answers(&effects), [&Answer::Sealed { ran: false }]);
    assert_eq!(executor.stats().started, 0);
}

#[test]
fn a_message_for_an_earlier_life_runs_nothing() {
    let mut executor = executor();
    let admission = Admission {
        life: Incarnation(0),
        ..admission(1, Repeat::Once)
    };
    let effects = executor.on_ask(NOW, &peer("e"), 1, Ask::Admit(admission));
    assert_eq!(
        answers(&effects),
        [&Answer::OtherLife {
            life: Incarnation(1)
        }]
    );
}

#[test]
fn memory_of_a_vanished_entry_is_freed_after_lease_and_window() {
    let mut executor = executor();
    executor.on_ask(
        NOW,
        &peer("e"),
        1,
        Ask::Admit(admission(1, Repeat::Idempotent)),
    );
    assert_eq!(executor.running(), 1);
    executor.on_tick(NOW.after(3 * SECOND));
    assert_eq!(executor.running(), 1, "the reattach window");
    let effects = executor.on_tick(NOW.after(7 * SECOND));
    assert!(
        effects.contains(&Effect::Stop {
            attempt: attempt(1)
        }),
        "{effects:?}"
    );
    assert_eq!((executor.running(), executor.stats().violations()), (0, 0));
}

#[test]
fn a_call_that_runs_once_is_not_cut_when_its_caller_goes() {
    let mut executor = executor();
    executor.on_ask(NOW, &peer("e"), 1, Ask::Admit(admission(1, Repeat::Once)));
    let detach = Ask::Detach {
        attempt: attempt(1),
        waiter: 1,
        cancel: true,
    };
    let effects = executor.on_ask(NOW, &peer("e"), 0, detach);
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(executor.running(), 1);
}

#[test]
fn an_attach_behind_other_bytes_is_refused() {
    let mut executor = executor();
    executor.on_ask(
        NOW,
        &peer("e"),
        1,
        Ask::Admit(admission(1, Repeat::Idempotent)),
    );
    executor.on_output(NOW, attempt(1), "one two ", 2);
    let attach = Ask::Attach {
        attempt: attempt(1),
        waiter: 2,
        life: Incarnation(1),
        offset: 4,
        prefix: ebonyloft_core::ids::prefix_digest(b"eins"),
    };
    let effects = executor.on_ask(NOW, &peer("f"), 1, attach);
    assert_eq!(answers(&effects), [&Answer::PrefixDiffers]);
}

#[test]
fn a_leaving_executor_refuses_and_seals() {
    let mut executor = executor();
    executor.leave();
    let effects = executor.on_ask(NOW, &peer("e"), 1, Ask::Admit(admission(1, Repeat::Once)));
    let refused = Answer::Refused {
        reason: Reason::Leaving,
        retry_at: Some(NOW),
    };
    assert_eq!(answers(&effects), [&refused]);
}

// Limits, links, hints, orders.

#[test]
fn entries_share_a_limit() {
    let mut doc = Document::default();
    let rule = serde_json::json!({
        "token": Digest::of(b"t"), "labels": {}, "bound": { "rate": 10.0, "burst": 8.0 },
    });
    let account = Account::from("a");
    doc.accounts.insert(
        account.clone(),
        serde_json::from_value(rule).expect("a rule"),
    );
    let passed = |entries: usize| {
        let mut limiter = Limiter::default();
        let pass = |_: &u32| {
            limiter
                .pass(NOW, &doc, &account, &Labels::new(), entries)
                .is_ok()
        };
        (0..20).filter(pass).count()
    };
    assert_eq!((passed(1), passed(4)), (8, 2));
    let mut limiter = Limiter::default();
    for _ in 0..8 {
        limiter
            .pass(NOW, &doc, &account, &Labels::new(), 1)
            .expect("within the burst");
    }
    let at = limiter
        .pass(NOW, &doc, &account, &Labels::new(), 1)
        .expect_err("over the burst");
    assert_eq!(at, NOW.after(Duration::from_millis(100)));
    let _ = Rate {
        rate: 1.0,
        burst: 1.0,
    };
}

#[test]
fn retries_are_a_share_of_requests() {
    let mut budget = RetryBudget::new(NOW);
    let spent = (0..1_000).filter(|_| budget.spend(NOW)).count();
    assert_eq!(spent, 20);
    for _ in 0..104 {
        budget.earn();
    }
    assert_eq!((0..1_000).filter(|_| budget.spend(NOW)).count(), 10);
}

#[test]
fn a_transfer_that_cannot_end_in_time_is_not_begun() {
    let mut link = LinkLedger::new(1_000.0);
    let until = NOW.after(3 * SECOND);
    assert_eq!(link.reserve(NOW, 2_000, until), Some(NOW.after(2 * SECOND)));
    assert_eq!(link.reserve(NOW, 2_000, until), None);
    assert_eq!(link.reserve(NOW, 1_000, until), Some(until));
}

#[test]
fn a_gap_in_cache_events_discards_the_hints() {
    let mut hints = Hints::default();
    hints.on_event(1, 10, true);
    hints.on_event(2, 20, true);
    assert!(hints.holds(10) && hints.holds(20));
    hints.on_event(4, 30, true);
    assert_eq!(hints.heads(), [30]);
    hints.on_event(3, 40, true);
    assert_eq!(
        hints.heads(),
        [30],
        "an event that comes late again is no news"
    );
}

fn order(fence: u64, lease: Duration) -> Order {
    Order {
        target: MemberId::from("s"),
        fence,
        holder: "ops".into(),
        lease_end: NOW.after(lease),
        action: Action::SetRole {
            role: "decode".into(),
        },
    }
}

#[test]
fn a_gate_refuses_old_numbers_and_short_leases() {
    let mut gate = Gate::new(true);
    assert_eq!(
        gate.check(NOW, &order(1, 60 * SECOND)),
        Err(OrderResult::NotReady)
    );
    gate.on_platform(NOW, 4);
    assert_eq!(
        gate.check(NOW, &order(3, 60 * SECOND)),
        Err(OrderResult::Stale { seen: 4 })
    );
    assert_eq!(
        gate.check(NOW, &order(5, ORDER_DELAY)),
        Err(OrderResult::LeaseEnds)
    );
    assert_eq!(gate.check(NOW, &order(5, 60 * SECOND)), Ok(()));
}

#[test]
fn loads_from_the_weight_store_are_few() {
    let (a, b, c) = (
        MemberId::from("a"),
        MemberId::from("b"),
        MemberId::from("c"),
    );
    let permits = Permits::default().take(NOW, &a, 2).expect("free");
    let permits = permits.take(NOW, &b, 2).expect("free");
    assert!(permits.take(NOW, &c, 2).is_err());
    assert!(permits.take(NOW, &a, 2).is_ok(), "its own again");
    assert!(permits.give(&a).take(NOW, &c, 2).is_ok());
    assert!(
        permits.take(NOW.after(121 * SECOND), &c, 2).is_ok(),
        "a lost one ends by itself"
    );
}
