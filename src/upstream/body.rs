//! How the body of an instance's answer is read: ahead, a piece at a time, or at a pace that the operators ask for.

#![expect(
    clippy::excessive_nesting,
    reason = "deep nesting is flattened as the module is reworked"
)]

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use applewall_slow_peer::socket::Pacer;
use applewall_slow_peer::{Holder, Incoming, Reason, Verdict};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::clock::Clock;
use crate::limits::MAX_BODY_BYTES;
use crate::server::streaming_body::Source;
use crate::upstream::connection::Watch;

/// An answer of unknown length is read ahead for so long: most are whole by then.
const AHEAD: Duration = Duration::from_millis(100);
/// An answer that is passed on may stand still for so long, on either side.
const STALLED: Duration = Duration::from_secs(20);
/// When an attempt is given up, and by when another one would have to end.
#[derive(Clone, Copy)]
pub(crate) struct Due {
    pub until: Instant,
    pub write_by: Option<Instant>,
    pub again: Option<Instant>,
}

/// What answers of instances are held to, where the operator's settings ask for that.
pub(crate) struct Pacing {
    pub pacer: Arc<Pacer>,
    pub clock: Clock,
}

impl Pacing {
    /// True while giving up is of use: another attempt fits, if the module wants one.
    fn may_give_up(&self, due: Due) -> bool {
        let room = self.pacer.settings().retry_room.0;
        due.again
            .is_some_and(|again| again.saturating_duration_since(Instant::now()) >= room)
    }

    fn note(&self, reason: Reason) {
        self.pacer.note(
            Holder {
                customer: None,
                peer: None,
            },
            reason,
        );
    }

    /// Ends once a head that has begun to come takes longer than the pause that is allowed inside an answer.
    pub(crate) async fn head_stalls(&self, watch: &Watch, due: Due) {
        watch.armed.store(true, Ordering::Relaxed);
        watch.began.notified().await;
        // In two halves: time in which the program stood still passes in one of them only.
        let half = self.pacer.settings().pause.0 / 2;
        tokio::time::sleep(half).await;
        tokio::time::sleep(half).await;
        if !self.may_give_up(due) {
            std::future::pending::<()>().await;
        }
        self.note(Reason::InStalled);
    }

    /// Reads a body ahead; none where it is spoilt, stalls or can't be whole in time.
    pub(crate) async fn collect(&self, body: &mut Answered, due: Due) -> Option<(Bytes, bool)> {
        let length = body.size_hint().exact();
        let (now, until) = (self.clock.now(), self.clock.nanos_at(due.until));
        let mut transfer = Incoming::new(self.pacer.settings(), now, until, length);
        let mut whole = BytesMut::with_capacity(length.unwrap_or(0) as usize);
        loop {
            let next = match transfer.verdict(self.clock.now()) {
                Verdict::Wait(next) => next,
                // Nothing is gained by giving up: it may yet come, until the attempt's own time is up.
                _ if !self.may_give_up(due) => u64::MAX,
                verdict => {
                    let stalled = verdict == Verdict::Stalled;
                    self.note(if stalled {
                        Reason::InStalled
                    } else {
                        Reason::InHopeless
                    });
                    return None;
                }
            };
            let frame = async {
                match next {
                    u64::MAX => Ok(body.frame().await),
                    next => {
                        tokio::time::timeout_at(self.clock.instant(next).into(), body.frame()).await
                    }
                }
            };
            match frame.await {
                Ok(None) => return Some((whole.freeze(), true)),
                Ok(Some(frame)) => {
                    if let Ok(data) = frame.ok()?.into_data() {
                        transfer.arrive(self.clock.now(), data.len() as u64);
                        whole.extend_from_slice(&data);
                        if whole.len() > MAX_BODY_BYTES {
                            return Some((whole.freeze(), false));
                        }
                    }
                }
                // Time for another look.
                Err(_) => {}
            }
        }
    }
}

/// The body of an instance's answer.
pub(crate) type Answered = hyper::body::Incoming;
/// Reads a body ahead: what came, and whether that is all. One that does not say how long it is may be one whose first
/// bytes count, so it is read ahead for a moment only.
pub(crate) async fn read_ahead(body: &mut Answered) -> Option<(Bytes, bool)> {
    let mut whole = BytesMut::new();
    let moment = match body.size_hint().exact() {
        Some(_) => Duration::MAX,
        None => AHEAD,
    };
    let moment = tokio::time::sleep(moment);
    tokio::pin!(moment);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut moment, if !whole.is_empty() => return Some((whole.freeze(), false)),
        };
        let Some(frame) = frame else {
            return Some((whole.freeze(), true));
        };
        if let Ok(data) = frame.ok()?.into_data() {
            // Most answers are one piece, and that is passed on as it is.
            if whole.is_empty() && body.is_end_stream() {
                return Some((data, true));
            }
            whole.extend_from_slice(&data);
            if whole.len() > MAX_BODY_BYTES {
                return Some((whole.freeze(), false));
            }
        }
    }
}

/// One piece, where the body can't be read ahead.
pub(crate) async fn first_piece(body: &mut Answered) -> Option<(Bytes, bool)> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            return Some((data, body.is_end_stream()));
        }
    }
    Some((Bytes::new(), true))
}

/// Passes the rest of a body on; false where one of the two sides gave up.
pub(crate) async fn pass_on(source: Source, first: Bytes, body: &mut Answered) -> bool {
    if source.pass(first).await.is_err() {
        return false;
    }
    loop {
        // Guards against an instance that goes silent in the middle, and a service client that no longer reads: each
        // would hold both connections for ever.
        let Ok(frame) = tokio::time::timeout(STALLED, body.frame()).await else {
            return false;
        };
        match frame {
            None => break,
            Some(Err(_)) => return false,
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                match tokio::time::timeout(STALLED, source.pass(data)).await {
                    Ok(Ok(())) => {}
                    _ => return false,
                }
            }
        }
    }
    source.end().await;
    true
}
