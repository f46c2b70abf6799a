//! Which endpoint an address belongs to, where the list has several at one.
//!
//! A new endpoint may come up at the address of one that has gone before discovery reports the removal. Requests for the old
//! one would reach the new one, which may be warming up and knows nothing of the old one's requests. An address therefore
//! belongs to the endpoint that started last, and the others count as removed for as long as it is listed.

use std::collections::HashMap;
use std::net::SocketAddr;

use applewall::api::{EndpointId, EndpointState, EndpointUpdateKind};

use crate::engine::message::EndpointEntry;

/// An endpoint that is listed at an address.
struct Claim {
    entry: EndpointEntry,
    /// Increases with each endpoint that appears at an address.
    number: u64,
}

/// The listed endpoints, by address.
#[derive(Default)]
pub(crate) struct AddressOwners {
    /// Usually one claim for each address.
    claims: HashMap<SocketAddr, Vec<Claim>>,
    addresses: HashMap<EndpointId, SocketAddr>,
    last_number: u64,
}

impl AddressOwners {
    /// Changes an update such that each address belongs to one endpoint: a complete list loses the entries of the others, and
    /// a delta reports them as removed.
    pub(crate) fn apply(&mut self, kind: EndpointUpdateKind, entries: &mut Vec<EndpointEntry>) {
        match kind {
            EndpointUpdateKind::Failed => {}
            EndpointUpdateKind::Delta => self.apply_delta(entries),
            EndpointUpdateKind::Cached | EndpointUpdateKind::Snapshot => self.apply_list(entries),
        }
    }

    fn apply_list(&mut self, entries: &mut Vec<EndpointEntry>) {
        let previous = std::mem::take(&mut self.claims);
        self.addresses.clear();
        for entry in entries.iter() {
            let claims_before = previous.get(&entry.address).into_iter().flatten();
            let number = number_of(claims_before, &entry.endpoint.id);
            self.insert(entry, number);
        }
        let owned_before = |entry: &EndpointEntry| {
            let owner = previous.get(&entry.address).and_then(|claims| last(claims));
            owner.is_some_and(|owner| owner.endpoint.id == entry.endpoint.id)
        };
        entries.retain(|entry| {
            let is_owner = self.is_owner(entry);
            if !is_owner && owned_before(entry) {
                log_displaced(entry);
            }
            is_owner
        });
    }

    fn apply_delta(&mut self, entries: &mut Vec<EndpointEntry>) {
        let mut owners_before = HashMap::new();
        for entry in entries.iter() {
            let left = self.addresses.get(&entry.endpoint.id).copied();
            for address in left.into_iter().chain([entry.address]) {
                let owner = self.owner(address).map(|owner| owner.endpoint.id.clone());
                owners_before.entry(address).or_insert(owner);
            }
            let number = self.withdraw(&entry.endpoint.id, entry.address);
            self.insert(entry, number);
        }
        for entry in entries.iter_mut() {
            if !self.is_owner(entry) {
                entry.endpoint.state = EndpointState::Removed;
            }
        }
        for (address, before) in owners_before {
            self.report_change_of_owner(address, before, entries);
        }
    }

    /// Adds the previous owner of an address as removed, and the present one, unless the update has them already.
    fn report_change_of_owner(
        &self,
        address: SocketAddr,
        before: Option<EndpointId>,
        entries: &mut Vec<EndpointEntry>,
    ) {
        let owner = self.owner(address);
        let owner_id = owner.map(|owner| &owner.endpoint.id);
        if owner_id == before.as_ref() {
            return;
        }
        let is_in_update = |id: &EndpointId, entries: &[EndpointEntry]| {
            entries.iter().any(|entry| entry.endpoint.id == *id)
        };
        let claims = self.claims.get(&address).into_iter().flatten();
        for claim in claims.filter(|claim| Some(&claim.entry.endpoint.id) == before.as_ref()) {
            let mut displaced = claim.entry.clone();
            log_displaced(&displaced);
            displaced.endpoint.state = EndpointState::Removed;
            if !is_in_update(&displaced.endpoint.id, entries) {
                entries.push(displaced);
            }
        }
        if let Some(owner) = owner.filter(|owner| !is_in_update(&owner.endpoint.id, entries)) {
            entries.push(owner.clone());
        }
    }

    /// Adds the claim of an entry, unless its endpoint is removed. `number` is that of its claim before, if it had one.
    fn insert(&mut self, entry: &EndpointEntry, number: Option<u64>) {
        if entry.endpoint.state == EndpointState::Removed {
            return;
        }
        self.last_number += 1;
        let claim = Claim {
            entry: entry.clone(),
            number: number.unwrap_or(self.last_number),
        };
        self.claims.entry(entry.address).or_default().push(claim);
        self.addresses
            .insert(entry.endpoint.id.clone(), entry.address);
    }

    /// Removes the claim of an endpoint. Returns its number if it was at this address.
    fn withdraw(&mut self, id: &EndpointId, address: SocketAddr) -> Option<u64> {
        let left = self.addresses.remove(id)?;
        let claims = self.claims.get_mut(&left)?;
        let number = number_of(claims.iter(), id);
        claims.retain(|claim| claim.entry.endpoint.id != *id);
        if claims.is_empty() {
            self.claims.remove(&left);
        }
        number.filter(|_| left == address)
    }

    /// The entry of the endpoint to which an address belongs.
    fn owner(&self, address: SocketAddr) -> Option<&EndpointEntry> {
        last(self.claims.get(&address)?)
    }

    fn is_owner(&self, entry: &EndpointEntry) -> bool {
        self.owner(entry.address)
            .is_some_and(|owner| owner.endpoint.id == entry.endpoint.id)
    }
}

/// The endpoint that started last, and of those the newest at the address. One without a start time started long ago.
fn last(claims: &[Claim]) -> Option<&EndpointEntry> {
    let last = claims
        .iter()
        .max_by_key(|claim| (claim.entry.endpoint.started_at_ns, claim.number))?;
    Some(&last.entry)
}

fn log_displaced(entry: &EndpointEntry) {
    tracing::info!(
        endpoint = %entry.endpoint.id,
        address = %entry.address,
        "endpoint address taken by a new endpoint"
    );
}

/// The number of an endpoint's claim among these.
fn number_of<'a>(mut claims: impl Iterator<Item = &'a Claim>, id: &EndpointId) -> Option<u64> {
    claims
        .find(|claim| claim.entry.endpoint.id == *id)
        .map(|claim| claim.number)
}

#[cfg(test)]
mod tests;
