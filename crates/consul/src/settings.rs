//! `[consul]` of the operator's file.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use applewall_operator_config::{DurationSetting, EnabledFlag, Networks};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

/// `[consul]`: a roster in a Consul-style store, behind a registry and before discovery.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Off: it is not asked.
    #[garde(custom(with_agent(&self.agent)))]
    pub enabled: EnabledFlag,
    /// The agent on this machine, address and port.
    pub agent: Option<std::net::SocketAddr>,
    /// Keys that begin with this are members; the rest of the key is the member's id.
    #[garde(length(min = 1, max = 512), custom(plain))]
    pub prefix: String,
    /// A file that holds the token that goes with each call. Read again at each connection.
    pub token_file: Option<String>,
    /// Networks that members may listen in; none: any.
    pub allowed: Networks,
    /// How long a blocking read waits. A read that is stuck is noticed this and `patience` later.
    #[garde(dive)]
    pub wait: DurationSetting,
    /// How much later than its wait an answer may come.
    #[garde(dive)]
    pub patience: DurationSetting,
    /// The longest wait after a failure.
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

fn with_agent(
    agent: &Option<std::net::SocketAddr>,
) -> impl FnOnce(&EnabledFlag, &()) -> garde::Result + '_ {
    move |enabled, ()| match enabled.0 && agent.is_none() {
        true => Err(garde::Error::new("on, but no agent is named")),
        false => Ok(()),
    }
}

/// It goes into a path as it is.
fn plain(prefix: &str, (): &()) -> garde::Result {
    match prefix
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b"._/-".contains(&b))
    {
        true => Ok(()),
        false => Err(garde::Error::new(
            "holds more than letters, digits and . _ / -",
        )),
    }
}
