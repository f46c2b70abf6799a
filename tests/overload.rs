//! Overload: the ladder, priorities, the backlog and outlier ejection, by the decision policy alone in virtual time.

mod support;

use applewall::api::*;
use support::policy::*;

#[test]
fn the_ladder_tightens_under_overload_and_recovers() {
    let mut driver = PolicyDriver::new(settings(), 1, &six_endpoints());
    let (_, rejected) = driver.run_load(
        SAFE,
        PlanId(1),
        5 * MILLISECOND,
        4 * SECOND,
        Outcome::Success,
        60,
    );
    assert_eq!(rejected, 0, "F0 admits all requests");
    // Latencies close to the objective of 500 ms are overload.
    let (forwarded, rejected) = driver.run_load(
        SAFE,
        PlanId(1),
        5 * MILLISECOND,
        6 * SECOND,
        Outcome::Success,
        450,
    );
    assert!(
        rejected > forwarded / 10,
        "{rejected} rejected, {forwarded} forwarded under overload"
    );
    assert!(driver
        .logs
        .iter()
        .any(|action| matches!(action, Action::Log(LogEvent::FilterChanged { .. }))));
    driver.run_load(
        SAFE,
        PlanId(1),
        5 * MILLISECOND,
        10 * SECOND,
        Outcome::Success,
        60,
    );
    let (_, rejected) = driver.run_load(
        SAFE,
        PlanId(1),
        5 * MILLISECOND,
        4 * SECOND,
        Outcome::Success,
        60,
    );
    assert_eq!(rejected, 0, "expected F0 after the recovery");
}

/// Guards against latencies that never change again once the last filter admits no request, as in the first incidents.
#[test]
fn a_ladder_that_admits_nothing_recovers() {
    let mut driver = PolicyDriver::new(settings(), 2, &six_endpoints());
    driver.run_load(
        SAFE,
        PlanId(1),
        5 * MILLISECOND,
        15 * SECOND,
        Outcome::TimedOut,
        1500,
    );
    driver.run_load(
        SAFE,
        PlanId(1),
        20 * MILLISECOND,
        15 * SECOND,
        Outcome::Success,
        50,
    );
    let (forwarded, rejected) = driver.run_load(
        SAFE,
        PlanId(1),
        20 * MILLISECOND,
        4 * SECOND,
        Outcome::Success,
        50,
    );
    assert!(
        forwarded > 190 && rejected == 0,
        "{forwarded} forwarded, {rejected} rejected"
    );
}

#[test]
fn overload_rejects_requests_of_the_plan_with_the_lower_weight_first() {
    let mut settings = settings();
    (
        settings.plans[0].quota_units_per_second,
        settings.plans[0].quota_burst_units,
    ) = (1e6, 1e6);
    let mut driver = PolicyDriver::new(settings, 1, &six_endpoints());
    let mut rejections = [0, 0];
    let mut in_flight = std::collections::VecDeque::new();
    for number in 0..2000u32 {
        let plan = (number % 2) as usize;
        let (id, actions) = driver.request(SAFE, PlanId(plan), "c", 1.0);
        if let Some(to) = attempted_endpoint(&actions) {
            in_flight.push_back((driver.now, id, to));
        }
        rejections[plan] += u32::from(is_rejected(&actions));
        // The endpoints serve half of the requests, in order.
        if number % 2 == 0 {
            if let Some((started_at, id, to)) = in_flight.pop_front() {
                driver.finish_attempt(
                    id,
                    0,
                    &to,
                    Outcome::Success,
                    (driver.now - started_at) / MILLISECOND,
                );
            }
        }
        driver.advance(5 * MILLISECOND);
    }
    assert!(
        rejections[0] > 20 && rejections[0] as f64 > 1.3 * rejections[1] as f64,
        "{rejections:?}"
    );
}

