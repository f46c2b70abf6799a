//! Atomic replacement of a file: after a crash or a power loss at any moment, it has either the old or the new content.

use std::fs::File;
use std::io::{self, Write as _};
use std::path::Path;

/// Writes `bytes` to `next`, a path in the same directory, and renames it to `path`. Blocks until both are on disk.
///
/// # Errors
///
/// The operating system's error. If the write or the rename failed, the old file is unchanged, and `next` is removed, since
/// a partial file would take up space on a full disk.
pub(crate) fn replace(next: &Path, path: &Path, bytes: &[u8]) -> io::Result<()> {
    let written = write(next, bytes).and_then(|()| std::fs::rename(next, path));
    if written.is_err() {
        let _ = std::fs::remove_file(next);
    }
    written?;
    sync_directory_of(path)
}

/// Writes a file and waits until its bytes are on disk.
fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    // Otherwise the rename might reach the disk before the bytes.
    file.sync_all()
}

/// Syncs the directory of `path`, so that the rename is on disk.
fn sync_directory_of(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}
