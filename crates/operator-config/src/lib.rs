//! The operator's own file: INI text into validated types, one clear line for whatever is wrong with it.
//!
//! Knows no section by name. Each subsystem brings a type for its own, with `serde` for its keys, `garde` for their
//! ranges and `schemars` for the published schema; the program puts them together into one type and hands it to
//! [`read`]. Reads no file and no clock.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![cfg_attr(
    test,
    expect(
        clippy::too_many_lines,
        reason = "long functions are split as the module is reworked"
    )
)]

mod units;
mod value;

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::fmt;

use garde::Validate;
use ini::Ini;
use schemars::JsonSchema;
use serde::de::value::Error as Refused;
use serde::de::{DeserializeOwned, IntoDeserializer};

use value::Value;

pub use units::{number, DurationSetting, EnabledFlag, Networks, Size};

/// Why a file is refused: where, and what would do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The section, where it is known.
    pub section: Option<String>,
    /// The key, where it is known.
    pub key: Option<String>,
    /// What is wrong, in one line.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(section) = &self.section {
            write!(f, "[{section}] ")?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        f.write_str(&self.reason)
    }
}

impl std::error::Error for Error {}

impl Error {
    /// At a path as serde and garde write it, `section.key`.
    fn at(path: &str, reason: impl fmt::Display) -> Self {
        let mut parts = path
            .split('.')
            .filter(|p| !p.is_empty())
            .map(str::to_string);
        // Several reasons of a library come in several lines; the log has one for each trouble.
        let reason = reason
            .to_string()
            .split_whitespace()
            .collect::<Vec<_>>()
            .join(" ");
        Error {
            section: parts.next(),
            key: parts.next(),
            reason,
        }
    }
}

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
    let sections = sections(text)?;
    let settings: T =
        serde_path_to_error::deserialize(IntoDeserializer::<Refused>::into_deserializer(sections))
            .map_err(|e| refused(&e))?;
    settings.validate().map_err(|report| {
        let first = report.iter().next();
        first.map_or(Error::at("", &report), |(path, error)| {
            Error::at(&path.to_string(), error)
        })
    })?;
    Ok(settings)
}

/// The JSON Schema of what [`read`] takes: an object of sections, each an object of keys, all values as INI has them.
pub fn schema<T: JsonSchema>() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(T)).unwrap_or_default()
}

type Sections = BTreeMap<String, BTreeMap<String, Value>>;

fn sections(text: &str) -> Result<Sections, Error> {
    let ini = Ini::load_from_str(text).map_err(|e| {
        Error::at(
            "",
            format_args!("line {}, column {}: {}", e.line, e.col, e.msg),
        )
    })?;
    let mut sections = Sections::new();
    for (name, properties) in &ini {
        let Some(name) = name else {
            // The library has a nameless section in any case; only what stands in it is wrong.
            match properties.iter().next() {
                None => continue,
                Some((key, _)) => {
                    return Err(Error::at(
                        "",
                        format_args!("{key}: stands before any section"),
                    ))
                }
            }
        };
        let Entry::Vacant(section) = sections.entry(name.to_string()) else {
            return Err(Error::at(name, "the section comes twice"));
        };
        let keys = section.insert(BTreeMap::new());
        for (key, value) in properties {
            // Which of the two was meant? The last one would silently win.
            if keys
                .insert(key.to_string(), Value(value.to_string()))
                .is_some()
            {
                return Err(Error::at(&format!("{name}.{key}"), "the key comes twice"));
            }
        }
    }
    Ok(sections)
}

