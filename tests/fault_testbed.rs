//! The fault testbed itself, with real processes: what it records of the faults that it causes, and in which order.

mod play;

use applewall_fault_testbed::journal::Event;
use play::run_trial;

/// Requests in flight end with a killed process. Other threads may record their ends before the kill unless the kill is
/// recorded first, and the requests would then be judged as responses that a running process owed.
#[test]
fn a_kill_is_recorded_before_the_requests_that_end_with_the_process() {
    let outcome = run_trial(
        "[trial]\ningresses = 3\ninstances = 4\ntime = 4s\n[ingress]\nknown = old\n[traffic]\nrate = 150\n\
         [faults]\nmute = at 0s: mute instance:all\none = at 1s: kill ingress:all and start after 300ms old\n\
         two = at 2500ms: kill ingress:all\n",
    );
    let kills = outcome
        .entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::IngressKilled { .. }))
        .count();
    assert_eq!(kills, 6);
    let unanswered = outcome
        .entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::ResponseReceived { status: None, .. }))
        .count();
    assert!(
        unanswered > 20,
        "{unanswered} requests ended with their process"
    );
    assert_eq!(outcome.violations, Vec::<String>::new());
}
