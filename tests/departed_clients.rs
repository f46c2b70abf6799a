//! Clients that leave before their response: nothing is sent on for them afterwards, whatever they left unread, and a
//! request that must not be repeated is not executed again when its id returns.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use applewall_fakes::clients::{connect, request};
use applewall_fakes::daemon::{Daemon, ServiceClass};
use applewall_fakes::discovery::{target, Discovery};
use applewall_fakes::http::{self, Kind};
use applewall_fakes::instance::{Exception, ResponseBehavior, Script};
use applewall_fakes::wait::wait_until;
use support::daemon::{small_daemon, start_daemon};
use support::node::Node;
use support::slow_endpoint::SlowEndpoint;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

const DEADLINE: Duration = Duration::from_secs(3);
const IDEMPOTENT_CLASS: ServiceClass = ServiceClass {
    deadline: DEADLINE,
    idempotency: "retryable",
};
/// A class whose requests must not be executed twice.
const NON_IDEMPOTENT_CLASS: ServiceClass = ServiceClass {
    deadline: DEADLINE,
    idempotency: "fragile",
};
/// Long enough that a client that leaves at once has been gone for some time before its next attempt.
const PROCESSING_TIME: Duration = Duration::from_millis(400);
/// An attempt may begin this long after its client has left.
const DEPARTURE_SLACK: Duration = Duration::from_millis(100);
/// An attempt of a client that has left ends within this time: about half of its timeout of 0.96 s, so that the timeout is
/// not taken for a cancellation.
const MAX_CANCELLATION_TIME: Duration = Duration::from_millis(500);
/// Requests that a client writes at once: more than hyper reads at once.
const PIPELINED_REQUESTS: u64 = 60;
/// Bytes behind a request: more than the daemon reads ahead, and more than a socket buffer holds.
const UNREAD_BYTES: usize = 1_500_000;
/// The id of the first request of the client that leaves.
const ID: u64 = 0x1dea_0000;
const CUSTOMER: u64 = 7;
/// The ids of another client, whose responses show that time has passed.
const OTHER_ID: u64 = 0xc0ff_ee00;
const OTHER_CUSTOMER: u64 = 8;

async fn node(class: ServiceClass, behavior: ResponseBehavior) -> Node {
    let script = Script {
        processing_time: PROCESSING_TIME..=PROCESSING_TIME,
        exception: Some(Exception {
            one_in: 1,
            behavior,
        }),
        ..Script::default()
    };
    Node::new(class, script, 3).await
}

async fn connect_to(daemon: &Daemon) -> TcpStream {
    let stream = connect(daemon.address, [127, 0, 0, 1].into(), None).await;
    stream.expect("a connection")
}

/// Sends a request on a new connection and returns the status of its response.
async fn status_of(daemon: &Daemon, id: u64, customer: u64) -> String {
    let mut client = connect_to(daemon).await;
    let text = request(id, customer, DEADLINE, 0);
    client.write_all(text.as_bytes()).await.expect("written");
    let response = http::read(&mut client, &mut Vec::new(), Kind::Response).await;
    let response = response.expect("read").expect("a response");
    response.status().to_string()
}

/// When requests with this id have arrived at endpoints, in order.
fn arrivals(node: &Node, id: u64) -> Vec<Instant> {
    let of_instance =
        |instance: &applewall_fakes::instance::Instance| instance.recorded.arrivals_of(id);
    let mut arrivals: Vec<_> = node.instances.iter().flat_map(of_instance).collect();
    arrivals.sort();
    arrivals
}

/// Writes `text` on a new connection, and waits until the request with [`ID`] has reached an endpoint.
async fn send_until_forwarded(node: &Node, daemon: &Daemon, text: &[u8]) -> TcpStream {
    let mut client = connect_to(daemon).await;
    client.write_all(text).await.expect("written");
    wait_until("the request has reached an endpoint", || {
        !arrivals(node, ID).is_empty()
    })
    .await;
    client
}

