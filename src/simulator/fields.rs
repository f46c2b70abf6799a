//! Access to the values of one line by position, and the errors of the protocol.

use serde_json::Value;
use thiserror::Error;

use crate::api::RequestId;
use crate::platform_settings::SettingsError;

/// Number of hexadecimal digits of a request's id.
const REQUEST_ID_DIGITS: usize = 16;

/// The reason why a line of the simulator cannot be read.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The line is not an array.
    #[error("not an array")]
    NotAnArray,
    /// A value has the wrong type.
    #[error("'{field}' {problem}")]
    Field {
        /// The name of the field, as the platform specifies it.
        field: &'static str,
        /// The problem with its value.
        problem: &'static str,
    },
    /// An entry of an endpoint list is not an array.
    #[error("an entry is not an array")]
    EntryNotAnArray,
    /// A value is unknown.
    #[error("unknown {what} '{value}'")]
    Unknown {
        /// The kind of the value.
        what: &'static str,
        /// The value.
        value: String,
    },
    /// An event refers to an endpoint list that was not sent.
    #[error("unknown endpoint list: no Inventory with sheet {0}")]
    UnknownList(u64),
    /// A timer's token is not one that the policy set.
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
    /// Returns a value; an omitted one is null.
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
