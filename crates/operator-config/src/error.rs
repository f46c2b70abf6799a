//! Why a file is rejected: section, key and reason.
//!
//! serde and garde report the paths of struct fields. This module converts their errors to section, key and a single
//! line of text, since the log has one line for each event.

use std::fmt;

use serde::de::value::Error as ValueError;

/// The first error in a rejected file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// The section; `None` if the text is not INI or a key is outside of any section.
    pub section: Option<String>,
    /// The key; `None` if the error concerns the whole section or file.
    pub key: Option<String>,
    /// The reason, as a single line.
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
    /// Creates an error at a path as serde and garde report it, `section.key`.
    pub(crate) fn at(path: &str, reason: impl fmt::Display) -> Self {
        let mut names = path
            .split('.')
            .filter(|name| !name.is_empty())
            .map(str::to_string);
        // The libraries' reasons may have several lines.
        let reason = reason.to_string();
        let words: Vec<&str> = reason.split_whitespace().collect();
        Error {
            section: names.next(),
            key: names.next(),
            reason: words.join(" "),
        }
    }

    /// Creates an error for an unknown section or key. `expected` lists the known ones in serde's format.
    fn unknown(path: &str, name: &str, expected: &str) -> Self {
        let expected = expected.trim_start_matches("one of ").replace('`', "");
        let section = path.split('.').next().unwrap_or_default();
        if section.is_empty() || section == name && !path.contains('.') {
            return Error::at(
                name,
                format_args!("unknown section; known sections: {expected}"),
            );
        }
        Error::at(
            &format!("{section}.{name}"),
            format_args!("unknown key; known keys: {expected}"),
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
        // serde_path_to_error writes the path of the root as a dot.
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
