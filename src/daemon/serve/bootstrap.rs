//! The first steps of the startup: the admin listener, the old process's state, and the sockets.
//!
//! The admin listener comes first, so that it can answer that the node is not ready. The old process's state comes
//! before the sockets, which may be inherited from that process.

use std::os::fd::OwnedFd;
use std::sync::Arc;

use applewall_admin::{LifecyclePhase, MaintenanceSet};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::ServeError;
use crate::admin::handle::{self, AdminHandle, AdminReceivers};
use crate::admin::listener as admin_listener;
use crate::admin::state_writer::{self, WriteRequest};
use crate::clock::Clock;
use crate::config::platform::PlatformConfig;
use crate::engine::InitialState;
use crate::lifecycle::command_relay::OtherProcessSender;
use crate::lifecycle::hot_restart::{self, OldProcess, ReceivedTransfer};
use crate::lifecycle::inherited_socket;
use crate::lifecycle::shared_directory::SharedDirectory;
use crate::server::listener as client_listener;
use crate::system::peer_socket::PeerSocket;

/// The result of the first steps of the startup.
pub(super) struct BootstrapResult {
    /// The part that does not depend on an old process.
    pub bootstrap: Bootstrap,
    /// The state to start with: that of the old process, if there is one.
    pub start: StartState,
    /// The sockets, bound or inherited, from which this process does not read yet.
    pub sockets: Sockets,
}

/// Runs the first steps of the startup, in the order described in the module documentation.
///
/// # Errors
///
/// Fails if an address cannot be bound, or if the inherited socket cannot be used.
pub(super) async fn run(config: PlatformConfig) -> Result<BootstrapResult, ServeError> {
    let mut bootstrap = Bootstrap::new(config)?;
    // Started first, so that `READY` is answered while later steps wait for another process or for the system.
    bootstrap.start_admin_listener().await?;
    let mut start = bootstrap.take_over().await;
    let sockets = bootstrap.open_sockets(start.datagram_socket.take()).await?;
    Ok(BootstrapResult {
        bootstrap,
        start,
        sockets,
    })
}

/// Senders that publish the state of the process to the admin listener and the acceptor.
pub(super) struct Publishers {
    pub phase: watch::Sender<LifecyclePhase>,
    /// Set once there is an endpoint list, or if the node does not have to wait for one.
    pub has_endpoints: watch::Sender<bool>,
}

/// Dependencies of [`crate::lifecycle::hot_restart::HotRestart`] and the state writer.
pub(super) struct TransferContext {
    /// The directory shared by the processes of this node; present only if the listening socket is inherited.
    pub shared_directory: Option<SharedDirectory>,
    /// Requests to write maintenance sets to the state file.
    pub state_requests: mpsc::Receiver<WriteRequest>,
    /// The old process's maintenance set, which that process may have been unable to write.
    pub inherited_maintenance: Option<MaintenanceSet>,
    /// Publishes the connection to the other process.
    pub other_process: OtherProcessSender,
    /// Set once this process can serve.
    pub ready: watch::Sender<bool>,
}

/// The part of the node that is created before the state of an old process is known.
pub(super) struct Bootstrap {
    /// The configuration, in which port 0 is replaced by the bound port.
    pub config: PlatformConfig,
    /// The listening socket passed by the platform (`GW_FD`), if any.
    inherited_socket: Option<OwnedFd>,
    /// Dependencies of hot restart and the state writer.
    pub transfer: TransferContext,
    /// Executes admin commands.
    pub admin: AdminHandle,
    /// Senders that publish state to the admin handle and the acceptor.
    pub publishers: Publishers,
    /// Receivers of the admin handle's queues.
    pub receivers: AdminReceivers,
    /// Tasks started so far.
    pub tasks: JoinSet<()>,
}

/// The state that the node starts with.
pub(super) struct StartState {
    /// The engine's clock, which continues that of the old process if there is one.
    pub clock: Clock,
    /// The maintenance set and, from an old process, its endpoint list and policy state.
    pub initial_state: InitialState,
    /// Whether the old process was draining or drained.
    pub is_draining: bool,
    /// The old process, which waits for the report that this process has taken over.
    pub old_process: Option<OldProcess>,
    /// The old process's UDP socket.
    datagram_socket: Option<OwnedFd>,
}

