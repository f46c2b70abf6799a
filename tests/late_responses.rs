//! Responses whose parts arrive late: an endpoint that has begun a long response is not cut off, and a request that its
//! endpoint reads slowly still gets its final response in time.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use applewall_fakes::clients::request;
use applewall_fakes::daemon::Daemon;
use applewall_fakes::discovery::{target, Discovery};
use applewall_fakes::instance::{
    BodyFraming, BodyPieces, Exception, Instance, ResponseBehavior, Script,
};
use applewall_fakes::wait::wait_until;
use support::daemon::{connect_to, small_daemon, start_daemon, Environment, Scenario, TIME_LEFT};
use support::slow_endpoint::SlowEndpoint;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Later than the timeout of an attempt that can be retried: 1.2 times the latency objective of 0.8 s.
const BODY_DELAY: Duration = Duration::from_millis(1_500);
/// Longer than any response is waited for.
const NEVER: Duration = Duration::from_secs(120);
const PIECE_BYTES: usize = 1_000;
const PIECES: usize = 100;
/// Just below the daemon's limit for a body.
const LARGE_BODY_BYTES: usize = 60_000;
const SHORT_TIME_LEFT: Duration = Duration::from_millis(1_000);
/// A response this long after its deadline still counts.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);

fn late_body(framing: BodyFraming) -> Script {
    late_body_after(BODY_DELAY, framing)
}

fn late_body_after(first_after: Duration, framing: BodyFraming) -> Script {
    Script {
        processing_time: Duration::from_millis(40)..=Duration::from_millis(41),
        exception: Some(Exception {
            one_in: 1,
            behavior: ResponseBehavior::Pieces(BodyPieces {
                framing,
                first_after,
                piece_bytes: PIECE_BYTES,
                interval: Duration::from_millis(10),
                pieces: PIECES,
            }),
        }),
        ..Script::default()
    }
}

fn requests(environment: &Environment) -> u64 {
    let count = |instance: &Instance| instance.recorded.requests.load(Ordering::Relaxed);
    environment.instances.iter().map(count).sum()
}

/// Guards against the attempt's timeout cutting off a response whose head has arrived and whose body is late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_response_with_a_late_body_is_not_cut_off_at_the_timeout_of_its_attempt() {
    for (name, framing) in [
        ("late-length", BodyFraming::Length),
        ("late-chunked", BodyFraming::Chunked),
        ("late-close", BodyFraming::Close),
    ] {
        let environment = Scenario::new(name)
            .instance(late_body(framing))
            .instance(late_body(framing))
            .start()
            .await;
        assert_complete(&response_until_end(&environment, TIME_LEFT).await, name);
        assert_eq!(requests(&environment), 1, "{name}");
    }
}

/// Sends a request and reads until the end of the connection.
async fn response_until_end(environment: &Environment, time_left: Duration) -> Vec<u8> {
    let mut client = connect_to(&environment.daemon).await;
    let text = request(1, 1, time_left, 0).replace("Host:", "Connection: close\r\nHost:");
    client.write_all(text.as_bytes()).await.expect("written");
    let mut response = Vec::new();
    // A response that is cut off may end with a reset.
    let _ = client.read_to_end(&mut response).await;
    response
}

fn assert_complete(response: &[u8], context: &str) {
    let body_bytes = response.iter().filter(|byte| **byte == b'.').count();
    assert!(response.starts_with(b"HTTP/1.1 200"), "{context}");
    // The head may hold dots too.
    assert!(
        body_bytes >= PIECE_BYTES * PIECES,
        "{context}: {body_bytes} bytes of the body"
    );
}

/// A head that has arrived is forwarded at the request's deadline, so that a body shortly after it is not lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_response_whose_body_begins_shortly_after_the_deadline_is_forwarded() {
    let delay = SHORT_TIME_LEFT + Duration::from_millis(200);
    let environment = Scenario::new("late-deadline")
        .instance(late_body_after(delay, BodyFraming::Chunked))
        .start()
        .await;
    let response = response_until_end(&environment, SHORT_TIME_LEFT).await;
    assert_complete(&response, "body after the deadline");
}

