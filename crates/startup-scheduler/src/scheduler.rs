//! The scheduler itself: inputs, outputs and the state of one node.
//!
//! Owned by one task or behind one lock. Invariant: nothing that a peer says changes the node's own list; it can only move
//! a call within the bounds of one window of the fleet.

mod call_times;
mod gossip;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::cohort::StartCohort;
use crate::{Message, Settings};

/// Time since an origin of the caller's choice, or a span of time, in seconds.
pub type Seconds = f64;

/// Status messages sent in reply per second, at most, and the burst that is allowed: an eighth of the 40 datagrams a
/// second that a node accepts, so that replies never crowd out other messages.
const REPLIES_PER_SECOND: f64 = 5.0;
/// Time after a rejected call for which the list service counts as overloaded.
const OVERLOAD_MEMORY: Seconds = 2.0;

/// The endpoint list that a node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// None.
    Missing,
    /// One that an earlier process stored, at this revision; the list service has not confirmed it yet.
    Restored(u64),
    /// One that the list service sent to this process, at this revision.
    Confirmed(u64),
}

impl ListState {
    fn revision(self) -> Option<u64> {
        match self {
            ListState::Missing => None,
            ListState::Restored(revision) | ListState::Confirmed(revision) => Some(revision),
        }
    }
}

/// What a node knows when it starts.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The node's number, from 0.
    pub node: u32,
    /// Nodes in the fleet.
    pub fleet_size: u32,
    /// The list that it starts with.
    pub list: ListState,
    /// Seed of its random draws.
    pub seed: u64,
    /// When it starts.
    pub now: Seconds,
    /// Unix time of the caller's time 0.
    pub unix_time_of_zero: Seconds,
}

/// A call to the list service that brought no list.
#[derive(Clone, Copy, Debug)]
pub struct CallFailure {
    /// How long the call took.
    pub duration: Seconds,
    /// The service rejected it; otherwise the connection broke or the call timed out.
    pub rejected: bool,
    /// What the service asked to wait.
    pub retry_after: Option<Seconds>,
}

/// An event for the scheduler.
#[derive(Clone, Debug)]
pub enum Input {
    /// The node started, or another list service was configured: peers are asked who else is starting.
    Started,
    /// A peer's message arrived.
    MessageReceived {
        /// Number of the sending node.
        from: u32,
        /// The message.
        message: Message,
    },
    /// Time passed: a cohort message may be due. To be given every few tens of milliseconds while
    /// [`StartupScheduler::is_gossiping`].
    GossipTimer,
    /// The list service answered a call.
    CallAnswered {
        /// Revision of the list that the node has now.
        revision: u64,
        /// True for a new list, false for a watch that ended without a change.
        changed: bool,
    },
    /// A call brought no list.
    CallFailed(CallFailure),
    /// Another list service was configured, for all nodes at about the same time. [`Input::Started`] follows.
    ServiceChanged,
}

/// A message and the peer to send it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Number of the receiving node.
    pub to: u32,
    /// The message.
    pub message: Message,
}

/// What the caller has to do after an input.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send, in this order.
    pub messages: Vec<OutgoingMessage>,
    /// When to call the list service next; set after an answered or failed call.
    pub next_call_at: Option<Seconds>,
}

impl Output {
    fn next_call_at(time: Seconds) -> Self {
        Output {
            messages: Vec::new(),
            next_call_at: Some(time),
        }
    }
}

/// Nodes known to start together with this one, itself included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CohortSummary {
    /// How many.
    pub started: u32,
    /// How many of them started without a list.
    pub without_list: u32,
    /// True if peers repeat these numbers; otherwise there may be more.
    pub is_complete: bool,
}

/// A peer that told of its own start recently.
#[derive(Clone, Copy, Debug)]
struct StartingPeer {
    node: u32,
    heard_at: Seconds,
    has_list: bool,
}

/// A peer's reply to this node's question.
#[derive(Clone, Copy, Debug)]
struct PeerReply {
    node: u32,
    started_recently: bool,
    /// Peers that told it of their start.
    starting_peers: u32,
}

/// Bounds the rate of replies.
#[derive(Clone, Copy, Debug)]
struct ReplyBudget {
    tokens: f64,
    refilled_at: Seconds,
}

