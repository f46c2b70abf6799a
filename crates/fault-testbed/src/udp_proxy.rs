//! UDP proxy: forwards datagrams between ingresses and applies the condition of the links between them.
//!
//! Each ingress has one proxy socket, whose address its peers know. A datagram from ingress `i` to `j` arrives at the proxy
//! socket of `j` and is sent from that of `i`, so that the receiver sees the address of a known peer. The platform limits the
//! datagrams per second that an ingress receives; the proxy drops the excess in its place.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::journal::{Event, Journal};
use crate::network::{Link, LinkCondition, Network};
use crate::topology::Component;

/// The platform's limit on the length of a datagram; longer ones are dropped.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Larger than any datagram that an ingress sends, so that reading truncates none.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// Interval of the journal entries on received datagrams.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Datagrams to one ingress since the last journal entry.
#[derive(Default)]
struct Counts {
    accepted: AtomicU64,
    dropped: AtomicU64,
}

/// The proxy sockets of all ingresses.
pub struct UdpProxy {
    sockets: Vec<Arc<UdpSocket>>,
}

impl UdpProxy {
    /// Binds a socket on an ephemeral port of each of these addresses.
    ///
    /// # Errors
    ///
    /// Errors of the sockets.
    pub async fn bind(addresses: impl Iterator<Item = IpAddr>) -> io::Result<Self> {
        let mut sockets = Vec::new();
        for address in addresses {
            sockets.push(Arc::new(UdpSocket::bind((address, 0)).await?));
        }
        Ok(UdpProxy { sockets })
    }

    /// The addresses of the sockets, by ingress.
    ///
    /// # Errors
    ///
    /// Errors of the sockets.
    pub fn addresses(&self) -> io::Result<Vec<SocketAddr>> {
        self.sockets
            .iter()
            .map(|socket| socket.local_addr())
            .collect()
    }

    /// Spawns the tasks that forward datagrams between the ingresses at these addresses.
    pub fn forward(
        self,
        ingress_addresses: Vec<SocketAddr>,
        network: &Network,
        max_per_second: f64,
        seed: u64,
        journal: &Journal,
        tasks: &mut JoinSet<()>,
    ) {
        let (sockets, addresses) = (Arc::new(self.sockets), Arc::new(ingress_addresses));
        for receiver in 0..sockets.len() {
            let counts = Arc::new(Counts::default());
            tasks.spawn(record(receiver, counts.clone(), journal.clone()));
            let link =
                |sender| network.link(Component::Ingress(sender), Component::Ingress(receiver));
            let forwarder = Forwarder {
                receiver,
                sockets: sockets.clone(),
                links: (0..addresses.len()).map(link).collect(),
                addresses: addresses.clone(),
                counts,
                rng: SmallRng::seed_from_u64(seed ^ (receiver as u64) << 32),
                max_per_second,
                allowance: max_per_second,
                refilled: Instant::now(),
                delayed: JoinSet::new(),
            };
            tasks.spawn(forwarder.run());
        }
    }
}

/// Forwards datagrams to one ingress.
struct Forwarder {
    receiver: usize,
    sockets: Arc<Vec<Arc<UdpSocket>>>,
    addresses: Arc<Vec<SocketAddr>>,
    /// Links to the receiver, by sender.
    links: Vec<Link>,
    counts: Arc<Counts>,
    rng: SmallRng,
    max_per_second: f64,
    /// Datagrams that the receiver may still receive now: the tokens of its rate limit.
    allowance: f64,
    refilled: Instant,
    /// Datagrams in transit on a link with a delay.
    delayed: JoinSet<()>,
}

impl Forwarder {
    async fn run(mut self) {
        let socket = self.sockets[self.receiver].clone();
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let sender = self.addresses.iter().position(|address| *address == from);
            let Some(sender) = sender else {
                continue;
            };
            let condition = self.links[sender].condition();
            let copies = 1 + usize::from(self.rng.random_bool(condition.duplication));
            for _ in 0..copies {
                self.deliver(&buffer[..length], sender, &condition);
            }
        }
    }

    /// Delivers a datagram immediately or after the link's delay, unless the link loses it or it exceeds the receiver's limits.
    fn deliver(&mut self, datagram: &[u8], sender: usize, condition: &LinkCondition) {
        if datagram.len() > MAX_DATAGRAM_BYTES
            || condition.silent
            || self.rng.random_bool(condition.loss)
            || !self.accept()
        {
            return;
        }
        let length = if self.rng.random_bool(condition.truncation) {
            datagram.len() / 2
        } else {
            datagram.len()
        };
        let delay = condition.delay + condition.jitter.mul_f64(self.rng.random());
        let (socket, to) = (self.sockets[sender].clone(), self.addresses[self.receiver]);
        if delay.is_zero() {
            let _ = socket.try_send_to(&datagram[..length], to);
            return;
        }
        let datagram = datagram[..length].to_vec();
        while self.delayed.try_join_next().is_some() {}
        self.delayed.spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&datagram, to).await;
        });
    }

    /// Takes a datagram from the receiver's rate limit and counts it; returns false if it exceeds the limit.
    fn accept(&mut self) -> bool {
        let refill = self.refilled.elapsed().as_secs_f64() * self.max_per_second;
        self.allowance = (self.allowance + refill).min(self.max_per_second);
        self.refilled = Instant::now();
        if self.allowance < 1.0 {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.allowance -= 1.0;
        self.counts.accepted.fetch_add(1, Ordering::Relaxed);
        true
    }
}

/// Records the counts of an ingress once a second unless both are zero.
async fn record(ingress: usize, counts: Arc<Counts>, journal: Journal) {
    loop {
        tokio::time::sleep(RECORD_INTERVAL).await;
        let accepted = counts.accepted.swap(0, Ordering::Relaxed);
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if accepted + dropped > 0 {
            journal.record(Event::DatagramsReceived {
                ingress,
                accepted,
                dropped,
            });
        }
    }
}

#[cfg(test)]
mod tests;
