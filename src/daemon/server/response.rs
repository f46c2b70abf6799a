//! The final response to a client: an endpoint's response body unchanged, a rejection or a failure.
//!
//! The engine or the server decides on a [`ClientResponse`], and the connection's request service converts it for
//! hyper. A request gets exactly one.

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::server::streaming_body::StreamingBody;

/// Retry-After of rejections made without the policy, similar to the policy's own values.
const OVERLOADED_RETRY_AFTER_NS: u64 = 200_000_000;

/// The body of a served response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// The complete body in memory.
    Buffered(Bytes),
    /// A body that is forwarded while it is being received from the endpoint.
    Streaming(StreamingBody),
}

/// The response as passed to hyper.
pub(crate) type HttpResponse = Response<Either<Full<Bytes>, StreamingBody>>;

/// An endpoint's response with status 200.
#[derive(Debug)]
pub(crate) struct ServedResponse {
    /// The endpoint's body, forwarded unchanged.
    pub body: ResponseBody,
    /// Its Content-Type header, if any.
    pub content_type: Option<HeaderValue>,
}

/// The final response to a request.
#[derive(Debug)]
pub(crate) enum ClientResponse {
    /// The response of an endpoint, which has status 200.
    Served(ServedResponse),
    /// The request was never executed, or may be executed again: a retry is safe.
    Rejected {
        /// 429 if the policy has not decided on any attempt, otherwise 503.
        status: StatusCode,
        /// The value of the Retry-After header; `None` or 0 omits the header.
        retry_after_ns: Option<u64>,
    },
    /// The request failed; it may or may not have been executed.
    Failed {
        status: StatusCode,
        /// The body: one line of plain text.
        reason: &'static str,
    },
}

impl ClientResponse {
    /// A rejection made without the policy because this node lacks the capacity to process the request.
    pub(crate) fn overloaded() -> Self {
        ClientResponse::Rejected {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after_ns: Some(OVERLOADED_RETRY_AFTER_NS),
        }
    }

    /// The kind of response with its status and reason, for the log.
    pub(crate) fn summary(&self) -> String {
        match self {
            ClientResponse::Served(_) => "served".to_string(),
            ClientResponse::Rejected { status, .. } => format!("rejected with {status}"),
            ClientResponse::Failed { status, reason } => format!("failed with {status}: {reason}"),
        }
    }
}

/// The value of the Retry-After header, in seconds with three decimals.
fn retry_after_header(retry_after_ns: u64) -> Option<HeaderValue> {
    // Rounded up: a client must not retry earlier than the policy advised.
    let milliseconds = retry_after_ns.div_ceil(1_000_000);
    let text = format!("{}.{:03}", milliseconds / 1000, milliseconds % 1000);
    HeaderValue::try_from(text)
        .ok()
        .filter(|_| milliseconds > 0)
}

impl From<ClientResponse> for HttpResponse {
    fn from(response: ClientResponse) -> Self {
        let (status, body, header) = match response {
            ClientResponse::Served(ServedResponse { body, content_type }) => (
                StatusCode::OK,
                body,
                content_type.map(|value| (CONTENT_TYPE, value)),
            ),
            ClientResponse::Rejected {
                status,
                retry_after_ns,
            } => (
                status,
                ResponseBody::Buffered(Bytes::new()),
                retry_after_ns
                    .and_then(retry_after_header)
                    .map(|value| (RETRY_AFTER, value)),
            ),
            ClientResponse::Failed { status, reason } => (
                status,
                ResponseBody::Buffered(Bytes::from_static(reason.as_bytes())),
                None,
            ),
        };
        let mut http = Response::new(match body {
            ResponseBody::Buffered(body) => Either::Left(Full::new(body)),
            ResponseBody::Streaming(body) => Either::Right(body),
        });
        *http.status_mut() = status;
        http.headers_mut().extend(header);
        http
    }
}
