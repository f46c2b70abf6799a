//! Replaces what differs from run to run in the record of an exchange: addresses, folders, times.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

/// Addresses by their names in exchanges.
#[derive(Default)]
pub(crate) struct Addresses(HashMap<String, SocketAddr>);

impl Addresses {
    pub(crate) fn insert(&mut self, name: &str, address: SocketAddr) {
        self.0.insert(name.to_string(), address);
    }

    pub(crate) fn get(&self, name: &str) -> SocketAddr {
        let address = self.0.get(name);
        *address.unwrap_or_else(|| panic!("{name} has no address"))
    }

    /// Replaces @NAME by addresses.
    pub(crate) fn resolve(&self, text: &str) -> String {
        // The longest names first, since one may be a prefix of another.
        let mut names: Vec<_> = self.0.iter().collect();
        names.sort_by_key(|(name, _)| std::cmp::Reverse(name.len()));
        names
            .into_iter()
            .fold(text.to_string(), |text, (name, address)| {
                text.replace(&format!("@{name}"), &address.to_string())
            })
    }

    /// Replaces addresses by @NAME.
    pub(crate) fn redact(&self, text: String) -> String {
        self.0.iter().fold(text, |text, (name, address)| {
            text.replace(&address.to_string(), &format!("@{name}"))
        })
    }
}

/// Replaces the folder that programs share.
pub(crate) fn redact_folder(text: &str, folder: Option<&Path>) -> String {
    match folder {
        None => text.to_string(),
        Some(folder) => text.replace(&folder.display().to_string(), "@folder"),
    }
}

/// Masks the value of a header that depends on the time.
pub(crate) fn redact_header(line: &str) -> String {
    match line.split_once(": ") {
        Some((header @ ("date" | "x-time-left-ms"), _)) => format!("{header}: (masked)"),
        _ => line.to_string(),
    }
}
