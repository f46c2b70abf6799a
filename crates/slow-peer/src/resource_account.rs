//! Usage of a limited resource: in total, per customer and per network.

use std::collections::HashMap;
use std::hash::Hash;

use ipnet::IpNet;

/// The customer and network that a resource is accounted to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ResourceOwner {
    /// The customer, or `None` if it is not known yet.
    pub customer: Option<u64>,
    /// The network of the peer's address, or `None` if it is not limited.
    pub peer_network: Option<IpNet>,
}

impl ResourceOwner {
    /// The owner of a resource that is limited for each customer but not for each network.
    pub(crate) fn customer(customer: u64) -> Self {
        ResourceOwner {
            customer: Some(customer),
            peer_network: None,
        }
    }

    /// The owner of a resource that is limited for each network but not for each customer. `None` if the network is not
    /// limited.
    pub(crate) fn network(peer_network: Option<IpNet>) -> Self {
        ResourceOwner {
            customer: None,
            peer_network,
        }
    }
}

/// A limit that would be exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum LimitExceeded {
    /// The limit in [`ResourceLimits::total`].
    #[error("the total limit would be exceeded")]
    Total,
    /// The limit in [`ResourceLimits::per_customer`].
    #[error("the customer's limit would be exceeded")]
    Customer,
    /// The limit in [`ResourceLimits::per_network`].
    #[error("the limit of the peer's network would be exceeded")]
    PeerNetwork,
}

/// Limits on the use of a resource, in its unit: slots or bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Limit for all owners together.
    pub total: u64,
    /// Limit for each customer.
    pub per_customer: u64,
    /// Limit for each network.
    pub per_network: u64,
}

/// The amount of a resource in use. Releasing more than is in use leaves nothing in use.
#[derive(Debug)]
pub struct ResourceAccount {
    limits: ResourceLimits,
    total: u64,
    peak: u64,
    by_customer: HashMap<u64, u64>,
    by_network: HashMap<IpNet, u64>,
}

impl ResourceAccount {
    /// Creates an account with nothing in use.
    pub fn new(limits: ResourceLimits) -> Self {
        ResourceAccount {
            limits,
            total: 0,
            peak: 0,
            by_customer: HashMap::new(),
            by_network: HashMap::new(),
        }
    }

    /// The amount in use that counts against an owner's limit, or `None` if the limit does not apply to the owner.
    fn used(&self, owner: ResourceOwner, limit: LimitExceeded) -> Option<u64> {
        match limit {
            LimitExceeded::Total => Some(self.total),
            LimitExceeded::Customer => owner
                .customer
                .map(|customer| self.by_customer.get(&customer).copied().unwrap_or(0)),
            LimitExceeded::PeerNetwork => owner
                .peer_network
                .map(|network| self.used_by_network(network)),
        }
    }

    fn limit(&self, limit: LimitExceeded) -> u64 {
        match limit {
            LimitExceeded::Total => self.limits.total,
            LimitExceeded::Customer => self.limits.per_customer,
            LimitExceeded::PeerNetwork => self.limits.per_network,
        }
    }

    /// Acquires the whole amount, or nothing.
    ///
    /// # Errors
    ///
    /// Returns the limit that would be exceeded; if there are several, the customer's before the network's before the total.
    pub fn acquire(&mut self, owner: ResourceOwner, amount: u64) -> Result<(), LimitExceeded> {
        for limit in [
            LimitExceeded::Customer,
            LimitExceeded::PeerNetwork,
            LimitExceeded::Total,
        ] {
            let used = self.used(owner, limit);
            if used.is_some_and(|used| used.saturating_add(amount) > self.limit(limit)) {
                return Err(limit);
            }
        }
        self.total += amount;
        self.peak = self.peak.max(self.total);
        if amount > 0 {
            if let Some(customer) = owner.customer {
                *self.by_customer.entry(customer).or_default() += amount;
            }
            if let Some(network) = owner.peer_network {
                *self.by_network.entry(network).or_default() += amount;
            }
        }
        Ok(())
    }

    /// Releases an amount. Customers and networks with nothing in use are removed.
    pub fn release(&mut self, owner: ResourceOwner, amount: u64) {
        self.total = self.total.saturating_sub(amount);
        if let Some(customer) = owner.customer {
            subtract(&mut self.by_customer, customer, amount);
        }
        if let Some(network) = owner.peer_network {
            subtract(&mut self.by_network, network, amount);
        }
    }

    /// The amount that an owner can still acquire under a limit.
    pub fn available(&self, owner: ResourceOwner, limit: LimitExceeded) -> u64 {
        let used = self.used(owner, limit).unwrap_or(0);
        self.limit(limit).saturating_sub(used)
    }

    /// The amount in use by a network.
    pub fn used_by_network(&self, network: IpNet) -> u64 {
        self.by_network.get(&network).copied().unwrap_or(0)
    }

    /// The amount in use by all owners.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the highest total amount in use since the last call.
    pub fn take_peak(&mut self) -> u64 {
        std::mem::replace(&mut self.peak, self.total)
    }

    /// The fraction of the total limit that is in use.
    pub fn used_fraction(&self) -> f64 {
        self.total as f64 / self.limits.total.max(1) as f64
    }

    /// Returns true if nothing is in use by any owner.
    pub fn is_empty(&self) -> bool {
        self.total == 0 && self.by_customer.is_empty() && self.by_network.is_empty()
    }
}

fn subtract<K: Hash + Eq>(used: &mut HashMap<K, u64>, key: K, amount: u64) {
    if let Some(remaining) = used.get_mut(&key) {
        *remaining = remaining.saturating_sub(amount);
        if *remaining == 0 {
            used.remove(&key);
        }
    }
}
