//! The last good list as bytes: versioned, checksummed, bounded in age.
//!
//! Form: one line of text, `applewall-membership 1 CRC32 LENGTH`, and then so many bytes of JSON. What is torn, foreign,
//! too old or from another cluster is refused with its reason; nothing of it is used.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::entry::MemberRecord;
use crate::source::Source;

const MAGIC: &str = "applewall-roster";
const VERSION: u32 = 1;
/// A list holds no more bytes than this.
const MOST: usize = 64 << 20;

/// What a snapshot holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The cluster that told it.
    pub cluster: u64,
    /// The revision up to which it holds.
    pub revision: u64,
    /// When it was known to be current, as Unix time in milliseconds.
    pub at_ms: u64,
    /// The members.
    pub members: BTreeMap<String, MemberRecord>,
}

/// Why a snapshot is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// No snapshot of this program at all.
    Foreign,
    /// One of another version.
    Version(u32),
    /// Cut short, or changed after it was written.
    Torn,
    /// Older than allowed, in milliseconds.
    Old(u64),
    /// From the future by so many milliseconds: one of the clocks is wrong.
    Ahead(u64),
    /// Told by another cluster than the one wanted.
    Cluster(u64),
}

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SnapshotError::Foreign => f.write_str("it is no snapshot of a roster"),
            SnapshotError::Version(version) => {
                write!(f, "it has version {version}, this program reads {VERSION}")
            }
            SnapshotError::Torn => f.write_str("it is torn: its length or checksum is wrong"),
            SnapshotError::Old(ms) => write!(f, "it is too old: {} s", ms / 1_000),
            SnapshotError::Ahead(ms) => write!(f, "it is from the future: by {} s", ms / 1_000),
            SnapshotError::Cluster(id) => write!(f, "it is from another cluster: {id:x}"),
        }
    }
}

impl std::error::Error for SnapshotError {}

/// What may be used.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotLimits {
    /// The present moment, as Unix time in milliseconds.
    pub now_ms: u64,
    /// Oldest age, in milliseconds. As far ahead may clocks differ too, up to a minute.
    pub age_ms: u64,
    /// The cluster wanted, where one is named.
    pub cluster: Option<u64>,
}

impl Snapshot {
    /// Of what a source holds; `now` on its clock is `now_ms` in Unix time. None before the registry told this life
    /// anything: a list that was only restored would grow younger with each start.
    pub fn from_source(source: &Source, now: u64, now_ms: u64) -> Option<Self> {
        let (cluster, revision) = source.position()?;
        let at_ms = now_ms.saturating_sub(source.age(now)? / 1_000_000);
        let members = source
            .records()
            .map(|(id, entry)| (id.to_string(), entry.clone()))
            .collect();
        Some(Snapshot {
            cluster,
            revision,
            at_ms,
            members,
        })
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let head = format!(
            "{MAGIC} {VERSION} {:08x} {}\n",
            crc32fast::hash(&body),
            body.len()
        );
        [head.as_bytes(), &body].concat()
    }

    /// Reads bytes.
    ///
    /// # Errors
    ///
    /// Why they are not used.
    pub fn decode(bytes: &[u8], limits: &SnapshotLimits) -> Result<Self, SnapshotError> {
        let end = bytes
            .iter()
            .take(128)
            .position(|b| *b == b'\n')
            .ok_or(SnapshotError::Foreign)?;
        let head = std::str::from_utf8(&bytes[..end]).map_err(|_| SnapshotError::Foreign)?;
        let mut words = head.split(' ');
        if words.next() != Some(MAGIC) {
            return Err(SnapshotError::Foreign);
        }
        let version: u32 = words
            .next()
            .and_then(|w| w.parse().ok())
            .ok_or(SnapshotError::Foreign)?;
        if version != VERSION {
            return Err(SnapshotError::Version(version));
        }
        let sum = words
            .next()
            .and_then(|w| u32::from_str_radix(w, 16).ok())
            .ok_or(SnapshotError::Torn)?;
        let length: usize = words
            .next()
            .and_then(|w| w.parse().ok())
            .ok_or(SnapshotError::Torn)?;
        let body = &bytes[end + 1..];
        if length > MOST || body.len() != length || crc32fast::hash(body) != sum {
            return Err(SnapshotError::Torn);
        }
        let snapshot: Snapshot = serde_json::from_slice(body).map_err(|_| SnapshotError::Torn)?;
        let (now, at) = (limits.now_ms, snapshot.at_ms);
        if now.saturating_sub(at) > limits.age_ms {
            return Err(SnapshotError::Old(now - at));
        }
        if at.saturating_sub(now) > limits.age_ms.min(60_000) {
            return Err(SnapshotError::Ahead(at - now));
        }
        match limits.cluster.filter(|wanted| *wanted != snapshot.cluster) {
            Some(_) => Err(SnapshotError::Cluster(snapshot.cluster)),
            None => Ok(snapshot),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn snapshot() -> Snapshot {
        let entry =
            MemberRecord::parse(br#"{"endpoint":"10.0.0.1:80"}"#, &Default::default()).unwrap();
        Snapshot {
            cluster: 7,
            revision: 3,
            at_ms: 1_000_000,
            members: [("a".to_string(), entry)].into(),
        }
    }

    fn limits(now_ms: u64) -> SnapshotLimits {
        SnapshotLimits {
            now_ms,
            age_ms: 60_000,
            cluster: Some(7),
        }
    }

    #[test]
    fn what_was_written_is_read_and_every_cut_or_changed_byte_is_noticed() {
        let (snapshot, limits) = (snapshot(), limits(1_010_000));
        let bytes = snapshot.encode();
        assert_eq!(Snapshot::decode(&bytes, &limits), Ok(snapshot));
        for i in 0..bytes.len() {
            assert!(
                Snapshot::decode(&bytes[..i], &limits).is_err(),
                "cut at {i}"
            );
            let mut changed = bytes.clone();
            changed[i] ^= 1;
            assert!(
                Snapshot::decode(&changed, &limits).is_err(),
                "changed at {i}"
            );
        }
    }

    #[test]
    fn its_age_is_that_of_the_list_and_what_was_only_restored_is_not_written_again() {
        const SECOND: u64 = 1_000_000_000;
        let mut source = Source::default();
        source.apply_full_list(10 * SECOND, 7, 3, true, Vec::new());
        assert_eq!(
            Snapshot::from_source(&source, 40 * SECOND, 1_000_000).map(|s| s.at_ms),
            Some(970_000)
        );
        let mut source = Source::default();
        source.restore(7, 3, Vec::new());
        assert_eq!((source.position(), source.age(0)), (Some((7, 3)), None));
        assert_eq!(Snapshot::from_source(&source, 40 * SECOND, 1_000_000), None);
    }

    #[test]
    fn what_is_old_or_foreign_is_refused_by_name() {
        let bytes = snapshot().encode();
        let read = |bytes: &[u8], limits| Snapshot::decode(bytes, &limits).unwrap_err();
        assert_eq!(
            read(&bytes, limits(2_000_000)),
            SnapshotError::Old(1_000_000)
        );
        assert_eq!(read(&bytes, limits(900_000)), SnapshotError::Ahead(100_000));
        assert_eq!(
            read(
                &bytes,
                SnapshotLimits {
                    cluster: Some(8),
                    ..limits(1_000_000)
                }
            ),
            SnapshotError::Cluster(7)
        );
        assert_eq!(read(b"{}\n", limits(0)), SnapshotError::Foreign);
        assert_eq!(
            read(b"applewall-roster 2 0 0\n", limits(0)),
            SnapshotError::Version(2)
        );
    }
}
