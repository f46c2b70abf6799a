//! The connection pool: endpoints, their idle connections, and the attempts started on them.
//!
//! Each started attempt sends one message to the engine's queue. The number of connections never exceeds
//! [`PoolLimits`]. A draining endpoint gets no new attempts, and its idle connections are closed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use applewall::api::{EndpointId, EndpointState, EndpointUpdateKind, LoadField};
use applewall::platform_settings::PlatformSettings;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};

use crate::clock::Clock;
use crate::engine::message::{EndpointEntry, Message};
use crate::server::slow_peers::TransferMonitors;
use crate::upstream::attempt::{self, Attempt};
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::context::AttemptContext;
use crate::upstream::endpoint::{ConnectionLease, Timeouts, UpstreamEndpoint};
use crate::upstream::response_monitor::ResponseMonitor;

/// Fraction of the endpoint's idle timeout after which the pool closes an idle connection. A request sent while the
/// endpoint closes the connection would be reset.
const IDLE_LIMIT_FRACTION: f64 = 0.6;

/// Limits of the pool's connections and memory.
pub(crate) struct PoolLimits {
    /// Maximum number of connections, including idle ones.
    pub connections: usize,
    /// Maximum number of bytes of prefetched response bodies.
    pub prefetch_bytes: usize,
}

/// The endpoints with their idle connections, and the limits on new ones.
pub(crate) struct ConnectionPool {
    endpoints: HashMap<EndpointId, Arc<UpstreamEndpoint>>,
    /// Bounds the number of connections: one permit each, released when the connection is dropped.
    permits: Arc<Semaphore>,
    timeouts: Arc<Timeouts>,
    load_report_fields: Arc<[LoadField]>,
    /// Bounds the memory of prefetched bodies: one permit per byte, released when the body is dropped.
    prefetch: Arc<Semaphore>,
    clock: Clock,
    monitors: TransferMonitors,
    queue: mpsc::Sender<Message>,
}

impl ConnectionPool {
    /// Creates a pool without endpoints, whose attempts report to `queue`.
    pub(crate) fn new(
        settings: &PlatformSettings,
        limits: PoolLimits,
        clock: Clock,
        monitors: TransferMonitors,
        queue: mpsc::Sender<Message>,
    ) -> Self {
        let idle_limit = Duration::from_nanos(settings.idle_connection_timeout_ns);
        let timeouts = Timeouts {
            connect: Duration::from_nanos(settings.connect_timeout_ns),
            idle: idle_limit.mul_f64(IDLE_LIMIT_FRACTION),
        };
        ConnectionPool {
            endpoints: HashMap::new(),
            permits: Arc::new(Semaphore::new(limits.connections)),
            timeouts: Arc::new(timeouts),
            load_report_fields: settings.policy.load_report_fields.as_slice().into(),
            prefetch: Arc::new(Semaphore::new(limits.prefetch_bytes)),
            clock,
            monitors,
            queue,
        }
    }

    /// Applies a change of the endpoint list.
    pub(crate) fn update(&mut self, kind: EndpointUpdateKind, entries: &[EndpointEntry]) {
        if kind != EndpointUpdateKind::Delta {
            // Endpoints missing from a complete list have been removed; the flag of listed ones is set below.
            for endpoint in self.endpoints.values() {
                endpoint.lock().draining = true;
            }
        }
        for EndpointEntry { endpoint, address } in entries {
            let upstream = self
                .endpoints
                .entry(endpoint.id.clone())
                .or_insert_with(|| Arc::new(UpstreamEndpoint::new(*address)));
            let mut connections = upstream.lock();
            connections.address = *address;
            connections.draining = endpoint.state != EndpointState::Ready;
            connections
                .idle
                .retain(|connection| connection.address == *address);
        }
        // Dropping an endpoint closes its idle connections. Attempts in flight still share it and see that it is
        // draining.
        self.endpoints
            .retain(|_, endpoint| !endpoint.lock().draining);
    }

    fn is_fresh(&self, connection: &UpstreamConnection) -> bool {
        connection.idle_since.elapsed() < self.timeouts.idle
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        for endpoint in self.endpoints.values() {
            endpoint
                .lock()
                .idle
                .retain(|connection| self.is_fresh(connection));
        }
    }

    pub(crate) fn idle_connections(&self) -> usize {
        self.endpoints
            .values()
            .map(|endpoint| endpoint.lock().idle.len())
            .sum()
    }

    /// Acquires a permit for a new connection. If none is available, closes the connection that has been idle longest.
    fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        let oldest = |endpoint: &&Arc<UpstreamEndpoint>| {
            let connections = endpoint.lock();
            connections.idle.first().map(|idle| idle.idle_since)
        };
        let longest_idle = self
            .endpoints
            .values()
            .filter(|endpoint| oldest(endpoint).is_some())
            .min_by_key(oldest)?;
        drop(longest_idle.lock().idle.remove(0));
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Returns an idle connection that may still be reused, or a permit for a new one.
    fn lease(&self, endpoint: &UpstreamEndpoint) -> Option<ConnectionLease> {
        // The sweep may not have closed an expired connection yet, and the endpoint may be about to close it.
        let idle = endpoint
            .lock()
            .idle
            .pop()
            .filter(|idle| self.is_fresh(idle));
        idle.map(ConnectionLease::Idle)
            .or_else(|| self.acquire_permit().map(ConnectionLease::Permit))
    }

    /// Slow-peer protection for responses, if the operator enabled it.
    fn response_monitor(&self) -> Option<ResponseMonitor> {
        let monitor = self.monitors.borrow();
        let monitor = monitor
            .as_ref()
            .filter(|monitor| monitor.settings().enabled.0);
        monitor.cloned().map(|monitor| ResponseMonitor {
            monitor,
            clock: self.clock,
        })
    }

    /// Starts an attempt in its own task, which sends one report. The task is not joined: it ends at its deadline, or
    /// when the returned sender is dropped, which cancels the attempt.
    ///
    /// # Errors
    ///
    /// Returns the attempt if its endpoint is not listed or no connection is available. Nothing has been sent then.
    pub(crate) fn start(&self, attempt: Attempt) -> Result<oneshot::Sender<()>, Attempt> {
        let Some(endpoint) = self.endpoints.get(&attempt.endpoint) else {
            return Err(attempt);
        };
        let Some(lease) = self.lease(endpoint) else {
            return Err(attempt);
        };
        let (cancel, cancelled) = oneshot::channel();
        let context = AttemptContext {
            endpoint: endpoint.clone(),
            timeouts: self.timeouts.clone(),
            load_report_fields: self.load_report_fields.clone(),
            response_monitor: self.response_monitor(),
            prefetch: self.prefetch.clone(),
            queue: self.queue.clone(),
        };
        tokio::spawn(attempt::run(context, attempt, lease, cancelled));
        Ok(cancel)
    }
}

#[cfg(test)]
mod tests;
