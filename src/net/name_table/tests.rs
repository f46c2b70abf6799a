use super::*;

#[test]
fn however_large_the_fleet_the_first_call_leaves_time_to_keep_a_drain() {
    for (fleet, most) in [(2, 20), (3, 25), (300, 25), (10_000, 25)] {
        // A twentieth of the rule's time; a slow start, the answer and what is just being dialled have the rest.
        assert_eq!(spread(fleet, 500_000_000), Duration::from_millis(most), "{fleet} ingresses");
    }
}

#[test]
fn a_silent_discovery_is_asked_again_within_two_seconds_however_large_the_fleet() {
    for fleet in [3, 30, 300, 10_000] {
        let (first, longest) = waits(fleet);
        for backoff in [first, longest] {
            assert!(after(true, backoff).mul_f64(1.5) <= Duration::from_millis(1500), "{fleet} ingresses");
            assert_eq!(after(false, backoff), backoff, "a refusal spares discovery");
        }
    }
}

#[test]
fn a_fleet_that_lost_its_discovery_asks_no_more_often_the_larger_it_is() {
    assert_eq!(waits(3), (Duration::from_millis(60), Duration::from_secs(1)));
    for fleet in [13, 30, 100, 1000] {
        let (first, longest) = waits(fleet);
        // Calls a second of all ingresses together: at once after a loss, and while it lasts.
        let calls = |wait: Duration| f64::from(fleet) / wait.as_secs_f64();
        assert!(calls(first) <= 50.1 && calls(longest) <= 12.6, "{fleet} ingresses");
    }
}
