//! The door: accepts service clients' connections and serves commands on them, within a budget.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use applewall_slow_peer::socket::{borrow_descriptor, kernel, TransferMonitor};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch, Notify, OwnedSemaphorePermit, Semaphore};

use crate::clock::Clock;
use crate::config::platform::PlatformConfig;
use crate::engine::message::Message;
use crate::lifecycle::process_role::{ProcessRole, ProcessStatus, ShutdownTimes};
use crate::resource_budget::Budget;
use crate::server::connection_table::{Paced, Seat, Seats};
use crate::server::framing::Guarded;
use crate::server::request::{Commands, Gate};
use crate::server::slow_peers::Pacers;
use applewall_admin::LifecyclePhase;

/// Connections that the kernel holds for us at most.
const BACKLOG: u32 = 1024;
/// A head has to begin this long after the connection came up or the last answer went out, and to be whole this long
/// after its first byte: those that are silent, or slower, hold no place for ever.
const HEAD: Duration = Duration::from_millis(2_500);
/// A new connection is not taken for a silent one before this: its first command is on its way.
const GRACE: Duration = Duration::from_millis(250);
/// A head, and what is read ahead of a body, hold this at most.
const HEAD_MOST: usize = 16 * 1024;
/// How long, and for how many bytes, a connection stays open for the service client to read why it is closed.
const LINGER: (Duration, usize) = (Duration::from_millis(500), 512 * 1024);
/// Wait after an error of `accept`, so that a lasting one does not spin.
const PAUSE: Duration = Duration::from_millis(20);
/// Part of the memory that the bodies of waiting commands may hold together.
const BODIES_PART: usize = 8;

/// Listens; where the port was left open, the address is put right.
pub(crate) fn bind(address: &mut SocketAddr) -> Result<TcpListener, String> {
    listen(address, BACKLOG).map_err(|e| format!("cannot listen on {address}: {e}"))
}

/// The same, with room for so many connections that are not accepted yet.
pub(crate) fn listen(address: &mut SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // The address is ours again right after a restart.
    socket.set_reuseaddr(true)?;
    socket.bind(*address)?;
    *address = socket.local_addr()?;
    socket.listen(backlog)
}

/// The door and its budget of connections.
pub(crate) struct Door {
    role: watch::Receiver<ProcessRole>,
    stopping: Arc<OnceLock<ShutdownTimes>>,
    gate: Arc<Gate>,
    stages: watch::Receiver<LifecyclePhase>,
    places: Arc<Semaphore>,
    seats: Arc<Seats>,
    budget: Budget,
    shedding: AtomicBool,
    pacers: Pacers,
}

impl Door {
    /// A door that has let nobody in.
    pub(crate) fn new(
        config: &PlatformConfig,
        clock: Clock,
        places: Arc<Semaphore>,
        pacers: Pacers,
        queue: mpsc::Sender<Message>,
        (stages, listed): (watch::Receiver<LifecyclePhase>, watch::Receiver<bool>),
        successor: ProcessStatus,
    ) -> Self {
        let budget = Budget::new(config.max_descriptors);
        let gate = Gate {
            facts: config.settings.clone(),
            queue,
            stages: stages.clone(),
            listed,
            serials: AtomicU64::new(0),
            bodies: Arc::new(Semaphore::new(config.max_memory_bytes / BODIES_PART)),
            clock,
            successor: successor.clone(),
        };
        Door {
            role: successor.role,
            stopping: successor.shutdown_times,
            gate: Arc::new(gate),
            stages,
            places,
            seats: Arc::default(),
            budget,
            shedding: AtomicBool::new(false),
            pacers,
        }
    }

    /// Serves until the program is to end and all that was taken is answered.
    pub(crate) async fn serve(self, listener: TcpListener) {
        let mut stages = self.stages.clone();
        let all = (self.budget.clients + self.budget.spare) as u32;
        tokio::select! {
            () = self.accept(&listener) => {}
            _ = stages.wait_for(|s| *s == LifecyclePhase::Closing) => {}
            () = self.emptied(all) => {}
        }
        let ends = self
            .stopping
            .get()
            .map_or_else(Instant::now, |stopping| stopping.exit_at);
        match *self.role.borrow() {
            ProcessRole::Superseded => drop(listener),
            _ => self.accept_waiting(listener, ends).await,
        }
        let all = self.places.acquire_many(all);
        if tokio::time::timeout_at(ends.into(), all).await.is_err() {
            tracing::warn!("ended with connections still open");
        }
    }