/// The node's sockets for clients and peers.
pub(super) struct Sockets {
    /// The UDP socket, if there are peers.
    pub peers: Option<Arc<PeerSocket>>,
    /// The listening socket for client connections.
    pub listener: TcpListener,
}

impl Bootstrap {
    fn new(mut config: PlatformConfig) -> Result<Self, ServeError> {
        let inherited_socket = inherited_socket::descriptor()?;
        let shared_directory = inherited_socket
            .is_some()
            .then(|| SharedDirectory::new(&config.name));
        if shared_directory.is_some() {
            // During a hot restart, two processes share the limits of one.
            config.max_descriptors /= 2;
            config.max_memory_bytes /= 2;
        }
        let (phase, phase_reader) = watch::channel(LifecyclePhase::Serving);
        let (control, drain_requests, receivers) = handle::channels();
        let (ready, ready_reader) = watch::channel(shared_directory.is_none());
        // False until `Node::schedule_startup` has determined whether the node has to wait for a list.
        let (has_endpoints, has_endpoints_reader) = watch::channel(false);
        let (other_process, other_process_reader) = watch::channel(None);
        let (state_queue, state_requests) = state_writer::queue();
        let admin = AdminHandle {
            control,
            drain_requests,
            phase: phase_reader,
            ready: ready_reader,
            has_endpoints: has_endpoints_reader,
            state_queue: shared_directory.is_some().then_some(state_queue),
            other_process: other_process_reader,
            change_lock: Arc::default(),
            open_commands: Arc::default(),
        };
        Ok(Bootstrap {
            config,
            inherited_socket,
            transfer: TransferContext {
                shared_directory,
                state_requests,
                inherited_maintenance: None,
                other_process,
                ready,
            },
            admin,
            publishers: Publishers {
                phase,
                has_endpoints,
            },
            receivers,
            tasks: JoinSet::new(),
        })
    }

    async fn start_admin_listener(&mut self) -> Result<(), ServeError> {
        if let Some(address) = &mut self.config.admin_listen {
            let listener = admin_listener::bind(address).await?;
            self.tasks
                .spawn(admin_listener::serve(listener, self.admin.clone()));
        }
        Ok(())
    }

    /// Receives the state of the old process, if there is one.
    async fn take_over(&mut self) -> StartState {
        let received = match &self.transfer.shared_directory {
            Some(shared_directory) => hot_restart::receive_transfer(shared_directory).await,
            None => None,
        };
        match received {
            Some(transfer) => self.resume(transfer),
            None => self.start_new(),
        }
    }

    /// Starts with the state of the old process.
    fn resume(&mut self, transfer: ReceivedTransfer) -> StartState {
        let state = transfer.state;
        self.transfer.inherited_maintenance = Some(state.maintenance.clone());
        StartState {
            clock: Clock::resume_at(state.now_ns),
            is_draining: state.draining,
            initial_state: InitialState::HotRestart(state),
            old_process: Some(transfer.old_process),
            datagram_socket: transfer.datagram_socket,
        }
    }

    /// Starts without the state of an old process.
    fn start_new(&self) -> StartState {
        let initial_state = match &self.transfer.shared_directory {
            Some(directory) => InitialState::Maintenance(directory.read_maintenance_set()),
            None if self.config.admin_listen.is_some() => {
                InitialState::Maintenance(MaintenanceSet::default())
            }
            None => InitialState::WithoutAdmin,
        };
        StartState {
            clock: Clock::start(),
            is_draining: false,
            initial_state,
            old_process: None,
            datagram_socket: None,
        }
    }

    async fn open_sockets(
        &mut self,
        datagram_socket: Option<OwnedFd>,
    ) -> Result<Sockets, ServeError> {
        let peers = PeerSocket::bind(&mut self.config, datagram_socket).await?;
        let listener = match self.inherited_socket.take() {
            Some(socket) => inherited_socket::listener(socket, &mut self.config.listen)?,
            None => client_listener::bind(&mut self.config.listen).await?,
        };
        Ok(Sockets {
            peers: peers.map(Arc::new),
            listener,
        })
    }
}
