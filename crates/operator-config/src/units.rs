//! Value types of settings: flags, durations, sizes, numbers and IP networks.
//!
//! Each type defines the text format of its value, publishes it in the schema, and quotes a rejected text in its error.
//! The doc comments of the types are descriptions in the published schema.

use std::fmt::Display;
use std::net::IpAddr;
use std::str::FromStr;
use std::time::Duration;

use bytesize::ByteSize;
use garde::Validate;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// Minimum of a duration setting. A shorter one most likely has a wrong unit.
const MIN_DURATION: Duration = Duration::from_millis(1);

/// Maximum of a duration setting, one day. A longer one most likely has a wrong unit.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Parses a number, for `#[serde(deserialize_with)]`.
///
/// # Errors
///
/// The text is not a number of this type, or not finite.
pub fn number<'de, D: Deserializer<'de>, T: FromStr<Err: Display>>(from: D) -> Result<T, D::Error> {
    let text = String::deserialize(from)?;
    let number = text.trim();
    // A range check would accept NaN, which is neither below the minimum nor above the maximum.
    if number.parse().is_ok_and(|value: f64| !value.is_finite()) {
        let reason = format_args!("'{text}' is not a finite number");
        return Err(D::Error::custom(reason));
    }
    number
        .parse()
        .map_err(|error| D::Error::custom(format_args!("'{text}' is not a number: {error}")))
}

/// `on` or `off`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, JsonSchema)]
#[schemars(rename = "Switch")]
pub struct EnabledFlag(#[schemars(with = "String", regex(pattern = "^(on|off)$"))] pub bool);

impl<'de> Deserialize<'de> for EnabledFlag {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        match String::deserialize(from)?.as_str() {
            "on" => Ok(EnabledFlag(true)),
            "off" => Ok(EnabledFlag(false)),
            text => Err(D::Error::custom(format_args!(
                "'{text}' is neither on nor off"
            ))),
        }
    }
}

/// A duration such as `250ms` or `1m 30s`, from one millisecond to one day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, JsonSchema, Validate)]
#[schemars(rename = "Span")]
pub struct DurationSetting(
    #[schemars(with = "String", regex(pattern = "^[0-9]+[a-z]+( [0-9]+[a-z]+)*$"))]
    #[garde(custom(check_duration_range))]
    pub Duration,
);

/// Rejects durations outside [`MIN_DURATION`] to [`MAX_DURATION`].
fn check_duration_range(duration: &Duration, (): &()) -> garde::Result {
    if (MIN_DURATION..=MAX_DURATION).contains(duration) {
        Ok(())
    } else {
        Err(garde::Error::new("not between 1ms and 24h"))
    }
}

impl DurationSetting {
    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        DurationSetting(Duration::from_millis(millis))
    }

    /// The duration in nanoseconds, the unit of time in the crates without I/O.
    pub fn as_nanos(self) -> u64 {
        u64::try_from(self.0.as_nanos()).unwrap_or(u64::MAX)
    }
}

impl<'de> Deserialize<'de> for DurationSetting {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        match humantime::parse_duration(&text) {
            Ok(duration) => Ok(DurationSetting(duration)),
            Err(_) => Err(D::Error::custom(format_args!(
                "'{text}' is not a duration such as 250ms or 2s"
            ))),
        }
    }
}

/// A number of bytes, such as `64KiB` or `4096`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, JsonSchema)]
pub struct Size(#[schemars(with = "String", regex(pattern = "^[0-9.]+ ?[A-Za-z]*$"))] pub u64);

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        match text.parse::<ByteSize>() {
            Ok(size) => Ok(Size(size.as_u64())),
            Err(_) => Err(D::Error::custom(format_args!(
                "'{text}' is not a size such as 64KiB"
            ))),
        }
    }
}

/// IP networks, separated by commas. A single address is a network of one address.
#[derive(Clone, Debug, Default, PartialEq, Eq, JsonSchema)]
pub struct Networks(#[schemars(with = "String")] pub Vec<IpNet>);

impl Networks {
    /// True if one of the networks contains the address. An IPv4-mapped IPv6 address is treated as its IPv4 address.
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.0.iter().any(|network| network.contains(&address))
    }
}

impl<'de> Deserialize<'de> for Networks {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let items = text.split(',').map(str::trim);
        let network = |item: &str| {
            let single = item.parse::<IpAddr>().map(IpNet::from);
            single.or_else(|_| item.parse()).map_err(|_| {
                D::Error::custom(format_args!(
                    "'{item}' is not an IP network such as 10.0.0.0/8"
                ))
            })
        };
        items
            .filter(|item| !item.is_empty())
            .map(network)
            .collect::<Result<_, _>>()
            .map(Networks)
    }
}