/// serde's complaint, with its place; what it says of fields is said of sections and keys.
fn refused(error: &serde_path_to_error::Error<Refused>) -> Error {
    let (path, text) = (error.path().to_string(), error.inner().to_string());
    let path = if path == "." { String::new() } else { path };
    if let Some(rest) = text.strip_prefix("unknown field `") {
        let (name, expected) = rest.split_once("`, expected ").unwrap_or((rest, "none"));
        let expected = expected.trim_start_matches("one of ").replace('`', "");
        let section = path.split('.').next().unwrap_or_default();
        return match section.is_empty() || section == name && !path.contains('.') {
            true => Error::at(name, format_args!("unknown section; there are: {expected}")),
            false => Error::at(
                &format!("{section}.{name}"),
                format_args!("unknown key; there are: {expected}"),
            ),
        };
    }
    Error::at(&path, text)
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde::Deserialize;

    #[derive(Debug, Default, Deserialize, Validate, JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    struct File {
        #[garde(dive)]
        door: Door,
    }

    #[derive(Debug, Deserialize, Validate, JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    struct Door {
        #[garde(skip)]
        open: EnabledFlag,
        #[garde(dive)]
        wait: DurationSetting,
        #[garde(skip)]
        room: Size,
        #[garde(range(min = 0.0, max = 1.0))]
        #[serde(deserialize_with = "number")]
        part: f64,
        #[garde(skip)]
        known: Networks,
        #[garde(inner(range(min = 5)))]
        #[serde(deserialize_with = "maybe")]
        most: Option<u32>,
        #[garde(skip)]
        keep: Option<Size>,
    }

    fn maybe<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Option<u32>, D::Error> {
        number(from).map(Some)
    }

    impl Default for Door {
        fn default() -> Self {
            let (wait, known) = (DurationSetting::from_millis(250), Networks::default());
            Door {
                open: EnabledFlag(false),
                wait,
                room: Size(4096),
                part: 0.5,
                known,
                most: None,
                keep: None,
            }
        }
    }

    #[test]
    fn what_is_said_holds_and_all_else_keeps_its_default() {
        let text = "; ours\n[door]\nopen = on\nwait = 1s 500ms\nroom = 64KiB\nknown = 10.0.0.0/8, ::1\nmost = 9\nkeep = 2KiB\n";
        let File { door } = read(text).unwrap();
        assert_eq!(
            (door.open.0, door.wait, door.room.0, door.part),
            (true, DurationSetting::from_millis(1500), 65536, 0.5)
        );
        assert_eq!((door.most, door.keep), (Some(9), Some(Size(2048))));
        assert!(door.known.contains("10.1.2.3".parse().unwrap()));
        assert!(!door.known.contains("11.1.2.3".parse().unwrap()));
        assert_eq!(read::<File>("").unwrap().door.room.0, 4096);
    }

    #[test]
    fn what_is_wrong_is_one_line_with_its_place() {
        let cases = [
            ("[dor]\nopen = on", "[dor] unknown section; there are: door"),
            (
                "[door]\nopn = on",
                "[door] opn: unknown key; there are: open, wait, room, part, known, most, keep",
            ),
            (
                "[door]\nopen = maybe",
                "[door] open: 'maybe' is neither on nor off",
            ),
            (
                "[door]\nwait = 5",
                "[door] wait: '5' is no time such as 250ms or 2s",
            ),
            (
                "[door]\nwait = 5 parsecs",
                "[door] wait: '5 parsecs' is no time such as 250ms or 2s",
            ),
            (
                "[door]\nroom = 64 furlongs",
                "[door] room: '64 furlongs' is no size such as 64KiB",
            ),
            (
                "[door]\npart = half",
                "[door] part: 'half' is no number: invalid float literal",
            ),
            ("[door]\nmost = 4", "[door] most: lower than 5"),
            ("[door]\npart = 1.5", "[door] part: greater than 1"),
            (
                "[door]\npart = NaN",
                "[door] part: 'NaN' is no finite number",
            ),
            (
                "[door]\nknown = 10.0.0.0/40",
                "[door] known: '10.0.0.0/40' is no IP network such as 10.0.0.0/8",
            ),
            (
                "[door]\nopen = on\nopen = off",
                "[door] open: the key comes twice",
            ),
            (
                "[door]\n[door]\nopen = off",
                "[door] the section comes twice",
            ),
            ("open = on", "open: stands before any section"),
            ("[door\nopen = on", "line "),
        ];
        for (text, reason) in cases {
            let error = read::<File>(text).unwrap_err().to_string();
            assert!(
                error.starts_with(reason) && !error.contains('\n'),
                "{text:?} gave {error:?}"
            );
        }
    }

    #[test]
    fn the_schema_names_sections_and_keys() {
        let schema = schema::<File>();
        for word in [
            "\"door\"",
            "\"wait\"",
            "\"additionalProperties\": false",
            "pattern",
        ] {
            assert!(schema.contains(word), "{word}: {schema}");
        }
    }
}
