//! Inputs and outputs of the core.

use applewall_node_types::{NodeId, Outgoing, TimeSpan, Timestamp};

use crate::Message;

/// The state of a node's endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// The node has neither restored nor received a list, so it cannot serve.
    Missing,
    /// A list that an earlier process stored, with its revision; not yet confirmed by the list service.
    Restored(u64),
    /// A list that this process received from the list service, with its revision.
    Confirmed(u64),
}

impl ListState {
    /// The revision of the list, if any.
    pub(crate) fn revision(self) -> Option<u64> {
        match self {
            ListState::Missing => None,
            ListState::Restored(revision) | ListState::Confirmed(revision) => Some(revision),
        }
    }
}

/// Parameters of a node at its start.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The id of this node; must be less than `fleet_size`.
    pub node: NodeId,
    /// Number of nodes in the fleet, this one included; 0 counts as 1.
    pub fleet_size: u32,
    /// State of the node's list at the start.
    pub list: ListState,
    /// Seed of the generator that chooses peers and retry times. Should differ between nodes, so that their choices do.
    pub seed: u64,
    /// Time of the start, from which windows and the gossip period are counted.
    pub now: Timestamp,
    /// Unix time of this node's timestamp origin. Nodes exchange Unix times, since their origins differ.
    pub unix_time_of_origin: TimeSpan,
}

/// A failed call to the list service.
#[derive(Clone, Copy, Debug)]
pub struct CallFailure {
    /// How long the call took.
    pub duration: TimeSpan,
    /// Whether the service rejected the call. Otherwise the connection failed or the call timed out.
    pub rejected: bool,
    /// The delay that the service requested, as with HTTP's `Retry-After`.
    pub retry_after: Option<TimeSpan>,
}

/// What happened, for [`StartupScheduler::handle`](crate::StartupScheduler::handle).
#[derive(Clone, Debug)]
pub enum Input {
    /// The node started, or another list service was configured. The scheduler queries peers to find starting nodes.
    Started,
    /// A message of a peer arrived.
    MessageReceived {
        /// The sender. The message is ignored if it is this node or outside the fleet.
        from: NodeId,
        /// The message, which the caller has decoded.
        message: Message,
    },
    /// Timer tick: a cohort message may be due. Expected every few tens of milliseconds while
    /// [`StartupScheduler::is_gossiping`](crate::StartupScheduler::is_gossiping) returns true.
    GossipTimer,
    /// The list service answered a call.
    CallAnswered {
        /// Revision of the node's list after the answer.
        revision: u64,
        /// True for a new list; false for a watch that ended without a change.
        changed: bool,
    },
    /// A call to the list service failed.
    CallFailed(CallFailure),
    /// Another list service was configured, on all nodes at about the same time. [`Input::Started`] must follow.
    ServiceChanged,
}

/// A startup message and its receiver.
pub type OutgoingMessage = Outgoing<Message>;

/// Actions for the caller to take after an input.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send, in this order.
    pub messages: Vec<OutgoingMessage>,
    /// When to call the list service next. Set after each answered or failed call.
    pub next_call_at: Option<Timestamp>,
}

impl Output {
    pub(crate) fn messages(messages: Vec<OutgoingMessage>) -> Self {
        Output {
            messages,
            next_call_at: None,
        }
    }

    pub(crate) fn next_call_at(time: Timestamp) -> Self {
        Output {
            messages: Vec::new(),
            next_call_at: Some(time),
        }
    }
}

/// Summary of the nodes known to start together with this one, including itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CohortSummary {
    /// Number of nodes, at least 1.
    pub started: u32,
    /// Number of those nodes that started without a list.
    pub without_list: u32,
    /// Whether the cohort counts as completely known; otherwise there may be more nodes.
    pub is_complete: bool,
}
