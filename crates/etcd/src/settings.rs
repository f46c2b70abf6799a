//! `[registry]` of the operator's file.

use applewall_operator_config::{DurationSetting, EnabledFlag, Networks};
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Deserializer};

/// Addresses of a registry's members, separated by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq, JsonSchema)]
pub struct Endpoints(#[schemars(with = "String")] pub Vec<std::net::SocketAddr>);

impl<'de> Deserialize<'de> for Endpoints {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        let address = |part: &str| {
            part.parse().map_err(|_| {
                serde::de::Error::custom(format_args!(
                    "'{part}' is no address with a port, such as 10.0.0.5:2379"
                ))
            })
        };
        parts.map(address).collect::<Result<_, _>>().map(Endpoints)
    }
}

/// `[registry]`: a roster in an etcd v3 registry, beside discovery and before it.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Off: discovery alone tells who is a member.
    #[garde(custom(with_endpoints(&self.endpoints)))]
    pub enabled: EnabledFlag,
    /// Members of the registry; another one is tried after each loss.
    pub endpoints: Endpoints,
    /// Keys that begin with this are members; the rest of the key is the member's id.
    #[garde(length(min = 1, max = 1_024))]
    pub prefix: String,
    /// A file that holds the token that goes with each call. Read again at each connection.
    pub token_file: Option<String>,
    /// Networks that members may listen in; none: any.
    pub allowed: Networks,
    /// Between proofs that the watch lives.
    #[garde(dive)]
    pub probe: DurationSetting,
    /// How long any answer may take.
    #[garde(dive)]
    pub patience: DurationSetting,
    /// The longest wait before a reconnect.
    #[garde(dive)]
    pub backoff: DurationSetting,
    /// A full read that a whole fleet needs at once is spread over this.
    #[garde(dive)]
    pub spread: DurationSetting,
    /// For how long a list is believed without proof that it is current, before another source's is preferred.
    #[garde(dive)]
    pub believed: DurationSetting,
    /// Where the last good list is kept for the next start; not set: nowhere.
    pub snapshot: Option<String>,
    /// A snapshot older than this is not used.
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

fn with_endpoints(endpoints: &Endpoints) -> impl FnOnce(&EnabledFlag, &()) -> garde::Result + '_ {
    move |enabled, ()| match enabled.0 && endpoints.0.is_empty() {
        true => Err(garde::Error::new("on, but no endpoints are named")),
        false => Ok(()),
    }
}
