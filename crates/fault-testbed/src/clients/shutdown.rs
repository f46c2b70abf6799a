//! Clients of an ingress that is told to end: they use every connection that stays open until it is closed, others rest until
//! then, and new ones come for a moment.
//!
//! Input: an ingress that runs. Output: journal entries on each request. Invariant: a request whose connection ends without a
//! response is recorded as not accepted; the checkers hold that against the attempts that arrived.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Clients, Customer};
use crate::journal::Event;

/// Connections that send one request after the other.
const BUSY_CONNECTIONS: usize = 6;
/// Connections that send one request and rest.
const RESTING_CONNECTIONS: usize = 3;
/// Time for which new connections come after SIGTERM.
pub(crate) const NEW_CONNECTIONS_TIME: Duration = Duration::from_millis(400);
/// Time between two new connections.
const NEW_CONNECTION_INTERVAL: Duration = Duration::from_millis(40);
/// Longest pause of a busy connection between a response and the next request.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// What a client does between its requests.
#[derive(Clone, Copy)]
enum Use {
    /// It sends the next one after a pause.
    Busy,
    /// It rests until its connection is closed.
    Resting,
}

impl Clients {
    /// Opens connections to an ingress and uses them until each is closed.
    pub(crate) fn open_connections_before_shutdown(
        self: &Arc<Self>,
        ingress: usize,
        seed: u64,
    ) -> JoinSet<()> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut connections = JoinSet::new();
        let busy = std::iter::repeat_n(Use::Busy, BUSY_CONNECTIONS);
        let resting = std::iter::repeat_n(Use::Resting, RESTING_CONNECTIONS);
        for usage in busy.chain(resting) {
            let rng = SmallRng::seed_from_u64(rng.random());
            connections.spawn(self.clone().use_connection(ingress, usage, rng));
        }
        connections
    }

    /// Opens connections to an ingress that was told to end, for as long as the platform does.
    pub(crate) async fn open_connections_during_shutdown(
        self: Arc<Self>,
        ingress: usize,
        seed: u64,
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (started, mut connections) = (Instant::now(), JoinSet::new());
        while started.elapsed() < NEW_CONNECTIONS_TIME {
            let rng = SmallRng::seed_from_u64(rng.random());
            connections.spawn(self.clone().use_connection(ingress, Use::Busy, rng));
            tokio::time::sleep(NEW_CONNECTION_INTERVAL).await;
        }
        while connections.join_next().await.is_some() {}
    }

    /// Uses one connection until it is closed.
    async fn use_connection(self: Arc<Self>, ingress: usize, usage: Use, mut rng: SmallRng) {
        let Ok(mut stream) = TcpStream::connect(self.addresses[ingress]).await else {
            return;
        };
        while self.request_on(&mut stream, ingress, &mut rng).await {
            match usage {
                Use::Busy => {
                    tokio::time::sleep(MAX_PAUSE.mul_f64(rng.random())).await;
                }
                Use::Resting => {
                    let _ = stream.read(&mut [0]).await;
                    return;
                }
            }
        }
    }

    /// Sends one request and reads its response; false where the connection ends with that.
    async fn request_on(&self, stream: &mut TcpStream, ingress: usize, rng: &mut SmallRng) -> bool {
        let customer = Customer {
            id: rng.random_range(0..self.behavior.customers.max(1)),
            first_ingress: ingress,
            ingresses: 1,
        };
        let request = self.next_request(ingress, customer);
        let mut sent = false;
        let exchange = self.exchange_on(stream, &request, &mut sent);
        let response = tokio::time::timeout(self.behavior.timeout, exchange).await;
        let Ok(response) = response else {
            self.journal.record(Event::ResponseReceived {
                request: request.id,
                status: None,
            });
            return false;
        };
        let Ok(Some(response)) = response else {
            self.journal.record(Event::ConnectFailed {
                request: request.id,
                ingress,
            });
            return false;
        };
        self.journal.record(Event::ResponseReceived {
            request: request.id,
            status: response.status().parse().ok(),
        });
        !response.closes()
    }
}
