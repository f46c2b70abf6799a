//! The rig itself, on real processes: what it writes down of its own faults, and in which order.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

mod play;

use applewall_fault_testbed::journal::Event;
use play::play;

/// Requests that wait at a process end with it. Their ends may be written down by other threads before the kill's line
/// unless that comes first, and would then look like answers that a living process owed.
#[test]
fn a_kill_is_recorded_before_the_requests_that_end_with_the_process() {
    let played = play(
        "[trial]\ningresses = 3\ninstances = 4\ntime = 4s\n[ingress]\nknown = old\n[traffic]\nrate = 150\n\
         [faults]\nmute = at 0s: mute instance:all\none = at 1s: kill ingress:all and start after 300ms old\n\
         two = at 2500ms: kill ingress:all\n",
    );
    let kills = played
        .entries
        .iter()
        .filter(|l| matches!(l.event, Event::IngressKilled { .. }))
        .count();
    assert_eq!(kills, 6);
    let open = played
        .entries
        .iter()
        .filter(|l| matches!(l.event, Event::ResponseReceived { status: None, .. }))
        .count();
    assert!(open > 20, "{open} requests ended with their process");
    assert_eq!(played.violations, Vec::<String>::new());
}
