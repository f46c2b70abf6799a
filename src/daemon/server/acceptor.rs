//! Accepts clients' connections within a budget, and starts a task for each.
//!
//! Owner: `serve`. Input: the listener, the phase of the shutdown, the role of this process. Output: connection tasks.
//! Invariants: what the kernel accepted for this process is served before the listener closes, unless another process
//! has taken over; one loop at a time accepts from the listener; a connection's permit is returned once, when the connection
//! is dropped.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use applewall_admin::LifecyclePhase;
use applewall_slow_peer::socket::{kernel, TransferMonitor};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};

use crate::clock::Clock;
use crate::config::platform::PlatformConfig;
use crate::engine::message::Message;
use crate::lifecycle::process_role::{ProcessRole, ProcessStatus, ShutdownTimes};
use crate::observability::condition_log::ConditionLog;
use crate::observability::event_counts::{self, CountedEvent};
use crate::resources::connection_budget::ConnectionBudget;
use crate::server::admission::{AdmittedConnection, ConnectionAdmission};
use crate::server::connection_task;
use crate::server::context::ServerContext;
use crate::server::framing::{GuardedStream, RequestGuard};
use crate::server::listener::{accept_failure, AcceptFailure};
use crate::server::service::RequestService;
use crate::server::slow_peers::TransferMonitors;

/// Wait after an error of `accept`, so that a lasting one does not use up the CPU.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The bodies of all waiting requests may take the configured memory divided by this.
const BODY_MEMORY_DIVISOR: usize = 8;

/// What the acceptor is made from.
pub(crate) struct Dependencies {
    /// The engine's clock.
    pub clock: Clock,
    /// One permit for each connection of a client, those that only reject among them.
    pub permits: Arc<Semaphore>,
    /// Slow-peer protection.
    pub monitors: TransferMonitors,
    /// The engine's queue.
    pub queue: mpsc::Sender<Message>,
    /// The phase of the shutdown.
    pub phases: watch::Receiver<LifecyclePhase>,
    /// True once there is an endpoint list to decide from.
    pub has_endpoint_list: watch::Receiver<bool>,
    /// The role of this process, and the times of its shutdown.
    pub status: ProcessStatus,
}

/// See the [module documentation](self).
pub(crate) struct Acceptor {
    role: watch::Receiver<ProcessRole>,
    shutdown_times: Arc<OnceLock<ShutdownTimes>>,
    context: Arc<ServerContext>,
    phases: watch::Receiver<LifecyclePhase>,
    monitors: TransferMonitors,
    admission: ConnectionAdmission,
}

impl Acceptor {
    /// An acceptor without connections.
    pub(crate) fn new(config: &PlatformConfig, dependencies: Dependencies) -> Self {
        let Dependencies {
            clock,
            permits,
            monitors,
            queue,
            phases,
            has_endpoint_list,
            status,
        } = dependencies;
        let body_memory_bytes = config.max_memory_bytes / BODY_MEMORY_DIVISOR;
        let context = ServerContext {
            settings: config.settings.clone(),
            queue,
            phases: phases.clone(),
            has_endpoint_list,
            serials: AtomicU64::new(0),
            body_permits: Arc::new(Semaphore::new(body_memory_bytes)),
            clock,
            status: status.clone(),
        };
        let budget = ConnectionBudget::new(config.max_descriptors);
        Acceptor {
            role: status.role,
            shutdown_times: status.shutdown_times,
            context: Arc::new(context),
            phases,
            admission: ConnectionAdmission::new(permits, budget, monitors.clone(), clock),
            monitors,
        }
    }

    /// Serves until the process is to end and everything that was accepted has its response.
    pub(crate) async fn serve(self, listener: TcpListener) {
        let mut phases = self.phases.clone();
        // In this order: where this process is active again, `emptied_after_replacement` returns the permits that it took
        // before `accept` needs one, and would evict an idle client for it.
        tokio::select! {
            biased;
            _ = phases.wait_for(|phase| *phase == LifecyclePhase::Closing) => {}
            () = self.emptied_after_replacement() => {}
            () = self.accept(&listener) => {}
        }
        let exit_at = self
            .shutdown_times
            .get()
            .map_or_else(Instant::now, |times| times.exit_at);
        match *self.role.borrow() {
            // The kernel's queue belongs to the other process.
            ProcessRole::Superseded => drop(listener),
            _ => self.accept_waiting(listener, exit_at).await,
        }
        let emptied = self.admission.wait_until_empty();
        if tokio::time::timeout_at(exit_at.into(), emptied)
            .await
            .is_err()
        {
            tracing::warn!(
                open_connections = self.admission.open_connections(),
                "client connections still open at the shutdown deadline"
            );
        }
    }

