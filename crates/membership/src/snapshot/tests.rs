//! Encoding of snapshots, and decoding of intact, corrupted and old ones and of those from other programs or clusters.

use std::time::{Duration, Instant};

use super::{Snapshot, SnapshotError, SnapshotLimits};
use crate::test_support::{consistent_list, position, record};
use crate::{MemberState, Source};

fn snapshot() -> Snapshot {
    Snapshot {
        cluster: 7,
        revision: 3,
        at_ms: 1_000_000,
        members: [("a".to_string(), record(80, MemberState::InService))].into(),
    }
}

fn limits(now_ms: u64) -> SnapshotLimits {
    SnapshotLimits {
        now_ms,
        max_age_ms: 60_000,
        cluster: Some(7),
    }
}

#[test]
fn written_snapshot_is_read_back_and_every_missing_or_changed_byte_is_detected() {
    let (snapshot, limits) = (snapshot(), limits(1_010_000));
    let bytes = snapshot.encode();
    assert_eq!(Snapshot::decode(&bytes, &limits), Ok(snapshot));
    for index in 0..bytes.len() {
        assert!(
            Snapshot::decode(&bytes[..index], &limits).is_err(),
            "cut at {index}"
        );
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        assert!(
            Snapshot::decode(&changed, &limits).is_err(),
            "changed at {index}"
        );
    }
}

#[test]
fn snapshot_has_the_age_of_its_list_and_a_restored_list_is_not_written_again() {
    let (read_at, position) = (Instant::now(), position(7, 3));
    let mut source = Source::default();
    source.handle(read_at, consistent_list(position, Vec::new()));
    let now = read_at + Duration::from_secs(30);
    assert_eq!(
        Snapshot::from_source(&source, now, 1_000_000).map(|snapshot| snapshot.at_ms),
        Some(970_000)
    );
    let mut source = Source::default();
    source.restore(position, Vec::new());
    assert_eq!((source.position(), source.age(now)), (Some(position), None));
    assert_eq!(Snapshot::from_source(&source, now, 1_000_000), None);
}

#[test]
fn old_or_foreign_snapshot_is_rejected_with_its_reason() {
    let bytes = snapshot().encode();
    let rejected = |bytes: &[u8], limits| Snapshot::decode(bytes, &limits).unwrap_err();
    assert_eq!(
        rejected(&bytes, limits(2_000_000)),
        SnapshotError::TooOld {
            age_ms: 1_000_000,
            max_age_ms: 60_000
        }
    );
    assert_eq!(
        rejected(&bytes, limits(900_000)),
        SnapshotError::FromFuture { ahead_ms: 100_000 }
    );
    let other_cluster = SnapshotLimits {
        cluster: Some(8),
        ..limits(1_000_000)
    };
    assert_eq!(
        rejected(&bytes, other_cluster),
        SnapshotError::OtherCluster {
            found: 7,
            expected: 8
        }
    );
    assert_eq!(rejected(b"{}\n", limits(0)), SnapshotError::NotASnapshot);
    assert_eq!(
        rejected(b"applewall-roster 2 0 0\n", limits(0)),
        SnapshotError::UnsupportedVersion(2)
    );
}
