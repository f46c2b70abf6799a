//! Bulkheads: one customer, or one set of addresses, holds at most a share of the places.
//!
//! Who was cut for its pace comes back at once, more often than not, and would take its places again until it is found
//! slow again. So each cut takes one place from its set of addresses, for a while and down to one: those who share the
//! set with it still get in.

#![cfg_attr(
    test,
    expect(
        clippy::min_ident_chars,
        reason = "short names are spelled out as the module is reworked"
    )
)]

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;

use applewall_operator_config::Networks;
use ipnet::IpNet;

use crate::account::{LimitExceeded, ResourceAccount, ResourceOwner};
use crate::settings::BulkheadSettings;

/// Which set of addresses an address belongs to.
#[derive(Clone, Debug)]
pub struct NetworkClassifier {
    v4: u8,
    v6: u8,
    exempt: Networks,
    enabled: bool,
}

impl NetworkClassifier {
    /// By the operator's prefixes and exemptions.
    pub fn new(settings: &BulkheadSettings) -> Self {
        let (v4, v6) = (settings.ipv4_prefix, settings.ipv6_prefix);
        NetworkClassifier {
            v4,
            v6,
            exempt: settings.exempt.clone(),
            enabled: settings.enabled.0,
        }
    }

    /// The set of an address; none where it is not bounded. An IPv4 address in IPv6 clothes is that IPv4 address:
    /// it must not count as another set.
    pub fn network_of(&self, address: IpAddr) -> Option<IpNet> {
        let address = address.to_canonical();
        if !self.enabled || self.exempt.contains(address) {
            return None;
        }
        let prefix = if address.is_ipv4() { self.v4 } else { self.v6 };
        IpNet::new(address, prefix).ok().map(|net| net.trunc())
    }
}

/// Places that are held, each by a customer or a set of addresses.
#[derive(Debug)]
pub struct Bulkheads {
    slots: ResourceAccount,
    per_peer: u64,
    penalize: u64,
    /// Until when each cut counts, oldest first, and how many count for each set of addresses.
    penalties: VecDeque<(u64, IpNet)>,
    penalty_counts: HashMap<IpNet, u64>,
}

impl Bulkheads {
    /// Shares of so many places; one place at least for everybody.
    pub fn new(settings: &BulkheadSettings, places: usize) -> Self {
        let share = |part: f64| match settings.enabled.0 {
            true => ((places as f64 * part) as u64).max(1),
            false => u64::MAX,
        };
        let (per_customer, per_peer) =
            (share(settings.customer_places), share(settings.peer_places));
        Bulkheads {
            slots: ResourceAccount::new(u64::MAX, per_customer, per_peer),
            per_peer,
            penalize: settings.distrust.as_nanos(),
            penalties: VecDeque::new(),
            penalty_counts: HashMap::new(),
        }
    }

    /// A connection of this holder's set of addresses was cut for its pace.
    pub fn penalize(&mut self, now: u64, holder: ResourceOwner) {
        let Some(peer) = holder.peer_network else {
            return;
        };
        self.expire_penalties(now);
        // More than these take no further place: what is kept stays bounded.
        let cut = self.penalty_counts.entry(peer).or_default();
        if *cut < self.per_peer.saturating_sub(1) {
            *cut += 1;
            self.penalties
                .push_back((now.saturating_add(self.penalize), peer));
        }
    }

    fn expire_penalties(&mut self, now: u64) {
        while let Some((_, peer)) = self
            .penalties
            .front()
            .copied()
            .filter(|(until, _)| *until <= now)
        {
            self.penalties.pop_front();
            if let Some(left) = self.penalty_counts.get_mut(&peer) {
                *left = left.saturating_sub(1);
                if *left == 0 {
                    self.penalty_counts.remove(&peer);
                }
            }
        }
    }

