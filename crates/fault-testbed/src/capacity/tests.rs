use super::*;

/// The model that the crate's tests use.
pub(crate) const MODEL: ServerModel = ServerModel {
    cores: 2,
    max_requests: 40,
    request_seconds: 0.08,
    connection_seconds: 0.002,
    max_connections: 200,
    slow_start_fraction: 0.19,
    warmup_seconds: 15.0,
    overload_multiple: 2.5,
    overload_window_seconds: 3.0,
};

/// Whether a server that started at 100 s survives `rate` requests per second for ten seconds, beginning `from` seconds after
/// its start.
fn survives(rate: f64, from: f64) -> bool {
    let mut tracker = OverloadTracker::new(MODEL, 100.0);
    (0..(10.0 * rate) as u32).all(|number| {
        let at = 100.0 + from + f64::from(number) / rate;
        tracker.arrive(at, 1.0)
    })
}

#[test]
fn server_that_warms_up_survives_twice_its_capacity_and_fails_at_four_and_a_half_times() {
    let capacity = MODEL.requests_per_second(0.0);
    assert!((4.7..4.8).contains(&capacity), "{capacity}");
    assert!(survives(2.0 * capacity, 0.0) && !survives(4.5 * capacity, 0.0));
    // Ten seconds after the start its capacity is higher; after the warm-up no load makes it fail.
    assert!(survives(4.5 * capacity, 10.0) && survives(100.0, 15.0));
    assert_eq!(MODEL.requests_per_second(20.0), 25.0);
    let tracker = OverloadTracker::new(MODEL, 0.0);
    assert!(tracker.request_seconds(0.0) > 5.0 * tracker.request_seconds(15.0));
}
