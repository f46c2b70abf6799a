//! Clients of a trial: requests at times drawn ahead, at the ingresses of each customer's set; some come again.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use applewall_fakes::http::{self, Kind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::journal::{Journal, What};
use crate::net::Net;
use crate::parts::Part;

/// What clients do.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    /// Requests a second at each ingress on the mean, by a Poisson process.
    pub rate: f64,
    /// Customers, equally often.
    pub customers: u64,
    /// Ingresses that each customer uses.
    pub spread: usize,
    /// Chance that a refused request comes again, once.
    pub again: f64,
    /// Given up after.
    pub patience: Duration,
}

/// The ingresses as clients reach them.
pub struct Clients {
    habits: Habits,
    doors: Vec<SocketAddr>,
    kept: Vec<Mutex<Vec<TcpStream>>>,
    net: Net,
    journal: Journal,
    ids: AtomicU64,
}

impl Clients {
    /// Clients of these ingresses.
    pub fn new(habits: Habits, doors: Vec<SocketAddr>, net: &Net, journal: &Journal) -> Arc<Self> {
        let kept = doors.iter().map(|_| Mutex::default()).collect();
        Arc::new(Clients {
            habits,
            doors,
            kept,
            net: net.clone(),
            journal: journal.clone(),
            ids: AtomicU64::new(1),
        })
    }

    /// Asks for so long. Arrivals never wait for answers; returns once the last one is answered or given up.
    pub async fn play(self: Arc<Self>, time: Duration, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rate = self.habits.rate * self.doors.len() as f64;
        let begin = Instant::now();
        let (mut at, mut tasks) = (Duration::ZERO, tokio::task::JoinSet::new());
        loop {
            let gap = -rng.random::<f64>().max(1e-12).ln() / rate.max(1e-9);
            at += Duration::from_secs_f64(gap.min(1e6));
            if at >= time {
                break;
            }
            tokio::time::sleep_until(begin + at).await;
            let one = SmallRng::seed_from_u64(rng.random());
            tasks.spawn(self.clone().ask(one));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn ask(self: Arc<Self>, mut rng: SmallRng) {
        let customer = rng.random_range(0..self.habits.customers.max(1));
        let n = self.doors.len();
        let spread = self.habits.spread.clamp(1, n);
        let first = (customer as usize).wrapping_mul(7919) % n;
        let mut ingress = || (first + rng.random_range(0..spread)) % n;
        let (one, other) = (ingress(), ingress());
        if let Some(wait) = self.once(one, customer, first, spread).await {
            if rng.random_bool(self.habits.again) {
                tokio::time::sleep(
                    wait.max(Duration::from_millis(20))
                        .mul_f64(rng.random_range(1.0..1.5)),
                )
                .await;
                let _ = self.once(other, customer, first, spread).await;
            }
        }
    }

    /// One request; where it is refused, when to come again.
    async fn once(
        &self,
        ingress: usize,
        customer: u64,
        first: usize,
        spread: usize,
    ) -> Option<Duration> {
        let request = self.ids.fetch_add(1, Ordering::Relaxed);
        let patience = self.habits.patience;
        let text = format!(
            "GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {request:016x}\r\n\
             X-Service-Class: limit-check\r\nX-Contract: shop\r\nX-Client-Id: {customer:016x}\r\n\
             X-Time-Left-Ms: {}\r\nX-Metering: units=1,spread={spread},first={first}\r\n\r\n",
            patience.as_millis()
        );
        let sent = Instant::now();
        let mut asked = false;
        let one = self.exchange(request, ingress, customer, &text, &mut asked);
        let answer = tokio::time::timeout_at(sent + patience, one).await;
        if !asked {
            self.journal.note(What::Unreached { request, ingress });
            return None;
        }
        let answer = answer.ok().and_then(Result::ok);
        let status = answer.as_ref().and_then(|a| a.first.0.parse().ok());
        self.journal.note(What::Final { request, status });
        let refused = matches!(status, Some(429 | 503));
        let wait = answer
            .as_ref()
            .and_then(|a| a.header("retry-after")?.parse::<f64>().ok());
        refused.then(|| Duration::from_secs_f64(wait.unwrap_or(0.05).clamp(0.0, 60.0)))
    }

    async fn exchange(
        &self,
        request: u64,
        ingress: usize,
        customer: u64,
        text: &str,
        asked: &mut bool,
    ) -> io::Result<http::Message> {
        let mut there = self.net.link(Part::Client, Part::Ingress(ingress));
        let mut back = self.net.link(Part::Ingress(ingress), Part::Client);
        there.until(|c| !c.silent).await;
        tokio::time::sleep(there.now().delay).await;
        if there.now().reset {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let pool = || {
            self.kept[ingress]
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner)
        };
        let mut kept = true;
        loop {
            let pooled = if kept { pool().pop() } else { None };
            let old = pooled.is_some();
            let mut stream = match pooled {
                Some(stream) => stream,
                None => TcpStream::connect(self.doors[ingress]).await?,
            };
            let _ = stream.set_nodelay(true);
            let answer = match stream.write_all(text.as_bytes()).await {
                Ok(()) => {
                    if !std::mem::replace(asked, true) {
                        self.journal.note(What::Asked {
                            request,
                            ingress,
                            customer,
                        });
                    }
                    http::read(&mut stream, &mut Vec::new(), Kind::Answer).await
                }
                Err(e) => Err(e),
            };
            match answer {
                Ok(Some(answer)) => {
                    back.until(|c| !c.silent).await;
                    tokio::time::sleep(back.now().delay).await;
                    if !answer.closes() {
                        pool().push(stream);
                    }
                    return Ok(answer);
                }
                // An ingress may close between requests; where that crosses one, it is sent once more.
                Ok(None) | Err(_) if old => (kept, *asked) = (false, false),
                Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Err(e) => return Err(e),
            }
        }
    }
}
