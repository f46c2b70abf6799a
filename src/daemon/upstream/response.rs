//! Evaluates an endpoint's response: whether the request was executed, whether the response is complete, and its load
//! report.
//!
//! Only the endpoint's `x-unprocessed` header, or the fact that nothing was written, proves that a request was never
//! executed.

use std::ops::RangeInclusive;

use applewall::api::{LoadField, Outcome};
use hyper::header::{HeaderMap, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{StatusCode, Version};

/// The header that marks, with the value `1`, a response to a request that was never executed.
const UNPROCESSED: &str = "x-unprocessed";
/// The header of the load report, whose value is a list of pairs such as `util=0.61,inflight=7`.
const LOAD_REPORT: &str = "x-backend-load";
/// Plausible values of a load report; a report with any other value is ignored.
const PLAUSIBLE_LOAD: RangeInclusive<f64> = 0.0..=1e6;
/// Maximum Content-Length of a response, 1 GiB; a response with a larger one is malformed.
const MAX_ANNOUNCED_BYTES: u64 = 1 << 30;

/// Whether a request without a complete response may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeFailure {
    /// No byte was written.
    NeverExecuted,
    /// Bytes were written that may have been the complete request.
    PossiblyExecuted,
}

impl ExchangeFailure {
    /// Classifies a failed exchange by the number of bytes written.
    pub(super) fn from_bytes_written(bytes: u64) -> Self {
        match bytes {
            0 => ExchangeFailure::NeverExecuted,
            _ => ExchangeFailure::PossiblyExecuted,
        }
    }
}

impl From<ExchangeFailure> for Outcome {
    /// A response that is malformed or was abandoned for its data rate is reported to the policy as a connection reset.
    fn from(failure: ExchangeFailure) -> Self {
        match failure {
            ExchangeFailure::NeverExecuted => Outcome::ConnectFailed,
            ExchangeFailure::PossiblyExecuted => Outcome::ConnectionReset,
        }
    }
}

/// Classifies a complete response.
pub(super) fn classify(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unprocessed = || {
        headers
            .get(UNPROCESSED)
            .is_some_and(|value| value.as_bytes() == b"1")
    };
    match status.as_u16() {
        200 => Outcome::Success,
        503 | 504 if unprocessed() => Outcome::Overloaded,
        _ => Outcome::Failure,
    }
}

/// True if exactly one header frames the response, or if the response ends with its connection. Without either the
/// response may have been truncated, and with two framings it may contain a second response.
pub(super) fn is_delimited(version: Version, status: StatusCode, headers: &HeaderMap) -> bool {
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return false;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).into_iter();
    let mut codings = headers.get_all(TRANSFER_ENCODING).into_iter();
    match (
        lengths.next(),
        lengths.next(),
        codings.next(),
        codings.next(),
    ) {
        (Some(length), None, None, None) => length
            .to_str()
            .ok()
            .and_then(|length| length.parse().ok())
            .is_some_and(|length: u64| length <= MAX_ANNOUNCED_BYTES),
        (None, None, Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        // Responses with these two statuses have no body. As in HTTP/1.0, a body of unknown length ends with its
        // connection.
        (None, None, None, None) => {
            [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status)
                || version == Version::HTTP_10
                || closes_connection(headers)
        }
        _ => false,
    }
}

/// True if a response has the `close` connection option.
fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .into_iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Parses the load report into the order of the settings; empty if there is none or one of its values is not plausible.
pub(super) fn load_report(headers: &HeaderMap, fields: &[LoadField]) -> Vec<f64> {
    let Some(text) = headers
        .get(LOAD_REPORT)
        .and_then(|value| value.to_str().ok())
    else {
        return Vec::new();
    };
    let value = |field: &LoadField| {
        let wanted = match field {
            LoadField::Utilization => "util",
            LoadField::InFlight => "inflight",
            LoadField::Other => return Some(0.0),
        };
        text.split(',')
            .filter_map(|pair| pair.trim().split_once('='))
            .filter(|(name, _)| *name == wanted)
            .find_map(|(_, value)| value.parse().ok())
            .filter(|value| PLAUSIBLE_LOAD.contains(value))
    };
    fields
        .iter()
        .map(value)
        .collect::<Option<_>>()
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;
