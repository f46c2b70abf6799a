//! The interface of the decision module: start settings, events in, actions out.
//!
//! Nothing here knows of a wire. All times and durations are nanoseconds of the caller's clock.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies one client try while the gateway holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Declares an id that is a shared string.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                $name(text.into())
            }
        }

        impl From<Arc<str>> for $name {
            fn from(text: Arc<str>) -> Self {
                $name(text)
            }
        }

        impl From<$name> for Arc<str> {
            fn from(id: $name) -> Self {
                id.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, formatter)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

string_id! {
    /// Identifies an upstream endpoint; says nothing of its zone, machine type or age.
    EndpointId
}

string_id! {
    /// Identifies a customer, whose quota holds over all nodes together.
    CustomerId
}

/// Which backends drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// What a class allows to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times, anywhere.
    Idempotent,
    /// Inside the group, within `window` of the first send that may have run.
    IdempotencyKey {
        /// The group that drops repeats.
        scope: KeyScope,
        /// How long it remembers a key.
        deduplication_window_ns: u64,
    },
    /// Never once it may have run.
    NonIdempotent,
}

impl Idempotency {
    /// True where a repeat of what may have run at `first` does no harm at `next`, as long as keys
    /// are kept.
    pub fn deduplicates_between(self, first: &Endpoint, next: &Endpoint) -> bool {
        match self {
            Idempotency::IdempotencyKey {
                scope: KeyScope::Zone,
                ..
            } => first.zone == next.zone,
            Idempotency::IdempotencyKey {
                scope: KeyScope::Cell,
                ..
            } => first.cell == next.cell,
            _ => true,
        }
    }

    /// True where the client may try again after an attempt that may have run.
    pub fn client_may_retry(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent
                | Idempotency::IdempotencyKey {
                    scope: KeyScope::All,
                    ..
                }
        )
    }
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Answering within this earns full worth.
    pub latency_objective_ns: u64,
    /// The client's whole wait.
    pub deadline_ns: u64,
    /// Worth of a request.
    pub priority_weight: f64,
    /// Share of the worth paid past the aim.
    pub late_weight_fraction: f64,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// The answer is a stream.
    pub streaming: bool,
}

/// One plan; its quota holds for each customer over all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Units a second that fill a customer's store; 0: no such quota.
    pub quota_units_per_second: f64,
    /// Units the store holds at most.
    pub quota_burst_units: f64,
    /// Attempts a customer may have out at once; 0: no such quota.
    pub max_concurrency: u32,
    /// Multiplier on worth.
    pub weight_multiplier: f64,
    /// Share of the worth earned beyond the quota.
    pub over_quota_weight_fraction: f64,
    /// Share of the worth that sending beyond the quota costs.
    pub over_quota_penalty_fraction: f64,
    /// Units a second that fill the hard ceiling's store; 0: no ceiling.
    pub ceiling_units_per_second: f64,
    /// Units the ceiling's store holds at most.
    pub ceiling_burst_units: f64,
    /// Units by which the ceiling's store may fall below 0.
    pub ceiling_slack_units: f64,
}

/// A value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Fraction of the processor in use.
    Utilization,
    /// Requests in hand.
    InFlight,
    /// A value this version does not use.
    Other,
}

/// What a gateway is told when it starts.
#[derive(Clone, Debug, Default)]
pub struct PolicySettings {
    /// This gateway's number.
    pub node: u32,
    /// How many gateways there are.
    pub node_count: u32,
    /// This gateway's zone, in the numbering of [`Endpoint::zone`].
    pub zone: u32,
    /// Classes, in the order of [`Request::class`].
    pub classes: Vec<Class>,
    /// Plans, in the order of [`Request::plan`].
    pub plans: Vec<Plan>,
    /// The backend list must be subscribed to.
    pub watch_endpoints: bool,
    /// How many kinds of machine there are.
    pub machine_type_count: u32,
    /// The list's `scale` tells a backend's size.
    pub weighted_endpoints: bool,
    /// Names of the values in a load report.
    pub load_report_fields: Vec<LoadField>,
    /// Lowest share of its capacity at which a backend starts.
    pub slow_start_fraction: f64,
    /// A backend is warm after this at the latest.
    pub slow_start_ns: u64,
    /// Multiple of its capacity that pushes a cold backend over,
    pub overload_multiple: f64,
    /// when sent for this long.
    pub overload_window_ns: u64,
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Longest wait a client will obey; 0: clients are not told to wait.
    pub max_retry_after_ns: u64,
    /// Gateways may send each other messages.
    pub gossip_enabled: bool,
    /// Two attempts of a request may be out together.
    pub hedging_allowed: bool,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Messages a second that a gateway takes in.
    pub gossip_messages_per_second: f64,
    /// Units are an estimate, settled by the first good answer.
    pub cost_settled_after_response: bool,
    /// Units of the largest request.
    pub max_request_units: f64,
}

