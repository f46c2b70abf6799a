//! The zone message: one node's observations of the zones during the last second.
//!
//! Format: `Z1 INCARNATION SEQUENCE [AZONE[,ZONE]...] [ZONE:GOOD:FAILING:DEAD:SHARE]...`, one line of ASCII text of at most
//! 256 bytes. Sums and shares are in thousandths. The `A` field lists the failing zones for which the sender knows a healthy
//! alternative, and is omitted if there are none; nodes that predate the field drop messages that contain it. The sequence
//! number increases within an incarnation of the sender, so that duplicated and late messages are not counted again.

#[cfg(test)]
mod tests;

use crate::observation::OutcomeSums;

/// Tag of the format and its version.
const TAG: &str = "Z1";
/// Maximum size of a message, the same for all datagrams between nodes.
const MAX_MESSAGE_BYTES: usize = 256;
/// Prefix of the field that lists the zones for which the sender knows a healthy alternative.
const ALTERNATIVES_TAG: char = 'A';
/// Maximum number of zones in that field, so that reports fit into the message as well.
pub(crate) const MAX_ZONES_WITH_ALTERNATIVE: usize = 8;
/// Sums and shares are transmitted in thousandths.
const SCALE: f64 = 1000.0;
/// Maximum share as transmitted: a share of 1.
const MAX_SHARE: u64 = 1000;
/// Maximum sum as transmitted: 100,000 outcomes per second, far more than one node observes.
const MAX_SUM: u64 = 100_000_000;

/// Why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The text has another format, or another version of this one.
    #[error("not a zone message, or an unsupported version of one")]
    UnknownFormat,
    /// A field is missing, not a number, or out of range.
    #[error("field `{0}` is missing, malformed or out of range")]
    InvalidField(&'static str),
    /// A report has more fields than the format defines.
    #[error("trailing data after the last field of a report")]
    TrailingData,
    /// Two reports refer to the same zone.
    #[error("duplicate report for zone {0}")]
    DuplicateZone(u16),
}

/// The sender's observations of one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneReport {
    /// The zone's index in the sorted list of all zone names.
    pub zone: u16,
    /// Outcomes of the sender's own attempts in about the last second.
    pub sums: OutcomeSums,
    /// The share of the zone's usual traffic that the sender sends to it, from 0 to 1, canary traffic excluded.
    pub traffic_share: f64,
}

/// The sender's observations of all zones.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneMessage {
    /// Random number that the sender generated when it started.
    pub incarnation: u32,
    /// Number of the message within the incarnation, from 1.
    pub sequence: u32,
    /// Failing zones for which the sender's own attempts show a healthy alternative.
    pub zones_with_alternative: Vec<u16>,
    /// Reports on the zones, in descending order of the fraction of bad outcomes.
    pub reports: Vec<ZoneReport>,
}

impl ZoneMessage {
    /// Whether the text begins with the tag of this format and version.
    pub fn matches(text: &str) -> bool {
        text.starts_with(TAG)
    }

    /// Encodes the message with as many reports as fit.
    pub fn encode(&self) -> String {
        let scaled = |value: f64| (value.max(0.0) * SCALE).round() as u64;
        let mut text = format!("{TAG} {} {}", self.incarnation, self.sequence);
        let zones = &self.zones_with_alternative;
        let listed = zones.iter().take(MAX_ZONES_WITH_ALTERNATIVE);
        for (index, zone) in listed.enumerate() {
            text += &match index {
                0 => format!(" {ALTERNATIVES_TAG}{zone}"),
                _ => format!(",{zone}"),
            };
        }
        for report in &self.reports {
            let sums = &report.sums;
            let report_text = format!(
                " {}:{}:{}:{}:{}",
                report.zone,
                scaled(sums.good),
                scaled(sums.failing),
                scaled(sums.dead),
                scaled(report.traffic_share)
            );
            if text.len() + report_text.len() <= MAX_MESSAGE_BYTES {
                text += &report_text;
            }
        }
        text
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// If the text is truncated, has another format or version, or has a value that is out of range or contradictory.
    pub fn decode(text: &str) -> Result<Self, DecodeError> {
        let mut fields = text
            .strip_prefix(TAG)
            .and_then(|rest| rest.strip_prefix(' '))
            .ok_or(DecodeError::UnknownFormat)?
            .split(' ')
            .peekable();
        let max = u64::from(u32::MAX);
        let incarnation = decimal(fields.next(), "incarnation", max)? as u32;
        let sequence = decimal(fields.next(), "sequence", max)? as u32;
        let alternatives = fields.next_if(|field| field.starts_with(ALTERNATIVES_TAG));
        let zones_with_alternative = alternatives.map_or(Ok(Vec::new()), decode_alternatives)?;
        let mut reports: Vec<ZoneReport> = Vec::new();
        for field in fields {
            let report = ZoneReport::decode(field)?;
            if reports.iter().any(|known| known.zone == report.zone) {
                return Err(DecodeError::DuplicateZone(report.zone));
            }
            reports.push(report);
        }
        Ok(ZoneMessage {
            incarnation,
            sequence,
            zones_with_alternative,
            reports,
        })
    }
}

impl ZoneReport {
    fn decode(text: &str) -> Result<Self, DecodeError> {
        let mut fields = text.split(':');
        let zone = decimal(fields.next(), "zone", u64::from(u16::MAX))? as u16;
        let mut scaled = |name, max| Ok(decimal(fields.next(), name, max)? as f64 / SCALE);
        let sums = OutcomeSums {
            good: scaled("good", MAX_SUM)?,
            failing: scaled("failing", MAX_SUM)?,
            dead: scaled("dead", MAX_SUM)?,
        };
        let traffic_share = scaled("share", MAX_SHARE)?;
        if fields.next().is_some() {
            return Err(DecodeError::TrailingData);
        }
        Ok(ZoneReport {
            zone,
            sums,
            traffic_share,
        })
    }
}

/// Decodes the list of zones for which the sender knows a healthy alternative.
fn decode_alternatives(field: &str) -> Result<Vec<u16>, DecodeError> {
    let zones = field.trim_start_matches(ALTERNATIVES_TAG).split(',');
    let zone_number =
        |zone| decimal(Some(zone), "alternative", u64::from(u16::MAX)).map(|number| number as u16);
    zones.map(zone_number).collect()
}

/// Parses a decimal number of at most `max`. Checks for digits because the standard library also accepts a leading plus
/// sign.
fn decimal(text: Option<&str>, name: &'static str, max: u64) -> Result<u64, DecodeError> {
    text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|text| text.parse().ok())
        .filter(|number| *number <= max)
        .ok_or(DecodeError::InvalidField(name))
}
