//! Values as operators write them: switches, times, sizes, numbers and IP networks.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

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

/// The longest time that a setting can have: a day. Longer ones are slips of a unit.
const LONGEST: Duration = Duration::from_secs(24 * 3600);

/// A number in text, for `#[serde(deserialize_with)]`.
///
/// # Errors
///
/// Where the text is no such number.
pub fn number<'de, D: Deserializer<'de>, T: FromStr<Err: Display>>(from: D) -> Result<T, D::Error> {
    let text = String::deserialize(from)?;
    // A range check lets NaN through: it is neither below nor above.
    if text
        .trim()
        .parse()
        .is_ok_and(|number: f64| !number.is_finite())
    {
        return Err(D::Error::custom(format_args!(
            "'{text}' is no finite number"
        )));
    }
    text.trim()
        .parse()
        .map_err(|e| D::Error::custom(format_args!("'{text}' is no number: {e}")))
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

/// A time, such as `250ms` or `1m 30s`; a millisecond at least, a day at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, JsonSchema, Validate)]
#[schemars(rename = "Span")]
pub struct DurationSetting(
    #[schemars(with = "String", regex(pattern = "^[0-9]+[a-z]+( [0-9]+[a-z]+)*$"))]
    #[garde(custom(within_a_day))]
    pub Duration,
);

fn within_a_day(time: &Duration, (): &()) -> garde::Result {
    match (Duration::from_millis(1)..=LONGEST).contains(time) {
        true => Ok(()),
        false => Err(garde::Error::new("not between 1ms and 24h")),
    }
}

impl DurationSetting {
    /// So many milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        DurationSetting(Duration::from_millis(ms))
    }

    /// In nanoseconds, as cores count.
    pub fn as_nanos(self) -> u64 {
        u64::try_from(self.0.as_nanos()).unwrap_or(u64::MAX)
    }
}

impl<'de> Deserialize<'de> for DurationSetting {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let span = humantime::parse_duration(&text);
        let why = |_| D::Error::custom(format_args!("'{text}' is no time such as 250ms or 2s"));
        span.map(DurationSetting).map_err(why)
    }
}

/// A number of bytes, such as `64KiB` or `4096`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, JsonSchema)]
pub struct Size(#[schemars(with = "String", regex(pattern = "^[0-9.]+ ?[A-Za-z]*$"))] pub u64);

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let size = text.parse::<ByteSize>();
        let why = |_| D::Error::custom(format_args!("'{text}' is no size such as 64KiB"));
        size.map(|size| Size(size.as_u64())).map_err(why)
    }
}

/// IP networks, separated by commas; an address alone stands for itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, JsonSchema)]
pub struct Networks(#[schemars(with = "String")] pub Vec<IpNet>);

impl Networks {
    /// True where one of them holds the address; an IPv4 address in IPv6 clothes is that IPv4 address.
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.0.iter().any(|network| network.contains(&address))
    }
}

impl<'de> Deserialize<'de> for Networks {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        let network = |part: &str| {
            let address = part.parse::<IpAddr>().map(IpNet::from);
            address.or_else(|_| part.parse()).map_err(|_| {
                D::Error::custom(format_args!("'{part}' is no IP network such as 10.0.0.0/8"))
            })
        };
        parts.map(network).collect::<Result<_, _>>().map(Networks)
    }
}
