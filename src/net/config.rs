//! What the ingress is told: GW_CONFIG, with GW_NAME, GW_LISTEN and GW_DISCOVERY over it.

use std::env;
use std::net::SocketAddr;
use std::sync::Arc;

use applewall::wire::{self, Facts};
use serde::Deserialize;
use serde_json::Value;

use super::name_table::Answer;

/// The configuration file; the settings are read by [`wire::facts`].
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: Answer,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

/// All that the ingress is told.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    /// The name table as an earlier life last had it.
    pub known: Answer,
    pub facts: Arc<Facts>,
}

impl Config {
    /// Reads the file that GW_CONFIG names; the other variables go before what it says.
    pub fn from_env() -> Result<Self, String> {
        let path = env::var("GW_CONFIG").map_err(|_| "GW_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("GW_CONFIG: {path}: {e}"))?;
        let mut file: File = serde_json::from_str(&text).map_err(|e| format!("GW_CONFIG: {path}: {e}"))?;
        let address = |name: &str, told: SocketAddr| match env::var(name) {
            Ok(text) => text.parse().map_err(|_| format!("{name}: '{text}' is no address with a port")),
            Err(_) => Ok(told),
        };
        file.listen = address("GW_LISTEN", file.listen)?;
        file.discovery = address("GW_DISCOVERY", file.discovery)?;
        file.name = env::var("GW_NAME").unwrap_or(file.name);
        file.try_into().map_err(|e| format!("GW_CONFIG: {path}: {e}"))
    }

    /// One line on what is described.
    pub fn summary(&self) -> String {
        let datagrams = self.peer_listen.map_or(String::new(), |at| format!(", datagrams on {at}"));
        format!(
            "{} on {}{datagrams}, discovery {}, {} known instances, {} peers, {} descriptors",
            self.name,
            self.listen,
            self.discovery,
            self.known.targets.len(),
            self.peers.len(),
            self.sockets
        )
    }
}

impl TryFrom<File> for Config {
    type Error = String;

    fn try_from(file: File) -> Result<Self, String> {
        let facts = wire::facts(&file.settings)?;
        if file.limits.sockets < 64 {
            return Err(format!(
                "limits.sockets: {} descriptors are too few, 64 at least",
                file.limits.sockets
            ));
        }
        let seed = match file.seed.as_str() {
            "" => 0,
            hex => u64::from_str_radix(hex, 16).map_err(|_| format!("seed: '{hex}' is not hex digits"))?,
        };
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            sockets: file.limits.sockets,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            known: file.known,
            facts: Arc::new(facts),
        })
    }
}

#[cfg(test)]
impl Config {
    /// The configuration of the recorded exchanges, where nothing listens.
    pub fn sample() -> Self {
        let text = include_str!("../../tests/exchanges/config.json").replace("@discovery", "127.0.0.1:9");
        let text = text.replace("@peer0", "127.0.0.1:9").replace("@peer1", "127.0.0.1:9");
        let file: File = serde_json::from_str(&text.replace("@s1", "127.0.0.1:9")).expect("well-formed");
        file.try_into().expect("complete")
    }
}
