//! The log: standard error, a line an event. Text as the on-call page has it, or JSON for collectors.
//!
//! Nothing is told per request, so what an event costs does not count.

use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The form of a line.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Form")]
pub(crate) enum LogFormat {
    /// `applewall: MESSAGE: KEY=VALUE ...`
    #[default]
    Text,
    /// One JSON object, with time, level, message and each figure as a field.
    Json,
}

/// Starts the log; the first call holds for the life of the program.
pub(crate) fn init(form: LogFormat) {
    // A closed standard error must not end the program, and the library would print its own trouble there.
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    let _ = match form {
        LogFormat::Text => builder.event_format(Text).try_init(),
        LogFormat::Json => builder
            .json()
            .flatten_event(true)
            .with_target(false)
            .try_init(),
    };
}

struct Text;

impl<S, N> FormatEvent<S, N> for Text
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
        match line.fields.is_empty() {
            true => writeln!(out, "applewall: {}", line.message),
            false => writeln!(
                out,
                "applewall: {}: {}",
                line.message,
                line.fields.trim_end()
            ),
        }
    }
}

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
        // Writing into a string does not fail.
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            name => write!(self.fields, "{name}={value:?} "),
        };
    }
}
