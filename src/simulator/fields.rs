//! Access to the values of one line by position, and the errors of the protocol.

use serde_json::Value;
use thiserror::Error;

use crate::api::RequestId;
use crate::platform_settings::SettingsError;

/// Number of hexadecimal digits of a request's id.
const REQUEST_ID_DIGITS: usize = 16;

/// The reason why a line from the simulator, or an event in it, cannot be used.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The line cannot be parsed as JSON, for the given reason.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The line is not an array.
    #[error("not an array")]
    NotAnArray,
    /// A value is missing, or has the wrong type or form.
    #[error("'{field}' {problem}")]
    Field {
        /// Name of the field in the simulator's protocol. The line itself has only positions.
        field: &'static str,
        /// What is wrong with the value, as a predicate such as "is not a string".
        problem: &'static str,
    },
    /// An entry of an endpoint list is not an array.
    #[error("an entry is not an array")]
    EntryNotAnArray,
    /// A name is neither one of the protocol nor one of the node's settings.
    #[error("unknown {what} '{value}'")]
    Unknown {
        /// What the name is for, such as "event" or "plan".
        what: &'static str,
        /// The name as received.
        value: String,
    },
    /// An event refers to an endpoint list that was not sent.
    #[error("unknown endpoint list: no Inventory with sheet {0}")]
    UnknownList(u64),
    /// The token of an expired timer is not a number, so the policy cannot have set it.
    #[error("'{0}' is not the cookie of a timer set by this node")]
    UnknownToken(String),
    /// The settings of a node cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl ProtocolError {
    pub(super) fn field(field: &'static str, problem: &'static str) -> Self {
        ProtocolError::Field { field, problem }
    }

    pub(super) fn unknown(what: &'static str, value: &str) -> Self {
        ProtocolError::Unknown {
            what,
            value: value.to_string(),
        }
    }
}

/// The values of one line, accessed by position; errors name the field.
pub(super) struct Fields<'a>(pub(super) &'a [Value]);

impl<'a> Fields<'a> {
    /// Returns a value; null if the line is too short.
    pub(super) fn at(&self, position: usize) -> &'a Value {
        self.0.get(position).unwrap_or(&Value::Null)
    }

    pub(super) fn integer(
        &self,
        position: usize,
        field: &'static str,
    ) -> Result<u64, ProtocolError> {
        let value = self.at(position).as_u64();
        value.ok_or(ProtocolError::field(field, "is not a whole number"))
    }

    pub(super) fn integer_or_zero(
        &self,
        position: usize,
        field: &'static str,
    ) -> Result<u64, ProtocolError> {
        if self.at(position).is_null() {
            return Ok(0);
        }
        self.integer(position, field)
    }

    pub(super) fn number_or_zero(
        &self,
        position: usize,
        field: &'static str,
    ) -> Result<f64, ProtocolError> {
        if self.at(position).is_null() {
            return Ok(0.0);
        }
        let value = self.at(position).as_f64();
        value.ok_or(ProtocolError::field(field, "is not a number"))
    }

    /// Returns a count, which may be written with a fractional part of zero.
    pub(super) fn count_or_zero(
        &self,
        position: usize,
        field: &'static str,
    ) -> Result<u32, ProtocolError> {
        let value = self.number_or_zero(position, field)?;
        if value < 0.0 || value.fract() != 0.0 || value > f64::from(u32::MAX) {
            return Err(ProtocolError::field(field, "is not a whole number"));
        }
        Ok(value as u32)
    }

    pub(super) fn text(
        &self,
        position: usize,
        field: &'static str,
    ) -> Result<&'a str, ProtocolError> {
        let value = self.at(position).as_str();
        value.ok_or(ProtocolError::field(field, "is not a string"))
    }

    pub(super) fn flag(&self, position: usize, field: &'static str) -> Result<bool, ProtocolError> {
        if self.at(position).is_null() {
            return Ok(false);
        }
        let value = self.at(position).as_bool();
        value.ok_or(ProtocolError::field(field, "is not a boolean"))
    }

    pub(super) fn request_id(&self, position: usize) -> Result<RequestId, ProtocolError> {
        let malformed = ProtocolError::field("job", "is not 16 hex digits");
        let text = self.text(position, "job")?;
        if text.len() != REQUEST_ID_DIGITS {
            return Err(malformed);
        }
        let number = u64::from_str_radix(text, 16);
        number.map(RequestId).map_err(|_| malformed)
    }

    pub(super) fn load_report(&self, position: usize) -> Result<Vec<f64>, ProtocolError> {
        match self.at(position) {
            Value::Null => Ok(Vec::new()),
            Value::Array(values) => values.iter().map(load_value).collect(),
            _ => Err(ProtocolError::field("usage", "is not an array")),
        }
    }
}

fn load_value(value: &Value) -> Result<f64, ProtocolError> {
    if value.is_null() {
        return Ok(0.0);
    }
    let problem = "contains a value that is not a number";
    value.as_f64().ok_or(ProtocolError::field("usage", problem))
}
