//! The engine: the event loop that owns the decision policy, its timers and all pending requests.
//!
//! The engine runs in one task. It receives [`Message`]s and admin commands through queues, starts attempts at
//! endpoints, sends responses to clients and sends datagrams to peers. It awaits nothing but its queues and timers, so
//! senders that wait for queue capacity always make progress. A request has at most one attempt in flight and gets
//! exactly one response.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use applewall::api::{Action, EndpointUpdateKind, Event, RequestId};
use applewall::decision::DecisionPolicy;
use applewall::platform_settings::PlatformSettings;
use applewall_admin::MaintenanceSet;
use tokio::sync::mpsc;

use crate::admin::handle::ControlMessage;
use crate::admin::maintenance::MaintenanceFilter;
use crate::clock::Clock;
use crate::config::platform::PlatformConfig;
use crate::discovery::address_owners::AddressOwners;
use crate::discovery::zone_failover::{self, ZoneFailover};
use crate::engine::message::{EndpointEntry, EndpointUpdate, Message, PeerDatagram};
use crate::lifecycle::command_relay::OtherProcess;
use crate::lifecycle::process_role::TransferredState;
use crate::server::slow_peers::{self, TransferMonitors};
use crate::system::peer_socket::PeerSocket;
use crate::upstream::pool::{ConnectionPool, PoolLimits};

mod admin_commands;
mod attempts;
mod effects;
mod executed_requests;
pub(crate) mod message;
mod pending_request;
mod requests;
mod statistics;
mod timers;

use executed_requests::ExecutedRequests;
use pending_request::PendingRequest;
use statistics::Statistics;
use timers::{Due, Timer, Timers};

/// Maximum number of messages handled before timers are checked again, which bounds the delay of timers.
const MAX_BATCH: usize = 128;
/// A wake-up later than this counts as a stall of the process.
const STALL_THRESHOLD_NS: u64 = 30_000_000;

/// The state that a new engine starts with.
pub(crate) enum InitialState {
    /// No admin address is configured, so there is no maintenance set.
    WithoutAdmin,
    /// The maintenance set of the state file; empty if there is no file, or if it could not be read.
    Maintenance(MaintenanceSet),
    /// The state transferred by the predecessor process.
    HotRestart(TransferredState),
}

/// Dependencies of the engine.
pub(crate) struct Dependencies {
    /// The clock of the engine and the policy.
    pub clock: Clock,
    /// The socket for datagrams to peers, if there are peers.
    pub peers: Option<Arc<PeerSocket>>,
    /// Slow-peer protection for upstream responses.
    pub monitors: TransferMonitors,
    /// The engine's own queue, to which attempts report.
    pub queue: mpsc::Sender<Message>,
    /// Determines the maintenance set and, in a hot restart, also the endpoint list and the state of the policy.
    pub initial_state: InitialState,
    /// Zone failover, if the operator enabled it.
    pub zones: Option<ZoneFailover>,
    /// The queue to the other process of this node, while one is connected.
    pub other_process: OtherProcess,
}

/// A period in which the process did not run. Requests read right after it may have waited in the kernel meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ClockStall {
    /// Length of the stall, during which the deadlines of clients came closer.
    lost_ns: u64,
    /// Requests accepted until this time may have waited for the whole stall.
    applies_until_ns: u64,
}

/// The engine's state; [`Engine::run`] is the event loop.
pub(crate) struct Engine {
    policy: DecisionPolicy,
    settings: Arc<PlatformSettings>,
    clock: Clock,
    pool: ConnectionPool,
    peers: Option<Arc<PeerSocket>>,
    pending: HashMap<RequestId, PendingRequest>,
    executed: ExecutedRequests,
    address_owners: AddressOwners,
    other_process: OtherProcess,
    timers: Timers,
    /// Events caused by performing actions, handled before the next message.
    follow_up_events: VecDeque<Event>,
    /// Buffer for the policy's actions; empty between events, kept to reuse its allocation.
    actions: Vec<Action>,
    now: u64,
    stall: ClockStall,
    statistics: Statistics,
    monitors: TransferMonitors,
    /// `None` if there is no admin address.
    maintenance: Option<MaintenanceFilter>,
    /// `None` if the operator did not enable zone failover.
    zones: Option<ZoneFailover>,
    /// True while another process of this node sends the datagrams to peers.
    gossip_handed_over: bool,
}