#[test]
fn one_degraded_endpoint_is_not_overload() {
    let mut driver = PolicyDriver::new(settings(), 4, &six_endpoints());
    driver.run_load(
        SAFE,
        PlanId(1),
        10 * MILLISECOND,
        3 * SECOND,
        Outcome::Success,
        60,
    );
    let mut rejections = 0;
    let mut in_flight = std::collections::VecDeque::new();
    for _ in 0..800 {
        let (id, actions) = driver.request(UNSAFE, PlanId(1), "c", 1.0);
        rejections += u32::from(is_rejected(&actions));
        if let Some(to) = attempted_endpoint(&actions) {
            let latency_ms = if &*to == "b0" { 1900 } else { 60 };
            in_flight.push_back((driver.now + latency_ms * MILLISECOND, id, to, latency_ms));
        }
        let now = driver.now;
        for (_, id, to, latency_ms) in in_flight
            .iter()
            .filter(|sent_attempt| sent_attempt.0 <= now)
            .cloned()
            .collect::<Vec<_>>()
        {
            driver.finish_attempt(
                id,
                0,
                &to,
                if latency_ms > 1000 {
                    Outcome::TimedOut
                } else {
                    Outcome::Success
                },
                latency_ms,
            );
        }
        in_flight.retain(|sent_attempt| sent_attempt.0 > now);
        driver.advance(10 * MILLISECOND);
    }
    assert_eq!(rejections, 0);
    assert!(
        in_flight
            .iter()
            .filter(|sent_attempt| &*sent_attempt.2 == "b0")
            .count()
            <= 2,
        "more than two attempts in flight at the silent endpoint"
    );
}

/// Guards against endpoints that respond to most requests at once and never to some (incident i68cf60).
#[test]
fn requests_lost_by_healthy_endpoints_do_not_fill_the_backlog() {
    let mut driver = PolicyDriver::new(settings(), 15, &six_endpoints());
    driver.run_load(
        SAFE,
        PlanId(1),
        5 * MILLISECOND,
        3 * SECOND,
        Outcome::Success,
        60,
    );
    let mut in_flight = Vec::new();
    let mut rejections = 0;
    for number in 0..800u64 {
        let (id, actions) = driver.request(UNSAFE, PlanId(1), "c", 1.0);
        rejections += u32::from(is_rejected(&actions));
        if let Some(to) = attempted_endpoint(&actions) {
            let latency_ms = if number % 10 == 0 { 1900 } else { 60 };
            in_flight.push((driver.now + latency_ms * MILLISECOND, id, to, latency_ms));
        }
        let now = driver.now;
        for (_, id, to, latency_ms) in in_flight
            .iter()
            .filter(|sent_attempt| sent_attempt.0 <= now)
            .cloned()
            .collect::<Vec<_>>()
        {
            driver.finish_attempt(
                id,
                0,
                &to,
                if latency_ms > 1000 {
                    Outcome::TimedOut
                } else {
                    Outcome::Success
                },
                latency_ms,
            );
        }
        in_flight.retain(|sent_attempt| sent_attempt.0 > now);
        driver.advance(5 * MILLISECOND);
    }
    assert!(rejections < 20, "{rejections} of 800 rejected");
}

/// Guards against large requests that count as much as small ones: requests of four units took seven times as long as those
/// of one (issue 11).
#[test]
fn the_backlog_counts_requests_by_their_units() {
    let forwarded_of_burst = |units: f64| {
        let mut driver = PolicyDriver::new(settings(), 41, &six_endpoints());
        for number in 0..800 {
            let units = if number % 2 == 0 { 1.0 } else { 4.0 };
            let (id, actions) = driver.request(SAFE, PlanId(1), "c", units);
            let to = attempted_endpoint(&actions).expect("an attempt, as there is no load");
            let latency_ms = if units > 1.0 { 175 } else { 25 };
            driver.advance(20 * MILLISECOND);
            driver.finish_attempt(id, 0, &to, Outcome::Success, latency_ms);
        }
        (0..200)
            .filter(|_| {
                attempted_endpoint(&driver.request(SAFE, PlanId(1), "c", units).1).is_some()
            })
            .count()
    };
    let (small, large) = (forwarded_of_burst(1.0), forwarded_of_burst(4.0));
    assert!(
        small >= 2 * large,
        "{small} of a burst of small requests forwarded, {large} of large ones"
    );
}

