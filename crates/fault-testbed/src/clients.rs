//! The clients of a trial. They send requests at random times to the ingresses of each customer, and retry some rejected ones.
//!
//! Input: the behavior of the clients, the ingresses' addresses, a seed. Output: journal entries on each request.
//! Invariant: the load is open-loop, the times of requests are drawn in advance and do not depend on responses.

mod exchange;
mod shutdown;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::journal::{Event, Journal};
use crate::network::Network;

/// Distance between the first ingresses of consecutive customers: a prime, so that customers are distributed over all ingresses.
const CUSTOMER_STRIDE: usize = 7919;
/// Minimum wait before a retry: with a `Retry-After` of zero the client would retry in a tight loop.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(20);
/// Wait before a retry if the response has no `Retry-After`, in seconds.
const DEFAULT_RETRY_SECONDS: f64 = 0.05;
/// A response that comes this long after its deadline earns nothing, but is not lost; a process that is held up for a moment
/// cannot be in time.
const LATE_RESPONSE: Duration = Duration::from_millis(500);
/// Time after which a client that sent half a request gives up: longer than the rules allow the ingress to wait for the rest.
const HALF_REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which a client that leaves early closes its connection.
const LEAVE_DELAY: Duration = Duration::from_millis(30);
/// Maximum wait before a retry, in seconds, whatever the `Retry-After` of the response is.
const MAX_RETRY_SECONDS: f64 = 60.0;

/// Request rate and behavior of the clients.
#[derive(Clone, Copy, Debug)]
pub struct ClientBehavior {
    /// Mean requests per second at each ingress; arrivals are a Poisson process.
    pub requests_per_second: f64,
    /// Number of customers; each request is sent by a random one.
    pub customers: u64,
    /// Number of ingresses that each customer uses.
    pub ingresses_per_customer: usize,
    /// Probability that a rejected request is retried, once.
    pub retry_probability: f64,
    /// Probability that a client closes its connection before it receives the response.
    pub leave_probability: f64,
    /// Probability that a client sends half a request and keeps its connection open.
    pub half_probability: f64,
    /// Time after which a client gives up on a response.
    pub timeout: Duration,
}

/// The clients and their idle connections.
pub struct Clients {
    behavior: ClientBehavior,
    addresses: Vec<SocketAddr>,
    /// Idle connections by ingress.
    idle_connections: Vec<Mutex<Vec<TcpStream>>>,
    network: Network,
    journal: Journal,
    next_id: AtomicU64,
}

/// A customer and the consecutive ingresses that it uses.
#[derive(Clone, Copy)]
struct Customer {
    id: u64,
    first_ingress: usize,
    ingresses: usize,
}

impl Clients {
    /// Clients of the ingresses at these addresses.
    pub fn new(
        behavior: ClientBehavior,
        addresses: Vec<SocketAddr>,
        network: &Network,
        journal: &Journal,
    ) -> Arc<Self> {
        Arc::new(Clients {
            behavior,
            idle_connections: addresses.iter().map(|_| Mutex::default()).collect(),
            addresses,
            network: network.clone(),
            journal: journal.clone(),
            next_id: AtomicU64::new(1),
        })
    }

