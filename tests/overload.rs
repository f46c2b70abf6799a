//! Overload: the ladder, priorities, the backlog and outlier ejection, by the decision policy alone in virtual time.

mod support;

use applewall::api::*;
use support::policy::*;

#[test]
fn the_ladder_tightens_under_overload_and_recovers() {
    let mut driver = PolicyDriver::new(settings(), 1, &six_endpoints());
    let (_, refused) = driver.run_load(
        SAFE,
        PlanId(1),
        5 * MILLISECOND,
        4 * SECOND,
        Outcome::Success,
        60,
    );
    assert_eq!(refused, 0, "F0 admits all");
    // Answers far too late: overload.
    let (sent, refused) = driver.run_load(
        SAFE,
        PlanId(1),
        5 * MILLISECOND,
        6 * SECOND,
        Outcome::Success,
        450,
    );
    assert!(
        refused > sent / 10,
        "{refused} refused, {sent} sent under overload"
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
    let (_, refused) = driver.run_load(
        SAFE,
        PlanId(1),
        5 * MILLISECOND,
        4 * SECOND,
        Outcome::Success,
        60,
    );
    assert_eq!(refused, 0, "back at F0");
}

#[test]
fn a_ladder_that_admits_nothing_opens_again() {
    // Found on the first incidents: the last latencies stood for ever once the last filter let nothing through.
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
    let (sent, refused) = driver.run_load(
        SAFE,
        PlanId(1),
        20 * MILLISECOND,
        4 * SECOND,
        Outcome::Success,
        50,
    );
    assert!(sent > 190 && refused == 0, "{sent} sent, {refused} refused");
}

#[test]
fn overload_sheds_the_cheap_plan_first() {
    let mut set = settings();
    (
        set.plans[0].quota_units_per_second,
        set.plans[0].quota_burst_units,
    ) = (1e6, 1e6);
    let mut driver = PolicyDriver::new(set, 1, &six_endpoints());
    let mut lost = [0, 0];
    let mut out = std::collections::VecDeque::new();
    for number in 0..2000u32 {
        let plan = (number % 2) as usize;
        let (id, actions) = driver.request(SAFE, PlanId(plan), "c", 1.0);
        if let Some(to) = attempted_endpoint(&actions) {
            out.push_back((driver.now, id, to));
        }
        lost[plan] += u32::from(is_rejected(&actions));
        // Half of what is asked can be served, in turn.
        if number % 2 == 0 {
            if let Some((sent, id, to)) = out.pop_front() {
                driver.finish_attempt(
                    id,
                    0,
                    &to,
                    Outcome::Success,
                    (driver.now - sent) / MILLISECOND,
                );
            }
        }
        driver.advance(5 * MILLISECOND);
    }
    assert!(
        lost[0] > 20 && lost[0] as f64 > 1.3 * lost[1] as f64,
        "{lost:?}"
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
    let mut refusals = 0;
    let mut out = std::collections::VecDeque::new();
    for _ in 0..800 {
        let (id, actions) = driver.request(UNSAFE, PlanId(1), "c", 1.0);
        refusals += u32::from(is_rejected(&actions));
        if let Some(to) = attempted_endpoint(&actions) {
            let ms = if &*to == "b0" { 1900 } else { 60 };
            out.push_back((driver.now + ms * MILLISECOND, id, to, ms));
        }
        let now = driver.now;
        for (_, id, to, ms) in out
            .iter()
            .filter(|sent_attempt| sent_attempt.0 <= now)
            .cloned()
            .collect::<Vec<_>>()
        {
            driver.finish_attempt(
                id,
                0,
                &to,
                if ms > 1000 {
                    Outcome::TimedOut
                } else {
                    Outcome::Success
                },
                ms,
            );
        }
        out.retain(|sent_attempt| sent_attempt.0 > now);
        driver.advance(10 * MILLISECOND);
    }
    assert_eq!(refusals, 0);
    assert!(
        out.iter()
            .filter(|sent_attempt| &*sent_attempt.2 == "b0")
            .count()
            <= 2,
        "the silent one gets single trials at most"
    );
}

#[test]
fn requests_lost_by_healthy_endpoints_do_not_fill_the_backlog() {
    // Incident i68cf60: backends answered most requests at once and never answered some.
    let mut driver = PolicyDriver::new(settings(), 15, &six_endpoints());
    driver.run_load(
        SAFE,
        PlanId(1),
        5 * MILLISECOND,
        3 * SECOND,
        Outcome::Success,
        60,
    );
    let mut out = Vec::new();
    let mut refusals = 0;
    for number in 0..800u64 {
        let (id, actions) = driver.request(UNSAFE, PlanId(1), "c", 1.0);
        refusals += u32::from(is_rejected(&actions));
        if let Some(to) = attempted_endpoint(&actions) {
            let ms = if number % 10 == 0 { 1900 } else { 60 };
            out.push((driver.now + ms * MILLISECOND, id, to, ms));
        }
        let now = driver.now;
        for (_, id, to, ms) in out
            .iter()
            .filter(|sent_attempt| sent_attempt.0 <= now)
            .cloned()
            .collect::<Vec<_>>()
        {
            driver.finish_attempt(
                id,
                0,
                &to,
                if ms > 1000 {
                    Outcome::TimedOut
                } else {
                    Outcome::Success
                },
                ms,
            );
        }
        out.retain(|sent_attempt| sent_attempt.0 > now);
        driver.advance(5 * MILLISECOND);
    }
    assert!(refusals < 20, "{refusals} of 800 refused");
}

#[test]
fn the_backlog_counts_requests_by_their_units() {
    // Issue 11: requests of four units took seven times the work of one, and were costed and shed alike.
    let burst = |units: f64| {
        let list: Vec<Endpoint> = (0..6)
            .map(|number| endpoint(&format!("b{number}"), number % 3))
            .collect();
        let mut driver = PolicyDriver::new(settings(), 41, &list);
        for number in 0..800 {
            let units = if number % 2 == 0 { 1.0 } else { 4.0 };
            let (id, actions) = driver.request(SAFE, PlanId(1), "c", units);
            let to = attempted_endpoint(&actions).expect("no reason to refuse");
            let ms = if units > 1.0 { 175 } else { 25 };
            driver.advance(20 * MILLISECOND);
            driver.finish_attempt(id, 0, &to, Outcome::Success, ms);
        }
        (0..200)
            .filter(|_| {
                attempted_endpoint(&driver.request(SAFE, PlanId(1), "c", units).1).is_some()
            })
            .count()
    };
    let (small, large) = (burst(1.0), burst(4.0));
    assert!(
        small >= 2 * large,
        "{small} small ones of a burst sent, {large} large ones"
    );
}

#[test]
fn a_rejection_under_load_has_a_retry_after() {
    let list: Vec<Endpoint> = (0..6)
        .map(|number| endpoint(&format!("b{number}"), number % 3))
        .collect();
    let mut driver = PolicyDriver::new(settings(), 53, &list);
    driver.run_load(
        SAFE,
        PlanId(1),
        20 * MILLISECOND,
        2 * SECOND,
        Outcome::Success,
        60,
    );
    let refusals: Vec<Action> = (0..200)
        .flat_map(|_| driver.request(SAFE, PlanId(1), "c", 1.0).1)
        .collect();
    let waits = refusals.iter().filter_map(|action| match action {
        Action::Reject {
            retry_after_ns: retry_after,
            ..
        } => *retry_after,
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
    // Share of what goes to b0, where so many connections in a row break before each answer.
    let mut share = |broken: u32| {
        let (mut to_b0, mut row) = (0, 0);
        for _ in 0..600 {
            let (id, actions) = driver.request(SAFE, PlanId(1), "c", 1.0);
            let to = attempted_endpoint(&actions).expect("sent");
            let at_b0 = &*to == "b0";
            to_b0 += u32::from(at_b0);
            row = if at_b0 { (row + 1) % (broken + 1) } else { row };
            let how = if at_b0 && row > 0 {
                Outcome::ConnectionReset
            } else {
                Outcome::Success
            };
            for action in driver.finish_attempt(id, 0, &to, how, 5) {
                if let Action::StartAttempt {
                    endpoint: backend, ..
                } = action
                {
                    driver.finish_attempt(id, 1, &backend, Outcome::Success, 5);
                }
            }
            driver.advance(10 * MILLISECOND);
        }
        to_b0
    };
    let (once, often) = (share(1), share(5));
    assert!(
        once > 20,
        "{once} of 600 for one whose connections break now and then"
    );
    assert!(
        often < once / 2,
        "{often} of 600 for one that hardly answers, {once} before"
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
