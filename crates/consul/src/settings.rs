//! Settings in section `[consul]` of the operator's file. Field names are the keys in the file.

use applewall_operator_config::{DurationSetting, EnabledFlag, Networks};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

/// `[consul]`: membership from a Consul-style store. It takes precedence over discovery, and an etcd registry over it.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Whether the store is used. If it is off, the members come from discovery and, if enabled, from `[registry]`.
    #[garde(custom(requires_agent(&self.agent)))]
    pub enabled: EnabledFlag,
    /// Address and port of the agent on this machine.
    pub agent: Option<std::net::SocketAddr>,
    /// Prefix of the members' keys; the rest of a key is the member's id.
    #[garde(length(min = 1, max = 512), custom(needs_no_escaping))]
    pub prefix: String,
    /// File with the token that is sent with each query. It is read again for each connection.
    pub token_file: Option<String>,
    /// Networks that members may listen in; if empty, any network is allowed.
    pub allowed: Networks,
    /// Wait time of a blocking query. A query without a response times out after this plus `patience`.
    #[garde(dive)]
    pub wait: DurationSetting,
    /// How much later than the wait time of its query a response may arrive. For a query without a wait time, such as
    /// the first one, this is the timeout.
    #[garde(dive)]
    pub patience: DurationSetting,
    /// Maximum delay after a failure.
    #[garde(dive)]
    pub backoff: DurationSetting,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            enabled: EnabledFlag(false),
            agent: None,
            prefix: "applewall/members/".into(),
            token_file: None,
            allowed: Networks::default(),
            wait: DurationSetting::from_millis(10_000),
            patience: DurationSetting::from_millis(500),
            backoff: DurationSetting::from_millis(1_000),
        }
    }
}

/// Rejects a store that is enabled without an agent.
fn requires_agent(
    agent: &Option<std::net::SocketAddr>,
) -> impl FnOnce(&EnabledFlag, &()) -> garde::Result + '_ {
    move |enabled, ()| {
        if enabled.0 && agent.is_none() {
            return Err(garde::Error::new("on, but no agent is configured"));
        }
        Ok(())
    }
}

/// Rejects a prefix with characters that would need escaping: the prefix is inserted into the path of a query as it is.
fn needs_no_escaping(prefix: &str, (): &()) -> garde::Result {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._/-".contains(&byte);
    if prefix.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(garde::Error::new(
        "only letters, digits and . _ / - are allowed",
    ))
}
