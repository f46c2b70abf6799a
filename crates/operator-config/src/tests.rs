//! Parsing of whole files: settings and defaults, errors with section and key, and the schema.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Deserializer};

use super::{number, read, schema, DurationSetting, EnabledFlag, Networks, Size};

#[derive(Debug, Default, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
struct File {
    #[garde(dive)]
    server: Server,
}

#[derive(Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
struct Server {
    #[garde(skip)]
    enabled: EnabledFlag,
    #[garde(dive)]
    timeout: DurationSetting,
    #[garde(skip)]
    buffer: Size,
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(deserialize_with = "number")]
    share: f64,
    #[garde(skip)]
    allowed: Networks,
    #[garde(inner(range(min = 5)))]
    #[serde(deserialize_with = "optional_number")]
    workers: Option<u32>,
    #[garde(skip)]
    cache: Option<Size>,
}

fn optional_number<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u32>, D::Error> {
    number(from).map(Some)
}

impl Default for Server {
    fn default() -> Self {
        Server {
            enabled: EnabledFlag(false),
            timeout: DurationSetting::from_millis(250),
            buffer: Size(4096),
            share: 0.5,
            allowed: Networks::default(),
            workers: None,
            cache: None,
        }
    }
}

/// Rejected files, with the beginning of the error for each.
const REJECTED: [(&str, &str); 15] = [
    (
        "[sever]\nenabled = on",
        "[sever] unknown section; known sections: server",
    ),
    (
        "[server]\nenable = on",
        "[server] enable: unknown key; known keys: enabled, timeout, buffer, share, allowed, workers, cache",
    ),
    (
        "[server]\nenabled = maybe",
        "[server] enabled: 'maybe' is neither on nor off",
    ),
    (
        "[server]\ntimeout = 5",
        "[server] timeout: '5' is not a duration such as 250ms or 2s",
    ),
    (
        "[server]\ntimeout = 5 parsecs",
        "[server] timeout: '5 parsecs' is not a duration such as 250ms or 2s",
    ),
    (
        "[server]\nbuffer = 64 furlongs",
        "[server] buffer: '64 furlongs' is not a size such as 64KiB",
    ),
    (
        "[server]\nshare = half",
        "[server] share: 'half' is not a number: invalid float literal",
    ),
    ("[server]\nworkers = 4", "[server] workers: lower than 5"),
    ("[server]\nshare = 1.5", "[server] share: greater than 1"),
    (
        "[server]\nshare = NaN",
        "[server] share: 'NaN' is not a finite number",
    ),
    (
        "[server]\nallowed = 10.0.0.0/40",
        "[server] allowed: '10.0.0.0/40' is not an IP network such as 10.0.0.0/8",
    ),
    (
        "[server]\nenabled = on\nenabled = off",
        "[server] enabled: duplicate key",
    ),
    (
        "[server]\n[server]\nenabled = off",
        "[server] duplicate section",
    ),
    ("enabled = on", "enabled: key is outside of any section"),
    ("[server\nenabled = on", "line "),
];

#[test]
fn keys_that_are_set_apply_and_all_others_keep_their_defaults() {
    let text = "; ours\n[server]\nenabled = on\ntimeout = 1s 500ms\nbuffer = 64KiB\n\
        allowed = 10.0.0.0/8, ::1\nworkers = 9\ncache = 2KiB\n";
    let File { server } = read(text).unwrap();
    assert_eq!(
        (
            server.enabled.0,
            server.timeout,
            server.buffer.0,
            server.share
        ),
        (true, DurationSetting::from_millis(1500), 65536, 0.5)
    );
    assert_eq!((server.workers, server.cache), (Some(9), Some(Size(2048))));
    assert!(server.allowed.contains("10.1.2.3".parse().unwrap()));
    assert!(!server.allowed.contains("11.1.2.3".parse().unwrap()));
    assert_eq!(read::<File>("").unwrap().server.buffer.0, 4096);
}

#[test]
fn an_error_is_one_line_that_names_section_and_key() {
    for (text, beginning) in REJECTED {
        let error = read::<File>(text).unwrap_err().to_string();
        assert!(
            error.starts_with(beginning) && !error.contains('\n'),
            "{text:?} gave {error:?}"
        );
    }
}

#[test]
fn the_schema_names_sections_and_keys() {
    let schema = schema::<File>();
    for expected in [
        "\"server\"",
        "\"timeout\"",
        "\"additionalProperties\": false",
        "pattern",
    ] {
        assert!(schema.contains(expected), "{expected}: {schema}");
    }
}
