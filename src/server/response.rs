//! What a service client gets: the served body unchanged, a nack, or a failure.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::server::streaming_body::Flow;

/// The body of a served answer.
#[derive(Debug)]
pub enum Content {
    /// All of it is here.
    Whole(Bytes),
    /// It is passed on while it still comes.
    Flow(Flow),
}

/// What goes out to a service client.
pub(crate) type Reply = Response<Either<Full<Bytes>, Flow>>;

/// The single final answer to a command.
#[derive(Debug)]
pub enum Answer {
    /// The body of an instance's 200, and its type.
    Served(Content, Option<HeaderValue>),
    /// Refused: trying again is harmless, after so many nanoseconds.
    Nack {
        /// 429 where nothing was sent on, else 503.
        status: StatusCode,
        /// 0: no advice.
        retry_after: u64,
    },
    /// Failed, no promise.
    Failed(StatusCode, &'static str),
}

impl From<Answer> for Reply {
    fn from(answer: Answer) -> Self {
        let (status, body, header) = match answer {
            Answer::Served(body, kind) => (StatusCode::OK, body, kind.map(|k| (CONTENT_TYPE, k))),
            Answer::Nack {
                status,
                retry_after,
            } => {
                // Rounded up: a client must not come back before the module asked it to.
                let ms = retry_after.div_ceil(1_000_000);
                let text = format!("{}.{:03}", ms / 1000, ms % 1000);
                let advice = HeaderValue::try_from(text).ok().filter(|_| ms > 0);
                (
                    status,
                    Content::Whole(Bytes::new()),
                    advice.map(|a| (RETRY_AFTER, a)),
                )
            }
            Answer::Failed(status, reason) => (
                status,
                Content::Whole(Bytes::from_static(reason.as_bytes())),
                None,
            ),
        };
        let mut response = Response::new(match body {
            Content::Whole(body) => Either::Left(Full::new(body)),
            Content::Flow(flow) => Either::Right(flow),
        });
        *response.status_mut() = status;
        response.headers_mut().extend(header);
        response
    }
}
