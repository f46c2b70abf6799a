//! Timeouts and retry delays of the endpoint list watch, without I/O and without a clock.
//!
//! They are chosen so that the node learns of a drain in time to respect it, even if discovery did not answer when the
//! drain began (see [`AGENT_TIMING`]).

use std::time::Duration;

use applewall_membership::Backoff;

use super::connection::CallFailure;

/// Timing for lists that are pushed to an agent on this machine.
///
/// Calls to a local agent cause no load for the fleet, so retries can be fast. They also have to be: the platform counts a
/// drain as reported once the agent has it, and at the latest 6 s after the agent stopped answering; from then on a node has 0.5 s
/// to stop sending to the endpoint. An unresponsive agent is detected after `watch_wait + answer_margin` = 3.5 s. Each retry then
/// takes `first_call_timeout` = 0.3 s and follows the previous one without delay, which allows eight retries before 6.5 s.
/// An agent that answers again is called within 0.3 s.
pub(super) const AGENT_TIMING: WatchTiming = WatchTiming {
    watch_wait: Duration::from_secs(3),
    answer_margin: Duration::from_millis(500),
    first_call_timeout: Some(Duration::from_millis(300)),
    retry_policy: RetryPolicy::LocalAgent(Backoff {
        initial: Duration::from_millis(25),
        max: Duration::from_millis(160),
    }),
};

/// Timing for lists that nodes watch at a shared discovery service.
///
/// All nodes of the fleet call the same service, which would stay overloaded if all of them retried at once. The retry
/// delays therefore grow with the number of nodes.
pub(super) const SERVICE_TIMING: WatchTiming = WatchTiming {
    watch_wait: Duration::from_secs(5),
    answer_margin: Duration::from_secs(2),
    first_call_timeout: None,
    retry_policy: RetryPolicy::SharedService,
};

/// Retry delays at a shared service, per node of the fleet. Together the nodes retry 50 times per second at first, and
/// 12.5 times per second once the delay has reached its maximum.
const SERVICE_BACKOFF_PER_NODE: Backoff = Backoff {
    initial: Duration::from_millis(20),
    max: Duration::from_millis(80),
};

/// Lower bound of the retry delays at a shared service. With fewer than 13 nodes, the delays per node would be shorter than
/// the time that a service needs to recover.
const MIN_SERVICE_BACKOFF: Backoff = Backoff {
    initial: Duration::from_millis(50),
    max: Duration::from_secs(1),
};

/// Upper bound of the delay after a timeout at a shared service, for any number of nodes. The timed-out calls lasted for
/// seconds, which already limits the fleet's call rate.
const MAX_DELAY_AFTER_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of a connection's first call grows to the time since the loss divided by this number, so that a slow agent
/// eventually gets enough time to answer.
const FIRST_CALL_TIMEOUT_DIVISOR: u32 = 40;

/// Time per node over which the first calls of a fleet that starts at once are distributed.
const FIRST_CALL_WINDOW_PER_NODE: Duration = Duration::from_millis(10);

/// The window of the first calls is at most the drain notice divided by this number. Drains that are in the list when the
/// process starts count as reported from then on; a node that calls too late would still send to drained endpoints.
const FIRST_CALL_WINDOW_DIVISOR: u32 = 20;

/// How the delay after a failed call is determined.
#[derive(Clone, Copy, Debug)]
pub(super) enum RetryPolicy {
    /// An agent on this machine: the first retry and each retry after a timeout are immediate; the others follow this
    /// backoff.
    LocalAgent(Backoff),
    /// One service for all nodes: each retry has a delay that grows with the number of nodes.
    SharedService,
}

/// Timeouts and retry delays of the watch.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchTiming {
    /// How long discovery may hold a call until there are changes.
    pub watch_wait: Duration,
    /// How long after `watch_wait` the answer may arrive.
    pub answer_margin: Duration,
    /// Timeout of the first call on a connection, including the connect; that call requests an immediate answer. `None` if
    /// the first call is like any other.
    pub first_call_timeout: Option<Duration>,
    /// Delays after a failed call, before jitter.
    pub retry_policy: RetryPolicy,
}

impl WatchTiming {
    /// The timing for the platform's settings: `subscribes` is true if the node watches the list at a service, and false if
    /// the list is pushed to an agent.
    pub(super) fn for_subscription(subscribes: bool) -> Self {
        if subscribes {
            SERVICE_TIMING
        } else {
            AGENT_TIMING
        }
    }

    /// The delay before the next connection attempt, before jitter. `retries` is the number of earlier failures since the
    /// loss.
    pub(super) fn retry_delay(
        &self,
        node_count: u32,
        failure: CallFailure,
        retries: u32,
    ) -> Duration {
        match (self.retry_policy, failure) {
            // An agent rejects calls on behalf of the service behind it, which other nodes call too.
            (_, CallFailure::Rejected { .. })
            | (RetryPolicy::SharedService, CallFailure::ConnectionLost) => {
                service_backoff(node_count).delay(retries)
            }
            (RetryPolicy::SharedService, CallFailure::TimedOut) => service_backoff(node_count)
                .delay(retries)
                .min(MAX_DELAY_AFTER_TIMEOUT),
            // No delay, because the call has already lasted for its timeout.
            (RetryPolicy::LocalAgent(_), CallFailure::TimedOut) => Duration::ZERO,
            (RetryPolicy::LocalAgent(backoff), CallFailure::ConnectionLost) => retries
                .checked_sub(1)
                .map_or(Duration::ZERO, |earlier| backoff.delay(earlier)),
        }
    }

    /// Timeout of the first call on a connection after discovery has been lost for `lost_for`.
    pub(super) fn first_call_timeout(&self, lost_for: Duration) -> Option<Duration> {
        self.first_call_timeout.map(|min_timeout| {
            (lost_for / FIRST_CALL_TIMEOUT_DIVISOR).clamp(min_timeout, SERVICE_TIMING.answer_margin)
        })
    }
}

/// Retry delays for one of `node_count` nodes that call the same service.
fn service_backoff(node_count: u32) -> Backoff {
    Backoff {
        initial: (SERVICE_BACKOFF_PER_NODE.initial * node_count).max(MIN_SERVICE_BACKOFF.initial),
        max: (SERVICE_BACKOFF_PER_NODE.max * node_count).max(MIN_SERVICE_BACKOFF.max),
    }
}

/// The time over which the first calls of a fleet are distributed, given how long ahead endpoints announce a drain.
pub(super) fn first_call_window(node_count: u32, drain_notice: Duration) -> Duration {
    (FIRST_CALL_WINDOW_PER_NODE * node_count).min(drain_notice / FIRST_CALL_WINDOW_DIVISOR)
}
