//! The zone of each listed endpoint, and the number of endpoints in service in each zone.
//!
//! Endpoints and zones have the numbers that the zone failover core uses. An endpoint keeps its number as long as it stays
//! in the list.

use std::collections::HashMap;

use applewall::api::{EndpointId, EndpointState, EndpointUpdateKind};
use applewall_zone_failover::{EndpointId as EndpointNumber, ZoneId};

use crate::engine::message::EndpointEntry;

/// Zone and number of an endpoint, as used by the core.
#[derive(Clone, Copy)]
pub(super) struct Placement {
    /// The core's number of the endpoint's zone.
    pub zone: ZoneId,
    /// The core's number of the endpoint.
    pub endpoint: EndpointNumber,
}

/// The placements of all listed endpoints.
pub(super) struct EndpointPlacements {
    /// The core's zone numbers, indexed by the decision policy's.
    core_zones: Vec<ZoneId>,
    placements: HashMap<EndpointId, Placement>,
    /// Zones of the endpoints in service.
    in_service: HashMap<EndpointId, ZoneId>,
    next_endpoint: u32,
}

impl EndpointPlacements {
    /// Starts without endpoints. `core_zones` are the core's zone numbers, indexed by the decision policy's.
    pub(super) fn new(core_zones: Vec<ZoneId>) -> Self {
        EndpointPlacements {
            core_zones,
            placements: HashMap::new(),
            in_service: HashMap::new(),
            next_endpoint: 0,
        }
    }

    /// The core's zone numbers, indexed by the decision policy's.
    pub(super) fn core_zones(&self) -> &[ZoneId] {
        &self.core_zones
    }

    /// The placement of an endpoint; `None` if it is not listed, or if its zone is not configured.
    pub(super) fn get(&self, endpoint: &EndpointId) -> Option<Placement> {
        self.placements.get(endpoint).copied()
    }

    /// Applies an update of the endpoint list.
    pub(super) fn update(&mut self, kind: EndpointUpdateKind, entries: &[EndpointEntry]) {
        if kind != EndpointUpdateKind::Delta {
            self.placements.clear();
            self.in_service.clear();
        }
        for entry in entries {
            self.update_endpoint(entry);
        }
    }

    /// The number of endpoints in service in each zone, indexed by the core's zone numbers.
    pub(super) fn count_in_service(&self) -> Vec<u32> {
        let mut counts = vec![0; self.core_zones.len()];
        for zone in self.in_service.values() {
            counts[zone.0] += 1;
        }
        counts
    }

    fn update_endpoint(&mut self, entry: &EndpointEntry) {
        let endpoint = &entry.endpoint;
        // Endpoints in a zone that is not configured are ignored by zone failover.
        let Some(zone) = self.core_zones.get(endpoint.zone.0 as usize).copied() else {
            return;
        };
        if endpoint.state == EndpointState::Removed {
            self.placements.remove(&endpoint.id);
            self.in_service.remove(&endpoint.id);
            return;
        }
        let placement = Placement {
            zone,
            endpoint: EndpointNumber(self.next_endpoint),
        };
        self.placements
            .entry(endpoint.id.clone())
            .or_insert(placement)
            .zone = zone;
        self.next_endpoint = self.next_endpoint.wrapping_add(1);
        if endpoint.state == EndpointState::Ready {
            self.in_service.insert(endpoint.id.clone(), zone);
        } else {
            self.in_service.remove(&endpoint.id);
        }
    }
}
