//! What goes into the core and what comes out of it.

use applewall_node_types::{NodeId, Outgoing, Timestamp};

use crate::id::{EndpointId, ZoneId};
use crate::message::ZoneMessage;
use crate::observation::Observation;
use crate::transition::ZoneTransition;

/// What a node knows when it starts.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    /// Names of all zones: the same ones, in any order, at all nodes.
    pub zone_names: &'a [String],
    /// Nodes in the fleet.
    pub fleet_size: u32,
    /// The node itself.
    pub node: NodeId,
    /// Seed of its random draws.
    pub seed: u64,
    /// When it starts.
    pub now: Timestamp,
}

/// How many endpoints the list names in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEndpoints {
    /// The zone's name.
    pub zone: String,
    /// How many endpoints are ready.
    pub endpoints: u32,
}

/// An event for the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// The endpoint list changed: all zones that have endpoints. Zones that are not configured are ignored.
    EndpointsListed(Vec<ZoneEndpoints>),
    /// An attempt ended, or is long overdue.
    AttemptObserved {
        /// The endpoint's zone.
        zone: ZoneId,
        /// The endpoint.
        endpoint: EndpointId,
        /// The outcome.
        observation: Observation,
        /// When the attempt was sent.
        sent_at: Timestamp,
    },
    /// A peer's message arrived.
    MessageReceived {
        /// The sending node.
        from: NodeId,
        /// The message.
        message: ZoneMessage,
    },
    /// An interval of about 100 ms passed.
    IntervalElapsed,
}

/// A message and the peer to send it to.
pub type OutgoingMessage = Outgoing<ZoneMessage>;

/// What the caller has to do after an input.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send, in this order: one at most in an interval.
    pub messages: Vec<OutgoingMessage>,
    /// Changes of zones, to be logged.
    pub transitions: Vec<ZoneTransition>,
}