/// Like [`send_until_forwarded`], and leaves then. Returns when it left.
async fn send_and_leave(node: &Node, daemon: &Daemon, text: &[u8]) -> Instant {
    drop(send_until_forwarded(node, daemon, text).await);
    Instant::now()
}

/// Writes bytes until all are written or the kernel takes no more.
async fn write_without_waiting(client: &TcpStream, mut bytes: &[u8]) {
    client.writable().await.expect("writable");
    while let Ok(written) = client.try_write(bytes) {
        bytes = &bytes[written..];
        if bytes.is_empty() {
            return;
        }
    }
}

/// Asserts that no request of the client has reached an endpoint since it left.
fn assert_nothing_forwarded_since(left_at: Instant, node: &Node, context: &str) {
    let late = (0..PIPELINED_REQUESTS)
        .flat_map(|number| arrivals(node, ID + number))
        .filter(|at| *at > left_at + DEPARTURE_SLACK);
    assert_eq!(late.count(), 0, "{context}");
}

/// Waits for the responses to two requests of another client, one after the other.
async fn wait_for_other_client(daemon: &Daemon) {
    for number in 0..2 {
        status_of(daemon, OTHER_ID + number, OTHER_CUSTOMER).await;
    }
}

/// Guards against attempts for a client whose close is hidden by further requests that it wrote at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests_are_not_forwarded_after_their_client_has_left() {
    for behavior in [ResponseBehavior::Complete, ResponseBehavior::Unprocessed] {
        let node = node(IDEMPOTENT_CLASS, behavior).await;
        let daemon = node.start();
        let requests = (0..PIPELINED_REQUESTS)
            .map(|number| request(ID + number, CUSTOMER, DEADLINE, 0))
            .collect::<String>();
        let left_at = send_and_leave(&node, &daemon, requests.as_bytes()).await;
        wait_for_other_client(&daemon).await;
        assert_nothing_forwarded_since(left_at, &node, &format!("{behavior:?}"));
    }
}

/// Guards against an attempt that stays in flight for a client that has left, because its close lies behind further requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attempt_is_cancelled_when_a_client_leaves_that_has_pipelined_requests() {
    let endpoint = SlowEndpoint::start();
    let known = vec![target("s-0", endpoint.address, "in_service")];
    let discovery = Discovery::start(known.clone()).await.expect("discovery");
    let daemon = start_daemon("departed", &small_daemon(discovery.address, known));
    let open = || endpoint.open.load(Ordering::Relaxed);
    let single = request(ID, CUSTOMER, DEADLINE, 0);
    let chunked = request(ID + 2, CUSTOMER, DEADLINE, 5)
        .replace("Content-Length: 5", "Transfer-Encoding: chunked")
        + "5\r\nhello\r\n0\r\n\r\n";
    for (name, requests) in [
        ("one", single.clone()),
        ("two", request(ID + 1, CUSTOMER, DEADLINE, 0) + &single),
        (
            "two, after an empty line",
            "\r\n".to_string() + &request(ID + 3, CUSTOMER, DEADLINE, 0) + &single,
        ),
        ("chunked and one", chunked + &single),
    ] {
        let mut client = connect_to(&daemon).await;
        client
            .write_all(requests.as_bytes())
            .await
            .expect("written");
        wait_until("an attempt is in flight", || open() == 1).await;
        drop(client);
        let left_at = Instant::now();
        wait_until("the attempt has ended", || open() == 0).await;
        let ended_after = left_at.elapsed();
        assert!(
            ended_after < MAX_CANCELLATION_TIME,
            "{name}: the attempt ended after {ended_after:?}"
        );
    }
}

