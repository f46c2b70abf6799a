//! The operator's own file: INI text into validated settings, with one clear line for whatever is wrong with it.
//!
//! This crate knows no section by name. Each subsystem brings a type for its own section, with `serde` for its keys,
//! `garde` for their ranges and `schemars` for the published schema; the program puts them together into one type and
//! passes that to [`read`]. Reads no file and no clock.

mod error;
mod units;
mod value;

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

use garde::Validate;
use ini::{Ini, Properties};
use schemars::JsonSchema;
use serde::de::value::Error as ValueError;
use serde::de::{DeserializeOwned, IntoDeserializer};

use value::Value;

pub use error::Error;
pub use units::{number, DurationSetting, EnabledFlag, Networks, Size};

/// Reads a whole file. Sections and keys that are missing keep their defaults.
///
/// # Errors
///
/// The first thing found wrong: text that is no INI, a key outside any section, a section or key that is unknown or
/// comes twice, a value that is no such value or out of its range.
pub fn read<T>(text: &str) -> Result<T, Error>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let sections = IntoDeserializer::<ValueError>::into_deserializer(sections(text)?);
    let settings: T = serde_path_to_error::deserialize(sections)?;
    settings.validate()?;
    Ok(settings)
}

/// The JSON Schema of what [`read`] accepts: an object of sections, each an object of keys, all values as INI has them.
pub fn schema<T: JsonSchema>() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(T)).unwrap_or_default()
}

/// The values of each section, by key.
type Sections = BTreeMap<String, BTreeMap<String, Value>>;

fn sections(text: &str) -> Result<Sections, Error> {
    let mut sections = Sections::new();
    for (name, properties) in &Ini::load_from_str(text)? {
        let Some(name) = name else {
            outside_any_section(properties)?;
            continue;
        };
        let Entry::Vacant(section) = sections.entry(name.to_string()) else {
            return Err(Error::at(name, "the section comes twice"));
        };
        let keys = section.insert(BTreeMap::new());
        for (key, value) in properties {
            let before = keys.insert(key.to_string(), Value(value.to_string()));
            // It is unknown which of the two was meant: the last one must not win silently.
            if before.is_some() {
                return Err(Error::at(&format!("{name}.{key}"), "the key comes twice"));
            }
        }
    }
    Ok(sections)
}

/// The library reports a nameless section for every file; only keys in it are wrong.
fn outside_any_section(properties: &Properties) -> Result<(), Error> {
    match properties.iter().next() {
        None => Ok(()),
        Some((key, _)) => Err(Error::at(
            "",
            format_args!("{key}: stands before any section"),
        )),
    }
}

#[cfg(test)]
mod tests;
