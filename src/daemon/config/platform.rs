//! The platform's configuration: the JSON file at the path in `GW_CONFIG`. The environment variables `GW_NAME`, `GW_LISTEN`,
//! `GW_OPERATOR` and `GW_DISCOVERY` override its values.
//!
//! The platform defines the file's keys; fields with other names here are renamed by serde attributes.

use std::env;
use std::net::SocketAddr;
use std::sync::Arc;

use applewall::platform_settings::PlatformSettings;
use serde::Deserialize;
use serde_json::Value;

use crate::config::{ConfigError, PlatformFileError};
use crate::discovery::endpoint_list::EndpointList;
use crate::resources::connection_budget::ConnectionBudget;
use crate::resources::memory_budget::MemoryBudget;

/// Minimum of `limits.sockets`. With fewer descriptors, none would be left for clients besides the program's own sockets.
pub(super) const MIN_DESCRIPTORS: usize = 64;
/// Default of `limits.sockets`.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Default of `limits.memory_mb`.
const DEFAULT_MEMORY_MIB: usize = 192;
/// Bytes in the unit of `limits.memory_mb`.
const BYTES_PER_MIB: usize = 1 << 20;

/// The file's top level; [`PlatformSettings::from_json`] reads `settings`.
#[derive(Deserialize)]
pub(super) struct PlatformFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(rename = "operator")]
    admin_listen: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(rename = "peers_all")]
    peer_broadcast: Option<SocketAddr>,
    #[serde(default, rename = "known")]
    known_endpoints: EndpointList,
    settings: Value,
}

/// Limits of the process's resources.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    #[serde(rename = "sockets")]
    max_descriptors: usize,
    #[serde(rename = "memory_mb")]
    max_memory_mib: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_descriptors: DEFAULT_DESCRIPTORS,
            max_memory_mib: DEFAULT_MEMORY_MIB,
        }
    }
}

impl PlatformFile {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not JSON, or a value has the wrong type.
    pub(super) fn read(path: &str) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_string(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| ConfigError::Malformed {
            path: path.to_string(),
            source,
        })
    }

    /// Replaces the file's values with those of the environment variables.
    fn override_from_env(&mut self) -> Result<(), ConfigError> {
        self.listen = address_from_env("GW_LISTEN")?.unwrap_or(self.listen);
        self.discovery = address_from_env("GW_DISCOVERY")?.unwrap_or(self.discovery);
        self.admin_listen = address_from_env("GW_OPERATOR")?.or(self.admin_listen);
        if let Ok(name) = env::var("GW_NAME") {
            self.name = name;
        }
        Ok(())
    }
}

/// The address in an environment variable, if it is set.
fn address_from_env(variable: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(value) = env::var(variable) else {
        return Ok(None);
    };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(ConfigError::Address { variable, value }),
    }
}

/// The platform's configuration after validation, with defaults filled in.
pub(crate) struct PlatformConfig {
    /// The path of the file, for reloads.
    pub(super) path: String,
    /// The address of discovery in the file, which `GW_DISCOVERY` may override.
    pub(super) discovery_in_file: SocketAddr,
    /// The node's name, which is part of the names of the files that its processes share.
    pub name: String,
    /// The address of the clients' listening socket; port 0 is replaced by the port that was bound.
    pub listen: SocketAddr,
    /// The admin address, if there is one; port 0 is replaced by the port that was bound.
    pub admin_listen: Option<SocketAddr>,
    /// The address of discovery at the start; a reload may find another one in the file.
    pub discovery: SocketAddr,
    /// The seed of all random generators; 0 if the file has none.
    pub seed: u64,
    /// Maximum number of open file descriptors; halved at startup if a hot restart may run two processes.
    pub max_descriptors: usize,
    /// Maximum memory, in bytes; halved like [`Self::max_descriptors`].
    pub max_memory_bytes: usize,
    /// The address of the UDP socket, if there is one.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of the fleet's nodes, including this one.
    pub peers: Vec<SocketAddr>,
    /// An address at which one datagram reaches all peers, if the platform has one.
    pub peer_broadcast: Option<SocketAddr>,
    /// The endpoint list to start with, which the platform has from an earlier process.
    pub known_endpoints: EndpointList,
    /// The decision policy's settings, and the names of the classes, plans and other items that it refers to by number.
    pub settings: Arc<PlatformSettings>,
}

