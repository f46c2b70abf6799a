//! A library that is preloaded into the daemon (`LD_PRELOAD`) and lets the system look as Linux documents that it may: a
//! wall clock that is stepped, files that can't be written for a while, sockets that fail for a moment.
//!
//! A test writes the faults into a [`ControlFile`]; the library maps the same file, so that a change takes effect at the
//! next call. Without a control file nothing fails. Reads and writes of sockets are left alone: an edge-triggered reader
//! takes a short read for an empty socket, and a shim gives no second edge.

mod control;
mod interposed;

pub use control::{ControlFile, Fault, CONTROL_VARIABLE};

/// The file name of the library, beside the program's tests.
pub const LIBRARY_NAME: &str = "libapplewall_fault_shim.so";
