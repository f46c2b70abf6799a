//! Snapshot of the registry's list on disk, from which the next process starts.
//!
//! The file is replaced atomically: after a crash at any moment it holds the old or the new snapshot.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use applewall_membership::snapshot::{Snapshot, SnapshotError, SnapshotLimits};
use applewall_membership::Position;

use crate::system::durable_file;

/// Minimum time between snapshots. Limits disk writes when the list changes continuously.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time between snapshots, also when nothing changed: the snapshot's timestamp says when its list was last confirmed
/// to be current.
const MAX_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(60);

/// Error of reading or writing a snapshot.
#[derive(Debug, thiserror::Error)]
pub(super) enum SnapshotFileError {
    /// The file cannot be read or written.
    #[error("{}: {source}", .path.display())]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file does not contain a usable snapshot.
    #[error("{}: {source}", .path.display())]
    Unusable {
        /// Path of the file.
        path: PathBuf,
        /// Why the snapshot cannot be used.
        source: SnapshotError,
    },
}

/// Time and position of the last snapshot that was written.
pub(super) struct LastSnapshot {
    written_at: Instant,
    position: Option<Position>,
}

impl LastSnapshot {
    /// No snapshot yet; the intervals count from now.
    pub(super) fn none() -> Self {
        LastSnapshot::at(None)
    }

    /// A snapshot of `position`, written now.
    pub(super) fn at(position: Option<Position>) -> Self {
        LastSnapshot {
            written_at: Instant::now(),
            position,
        }
    }

    /// Whether a snapshot of `position` is due.
    pub(super) fn is_next_due(&self, position: Option<Position>) -> bool {
        let age = self.written_at.elapsed();
        let changed = position != self.position;
        age >= MAX_SNAPSHOT_INTERVAL || (age >= MIN_SNAPSHOT_INTERVAL && changed)
    }

    /// Records that the write failed; the next write is due after [`MIN_SNAPSHOT_INTERVAL`], as after a change.
    pub(super) fn write_failed(&mut self) {
        self.position = None;
    }
}

/// The snapshot file in the configured directory.
pub(super) struct SnapshotFile {
    path: PathBuf,
    /// Temporary file of the next snapshot, which is renamed to `path` once it is on disk.
    next: PathBuf,
}

impl SnapshotFile {
    /// Determines the paths in `directory`, the operator's `registry.snapshot`. Neither reads nor creates a file.
    pub(super) fn new(directory: &str) -> Self {
        SnapshotFile {
            path: path(directory),
            next: Path::new(directory).join("roster.snapshot.next"),
        }
    }

    /// Reads the snapshot; `None` if the file does not exist.
    pub(super) fn read(&self, max_age: Duration) -> Result<Option<Snapshot>, SnapshotFileError> {
        let bytes = match std::fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(source) => {
                let path = self.path.clone();
                return Err(SnapshotFileError::Io { path, source });
            }
        };
        let limits = SnapshotLimits {
            now_ms: unix_ms(),
            max_age_ms: max_age.as_millis() as u64,
            cluster: None,
        };
        match Snapshot::decode(&bytes, &limits) {
            Ok(snapshot) => Ok(Some(snapshot)),
            Err(source) => {
                let path = self.path.clone();
                Err(SnapshotFileError::Unusable { path, source })
            }
        }
    }

    /// Writes a snapshot on a thread for blocking calls, so that a slow disk does not delay requests. Returns true once it
    /// is on disk; a failure is logged.
    pub(super) async fn write(&self, snapshot: Snapshot) -> bool {
        let (path, next) = (self.path.clone(), self.next.clone());
        let written = tokio::task::spawn_blocking(move || {
            let written = durable_file::replace(&next, &path, &snapshot.encode());
            written.map_err(|source| SnapshotFileError::Io { path, source })
        });
        match written.await {
            Ok(Ok(())) => true,
            Ok(Err(error)) => {
                tracing::warn!(%error, "registry snapshot not written");
                false
            }
            // The runtime is shutting down.
            Err(_) => false,
        }
    }
}

/// Path of the snapshot in a directory.
pub(super) fn path(directory: &str) -> PathBuf {
    Path::new(directory).join("roster.snapshot")
}

/// The current Unix time, in milliseconds.
pub(super) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
