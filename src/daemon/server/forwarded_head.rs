//! Copies the parts of a request's head that are forwarded.
//!
//! Header values and targets refer to the buffer that the whole head was read into. They are copied, so that a request whose
//! body arrives slowly, or whose response is pending, keeps neither that buffer nor the other headers.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::Uri;

use crate::engine::message::ForwardedHead;
use crate::headers::{CORRELATION_ID, IDEMPOTENCY_KEY};
use crate::server::request::origin_form;

/// Copies the forwarded parts of a valid head; `None` if its target is none.
pub(super) fn copy(head: Parts) -> Option<ForwardedHead> {
    let headers = &head.headers;
    Some(ForwardedHead {
        target: copy_target(origin_form(head.uri))?,
        host: copy_value(headers, &HOST),
        correlation_id: copy_value(headers, &HeaderName::from_static(CORRELATION_ID))?,
        content_type: copy_value(headers, &CONTENT_TYPE),
        idempotency_key: copy_value(headers, &HeaderName::from_static(IDEMPOTENCY_KEY)),
        method: head.method,
    })
}

fn copy_target(target: Uri) -> Option<Uri> {
    match target.path_and_query() {
        Some(target) => PathAndQuery::try_from(target.as_str()).ok().map(Uri::from),
        None => Some(target),
    }
}

fn copy_value(headers: &HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    HeaderValue::from_bytes(headers.get(name)?.as_bytes()).ok()
}

#[cfg(test)]
mod tests;