#[test]
fn a_rejection_under_load_has_a_retry_after() {
    let mut driver = PolicyDriver::new(settings(), 53, &six_endpoints());
    driver.run_load(
        SAFE,
        PlanId(1),
        20 * MILLISECOND,
        2 * SECOND,
        Outcome::Success,
        60,
    );
    let actions: Vec<Action> = (0..200)
        .flat_map(|_| driver.request(SAFE, PlanId(1), "c", 1.0).1)
        .collect();
    let waits = actions.iter().filter_map(|action| match action {
        Action::Reject { retry_after_ns, .. } => *retry_after_ns,
        _ => None,
    });
    let waits: Vec<u64> = waits.collect();
    assert!(
        !waits.is_empty()
            && waits
                .iter()
                .all(|wait_ns| (50 * MILLISECOND..=2 * SECOND).contains(wait_ns)),
        "{waits:?}"
    );
}

#[test]
fn connection_failures_eject_an_endpoint_only_if_nothing_succeeds() {
    let mut driver = PolicyDriver::new(settings(), 3, &six_endpoints());
    driver.run_load(
        SAFE,
        PlanId(1),
        10 * MILLISECOND,
        3 * SECOND,
        Outcome::Success,
        60,
    );
    // Requests at b0, which resets `resets` connections in a row before each response.
    let mut requests_to_b0 = |resets: u32| {
        let (mut to_b0, mut cycle) = (0, 0);
        for _ in 0..600 {
            let (id, actions) = driver.request(SAFE, PlanId(1), "c", 1.0);
            let to = attempted_endpoint(&actions).expect("an attempt starts");
            let at_b0 = &*to == "b0";
            to_b0 += u32::from(at_b0);
            cycle = if at_b0 {
                (cycle + 1) % (resets + 1)
            } else {
                cycle
            };
            let outcome = if at_b0 && cycle > 0 {
                Outcome::ConnectionReset
            } else {
                Outcome::Success
            };
            for action in driver.finish_attempt(id, 0, &to, outcome, 5) {
                if let Action::StartAttempt { endpoint, .. } = action {
                    driver.finish_attempt(id, 1, &endpoint, Outcome::Success, 5);
                }
            }
            driver.advance(10 * MILLISECOND);
        }
        to_b0
    };
    let (half_reset, most_reset) = (requests_to_b0(1), requests_to_b0(5));
    assert!(
        half_reset > 20,
        "{half_reset} of 600 requests at an endpoint that resets every other connection"
    );
    assert!(
        most_reset < half_reset / 2,
        "{most_reset} of 600 requests at an endpoint that resets five connections of six, {half_reset} before"
    );
}

/// Guards against rejections that an operator cannot tell apart.
#[test]
fn rejections_are_counted_by_their_reason() {
    let mut driver = PolicyDriver::new(settings(), 1, &six_endpoints());
    for _ in 0..200 {
        driver.request(SAFE, PlanId(0), "over its quota", 1.0);
    }
    let over_quota = driver.policy.take_rejection_counts();
    assert!(over_quota.customer_limit > 100, "{over_quota:?}");
    assert_eq!(over_quota.no_endpoint, 0);
    assert_eq!(
        driver.policy.take_rejection_counts(),
        Default::default(),
        "counts are taken once"
    );
    let mut driver = PolicyDriver::new(settings(), 1, &[]);
    driver.request(SAFE, PlanId(1), "c", 1.0);
    let without_endpoints = driver.policy.take_rejection_counts();
    assert_eq!(without_endpoints.no_endpoint, 1, "{without_endpoints:?}");
}
