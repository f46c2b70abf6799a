//! Files shared by the processes of one node: the hot restart socket and the state file with the maintenance set.
//!
//! Files are replaced by a rename, so that a reader never sees a partial one.

use std::env;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use applewall_admin::{state_file, MaintenanceSet};

use crate::system::durable_file;

/// Maximum number of retries of a failed read. Together with [`READ_RETRY_INTERVAL`] they delay the start by at most 2 s.
const MAX_READ_RETRIES: u32 = 20;
/// Interval between attempts to read the state file.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The state file could not be written.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub(crate) struct StateFileError {
    /// Path of the state file.
    pub path: PathBuf,
    /// The operating system's error.
    pub source: io::Error,
}

/// The directory that the processes of one node share.
#[derive(Clone)]
pub(crate) struct SharedDirectory {
    path: PathBuf,
    /// The node's name, sanitized for use in file names.
    name: String,
}

impl SharedDirectory {
    /// The files of the node `name` in `$TMPDIR`.
    pub(crate) fn new(name: &str) -> Self {
        SharedDirectory::at_path(&env::temp_dir(), name)
    }

    /// The files of the node `name` in the directory `path`.
    pub(crate) fn at_path(path: &Path, name: &str) -> Self {
        // Names given by the platform may contain path separators.
        let name = name.replace(|char: char| !char.is_ascii_alphanumeric(), "_");
        SharedDirectory {
            path: path.to_path_buf(),
            name,
        }
    }

    /// Path of the socket on which the active process listens for a new one.
    pub(crate) fn hot_restart_socket(&self) -> PathBuf {
        self.path.join(format!("applewall-{}.sock", self.name))
    }

    /// Path, unique to this process, at which it binds its socket before renaming it to [`Self::hot_restart_socket`].
    pub(crate) fn own_hot_restart_socket(&self) -> PathBuf {
        self.path.join(format!(
            "applewall-{}.{}.sock",
            self.name,
            std::process::id()
        ))
    }

    fn state_file(&self) -> PathBuf {
        self.path.join(format!("applewall-{}.state", self.name))
    }

    /// Reads the maintenance set from the state file; empty if there is no file. An unreadable file is logged and ignored,
    /// because a node that does not start is worse than endpoints that are back in service.
    pub(crate) fn read_maintenance_set(&self) -> MaintenanceSet {
        let path = self.state_file();
        let read = match read_with_retries(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return MaintenanceSet::default()
            }
            Err(error) => Err(error.to_string()),
            Ok(text) => state_file::decode(&text).map_err(|error| error.to_string()),
        };
        read.unwrap_or_else(|reason| {
            tracing::warn!(path = %path.display(), error = %reason, "state file could not be read, no endpoint is in maintenance");
            MaintenanceSet::default()
        })
    }

    /// Reads the maintenance set from the state file once; empty if there is no file, `None` if it is unreadable.
    pub(crate) fn try_read_maintenance_set(&self) -> Option<MaintenanceSet> {
        match std::fs::read_to_string(self.state_file()) {
            Ok(text) => state_file::decode(&text).ok(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                Some(MaintenanceSet::default())
            }
            Err(_) => None,
        }
    }

    /// Replaces the state file with one that has this maintenance set.
    ///
    /// # Errors
    ///
    /// The directory cannot be written; the old file is unchanged.
    pub(crate) fn write_maintenance_set(
        &self,
        maintenance: &MaintenanceSet,
    ) -> Result<(), StateFileError> {
        let path = self.state_file();
        let next = self
            .path
            .join(format!("applewall-{}.{}", self.name, std::process::id()));
        durable_file::replace(&next, &path, state_file::encode(maintenance).as_bytes())
            .map_err(|source| StateFileError { path, source })
    }
}

/// Reads a file, with retries. Without them, a transient disk failure would send requests to endpoints in maintenance.
fn read_with_retries(path: &Path) -> io::Result<String> {
    for _ in 0..MAX_READ_RETRIES {
        match std::fs::read_to_string(path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                std::thread::sleep(READ_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
    std::fs::read_to_string(path)
}
