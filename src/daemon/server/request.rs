//! Parses a client's request head into the decision policy's request.
//!
//! A request that can be interpreted in two ways is neither served nor charged to a customer.

use applewall::api::{self, Idempotency, NodeId, NodeSet, RequestId};
use applewall::platform_settings::PlatformSettings;
use hyper::header::HeaderMap;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode, Uri};

use crate::headers::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT_MS};
use crate::server::response::ClientResponse;

/// Exclusive upper bound of customer ids; the platform assigns no larger ones.
const CUSTOMER_ID_LIMIT: u64 = 1 << 33;
const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// The contents of a valid request head.
pub(super) struct ParsedRequest {
    /// The request for the decision policy; its time left counts from the arrival of the head.
    pub request: api::Request,
    /// The customer's id as a number, by which slow-peer protection identifies the customer.
    pub customer: u64,
}

/// The reason for which a request head is invalid. Its text is the response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub(super) enum InvalidRequest {
    /// The method is neither GET nor POST.
    Method,
    /// The target cannot be forwarded.
    Target,
    /// The correlation id is missing or malformed.
    CorrelationId,
    /// The service class is not in the settings.
    ServiceClass,
    /// The class requires an idempotency key for retries, and there is none.
    MissingIdempotencyKey,
    /// There is more than one idempotency key, so endpoints could not recognize a retry.
    RepeatedIdempotencyKey,
    /// The plan is not in the settings.
    Plan,
    /// The customer's id is missing, malformed or too large.
    Customer,
    /// The time left is missing or malformed.
    TimeLeft,
    /// The units or the node set are missing, malformed or outside the limits of the settings.
    Metering,
}

impl InvalidRequest {
    /// The response's body.
    fn reason(self) -> &'static str {
        match self {
            InvalidRequest::Method => "the method is neither GET nor POST",
            InvalidRequest::Target => "the target is no path",
            InvalidRequest::CorrelationId => "X-Correlation-Id is not 16 hex digits",
            InvalidRequest::ServiceClass => "unknown X-Service-Class",
            InvalidRequest::MissingIdempotencyKey => {
                "no Idempotency-Key, which this class is repeated by"
            }
            InvalidRequest::RepeatedIdempotencyKey => "Idempotency-Key comes twice",
            InvalidRequest::Plan => "unknown X-Contract",
            InvalidRequest::Customer => "X-Client-Id is not a number of 16 hex digits",
            InvalidRequest::TimeLeft => "X-Time-Left-Ms is not a whole number",
            InvalidRequest::Metering => {
                "X-Metering does not name units, and a set with this ingress, within the settings"
            }
        }
    }
}

impl From<InvalidRequest> for ClientResponse {
    fn from(invalid: InvalidRequest) -> Self {
        ClientResponse::Failed {
            status: StatusCode::BAD_REQUEST,
            reason: invalid.reason(),
        }
    }
}

/// Parses the method and the headers of a request.
pub(super) fn parse(
    settings: &PlatformSettings,
    method: &Method,
    headers: &HeaderMap,
) -> Result<ParsedRequest, InvalidRequest> {
    if method != Method::GET && method != Method::POST {
        return Err(InvalidRequest::Method);
    }
    let id = single_value(headers, CORRELATION_ID)
        .and_then(parse_hex)
        .ok_or(InvalidRequest::CorrelationId)?;
    let class = single_value(headers, "x-service-class")
        .and_then(|class| settings.class(class))
        .ok_or(InvalidRequest::ServiceClass)?;
    check_idempotency_key(headers, settings.policy.class(class).idempotency)?;
    let plan = single_value(headers, "x-contract")
        .and_then(|plan| settings.plan(plan))
        .ok_or(InvalidRequest::Plan)?;
    let customer = single_value(headers, "x-client-id")
        .and_then(parse_hex)
        .filter(|customer| *customer < CUSTOMER_ID_LIMIT)
        .ok_or(InvalidRequest::Customer)?;
    let time_left_ms = single_value(headers, TIME_LEFT_MS)
        .and_then(parse_digits)
        .ok_or(InvalidRequest::TimeLeft)?;
    let metering = single_value(headers, "x-metering")
        .and_then(Metering::parse)
        .filter(|metering| metering.is_within(settings))
        .ok_or(InvalidRequest::Metering)?;
    let request = api::Request {
        id: RequestId(id),
        class,
        plan,
        customer: format!("{customer:016x}").into(),
        units: f64::from(metering.units),
        // Capped at the class's deadline, which bounds the number of requests in memory.
        time_left_ns: time_left_ms
            .saturating_mul(NANOS_PER_MILLISECOND)
            .min(settings.policy.class(class).deadline_ns),
        is_retry: single_value(headers, "x-repeat") == Some("1"),
        nodes: metering.nodes,
    };
    Ok(ParsedRequest { request, customer })
}

