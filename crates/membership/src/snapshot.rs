//! Encoding of the last known list of a registry, with a version, a checksum and a maximum age.
//!
//! Format: a header line, `applewall-roster 1 CRC32 LENGTH`, followed by that many bytes of JSON. The word
//! `applewall-roster` is part of the format of existing files and is independent of the crate's name. A snapshot that
//! is truncated, corrupted, too old, or from another program or cluster is rejected as a whole.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::record::MemberRecord;
use crate::source::{Position, Source};

/// First field of the header line.
const MAGIC: &str = "applewall-roster";

/// The version that is written, and the only one that is accepted.
const VERSION: u32 = 1;

/// Maximum length of the header line, so that a file without one is not searched to its end. The four fields have at
/// most 60 bytes.
const MAX_HEADER_BYTES: usize = 128;

/// Maximum length of the JSON, enough for several hundred thousand members. Limits the memory that the file
/// of another program can take.
const MAX_BODY_BYTES: usize = 64 << 20;

/// How far the clock of the writer may be ahead of the clock of the reader, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

const MILLIS_PER_SECOND: u64 = 1_000;

/// The content of a snapshot, serialized under these names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Id of the registry's cluster.
    pub cluster: u64,
    /// The revision up to which the list includes all changes.
    pub revision: u64,
    /// When the list was last known to be current, as Unix time in milliseconds.
    pub at_ms: u64,
    /// The members' records, by id.
    pub members: BTreeMap<String, MemberRecord>,
}

/// Why a snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes do not start with the header of a snapshot.
    #[error("not a membership snapshot: header line has no `{MAGIC}` with a version")]
    NotASnapshot,
    /// The snapshot has a version that this program does not read.
    #[error("snapshot has version {0}, this program reads version {VERSION}")]
    UnsupportedVersion(u32),
    /// The snapshot is incomplete, or was modified after it was written.
    #[error(
        "snapshot is truncated or corrupted: its length or checksum does not match its header"
    )]
    Corrupted,
    /// The snapshot exceeds the maximum age.
    #[error("snapshot is {} s old, the maximum is {} s", .age_ms / MILLIS_PER_SECOND, .max_age_ms / MILLIS_PER_SECOND)]
    TooOld {
        /// Time since the list was last known to be current, in milliseconds.
        age_ms: u64,
        /// The maximum from [`SnapshotLimits::max_age_ms`].
        max_age_ms: u64,
    },
    /// The snapshot is from the future: the clock of the writer or of the reader is wrong.
    #[error("snapshot is {} s in the future", .ahead_ms / MILLIS_PER_SECOND)]
    FromFuture {
        /// How far the snapshot is ahead of the current time, in milliseconds.
        ahead_ms: u64,
    },
    /// The snapshot is from another cluster than the expected one.
    #[error("snapshot is from cluster {:x}, expected {:x}", .found, .expected)]
    OtherCluster {
        /// Id of the cluster in the snapshot.
        found: u64,
        /// Id of the cluster in [`SnapshotLimits::cluster`].
        expected: u64,
    },
}

/// The requirements that a snapshot has to meet.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotLimits {
    /// The current time, as Unix time in milliseconds.
    pub now_ms: u64,
    /// Maximum age, in milliseconds. A snapshot that is ahead of the current time is accepted if it is ahead by no more
    /// than this and no more than a minute.
    pub max_age_ms: u64,
    /// The cluster whose snapshots are accepted; `None` accepts any cluster.
    pub cluster: Option<u64>,
}

/// The parsed header line: its third and fourth field.
struct Header {
    checksum: u32,
    body_bytes: usize,
}

impl Header {
    /// Parses the header line without its line feed. Additional fields are ignored.
    fn parse(line: &str) -> Result<Self, SnapshotError> {
        let mut fields = line.split(' ');
        if fields.next() != Some(MAGIC) {
            return Err(SnapshotError::NotASnapshot);
        }
        let version = fields.next().and_then(|field| field.parse().ok());
        match version.ok_or(SnapshotError::NotASnapshot)? {
            VERSION => {}
            version => return Err(SnapshotError::UnsupportedVersion(version)),
        }
        let checksum = fields
            .next()
            .and_then(|field| u32::from_str_radix(field, 16).ok());
        let body_bytes = fields.next().and_then(|field| field.parse().ok());
        Ok(Header {
            checksum: checksum.ok_or(SnapshotError::Corrupted)?,
            body_bytes: body_bytes.ok_or(SnapshotError::Corrupted)?,
        })
    }

    fn matches(&self, body: &[u8]) -> bool {
        self.body_bytes <= MAX_BODY_BYTES
            && self.body_bytes == body.len()
            && self.checksum == crc32fast::hash(body)
    }
}

impl Snapshot {
    /// Creates a snapshot of a source's members. `now` and `now_unix_ms` are the same time on two clocks. Returns
    /// `None` until the registry has reported to this process: if a restored list were written again with the current
    /// time, it would never reach its maximum age.
    pub fn from_source(source: &Source, now: Instant, now_unix_ms: u64) -> Option<Self> {
        let Position { cluster, revision } = source.position()?;
        let age_ms = millis(source.age(now)?);
        let members = source
            .records()
            .map(|(id, record)| (id.to_string(), record.clone()))
            .collect();
        Some(Snapshot {
            cluster: cluster.0,
            revision,
            at_ms: now_unix_ms.saturating_sub(age_ms),
            members,
        })
    }

    /// Encodes the snapshot as the content of a file.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let checksum = crc32fast::hash(&body);
        let header = format!("{MAGIC} {VERSION} {checksum:08x} {}\n", body.len());
        [header.as_bytes(), &body].concat()
    }

    /// Decodes a snapshot, and checks it against the limits.
    ///
    /// # Errors
    ///
    /// The bytes are not a complete snapshot, or the snapshot exceeds the limits.
    pub fn decode(bytes: &[u8], limits: &SnapshotLimits) -> Result<Self, SnapshotError> {
        let header_end = bytes
            .iter()
            .take(MAX_HEADER_BYTES)
            .position(|byte| *byte == b'\n')
            .ok_or(SnapshotError::NotASnapshot)?;
        let line =
            std::str::from_utf8(&bytes[..header_end]).map_err(|_| SnapshotError::NotASnapshot)?;
        let header = Header::parse(line)?;
        let body = &bytes[header_end + 1..];
        if !header.matches(body) {
            return Err(SnapshotError::Corrupted);
        }
        let snapshot: Snapshot =
            serde_json::from_slice(body).map_err(|_| SnapshotError::Corrupted)?;
        snapshot.check(limits)?;
        Ok(snapshot)
    }

    fn check(&self, limits: &SnapshotLimits) -> Result<(), SnapshotError> {
        let max_age_ms = limits.max_age_ms;
        let age_ms = limits.now_ms.saturating_sub(self.at_ms);
        if age_ms > max_age_ms {
            return Err(SnapshotError::TooOld { age_ms, max_age_ms });
        }
        let ahead_ms = self.at_ms.saturating_sub(limits.now_ms);
        if ahead_ms > max_age_ms.min(MAX_CLOCK_SKEW_MS) {
            return Err(SnapshotError::FromFuture { ahead_ms });
        }
        let found = self.cluster;
        match limits.cluster {
            Some(expected) if expected != found => {
                Err(SnapshotError::OtherCluster { found, expected })
            }
            _ => Ok(()),
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
