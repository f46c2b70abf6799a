//! Service clients: healthy ones that ask at times drawn ahead, and slow ones.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::http::{self, Kind};

/// One request's head, and its body where it has one.
pub fn request(id: u64, customer: u64, left: Duration, body: usize) -> String {
    let (method, length) = match body {
        0 => ("GET", String::new()),
        n => ("POST", format!("Content-Length: {n}\r\n")),
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
         X-Service-Class: limit-check\r\nX-Contract: shop\r\nX-Client-Id: {customer:016x}\r\n\
         X-Time-Left-Ms: {}\r\nX-Metering: units=1,spread=1,first=0\r\n{length}\r\n",
        left.as_millis()
    )
}

/// A connection from an address of its own, with a receive buffer of so many bytes where one is named.
///
/// # Errors
///
/// What the system says.
pub async fn connect(to: SocketAddr, from: IpAddr, receive: Option<u32>) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    // Many connections to one port: without it, the system runs out of ports for the source address.
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = receive {
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(SocketAddr::new(from, 0))?;
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// What became of the commands of healthy clients.
#[derive(Debug)]
pub struct Outcomes {
    /// From the intended send time to the last byte of the answer, in microseconds, of those served.
    pub latency: Histogram<u64>,
    /// Commands that were to be sent.
    pub sent: u64,
    /// Served within the time wanted.
    pub in_time: u64,
    /// Served at all.
    pub served: u64,
    /// Refused: 429 or 503.
    pub refused: u64,
    /// Failed, with an answer.
    pub failed: u64,
    /// Without a whole answer.
    pub lost: u64,
    /// Answers that were made for another request.
    pub mismatched: u64,
}

impl Default for Outcomes {
    fn default() -> Self {
        // A minute is longer than any client waits, so the bounds are never wrong.
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("sound bounds");
        Outcomes {
            latency,
            sent: 0,
            in_time: 0,
            served: 0,
            refused: 0,
            failed: 0,
            lost: 0,
            mismatched: 0,
        }
    }
}

impl Outcomes {
    /// Share served within the time wanted.
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }
}

/// Healthy clients.
#[derive(Clone, Debug)]
pub struct HealthyClients {
    /// The daemon.
    pub address: SocketAddr,
    /// Their address.
    pub source: IpAddr,
    /// Commands a second, drawn by a Poisson process.
    pub requests_per_second: f64,
    /// For so long.
    pub duration: Duration,
    /// Share on a new connection each; the others keep theirs.
    pub new_connection_fraction: f64,
    /// Customers, equally often.
    pub customers: u64,
    /// Wanted within.
    pub wanted: Duration,
    /// Given up after.
    pub timeout: Duration,
    /// Seed of all that is drawn.
    pub seed: u64,
}

