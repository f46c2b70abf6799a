//! The node: starts its subsystems and owns their tasks.
//!
//! All subsystems share one clock, one queue to the engine and one [`ProcessStatus`]. The engine and the acceptor are
//! returned to `serve`, which awaits them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use applewall_admin::ShutdownDeadlines;
use applewall_slow_peer::socket::Capacity;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::JoinSet;

use super::bootstrap::TransferContext;
use crate::admin::handle::AdminHandle;
use crate::admin::state_writer::StateWriter;
use crate::clock::Clock;
use crate::config::operator::OperatorConfig;
use crate::config::platform::PlatformConfig;
use crate::config::reload::ReloadedConfig;
use crate::discovery::registry;
use crate::discovery::startup::StartupSchedule;
use crate::discovery::watch::{self as endpoint_watch, WatchStart};
use crate::discovery::zone_failover::ZoneFailover;
use crate::engine::message::Message;
use crate::engine::{self, Engine, InitialState};
use crate::lifecycle::command_relay::OtherProcess;
use crate::lifecycle::hot_restart::{HotRestart, OldProcess};
use crate::lifecycle::process_role::{ProcessStatus, RoleOwner};
use crate::lifecycle::shutdown::LifecycleDriver;
use crate::resources::connection_budget::ConnectionBudget;
use crate::resources::limits::ENGINE_QUEUE_CAPACITY;
use crate::server::acceptor::{self, Acceptor};
use crate::server::slow_peers::{MonitorUpdater, TransferMonitors};
use crate::system::peer_socket::{DatagramHandler, PeerSocket};

/// The dependencies of the subsystems, and the tasks of those that have been started.
pub(super) struct Node {
    /// The configuration, in which port 0 is replaced by the bound port.
    pub config: PlatformConfig,
    /// The engine's clock.
    clock: Clock,
    queue: mpsc::Sender<Message>,
    /// The UDP socket, if there are peers.
    peers: Option<Arc<PeerSocket>>,
    /// The role of this process and the times of its shutdown.
    pub status: ProcessStatus,
    /// Maximum numbers of connections.
    budget: ConnectionBudget,
    /// One permit per client connection. The acceptor acquires it before `accept`, and it is released when the
    /// connection is closed.
    client_permits: Arc<Semaphore>,
    /// The revision of the configured endpoint list, if that list is complete.
    known_revision: Option<u64>,
    /// The schedule of this node's calls to discovery at startup, if the operator enabled startup scheduling.
    schedule: Option<Arc<StartupSchedule>>,
    /// All tasks except the engine's. They are aborted when the node is dropped.
    tasks: JoinSet<()>,
}

impl Node {
    /// Creates a node whose only running subsystem is the admin listener. Also returns the owner of its role and the
    /// receiver of the engine's queue.
    pub(super) fn new(
        config: PlatformConfig,
        clock: Clock,
        peers: Option<Arc<PeerSocket>>,
        tasks: JoinSet<()>,
    ) -> (Self, RoleOwner, mpsc::Receiver<Message>) {
        let (queue, messages) = mpsc::channel(ENGINE_QUEUE_CAPACITY);
        let (role_owner, role) = RoleOwner::new();
        let budget = config.connection_budget();
        let known = &config.known_endpoints;
        let is_complete = known.complete && !known.targets.is_empty();
        let node = Node {
            clock,
            queue,
            peers,
            status: ProcessStatus {
                role,
                shutdown_times: Arc::default(),
            },
            client_permits: budget.client_permits(),
            budget,
            known_revision: is_complete.then_some(known.revision),
            schedule: None,
            tasks,
            config,
        };
        (node, role_owner, messages)
    }

    /// Creates zone failover, if the operator enabled it.
    pub(super) fn zone_failover(&self, operator_config: &OperatorConfig) -> Option<ZoneFailover> {
        let config = &self.config;
        let now = self.clock.now();
        ZoneFailover::new(&operator_config.zones, &config.settings, config.seed, now)
    }

    /// Schedules this node's calls to discovery among those of the fleet, if the operator enabled startup scheduling. A
    /// node has to wait for an endpoint list before it is ready only if it has a schedule and no configured list.
    pub(super) fn schedule_startup(
        &mut self,
        operator_config: &OperatorConfig,
        has_endpoints: watch::Sender<bool>,
    ) {
        let revision = self.known_revision;
        let peers = self.peers.clone();
        self.schedule =
            StartupSchedule::new(operator_config, &self.config, revision, self.clock, peers);
        has_endpoints.send_replace(self.schedule.is_none() || revision.is_some());
        if let Some(schedule) = &self.schedule {
            let readiness = schedule.clone().publish_readiness(has_endpoints);
            self.tasks.spawn(readiness);
        }
    }