    /// Ends once this process has to stop, another one took over and still runs, and no connection is left.
    async fn emptied_after_replacement(&self) {
        let (mut phases, mut role) = (self.phases.clone(), self.role.clone());
        // Fails only without a sender of phases, which the process has until it exits. The same holds for the role.
        let _ = phases
            .wait_for(|phase| *phase == LifecyclePhase::TerminatingReplaced)
            .await;
        loop {
            let _ = role.wait_for(|role| *role == ProcessRole::Superseded).await;
            // Not beyond that: it takes the permits that new connections need.
            tokio::select! {
                biased;
                _ = role.wait_for(|role| *role != ProcessRole::Superseded) => {}
                () = self.admission.wait_until_empty() => return,
            }
        }
    }

    async fn accept(&self, listener: &TcpListener) {
        let (mut role, mut monitors) = (self.role.clone(), self.monitors.clone());
        let accept_failures = ConditionLog::default();
        monitors.mark_changed();
        loop {
            // New connections belong to the other process, for as long as that runs.
            if role
                .wait_for(|role| *role != ProcessRole::Superseded)
                .await
                .is_err()
            {
                return;
            }
            if monitors.has_changed().unwrap_or(false) {
                bound_kernel_buffers(listener, monitors.borrow_and_update().as_ref());
            }
            let Some(permit) = self.admission.acquire_permit().await else {
                return;
            };
            let accepted = tokio::select! {
                biased;
                Ok(_) = role.wait_for(|role| *role == ProcessRole::Superseded) => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, address)) => {
                    accept_failures.ends();
                    self.serve_connection(stream, address, permit);
                }
                Err(error) => {
                    if accept_failures.begins() {
                        tracing::warn!(%error, "accept of client connections failed");
                    }
                    if accept_failure(&error) != AcceptFailure::OneConnection {
                        tokio::time::sleep(ACCEPT_BACKOFF).await;
                    }
                }
            }
        }
    }

    /// Serves what the kernel has accepted: none of it may be lost with the listener. The kernel itself is queried, as the
    /// reactor may not know yet of the last ones; a connection without a permit waits for one.
    async fn accept_waiting(&self, listener: TcpListener, exit_at: Instant) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
        loop {
            let (stream, address) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(error) => match accept_failure(&error) {
                    AcceptFailure::NoneWaiting => return,
                    AcceptFailure::OneConnection => continue,
                    AcceptFailure::System if Instant::now() >= exit_at => return,
                    AcceptFailure::System => {
                        tokio::time::sleep(ACCEPT_BACKOFF).await;
                        continue;
                    }
                },
            };
            let permit = tokio::time::timeout_at(exit_at.into(), self.admission.acquire_permit());
            let Ok(Some(permit)) = permit.await else {
                return;
            };
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            match stream {
                Ok(stream) => self.serve_connection(stream, address, permit),
                Err(error) => {
                    event_counts::count(CountedEvent::AcceptedConnectionFailed);
                    tracing::warn!(%error, "accepted client connection could not be served");
                }
            }
        }
    }

    /// Starts the task of a connection. Nothing joins it: its permit stands for it, `serve` ends once all permits are back
    /// or the time of the shutdown is over, and what is left then ends with the runtime.
    fn serve_connection(
        &self,
        stream: TcpStream,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) {
        // Without it responses are only slower.
        let _ = stream.set_nodelay(true);
        let AdmittedConnection {
            connection,
            ticket,
            sheds_load,
        } = self.admission.admit(&stream, address, permit);
        let stream = GuardedStream::new(stream, RequestGuard::new(connection.clone(), ticket));
        let service = RequestService {
            context: self.context.clone(),
            sheds_load,
            connection,
        };
        tokio::spawn(connection_task::serve(stream, service, self.phases.clone()));
    }
}

/// Bounds what the kernel buffers of responses, by the listener, for all connections that are accepted from now on.
fn bound_kernel_buffers(listener: &TcpListener, monitor: Option<&Arc<TransferMonitor>>) {
    let settings = monitor
        .map(|monitor| monitor.settings())
        .filter(|settings| settings.enabled.0);
    let Some(settings) = settings else {
        return;
    };
    let not_sent = u32::try_from(settings.not_sent.0).unwrap_or(u32::MAX);
    if let Err(error) =
        kernel::limit_send_buffer(listener, settings.send_buffer.0 as usize, not_sent)
    {
        tracing::warn!(%error, "send buffer of accepted connections could not be limited");
    }
}

#[cfg(test)]
mod tests;
