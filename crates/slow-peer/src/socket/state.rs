//! The state of a monitor, which its lock guards.

use std::collections::HashMap;

use super::capacity::Capacity;
use super::connection::Connection;
use crate::{
    Abort, BulkheadSettings, Bulkheads, ConnectionId, OutgoingTransfers, ResourceOwner,
    ResponseStatus, Settings, SlowPeerEvent, SlowPeerStatistics, StallCompensatedClock,
};

/// Delay of a tick, in nanoseconds, beyond which the process counts as stalled: about two thirds of the default tick
/// interval. On a busy machine, ticks are late by less than this.
const TICK_SLACK_NS: u64 = 30_000_000;
/// Minimum time between polls of the sockets outside ticks, in nanoseconds. It bounds the cost of polling when many
/// connections request it at once.
const MIN_POLL_INTERVAL_NS: u64 = 5_000_000;

/// Connections, resource accounts and statistics.
pub(super) struct State {
    pub(super) clock: StallCompensatedClock,
    pub(super) polled_at_ns: u64,
    pub(super) last_id: ConnectionId,
    pub(super) outgoing: OutgoingTransfers,
    pub(super) connections: HashMap<ConnectionId, Connection>,
    pub(super) customer_slots: Bulkheads,
    pub(super) peer_network_slots: Bulkheads,
    pub(super) statistics: SlowPeerStatistics,
}

impl State {
    /// Creates a state without connections.
    pub(super) fn new(
        settings: &Settings,
        bulkheads: &BulkheadSettings,
        capacity: Capacity,
        now_ns: u64,
    ) -> Self {
        let first_tick_ns = now_ns + settings.tick.as_nanos();
        State {
            clock: StallCompensatedClock::new(first_tick_ns, TICK_SLACK_NS),
            polled_at_ns: 0,
            last_id: ConnectionId(0),
            outgoing: OutgoingTransfers::new(settings, bulkheads, capacity.memory_bytes),
            connections: HashMap::new(),
            customer_slots: Bulkheads::new(bulkheads, capacity.connections),
            peer_network_slots: Bulkheads::new(bulkheads, capacity.connections),
            statistics: SlowPeerStatistics::default(),
        }
    }

    /// Adds a connection, and returns its identifier.
    pub(super) fn insert(&mut self, connection: Connection) -> ConnectionId {
        self.last_id = ConnectionId(self.last_id.0 + 1);
        self.connections.insert(self.last_id, connection);
        self.last_id
    }

    /// Reads the progress of all connections with unsent responses, unless that was done less than [`MIN_POLL_INTERVAL_NS`]
    /// ago.
    pub(super) fn poll_progress_if_due(&mut self, now_ns: u64) {
        if now_ns.saturating_sub(self.polled_at_ns) >= MIN_POLL_INTERVAL_NS {
            self.poll_progress(now_ns);
        }
    }

    /// Reads the progress of all connections with unsent responses.
    pub(super) fn poll_progress(&mut self, now_ns: u64) {
        self.polled_at_ns = now_ns;
        let compensated_ns = self.clock.now(now_ns);
        for id in self.outgoing.connection_ids() {
            if let Some(connection) = self.connections.get(&id) {
                let progress = connection.progress_with_round_trip();
                self.outgoing.record_progress(compensated_ns, id, progress);
            }
        }
    }

    /// Carries out aborts: notifies the owners of the connections, records the events, and penalizes the networks.
    pub(super) fn abort(&mut self, compensated_ns: u64, aborts: Vec<Abort>) {
        for abort in aborts {
            // The client usually reconnects at once and would occupy a slot until it is detected as slow again.
            let network = ResourceOwner::network(abort.owner.peer_network);
            self.peer_network_slots.penalize(compensated_ns, network);
            let event = SlowPeerEvent::ResponseAborted(abort.reason);
            let response = ResponseStatus {
                unsent_bytes: abort.unsent_bytes,
                age_ns: abort.age_ns,
            };
            self.statistics
                .record_response(abort.owner, event, response);
            if let Some(connection) = self.connections.get(&abort.id) {
                connection.abort();
            }
        }
    }
}