/// What discovery says of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Wraps up; takes nothing new.
    Draining,
    /// Removed.
    #[default]
    Removed,
}

/// One entry of the backend list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Endpoint {
    /// The backend.
    pub id: EndpointId,
    /// A size to set against other backends' sizes.
    pub weight: f64,
    /// When it last started; `None`: long past.
    pub started_at_ns: Option<u64>,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: i64,
    /// Its kind of machine, by number.
    pub machine_type: u32,
    /// Its state.
    pub state: EndpointState,
}

/// How a list of members is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// The whole list as an earlier life last saw it, possibly stale.
    Cached,
    /// The whole list.
    Snapshot,
    /// Changed entries only.
    Delta,
    /// A call failed or the subscription dropped; the old list stays.
    Failed,
}

/// A client request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its customer's plan.
    pub plan: usize,
    /// Its customer.
    pub customer: CustomerId,
    /// Units it draws, perhaps a guess.
    pub units: f64,
    /// Time until the client gives this try up.
    pub time_left_ns: u64,
    /// Marked by the client as a repeat.
    pub is_retry: bool,
    /// Number of gateways that the customer's requests come in through.
    pub node_set_size: u32,
    /// Number of the first of them.
    pub first_node: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// Answered with an error; may have run.
    Failure,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    ConnectionReset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// True where the outcome proves that the attempt never ran.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// The result of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order sent.
    pub attempt: u32,
    /// Where it went.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency_ns: u64,
    /// The request needs no further answer.
    pub request_complete: bool,
    /// Settled units, where they replace a guess.
    pub settled_units: f64,
    /// Load report, in the order of [`PolicySettings::load_report_fields`]; may be empty.
    pub load_report: Vec<f64>,
}

/// What a gateway sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the backend list.
    EndpointUpdate(EndpointUpdateKind, Arc<[Endpoint]>),
    /// The operators gave a backend back that they had withheld: it begins anew.
    ReturnedToService(Endpoint),
    /// Part of its usual work that each zone gets, by its number; zones beyond get all.
    ZoneTrafficShares(Vec<f64>),
    /// A request came in.
    Request(Request),
    /// A streamed answer began.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// The client is gone; nothing more is owed.
    ClientDisconnected(RequestId),
    /// A timer fell due.
    TimerExpired(u64),
    /// A probe came back.
    HealthChecked {
        /// The backend.
        endpoint: EndpointId,
        /// It answered.
        healthy: bool,
        /// Load report, may be empty.
        load_report: Vec<f64>,
    },
    /// A message from another gateway.
    PeerMessage {
        /// Its number.
        from: u32,
        /// What it said.
        text: String,
    },
    /// The counter service answered.
    CounterRead {
        /// Name of the figure.
        name: String,
        /// The total, where the call succeeded.
        total: Option<f64>,
    },
}

/// What a gateway does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; `timeout` 0: until the client gives up.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout_ns: u64,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused, trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Advised wait; 0: none.
        retry_after_ns: u64,
    },
    /// Final answer: failed, no promise.
    Fail(RequestId),
    /// Ask for a timer.
    SetTimer {
        /// Time from now.
        after_ns: u64,
        /// Comes back with the event.
        token: u64,
    },
    /// Ask a backend for its state.
    HealthCheck(EndpointId),
    /// Close idle connections to a backend.
    CloseIdleConnections(EndpointId),
    /// Send text to one gateway, or to all.
    SendGossip {
        /// Its number; `None`: all.
        peer: Option<u32>,
        /// At most 256 bytes.
        text: String,
    },
    /// A line for the operators.
    Log(String),
    /// Subscribe to the backend list, or stop.
    WatchEndpoints(bool),
    /// Ask for the whole backend list once.
    FetchEndpoints,
    /// Add to a figure of the counter service.
    AddToCounter {
        /// Name of the figure.
        name: String,
        /// Amount to add.
        amount: f64,
        /// How long a new name lives.
        ttl_ns: u64,
    },
}