impl ReplyBudget {
    /// Takes a token if there is one.
    fn try_take(&mut self, now: Seconds) -> bool {
        let refill = (now - self.refilled_at) * REPLIES_PER_SECOND;
        let tokens = (self.tokens + refill).min(REPLIES_PER_SECOND);
        let is_available = tokens >= 1.0;
        self.tokens = tokens - f64::from(u8::from(is_available));
        self.refilled_at = now;
        is_available
    }
}

/// Decides when one node calls the list service. See the [crate documentation](crate).
#[derive(Clone, Debug)]
pub struct StartupScheduler {
    calls_per_second: f64,
    /// Peers that are asked at the start, at most.
    peers_to_ask: u32,
    fleet_size: u32,
    node: u32,
    rng: SmallRng,
    started_at: Seconds,
    /// When the last node of the cohort started, as far as is known: windows are counted from here, the same for all.
    cohort_started_at: Seconds,
    unix_time_of_zero: Seconds,
    list: ListState,
    started_without_list: bool,
    starting_peers: Vec<StartingPeer>,
    replies: Vec<PeerReply>,
    cohort: StartCohort,
    last_gossip_at: Seconds,
    /// The newest revision that a peer has from the list service.
    newest_peer_revision: Option<u64>,
    /// Calls in a row that failed.
    failures: u32,
    /// When the list service last rejected a call, here or at a peer.
    overloaded_at: Seconds,
    reply_budget: ReplyBudget,
}

impl StartupScheduler {
    /// A scheduler for a node that starts now.
    pub fn new(settings: &Settings, start: Start) -> Self {
        let fleet_size = start.fleet_size.max(1);
        StartupScheduler {
            calls_per_second: settings.calls_per_s,
            peers_to_ask: settings.ask_peers,
            fleet_size,
            node: start.node,
            rng: SmallRng::seed_from_u64(start.seed),
            started_at: start.now,
            cohort_started_at: start.now,
            unix_time_of_zero: start.unix_time_of_zero,
            list: start.list,
            started_without_list: start.list == ListState::Missing,
            starting_peers: Vec::new(),
            replies: Vec::new(),
            cohort: StartCohort::new(fleet_size, start.node),
            last_gossip_at: f64::NEG_INFINITY,
            newest_peer_revision: None,
            failures: 0,
            overloaded_at: f64::NEG_INFINITY,
            reply_budget: ReplyBudget {
                tokens: REPLIES_PER_SECOND,
                refilled_at: start.now,
            },
        }
    }

    /// Processes an input at the time `now`, which never decreases.
    pub fn handle(&mut self, now: Seconds, input: Input) -> Output {
        match input {
            Input::Started => self.ask_peers(now),
            Input::MessageReceived { from, message } => self.receive(now, from, &message),
            Input::GossipTimer => self.gossip(now),
            Input::CallAnswered { revision, changed } => {
                Output::next_call_at(self.after_answer(now, revision, changed))
            }
            Input::CallFailed(failure) => Output::next_call_at(self.after_failure(now, failure)),
            Input::ServiceChanged => {
                self.restart(now);
                Output::default()
            }
        }
    }

    /// Starts again with the list that the node has: another list service is configured.
    fn restart(&mut self, now: Seconds) {
        (self.started_at, self.cohort_started_at) = (now, now);
        self.list = match self.list.revision() {
            None => ListState::Missing,
            Some(revision) => ListState::Restored(revision),
        };
        self.started_without_list = self.list == ListState::Missing;
        self.last_gossip_at = f64::NEG_INFINITY;
        // What peers have from another service says nothing about this one.
        self.newest_peer_revision = None;
        self.failures = 0;
        self.overloaded_at = f64::NEG_INFINITY;
        self.cohort = StartCohort::new(self.fleet_size, self.node);
        self.starting_peers.clear();
        self.replies.clear();
    }

    fn is_overloaded(&self, now: Seconds) -> bool {
        now - self.overloaded_at < OVERLOAD_MEMORY
    }

    /// The nodes known to start together.
    pub fn cohort_summary(&self) -> CohortSummary {
        let known = self.cohort.counts();
        CohortSummary {
            started: known.started + 1,
            without_list: known.without_list + u32::from(self.started_without_list),
            is_complete: self.cohort.is_complete(),
        }
    }

    /// The list that the node has.
    pub fn list(&self) -> ListState {
        self.list
    }
}
