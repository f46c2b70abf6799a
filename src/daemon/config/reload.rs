//! Reloads both configuration files on SIGHUP.
//!
//! The reloader publishes the address of discovery and the operator's configuration in watch channels. An invalid file, such
//! as a partly written one, is ignored. From the platform's file only `discovery` is reloaded; its other keys take effect at
//! the next start.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

use crate::config::operator::OperatorConfig;
use crate::config::platform::{PlatformConfig, PlatformFile};
use crate::config::ConfigError;

/// Reads the configuration files again and publishes the values that a reload can change.
pub(crate) struct ConfigReloader {
    platform_path: String,
    /// The address of discovery in the platform's file when it was last read.
    discovery_in_file: SocketAddr,
    discovery: watch::Sender<SocketAddr>,
    /// The operator's file, if there is one.
    operator_path: Option<String>,
    operator_config: watch::Sender<Arc<OperatorConfig>>,
}

/// Receivers of the values that a reload can change.
pub(crate) struct ReloadedConfig {
    /// The address of discovery: first the one that the process started with, then each changed one in the file.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The operator's configuration when it was last read without an error.
    pub operator_config: watch::Receiver<Arc<OperatorConfig>>,
}

impl ConfigReloader {
    /// Creates a reloader for the files that both configurations were read from.
    pub(crate) fn new(
        platform_config: &PlatformConfig,
        operator_config: OperatorConfig,
        operator_path: Option<String>,
    ) -> (Self, ReloadedConfig) {
        let (discovery, discovery_receiver) = watch::channel(platform_config.discovery);
        let (operator_config, operator_receiver) = watch::channel(Arc::new(operator_config));
        let reloader = ConfigReloader {
            platform_path: platform_config.path.clone(),
            discovery_in_file: platform_config.discovery_in_file,
            discovery,
            operator_path,
            operator_config,
        };
        let reloaded = ReloadedConfig {
            discovery: discovery_receiver,
            operator_config: operator_receiver,
        };
        (reloader, reloaded)
    }

    /// Reads both files again.
    pub(crate) fn reload(&mut self) {
        self.reload_operator();
        self.reload_discovery();
    }

    fn reload_operator(&self) {
        let Some(path) = &self.operator_path else {
            return;
        };
        match OperatorConfig::read(Some(path)) {
            Ok(config) => {
                tracing::info!(%path, enabled = config.summary(), "operator configuration reloaded");
                self.operator_config.send_replace(Arc::new(config));
            }
            Err(error) => tracing::warn!(%error, "operator configuration not reloaded"),
        }
    }

    fn reload_discovery(&mut self) {
        let discovery = match self.read_discovery() {
            Ok(discovery) => discovery,
            Err(error) => {
                return tracing::warn!(%error, "platform configuration not reloaded");
            }
        };
        // GW_DISCOVERY overrides the address that the file had at the start, but not a later change of the file.
        if std::mem::replace(&mut self.discovery_in_file, discovery) == discovery {
            return tracing::info!("platform configuration reloaded, discovery address unchanged");
        }
        tracing::info!(address = %discovery, "platform configuration reloaded, discovery address changed");
        self.discovery.send_replace(discovery);
    }

    /// Reads the address of discovery from the platform's file; the whole file has to be valid.
    fn read_discovery(&self) -> Result<SocketAddr, ConfigError> {
        let file = PlatformFile::read(&self.platform_path)?;
        let config =
            PlatformConfig::try_from(file).map_err(|source| ConfigError::InvalidValue {
                path: self.platform_path.clone(),
                source,
            })?;
        Ok(config.discovery)
    }
}