impl Engine {
    /// Creates an engine and applies the known endpoint list.
    pub(crate) fn new(config: &PlatformConfig, dependencies: Dependencies) -> Self {
        let Dependencies {
            clock,
            peers,
            monitors,
            queue,
            initial_state,
            zones,
            other_process,
        } = dependencies;
        let now = clock.now();
        let settings = config.settings.clone();
        let limits = PoolLimits {
            connections: config.connection_budget().upstream,
            prefetch_bytes: config.memory_budget().response_body_bytes,
        };
        let mut engine = Engine {
            policy: DecisionPolicy::new(settings.policy.clone(), config.seed, now),
            pool: ConnectionPool::new(&settings, limits, clock, monitors.clone(), queue),
            settings,
            clock,
            peers,
            pending: HashMap::new(),
            executed: ExecutedRequests::default(),
            address_owners: AddressOwners::default(),
            other_process,
            timers: Timers::starting_at(now),
            follow_up_events: VecDeque::new(),
            actions: Vec::new(),
            now,
            stall: ClockStall::default(),
            statistics: Statistics::default(),
            monitors,
            maintenance: None,
            zones,
            gossip_handed_over: false,
        };
        if engine.zones.is_some() {
            engine.schedule_zone_failover();
        }
        let entries = engine.restore(config, initial_state);
        engine.handle_message(Message::EndpointUpdate(EndpointUpdate {
            kind: EndpointUpdateKind::Cached,
            entries,
        }));
        engine
    }

    /// Restores the initial state and returns the endpoint list to start with.
    fn restore(
        &mut self,
        config: &PlatformConfig,
        initial_state: InitialState,
    ) -> Vec<EndpointEntry> {
        match initial_state {
            InitialState::WithoutAdmin => {
                config.known_endpoints.entries(&self.settings, &self.clock)
            }
            InitialState::Maintenance(maintenance) => {
                self.maintenance = Some(MaintenanceFilter::new(maintenance));
                config.known_endpoints.entries(&self.settings, &self.clock)
            }
            InitialState::HotRestart(state) => {
                self.maintenance = Some(MaintenanceFilter::new(state.maintenance));
                if let Err(error) = self.policy.import_snapshot(&state.policy_state) {
                    tracing::warn!(%error, "cannot import the transferred state of the decision policy");
                }
                let entry = |(endpoint, address)| EndpointEntry { endpoint, address };
                state.endpoints.into_iter().map(entry).collect()
            }
        }
    }

    /// Runs until all senders of messages have been dropped.
    pub(crate) async fn run(
        mut self,
        mut messages: mpsc::Receiver<Message>,
        mut admin_commands: mpsc::Receiver<ControlMessage>,
    ) {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        let sleep = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(sleep);
        loop {
            let due = self.timers.next_due();
            let wake_at = self.clock.instant(due).into();
            if sleep.deadline() != wake_at {
                sleep.as_mut().reset(wake_at);
            }
            tokio::select! {
                biased;
                // Polled before messages: an admin command has to be answered within one second even if the message
                // queue is full.
                Some(command) = admin_commands.recv() => {
                    self.advance_to(self.clock.now(), due);
                    self.handle_admin_command(command);
                }
                taken = messages.recv_many(&mut batch, MAX_BATCH) => if taken == 0 { return },
                () = &mut sleep => {}
            }
            // Messages that waited in the queue together are handled with the same time stamp.
            self.advance_to(self.clock.now(), due);
            batch
                .drain(..)
                .for_each(|message| self.handle_message(message));
            if self.timers.is_last_resort_due(self.now) {
                self.await_due_reports(&mut messages).await;
            }
            self.expire_timers();
        }
    }

