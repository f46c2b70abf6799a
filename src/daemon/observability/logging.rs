//! Log on standard error, one line per `tracing` event, as text or as JSON for log collectors.
//!
//! Events of single requests and connections are logged at debug level, so the cost of an event does not matter at the
//! default level.

use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Form")]
pub(crate) enum LogFormat {
    /// `applewall: MESSAGE: KEY=VALUE ...`
    #[default]
    Text,
    /// One JSON object per line, with time, level, message and the event's fields.
    Json,
}

/// Environment variable with the lowest level that is logged. `debug` logs a line for each step of each request.
const LEVEL_VARIABLE: &str = "APPLEWALL_LOG_LEVEL";

/// The lowest level that is logged; `info` by default.
fn level() -> LevelFilter {
    let level = std::env::var(LEVEL_VARIABLE).ok();
    level
        .and_then(|level| level.parse().ok())
        .unwrap_or(LevelFilter::INFO)
}

/// Initializes the log. Only the first call has an effect.
pub(crate) fn init(format: LogFormat) {
    // By default the library prints its own write errors to standard error, which panics if standard error is closed.
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level())
        .log_internal_errors(false);
    // Fails if the log is already initialized.
    let _ = match format {
        LogFormat::Text => builder.event_format(TextFormat).try_init(),
        LogFormat::Json => builder
            .json()
            .flatten_event(true)
            .with_target(false)
            .try_init(),
    };
}

/// Formats an event as text: message, then fields.
struct TextFormat;

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut out: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut line = Line::default();
        event.record(&mut line);
        let Line { message, fields } = line;
        if fields.is_empty() {
            writeln!(out, "applewall: {message}")
        } else {
            writeln!(out, "applewall: {message}: {}", fields.trim_end())
        }
    }
}

/// Collects the message and the other fields of an event.
#[derive(Default)]
struct Line {
    message: String,
    fields: String,
}

impl Visit for Line {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        use fmt::Write;
        // Writing to a string does not fail.
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            name => write!(self.fields, "{name}={value:?} "),
        };
    }
}
