//! One line each way: a call, and its answer.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::fmt;

/// Bytes of a call's line at most.
pub const MAX_COMMAND_LINE_BYTES: usize = 512;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Can this process serve?
    Ready,
    /// ShutdownMode an instance out.
    Disable(String),
    /// An instance may serve again.
    Enable(String),
    /// Drain.
    Drain,
    /// Back to work.
    Undrain,
}

impl AdminCommand {
    /// Reads a line, without its end.
    ///
    /// # Errors
    ///
    /// What is wrong with it, for the caller.
    pub fn parse(line: &str) -> Result<Self, String> {
        let mut words = line.split_ascii_whitespace();
        let Some(name) = words.next() else {
            return Err("no call: the line is empty".to_string());
        };
        let mut id = || {
            words
                .next()
                .map(str::to_string)
                .ok_or(format!("{name}: which instance? An id is missing"))
        };
        let call = match name {
            "READY" => AdminCommand::Ready,
            "DISABLE" => AdminCommand::Disable(id()?),
            "ENABLE" => AdminCommand::Enable(id()?),
            "DRAIN" => AdminCommand::Drain,
            "UNDRAIN" => AdminCommand::Undrain,
            _ => {
                let known = "READY, DISABLE ID, ENABLE ID, DRAIN, UNDRAIN";
                return Err(format!(
                    "unknown call '{}'; known are {known}",
                    printable(name)
                ));
            }
        };
        match words.next() {
            None => Ok(call),
            Some(word) => Err(format!(
                "{name}: '{}' is one word too many",
                printable(word)
            )),
        }
    }
}

/// The beginning of what a caller sent, fit for one line of an answer or a log.
fn printable(word: &str) -> String {
    word.chars()
        .take(64)
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}

/// What a caller is told: one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminResponse {
    /// It is so, with a word on what that means here; may be empty.
    Done(String),
    /// Nothing was changed, and why.
    Error(String),
}

impl fmt::Display for AdminResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdminResponse::Done(what) if what.is_empty() => f.write_str("done"),
            AdminResponse::Done(what) => write!(f, "done {what}"),
            AdminResponse::Error(why) => write!(f, "error {why}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn calls_are_read_whole_or_not_at_all() {
        assert_eq!(AdminCommand::parse("READY"), Ok(AdminCommand::Ready));
        assert_eq!(
            AdminCommand::parse(" DISABLE  s-1 "),
            Ok(AdminCommand::Disable("s-1".into()))
        );
        assert_eq!(
            AdminCommand::parse("ENABLE s-1"),
            Ok(AdminCommand::Enable("s-1".into()))
        );
        assert_eq!(
            (AdminCommand::parse("DRAIN"), AdminCommand::parse("UNDRAIN")),
            (Ok(AdminCommand::Drain), Ok(AdminCommand::Undrain))
        );
        for (line, why) in [
            ("", "line is empty"),
            (" \t", "line is empty"),
            ("DISABLE", "id is missing"),
            ("ENABLE s-1 s-2", "'s-2' is one word too many"),
            ("DRAIN now", "'now' is one word too many"),
            ("ready", "unknown call 'ready'"),
            ("DRAIN\u{1b}[2J", "unknown call 'DRAIN?[2J'"),
        ] {
            let error = AdminCommand::parse(line).unwrap_err();
            assert!(error.contains(why), "{line:?}: {error}");
        }
    }

    proptest! {
        #[test]
        fn whatever_is_sent_the_answer_is_one_line(line in "\\PC{0,600}|[A-Z ]{0,20}[\\x00-\\x1f]{0,4}") {
            if let Err(why) = AdminCommand::parse(&line) {
                let answer = AdminResponse::Error(why).to_string();
                prop_assert!(answer.starts_with("error ") && !answer.contains(['\n', '\r']));
            }
        }
    }
}
