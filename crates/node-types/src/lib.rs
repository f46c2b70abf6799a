//! Types shared by the decision policy and the other sans-I/O cores: node ids, timestamps, time spans and outgoing messages.
//!
//! Each core has a single entry point, `handle(now, Input) -> Output`. `now` is a [`Timestamp`]: the caller reads the clock
//! and chooses the origin, so that tests can simulate hours in virtual time.

mod time;

#[cfg(test)]
mod tests;

pub use time::{TimeSpan, Timestamp};

use std::fmt;

use serde::{Deserialize, Serialize};

/// The id of a node within its fleet, counted from 0. All nodes of a fleet are configured with the same ids.
#[derive(
    Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
#[serde(transparent)]
pub struct NodeId(pub u32);

impl NodeId {
    /// The id as an index into a list of all nodes.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// The node `distance` positions after this one in the order of ids, which continues with node 0 after the last one.
    #[must_use]
    pub fn successor(self, distance: u32, fleet_size: u32) -> NodeId {
        NodeId((self.0 + distance) % fleet_size)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A message that a core returns, for its caller to send to one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing<M> {
    /// The peer to send it to; never the sender itself.
    pub to: NodeId,
    /// The message, which the caller encodes.
    pub message: M,
}