    /// Takes a place.
    ///
    /// # Errors
    ///
    /// Whose share is taken.
    pub fn acquire(&mut self, now: u64, holder: ResourceOwner) -> Result<(), LimitExceeded> {
        self.expire_penalties(now);
        let cut = holder
            .peer_network
            .and_then(|peer| Some((peer, *self.penalty_counts.get(&peer)?)));
        if cut.is_some_and(|(peer, cut)| self.slots.used_by_network(peer) + cut >= self.per_peer) {
            return Err(LimitExceeded::PeerNetwork);
        }
        self.slots.acquire(holder, 1)
    }

    /// Gives the place back.
    pub fn release(&mut self, holder: ResourceOwner) {
        self.slots.release(holder, 1);
    }

    /// True where nobody holds a place.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> BulkheadSettings {
        let exempt = Networks(vec!["10.0.0.0/8".parse().unwrap()]);
        BulkheadSettings {
            enabled: applewall_operator_config::EnabledFlag(true),
            exempt,
            ..BulkheadSettings::default()
        }
    }

    #[test]
    fn addresses_of_a_set_count_together_and_exempt_ones_not_at_all() {
        let networked = NetworkClassifier::new(&settings());
        let of = |text: &str| {
            networked
                .network_of(text.parse().unwrap())
                .map(|net| net.to_string())
        };
        assert_eq!(of("192.0.2.7").as_deref(), Some("192.0.2.0/24"));
        assert_eq!(of("::ffff:192.0.2.9").as_deref(), Some("192.0.2.0/24"));
        assert_eq!(
            of("2001:db8:0:1ff::1").as_deref(),
            Some("2001:db8:0:100::/56")
        );
        assert_eq!(of("10.1.2.3"), None);
        assert_eq!(
            NetworkClassifier::new(&BulkheadSettings::default())
                .network_of("192.0.2.7".parse().unwrap()),
            None
        );
    }

    #[test]
    fn those_that_were_cut_get_fewer_places_for_a_while_and_one_in_any_case() {
        let mut bulkheads = Bulkheads::new(&settings(), 8);
        let peer = |text: &str| ResourceOwner {
            customer: None,
            peer_network: Some(text.parse().unwrap()),
        };
        let (cut, other) = (peer("192.0.2.0/24"), peer("198.51.100.0/24"));
        let enter = |bulkheads: &mut Bulkheads, now, holder| {
            (0..8)
                .take_while(|_| bulkheads.acquire(now, holder).is_ok())
                .count()
        };
        (0..2).for_each(|_| bulkheads.penalize(0, cut));
        assert_eq!(
            (
                enter(&mut bulkheads, 1, cut),
                enter(&mut bulkheads, 1, other)
            ),
            (2, 4)
        );
        (0..2).for_each(|_| bulkheads.release(cut));
        // However many were cut: one place stays, and all come back when the time is over.
        (0..100).for_each(|_| bulkheads.penalize(1, cut));
        assert!(bulkheads.penalties.len() < 4);
        assert_eq!(enter(&mut bulkheads, 2, cut), 1);
        bulkheads.release(cut);
        assert_eq!(enter(&mut bulkheads, 20_000_000_000, cut), 4);
        assert!(bulkheads.penalties.is_empty() && bulkheads.penalty_counts.is_empty());
    }

    #[test]
    fn a_share_is_held_and_given_back() {
        let mut bulkheads = Bulkheads::new(&settings(), 8);
        let customer = |c| ResourceOwner {
            customer: Some(c),
            peer_network: None,
        };
        assert_eq!(
            [1, 1, 1].map(|c| bulkheads.acquire(0, customer(c))),
            [Ok(()), Ok(()), Err(LimitExceeded::Customer)]
        );
        assert_eq!(bulkheads.acquire(0, customer(2)), Ok(()));
        [1, 1, 2]
            .into_iter()
            .for_each(|c| bulkheads.release(customer(c)));
        assert!(bulkheads.is_empty());
    }
}