    /// Ends once this process was told to stop, another took over, and no connection is left.
    async fn emptied(&self, all: u32) {
        let mut stages = self.stages.clone();
        let _ = stages
            .wait_for(|s| *s == LifecyclePhase::TerminatingReplaced)
            .await;
        let _ = self.places.acquire_many(all).await;
    }

    async fn accept(&self, listener: &TcpListener) {
        let (mut failing, mut pacers) = (false, self.pacers.clone());
        let mut role = self.role.clone();
        pacers.mark_changed();
        loop {
            // Whoever comes is the other process's, for as long as that lives.
            if role
                .wait_for(|r| *r != ProcessRole::Superseded)
                .await
                .is_err()
            {
                return;
            }
            if pacers.has_changed().unwrap_or(false) {
                self.bound(listener, pacers.borrow_and_update().as_ref());
            }
            // No place at all: the longest silent goes, for whoever waits in the backlog.
            if self.places.available_permits() == 0 {
                self.make_room(Duration::ZERO);
            }
            let Ok(place) = self.places.clone().acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                biased;
                Ok(_) = role.wait_for(|r| *r == ProcessRole::Superseded) => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, address)) => {
                    failing = false;
                    self.serve_connection(stream, address, place);
                }
                Err(e) => {
                    // Once a spell: a lasting error must not flood the log.
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!("accept: {e}");
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// What the kernel has accepted counts as taken: none of it may be left behind with the listener. The kernel itself
    /// is asked, as the reactor may not have told yet of the last ones; and whoever finds no place waits for one.
    async fn accept_waiting(&self, listener: TcpListener, ends: Instant) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
        loop {
            let (stream, address) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
                    ) =>
                {
                    continue;
                }
                Err(_) => return,
            };
            if self.places.available_permits() == 0 {
                self.make_room(Duration::ZERO);
            }
            let place = tokio::time::timeout_at(ends.into(), self.places.clone().acquire_owned());
            let Ok(Ok(place)) = place.await else { return };
            if let Ok(stream) = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream))
            {
                self.serve_connection(stream, address, place);
            }
        }
    }

    /// What the kernel takes of answers is bounded by the listener, for all connections that come from now on.
    fn bound(&self, listener: &TcpListener, pacer: Option<&Arc<TransferMonitor>>) {
        let Some(settings) = pacer.map(|p| p.settings()).filter(|s| s.enabled.0) else {
            return;
        };
        let not_sent = u32::try_from(settings.not_sent.0).unwrap_or(u32::MAX);
        if let Err(e) =
            kernel::limit_send_buffer(listener, settings.send_buffer.0 as usize, not_sent)
        {
            tracing::warn!("slow peers: cannot limit the send buffer of accepted connections: {e}");
        }
    }

    /// The longest silent goes; where nobody is silent, the worst of those that do not read what they asked for.
    fn make_room(&self, grace: Duration) -> bool {
        let now = self.gate.clock.now();
        let pacer = self.pacers.borrow().clone();
        // Before a newcomer whose first command is on its way.
        if let Some(pacer) = pacer {
            if self.seats.make_room_of(GRACE, now, false)
                || pacer.abort_one_for_connection_slot(now)
            {
                return true;
            }
        }
        self.seats.make_room(grace, now)
    }

    fn serve_connection(
        &self,
        stream: TcpStream,
        address: SocketAddr,
        place: OwnedSemaphorePermit,
    ) {
        let _ = stream.set_nodelay(true);
        let cut = Arc::new(Notify::new());
        let ticket = self.pacers.borrow().as_ref().map(|pacer| {
            let told = cut.clone();
            // SAFETY: the ticket goes into `Guarded`, which drops it before the stream and never moves the stream
            // out without dropping it.
            let socket = unsafe { borrow_descriptor(&stream) };
            (
                pacer.clone(),
                pacer.register(self.gate.clock.now(), address.ip(), socket, move || {
                    told.notify_one();
                }),
            )
        });
        let taken = self.budget.clients + self.budget.spare - self.places.available_permits();
        // Service clients that hold all that they may open no more, and would have to turn requests away: the
        // silent go before that. Nobody silent left, the spare places are for saying no: a connection that is
        // not accepted would only hang.
        let room = taken > self.budget.clients * 3 / 4 && self.make_room(GRACE);
        let crowded = taken > self.budget.clients;
        // One whose set of addresses holds its share already gets one of the places for saying no.
        let placed = ticket.as_ref().is_none_or(|(_, ticket)| ticket.has_slot());
        let shed = crowded && !room || !placed;
        // Once a spell: it ends when there is room again.
        if shed && placed && !self.shedding.swap(true, Ordering::Relaxed) {
            let most = self.budget.clients;
            tracing::warn!(
                "crowded: {most} connections with a command open; turning newcomers away"
            );
        } else if !crowded {
            self.shedding.store(false, Ordering::Relaxed);
        }
        let (paced, ticket) = match ticket {
            Some((pacer, ticket)) => (
                Some(Paced {
                    pacer,
                    id: ticket.id(),
                    peer: ticket.peer_network(),
                }),
                Some(ticket),
            ),
            None => (None, None),
        };
        let seat = self.seats.sit(place, cut, paced);
        let commands = Commands {
            gate: self.gate.clone(),
            shed,
            seat: seat.clone(),
        };
        let mut connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(HEAD_MOST)
            .serve_connection(
                TokioIo::new(Guarded::new(stream, seat.clone(), ticket)),
                TowerToHyperService::new(commands),
            );
        let mut stages = self.stages.clone();
        let cut = seat.cut.clone();
        let serve = async move {
            let ended = tokio::select! {
                biased;
                ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => Some(ended),
                () = seat.go.notified() => None,
                () = seat.silent(HEAD) => {
                    if seat.halfway() {
                        return;
                    }
                    None
                }
                () = going(&mut stages, &seat) => None,
            };
            let ended = match ended {
                Some(ended) => ended,
                // hyper would wait for the first command of a connection that has had none.
                None if !seat.asked() => return,
                None => {
                    Pin::new(&mut connection).graceful_shutdown();
                    poll_fn(|cx| connection.poll_without_shutdown(cx)).await
                }
            };
            // Closing with something unread resets the connection, and could take the answer with it.
            if seat.unread() || ended.is_err_and(|e| e.is_parse() || e.is_parse_too_large()) {
                seat.wait();
                tokio::select! {
                    () = linger(connection.into_parts().io.into_inner().stream) => {}
                    () = seat.go.notified() => {}
                }
            }
        };
        tokio::spawn(async move {
            // Cut: whatever is still to be written goes with the connection.
            tokio::select! {
                biased;
                () = cut.notified() => {}
                () = serve => {}
            }
        });
    }
}

