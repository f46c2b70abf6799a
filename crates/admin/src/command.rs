//! The admin protocol: one command line in, one response line out.
//!
//! The spelling of both lines is what operators' scripts rely on. A rejected line never reaches the response or the log
//! with its control characters, so a response is always a single line.

use std::fmt;
use std::str::FromStr;

/// Longest command line that is read, in bytes without its line end. A command is two short words; the bound keeps a
/// client that sends something else from using memory.
pub const MAX_COMMAND_LINE_BYTES: usize = 512;

/// How many characters of an unexpected word an error quotes: enough to recognise a slip, short enough for a log line.
const MAX_QUOTED_CHARS: usize = 64;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Report whether this process can serve.
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

/// Why a command line is rejected; the text goes to the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The line holds no word.
    #[error("no call: the line is empty")]
    Empty,
    /// The first word is none of the commands.
    #[error("unknown call '{0}'; known are READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN")]
    Unknown(String),
    /// The command needs an endpoint id and has none.
    #[error("{0}: which instance? An id is missing")]
    MissingId(&'static str),
    /// A word follows the complete command.
    #[error("{command}: '{token}' is one word too many")]
    TrailingWord {
        /// The command.
        command: &'static str,
        /// The first word too many, cut and without control characters.
        token: String,
    },
}

impl AdminCommand {
    /// The word that the command begins with.
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
    /// The command as a line without its end, which [`FromStr`] reads back.
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

    /// Reads a line without its end. Words are separated by any ASCII white space; commands are upper case.
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

/// The beginning of a word that a client sent, fit for one line of a response or a log.
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
    /// The command is in force; the text says what that means here and may be empty.
    Done(String),
    /// Nothing was changed, and why.
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
