//! The operator's configuration file: parses INI text into validated settings, or returns a one-line error.
//!
//! The sections are defined by the subsystems: each has a type for its section, with `serde` for the keys, `garde` for
//! their ranges and `schemars` for the published schema. The program passes a type that contains all sections to
//! [`read`]. This crate does no I/O and reads no clock.

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

/// Parses the content of a file. Missing sections and keys take their default values.
///
/// # Errors
///
/// The first error that is found: the text is not INI, a key is outside of any section, a section or key is unknown or
/// repeated, or a value cannot be parsed or is out of range.
pub fn read<T>(text: &str) -> Result<T, Error>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let sections = IntoDeserializer::<ValueError>::into_deserializer(parse_sections(text)?);
    let settings: T = serde_path_to_error::deserialize(sections)?;
    settings.validate()?;
    Ok(settings)
}

/// The JSON Schema of the files that [`read`] accepts: an object of sections, each an object of keys with string
/// values.
pub fn schema<T: JsonSchema>() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(T)).unwrap_or_default()
}

/// The values of all sections, by section and key.
type Sections = BTreeMap<String, BTreeMap<String, Value>>;

/// Parses INI text. Rejects repeated sections, repeated keys and keys outside of any section, which the parser accepts.
fn parse_sections(text: &str) -> Result<Sections, Error> {
    let mut sections = Sections::new();
    for (name, properties) in &Ini::load_from_str(text)? {
        let Some(name) = name else {
            reject_keys_outside_sections(properties)?;
            continue;
        };
        let Entry::Vacant(section) = sections.entry(name.to_string()) else {
            return Err(Error::at(name, "duplicate section"));
        };
        let keys = section.insert(BTreeMap::new());
        for (key, value) in properties {
            let previous = keys.insert(key.to_string(), Value(value.to_string()));
            // Either of the two values may be the intended one.
            if previous.is_some() {
                return Err(Error::at(&format!("{name}.{key}"), "duplicate key"));
            }
        }
    }
    Ok(sections)
}

/// Rejects keys in the unnamed section, which the parser reports for every file.
fn reject_keys_outside_sections(properties: &Properties) -> Result<(), Error> {
    match properties.iter().next() {
        None => Ok(()),
        Some((key, _)) => Err(Error::at(
            "",
            format_args!("{key}: key is outside of any section"),
        )),
    }
}

#[cfg(test)]
mod tests;
