//! Transitions of the watch: connections, calls, failures, and the known revision after each.

use super::super::timing::AGENT_TIMING;
use super::*;
use crate::discovery::endpoint_list::EndpointList;

const REJECTED: CallFailure = CallFailure::Rejected {
    retry_after_seconds: None,
};

fn machine(timing: WatchTiming, scheduling: CallScheduling, now: Instant) -> WatchMachine {
    WatchMachine::new(now, timing, scheduling, 3, None)
}

fn snapshot(revision: u64) -> WatchEvent {
    WatchEvent::Snapshot(EndpointList {
        revision,
        complete: true,
        ..EndpointList::default()
    })
}

/// A machine that has the list at revision 5.
fn following(timing: WatchTiming, scheduling: CallScheduling, now: Instant) -> WatchMachine {
    let mut machine = machine(timing, scheduling, now);
    machine.handle(now, WatchInput::Connected);
    machine.handle(now, WatchInput::EventReceived(&snapshot(5)));
    assert_eq!(
        machine.next_action(),
        WatchAction::AwaitChanges { since: 5 }
    );
    machine
}

#[test]
fn first_call_to_an_agent_has_a_deadline_that_counts_from_the_connection_attempt() {
    let now = Instant::now();
    let mut machine = machine(AGENT_TIMING, CallScheduling::PerNode, now);
    let timeout = AGENT_TIMING.first_call_timeout.unwrap();
    assert_eq!(machine.next_action(), WatchAction::Connect { timeout });
    machine.handle(now + timeout / 2, WatchInput::Connected);
    assert_eq!(
        machine.next_action(),
        WatchAction::FirstCall {
            revision: None,
            deadline: now + timeout
        }
    );
    machine.handle(now, WatchInput::EventReceived(&snapshot(5)));
    assert_eq!(
        machine.next_action(),
        WatchAction::AwaitChanges { since: 5 }
    );
}

#[test]
fn service_and_scheduled_calls_begin_with_the_full_list() {
    let now = Instant::now();
    for (timing, scheduling) in [
        (SERVICE_TIMING, CallScheduling::PerNode),
        (AGENT_TIMING, CallScheduling::Fleet),
    ] {
        let mut machine = machine(timing, scheduling, now);
        let timeout = SERVICE_TIMING.answer_margin;
        assert_eq!(machine.next_action(), WatchAction::Connect { timeout });
        machine.handle(now, WatchInput::Connected);
        assert_eq!(machine.next_action(), WatchAction::ReadList);
    }
}

#[test]
fn loss_and_recovery_are_each_reported_once() {
    let now = Instant::now();
    let mut machine = following(SERVICE_TIMING, CallScheduling::PerNode, now);
    let failed = WatchInput::Failed(CallFailure::TimedOut);
    let reported: Vec<_> = (0..3).map(|_| machine.handle(now, failed)).collect();
    assert_eq!(reported, [Some(AvailabilityChange::Lost), None, None]);
    machine.handle(now, WatchInput::DelayElapsed);
    assert_eq!(machine.handle(now, WatchInput::Connected), None);
    let event = snapshot(6);
    let answered = WatchInput::EventReceived(&event);
    assert_eq!(
        machine.handle(now, answered),
        Some(AvailabilityChange::Recovered)
    );
    assert_eq!(machine.handle(now, answered), None);
}

#[test]
fn broken_connection_drops_the_revision_unless_the_fleet_schedules_calls() {
    let now = Instant::now();
    let cases = [
        (CallScheduling::PerNode, CallFailure::ConnectionLost, None),
        (CallScheduling::PerNode, CallFailure::TimedOut, Some(5)),
        (CallScheduling::PerNode, REJECTED, Some(5)),
        (CallScheduling::Fleet, CallFailure::ConnectionLost, Some(5)),
    ];
    for (scheduling, failure, revision) in cases {
        let mut machine = following(SERVICE_TIMING, scheduling, now);
        machine.handle(now, WatchInput::Failed(failure));
        assert_eq!(
            machine.revision, revision,
            "{failure:?} with calls scheduled {scheduling:?}"
        );
    }
}

#[test]
fn restarted_revisions_lead_to_the_full_list_on_the_same_connection() {
    let now = Instant::now();
    let mut machine = following(SERVICE_TIMING, CallScheduling::PerNode, now);
    let restarted = WatchInput::EventReceived(&WatchEvent::RevisionsRestarted);
    assert_eq!(machine.handle(now, restarted), None);
    assert_eq!(machine.next_action(), WatchAction::ReadList);
}

#[test]
fn retry_delay_grows_until_discovery_answers_and_then_starts_again() {
    let now = Instant::now();
    let mut machine = following(SERVICE_TIMING, CallScheduling::PerNode, now);
    let delay_after_failure = |machine: &mut WatchMachine| {
        machine.handle(now, WatchInput::Failed(REJECTED));
        match machine.next_action() {
            WatchAction::BackOff { delay, .. } => delay,
            other => panic!("expected a delay after a failure, found {other:?}"),
        }
    };
    let first = delay_after_failure(&mut machine);
    assert_eq!(delay_after_failure(&mut machine), 2 * first);
    assert_eq!(delay_after_failure(&mut machine), 4 * first);
    machine.handle(now, WatchInput::EventReceived(&snapshot(6)));
    assert_eq!(delay_after_failure(&mut machine), first);
}
