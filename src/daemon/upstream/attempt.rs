//! One attempt at an endpoint: runs the exchange until its result is known, and reports the result to the engine.
//!
//! Each attempt runs in a single task and sends one [`AttemptEnded`]. An attempt that was cancelled or timed out writes
//! nothing after its report has been queued.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use applewall::api::{EndpointId, LoadField, Outcome, RequestId};
use hyper::header::CONTENT_TYPE;
use tokio::sync::oneshot;

use super::context::AttemptContext;
use super::deadlines::AttemptDeadlines;
use super::endpoint::ConnectionLease;
use super::exchange::{Exchange, UpstreamResponse};
use super::response::{classify, load_report};
use crate::engine::message::{AttemptEnded, ForwardedRequest, Message};
use crate::server::response::ServedResponse;

/// An exchange has this long to begin forwarding a long response at the request's last deadline, before the attempt times
/// out.
const LONG_RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// An attempt that the send rule has allowed to start.
pub(crate) struct Attempt {
    /// The request that it belongs to.
    pub request: RequestId,
    /// Its number within the request, from 0.
    pub number: u32,
    /// The endpoint that it is sent to.
    pub endpoint: EndpointId,
    /// The part of the client's request that is sent, shared by all its attempts.
    pub forwarded: Arc<ForwardedRequest>,
    /// Derived from the client's deadline and the policy's timeout.
    pub deadlines: AttemptDeadlines,
}

/// Runs an attempt and reports its result. Not an `async fn`, whose future would store the arguments twice.
pub(super) fn run(
    context: AttemptContext,
    attempt: Attempt,
    lease: ConnectionLease,
    cancelled: oneshot::Receiver<()>,
) -> impl Future<Output = ()> {
    let Attempt {
        request,
        number,
        endpoint,
        forwarded,
        deadlines,
    } = attempt;
    async move {
        let started = Instant::now();
        let (stream_start, mut stream_started) = oneshot::channel();
        let long_response_begun = AtomicBool::new(false);
        let exchange = Exchange {
            context: &context,
            forwarded: &forwarded,
            deadlines,
            long_response_begun: &long_response_begun,
        };
        let exchange = exchange.run(lease, stream_start);
        tokio::pin!(exchange);
        let timeout = time_out(deadlines, &long_response_begun);
        let event =
            await_deciding_event(exchange.as_mut(), &mut stream_started, cancelled, timeout).await;
        let latency = started.elapsed();
        let is_streaming = matches!(event, DecidingEvent::Streaming(_));
        let result = event.into_result();
        let evaluation = Evaluation::new(result, &context.load_report_fields);
        let report = context.queue.send(Message::AttemptEnded(AttemptEnded {
            request,
            attempt: number,
            endpoint,
            outcome: evaluation.outcome,
            latency,
            load_report: evaluation.load_report,
            response: evaluation.response,
        }));
        if is_streaming {
            // Concurrently, so that the body is forwarded even while the engine's queue is full.
            let _ = tokio::join!(report, exchange);
        } else {
            // Fails only if the engine has stopped, which ends the process.
            let _ = report.await;
        }
    }
}

/// Completes when the attempt times out. An endpoint that has begun a long response is not cut off: the exchange begins to
/// forward the response by the request's last deadline.
async fn time_out(deadlines: AttemptDeadlines, long_response_begun: &AtomicBool) {
    tokio::time::sleep_until(deadlines.response_by.into()).await;
    if long_response_begun.load(Ordering::Relaxed) {
        let at_the_latest = deadlines.last_response_by + LONG_RESPONSE_MARGIN;
        tokio::time::sleep_until(at_the_latest.into()).await;
    }
}

/// The event that determines the result of an attempt.
enum DecidingEvent {
    /// The exchange has ended or is abandoned.
    Ended(Result<UpstreamResponse, Outcome>),
    /// The response has begun to stream; the exchange continues and forwards the rest of the body.
    Streaming(UpstreamResponse),
}

impl DecidingEvent {
    fn into_result(self) -> Result<UpstreamResponse, Outcome> {
        match self {
            DecidingEvent::Ended(result) => result,
            DecidingEvent::Streaming(response) => Ok(response),
        }
    }
}

/// Waits for the first event that determines the result of an attempt. Unless that is a streaming response, the
/// exchange is not polled afterwards and is dropped in the same poll in which the report is queued. Its connection is
/// therefore closed before the engine sees the report, and no more of the request is sent. This relies on the
/// single-threaded runtime (`serve`).
async fn await_deciding_event(
    exchange: Pin<&mut impl Future<Output = Result<UpstreamResponse, Outcome>>>,
    stream_started: &mut oneshot::Receiver<UpstreamResponse>,
    cancelled: oneshot::Receiver<()>,
    timeout: impl Future<Output = ()>,
) -> DecidingEvent {
    let result = tokio::select! {
        biased;
        result = exchange => result,
        // From here on the client's reading rate determines the duration, so the attempt's deadline no longer applies.
        Ok(response) = &mut *stream_started => return DecidingEvent::Streaming(response),
        _ = cancelled => Err(Outcome::Cancelled),
        () = timeout => Err(Outcome::TimedOut),
    };
    // If a response began and ended in one poll, the received data is in the streaming body of the response that began.
    DecidingEvent::Ended(result.map(|response| stream_started.try_recv().unwrap_or(response)))
}

/// The contents of an attempt's report, derived from the result of its exchange.
struct Evaluation {
    outcome: Outcome,
    load_report: Vec<f64>,
    /// The response for the client, if the endpoint served the request.
    response: Option<ServedResponse>,
}

impl Evaluation {
    fn new(result: Result<UpstreamResponse, Outcome>, load_report_fields: &[LoadField]) -> Self {
        let response = match result {
            Ok(response) => response,
            Err(outcome) => {
                return Evaluation {
                    outcome,
                    load_report: Vec::new(),
                    response: None,
                }
            }
        };
        let outcome = classify(response.status, &response.headers);
        let load_report = load_report(&response.headers, load_report_fields);
        let content_type = response.headers.get(CONTENT_TYPE).cloned();
        let response = (outcome == Outcome::Success).then_some(ServedResponse {
            body: response.body,
            content_type,
        });
        Evaluation {
            outcome,
            load_report,
            response,
        }
    }
}
