//! The interface of the decision module: start settings, events in, actions out.
//!
//! Nothing here knows of a wire. All times and durations are nanoseconds of the caller's clock.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies one client try while the gateway holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Name of a backend; says nothing of its zone, kind or age.
pub type BackendId = Arc<str>;

/// Name of a customer.
pub type CustomerId = Arc<str>;

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
pub enum Repeats {
    /// Any number of times, anywhere.
    Safe,
    /// Inside the group, within `window` of the first send that may have run.
    Keyed {
        /// The group that drops repeats.
        scope: KeyScope,
        /// How long it remembers a key.
        window: u64,
    },
    /// Never once it may have run.
    Unsafe,
}

impl Repeats {
    /// True where a repeat of what may have run at `first` does no harm at `next`, as long as keys are kept.
    pub fn dropped_at(self, first: &Member, next: &Member) -> bool {
        match self {
            Repeats::Keyed {
                scope: KeyScope::Zone,
                ..
            } => first.zone == next.zone,
            Repeats::Keyed {
                scope: KeyScope::Cell,
                ..
            } => first.cell == next.cell,
            _ => true,
        }
    }

    /// True where the client may try again after an attempt that may have run.
    pub fn harmless(self) -> bool {
        matches!(
            self,
            Repeats::Safe
                | Repeats::Keyed {
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
    pub aim: u64,
    /// The client's whole wait.
    pub deadline: u64,
    /// Worth of a request.
    pub worth: f64,
    /// Share of the worth paid past the aim.
    pub late_worth: f64,
    /// What may be repeated.
    pub repeats: Repeats,
    /// The answer is a stream.
    pub stream: bool,
}

/// One plan; its quota holds for each customer over all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Units a second that fill a customer's store; 0: no such quota.
    pub rate: f64,
    /// Units the store holds at most.
    pub burst: f64,
    /// Attempts a customer may have out at once; 0: no such quota.
    pub open: u32,
    /// Multiplier on worth.
    pub price: f64,
    /// Share of the worth earned beyond the quota.
    pub over_worth: f64,
    /// Share of the worth that sending beyond the quota costs.
    pub over_cost: f64,
    /// Units a second that fill the hard ceiling's store; 0: no ceiling.
    pub ceiling_rate: f64,
    /// Units the ceiling's store holds at most.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's store may fall below 0.
    pub ceiling_slack: f64,
}

/// A value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Fraction of the processor in use.
    Utilization,
    /// Requests in hand.
    Outstanding,
    /// A value this version does not use.
    Other,
}

/// What a gateway is told when it starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// This gateway's number.
    pub me: u32,
    /// How many gateways there are.
    pub gateways: u32,
    /// This gateway's zone, in the numbering of [`Member::zone`].
    pub zone: u32,
    /// Classes, in the order of [`Request::class`].
    pub classes: Vec<Class>,
    /// Plans, in the order of [`Request::plan`].
    pub plans: Vec<Plan>,
    /// The backend list must be subscribed to.
    pub subscribe: bool,
    /// How many kinds of machine there are.
    pub kinds: u32,
    /// The list's `scale` tells a backend's size.
    pub sized: bool,
    /// Names of the values in a load report.
    pub load_fields: Vec<LoadField>,
    /// Lowest share of its capacity at which a backend starts.
    pub cold_share: f64,
    /// A backend is warm after this at the latest.
    pub cold_time: u64,
    /// Multiple of its capacity that pushes a cold backend over,
    pub fall_multiple: f64,
    /// when sent for this long.
    pub fall_window: u64,
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Longest wait a client will obey; 0: clients are not told to wait.
    pub max_retry_after: u64,
    /// Gateways may send each other messages.
    pub peer_messages: bool,
    /// Two attempts of a request may be out together.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Messages a second that a gateway takes in.
    pub mail_per_s: f64,
    /// Units are an estimate, settled by the first good answer.
    pub cost_after: bool,
    /// Units of the largest request.
    pub most_units: f64,
}

/// What discovery says of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Takes work.
    Ready,
    /// Wraps up; takes nothing new.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// One entry of the backend list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Member {
    /// The backend.
    pub backend: BackendId,
    /// A size to set against other backends' sizes.
    pub scale: f64,
    /// When it last started; `None`: long past.
    pub started: Option<u64>,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: i64,
    /// Its kind of machine, by number.
    pub kind: u32,
    /// Its state.
    pub state: MemberState,
}

/// How a list of members is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list as an earlier life last saw it, possibly stale.
    Cached,
    /// The whole list.
    Full,
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
    pub left: u64,
    /// Marked by the client as a repeat.
    pub repeat: bool,
    /// Number of gateways that the customer's requests come in through.
    pub spread: u32,
    /// Number of the first of them.
    pub first: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    NoConnection,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// True where the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::NoConnection | Outcome::NotSent
        )
    }
}

/// The result of one attempt.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order sent.
    pub attempt: u32,
    /// Where it went.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: u64,
    /// The request needs no further answer.
    pub closed: bool,
    /// Settled units, where they replace a guess.
    pub cost: f64,
    /// Load report, in the order of [`Settings::load_fields`]; may be empty.
    pub load: Vec<f64>,
}

/// What a gateway sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the backend list.
    Members(ListKind, Arc<[Member]>),
    /// The operators gave a backend back that they had withheld: it begins anew.
    GivenBack(Member),
    /// Part of its usual work that each zone gets, by its number; zones beyond get all.
    Shares(Vec<f64>),
    /// A request came in.
    Request(Request),
    /// A streamed answer began.
    Started {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    Finished(Finished),
    /// The client is gone; nothing more is owed.
    ClientLeft(RequestId),
    /// A timer fell due.
    Timer(u64),
    /// A probe came back.
    Probed {
        /// The backend.
        backend: BackendId,
        /// It answered.
        ok: bool,
        /// Load report, may be empty.
        load: Vec<f64>,
    },
    /// A message from another gateway.
    Peer {
        /// Its number.
        from: u32,
        /// What it said.
        text: String,
    },
    /// The counter service answered.
    Counted {
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
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        backend: BackendId,
        /// Time-out of the attempt.
        timeout: u64,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advised wait; 0: none.
        retry_after: u64,
    },
    /// Final answer: failed, no promise.
    Fail(RequestId),
    /// Ask for a timer.
    Timer {
        /// Time from now.
        after: u64,
        /// Comes back with the event.
        token: u64,
    },
    /// Ask a backend for its state.
    Probe(BackendId),
    /// Close idle connections to a backend.
    Close(BackendId),
    /// Send text to one gateway, or to all.
    Tell {
        /// Its number; `None`: all.
        peer: Option<u32>,
        /// At most 256 bytes.
        text: String,
    },
    /// A line for the operators.
    Log(String),
    /// Subscribe to the backend list, or stop.
    Watch(bool),
    /// Ask for the whole backend list once.
    Fetch,
    /// Add to a figure of the counter service.
    Count {
        /// Name of the figure.
        name: String,
        /// Amount to add.
        amount: f64,
        /// How long a new name lives.
        ttl: u64,
    },
}
