//! Records, updates and positions for the tests of this crate.

use crate::{
    ClusterId, FullList, MemberRecord, MemberState, MemberUpdate, Position, ReadConsistency,
    SourceInput,
};

/// A record with this port on the loopback address.
pub(crate) fn record(port: u16, state: MemberState) -> MemberRecord {
    MemberRecord {
        endpoint: ([127, 0, 0, 1], port).into(),
        az: String::new(),
        pod_group: -1,
        state,
        capacity_hint: 0.0,
        boot_ms: 0,
    }
}

/// An update of one key; `port` is the member's port, or `None` if the key was deleted.
pub(crate) fn update(
    id: &str,
    revision: u64,
    create_revision: u64,
    port: Option<u16>,
) -> MemberUpdate {
    MemberUpdate {
        id: id.to_string(),
        revision,
        create_revision,
        record: port.map(|port| record(port, MemberState::InService)),
    }
}

pub(crate) fn position(cluster: u64, revision: u64) -> Position {
    Position {
        cluster: ClusterId(cluster),
        revision,
    }
}

pub(crate) fn consistent_list(position: Position, updates: Vec<MemberUpdate>) -> SourceInput {
    SourceInput::FullList(FullList {
        position,
        consistency: ReadConsistency::Consistent,
        updates,
    })
}
