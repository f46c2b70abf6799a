//! The account of bytes that wait: in all, per customer and per set of addresses.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::HashMap;

use ipnet::IpNet;

/// On whose behalf something is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ResourceOwner {
    /// The customer; none where it is not known yet.
    pub customer: Option<u64>,
    /// The set of addresses it came from; none where it is not bounded.
    pub peer_network: Option<IpNet>,
}

/// Why something may not be held: which limit it would pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LimitExceeded {
    /// The one on all together.
    Total,
    /// The customer's.
    Customer,
    /// The one of its set of addresses.
    PeerNetwork,
}

/// What is held, with its limits. What is given back more than once, or was never taken, is not given back.
#[derive(Debug)]
pub struct ResourceAccount {
    limit: u64,
    per_customer: u64,
    per_peer: u64,
    total: u64,
    peak: u64,
    customers: HashMap<u64, u64>,
    peers: HashMap<IpNet, u64>,
}

impl ResourceAccount {
    /// Empty, with these limits.
    pub fn new(limit: u64, per_customer: u64, per_peer: u64) -> Self {
        let (customers, peers) = (HashMap::new(), HashMap::new());
        ResourceAccount {
            limit,
            per_customer,
            per_peer,
            total: 0,
            peak: 0,
            customers,
            peers,
        }
    }

    /// Takes so much, or nothing.
    ///
    /// # Errors
    ///
    /// The limit that it would pass; the narrowest first, since who passes it is the one to blame.
    pub fn acquire(&mut self, holder: ResourceOwner, amount: u64) -> Result<(), LimitExceeded> {
        let held = |held: Option<&u64>| held.copied().unwrap_or(0).saturating_add(amount);
        if holder
            .customer
            .is_some_and(|c| held(self.customers.get(&c)) > self.per_customer)
        {
            return Err(LimitExceeded::Customer);
        }
        if holder
            .peer_network
            .is_some_and(|p| held(self.peers.get(&p)) > self.per_peer)
        {
            return Err(LimitExceeded::PeerNetwork);
        }
        if self.total.saturating_add(amount) > self.limit {
            return Err(LimitExceeded::Total);
        }
        self.total += amount;
        self.peak = self.peak.max(self.total);
        if amount > 0 {
            holder
                .customer
                .into_iter()
                .for_each(|c| *self.customers.entry(c).or_default() += amount);
            holder
                .peer_network
                .into_iter()
                .for_each(|p| *self.peers.entry(p).or_default() += amount);
        }
        Ok(())
    }

    /// Gives so much back. Who holds nothing any more is forgotten.
    pub fn release(&mut self, holder: ResourceOwner, amount: u64) {
        self.total = self.total.saturating_sub(amount);
        if let Some(customer) = holder.customer {
            give(&mut self.customers, customer, amount);
        }
        if let Some(peer) = holder.peer_network {
            give(&mut self.peers, peer, amount);
        }
    }

    /// How much fits under one limit.
    pub fn available(&self, holder: ResourceOwner, limit: LimitExceeded) -> u64 {
        let held = |held: Option<&u64>| held.copied().unwrap_or(0);
        match limit {
            LimitExceeded::Total => self.limit.saturating_sub(self.total),
            LimitExceeded::Customer => self
                .per_customer
                .saturating_sub(held(holder.customer.and_then(|c| self.customers.get(&c)))),
            LimitExceeded::PeerNetwork => self
                .per_peer
                .saturating_sub(held(holder.peer_network.and_then(|p| self.peers.get(&p)))),
        }
    }

    /// What is held on behalf of a set of addresses.
    pub fn used_by_network(&self, peer: IpNet) -> u64 {
        self.peers.get(&peer).copied().unwrap_or(0)
    }

    /// What is held now.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// The most that was ever held since the last call.
    pub fn take_peak(&mut self) -> u64 {
        std::mem::replace(&mut self.peak, self.total)
    }

    /// The share of the limit that is held.
    pub fn used_fraction(&self) -> f64 {
        self.total as f64 / self.limit.max(1) as f64
    }

    /// True where nothing is held, on anybody's behalf.
    pub fn is_empty(&self) -> bool {
        self.total == 0 && self.customers.is_empty() && self.peers.is_empty()
    }
}

fn give<K: std::hash::Hash + Eq>(held: &mut HashMap<K, u64>, key: K, amount: u64) {
    if let Some(left) = held.get_mut(&key) {
        *left = left.saturating_sub(amount);
        if *left == 0 {
            held.remove(&key);
        }
    }
}
