//! Floods of misbehaving clients, of each kind more than there are descriptors for clients: healthy clients are served
//! meanwhile, memory stays bounded, and all descriptors are free afterwards.

mod support;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use applewall_fakes::clients::{request, HealthyClients};
use applewall_fakes::http::{self, Kind};
use applewall_fakes::wait::wait_until;
use support::daemon::{connect_to, send_request, Environment, Scenario, TIME_LEFT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{timeout, timeout_at, Instant};

const FLOOD_DURATION: Duration = Duration::from_secs(5);
/// Concurrent bad clients: more than the third of the daemon's 256 descriptors that clients may use.
const BAD_CLIENTS: u64 = 100;
/// Bad clients have customer numbers from here on, which no healthy client has.
const FIRST_BAD_CUSTOMER: u64 = 1_000_000;
/// Smallest memory limit of the platform, in bytes.
const MEMORY_LIMIT_BYTES: u64 = 32 << 20;
/// Bytes that bad clients send after a head.
const BODY_BYTES: usize = 30_000;
/// Time in which a request in the kernel's queue has to be answered.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests that begin some time after their connection was established.
const DELAYED_REQUESTS: u32 = 300;
/// The shortest of their delays, shortly before a new connection may be evicted.
const MIN_DELAY: Duration = Duration::from_millis(230);
/// Difference between their shortest and their longest delay.
const DELAY_SPREAD: Duration = Duration::from_millis(70);
/// Number of different delays.
const DELAY_STEPS: u32 = 70;
/// The customer of these requests.
const DELAYED_CUSTOMER: u64 = 500_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Misbehavior {
    Silence,
    IncompleteHead,
    /// A request, then more bytes than the daemon reads ahead, then a disconnect.
    PipelineAndDisconnect,
    IncompleteBody,
}

impl Misbehavior {
    /// All bytes that such a client sends on a connection.
    fn bytes(self, id: u64, customer: u64) -> String {
        let body = "x".repeat(BODY_BYTES);
        match self {
            Misbehavior::Silence => String::new(),
            Misbehavior::IncompleteHead => request(id, customer, TIME_LEFT, 0)[..40].to_string(),
            Misbehavior::PipelineAndDisconnect => request(id, customer, TIME_LEFT, 0) + &body,
            Misbehavior::IncompleteBody => request(id, customer, TIME_LEFT, 2 * BODY_BYTES) + &body,
        }
    }
}

async fn misbehave_once(to: SocketAddr, behavior: Misbehavior, bytes: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    // The daemon may close the connection before it has read everything.
    let _ = stream.write_all(bytes.as_bytes()).await;
    if behavior != Misbehavior::PipelineAndDisconnect {
        while matches!(stream.read(&mut [0; 512]).await, Ok(length) if length > 0) {}
    }
    // With 100 bad clients, these are 400 requests per second: fewer than the endpoints can process.
    tokio::time::sleep(Duration::from_millis(250)).await;
    Ok(())
}

async fn misbehave(to: SocketAddr, behavior: Misbehavior, client: u64, until: Instant) {
    for round in 0u64.. {
        let id = 0xbad0_0000_0000_0000 | client << 32 | round;
        let bytes = behavior.bytes(id, FIRST_BAD_CUSTOMER + client);
        if timeout_at(until, misbehave_once(to, behavior, &bytes))
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Three endpoints, discovery, and a daemon with few descriptors.
async fn start_fleet(name: &'static str) -> Environment {
    Scenario::new(name).instances(3).start().await
}

async fn flood(name: &'static str, behavior: Misbehavior) {
    let fleet = start_fleet(name).await;
    let daemon = &fleet.daemon;
    let idle_descriptors = daemon.descriptors();
    let healthy_clients = HealthyClients {
        address: daemon.address,
        source: [127, 0, 0, 1].into(),
        requests_per_second: 40.0,
        duration: FLOOD_DURATION,
        new_connection_fraction: 0.5,
        customers: 10,
        latency_objective: Duration::from_millis(800),
        timeout: TIME_LEFT,
        seed: 5,
    };
    let until = Instant::now() + FLOOD_DURATION;
    let bad_clients: Vec<_> = (0..BAD_CLIENTS)
        .map(|client| tokio::spawn(misbehave(daemon.address, behavior, client, until)))
        .collect();
    let outcomes = healthy_clients.run().await;
    for client in bad_clients {
        client.await.expect("a bad client does not panic");
    }
    let peak_memory = daemon.peak_memory();
    let seen = format!("{behavior:?}: {outcomes:?}, peak memory {peak_memory} bytes");
    assert!(
        outcomes.lost == 0
            && outcomes.mismatched == 0
            && outcomes.failed == 0
            && outcomes.sent > 100,
        "expected each of over 100 requests to get a response of its own: {seen}"
    );
    // How many more are served depends on the machine: the requests of clients that disconnect are load until the daemon
    // notices.
    assert!(
        outcomes.served * 2 >= outcomes.sent,
        "expected half of the requests to be served: {seen}"
    );
    assert!(
        peak_memory < MEMORY_LIMIT_BYTES,
        "expected less than {MEMORY_LIMIT_BYTES} bytes: {seen}"
    );
    wait_until("descriptors of bad clients are closed", || {
        daemon.descriptors() <= idle_descriptors + 16
    })
    .await;
    assert!(
        !daemon.log().iter().any(|line| line.contains("last-resort")),
        "expected no last resort in the log: {seen}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn healthy_clients_are_served_beside_silent_connections() {
    flood("floods-silence", Misbehavior::Silence).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn healthy_clients_are_served_beside_incomplete_heads() {
    flood("floods-heads", Misbehavior::IncompleteHead).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn healthy_clients_are_served_beside_clients_that_pipeline_and_disconnect() {
    flood("floods-pipeline", Misbehavior::PipelineAndDisconnect).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn healthy_clients_are_served_beside_incomplete_bodies() {
    flood("floods-bodies", Misbehavior::IncompleteBody).await;
}

/// Sends the first request of a connection `delay` after connecting, without looking at the connection before. Returns the
/// status code, or `None` if the request has no response.
async fn status_of_delayed_request(to: SocketAddr, id: u64, delay: Duration) -> Option<String> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    tokio::time::sleep(delay).await;
    // The daemon may have closed the connection; its response can still be read.
    let text = request(id, DELAYED_CUSTOMER, TIME_LEFT, 0);
    let _ = stream.write_all(text.as_bytes()).await;
    let mut unread = Vec::new();
    let response = http::read(&mut stream, &mut unread, Kind::Response);
    let response = timeout(RESPONSE_TIMEOUT, response).await.ok()?.ok()??;
    Some(response.status().to_string())
}

/// The clients begin their requests in the moments in which the daemon evicts new connections, so that some requests
/// arrive right before the close and others right after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_cross_the_eviction_of_their_new_connection_are_answered() {
    let fleet = start_fleet("floods-crossing").await;
    let address = fleet.daemon.address;
    let until = Instant::now() + FLOOD_DURATION;
    let bad_clients: Vec<_> = (0..BAD_CLIENTS)
        .map(|client| {
            tokio::spawn(misbehave(
                address,
                Misbehavior::IncompleteBody,
                client,
                until,
            ))
        })
        .collect();
    let mut responses = JoinSet::new();
    for number in 0..DELAYED_REQUESTS {
        let spread = DELAY_SPREAD * (number % DELAY_STEPS) / DELAY_STEPS;
        let id = 0xde1a_0000_0000_0000 | u64::from(number);
        responses.spawn(status_of_delayed_request(address, id, MIN_DELAY + spread));
        tokio::time::sleep(FLOOD_DURATION / DELAYED_REQUESTS).await;
    }
    let mut counts = BTreeMap::new();
    while let Some(status) = responses.join_next().await {
        *counts
            .entry(status.expect("a client does not panic"))
            .or_insert(0) += 1;
    }
    for client in bad_clients {
        client.await.expect("a bad client does not panic");
    }
    assert!(
        !counts.contains_key(&None),
        "expected each of {DELAYED_REQUESTS} requests to get a response, statuses: {counts:?}"
    );
}

/// All clients connect and send while the process is suspended: more than the daemon has descriptors for, and all requests
/// are in the kernel's accept queue when the first connection is accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_in_the_accept_queue_are_answered_when_more_clients_connect_than_descriptors_allow(
) {
    let fleet = start_fleet("floods-kernel").await;
    for round in 0..3u64 {
        fleet.daemon.pause();
        let mut clients = Vec::new();
        for number in 0..2 * BAD_CLIENTS {
            let mut client = connect_to(&fleet.daemon).await;
            let id = 0xf00d_0000_0000_0000 | round << 32 | number;
            send_request(&mut client, id, FIRST_BAD_CUSTOMER + number, 0).await;
            clients.push(client);
        }
        fleet.daemon.resume();
        let mut unanswered = 0;
        for client in &mut clients {
            let mut status_line = [0; 12];
            let read = timeout(RESPONSE_TIMEOUT, client.read_exact(&mut status_line)).await;
            if !matches!(read, Ok(Ok(_))) {
                unanswered += 1;
            }
        }
        assert_eq!(
            unanswered,
            0,
            "requests without a response, of {} in round {round}",
            clients.len()
        );
    }
}
