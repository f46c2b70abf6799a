//! The status message: a node reports its own state to a peer.
//!
//! Format: `T1 FLAGS AGE REVISION STARTING`. The flags are the sum of 1 (wants a reply), 2 (list confirmed) and 4 (list
//! service overloaded). A node without an endpoint list sends `-` as its revision.

#[cfg(test)]
mod tests;

use crate::field_reader::{parse_decimal, DecodeError, FieldReader};

/// Tag of the format and its version.
const TAG: &str = "T1";
const FLAG_WANTS_REPLY: u64 = 1;
const FLAG_CONFIRMED: u64 = 2;
const FLAG_OVERLOADED: u64 = 4;
const ALL_FLAGS: u64 = FLAG_WANTS_REPLY | FLAG_CONFIRMED | FLAG_OVERLOADED;
/// Maximum list revision: far above the revisions of any list service, and exactly representable as a JSON number.
const MAX_REVISION: u64 = 1 << 53;
/// Maximum age of a node in tenths of a second: about 3,500 years.
const MAX_AGE_DECISECONDS: u64 = 1 << 40;

/// The sender's own state, as a query to a peer or as the reply to one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusMessage {
    /// Whether the sender has just started and requests a status message in reply.
    pub wants_reply: bool,
    /// Time since the sender started, in tenths of a second.
    pub age_deciseconds: u64,
    /// Revision of the sender's endpoint list, if it has one.
    pub revision: Option<u64>,
    /// Whether the list service has confirmed that list since the sender started.
    pub confirmed: bool,
    /// Whether the list service recently rejected a call, as far as the sender knows from its own calls and from peers.
    pub overloaded: bool,
    /// Number of peers that recently reported their start to the sender.
    pub starting_peers: u32,
}

impl StatusMessage {
    /// Whether the text begins with the tag of this format and version.
    pub fn matches(text: &str) -> bool {
        text.starts_with(TAG)
    }

    /// Encodes the message as one line of ASCII text.
    pub fn encode(&self) -> String {
        let flags = [
            (self.wants_reply, FLAG_WANTS_REPLY),
            (self.confirmed, FLAG_CONFIRMED),
            (self.overloaded, FLAG_OVERLOADED),
        ];
        let flags: u64 = flags
            .into_iter()
            .filter_map(|(is_set, flag)| is_set.then_some(flag))
            .sum();
        let revision = self
            .revision
            .map_or(String::from("-"), |revision| revision.to_string());
        format!(
            "{TAG} {flags} {} {revision} {}",
            self.age_deciseconds, self.starting_peers
        )
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// If the text is truncated, has another format or version, or has a value that is out of range.
    pub fn decode(text: &str) -> Result<Self, DecodeError> {
        let mut fields = FieldReader::new(text, TAG)?;
        let flags = fields.number("flags", ALL_FLAGS)?;
        let age_deciseconds = fields.number("age", MAX_AGE_DECISECONDS)?;
        let revision = match fields.text("revision")? {
            "-" => None,
            text => Some(
                parse_decimal(text)
                    .filter(|revision| *revision <= MAX_REVISION)
                    .ok_or(DecodeError::InvalidField("revision"))?,
            ),
        };
        let starting_peers = fields.number("starting peers", u64::from(u32::MAX))? as u32;
        fields.finish()?;
        Ok(StatusMessage {
            wants_reply: flags & FLAG_WANTS_REPLY != 0,
            age_deciseconds,
            revision,
            confirmed: flags & FLAG_CONFIRMED != 0,
            overloaded: flags & FLAG_OVERLOADED != 0,
            starting_peers,
        })
    }
}