/// Endpoints recognize a retry by the request's idempotency key. With two keys, or without a key in a class that needs
/// one, a request could be executed twice.
fn check_idempotency_key(
    headers: &HeaderMap,
    idempotency: Idempotency,
) -> Result<(), InvalidRequest> {
    let keys = headers.get_all(IDEMPOTENCY_KEY).iter().count();
    match (keys, idempotency) {
        (1, _) => Ok(()),
        (0, Idempotency::IdempotencyKey { .. }) => Err(InvalidRequest::MissingIdempotencyKey),
        (0, _) => Ok(()),
        _ => Err(InvalidRequest::RepeatedIdempotencyKey),
    }
}

/// The cost of a request, and the set of nodes that account for its customer's quota.
struct Metering {
    units: u32,
    nodes: NodeSet,
}

impl Metering {
    /// Parses units, set size and first node, each of which must occur exactly once.
    fn parse(text: &str) -> Option<Self> {
        let mut values = [None; 3];
        for pair in text.split(',') {
            let (name, value) = pair.trim().split_once('=')?;
            let Some(index) = ["units", "spread", "first"]
                .iter()
                .position(|known| *known == name)
            else {
                continue;
            };
            let value = u32::try_from(parse_digits(value)?).ok()?;
            // A repeated name is ambiguous: it would be unclear which value counts and which nodes account for the
            // quota.
            if values[index].replace(value).is_some() {
                return None;
            }
        }
        let [units, node_set_size, first_node] = values;
        Some(Metering {
            units: units?,
            nodes: NodeSet {
                size: node_set_size?,
                first: NodeId(first_node?),
            },
        })
    }

    /// True if all values are within the limits of the settings and this node is in the set. Otherwise other nodes
    /// account for the customer's quota.
    fn is_within(&self, settings: &PlatformSettings) -> bool {
        let policy = &settings.policy;
        let node_count = policy.node_count.max(1);
        let max_units = policy.max_request_units.max(1.0) as u32;
        (1..=max_units).contains(&self.units)
            && (1..=node_count).contains(&self.nodes.size)
            && self.nodes.first.0 < node_count
            && self.nodes.contains(policy.node, node_count)
    }
}

/// Returns the origin form of a request target. Clients may also send the absolute form (RFC 9112, section 3.2.2).
pub(super) fn origin_form(uri: Uri) -> Uri {
    match uri.scheme() {
        None => uri,
        Some(_) => uri
            .path_and_query()
            .cloned()
            .unwrap_or_else(|| PathAndQuery::from_static("/"))
            .into(),
    }
}

/// The value of a header; `None` if the header is missing, repeated or not text.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).into_iter();
    values
        .next()
        .filter(|_| values.next().is_none())?
        .to_str()
        .ok()
}

/// Parses a decimal number without sign or white space.
fn parse_digits(text: &str) -> Option<u64> {
    let only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    only_digits.then(|| text.parse().ok()).flatten()
}

/// Parses exactly 16 hexadecimal digits.
fn parse_hex(text: &str) -> Option<u64> {
    let is_hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}
