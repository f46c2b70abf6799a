//! Accepts client connections within a budget and starts a task for each.
//!
//! Only one loop at a time accepts from the listener. Connections that the kernel has accepted for this process are
//! served before the listener closes, unless another process has taken over. Dropping a connection releases its permit.
//!
//! The process exits once its last connection has ended, since an earlier exit would lose the responses that are still
//! due. Each connection ends by itself: a request by its deadline, an idle connection by the shutdown, and one whose
//! client has stopped reading by the timeout in `connection_task`.

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
use crate::server::accept_wait::wait_of_input;
use crate::server::admission::{AdmittedConnection, ConnectionAdmission};
use crate::server::connection_task;
use crate::server::context::ServerContext;
use crate::server::framing::{GuardedStream, RequestGuard};
use crate::server::listener::{classify_accept_error, AcceptErrorKind};
use crate::server::service::RequestService;
use crate::server::slow_peers::TransferMonitors;

/// Delay after an error of `accept`, so that a persistent error does not cause a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Dependencies of the acceptor.
pub(crate) struct Dependencies {
    /// The engine's clock.
    pub clock: Clock,
    /// One permit per client connection, including those whose requests are only rejected.
    pub permits: Arc<Semaphore>,
    /// The current transfer monitor, with which new connections are registered.
    pub monitors: TransferMonitors,
    /// The engine's queue, for requests and disconnects.
    pub queue: mpsc::Sender<Message>,
    /// The lifecycle phase; from [`LifecyclePhase::Closing`] on, only the kernel's accept queue is served.
    pub phases: watch::Receiver<LifecyclePhase>,
    /// True once there is an endpoint list.
    pub has_endpoint_list: watch::Receiver<bool>,
    /// The role of this process and the times of its shutdown.
    pub status: ProcessStatus,
}

/// Accepts client connections and starts their tasks.
pub(crate) struct Acceptor {
    role: watch::Receiver<ProcessRole>,
    shutdown_times: Arc<OnceLock<ShutdownTimes>>,
    context: Arc<ServerContext>,
    phases: watch::Receiver<LifecyclePhase>,
    monitors: TransferMonitors,
    admission: ConnectionAdmission,
}