/// Waits until the connection has to go, where it is idle. Drained, one that has not asked yet stays for its one
/// command, and for as long as a head may take; one whose head is half here goes with the answer to that.
async fn going(stages: &mut watch::Receiver<LifecyclePhase>, seat: &Seat) {
    loop {
        let stage = *stages.borrow_and_update();
        let idle = match stage {
            LifecyclePhase::Closing => !seat.halfway(),
            LifecyclePhase::Drained => seat.asked() && !seat.halfway(),
            _ => false,
        };
        if idle {
            return;
        }
        if matches!(stage, LifecyclePhase::Closing | LifecyclePhase::Drained) {
            // Its answer, or the time that a head has, ends it.
            let _ = stages.wait_for(|s| *s != stage).await;
        } else if stages.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Says that nothing more comes, and passes over what still does: for a while, and not much of it.
async fn linger(mut stream: TcpStream) {
    let (time, most) = LINGER;
    let pass_over = async {
        stream.shutdown().await?;
        let mut left = most;
        let mut buffer = vec![0; HEAD_MOST];
        loop {
            match stream.read(&mut buffer).await? {
                0 => return Ok::<_, io::Error>(()),
                n if n < left => left -= n,
                // Enough read; what the service client is told still needs its time to get there.
                _ => std::future::pending().await,
            }
        }
    };
    let _ = tokio::time::timeout(time, pass_over).await;
}

#[cfg(test)]
mod tests;
