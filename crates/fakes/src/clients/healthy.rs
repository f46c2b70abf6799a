//! Healthy clients: they send at random times and read responses without delay.
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::connect;
use crate::http::{self, Kind, Message};

/// Highest latency that is recorded; longer than the timeout of any client.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Outcomes of the requests of healthy clients.
#[derive(Debug)]
pub struct Outcomes {
    /// Latency of served requests in microseconds, from the scheduled send time to the last byte of the response.
    pub latency: Histogram<u64>,
    /// All requests, including those whose connection attempt failed.
    pub sent: u64,
    /// Served within the latency objective.
    pub in_time: u64,
    /// Served: status 200.
    pub served: u64,
    /// Rejected: status 429 or 503.
    pub rejected: u64,
    /// Failed: a response with another status.
    pub failed: u64,
    /// Requests without a complete response before the timeout.
    pub lost: u64,
    /// Served requests whose response was for another request.
    pub mismatched: u64,
}

impl Default for Outcomes {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("valid bounds");
        Outcomes {
            latency,
            sent: 0,
            in_time: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            lost: 0,
            mismatched: 0,
        }
    }
}

impl Outcomes {
    /// Fraction served within the latency objective.
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }

    fn add(&mut self, result: io::Result<Response>, latency_objective: Duration) {
        self.sent += 1;
        match result {
            Ok(response) if response.status == "200" => {
                let Response {
                    matches, latency, ..
                } = response;
                self.mismatched += u64::from(!matches);
                self.served += 1;
                self.in_time += u64::from(matches && latency <= latency_objective);
                self.latency.saturating_record(latency.as_micros() as u64);
            }
            Ok(response) if response.status == "429" || response.status == "503" => {
                self.rejected += 1;
            }
            Ok(_) => self.failed += 1,
            Err(_) => self.lost += 1,
        }
    }
}

/// Load of healthy clients.
#[derive(Clone, Debug)]
pub struct HealthyClients {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Source address of the clients.
    pub source: IpAddr,
    /// Mean rate of a Poisson process.
    pub requests_per_second: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Fraction of requests that open a connection of their own; the others reuse connections.
    pub new_connection_fraction: f64,
    /// Number of customers; each request is from a random one.
    pub customers: u64,
    /// A response within this time counts as in time.
    pub latency_objective: Duration,
    /// Time after which a client gives up on a response.
    pub timeout: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// A request, with the time at which it is to be sent.
struct Request {
    id: u64,
    customer: u64,
    scheduled_at: Instant,
    new_connection: bool,
}

/// A response to a request.
struct Response {
    status: String,
    /// Whether it is the response to this request, not to another one.
    matches: bool,
    /// Time from the scheduled send time of the request to the last byte of the response.
    latency: Duration,
}

/// Connections that can be reused.
type IdleConnections = Mutex<Vec<TcpStream>>;

impl HealthyClients {
    /// Sends the requests; returns when each one has its response or has timed out.
    pub async fn run(self) -> Outcomes {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let outcomes = Arc::new(Mutex::new(Outcomes::default()));
        let idle = Arc::new(IdleConnections::default());
        let (start, mut at) = (Instant::now(), Duration::ZERO);
        let mut tasks = JoinSet::new();
        let clients = Arc::new(self);
        for number in 0u64.. {
            let gap = -rng.random::<f64>().max(1e-12).ln() / clients.requests_per_second;
            at += Duration::from_secs_f64(gap);
            if at > clients.duration {
                break;
            }
            let request = Request {
                new_connection: rng.random_bool(clients.new_connection_fraction),
                customer: rng.random_range(1..=clients.customers),
                id: clients.seed << 32 | number,
                scheduled_at: start + at,
            };
            tokio::time::sleep_until(request.scheduled_at).await;
            let (clients, outcomes, idle) = (clients.clone(), outcomes.clone(), idle.clone());
            tasks.spawn(async move {
                let deadline = request.scheduled_at + clients.timeout;
                let response =
                    tokio::time::timeout_at(deadline, clients.send(&request, &idle)).await;
                let response = response.unwrap_or(Err(io::ErrorKind::TimedOut.into()));
                outcomes
                    .lock()
                    .await
                    .add(response, clients.latency_objective);
            });
        }
        while tasks.join_next().await.is_some() {}
        let mut outcomes = outcomes.lock().await;
        std::mem::take(&mut *outcomes)
    }

    async fn send(&self, request: &Request, idle: &IdleConnections) -> io::Result<Response> {
        let time_left = self.timeout.saturating_sub(request.scheduled_at.elapsed());
        let text = super::request(request.id, request.customer, time_left, 0);
        let reused = if request.new_connection {
            None
        } else {
            idle.lock().await.pop()
        };
        let reused = match reused {
            None => None,
            // The daemon may close an idle connection while a request is in flight: the request is sent again on a new
            // connection.
            Some(mut stream) => match exchange(&mut stream, &text).await {
                Ok(Some(message)) => Some((stream, message)),
                Ok(None) | Err(_) => None,
            },
        };
        let (stream, message) = match reused {
            Some(reused) => reused,
            None => {
                let mut stream = connect(self.address, self.source, None).await?;
                let message = exchange(&mut stream, &text).await?;
                (stream, message.ok_or(io::ErrorKind::UnexpectedEof)?)
            }
        };
        let response = Response {
            status: message.status().to_string(),
            matches: message
                .body
                .starts_with(format!("{:016x}", request.id).as_bytes()),
            latency: request.scheduled_at.elapsed(),
        };
        if !request.new_connection && !message.closes() {
            idle.lock().await.push(stream);
        }
        Ok(response)
    }
}

/// Writes a request and reads its response; `None` if the connection is closed before the response begins.
async fn exchange(stream: &mut TcpStream, text: &str) -> io::Result<Option<Message>> {
    stream.write_all(text.as_bytes()).await?;
    http::read(stream, &mut Vec::new(), Kind::Response).await
}
