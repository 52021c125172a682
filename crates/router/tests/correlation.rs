//! Recognising the answers on a connection.

use ebonyloft_router::correlation::{Correlation, EXCHANGES_MAX, Echo, Exchange};

/// A connection that has carried these exchanges.
fn after(exchanges: &[Exchange<'_>]) -> Correlation {
    let mut correlation = Correlation::default();
    for exchange in exchanges {
        assert!(correlation.may_carry(*exchange), "{exchange:?}");
        correlation.begin(*exchange);
    }
    correlation
}

#[test]
fn an_answer_to_another_attempt_is_refused() {
    let [a, b] = ["a", "b"].map(Exchange::Attempt);
    for carried in [&[b][..], &[a, b], &[Exchange::Unnamed, b], &[Exchange::Unread, b]] {
        let correlation = after(carried);
        assert!(!correlation.is_answer(b, Echo::Attempt("a")), "{carried:?}");
        assert!(!correlation.is_answer(b, Echo::Malformed), "{carried:?}");
        assert!(correlation.is_answer(b, Echo::Attempt("b")), "{carried:?}");
    }
}

/// It may be the second answer to what the connection carried before.
#[test]
fn an_answer_without_an_id_is_refused_on_a_used_connection() {
    let [a, b] = ["a", "b"].map(Exchange::Attempt);
    for first in [a, Exchange::Unnamed, Exchange::Unread] {
        assert!(!after(&[first, b]).is_answer(b, Echo::Absent), "{first:?}");
    }
    assert!(after(&[b]).is_answer(b, Echo::Absent));
    assert!(after(&[Exchange::Unnamed]).is_answer(Exchange::Unnamed, Echo::Absent));
}

#[test]
fn an_answer_to_an_attempt_is_refused_for_a_call_without_an_id() {
    for exchange in [Exchange::Unnamed, Exchange::Unread] {
        let correlation = after(&[exchange]);
        assert!(!correlation.is_answer(exchange, Echo::Attempt("a")), "{exchange:?}");
        assert!(!correlation.is_answer(exchange, Echo::Malformed), "{exchange:?}");
    }
}

/// Their answers bear the same id.
#[test]
fn two_exchanges_of_one_attempt_never_share_a_connection() {
    let [a, b] = ["a", "b"].map(Exchange::Attempt);
    assert!(!after(&[a]).may_carry(a));
    assert!(!after(&[a, b]).may_carry(a));
    assert!(after(&[a]).may_carry(b));
}

#[test]
fn a_call_without_an_id_uses_only_a_new_connection() {
    for first in [Exchange::Attempt("a"), Exchange::Unnamed, Exchange::Unread] {
        assert!(!after(&[first]).may_carry(Exchange::Unnamed), "{first:?}");
    }
    assert!(Correlation::default().may_carry(Exchange::Unnamed));
}

#[test]
fn a_callers_request_without_an_id_is_held_to_a_new_connection() {
    assert_eq!(Exchange::of_attempt(None), Exchange::Unnamed);
    assert_eq!(Exchange::of_attempt(Some("")), Exchange::Unnamed);
    assert_eq!(Exchange::of_attempt(Some("a")), Exchange::Attempt("a"));
}

#[test]
fn the_ids_kept_for_a_connection_are_bounded() {
    let ids: Vec<String> = (0..EXCHANGES_MAX).map(|n| n.to_string()).collect();
    let exchanges: Vec<_> = ids.iter().map(|id| Exchange::Attempt(id)).collect();
    let correlation = after(&exchanges);
    assert!(correlation.is_exhausted());
    assert!(!correlation.may_carry(Exchange::Attempt("another")));
    assert!(!correlation.may_carry(Exchange::Unread));
}

#[test]
fn peers_and_the_store_answer_each_exchange_once() {
    let correlation = after(&[Exchange::Trusted; EXCHANGES_MAX + 1]);
    assert!(correlation.may_carry(Exchange::Trusted));
    assert!(correlation.is_answer(Exchange::Trusted, Echo::Absent));
}

/// The address of a peer may have been a server's, or become one's.
#[test]
fn a_connection_that_a_server_answered_on_is_not_trusted() {
    for first in [Exchange::Attempt("a"), Exchange::Unnamed, Exchange::Unread] {
        assert!(!after(&[first]).may_carry(Exchange::Trusted), "{first:?}");
        assert!(!after(&[Exchange::Trusted]).may_carry(first), "{first:?}");
    }
}

/// Guards against a call without effect that reads another's second answer and leaves its own to the next one.
#[test]
fn a_call_without_effect_on_a_used_connection_is_its_last_exchange() {
    let a = Exchange::Attempt("a");
    assert!(!after(&[Exchange::Unread]).is_exhausted());
    let correlation = after(&[a, Exchange::Unread]);
    assert!(correlation.is_exhausted());
    for next in [Exchange::Attempt("b"), Exchange::Unread, Exchange::Unnamed] {
        assert!(!correlation.may_carry(next), "{next:?}");
    }
}
