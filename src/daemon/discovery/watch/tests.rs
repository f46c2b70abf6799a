//! Checks the watch's timeouts and retry delays against the deadlines of a drain and the load that a fleet causes.

use tokio::io::AsyncReadExt;

use super::timing::AGENT_TIMING;
use super::*;

/// The platform counts a change as reported this long after the agent stopped answering.
const REPORTED_AFTER_LAST_ANSWER: Duration = Duration::from_secs(6);
/// The same, counted from the end of the wait that the call requested.
const REPORTED_AFTER_WAIT: Duration = Duration::from_secs(2);
/// Time after the report within which a node has to stop sending to a draining endpoint. Attempts that are being written
/// take almost none of it.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);
/// Largest factor of the jitter on a retry delay.
const MAX_JITTER: f64 = 1.5;

const TIMED_OUT: CallFailure = CallFailure::TimedOut;
const CONNECTION_LOST: CallFailure = CallFailure::ConnectionLost;
const REJECTED: CallFailure = CallFailure::Rejected {
    retry_after_seconds: None,
};

/// Upper bound of a retry delay with jitter.
fn longest_delay(timing: WatchTiming, fleet: u32, failure: CallFailure, retries: u32) -> Duration {
    timing
        .retry_delay(fleet, failure, retries)
        .mul_f64(MAX_JITTER)
}

#[test]
fn first_call_window_leaves_time_to_respect_a_drain_for_any_fleet_size() {
    for (fleet, window_ms) in [(2, 20), (3, 25), (300, 25), (10_000, 25)] {
        // At most 1/20 of the notice; the rest is for a slow start, the answer and connections being established.
        assert_eq!(
            first_call_window(fleet, DRAIN_NOTICE),
            Duration::from_millis(window_ms),
            "{fleet} nodes"
        );
    }
}

#[test]
fn unresponsive_agent_is_retried_before_a_missed_drain_counts_as_reported() {
    let WatchTiming {
        watch_wait,
        answer_margin,
        ..
    } = AGENT_TIMING;
    let call = AGENT_TIMING.first_call_timeout(Duration::ZERO).unwrap();
    // The agent stops answering at the time of the call or just before its answer; both are detected by this time.
    let detected = watch_wait + answer_margin;
    let reported = REPORTED_AFTER_LAST_ANSWER.max(watch_wait + REPORTED_AFTER_WAIT);
    // The retry delay, two further calls without an answer, and one that is answered at its deadline.
    let answered = detected + longest_delay(AGENT_TIMING, 300, TIMED_OUT, 0) + 3 * call;
    assert!(answered < reported, "{answered:?} of {reported:?}");
    // The agent stops answering just before the end of the wait, so the limit counts from the end of the wait.
    let answered = answer_margin + 3 * call;
    assert!(
        answered < REPORTED_AFTER_WAIT,
        "{answered:?} of {REPORTED_AFTER_WAIT:?}"
    );
}

#[test]
fn agent_that_answers_again_is_called_while_a_drain_can_be_respected() {
    for fleet in [3, 300, 10_000] {
        for retries in 0..20 {
            // The agent did not answer for 8 s and answers again just after a call began.
            let call = AGENT_TIMING
                .first_call_timeout(Duration::from_secs(8))
                .unwrap();
            let delay = longest_delay(AGENT_TIMING, fleet, TIMED_OUT, retries);
            assert!(
                delay + call <= DRAIN_NOTICE * 3 / 5,
                "{delay:?} and {call:?}, {fleet} nodes, {retries} retries"
            );
            // The agent refused a connection and accepts connections just after that.
            let delay = longest_delay(AGENT_TIMING, fleet, CONNECTION_LOST, retries);
            assert!(
                delay <= DRAIN_NOTICE / 2,
                "{delay:?}, {fleet} nodes, {retries} retries"
            );
        }
        assert_eq!(
            AGENT_TIMING.retry_delay(fleet, CONNECTION_LOST, 0),
            Duration::ZERO,
            "the first retry is immediate"
        );
    }
    // From the second retry on, connections are not attempted without a delay.
    assert!(AGENT_TIMING.retry_delay(3, CONNECTION_LOST, 1) >= Duration::from_millis(25));
}

#[test]
fn first_call_timeout_grows_for_a_slow_agent() {
    assert_eq!(
        AGENT_TIMING.first_call_timeout(Duration::from_secs(60)),
        Some(Duration::from_millis(1500))
    );
    assert_eq!(
        AGENT_TIMING.first_call_timeout(Duration::from_secs(600)),
        Some(Duration::from_secs(2))
    );
}

#[test]
fn unresponsive_service_is_called_again_within_two_seconds_for_any_fleet_size() {
    for fleet in [3, 30, 300, 10_000] {
        for retries in 0..20 {
            let after_timeout = SERVICE_TIMING.retry_delay(fleet, TIMED_OUT, retries);
            assert!(
                after_timeout.mul_f64(MAX_JITTER) <= Duration::from_millis(1500),
                "{after_timeout:?}, {fleet} nodes"
            );
            let after_refusal = SERVICE_TIMING.retry_delay(fleet, CONNECTION_LOST, retries);
            assert!(
                after_refusal >= after_timeout,
                "{after_refusal:?}, {fleet} nodes: a refusal spares the service"
            );
        }
    }
}

#[test]
fn call_rate_after_rejections_does_not_grow_with_the_fleet_size() {
    for timing in [SERVICE_TIMING, AGENT_TIMING] {
        let first_and_longest = |fleet| {
            let delay = |retries| timing.retry_delay(fleet, REJECTED, retries);
            (delay(0), delay(9))
        };
        assert_eq!(
            first_and_longest(3),
            (Duration::from_millis(60), Duration::from_secs(1))
        );
        for fleet in [13, 30, 100, 1000] {
            let (first, longest) = first_and_longest(fleet);
            // Calls per second of all nodes together, right after a loss and while it lasts.
            let calls_per_second = |delay: Duration| f64::from(fleet) / delay.as_secs_f64();
            assert!(
                calls_per_second(first) <= 50.1 && calls_per_second(longest) <= 12.6,
                "{first:?} and {longest:?}, {fleet} nodes"
            );
        }
    }
}

/// Reads the head of the first request on the next connection.
async fn first_request(listener: &tokio::net::TcpListener) -> String {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let byte = stream.read_u8().await.expect("a byte");
        head.push(byte);
    }
    String::from_utf8(head).expect("text")
}

/// Guards against requesting, from a new address of discovery, the changes since a revision of the old one: they would
/// apply to a list that this node does not have.
#[tokio::test]
async fn full_list_is_requested_from_an_address_that_changed_before_the_first_call() {
    for changes in [false, true] {
        let old = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let new = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, followed) = watch::channel(old.local_addr().unwrap());
        let (queue, _updates) = mpsc::channel(8);
        let start = WatchStart {
            revision: Some(7),
            seed: 1,
            schedule: None,
            forward_empty_deltas: false,
        };
        let settings = crate::config::platform::PlatformConfig::sample().settings;
        let watching = tokio::spawn(follow(followed, start, settings, Clock::start(), queue));
        // The watch now waits before its first call.
        tokio::task::yield_now().await;
        let asked = if changes {
            address.send_replace(new.local_addr().unwrap());
            first_request(&new).await
        } else {
            first_request(&old).await
        };
        watching.abort();
        let asks_for_changes = asked.lines().next().unwrap_or_default().contains('7');
        assert_eq!(asks_for_changes, !changes, "{asked}");
    }
}
