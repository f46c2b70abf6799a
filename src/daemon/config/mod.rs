//! The configuration: the platform's JSON file ([`platform::PlatformConfig`]) and the operator's INI file
//! ([`operator::OperatorConfig`]).
//!
//! `cli` reads both before the node starts; [`reload`] reads them again while it runs. A [`ConfigError`] names the file and
//! the key that is invalid.

use std::error::Error;
use std::io;

mod file_error;
#[cfg(test)]
mod golden;
pub(crate) mod operator;
pub(crate) mod platform;
pub(crate) mod reload;

pub(crate) use file_error::PlatformFileError;

/// Why the configuration cannot be used. The message is one line with the file and the key.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// The environment variable `GW_CONFIG` is missing.
    #[error("GW_CONFIG is not set")]
    NotSet,
    /// The platform's file cannot be read.
    #[error("GW_CONFIG: {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The platform's file is not JSON, or a value has the wrong type.
    #[error("GW_CONFIG: {path}: {source}")]
    Malformed {
        /// Path of the file.
        path: String,
        /// The error, with its position.
        source: serde_json::Error,
    },
    /// A value in the platform's file is not valid.
    #[error("GW_CONFIG: {path}: {source}")]
    InvalidValue {
        /// Path of the file.
        path: String,
        /// The key, and why its value is not valid.
        source: PlatformFileError,
    },
    /// An environment variable's value is not an address with a port.
    #[error("{variable}: '{value}' is not an address with a port")]
    Address {
        /// Name of the variable.
        variable: &'static str,
        /// Value of the variable.
        value: String,
    },
    /// The operator's file cannot be read, or a value in it is not valid.
    #[error("{path}: {source}")]
    OperatorFile {
        /// Path of the file.
        path: String,
        /// The error, with section and key if it concerns a value.
        source: Box<dyn Error + Send + Sync>,
    },
}
