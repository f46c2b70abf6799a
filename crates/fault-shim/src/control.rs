//! The faults that are in force, in a file that the test and the daemon both map.

use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::OnceLock;

/// The environment variable that names the control file.
pub const CONTROL_VARIABLE: &str = "APPLEWALL_FAULT_SHIM";
/// Bytes of the file: one page.
const FILE_BYTES: usize = 4096;

/// One setting of the control file, by its place there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nanoseconds that the wall clock is ahead.
    WallClockOffsetNs,
    /// The error of writing, syncing and renaming files of the state folder; 0 for none.
    FileError,
    /// One in so many calls of accept fails; 0 for none.
    AcceptFailsOneIn,
    /// The same for connect.
    ConnectFailsOneIn,
    /// The same for socket.
    SocketFailsOneIn,
}

struct Mapping(*const AtomicI64);

// SAFETY: the mapping lives as long as the process and is accessed through atomics only.
unsafe impl Send for Mapping {}
// SAFETY: as above.
unsafe impl Sync for Mapping {}

impl Mapping {
    fn of(file: &File) -> io::Result<Self> {
        // SAFETY: a shared mapping of a file of this length, which nothing unmaps.
        let address = unsafe {
            libc::mmap(
                std::ptr::null_mut(),
                FILE_BYTES,
                libc::PROT_READ | libc::PROT_WRITE,
                libc::MAP_SHARED,
                file.as_raw_fd(),
                0,
            )
        };
        if address == libc::MAP_FAILED {
            return Err(io::Error::last_os_error());
        }
        Ok(Mapping(address.cast()))
    }

    fn cell(&self, fault: Fault) -> &AtomicI64 {
        // SAFETY: the page holds more cells than there are faults.
        unsafe { &*self.0.add(fault as usize) }
    }
}

/// The test's side of the faults.
pub struct ControlFile(Mapping);

impl ControlFile {
    /// A new file at `path` without any fault.
    ///
    /// # Errors
    ///
    /// The file can't be made or mapped.
    pub fn create(path: &Path) -> io::Result<Self> {
        let mut options = File::options();
        let file = options.read(true).write(true).create(true).open(path)?;
        file.set_len(FILE_BYTES as u64)?;
        Ok(ControlFile(Mapping::of(&file)?))
    }

    /// Puts a fault in force, from the daemon's next call on.
    pub fn set(&self, fault: Fault, value: i64) {
        self.0.cell(fault).store(value, Ordering::SeqCst);
    }
}

/// The daemon's side: a setting as it is now; 0 without a control file.
pub(crate) fn value(fault: Fault) -> i64 {
    static MAPPING: OnceLock<Option<Mapping>> = OnceLock::new();
    let mapping = MAPPING.get_or_init(|| {
        let path = std::env::var_os(CONTROL_VARIABLE)?;
        let file = File::options().read(true).write(true).open(path).ok()?;
        Mapping::of(&file).ok()
    });
    mapping
        .as_ref()
        .map_or(0, |mapping| mapping.cell(fault).load(Ordering::SeqCst))
}