impl HealthyClients {
    /// Plays them, and returns when the last one has its answer or gave up.
    pub async fn run(self) -> Outcomes {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let (outcomes, kept) = (
            Arc::new(Mutex::new(Outcomes::default())),
            Arc::new(Mutex::new(Vec::new())),
        );
        let (start, mut at) = (Instant::now(), Duration::ZERO);
        let mut tasks = Vec::new();
        let this = Arc::new(self);
        for number in 0u64.. {
            // Drawn ahead: an answer that is late delays nobody's request.
            at += Duration::from_secs_f64(
                -rng.random::<f64>().max(1e-12).ln() / this.requests_per_second,
            );
            if at > this.duration {
                break;
            }
            let (fresh, customer) = (
                rng.random_bool(this.new_connection_fraction),
                rng.random_range(1..=this.customers),
            );
            let id = this.seed << 32 | number;
            let intended = start + at;
            tokio::time::sleep_until(intended).await;
            let (this, outcomes, kept) = (this.clone(), outcomes.clone(), kept.clone());
            tasks.push(tokio::spawn(async move {
                let one = this.one(id, customer, intended, fresh, &kept);
                let result = tokio::time::timeout_at(intended + this.timeout, one).await;
                outcomes
                    .lock()
                    .await
                    .note(result.unwrap_or(Err(io::ErrorKind::TimedOut.into())), &this);
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        let mut outcomes = outcomes.lock().await;
        std::mem::take(&mut *outcomes)
    }

    async fn one(
        &self,
        id: u64,
        customer: u64,
        intended: Instant,
        fresh: bool,
        kept: &Mutex<Vec<TcpStream>>,
    ) -> io::Result<(String, bool, Duration)> {
        let left = self.timeout.saturating_sub(intended.elapsed());
        let text = request(id, customer, left, 0);
        for again in [true, false] {
            let pooled = if fresh || !again {
                None
            } else {
                kept.lock().await.pop()
            };
            let old = pooled.is_some();
            let mut stream = match pooled {
                Some(stream) => stream,
                None => connect(self.address, self.source, None).await?,
            };
            let sent = stream.write_all(text.as_bytes()).await;
            let answer = match sent {
                Ok(()) => http::read(&mut stream, &mut Vec::new(), Kind::Response).await,
                Err(e) => Err(e),
            };
            match answer {
                Ok(Some(answer)) => {
                    let own = answer.body.starts_with(format!("{id:016x}").as_bytes());
                    let took = intended.elapsed();
                    if !fresh && !answer.closes() {
                        kept.lock().await.push(stream);
                    }
                    return Ok((answer.first.0, own, took));
                }
                // The daemon may close between requests; where that crosses a request, it is sent once more.
                Ok(None) | Err(_) if old && again => {}
                Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Err(e) => return Err(e),
            }
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

impl Outcomes {
    fn note(&mut self, result: io::Result<(String, bool, Duration)>, of: &HealthyClients) {
        self.sent += 1;
        match result {
            Ok((status, own, took)) if status == "200" => {
                self.mismatched += u64::from(!own);
                self.served += 1;
                self.in_time += u64::from(own && took <= of.wanted);
                self.latency.saturating_record(took.as_micros() as u64);
            }
            Ok((status, ..)) if status == "429" || status == "503" => self.refused += 1,
            Ok(_) => self.failed += 1,
            Err(_) => self.lost += 1,
        }
    }
}

/// Clients that read their answers slowly, or not at all, and come back when they are cut.
#[derive(Clone, Debug)]
pub struct SlowClients {
    /// The daemon.
    pub address: SocketAddr,
    /// How many.
    pub count: usize,
    /// All of them arrive within this.
    pub arrival_window: Duration,
    /// A byte each so long; none: they stop reading altogether.
    pub byte_interval: Option<Duration>,
    /// Wait before one that was cut or refused comes back.
    pub reconnect_delay: Duration,
    /// For so long.
    pub duration: Duration,
    /// The receive buffer that each asks for: a phone's, or a hostile one's.
    pub receive_buffer_bytes: u32,
    /// Sends its body slowly too, of so many bytes; 0: no body.
    pub upload_bytes: usize,
}

/// What became of slow clients.
#[derive(Debug, Default)]
pub struct SlowClientCounts {
    /// Connections that came up.
    pub connections: AtomicU64,
    /// Answers that began to come.
    pub responses_begun: AtomicU64,
    /// Connections that the daemon ended.
    pub closed_by_daemon: AtomicU64,
}

impl SlowClients {
    /// Plays them for their time.
    pub async fn run(self, seen: Arc<SlowClientCounts>) {
        let until = Instant::now() + self.duration;
        let this = Arc::new(self);
        let tasks: Vec<_> = (0..this.count)
            .map(|i| {
                let (this, seen) = (this.clone(), seen.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(this.arrival_window.mul_f64(i as f64 / this.count as f64))
                        .await;
                    let _ = tokio::time::timeout_at(until, this.one(i, &seen)).await;
                })
            })
            .collect();
        for task in tasks {
            let _ = task.await;
        }
    }

    /// From an address of its own, 50 to a /24; each is a customer.
    async fn one(&self, i: usize, seen: &SlowClientCounts) {
        let from = IpAddr::from([127, 9, (i / 50) as u8, (i % 50 + 1) as u8]);
        for round in 0u64.. {
            let id = 0xf000_0000_0000_0000 | (i as u64) << 32 | round;
            let _ = self.round(id, 1_000_000 + i as u64, from, seen).await;
            tokio::time::sleep(self.reconnect_delay).await;
        }
    }

    async fn round(
        &self,
        id: u64,
        customer: u64,
        from: IpAddr,
        seen: &SlowClientCounts,
    ) -> io::Result<()> {
        let mut stream = connect(self.address, from, Some(self.receive_buffer_bytes)).await?;
        seen.connections.fetch_add(1, Ordering::Relaxed);
        let head = request(id, customer, Duration::from_secs(3), self.upload_bytes);
        stream.write_all(head.as_bytes()).await?;
        for _ in 0..self.upload_bytes {
            stream.write_all(b".").await?;
            tokio::time::sleep(self.byte_interval.unwrap_or(self.duration)).await;
        }
        let mut byte = [0];
        let mut first = true;
        loop {
            if self.byte_interval.is_none() && !first {
                // Reads no more; only the connection's end wakes it. Nothing else is asked of the socket.
                stream.ready(tokio::io::Interest::ERROR).await?;
            }
            match stream.read(&mut byte).await {
                Ok(1) => {}
                _ => {
                    seen.closed_by_daemon.fetch_add(1, Ordering::Relaxed);
                    return Ok(());
                }
            }
            if std::mem::take(&mut first) {
                seen.responses_begun.fetch_add(1, Ordering::Relaxed);
            }
            // What was received before a reset would still be read: the end is noticed at once, as by a browser.
            tokio::select! {
                _ = stream.ready(tokio::io::Interest::ERROR) => {
                    seen.closed_by_daemon.fetch_add(1, Ordering::Relaxed);
                    return Ok(());
                }
                () = tokio::time::sleep(self.byte_interval.unwrap_or_default()) => {}
            }
        }
    }
}
