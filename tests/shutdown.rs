//! SIGTERM to the real program: it exits only after each request that it has accepted has its whole response, with and
//! without a process that has taken over.

mod support;

use std::time::{Duration, Instant};

use applewall_fakes::clients::{connect, request};
use applewall_fakes::daemon::{Daemon, ServiceClass};
use applewall_fakes::http::{self, Kind, Message};
use applewall_fakes::instance::{Exception, ResponseBehavior, Script};
use support::node::{wait_for_log, Node};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Class deadline beyond the 3 s that the platform takes into account for the kill, which comes 3.7 s after SIGTERM.
const LONG_DEADLINE: Duration = Duration::from_secs(6);
const USUAL_DEADLINE: Duration = Duration::from_secs(3);
/// A class whose requests are not repeated, so that one attempt has all of the request's time.
const LONG_CLASS: ServiceClass = ServiceClass {
    deadline: LONG_DEADLINE,
    idempotency: "fragile",
};
const USUAL_CLASS: ServiceClass = ServiceClass {
    deadline: USUAL_DEADLINE,
    idempotency: "retryable",
};
/// A response this long after a request's deadline still counts.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// Processing time of an endpoint that hangs for longer than any request waits.
const HANG: Duration = Duration::from_secs(120);
/// Pause of an endpoint inside a response: beyond the longest deadline and all margins of a shutdown.
const PAUSE_IN_BODY: Duration = Duration::from_secs(6);
/// Long enough to be forwarded while it is being received.
const LONG_BODY_BYTES: usize = 400_000;
/// More than all buffers between an endpoint and a client hold.
const UNREAD_BODY_BYTES: usize = 32_000_000;
/// How long a shutdown waits for a client that reads nothing.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// The kill is due 3.7 s after SIGTERM at the earliest. A request that is answered well before shows nothing.
const EARLIEST_TELLING_RESPONSE: Duration = Duration::from_millis(3_500);
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);
const CLIENTS: u64 = 4;
/// When the kill is due after SIGTERM at the earliest, with the longest deadline counted as 3 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// When a late body is complete after SIGTERM: later than 0.7 s, so that the kill would lose the request.
const LATE_BODY: Duration = Duration::from_millis(1_200);
const BODY_BYTES: usize = 1_000;
const ENDPOINTS: u64 = 2;

/// Reads the response; `None` if the connection ends before it is complete.
async fn read_response(client: &mut TcpStream) -> Option<Message> {
    let response = http::read(client, &mut Vec::new(), Kind::Response).await;
    response.ok().flatten()
}

/// Waits for the exit in another thread, so that the endpoints continue. Returns the daemon for its log.
async fn await_exit(mut daemon: Daemon) -> Daemon {
    let exit = tokio::task::spawn_blocking(move || (daemon.wait_for_exit(EXIT_TIMEOUT), daemon));
    let (status, daemon) = exit.await.expect("waited");
    let status = status.expect("exited in time");
    assert!(status.success(), "{status}");
    daemon
}

fn hanging() -> Script {
    Script {
        processing_time: HANG..=HANG,
        ..Script::default()
    }
}

fn pausing() -> Script {
    Script {
        body_bytes: LONG_BODY_BYTES,
        exception: Some(Exception {
            one_in: 1,
            behavior: ResponseBehavior::PauseInBody(PAUSE_IN_BODY),
        }),
        ..Script::default()
    }
}

/// Whether another process takes over before SIGTERM.
#[derive(Clone, Copy, PartialEq)]
enum Stop {
    Standalone,
    AfterUpgrade,
    /// The new process dies after SIGTERM, and this one is active again.
    AfterUpgradeThatFails,
}

impl Stop {
    /// Sends SIGTERM; returns the new process, which has to be kept until the end of the test.
    async fn stop(self, node: &Node, daemon: &Daemon) -> Option<Daemon> {
        let new = match self {
            Stop::Standalone => None,
            Stop::AfterUpgrade | Stop::AfterUpgradeThatFails => Some(node.upgrade(daemon).await),
        };
        daemon.terminate();
        if self != Stop::AfterUpgradeThatFails {
            return new;
        }
        wait_for_log(daemon, "shutdown started").await;
        drop(new);
        wait_for_log(daemon, "new process failed").await;
        None
    }
}

