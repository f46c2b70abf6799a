//! Clients of an ingress that shuts down. Some send requests on their connections until the ingress closes them, some keep
//! idle connections, and for a short time after SIGTERM new ones connect.
//!
//! Input: a running ingress. Output: journal entries on each request. Invariant: a request whose connection is closed without a
//! response is recorded as not accepted; the checkers report it if an attempt of it has arrived at a limit server.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Clients, Customer, LATE_RESPONSE};
use crate::journal::Event;

/// Connections that send one request after another.
const ACTIVE_CONNECTIONS: usize = 6;
/// Connections that send one request and are idle after it.
const IDLE_CONNECTIONS: usize = 3;
/// Time after SIGTERM in which clients open new connections.
pub(crate) const NEW_CONNECTIONS_TIME: Duration = Duration::from_millis(400);
/// Interval of new connections.
const NEW_CONNECTION_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum pause of an active connection between a response and the next request.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// What a client does with its connection after a response.
#[derive(Clone, Copy)]
enum ConnectionUse {
    /// It sends the next request after a pause.
    Active,
    /// It keeps the connection idle until the ingress closes it.
    Idle,
}

impl Clients {
    /// Opens connections to an ingress; their tasks end once the ingress has closed them.
    pub(crate) fn open_connections_before_shutdown(
        self: &Arc<Self>,
        ingress: usize,
        seed: u64,
    ) -> JoinSet<()> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut connections = JoinSet::new();
        let active = std::iter::repeat_n(ConnectionUse::Active, ACTIVE_CONNECTIONS);
        let idle = std::iter::repeat_n(ConnectionUse::Idle, IDLE_CONNECTIONS);
        for usage in active.chain(idle) {
            let rng = SmallRng::seed_from_u64(rng.random());
            connections.spawn(self.clone().use_connection(ingress, usage, rng));
        }
        connections
    }

    /// Opens connections to an ingress that has received SIGTERM, for as long as the platform routes new clients to it.
    pub(crate) async fn open_connections_during_shutdown(
        self: Arc<Self>,
        ingress: usize,
        seed: u64,
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (started, mut connections) = (Instant::now(), JoinSet::new());
        while started.elapsed() < NEW_CONNECTIONS_TIME {
            let rng = SmallRng::seed_from_u64(rng.random());
            connections.spawn(
                self.clone()
                    .use_connection(ingress, ConnectionUse::Active, rng),
            );
            tokio::time::sleep(NEW_CONNECTION_INTERVAL).await;
        }
        while connections.join_next().await.is_some() {}
    }

    /// Opens a connection and uses it until it is closed.
    async fn use_connection(
        self: Arc<Self>,
        ingress: usize,
        usage: ConnectionUse,
        mut rng: SmallRng,
    ) {
        let Ok(mut stream) = TcpStream::connect(self.addresses[ingress]).await else {
            return;
        };
        while self.send_request(&mut stream, ingress, &mut rng).await {
            match usage {
                ConnectionUse::Active => {
                    tokio::time::sleep(MAX_PAUSE.mul_f64(rng.random())).await;
                }
                ConnectionUse::Idle => {
                    let _ = stream.read(&mut [0]).await;
                    return;
                }
            }
        }
    }

    /// Sends a request and reads its response; returns false if the connection cannot be used after that.
    async fn send_request(
        &self,
        stream: &mut TcpStream,
        ingress: usize,
        rng: &mut SmallRng,
    ) -> bool {
        let customer = Customer {
            id: rng.random_range(0..self.behavior.customers.max(1)),
            first_ingress: ingress,
            ingresses: 1,
        };
        let request = self.next_request(ingress, customer);
        let mut sent = false;
        let exchange = self.exchange_on(stream, &request, &mut sent);
        let response = tokio::time::timeout(self.behavior.timeout + LATE_RESPONSE, exchange).await;
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
