//! Slow-peer protection for endpoints' responses: abandons a response that stalls or is too slow, provided that there
//! is time for a retry.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

use applewall_slow_peer::socket::TransferMonitor;
use applewall_slow_peer::{IncomingStatus, IncomingTransfer, ResourceOwner, SlowPeerEvent};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};

use super::body::{Prefetched, UpstreamBody};
use super::connection::ConnectionWatch;
use super::deadlines::AttemptDeadlines;
use crate::clock::Clock;
use crate::resources::limits::MAX_BODY_BYTES;

/// Enforces a minimum data rate and a maximum pause for the responses of endpoints.
pub(super) struct ResponseMonitor {
    /// Provides the current settings and counts events.
    pub monitor: Arc<TransferMonitor>,
    /// The clock on which [`IncomingTransfer`] measures data rates and pauses.
    pub clock: Clock,
}

impl ResponseMonitor {
    /// True while there is time for a retry, should the policy decide on one. Otherwise nothing is gained by abandoning
    /// the response.
    fn leaves_time_to_retry(&self, deadlines: AttemptDeadlines) -> bool {
        let min_time_left = self.monitor.settings().retry_room.0;
        let time_left = deadlines
            .last_response_by
            .saturating_duration_since(Instant::now());
        deadlines.allows_retry && time_left >= min_time_left
    }

    fn record(&self, event: SlowPeerEvent) {
        let unknown_owner = ResourceOwner {
            customer: None,
            peer_network: None,
        };
        self.monitor.record(unknown_owner, event);
    }

    /// Completes when a response head has begun to arrive and then takes longer than the maximum pause in a response.
    /// Never completes if there is no time for a retry.
    pub(super) async fn wait_for_stalled_head(
        &self,
        watch: &ConnectionWatch,
        deadlines: AttemptDeadlines,
    ) {
        watch.notify_on_read.store(true, Ordering::Relaxed);
        watch.response_began.notified().await;
        // Two sleeps of half the pause each: a stall of this process consumes at most one of them.
        let half = self.monitor.settings().pause.0 / 2;
        tokio::time::sleep(half).await;
        tokio::time::sleep(half).await;
        if !self.leaves_time_to_retry(deadlines) {
            std::future::pending::<()>().await;
        }
        self.record(SlowPeerEvent::UpstreamResponseStalled);
    }

    /// Prefetches a body; `None` if it is malformed, stalls or cannot be complete in time.
    pub(super) async fn prefetch(
        &self,
        body: &mut UpstreamBody,
        deadlines: AttemptDeadlines,
    ) -> Option<Prefetched> {
        let length = body.size_hint().exact();
        let (now, complete_by) = (self.clock.now(), self.clock.nanos_at(deadlines.response_by));
        let mut transfer = IncomingTransfer::new(self.monitor.settings(), now, complete_by, length);
        let mut received = BytesMut::with_capacity(length.unwrap_or(0) as usize);
        loop {
            let check_at = match transfer.evaluate(self.clock.now()) {
                IncomingStatus::CheckAgainAt(next) => (next != u64::MAX).then_some(next),
                // Without a retry, waiting is better: the rest may still arrive before the attempt times out.
                _ if !self.leaves_time_to_retry(deadlines) => None,
                IncomingStatus::Stalled => {
                    self.record(SlowPeerEvent::UpstreamResponseStalled);
                    return None;
                }
                _ => {
                    self.record(SlowPeerEvent::UpstreamResponseTooSlow);
                    return None;
                }
            };
            match self.next_frame(body, check_at).await {
                NextFrame::End => return Some(Prefetched::complete(received.freeze())),
                NextFrame::Frame(frame) => {
                    let Ok(data) = frame.ok()?.into_data() else {
                        continue;
                    };
                    transfer.bytes_received(self.clock.now(), data.len() as u64);
                    received.extend_from_slice(&data);
                    if received.len() > MAX_BODY_BYTES {
                        return Some(Prefetched::partial(received.freeze()));
                    }
                }
                NextFrame::CheckDue => {}
            }
        }
    }

    /// Waits for the next frame of a body or until the transfer has to be checked.
    async fn next_frame(&self, body: &mut UpstreamBody, check_at: Option<u64>) -> NextFrame {
        let frame = match check_at {
            None => Ok(body.frame().await),
            Some(at) => tokio::time::timeout_at(self.clock.instant(at).into(), body.frame()).await,
        };
        match frame {
            Ok(None) => NextFrame::End,
            Ok(Some(frame)) => NextFrame::Frame(frame),
            Err(_) => NextFrame::CheckDue,
        }
    }
}

/// The result of waiting for a frame.
enum NextFrame {
    End,
    Frame(hyper::Result<Frame<Bytes>>),
    /// The transfer has to be checked before waiting further.
    CheckDue,
}
