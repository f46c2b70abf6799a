//! One client that sends small requests on one connection as fast as it can: other clients are answered in time meanwhile,
//! and memory stays bounded.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use applewall_fakes::clients::{request, HealthyClients, Outcomes};
use support::daemon::{Environment, Scenario, TIME_LEFT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

const FLOOD_DURATION: Duration = Duration::from_secs(6);
/// Bytes that are written at once.
const BATCH_BYTES: usize = 64 * 1024;
/// Customers of the flood have numbers from here on, which no healthy client has.
const FIRST_FLOOD_CUSTOMER: u64 = 1_000_000;
/// Smallest memory limit of the platform, in bytes.
const MEMORY_LIMIT_BYTES: u64 = 32 << 20;
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(800);
/// Fraction of the other clients' requests that have to be served within the latency objective.
const MIN_IN_TIME_FRACTION: f64 = 0.9;

/// The requests of a flood.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Without any of the headers that a request needs.
    WithoutHeaders,
    /// Of a class that does not exist.
    UnknownClass,
    /// Health checks.
    HealthChecks,
    /// Sound requests, each of a new customer.
    NewCustomers,
}

impl Flood {
    fn request(self, number: u64) -> String {
        let id = 0xf100_0000_0000_0000 | number;
        match self {
            Flood::WithoutHeaders => "GET /api HTTP/1.1\r\nHost: a\r\n\r\n".to_string(),
            Flood::UnknownClass => request(id, FIRST_FLOOD_CUSTOMER, TIME_LEFT, 0)
                .replace("limit-check", "unknown-class"),
            Flood::HealthChecks => "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".to_string(),
            Flood::NewCustomers => request(id, FIRST_FLOOD_CUSTOMER + number, TIME_LEFT, 0),
        }
    }

    /// Requests with these numbers and the following ones, in one text.
    fn batch(self, next_number: &mut u64) -> String {
        let mut batch = String::new();
        while batch.len() < BATCH_BYTES {
            batch += &self.request(*next_number);
            *next_number += 1;
        }
        batch
    }

    /// Writes requests as fast as the daemon reads them, and reads the responses; reconnects if the daemon closes.
    async fn run(self, to: SocketAddr) {
        let mut next_number = 0;
        loop {
            if let Ok(stream) = TcpStream::connect(to).await {
                self.run_connection(stream, &mut next_number).await;
            }
        }
    }

    async fn run_connection(self, stream: TcpStream, next_number: &mut u64) {
        let (mut reading, mut writing) = stream.into_split();
        let discard = async move {
            let mut buffer = vec![0; BATCH_BYTES];
            while matches!(reading.read(&mut buffer).await, Ok(bytes) if bytes > 0) {}
        };
        let send = async {
            while writing
                .write_all(self.batch(next_number).as_bytes())
                .await
                .is_ok()
            {}
        };
        tokio::select! {
            () = discard => {}
            () = send => {}
        }
    }
}

/// Outcomes of other clients beside a flood.
async fn outcomes_beside(environment: &Environment, flood: Flood) -> Outcomes {
    let address = environment.daemon.address;
    let flood = tokio::spawn(timeout_at(
        Instant::now() + FLOOD_DURATION,
        flood.run(address),
    ));
    let outcomes = HealthyClients {
        address,
        source: [127, 0, 0, 1].into(),
        requests_per_second: 40.0,
        duration: FLOOD_DURATION,
        new_connection_fraction: 0.5,
        customers: 10,
        latency_objective: LATENCY_OBJECTIVE,
        timeout: TIME_LEFT,
        seed: 5,
    }
    .run()
    .await;
    let _ = flood.await.expect("the flood does not panic");
    outcomes
}

async fn assert_others_are_served(name: &'static str, flood: Flood) {
    let environment = Scenario::new(name).instances(3).start().await;
    let outcomes = outcomes_beside(&environment, flood).await;
    let peak_memory = environment.daemon.peak_memory();
    let seen = format!(
        "{flood:?}: peak memory {peak_memory} bytes, {} of {} served in time, {} lost, median {} us, 99th percentile {} us",
        outcomes.in_time,
        outcomes.sent,
        outcomes.lost,
        outcomes.latency.value_at_quantile(0.5),
        outcomes.latency.value_at_quantile(0.99),
    );
    println!("{seen}");
    assert_eq!(outcomes.lost, 0, "{seen}");
    assert!(
        outcomes.in_time_fraction() >= MIN_IN_TIME_FRACTION,
        "{seen}"
    );
    assert!(peak_memory < MEMORY_LIMIT_BYTES, "{seen}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn others_are_served_beside_a_flood_of_requests_without_headers_on_one_connection() {
    assert_others_are_served("flood-headers", Flood::WithoutHeaders).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn others_are_served_beside_a_flood_of_requests_of_an_unknown_class_on_one_connection() {
    assert_others_are_served("flood-class", Flood::UnknownClass).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn others_are_served_beside_a_flood_of_health_checks_on_one_connection() {
    assert_others_are_served("flood-health", Flood::HealthChecks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn others_are_served_beside_a_flood_of_requests_under_ever_new_names_on_one_connection() {
    assert_others_are_served("flood-names", Flood::NewCustomers).await;
}