/// Guards against retries for a client whose close lies behind more bytes than are read ahead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_is_not_retried_after_its_client_has_left_with_much_unread() {
    let chunked = request(ID, CUSTOMER, DEADLINE, 5)
        .replace("Content-Length: 5", "Transfer-Encoding: chunked");
    for (framing, text) in [
        ("no body", request(ID, CUSTOMER, DEADLINE, 0)),
        ("length", request(ID, CUSTOMER, DEADLINE, 5) + "hello"),
        ("chunked", chunked + "5\r\nhello\r\n0\r\n\r\n"),
    ] {
        let node = node(NON_IDEMPOTENT_CLASS, ResponseBehavior::Unprocessed).await;
        let daemon = node.start();
        let client = send_until_forwarded(&node, &daemon, text.as_bytes()).await;
        write_without_waiting(&client, &[b'z'; UNREAD_BYTES]).await;
        drop(client);
        let left_at = Instant::now();
        wait_for_other_client(&daemon).await;
        assert_nothing_forwarded_since(left_at, &node, framing);
    }
}

/// Guards against a second execution of a request that must not be repeated, whose client has left and sends it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_request_is_not_executed_again_when_its_client_returns() {
    let node = node(NON_IDEMPOTENT_CLASS, ResponseBehavior::Complete).await;
    let daemon = node.start();
    let text = request(ID, CUSTOMER, DEADLINE, 0);
    send_and_leave(&node, &daemon, text.as_bytes()).await;
    for _ in 0..2 {
        assert_eq!(status_of(&daemon, ID, CUSTOMER).await, "409");
        wait_for_other_client(&daemon).await;
    }
    assert_eq!(arrivals(&node, ID).len(), 1);
}

/// Guards against a second execution of a request that must not be repeated, whose first response has been given.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_request_is_not_executed_again_after_its_response() {
    let node = node(NON_IDEMPOTENT_CLASS, ResponseBehavior::Complete).await;
    let daemon = node.start();
    assert_eq!(status_of(&daemon, ID, CUSTOMER).await, "200");
    assert_eq!(status_of(&daemon, ID, CUSTOMER).await, "409");
    assert_eq!(arrivals(&node, ID).len(), 1);
}

/// A request that was certainly not executed may come again under its id.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_request_that_was_never_executed_is_accepted_again() {
    let node = node(NON_IDEMPOTENT_CLASS, ResponseBehavior::Unprocessed).await;
    let daemon = node.start();
    assert_eq!(status_of(&daemon, ID, CUSTOMER).await, "503");
    for instance in &node.instances {
        instance.change_script(|script| script.exception = None);
    }
    assert_eq!(status_of(&daemon, ID, CUSTOMER).await, "200");
}

/// Guards against a second execution by the other process of an upgrade, in either order of the processes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_request_is_not_executed_again_by_the_other_process_of_an_upgrade() {
    let node = node(NON_IDEMPOTENT_CLASS, ResponseBehavior::Complete).await;
    let old = node.start();
    let text = request(ID, CUSTOMER, DEADLINE, 0);
    // Before the upgrade, and by a kept connection of the old process after it.
    send_and_leave(&node, &old, text.as_bytes()).await;
    let mut kept = connect_to(&old).await;
    let text = request(ID + 1, CUSTOMER, DEADLINE, 0);
    kept.write_all(text.as_bytes()).await.expect("written");
    let mut unread = Vec::new();
    http::read(&mut kept, &mut unread, Kind::Response)
        .await
        .expect("read")
        .expect("a response");
    let new = node.upgrade(&old).await;
    assert_eq!(status_of(&new, ID, CUSTOMER).await, "409");
    let text = request(ID + 2, CUSTOMER, DEADLINE, 0);
    kept.write_all(text.as_bytes()).await.expect("written");
    wait_until("the old process has forwarded a request", || {
        !arrivals(&node, ID + 2).is_empty()
    })
    .await;
    drop(kept);
    assert_eq!(status_of(&new, ID + 2, CUSTOMER).await, "409");
    for id in ID..ID + 3 {
        assert_eq!(arrivals(&node, id).len(), 1, "request {id:x}");
    }
}
