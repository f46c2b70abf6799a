//! What is wrong with a file: the place, and what would be accepted there.
//!
//! serde and garde report fields of types; here their reports are put in terms of sections and keys, and into one line,
//! since the log has one line for each event.

use std::fmt;

use serde::de::value::Error as ValueError;

/// Why a file is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// The section, where it is known.
    pub section: Option<String>,
    /// The key, where it is known.
    pub key: Option<String>,
    /// What is wrong, in one line.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(section) = &self.section {
            write!(formatter, "[{section}] ")?;
        }
        if let Some(key) = &self.key {
            write!(formatter, "{key}: ")?;
        }
        formatter.write_str(&self.reason)
    }
}

impl Error {
    /// At a path as serde and garde write it, `section.key`.
    pub(crate) fn at(path: &str, reason: impl fmt::Display) -> Self {
        let mut names = path
            .split('.')
            .filter(|name| !name.is_empty())
            .map(str::to_string);
        // A library may give its reasons on several lines.
        let reason = reason.to_string();
        let reason: Vec<&str> = reason.split_whitespace().collect();
        Error {
            section: names.next(),
            key: names.next(),
            reason: reason.join(" "),
        }
    }

    /// An unknown section or key at a path; `expected` lists the known ones as serde does.
    fn unknown(path: &str, name: &str, expected: &str) -> Self {
        let expected = expected.trim_start_matches("one of ").replace('`', "");
        let section = path.split('.').next().unwrap_or_default();
        if section.is_empty() || section == name && !path.contains('.') {
            return Error::at(name, format_args!("unknown section; there are: {expected}"));
        }
        Error::at(
            &format!("{section}.{name}"),
            format_args!("unknown key; there are: {expected}"),
        )
    }
}

impl From<ini::ParseError> for Error {
    fn from(error: ini::ParseError) -> Self {
        let ini::ParseError { line, col, msg } = error;
        Error::at("", format_args!("line {line}, column {col}: {msg}"))
    }
}

impl From<garde::Report> for Error {
    fn from(report: garde::Report) -> Self {
        match report.iter().next() {
            Some((path, error)) => Error::at(&path.to_string(), error),
            None => Error::at("", &report),
        }
    }
}

impl From<serde_path_to_error::Error<ValueError>> for Error {
    fn from(error: serde_path_to_error::Error<ValueError>) -> Self {
        let (path, text) = (error.path().to_string(), error.inner().to_string());
        // So serde_path_to_error writes the path of the whole file.
        let path = if path == "." { String::new() } else { path };
        match text.strip_prefix("unknown field `") {
            Some(rest) => {
                let (name, expected) = rest.split_once("`, expected ").unwrap_or((rest, "none"));
                Error::unknown(&path, name, expected)
            }
            None => Error::at(&path, text),
        }
    }
}