/// Guards against a client that waits for a body that never comes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_response_whose_body_never_comes_ends_soon_after_the_deadline() {
    let environment = Scenario::new("late-never")
        .instance(late_body_after(NEVER, BodyFraming::Chunked))
        .start()
        .await;
    let sent_at = Instant::now();
    let response = response_until_end(&environment, SHORT_TIME_LEFT).await;
    let ended_after = sent_at.elapsed();
    assert!(response.starts_with(b"HTTP/1.1 200"));
    assert!(
        !response.ends_with(b"0\r\n\r\n"),
        "the client cannot tell that the response is incomplete"
    );
    assert!(
        ended_after < SHORT_TIME_LEFT + 2 * RESPONSE_SLACK,
        "ended after {ended_after:?}"
    );
}

/// Three endpoints that read slowly, and a daemon that knows them.
async fn start_with_slow_endpoints(name: &str) -> (Daemon, Vec<SlowEndpoint>, Discovery) {
    let endpoints: Vec<_> = (0..3).map(|_| SlowEndpoint::start()).collect();
    let entry = |(number, endpoint): (usize, &SlowEndpoint)| {
        target(&format!("s-{number}"), endpoint.address, "in_service")
    };
    let known: Vec<_> = endpoints.iter().enumerate().map(entry).collect();
    let discovery = Discovery::start(known.clone()).await.expect("discovery");
    let daemon = start_daemon(name, &small_daemon(discovery.address, known));
    (daemon, endpoints, discovery)
}

fn large_request(id: u64, time_left: Duration) -> String {
    request(id, 1, time_left, LARGE_BODY_BYTES) + &"x".repeat(LARGE_BODY_BYTES)
}

/// Large requests that are sent at once.
const SLOWLY_READ_REQUESTS: u64 = 20;

/// Guards against a final response after its time where an endpoint reads a large request slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_its_endpoint_reads_slowly_is_answered_in_time() {
    let (daemon, endpoints, _discovery) = start_with_slow_endpoints("late-reader").await;
    for time_left in [SHORT_TIME_LEFT, TIME_LEFT] {
        let mut clients = tokio::task::JoinSet::new();
        for number in 0..SLOWLY_READ_REQUESTS {
            let client = connect_to(&daemon).await;
            let text = large_request(time_left.as_millis() as u64 + number, time_left);
            clients.spawn(time_to_response(client, text));
        }
        for waited in clients.join_all().await {
            assert!(
                waited < time_left + RESPONSE_SLACK,
                "answered after {waited:?} of {time_left:?}"
            );
        }
    }
    let begun = |endpoint: &SlowEndpoint| endpoint.most_read.load(Ordering::Relaxed) > 0;
    assert!(endpoints.iter().any(begun), "no request was forwarded");
}

/// Sends a request; the time until its response begins.
async fn time_to_response(mut client: TcpStream, text: String) -> Duration {
    client.write_all(text.as_bytes()).await.expect("written");
    let sent_at = Instant::now();
    let read = client.read(&mut [0; 12]).await.expect("a response");
    assert!(read > 0, "closed without a response");
    sent_at.elapsed()
}

/// Guards against a request that reaches its endpoint whole, out of the kernel's buffers, after it was given up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_was_given_up_does_not_reach_its_endpoint_any_more() {
    let (daemon, endpoints, _discovery) = start_with_slow_endpoints("given-up").await;
    for (id, leaves) in [(1, false), (2, true)] {
        let mut client = connect_to(&daemon).await;
        let text = large_request(id, SHORT_TIME_LEFT);
        client.write_all(text.as_bytes()).await.expect("written");
        let open = || {
            let open = endpoints
                .iter()
                .map(|endpoint| endpoint.open.load(Ordering::Relaxed));
            open.sum::<u64>()
        };
        wait_until("an attempt has begun", || open() > 0).await;
        if !leaves {
            let read = client.read(&mut [0; 12]).await.expect("a response");
            assert!(read > 0, "closed without a response");
        }
        drop(client);
        wait_until("the endpoints have seen the end of all attempts", || {
            open() == 0
        })
        .await;
        for endpoint in &endpoints {
            let most_read = endpoint.most_read.load(Ordering::Relaxed);
            assert!(
                most_read < LARGE_BODY_BYTES as u64,
                "client leaves: {leaves}; {most_read} bytes read"
            );
        }
    }
}