impl PlatformConfig {
    /// Reads the file at the path in `GW_CONFIG`; the other variables override its values.
    ///
    /// # Errors
    ///
    /// `GW_CONFIG` is not set, or the file or a variable is not valid.
    pub(crate) fn from_env() -> Result<Self, ConfigError> {
        let path = env::var("GW_CONFIG").map_err(|_| ConfigError::NotSet)?;
        let mut file = PlatformFile::read(&path)?;
        let discovery_in_file = file.discovery;
        file.override_from_env()?;
        match PlatformConfig::try_from(file) {
            Ok(config) => Ok(PlatformConfig {
                path,
                discovery_in_file,
                ..config
            }),
            Err(source) => Err(ConfigError::InvalidValue { path, source }),
        }
    }

    /// The division of the memory.
    pub(crate) fn memory_budget(&self) -> MemoryBudget {
        MemoryBudget::new(self.max_memory_bytes)
    }

    /// The division of the descriptors.
    pub(crate) fn connection_budget(&self) -> ConnectionBudget {
        ConnectionBudget::new(self.max_descriptors, self.memory_budget())
    }

    /// A one-line description of the node, for `check` and for the log.
    pub(crate) fn summary(&self) -> String {
        let datagrams = self
            .peer_listen
            .map_or(String::new(), |address| format!(", datagrams on {address}"));
        let admin = self
            .admin_listen
            .map_or(String::new(), |address| format!(", operators on {address}"));
        format!(
            "{} on {}{datagrams}{admin}, discovery {}, {} known instances, {} peers, {} descriptors",
            self.name,
            self.listen,
            self.discovery,
            self.known_endpoints.targets.len(),
            self.peers.len(),
            self.max_descriptors
        )
    }
}

impl TryFrom<PlatformFile> for PlatformConfig {
    type Error = PlatformFileError;

    fn try_from(file: PlatformFile) -> Result<Self, PlatformFileError> {
        let settings = PlatformSettings::from_json(&file.settings)?;
        let limits = file.limits;
        if limits.max_descriptors < MIN_DESCRIPTORS {
            return Err(PlatformFileError::TooFewDescriptors(limits.max_descriptors));
        }
        let seed = match file.seed.as_str() {
            "" => 0,
            hex => u64::from_str_radix(hex, 16)
                .map_err(|_| PlatformFileError::Seed(hex.to_string()))?,
        };
        Ok(PlatformConfig {
            path: String::new(),
            discovery_in_file: file.discovery,
            name: file.name,
            listen: file.listen,
            admin_listen: file.admin_listen,
            discovery: file.discovery,
            seed,
            max_descriptors: limits.max_descriptors,
            max_memory_bytes: limits.max_memory_mib.saturating_mul(BYTES_PER_MIB),
            peer_listen: file.peer_listen,
            peers: file.peers,
            peer_broadcast: file.peer_broadcast,
            known_endpoints: file.known_endpoints,
            settings: Arc::new(settings),
        })
    }
}

#[cfg(test)]
impl PlatformConfig {
    /// The configuration of the recorded exchanges, with addresses at which nothing listens.
    pub(crate) fn sample() -> Self {
        let text = include_str!("../../../tests/exchanges/config.json")
            .replace("@discovery", "127.0.0.1:9");
        let text = text
            .replace("@peer0", "127.0.0.1:9")
            .replace("@peer1", "127.0.0.1:9");
        let file: PlatformFile =
            serde_json::from_str(&text.replace("@s1", "127.0.0.1:9")).expect("well-formed");
        file.try_into().expect("complete")
    }
}

#[cfg(test)]
mod golden;