impl Acceptor {
    /// Creates an acceptor without connections.
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
        let context = ServerContext {
            settings: config.settings.clone(),
            queue,
            phases: phases.clone(),
            has_endpoint_list,
            serials: AtomicU64::new(0),
            body_permits: Arc::new(Semaphore::new(config.memory_budget().request_body_bytes)),
            clock,
            status: status.clone(),
        };
        let budget = config.connection_budget();
        Acceptor {
            role: status.role,
            shutdown_times: status.shutdown_times,
            context: Arc::new(context),
            phases,
            admission: ConnectionAdmission::new(permits, budget, monitors.clone(), clock),
            monitors,
        }
    }

    /// Serves until the process has to exit and all accepted requests have been answered.
    pub(crate) async fn serve(self, listener: TcpListener) {
        let mut phases = self.phases.clone();
        // The order matters: when this process becomes active again, `wait_until_replaced_and_empty` has to release its
        // permits before `accept` needs one, which would otherwise evict an idle client.
        tokio::select! {
            biased;
            _ = phases.wait_for(|phase| *phase == LifecyclePhase::Closing) => {}
            () = self.wait_until_replaced_and_empty() => {}
            () = self.accept(&listener) => {}
        }
        match *self.role.borrow() {
            // The other process accepts the connections in the kernel's queue.
            ProcessRole::Superseded => drop(listener),
            _ => self.drain_accept_queue(listener).await,
        }
        self.wait_for_last_connection().await;
    }

    /// Waits until no connection is left. Logs once if a response takes longer than the request's deadline.
    async fn wait_for_last_connection(&self) {
        let emptied = self.admission.wait_until_empty();
        if tokio::time::timeout_at(self.responses_due_at().into(), emptied)
            .await
            .is_ok()
        {
            return;
        }
        tracing::warn!(
            open_connections = self.admission.open_connections(),
            "shutdown waits for responses that are still being written"
        );
        self.admission.wait_until_empty().await;
    }

    /// Completes once this process has to stop, another one has taken over and still runs, and no connection is left.
    async fn wait_until_replaced_and_empty(&self) {
        let (mut phases, mut role) = (self.phases.clone(), self.role.clone());
        // Fails only if the sender has been dropped, which happens when the process exits. The same holds for the role.
        let _ = phases
            .wait_for(|phase| *phase == LifecyclePhase::TerminatingReplaced)
            .await;
        loop {
            let _ = role.wait_for(|role| *role == ProcessRole::Superseded).await;
            // Stops waiting on a change of role, since `wait_until_empty` holds the permits that new connections need.
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
            // New connections are accepted by the other process while that runs.
            if role
                .wait_for(|role| *role != ProcessRole::Superseded)
                .await
                .is_err()
            {
                return;
            }
            if monitors.has_changed().unwrap_or(false) {
                limit_send_buffers(listener, monitors.borrow_and_update().as_ref());
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
                        tracing::warn!(%error, "cannot accept client connections");
                    }
                    if classify_accept_error(&error) != AcceptErrorKind::Connection {
                        tokio::time::sleep(ACCEPT_BACKOFF).await;
                    }
                }
            }
        }
    }

    /// When each response is due, during a shutdown.
    fn responses_due_at(&self) -> Instant {
        let times = self.shutdown_times.get();
        times.map_or_else(Instant::now, |times| times.responses_due_at)
    }

    /// Serves the connections in the kernel's accept queue, which would be lost when the listener closes. Queries the
    /// kernel directly, since the reactor may not have noticed the latest connections yet. Waits for permits if none is
    /// available, and retries errors of the system at least as long as responses may be due or an open connection may release
    /// a descriptor.
    async fn drain_accept_queue(&self, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
        loop {
            let (stream, address) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(error) => match classify_accept_error(&error) {
                    AcceptErrorKind::QueueEmpty => return,
                    AcceptErrorKind::Connection => continue,
                    AcceptErrorKind::System
                        if Instant::now() >= self.responses_due_at()
                            && self.admission.open_connections() == 0 =>
                    {
                        return;
                    }
                    AcceptErrorKind::System => {
                        tokio::time::sleep(ACCEPT_BACKOFF).await;
                        continue;
                    }
                },
            };
            let Some(permit) = self.admission.acquire_permit().await else {
                return;
            };
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            match stream {
                Ok(stream) => self.serve_connection(stream, address, permit),
                Err(error) => {
                    event_counts::count(CountedEvent::AcceptedConnectionFailed);
                    tracing::warn!(%error, "cannot serve an accepted client connection");
                }
            }
        }
    }

    /// Starts the task of a connection. The task is not joined: `serve` ends once all permits have been released.
    fn serve_connection(
        &self,
        stream: TcpStream,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) {
        // Ignored: without TCP_NODELAY responses are slower, but not wrong.
        let _ = stream.set_nodelay(true);
        let AdmittedConnection {
            connection,
            registration,
            sheds_load,
        } = self.admission.admit(&stream, address, permit);
        if let Some(waited) = wait_of_input(&stream) {
            connection.set_accept_wait(waited);
        }
        let stream =
            GuardedStream::new(stream, RequestGuard::new(connection.clone(), registration));
        let service = RequestService {
            context: self.context.clone(),
            sheds_load,
            connection,
        };
        tokio::spawn(connection_task::serve(stream, service, self.phases.clone()));
    }
}

/// Limits the kernel's send buffers for responses. The options are set on the listener and apply to all connections
/// accepted from now on.
fn limit_send_buffers(listener: &TcpListener, monitor: Option<&Arc<TransferMonitor>>) {
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
        tracing::warn!(%error, "cannot limit the send buffers of client connections");
    }
}

#[cfg(test)]
mod tests;
