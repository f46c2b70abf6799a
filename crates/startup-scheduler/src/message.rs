//! Startup messages: the messages between starting nodes.
//!
//! Each message is one line of ASCII text of at most 256 bytes: a two-byte tag that identifies the format and its version,
//! and fields separated by single spaces. Messages of other versions have other tags and are not decoded.

use crate::field_reader::DecodeError;
use crate::{CohortMessage, StatusMessage};

/// A startup message of either format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender's own state.
    Status(StatusMessage),
    /// The sender's knowledge of the start cohort.
    Cohort(CohortMessage),
}

impl Message {
    /// Whether the text begins with the tag of a startup message. Decoding it may still fail.
    pub fn is_startup_message(text: &str) -> bool {
        StatusMessage::matches(text) || CohortMessage::matches(text)
    }

    /// Encodes the message as one line of ASCII text.
    pub fn encode(&self) -> String {
        match self {
            Message::Status(message) => message.encode(),
            Message::Cohort(message) => message.encode(),
        }
    }

    /// Decodes a message of either format.
    ///
    /// # Errors
    ///
    /// If the text is truncated, has another format or version, or has a value that is out of range or contradictory.
    pub fn decode(text: &str) -> Result<Self, DecodeError> {
        if StatusMessage::matches(text) {
            StatusMessage::decode(text).map(Message::Status)
        } else {
            CohortMessage::decode(text).map(Message::Cohort)
        }
    }
}