/// All endpoints hang. Each request that was accepted before SIGTERM gets its response by its own deadline.
async fn assert_hanging_requests_are_answered(stop: Stop) {
    let node = Node::new(LONG_CLASS, hanging(), ENDPOINTS).await;
    let daemon = node.start();
    let mut clients = Vec::new();
    for id in 1..=CLIENTS {
        let sent = Instant::now();
        clients.push((id, sent, node.request(&daemon, id).await));
    }
    let _new = stop.stop(&node, &daemon).await;
    for (id, sent, mut client) in clients {
        let response = read_response(&mut client).await;
        assert!(
            response.is_some(),
            "request {id} has no response, its connection ended after {:?}",
            sent.elapsed()
        );
        let waited = sent.elapsed();
        assert!(
            waited < LONG_DEADLINE + RESPONSE_SLACK,
            "request {id} was answered after {waited:?}"
        );
        assert!(
            waited > EARLIEST_TELLING_RESPONSE,
            "request {id} was answered after {waited:?}, too early to show anything"
        );
    }
    await_exit(daemon).await;
}

/// A response that takes longer than every deadline is written to its end.
async fn assert_long_response_is_completed(stop: Stop) {
    let node = Node::new(USUAL_CLASS, pausing(), ENDPOINTS).await;
    let daemon = node.start();
    let mut client = node.request(&daemon, 1).await;
    // The response has begun.
    client.readable().await.expect("a response");
    let _new = stop.stop(&node, &daemon).await;
    let response = read_response(&mut client).await;
    let length = response.map(|response| response.body.len());
    assert_eq!(length, Some(LONG_BODY_BYTES), "length of the response");
    await_exit(daemon).await;
}

/// Guards against an exit of the old process of an upgrade at a fixed time, before a long deadline.
#[tokio::test]
async fn replaced_process_answers_each_request_by_its_own_long_deadline_before_it_exits() {
    assert_hanging_requests_are_answered(Stop::AfterUpgrade).await;
}

/// The same if the new process dies while the old one stops.
#[tokio::test]
async fn stopping_process_answers_each_request_by_its_own_long_deadline_if_the_new_one_dies() {
    assert_hanging_requests_are_answered(Stop::AfterUpgradeThatFails).await;
}

/// The same without an upgrade.
#[tokio::test]
async fn stopped_process_answers_each_request_by_its_own_long_deadline_before_it_exits() {
    assert_hanging_requests_are_answered(Stop::Standalone).await;
}

/// Guards against an exit of the old process of an upgrade in the middle of a response.
#[tokio::test]
async fn replaced_process_completes_a_response_that_outlasts_all_deadlines() {
    assert_long_response_is_completed(Stop::AfterUpgrade).await;
}

/// Guards against an exit in the middle of a response.
#[tokio::test]
async fn stopped_process_completes_a_response_that_outlasts_all_deadlines() {
    assert_long_response_is_completed(Stop::Standalone).await;
}

/// Guards against a response after the kill, for a request that is complete only some time after SIGTERM.
#[tokio::test]
async fn stopped_process_answers_a_request_with_a_late_body_before_the_kill() {
    let node = Node::new(LONG_CLASS, hanging(), ENDPOINTS).await;
    let daemon = node.start();
    let mut client = connect(daemon.address, [127, 0, 0, 1].into(), None)
        .await
        .expect("a connection");
    let text = request(1, 1, LONG_DEADLINE, BODY_BYTES);
    client.write_all(text.as_bytes()).await.expect("written");
    let terminated = Instant::now();
    daemon.terminate();
    tokio::time::sleep_until((terminated + LATE_BODY).into()).await;
    let body = vec![b'x'; BODY_BYTES];
    client.write_all(&body).await.expect("written");
    let response = read_response(&mut client).await;
    let answered = terminated.elapsed();
    assert!(response.is_some(), "no response after {answered:?}");
    assert!(answered < EARLIEST_KILL, "answered after {answered:?}");
    await_exit(daemon).await;
}

/// Guards against a shutdown without an end: a client that reads nothing does not keep the process alive.
#[tokio::test]
async fn stopped_process_exits_although_a_client_reads_nothing_of_its_response() {
    let script = Script {
        body_bytes: UNREAD_BODY_BYTES,
        ..Script::default()
    };
    let node = Node::new(USUAL_CLASS, script, ENDPOINTS).await;
    let daemon = node.start();
    // The client cannot have stopped reading before this.
    let requested = Instant::now();
    let mut client = node.request(&daemon, 1).await;
    client.readable().await.expect("a response");
    daemon.terminate();
    let daemon = await_exit(daemon).await;
    let waited = requested.elapsed();
    assert!(
        waited >= WRITE_TIMEOUT && waited < 2 * WRITE_TIMEOUT,
        "exited {waited:?} after the request"
    );
    wait_for_log(&daemon, "client does not read its response").await;
    // The client can tell that its response is not complete.
    let mut received = Vec::new();
    let ended = client.read_to_end(&mut received).await;
    assert!(ended.is_err() || received.len() < UNREAD_BODY_BYTES);
}
