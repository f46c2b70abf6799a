//! Hash functions that give the same result at all nodes of a fleet, so that nodes agree on rankings and pseudorandom
//! numbers without messages.

use applewall_node_types::NodeId;
use serde::{Deserialize, Serialize};

/// Mask of the 30 bits of a fingerprint: five base64 digits of a gossip message.
const FINGERPRINT_MASK: u64 = 0x3fff_ffff;

/// 30-bit hash of a customer's id, by which nodes refer to the customer in messages. Customers whose hashes are equal
/// are treated as one.
#[derive(
    Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
#[serde(transparent)]
pub struct CustomerFingerprint(pub u32);

impl CustomerFingerprint {
    /// Computes the fingerprint of a customer's id.
    pub fn of(name: &str) -> Self {
        CustomerFingerprint(fingerprint(name))
    }
}

/// Hashes a name to 30 bits with FNV-1a.
pub fn fingerprint(name: &str) -> u32 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    let hash = name.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    ((hash ^ (hash >> 30)) & FINGERPRINT_MASK) as u32
}

/// A pseudorandom rank for a pair of a name and a candidate, for rendezvous hashing. Callers sort by it, lowest first.
pub fn rendezvous_rank(name: u32, candidate: u32) -> u64 {
    let mixed = (u64::from(name) << 32 | u64::from(candidate)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ mixed >> 32
}

/// A pseudorandom number from 0 to 1 for a pair of an item and a node, which changes once per period. The periods of
/// different pairs begin at different times.
///
/// `periods`: the current time, in periods since the clock's origin.
pub fn periodic_draw(item: u32, node: NodeId, periods: f64) -> f64 {
    let draw = |name, candidate| rendezvous_rank(name, candidate) as f64 / u64::MAX as f64;
    let period = (periods + draw(item, node.0)) as u32;
    draw(period, item << 16 ^ node.0)
}
