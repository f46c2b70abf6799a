//! The current faults, in a file that both the test and the daemon map into memory.

use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::OnceLock;

/// Environment variable with the path of the control file.
pub const CONTROL_VARIABLE: &str = "APPLEWALL_FAULT_SHIM";
/// Size of the control file in bytes: one page.
const FILE_BYTES: usize = 4096;

/// A fault that can be injected. The number of the variant is the index of its value in the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nanoseconds that are added to the wall clock; may be negative.
    WallClockOffsetNs,
    /// `errno` of calls that write, sync or rename state files; 0 if they succeed.
    FileError,
    /// Every `n`th call of `accept4` fails, where `n` is the value; 0 if none fails.
    AcceptFailsOneIn,
    /// Every `n`th call of `connect` fails, where `n` is the value; 0 if none fails.
    ConnectFailsOneIn,
    /// Every `n`th call of `socket` fails, where `n` is the value; 0 if none fails.
    SocketFailsOneIn,
}

/// The mapped control file: an array of values, indexed by [`Fault`].
struct Mapping(*const AtomicI64);

// SAFETY: the mapping remains valid until the process exits and is accessed through atomics only.
unsafe impl Send for Mapping {}
// SAFETY: as above.
unsafe impl Sync for Mapping {}

impl Mapping {
    fn new(file: &File) -> io::Result<Self> {
        // SAFETY: the file has this length, and the new shared mapping is never unmapped.
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

    fn value(&self, fault: Fault) -> &AtomicI64 {
        // SAFETY: the page has more values than there are faults.
        unsafe { &*self.0.add(fault as usize) }
    }
}

/// The control file of a test, in which it sets the faults of the daemon.
pub struct ControlFile(Mapping);

impl ControlFile {
    /// Creates a control file at `path`. No fault is set in a new file; an existing file keeps its values.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be created or mapped.
    pub fn create(path: &Path) -> io::Result<Self> {
        let mut options = File::options();
        let file = options.read(true).write(true).create(true).open(path)?;
        file.set_len(FILE_BYTES as u64)?;
        Ok(ControlFile(Mapping::new(&file)?))
    }

    /// Sets the value of a fault. It takes effect at the daemon's next call.
    pub fn set(&self, fault: Fault, value: i64) {
        self.0.value(fault).store(value, Ordering::SeqCst);
    }
}

/// Returns the current value of a fault, as the daemon reads it; 0 without a control file.
pub(crate) fn current_value(fault: Fault) -> i64 {
    static MAPPING: OnceLock<Option<Mapping>> = OnceLock::new();
    let mapping = MAPPING.get_or_init(|| {
        let path = std::env::var_os(CONTROL_VARIABLE)?;
        let file = File::options().read(true).write(true).open(path).ok()?;
        Mapping::new(&file).ok()
    });
    mapping
        .as_ref()
        .map_or(0, |mapping| mapping.value(fault).load(Ordering::SeqCst))
}
