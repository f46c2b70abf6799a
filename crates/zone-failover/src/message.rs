//! The zone message: what one node observed of the zones during the last second.
//!
//! Format `Z1 INCARNATION SEQUENCE [AZONE[,ZONE]...] [ZONE:GOOD:FAILING:DEAD:SHARE]...`, one line of ASCII text of at most 256
//! bytes; sums and shares are in thousandths; after `A` stand the zones to which the sender knows a healthy alternative. The
//! field is left out where there are none; versions of before it drop a message that has it. The sequence number grows within an incarnation of the sender, so a message that is duplicated
//! or late is not counted again.

#[cfg(test)]
mod tests;

use crate::observation::OutcomeSums;

/// Tag of the format and its version.
const TAG: &str = "Z1";
/// Bounds a message, like every datagram between nodes.
const MAX_MESSAGE_BYTES: usize = 256;
/// Begins the field of the zones to which the sender knows a healthy alternative.
const ALTERNATIVES_TAG: char = 'A';
/// Bounds the zones in that field, so that it leaves room for reports.
pub(crate) const MAX_ZONES_WITH_ALTERNATIVE: usize = 8;
/// Sums and shares are sent as multiples of one thousandth.
const SCALE: f64 = 1000.0;
/// A share of 1 as it is sent.
const MAX_SHARE: u64 = 1000;
/// Bounds a sum as it is sent: 100,000 outcomes a second, far above what one node observes.
const MAX_SUM: u64 = 100_000_000;

/// Why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Another format, or another version of this one.
    #[error("not a zone message of a known version")]
    UnknownFormat,
    /// A field is missing, is no number, or is out of range.
    #[error("field `{0}` is missing, malformed or out of range")]
    InvalidField(&'static str),
    /// A report has more fields than the format has.
    #[error("data after the last field of a report")]
    TrailingData,
    /// Two reports on one zone.
    #[error("zone {0} is reported twice")]
    DuplicateZone(u16),
}

/// What the sender observed of one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneReport {
    /// Number of the zone: its place in the sorted list of all zone names.
    pub zone: u16,
    /// Outcomes of the sender's own attempts.
    pub sums: OutcomeSums,
    /// The share of the zone's usual traffic that the sender sends to it.
    pub traffic_share: f64,
}

/// What the sender observed of all zones.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneMessage {
    /// Drawn by the sender when it started.
    pub incarnation: u32,
    /// Counts up within an incarnation.
    pub sequence: u32,
    /// Failing zones to which the sender's own attempts show a healthy alternative.
    pub zones_with_alternative: Vec<u16>,
    /// The zones, in the sender's order of importance.
    pub reports: Vec<ZoneReport>,
}

impl ZoneMessage {
    /// True for text that begins like a zone message of this version.
    pub fn matches(text: &str) -> bool {
        text.starts_with(TAG)
    }

    /// The text to send, with as many reports as fit.
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
    /// What is wrong with the text: truncated, of another format or version, out of range or contradictory.
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

/// The zones to which the sender knows a healthy alternative.
fn decode_alternatives(field: &str) -> Result<Vec<u16>, DecodeError> {
    let zones = field.trim_start_matches(ALTERNATIVES_TAG).split(',');
    let zone_number =
        |zone| decimal(Some(zone), "alternative", u64::from(u16::MAX)).map(|number| number as u16);
    zones.map(zone_number).collect()
}

/// A decimal number of at most `max`. Digits alone: the standard library would also accept a leading plus sign.
fn decimal(text: Option<&str>, name: &'static str, max: u64) -> Result<u64, DecodeError> {
    text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|text| text.parse().ok())
        .filter(|number| *number <= max)
        .ok_or(DecodeError::InvalidField(name))
}
