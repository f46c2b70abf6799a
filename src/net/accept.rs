//! The door: accepts service clients' connections and serves commands on them, within a budget.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};

use super::command::{Commands, Gate};
use super::config::Config;
use super::engine::Message;
use super::shutdown::{Stage, CLOSING};
use super::BODY_MOST;

/// Connections that the kernel holds for us at most.
const BACKLOG: u32 = 1024;
/// A connection that says nothing for this long is closed: a silent service client holds no place for ever.
const QUIET: Duration = Duration::from_secs(75);
/// The same once half of the places are taken: silent ones must not crowd out those that ask.
const QUIET_CROWDED: Duration = Duration::from_secs(5);
/// Wait after an error of `accept`, so that a lasting one does not spin.
const PAUSE: Duration = Duration::from_millis(20);
/// Descriptors for all that is not a connection of a service client or to an instance.
const RESERVE: usize = 32;

/// How many descriptors the connections of each side may hold, of all that the process may.
pub fn budget(sockets: usize) -> usize {
    sockets.saturating_sub(RESERVE) / 2
}

/// Listens; where the port was left open, the address is put right.
pub fn bind(address: &mut SocketAddr) -> Result<TcpListener, String> {
    let told = *address;
    let mut listen = || -> io::Result<TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // The address is ours again right after a restart.
        socket.set_reuseaddr(true)?;
        socket.bind(told)?;
        *address = socket.local_addr()?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|e| format!("cannot listen on {told}: {e}"))
}

/// The door and its budget of connections.
pub struct Door {
    gate: Arc<Gate>,
    stages: watch::Receiver<Stage>,
    places: Arc<Semaphore>,
    most: usize,
}

impl Door {
    /// A door that has let nobody in.
    pub fn new(config: &Config, queue: mpsc::Sender<Message>, stages: watch::Receiver<Stage>) -> Self {
        let most = budget(config.sockets);
        let serials = AtomicU64::new(0);
        let gate = Gate { facts: config.facts.clone(), queue, stages: stages.clone(), serials };
        Door { gate: Arc::new(gate), stages, places: Arc::new(Semaphore::new(most)), most }
    }

    /// Serves until the program is to end and all that was taken is answered.
    pub async fn serve(self, listener: TcpListener) {
        let mut stages = self.stages.clone();
        tokio::select! {
            () = self.accept(&listener) => {}
            _ = stages.wait_for(|s| *s == Stage::Closing) => {}
        }
        // What the kernel has accepted counts as taken: none of it may be left behind.
        self.accept_waiting(&listener).await;
        drop(listener);
        let all = self.places.acquire_many(self.most as u32);
        if tokio::time::timeout(CLOSING, all).await.is_err() {
            super::log(format_args!("ended with connections still open"));
        }
    }

    async fn accept(&self, listener: &TcpListener) {
        let mut failing = false;
        loop {
            // No place: the next connection waits in the backlog until one is given back.
            let Ok(place) = self.places.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    failing = false;
                    self.serve_connection(stream, place);
                }
                Err(e) => {
                    // Once a spell: a lasting error must not flood the log.
                    if !std::mem::replace(&mut failing, true) {
                        super::log(format_args!("accept: {e}"));
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    async fn accept_waiting(&self, listener: &TcpListener) {
        std::future::poll_fn(|cx| {
            while let Poll::Ready(Ok((stream, _))) = listener.poll_accept(cx) {
                let Ok(place) = self.places.clone().try_acquire_owned() else { break };
                self.serve_connection(stream, place);
            }
            Poll::Ready(())
        })
        .await;
    }

    fn serve_connection(&self, stream: TcpStream, place: OwnedSemaphorePermit) {
        let _ = stream.set_nodelay(true);
        // The last places are for saying no: a connection that is not accepted would only hang.
        let left = self.places.available_permits();
        let shed = left < self.most / 8;
        let quiet = if left < self.most / 2 { QUIET_CROWDED } else { QUIET };
        let used = Arc::new(AtomicBool::new(false));
        let commands = Commands { gate: self.gate.clone(), shed, used: used.clone() };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(quiet)
            .max_buf_size(BODY_MOST)
            .serve_connection(TokioIo::new(stream), TowerToHyperService::new(commands));
        let mut stages = self.stages.clone();
        tokio::spawn(async move {
            let _place = place;
            let mut connection = pin!(connection);
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                _ = stages.wait_for(|s| *s == Stage::Closing) => {}
            }
            // hyper would wait for the first command of a connection that has had none.
            if used.load(Ordering::Relaxed) {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        });
    }
}
