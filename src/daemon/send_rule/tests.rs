use std::time::{Duration, Instant};

use applewall::api::{Idempotency, Outcome};

use super::{check_start, check_write, SendRefusal, StartFacts, WriteFacts};

fn start() -> StartFacts {
    StartFacts {
        awaits_response: true,
        has_attempt_in_flight: false,
        may_have_executed: false,
        idempotency: Idempotency::NonIdempotent,
        number: 1,
        max_attempts: 3,
        has_time_left: true,
    }
}

fn write() -> WriteFacts {
    let now = Instant::now();
    WriteFacts {
        now,
        response_by: now + Duration::from_millis(1),
        first_byte_by: Some(now + Duration::from_millis(1)),
        is_draining: false,
        client_disconnected: false,
    }
}

#[test]
fn each_fact_alone_forbids_the_start() {
    assert_eq!(check_start(&start()), Ok(()));
    let refused = |change: fn(&mut StartFacts)| {
        let mut facts = start();
        change(&mut facts);
        check_start(&facts)
    };
    type Case = (fn(&mut StartFacts), SendRefusal);
    let cases: [Case; 5] = [
        (|facts| facts.awaits_response = false, SendRefusal::Answered),
        (
            |facts| facts.has_attempt_in_flight = true,
            SendRefusal::AnotherInFlight,
        ),
        (|facts| facts.number = 3, SendRefusal::TooManyAttempts),
        (
            |facts| facts.may_have_executed = true,
            SendRefusal::MayHaveExecuted,
        ),
        (|facts| facts.has_time_left = false, SendRefusal::Expired),
    ];
    for (change, refusal) in cases {
        assert_eq!(refused(change), Err(refusal));
    }
    let idempotent = refused(|facts| {
        facts.may_have_executed = true;
        facts.idempotency = Idempotency::Idempotent;
    });
    assert_eq!(idempotent, Ok(()));
}

#[test]
fn each_fact_alone_forbids_the_first_byte() {
    assert_eq!(check_write(&write()), Ok(()));
    let refused = |change: fn(&mut WriteFacts)| {
        let mut facts = write();
        change(&mut facts);
        check_write(&facts)
    };
    type Case = (fn(&mut WriteFacts), SendRefusal);
    let cases: [Case; 4] = [
        (|facts| facts.is_draining = true, SendRefusal::Draining),
        (
            |facts| facts.client_disconnected = true,
            SendRefusal::ClientDisconnected,
        ),
        (
            |facts| facts.first_byte_by = Some(facts.now),
            SendRefusal::DeduplicationWindowOver,
        ),
        (|facts| facts.response_by = facts.now, SendRefusal::Expired),
    ];
    for (change, refusal) in cases {
        assert_eq!(refused(change), Err(refusal));
    }
}

/// Guards against treating a refusal by this node as a result from the endpoint.
#[test]
fn no_refusal_is_evidence_about_an_endpoint_and_only_a_drain_is_retried() {
    let refusals = [
        SendRefusal::Answered,
        SendRefusal::AnotherInFlight,
        SendRefusal::TooManyAttempts,
        SendRefusal::MayHaveExecuted,
        SendRefusal::Expired,
        SendRefusal::Draining,
        SendRefusal::ClientDisconnected,
        SendRefusal::DeduplicationWindowOver,
    ];
    for refusal in refusals {
        let outcome = refusal.outcome();
        assert!(outcome.never_executed(), "{refusal:?}");
        assert!(!outcome.is_evidence(), "{refusal:?}: {outcome:?}");
        let is_retried = outcome == Outcome::NotSentRetryable;
        assert_eq!(is_retried, refusal == SendRefusal::Draining);
    }
}