    /// Starts the registries that the operator enabled. Returns the queue for updates from discovery: that of the task
    /// that merges them with updates from the registries, or that of the engine.
    pub(super) fn start_sources(&mut self, reloaded: &ReloadedConfig) -> mpsc::Sender<Message> {
        let queue = self.queue.clone();
        let (config, tasks) = (&self.config, &mut self.tasks);
        registry::start(&reloaded.operator_config, config, self.clock, queue, tasks)
    }

    /// Starts slow-peer protection, which follows the operator's configuration.
    pub(super) fn start_slow_peer_protection(
        &mut self,
        reloaded: &ReloadedConfig,
    ) -> TransferMonitors {
        let capacity = Capacity {
            connections: self.budget.clients,
            memory_bytes: self.config.max_memory_bytes as u64,
        };
        let permits = self.client_permits.clone();
        let operator = reloaded.operator_config.clone();
        let (updater, monitors) = MonitorUpdater::new(operator, self.clock, permits, capacity);
        self.tasks.spawn(updater.run());
        monitors
    }

    pub(super) fn engine(
        &self,
        initial_state: InitialState,
        zones: Option<ZoneFailover>,
        monitors: TransferMonitors,
        other_process: OtherProcess,
    ) -> Engine {
        let dependencies = engine::Dependencies {
            clock: self.clock,
            peers: self.peers.clone(),
            monitors,
            queue: self.queue.clone(),
            initial_state,
            zones,
            other_process,
        };
        let engine = Engine::new(&self.config, dependencies);
        // The format of this line must not change: test drivers read the port numbers from it.
        tracing::info!("serving {}", self.config.summary());
        engine
    }

    /// Starts to receive datagrams, if there are peers.
    pub(super) fn start_gossip(&mut self) {
        if let Some(peers) = &self.peers {
            let schedule = self.schedule.clone();
            let handler = schedule.map(|schedule| schedule as Arc<dyn DatagramHandler>);
            let (queue, role) = (self.queue.clone(), self.status.role.clone());
            self.tasks
                .spawn(peers.clone().receive(queue, role, handler));
        }
    }

    /// Starts watching discovery's endpoint list.
    pub(super) fn start_endpoint_watch(
        &mut self,
        discovery: watch::Receiver<SocketAddr>,
        updates: mpsc::Sender<Message>,
    ) {
        // The task that merges sources needs a complete list first, and every confirmation that the list is still
        // current.
        let merges_sources = !updates.same_channel(&self.queue);
        let start = WatchStart {
            revision: self.known_revision.filter(|_| !merges_sources),
            seed: self.config.seed,
            schedule: self.schedule.clone(),
            forward_empty_deltas: merges_sources,
        };
        let settings = self.config.settings.clone();
        self.tasks.spawn(endpoint_watch::follow(
            discovery, start, settings, self.clock, updates,
        ));
    }

    /// Computes the deadlines of a shutdown from the longest request deadline of any class.
    pub(super) fn shutdown_deadlines(&self) -> ShutdownDeadlines {
        let classes = &self.config.settings.policy.classes;
        let longest = classes.iter().map(|class| class.deadline_ns).max();
        ShutdownDeadlines::new(Duration::from_nanos(longest.unwrap_or(0)))
    }

    pub(super) fn start_lifecycle(&mut self, driver: LifecycleDriver) {
        self.tasks.spawn(driver.run());
    }

    pub(super) fn acceptor(&self, admin: &AdminHandle, monitors: TransferMonitors) -> Acceptor {
        let dependencies = acceptor::Dependencies {
            clock: self.clock,
            permits: self.client_permits.clone(),
            monitors,
            queue: self.queue.clone(),
            phases: admin.phase.clone(),
            has_endpoint_list: admin.has_endpoints.clone(),
            status: self.status.clone(),
        };
        Acceptor::new(&self.config, dependencies)
    }

    /// Starts hot restart and the state writer. Returns once this process is ready: immediately, or when the old
    /// process has confirmed that this process has taken over and the admin commands that this one has missed are executed.
    pub(super) async fn start_hot_restart(
        &mut self,
        transfer: TransferContext,
        role: RoleOwner,
        admin: AdminHandle,
        old_process: Option<OldProcess>,
    ) {
        let Some(shared_directory) = transfer.shared_directory else {
            // Without another process the role never changes. Its owner must not be dropped (see `RoleOwner::closed`).
            self.tasks.spawn(async move { role.closed().await });
            return;
        };
        let writer = StateWriter::new(
            shared_directory.clone(),
            self.status.role.clone(),
            transfer.state_requests,
            transfer.inherited_maintenance,
        );
        let hot_restart = HotRestart {
            shared_directory,
            role,
            other_process: transfer.other_process,
            control: admin.control.clone(),
            admin,
            peers: self.peers.clone(),
        };
        let takes_over = old_process.is_some();
        let mut active = hot_restart.take_over(old_process).await;
        self.tasks.spawn(writer.run());
        active.execute_missed_commands().await;
        transfer.ready.send_replace(true);
        self.tasks.spawn(active.run());
        if takes_over {
            tracing::info!("hot restart: this process has taken over");
        }
    }
}
