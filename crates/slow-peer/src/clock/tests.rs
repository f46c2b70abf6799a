//! Tests that the compensated time does not include stalls of the process.

use super::*;

#[test]
fn stall_is_excluded_from_the_first_event_after_it() {
    let mut clock = StallCompensatedClock::new(50, 30);
    assert_eq!(clock.now(40), 40);
    assert_eq!(clock.tick(60, 110), 0);
    // The process did not run from 60 to 2,000. An event before the late tick sees no more than the slack of that time.
    assert_eq!(clock.now(2_000), 140);
    assert_eq!(clock.tick(2_000, 2_050), 1_860);
    assert_eq!(clock.now(2_000), 140);
    assert_eq!(clock.now(2_010), 150);
}
