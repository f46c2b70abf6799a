//! Settings in section `[registry]` of the operator's file. Field names are the keys in the file.

use applewall_operator_config::{DurationSetting, EnabledFlag, Networks};
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Deserializer};

/// Addresses of the members of a registry's cluster, separated by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq, JsonSchema)]
pub struct Endpoints(#[schemars(with = "String")] pub Vec<std::net::SocketAddr>);

impl<'de> Deserialize<'de> for Endpoints {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let items = text.split(',').map(str::trim);
        let address = |item: &str| {
            item.parse().map_err(|_| {
                serde::de::Error::custom(format_args!(
                    "'{item}' is not an address with a port, such as 10.0.0.5:2379"
                ))
            })
        };
        items
            .filter(|item| !item.is_empty())
            .map(address)
            .collect::<Result<_, _>>()
            .map(Endpoints)
    }
}

/// `[registry]`: membership from an etcd v3 registry, which takes precedence over discovery.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Whether the registry is used. If it is off, the members come from discovery and, if enabled, from `[consul]`.
    #[garde(custom(requires_endpoints(&self.endpoints)))]
    pub enabled: EnabledFlag,
    /// Addresses of the members of the registry's cluster. A node is connected to one of them, and to the next one after
    /// a lost connection.
    pub endpoints: Endpoints,
    /// Prefix of the members' keys; the rest of a key is the member's id.
    #[garde(length(min = 1, max = 1_024))]
    pub prefix: String,
    /// File with the token that is sent with each call. It is read again for each connection.
    pub token_file: Option<String>,
    /// Networks that members may listen in; if empty, any network is allowed.
    pub allowed: Networks,
    /// Time without a response on the watch after which a progress request checks that it is alive.
    #[garde(dive)]
    pub probe: DurationSetting,
    /// Timeout of a response; a full read may take ten times as long.
    #[garde(dive)]
    pub patience: DurationSetting,
    /// Maximum delay before a reconnect.
    #[garde(dive)]
    pub backoff: DurationSetting,
    /// Maximum random delay of a full read that all nodes of a fleet need at the same time.
    #[garde(dive)]
    pub spread: DurationSetting,
    /// Maximum age of the list: after this time without a confirmation that it is current, other sources take
    /// precedence.
    #[garde(dive)]
    pub believed: DurationSetting,
    /// Directory of the snapshot of the last known list, which the next start reads; if not set, there is no snapshot.
    pub snapshot: Option<String>,
    /// Maximum age of a snapshot; an older one is rejected.
    #[garde(dive)]
    pub snapshot_age: DurationSetting,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            enabled: EnabledFlag(false),
            endpoints: Endpoints::default(),
            prefix: "/applewall/members/".into(),
            token_file: None,
            allowed: Networks::default(),
            probe: DurationSetting::from_millis(100),
            patience: DurationSetting::from_millis(150),
            backoff: DurationSetting::from_millis(1_000),
            spread: DurationSetting::from_millis(200),
            believed: DurationSetting::from_millis(10_000),
            snapshot: None,
            snapshot_age: DurationSetting::from_millis(3_600_000),
        }
    }
}

/// Rejects a registry that is enabled without endpoints.
fn requires_endpoints(
    endpoints: &Endpoints,
) -> impl FnOnce(&EnabledFlag, &()) -> garde::Result + '_ {
    move |enabled, ()| {
        if enabled.0 && endpoints.0.is_empty() {
            return Err(garde::Error::new("on, but no endpoints are configured"));
        }
        Ok(())
    }
}