    /// Sends requests for this time; returns once each of them has its response or has timed out.
    pub async fn run(self: Arc<Self>, time: Duration, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rate = self.behavior.requests_per_second * self.addresses.len() as f64;
        let started = Instant::now();
        let (mut at, mut tasks) = (Duration::ZERO, tokio::task::JoinSet::new());
        loop {
            let gap = -rng.random::<f64>().max(1e-12).ln() / rate.max(1e-9);
            at += Duration::from_secs_f64(gap.min(1e6));
            if at >= time {
                break;
            }
            tokio::time::sleep_until(started + at).await;
            let request_rng = SmallRng::seed_from_u64(rng.random());
            tasks.spawn(self.clone().request_with_retry(request_rng));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn request_with_retry(self: Arc<Self>, mut rng: SmallRng) {
        let id = rng.random_range(0..self.behavior.customers.max(1));
        let count = self.addresses.len();
        let customer = Customer {
            id,
            first_ingress: (id as usize).wrapping_mul(CUSTOMER_STRIDE) % count,
            ingresses: self.behavior.ingresses_per_customer.clamp(1, count),
        };
        let mut ingress =
            || (customer.first_ingress + rng.random_range(0..customer.ingresses)) % count;
        let (first, retried) = (ingress(), ingress());
        if rng.random_bool(self.behavior.half_probability) {
            return self.send_half_request(first, customer).await;
        }
        if rng.random_bool(self.behavior.leave_probability) {
            return self.request_and_leave(first, customer).await;
        }
        let Some(wait) = self.request(first, customer).await else {
            return;
        };
        if rng.random_bool(self.behavior.retry_probability) {
            let wait = wait.max(MIN_RETRY_WAIT);
            tokio::time::sleep(wait.mul_f64(rng.random_range(1.0..1.5))).await;
            let _ = self.request(retried, customer).await;
        }
    }

    /// Sends half a request and waits until the ingress closes the connection.
    async fn send_half_request(&self, ingress: usize, customer: Customer) {
        let request = self.next_request(ingress, customer);
        let Ok(mut stream) = TcpStream::connect(self.addresses[ingress]).await else {
            return;
        };
        let half = &request.text.as_bytes()[..request.text.len() / 2];
        let started = Instant::now();
        if stream.write_all(half).await.is_err() {
            return;
        }
        let mut response = Vec::new();
        let ended = stream.read_to_end(&mut response);
        let _ = tokio::time::timeout(HALF_REQUEST_TIMEOUT, ended).await;
        self.journal.record(Event::HalfRequestEnded {
            ingress,
            seconds: started.elapsed().as_secs_f64(),
        });
    }

    /// Sends a request and closes its connection after [`LEAVE_DELAY`], unless there is a response by then.
    async fn request_and_leave(&self, ingress: usize, customer: Customer) {
        let request = self.next_request(ingress, customer);
        let Ok(mut stream) = TcpStream::connect(self.addresses[ingress]).await else {
            return;
        };
        let mut sent = false;
        let exchange = self.exchange_on(&mut stream, &request, &mut sent);
        let response = tokio::time::timeout(LEAVE_DELAY, exchange).await;
        if let Ok(Ok(Some(message))) = &response {
            self.journal.record(Event::ResponseReceived {
                request: request.id,
                status: message.status().parse().ok(),
            });
        } else if sent {
            drop(stream);
            self.journal.record(Event::ClientLeft {
                request: request.id,
            });
        }
    }

    /// Sends a request and waits for its response; if that is a rejection, returns the time to wait before a retry.
    async fn request(&self, ingress: usize, customer: Customer) -> Option<Duration> {
        let request = self.next_request(ingress, customer);
        let deadline = Instant::now() + self.behavior.timeout + LATE_RESPONSE;
        let mut sent = false;
        let response = tokio::time::timeout_at(deadline, self.exchange(&request, &mut sent)).await;
        if !sent {
            self.journal.record(Event::ConnectFailed {
                request: request.id,
                ingress,
            });
            return None;
        }
        let response = response.ok().and_then(Result::ok);
        let status = response
            .as_ref()
            .and_then(|response| response.status().parse().ok());
        self.journal.record(Event::ResponseReceived {
            request: request.id,
            status,
        });
        let wait = response
            .as_ref()
            .and_then(|response| response.header("retry-after")?.parse::<f64>().ok())
            .unwrap_or(DEFAULT_RETRY_SECONDS)
            .clamp(0.0, MAX_RETRY_SECONDS);
        matches!(status, Some(429 | 503)).then(|| Duration::from_secs_f64(wait))
    }
}
