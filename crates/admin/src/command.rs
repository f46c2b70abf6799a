//! The admin protocol: one command line, one response line.
//!
//! Operators' scripts depend on the exact text of both lines. Control characters of a rejected line are replaced in the
//! response, so that the response is always a single line.

use std::fmt;
use std::str::FromStr;

/// Maximum length of a command line in bytes, without its line ending. A valid command has at most two short words; the
/// maximum limits the memory that any other input can take.
pub const MAX_COMMAND_LINE_BYTES: usize = 512;

/// Maximum number of characters of an unexpected word that are quoted in an error: enough to recognize a typing error,
/// and short enough for one line.
const MAX_QUOTED_CHARS: usize = 64;

/// A command that an operator sends to the admin address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Report whether this process can serve requests.
    Ready,
    /// Put the endpoint with this id into maintenance.
    Disable(String),
    /// Return the endpoint with this id to service.
    Enable(String),
    /// Drain this process.
    Drain,
    /// Return this process to service after a drain.
    Undrain,
}

/// Why a command line is rejected. The text is part of the response, and scripts may parse it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The line is empty or has only white space.
    #[error("no call: the line is empty")]
    Empty,
    /// The first word is not a command.
    #[error("unknown call '{0}'; known are READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN")]
    Unknown(String),
    /// The command requires an endpoint id.
    #[error("{0}: which instance? An id is missing")]
    MissingId(&'static str),
    /// There is another word after the complete command.
    #[error("{command}: '{token}' is one word too many")]
    TrailingWord {
        /// The first word of the line, such as `READY`.
        command: &'static str,
        /// The first extra word, truncated and with its control characters replaced.
        token: String,
    },
}

impl AdminCommand {
    /// The word with which the command line begins.
    fn name(&self) -> &'static str {
        match self {
            AdminCommand::Ready => "READY",
            AdminCommand::Disable(_) => "DISABLE",
            AdminCommand::Enable(_) => "ENABLE",
            AdminCommand::Drain => "DRAIN",
            AdminCommand::Undrain => "UNDRAIN",
        }
    }
}

impl fmt::Display for AdminCommand {
    /// Writes the command line without its line ending. [`FromStr`] parses it.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdminCommand::Disable(id) | AdminCommand::Enable(id) => {
                write!(formatter, "{} {id}", self.name())
            }
            command => formatter.write_str(command.name()),
        }
    }
}

impl FromStr for AdminCommand {
    type Err = CommandError;

    /// Parses a line without its line ending. Words are separated by ASCII white space; commands are in upper case.
    fn from_str(line: &str) -> Result<Self, CommandError> {
        let mut tokens = line.split_ascii_whitespace();
        let name = tokens.next().ok_or(CommandError::Empty)?;
        let mut id_for = |command| {
            let id = tokens.next().map(str::to_string);
            id.ok_or(CommandError::MissingId(command))
        };
        let command = match name {
            "READY" => AdminCommand::Ready,
            "DISABLE" => AdminCommand::Disable(id_for("DISABLE")?),
            "ENABLE" => AdminCommand::Enable(id_for("ENABLE")?),
            "DRAIN" => AdminCommand::Drain,
            "UNDRAIN" => AdminCommand::Undrain,
            other => return Err(CommandError::Unknown(printable(other))),
        };
        match tokens.next() {
            None => Ok(command),
            Some(token) => Err(CommandError::TrailingWord {
                command: command.name(),
                token: printable(token),
            }),
        }
    }
}

/// Truncates a word of a rejected line and replaces its control characters, so that an error can quote it.
fn printable(token: &str) -> String {
    token
        .chars()
        .take(MAX_QUOTED_CHARS)
        .map(|char| if char.is_control() { '?' } else { char })
        .collect()
}

/// The response to a command: one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// The command was executed; its result may be empty.
    Done(String),
    /// The command was rejected for this reason, and nothing was changed.
    Error(String),
}

impl fmt::Display for AdminResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdminResponse::Done(detail) if detail.is_empty() => formatter.write_str("done"),
            AdminResponse::Done(detail) => write!(formatter, "done {detail}"),
            AdminResponse::Error(reason) => write!(formatter, "error {reason}"),
        }
    }
}

#[cfg(test)]
mod tests;
