//! A library that is preloaded into the daemon (`LD_PRELOAD`) and injects faults that Linux documents: steps of the wall
//! clock, state files that cannot be written, and errors of `accept`, `connect` and `socket`.
//!
//! A test sets the faults in a [`ControlFile`]. The library maps the same file, so a change takes effect at the next call.
//! Without a control file, no faults are injected. Reads and writes on sockets never fail: an edge-triggered reader takes a
//! short read as a sign that the socket is empty, and the shim cannot trigger another edge.

mod control;
mod interposed;

pub use control::{ControlFile, Fault, CONTROL_VARIABLE};

/// File name of the library in the build directory.
pub const LIBRARY_NAME: &str = "libapplewall_fault_shim.so";
