//! Inputs and outputs of the core.

use applewall_node_types::{NodeId, Outgoing, Timestamp};

use crate::id::{EndpointId, ZoneId};
use crate::message::ZoneMessage;
use crate::observation::Observation;
use crate::transition::ZoneTransition;

/// Parameters of a node at its start.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    /// Names of all zones, in any order. All nodes must have the same set.
    pub zone_names: &'a [String],
    /// Number of nodes in the fleet.
    pub fleet_size: u32,
    /// The id of this node.
    pub node: NodeId,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time of the start.
    pub now: Timestamp,
}

/// The number of endpoints in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEndpoints {
    /// The zone's name.
    pub zone: String,
    /// Number of endpoints in service.
    pub endpoints: u32,
}

/// An event for the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// The endpoint list changed. Contains all zones that have endpoints; zones that are not configured are ignored.
    EndpointsListed(Vec<ZoneEndpoints>),
    /// An attempt ended or is long overdue.
    AttemptObserved {
        /// The endpoint's zone.
        zone: ZoneId,
        /// The endpoint that the attempt was sent to.
        endpoint: EndpointId,
        /// The outcome of the attempt.
        observation: Observation,
        /// Send time of the attempt.
        sent_at: Timestamp,
    },
    /// A message of a peer arrived.
    MessageReceived {
        /// The sender.
        from: NodeId,
        /// The decoded message.
        message: ZoneMessage,
    },
    /// The evaluation interval of about 100 ms elapsed.
    IntervalElapsed,
}

/// A zone message and its receiver.
pub type OutgoingMessage = Outgoing<ZoneMessage>;

/// Actions for the caller to take after an input.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send, at most one per interval.
    pub messages: Vec<OutgoingMessage>,
    /// Phase transitions to log.
    pub transitions: Vec<ZoneTransition>,
}
