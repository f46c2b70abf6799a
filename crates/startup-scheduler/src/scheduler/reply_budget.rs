//! A token bucket that limits the rate of replies to status queries.

use applewall_node_types::Timestamp;

/// Maximum replies per second, and maximum burst: an eighth of the 40 datagrams per second that a node accepts, so that
/// replies never crowd out other messages.
const MAX_REPLIES_PER_SECOND: f64 = 5.0;

/// Token bucket for replies.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyBudget {
    tokens: f64,
    refilled_at: Timestamp,
}

impl ReplyBudget {
    /// Creates a full bucket.
    pub(super) fn new(now: Timestamp) -> Self {
        ReplyBudget {
            tokens: MAX_REPLIES_PER_SECOND,
            refilled_at: now,
        }
    }

    /// Takes a token if one is available, and returns whether it did.
    pub(super) fn try_take(&mut self, now: Timestamp) -> bool {
        let refill = (now - self.refilled_at).as_seconds() * MAX_REPLIES_PER_SECOND;
        let tokens = (self.tokens + refill).min(MAX_REPLIES_PER_SECOND);
        let is_available = tokens >= 1.0;
        self.tokens = tokens - f64::from(u8::from(is_available));
        self.refilled_at = now;
        is_available
    }
}
