//! Conversion between members of the membership and endpoints of the decision policy.

use applewall::api::{CellId, Endpoint, EndpointState, MachineTypeId};
use applewall::platform_settings::PlatformSettings;
use applewall_membership::{MemberRecord, MemberState, MemberUpdate};

use crate::clock::Clock;
use crate::engine::message::EndpointEntry;

/// Machine type of all endpoints from registries; their records have no field for it.
const NO_MACHINE_TYPE: MachineTypeId = MachineTypeId(0);

/// Converts a member to an endpoint of the decision policy.
pub(super) fn endpoint_entry(
    id: &str,
    record: &MemberRecord,
    settings: &PlatformSettings,
    clock: &Clock,
) -> EndpointEntry {
    let endpoint = Endpoint {
        id: id.into(),
        weight: record.capacity_hint,
        started_at_ns: clock.nanos_of_unix_ms(record.boot_ms),
        zone: settings.zone(&record.az),
        cell: CellId(record.pod_group),
        machine_type: NO_MACHINE_TYPE,
        state: match record.state {
            MemberState::InService => EndpointState::Ready,
            MemberState::Terminating => EndpointState::Draining,
        },
    };
    EndpointEntry {
        endpoint,
        address: record.endpoint,
    }
}

/// Converts an entry of discovery to an update of the membership. The record is used only to detect changes and has only the
/// fields that this needs; for a member that comes from discovery, the engine receives discovery's own entry.
pub(super) fn member_update(entry: &EndpointEntry, revision: u64) -> MemberUpdate {
    let endpoint = &entry.endpoint;
    // A different start time means another incarnation.
    let started_at_ns = endpoint.started_at_ns.unwrap_or(0);
    let record = MemberRecord {
        endpoint: entry.address,
        az: String::new(),
        pod_group: endpoint.cell.0,
        state: match endpoint.state {
            EndpointState::Ready => MemberState::InService,
            _ => MemberState::Terminating,
        },
        capacity_hint: endpoint.weight,
        boot_ms: started_at_ns,
    };
    MemberUpdate {
        id: endpoint.id.to_string(),
        revision,
        create_revision: started_at_ns,
        record: (endpoint.state != EndpointState::Removed).then_some(record),
    }
}

/// The entry that removes an endpoint.
pub(super) fn removal(mut entry: EndpointEntry) -> EndpointEntry {
    entry.endpoint.state = EndpointState::Removed;
    entry
}
