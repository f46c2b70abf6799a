//! Numeric ids of zones and endpoints.

/// Id of a zone: its index in the sorted list of all zone names, which is the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// Id of an endpoint, assigned by the caller. Local to the node: messages do not contain it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);
