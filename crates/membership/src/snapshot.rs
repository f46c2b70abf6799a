//! The last good list as bytes: versioned, checksummed, bounded in age.
//!
//! Form: one line of text, `applewall-roster 1 CRC32 LENGTH`, followed by that many bytes of JSON. The first word is on
//! disk and stays, whatever the crate is called. A snapshot that is cut off, of another program, too old or of another
//! cluster is rejected with its reason; nothing of it is used.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::record::MemberRecord;
use crate::source::{Position, Source};

/// First word of the header line.
const MAGIC: &str = "applewall-roster";

/// The version that is written, and the only one that is read.
const VERSION: u32 = 1;

/// Longest header line that is looked for; its four words take at most some 60 bytes.
const MAX_HEADER_BYTES: usize = 128;

/// Most bytes of JSON that are read: room for some hundred thousand members, and a bound on memory where the file is
/// not ours.
const MAX_BODY_BYTES: usize = 64 << 20;

/// How far the clock that wrote a snapshot may be ahead of the one that reads it.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

const NANOS_PER_MILLI: u64 = 1_000_000;

/// The contents of a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The id of the cluster that reported it.
    pub cluster: u64,
    /// The revision up to which it holds.
    pub revision: u64,
    /// When it was last known to be current, as Unix time in milliseconds.
    pub at_ms: u64,
    /// The members.
    pub members: BTreeMap<String, MemberRecord>,
}

/// Why a snapshot is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// It is no snapshot of this program.
    #[error("it is no snapshot of a roster")]
    Foreign,
    /// It has another version.
    #[error("it has version {0}, this program reads {VERSION}")]
    Version(u32),
    /// It is cut off, or was changed after it was written.
    #[error("it is torn: its length or checksum is wrong")]
    Torn,
    /// It is older than allowed; its age in milliseconds.
    #[error("it is too old: {} s", .0 / 1_000)]
    Old(u64),
    /// It is from the future by this many milliseconds: one of the clocks is wrong.
    #[error("it is from the future: by {} s", .0 / 1_000)]
    Ahead(u64),
    /// It is of another cluster than the one wanted; the id of its cluster.
    #[error("it is from another cluster: {0:x}")]
    Cluster(u64),
}

/// Which snapshots may be used.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotLimits {
    /// The present time, as Unix time in milliseconds.
    pub now_ms: u64,
    /// Greatest age, in milliseconds. A snapshot may be as far in the future too, up to a minute.
    pub max_age_ms: u64,
    /// The cluster wanted, if only one will do.
    pub cluster: Option<u64>,
}

/// The words of the header line behind the first two.
struct Header {
    checksum: u32,
    body_bytes: usize,
}

impl Header {
    /// Reads the line without its end. Words behind the known ones are ignored.
    fn parse(line: &str) -> Result<Self, SnapshotError> {
        let mut fields = line.split(' ');
        if fields.next() != Some(MAGIC) {
            return Err(SnapshotError::Foreign);
        }
        let version = fields.next().and_then(|field| field.parse().ok());
        match version.ok_or(SnapshotError::Foreign)? {
            VERSION => {}
            version => return Err(SnapshotError::Version(version)),
        }
        let checksum = fields
            .next()
            .and_then(|field| u32::from_str_radix(field, 16).ok());
        let body_bytes = fields.next().and_then(|field| field.parse().ok());
        Ok(Header {
            checksum: checksum.ok_or(SnapshotError::Torn)?,
            body_bytes: body_bytes.ok_or(SnapshotError::Torn)?,
        })
    }

    fn matches(&self, body: &[u8]) -> bool {
        self.body_bytes <= MAX_BODY_BYTES
            && self.body_bytes == body.len()
            && self.checksum == crc32fast::hash(body)
    }
}

impl Snapshot {
    /// A snapshot of what a source holds; `now_ns` on the source's clock is `now_ms` in Unix time. None before the
    /// registry has reported anything to this process: a list that was only restored must not be written again with a
    /// new time, or it would never grow old.
    pub fn from_source(source: &Source, now_ns: u64, now_ms: u64) -> Option<Self> {
        let Position { cluster, revision } = source.position()?;
        let age_ms = source.age_ns(now_ns)? / NANOS_PER_MILLI;
        let members = source
            .records()
            .map(|(id, record)| (id.to_string(), record.clone()))
            .collect();
        Some(Snapshot {
            cluster,
            revision,
            at_ms: now_ms.saturating_sub(age_ms),
            members,
        })
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let checksum = crc32fast::hash(&body);
        let header = format!("{MAGIC} {VERSION} {checksum:08x} {}\n", body.len());
        [header.as_bytes(), &body].concat()
    }

    /// Reads bytes.
    ///
    /// # Errors
    ///
    /// Why they are not used.
    pub fn decode(bytes: &[u8], limits: &SnapshotLimits) -> Result<Self, SnapshotError> {
        let header_end = bytes
            .iter()
            .take(MAX_HEADER_BYTES)
            .position(|byte| *byte == b'\n')
            .ok_or(SnapshotError::Foreign)?;
        let line = std::str::from_utf8(&bytes[..header_end]).map_err(|_| SnapshotError::Foreign)?;
        let header = Header::parse(line)?;
        let body = &bytes[header_end + 1..];
        if !header.matches(body) {
            return Err(SnapshotError::Torn);
        }
        let snapshot: Snapshot = serde_json::from_slice(body).map_err(|_| SnapshotError::Torn)?;
        snapshot.check(limits)?;
        Ok(snapshot)
    }

    fn check(&self, limits: &SnapshotLimits) -> Result<(), SnapshotError> {
        let age_ms = limits.now_ms.saturating_sub(self.at_ms);
        if age_ms > limits.max_age_ms {
            return Err(SnapshotError::Old(age_ms));
        }
        let ahead_ms = self.at_ms.saturating_sub(limits.now_ms);
        if ahead_ms > limits.max_age_ms.min(MAX_CLOCK_SKEW_MS) {
            return Err(SnapshotError::Ahead(ahead_ms));
        }
        match limits.cluster {
            Some(wanted) if wanted != self.cluster => Err(SnapshotError::Cluster(self.cluster)),
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
