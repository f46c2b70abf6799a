//! What the ingress is told: GW_CONFIG, with GW_NAME, GW_LISTEN and GW_DISCOVERY over it; and the same file read
//! again at SIGHUP.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::env;
use std::net::SocketAddr;
use std::sync::Arc;

use applewall::platform_settings::{self, PlatformSettings};
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::watch;

use crate::config::operator::OperatorConfig;
use crate::discovery::endpoint_list::EndpointList;

/// The configuration file; the settings are read by [`platform_settings::facts`].
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    operator: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: EndpointList,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 1024,
            memory_mb: 192,
        }
    }
}

/// All that the ingress is told.
pub(crate) struct PlatformConfig {
    path: String,
    /// What the file says of discovery, where a variable may say otherwise.
    discovery_in_file: SocketAddr,
    pub name: String,
    pub listen: SocketAddr,
    /// The operators' second address, where there is one.
    pub admin_listen: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Bytes of memory that it may hold.
    pub max_memory_bytes: usize,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peer_broadcast: Option<SocketAddr>,
    /// The name table as an earlier life last had it.
    pub known_endpoints: EndpointList,
    pub settings: Arc<PlatformSettings>,
}

impl PlatformConfig {
    /// Reads the file that GW_CONFIG names; the other variables go before what it says.
    pub(crate) fn from_env() -> Result<Self, String> {
        let path = env::var("GW_CONFIG").map_err(|_| "GW_CONFIG is not set")?;
        let mut file = read(&path)?;
        let told = file.discovery;
        let address = |name: &str, told: SocketAddr| match env::var(name) {
            Ok(text) => text
                .parse()
                .map_err(|_| format!("{name}: '{text}' is no address with a port")),
            Err(_) => Ok(told),
        };
        file.listen = address("GW_LISTEN", file.listen)?;
        file.discovery = address("GW_DISCOVERY", file.discovery)?;
        file.operator = match (env::var("GW_OPERATOR"), file.operator) {
            (Ok(_), told) => Some(address("GW_OPERATOR", told.unwrap_or(file.listen))?),
            (Err(_), told) => told,
        };
        file.name = env::var("GW_NAME").unwrap_or(file.name);
        let config: PlatformConfig = file
            .try_into()
            .map_err(|e| format!("GW_CONFIG: {path}: {e}"))?;
        Ok(PlatformConfig {
            path,
            discovery_in_file: told,
            ..config
        })
    }

    /// One line on what is described.
    pub(crate) fn summary(&self) -> String {
        let datagrams = self
            .peer_listen
            .map_or(String::new(), |at| format!(", datagrams on {at}"));
        let operator = self
            .admin_listen
            .map_or(String::new(), |at| format!(", operators on {at}"));
        format!(
            "{} on {}{datagrams}{operator}, discovery {}, {} known instances, {} peers, {} descriptors",
            self.name,
            self.listen,
            self.discovery,
            self.known_endpoints.targets.len(),
            self.peers.len(),
            self.max_descriptors
        )
    }
}

impl TryFrom<File> for PlatformConfig {
    type Error = String;

    fn try_from(file: File) -> Result<Self, String> {
        let facts = platform_settings::facts(&file.settings)?;
        if file.limits.sockets < 64 {
            return Err(format!(
                "limits.sockets: {} descriptors are too few, 64 at least",
                file.limits.sockets
            ));
        }
        let seed = match file.seed.as_str() {
            "" => 0,
            hex => u64::from_str_radix(hex, 16)
                .map_err(|_| format!("seed: '{hex}' is not hex digits"))?,
        };
        Ok(PlatformConfig {
            path: String::new(),
            discovery_in_file: file.discovery,
            name: file.name,
            listen: file.listen,
            admin_listen: file.operator,
            discovery: file.discovery,
            seed,
            max_descriptors: file.limits.sockets,
            max_memory_bytes: file.limits.memory_mb.saturating_mul(1 << 20),
            peer_listen: file.peer_listen,
            peers: file.peers,
            peer_broadcast: file.peers_all,
            known_endpoints: file.known,
            settings: Arc::new(facts),
        })
    }
}

fn read(path: &str) -> Result<File, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("GW_CONFIG: {path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("GW_CONFIG: {path}: {e}"))
}

/// The file, to be read again while the program runs: its `discovery` is followed, all else holds until the next
/// start.
pub(crate) struct ConfigReloader {
    path: String,
    discovery_in_file: SocketAddr,
    discovery: watch::Sender<SocketAddr>,
    /// The operator's own file, if there is one, and what it said when it was last good.
    operator_file: (Option<String>, watch::Sender<Arc<OperatorConfig>>),
}

impl ConfigReloader {
    /// The files that a configuration came from, the address of discovery and the operator's settings in force.
    pub(crate) fn new(
        config: &PlatformConfig,
        operator: OperatorConfig,
        file: Option<String>,
    ) -> (
        Self,
        watch::Receiver<SocketAddr>,
        watch::Receiver<Arc<OperatorConfig>>,
    ) {
        let (discovery, follower) = watch::channel(config.discovery);
        let (settings, settings_follower) = watch::channel(Arc::new(operator));
        let (path, told) = (config.path.clone(), config.discovery_in_file);
        (
            ConfigReloader {
                path,
                discovery_in_file: told,
                discovery,
                operator_file: (file, settings),
            },
            follower,
            settings_follower,
        )
    }

    /// Reads both files again. What is wrong with one, as where it is only half written, changes nothing that it
    /// tells.
    pub(crate) fn reload(&mut self) {
        self.reload_operator();
        self.reload_discovery();
    }

    fn reload_operator(&self) {
        let (Some(file), settings) = &self.operator_file else {
            return;
        };
        match OperatorConfig::read(Some(file)) {
            Ok(read) => {
                tracing::info!("reload: {file}: {} on", read.summary());
                settings.send_replace(Arc::new(read));
            }
            Err(reason) => tracing::warn!("reload: {reason}; all stays as it was"),
        }
    }

    fn reload_discovery(&mut self) {
        let discovery = match read(&self.path).and_then(PlatformConfig::try_from) {
            Ok(config) => config.discovery,
            Err(reason) => {
                return tracing::warn!("reload: {reason}; all stays as it was");
            }
        };
        // GW_DISCOVERY goes before what the file said at the start, not before what it was changed to.
        if std::mem::replace(&mut self.discovery_in_file, discovery) == discovery {
            return tracing::info!("reload: discovery is as it was");
        }
        tracing::info!("reload: discovery is now {discovery}");
        self.discovery.send_replace(discovery);
    }
}

#[cfg(test)]
impl PlatformConfig {
    /// The configuration of the recorded exchanges, where nothing listens.
    pub(crate) fn sample() -> Self {
        let text =
            include_str!("../../tests/exchanges/config.json").replace("@discovery", "127.0.0.1:9");
        let text = text
            .replace("@peer0", "127.0.0.1:9")
            .replace("@peer1", "127.0.0.1:9");
        let file: File =
            serde_json::from_str(&text.replace("@s1", "127.0.0.1:9")).expect("well-formed");
        file.try_into().expect("complete")
    }
}

#[cfg(test)]
mod golden;
