//! How an instance's answer is read: what it proves, whether it is whole, and its load report.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::ops::RangeInclusive;

use applewall::api::{LoadField, Outcome};
use hyper::header::{HeaderMap, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{StatusCode, Version};

/// What a figure in a load report can be; all else is no figure.
const SANE: RangeInclusive<f64> = 0.0..=1e6;

/// An answer says of itself that it holds this at most; more is a spoilt length.
const LENGTH_MOST: u64 = 1 << 30;

/// What an answer says: only its mark proves that the request never ran.
pub(crate) fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unprocessed = || {
        headers
            .get("x-unprocessed")
            .is_some_and(|v| v.as_bytes() == b"1")
    };
    match status.as_u16() {
        200 => Outcome::Success,
        503 | 504 if unprocessed() => Outcome::Overloaded,
        _ => Outcome::Failure,
    }
}

/// True where an answer says itself where it ends, or that it ends with its connection. One that says neither may have
/// been cut off, and one that says it in two ways hides something.
pub(crate) fn framed(version: Version, status: StatusCode, headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).into_iter();
    let mut codings = headers.get_all(TRANSFER_ENCODING).into_iter();
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return false;
    }
    match (
        lengths.next(),
        lengths.next(),
        codings.next(),
        codings.next(),
    ) {
        (Some(length), None, None, None) => length
            .to_str()
            .ok()
            .and_then(|l| l.parse().ok())
            .is_some_and(|l: u64| l <= LENGTH_MOST),
        (None, None, Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        // These have no body; HTTP/1.0 has no other way for one whose length is not known.
        (None, None, None, None) => {
            [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status)
                || version == Version::HTTP_10
                || closes(headers)
        }
        _ => false,
    }
}

/// True where it says that its connection ends with it.
fn closes(headers: &HeaderMap) -> bool {
    let words = headers
        .get_all(CONNECTION)
        .into_iter()
        .filter_map(|v| v.to_str().ok());
    words
        .flat_map(|v| v.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// The load report in the order of the settings; empty where there is none or it is garbage.
pub(crate) fn load(headers: &HeaderMap, fields: &[LoadField]) -> Vec<f64> {
    let Some(text) = headers.get("x-backend-load").and_then(|v| v.to_str().ok()) else {
        return Vec::new();
    };
    let value = |field: &LoadField| {
        let name = match field {
            LoadField::Utilization => "util",
            LoadField::InFlight => "inflight",
            LoadField::Other => return Some(0.0),
        };
        let parts = text.split(',').filter_map(|p| p.trim().split_once('='));
        parts
            .filter(|(n, _)| *n == name)
            .find_map(|(_, v)| v.parse().ok())
            .filter(|v| SANE.contains(v))
    };
    fields
        .iter()
        .map(value)
        .collect::<Option<_>>()
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;