    /// Handles reports of attempts before any last-resort response is sent. An attempt normally ends before the
    /// last-resort response of its request is due. After a stall of the process both may be overdue while the attempt's
    /// task has not run yet or its report is still queued.
    async fn await_due_reports(&mut self, messages: &mut mpsc::Receiver<Message>) {
        // Returns after the runtime has polled I/O, timers and the tasks that they woke.
        tokio::task::yield_now().await;
        self.now = self.clock.now();
        while let Ok(message) = messages.try_recv() {
            self.handle_message(message);
        }
    }

    /// Advances the engine's time to `now`; `due` is when the next timer was due. If that is long past, the process was
    /// stalled: requests accepted right afterwards may have waited in the kernel, so the length of the stall is
    /// subtracted from their deadlines.
    fn advance_to(&mut self, now: u64, due: u64) {
        if now.saturating_sub(due) > STALL_THRESHOLD_NS {
            self.stall = ClockStall {
                lost_ns: now - self.now,
                applies_until_ns: now + STALL_THRESHOLD_NS,
            };
        }
        self.now = now;
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Request(request) => self.handle_request(request),
            Message::ClientDisconnected(disconnected) => self.handle_disconnect(disconnected),
            Message::AttemptEnded(ended) => self.handle_attempt_ended(ended),
            Message::EndpointUpdate(update) => self.handle_endpoint_update(update),
            Message::PeerDatagram(datagram) => self.handle_peer_datagram(datagram),
        }
    }

    fn handle_endpoint_update(&mut self, update: EndpointUpdate) {
        let EndpointUpdate { kind, mut entries } = update;
        self.address_owners.apply(kind, &mut entries);
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.apply(kind, &mut entries);
        }
        self.pool.update(kind, &entries);
        if let Some(zones) = &mut self.zones {
            zones.endpoints_updated(self.now, kind, &entries);
        }
        let endpoints = entries.into_iter().map(|entry| entry.endpoint).collect();
        self.handle_event(Event::EndpointUpdate(kind, endpoints));
    }

    /// Passes a datagram to zone failover if it is a zone message, otherwise to the policy.
    fn handle_peer_datagram(&mut self, datagram: PeerDatagram) {
        let PeerDatagram { from, text } = datagram;
        let now = self.now;
        let is_zone_message = self
            .zones
            .as_mut()
            .is_some_and(|zones| zones.receive(now, from, &text));
        if !is_zone_message {
            self.handle_event(Event::PeerMessage { from, text });
        }
    }

    /// Handles all timers that are due.
    fn expire_timers(&mut self) {
        while let Some(due) = self.timers.next_expired(self.now) {
            match due {
                Due::LastResort(request) => self.send_last_resort(request),
                Due::Timer(timer) => self.handle_timer(timer),
            }
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.handle_event(Event::TimerExpired(token)),
            Timer::ZoneFailover => {
                self.step_zone_failover();
                self.schedule_zone_failover();
            }
            Timer::IdleSweep => {
                self.clock.observe_wall_clock();
                self.pool.close_expired();
                self.timers.schedule_idle_sweep(self.now);
            }
            Timer::Statistics => {
                self.log_statistics();
                slow_peers::log_statistics(&self.monitors);
                self.timers.schedule_statistics(self.now);
            }
        }
    }

    fn step_zone_failover(&mut self) {
        let peers = self.peers.as_deref().filter(|_| !self.gossip_handed_over);
        let now = self.now;
        let shares = self.zones.as_mut().and_then(|zones| zones.tick(now, peers));
        if let Some(shares) = shares {
            self.handle_event(Event::ZoneTrafficShares(shares));
        }
    }

    fn schedule_zone_failover(&mut self) {
        self.timers.schedule(
            self.now + zone_failover::EVALUATION_INTERVAL_NS,
            Timer::ZoneFailover,
        );
    }
}

#[cfg(test)]
mod tests;
