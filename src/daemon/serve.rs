//! Starts the node and runs it until it has received a stop signal and answered every accepted request.
//!
//! Startup order: signal handlers, admin listener, state of the old process, sockets, startup schedule, discovery,
//! engine, lifecycle, hot restart, acceptor. Signal handlers come first, since an early signal must not kill the
//! process. The admin listener answers that the node is not ready until startup is complete. Other tasks reach the
//! engine only through its queue. The node's `JoinSet` owns the tasks that the node starts; subsystems own the tasks
//! that they start.

use tokio::net::TcpListener;
use tokio::task::{JoinError, JoinSet};

use crate::admin::handle::AdminHandle;
use crate::admin::listener::AdminError;
use crate::config::operator::OperatorConfig;
use crate::config::platform::PlatformConfig;
use crate::config::reload::ConfigReloader;
use crate::config::ConfigError;
use crate::lifecycle::inherited_socket::InheritedSocketError;
use crate::lifecycle::shutdown::{LifecycleDriver, SignalError, Signals};
use crate::server::acceptor::Acceptor;
use crate::server::listener::BindError;
use crate::system::peer_socket::PeerSocketError;

mod bootstrap;
mod node;

use bootstrap::BootstrapResult;
use node::Node;

/// Why the node could not start, or ended without a stop signal.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServeError {
    /// The async runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// `GW_CONFIG` is not set, or a configuration file or variable cannot be read or is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A signal handler cannot be installed.
    #[error(transparent)]
    Signals(#[from] SignalError),
    /// The listening socket passed by the platform cannot be used.
    #[error(transparent)]
    InheritedSocket(#[from] InheritedSocketError),
    /// The admin address cannot be bound.
    #[error(transparent)]
    Admin(#[from] AdminError),
    /// The UDP socket cannot be bound.
    #[error(transparent)]
    PeerSocket(#[from] PeerSocketError),
    /// The address for client connections cannot be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The engine ended, which happens only if the decision policy panics.
    #[error("the engine stopped: {0:?}")]
    EngineStopped(Result<(), JoinError>),
}

/// Runs the node until it has received a stop signal and answered every accepted request, or until the shutdown
/// deadline.
///
/// # Errors
///
/// Fails if the node could not start, or if the engine stopped.
pub(crate) fn serve(
    platform_config: PlatformConfig,
    operator_config: OperatorConfig,
    operator_path: Option<String>,
) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)?;
    runtime.block_on(run(platform_config, operator_config, operator_path))
}

async fn run(
    platform_config: PlatformConfig,
    operator_config: OperatorConfig,
    operator_path: Option<String>,
) -> Result<(), ServeError> {
    // Installed before everything else: the default action of SIGTERM would kill the process.
    let signals = Signals::new()?;
    let BootstrapResult {
        bootstrap,
        start,
        sockets,
    } = bootstrap::run(platform_config).await?;
    let (publishers, admin) = (bootstrap.publishers, bootstrap.admin);
    let (mut node, role, messages) = Node::new(
        bootstrap.config,
        start.clock,
        sockets.peers,
        bootstrap.tasks,
    );
    let zones = node.zone_failover(&operator_config);
    node.schedule_startup(&operator_config, publishers.has_endpoints);
    let (reloader, reloaded) = ConfigReloader::new(&node.config, operator_config, operator_path);
    let endpoint_updates = node.start_sources(&reloaded);
    let monitors = node.start_slow_peer_protection(&reloaded);
    let engine = node.engine(
        start.initial_state,
        zones,
        monitors.clone(),
        admin.other_process.clone(),
    );
    let mut engine_task = JoinSet::new();
    engine_task.spawn(engine.run(messages, bootstrap.receivers.control));
    node.start_gossip();
    node.start_endpoint_watch(reloaded.discovery, endpoint_updates);
    node.start_lifecycle(LifecycleDriver {
        signals,
        phase: publishers.phase,
        drain_requests: bootstrap.receivers.drain_requests,
        status: node.status.clone(),
        deadlines: node.shutdown_deadlines(),
        is_draining: start.is_draining,
        reloader,
    });
    let acceptor = node.acceptor(&admin, monitors);
    // `admin` is kept until the end of this function: the queues of admin commands close when their last sender is
    // dropped.
    node.start_hot_restart(bootstrap.transfer, role, admin.clone(), start.old_process)
        .await;
    serve_until_stopped(acceptor, sockets.listener, admin, engine_task).await
}

/// Serves clients until the shutdown is complete and admin commands are answered. `engine_task` holds the engine's task, which is aborted when this
/// function returns.
async fn serve_until_stopped(
    acceptor: Acceptor,
    listener: TcpListener,
    admin: AdminHandle,
    mut engine_task: JoinSet<()>,
) -> Result<(), ServeError> {
    let served = async {
        acceptor.serve(listener).await;
        admin.finish_commands().await;
    };
    tokio::select! {
        () = served => {
            tracing::info!("shutdown complete");
            Ok(())
        }
        // The engine ends only if it panics. No request would get a response then, so the process exits.
        Some(ended) = engine_task.join_next() => Err(ServeError::EngineStopped(ended)),
    }
}
