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
    /// Number of nodes in the fleet, this one included; 0 counts as 1.
    pub fleet_size: u32,
    /// The id of this node; less than `fleet_size`.
    pub node: NodeId,
    /// Seed of the generator that chooses the receivers of messages and this process's incarnation. It should differ from
    /// that of the node's previous process: peers would otherwise take this process's first messages for outdated ones.
    pub seed: u64,
    /// Time of the start. For some seconds from then on, the node adopts the fleet's decisions.
    pub now: Timestamp,
}

/// The number of endpoints in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEndpoints {
    /// The zone's name, as in [`Start::zone_names`].
    pub zone: String,
    /// Number of endpoints in service.
    pub endpoints: u32,
}

/// What happened, for [`ZoneFailover::handle`](crate::ZoneFailover::handle).
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
        /// What the attempt shows about the zone.
        observation: Observation,
        /// Send time of the attempt.
        sent_at: Timestamp,
    },
    /// A message of a peer arrived.
    MessageReceived {
        /// The sender. The message is ignored if it is this node or outside the fleet.
        from: NodeId,
        /// The message, which the caller has decoded.
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
