//! Parsing shared by the formats of all startup messages.

use std::str::Split;

/// Why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The text has another format, or another version of this one.
    #[error("not a startup message, or an unsupported version of one")]
    UnknownFormat,
    /// A field is missing, malformed, or out of range.
    #[error("field `{0}` is missing, malformed or out of range")]
    InvalidField(&'static str),
    /// The message has more fields than the format defines.
    #[error("trailing data after the last field")]
    TrailingData,
    /// The fields are valid individually but contradict each other.
    #[error("the bitmaps differ in length, or a node without a list is not marked as started")]
    Inconsistent,
}

/// Reads the space-separated fields of a message in order.
pub(crate) struct FieldReader<'a> {
    fields: Split<'a, char>,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader of the fields after the tag.
    pub(crate) fn new(text: &'a str, tag: &str) -> Result<Self, DecodeError> {
        let fields = text
            .strip_prefix(tag)
            .and_then(|rest| rest.strip_prefix(' '))
            .ok_or(DecodeError::UnknownFormat)?;
        Ok(FieldReader {
            fields: fields.split(' '),
        })
    }

    /// The next field, unparsed.
    pub(crate) fn text(&mut self, name: &'static str) -> Result<&'a str, DecodeError> {
        self.fields.next().ok_or(DecodeError::InvalidField(name))
    }

    /// The next field as a decimal number of at most `max`.
    pub(crate) fn number(&mut self, name: &'static str, max: u64) -> Result<u64, DecodeError> {
        parse_decimal(self.text(name)?)
            .filter(|number| *number <= max)
            .ok_or(DecodeError::InvalidField(name))
    }

    /// Checks that no field is left.
    pub(crate) fn finish(mut self) -> Result<(), DecodeError> {
        match self.fields.next() {
            None => Ok(()),
            Some(_) => Err(DecodeError::TrailingData),
        }
    }
}

/// Parses a decimal number. Checks for digits because the standard library also accepts a leading plus sign.
pub(crate) fn parse_decimal(text: &str) -> Option<u64> {
    if text.bytes().all(|byte| byte.is_ascii_digit()) {
        text.parse().ok()
    } else {
        None
    }
}
