//! Bulkheads: a customer or a network may use at most a configured fraction of the slots.
//!
//! A client whose connection was aborted as slow usually reconnects at once and would occupy a slot until it is detected as
//! slow again. Each abort therefore reduces the limit of the client's network by one slot for a configured time. One slot
//! always remains, so that other clients in the network can still connect.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;

use applewall_operator_config::Networks;
use ipnet::IpNet;

use crate::resource_account::{LimitExceeded, ResourceAccount, ResourceLimits, ResourceOwner};
use crate::settings::BulkheadSettings;

/// Maps an address to its network.
#[derive(Clone, Debug)]
pub struct NetworkClassifier {
    ipv4_prefix: u8,
    ipv6_prefix: u8,
    exempt: Networks,
    enabled: bool,
}

impl NetworkClassifier {
    /// Creates a classifier with the configured prefix lengths and exempt networks.
    pub fn new(settings: &BulkheadSettings) -> Self {
        NetworkClassifier {
            ipv4_prefix: settings.ipv4_prefix,
            ipv6_prefix: settings.ipv6_prefix,
            exempt: settings.exempt.clone(),
            enabled: settings.enabled.0,
        }
    }

    /// Returns the network of an address, or `None` if the address is exempt or bulkheads are off. An IPv4-mapped IPv6
    /// address is classified as its IPv4 address, so that a client has the same network over both.
    pub fn network_of(&self, address: IpAddr) -> Option<IpNet> {
        let address = address.to_canonical();
        if !self.enabled || self.exempt.contains(address) {
            return None;
        }
        let prefix = if address.is_ipv4() {
            self.ipv4_prefix
        } else {
            self.ipv6_prefix
        };
        IpNet::new(address, prefix).ok().map(|net| net.trunc())
    }
}

/// A reduction of a network's limit by one slot, which ends at a fixed time.
#[derive(Debug)]
struct Penalty {
    until_ns: u64,
    network: IpNet,
}

/// Slots in use, with limits per customer and per network.
#[derive(Debug)]
pub struct Bulkheads {
    slots: ResourceAccount,
    per_network: u64,
    penalty_ns: u64,
    /// Penalties in force, oldest first.
    penalties: VecDeque<Penalty>,
    /// Number of penalties in force for each network.
    penalty_counts: HashMap<IpNet, u64>,
}

impl Bulkheads {
    /// Creates bulkheads whose limits are fractions of this many slots, at least one slot each. There are no limits if the
    /// settings disable them.
    pub fn new(settings: &BulkheadSettings, slots: usize) -> Self {
        let limit = |fraction: f64| {
            if settings.enabled.0 {
                ((slots as f64 * fraction) as u64).max(1)
            } else {
                u64::MAX
            }
        };
        let limits = ResourceLimits {
            total: u64::MAX,
            per_customer: limit(settings.customer_places),
            per_network: limit(settings.peer_places),
        };
        Bulkheads {
            slots: ResourceAccount::new(limits),
            per_network: limits.per_network,
            penalty_ns: settings.distrust.as_nanos(),
            penalties: VecDeque::new(),
            penalty_counts: HashMap::new(),
        }
    }

    /// Reduces the limit of the owner's network by one slot for the penalty time, since one of its connections was aborted
    /// as slow. No effect if the owner has no network.
    pub fn penalize(&mut self, now_ns: u64, owner: ResourceOwner) {
        let Some(network) = owner.peer_network else {
            return;
        };
        self.expire_penalties(now_ns);
        // One slot always remains, so further penalties would have no effect. This also bounds the list.
        let count = self.penalty_counts.entry(network).or_default();
        if *count < self.per_network.saturating_sub(1) {
            *count += 1;
            self.penalties.push_back(Penalty {
                until_ns: now_ns.saturating_add(self.penalty_ns),
                network,
            });
        }
    }

    fn expire_penalties(&mut self, now_ns: u64) {
        let has_expired = |penalty: &Penalty| penalty.until_ns <= now_ns;
        while self.penalties.front().is_some_and(has_expired) {
            let Some(Penalty { network, .. }) = self.penalties.pop_front() else {
                return;
            };
            if let Some(count) = self.penalty_counts.get_mut(&network) {
                *count = count.saturating_sub(1);
                if *count == 0 {
                    self.penalty_counts.remove(&network);
                }
            }
        }
    }

    /// Acquires a slot for an owner.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached.
    pub fn acquire(&mut self, now_ns: u64, owner: ResourceOwner) -> Result<(), LimitExceeded> {
        self.expire_penalties(now_ns);
        let is_exhausted = owner.peer_network.is_some_and(|network| {
            let penalties = self.penalty_counts.get(&network);
            penalties.is_some_and(|penalties| {
                self.slots.used_by_network(network) + penalties >= self.per_network
            })
        });
        if is_exhausted {
            return Err(LimitExceeded::PeerNetwork);
        }
        self.slots.acquire(owner, 1)
    }

    /// Releases a slot of an owner.
    pub fn release(&mut self, owner: ResourceOwner) {
        self.slots.release(owner, 1);
    }

    /// Returns true if no slot is in use.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
