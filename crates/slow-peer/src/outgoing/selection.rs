//! Selection of connections to abort: those below the minimum data rate, and the worst ones when resources have to be freed.

use super::transfer::OutgoingTransfer;
use super::{Abort, AbortReason, ConnectionId, OutgoingTransfers, ResourceNeed};

/// A connection that may be aborted to free resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Product of unsent bytes and age; candidates are ordered by it.
    byte_nanoseconds: u128,
    id: ConnectionId,
    unsent_bytes: u64,
}

impl OutgoingTransfers {
    /// Aborts the connections below the minimum data rate. `used_slots` is the fraction of connection slots in use, which
    /// raises the minimum data rate.
    pub fn abort_below_minimum_rate(&mut self, now_ns: u64, used_slots: f64) -> Vec<Abort> {
        let pressure = used_slots.max(self.unsent_bytes.used_fraction());
        self.minimum_rate.set_pressure(pressure);
        let minimum = self.minimum_rate.current();
        let grace_period_ns = self.grace_period_ns;
        let too_slow = |(id, transfer): (&ConnectionId, &mut OutgoingTransfer)| {
            let age_ns = transfer.age_ns(now_ns);
            let rate = transfer.rate.rate(now_ns, age_ns);
            let reason = if rate > 0.0 {
                AbortReason::BelowMinimumRate
            } else {
                AbortReason::Stalled
            };
            let is_too_slow = age_ns >= grace_period_ns && transfer.may_abort() && rate < minimum;
            is_too_slow.then_some((*id, reason))
        };
        let too_slow: Vec<_> = self.transfers.iter_mut().filter_map(too_slow).collect();
        too_slow
            .into_iter()
            .filter_map(|(id, reason)| self.abort(now_ns, id, reason))
            .collect()
    }

    /// Frees resources by aborting the connections with the largest product of unsent bytes and age, as many as are needed.
    ///
    /// Only connections that are stalled, or whose rate over the short window is below the minimum data rate of full
    /// pressure, are aborted. None is aborted if all of these together would not free enough.
    pub fn abort_for_resources(&mut self, now_ns: u64, need: ResourceNeed) -> Vec<Abort> {
        let needed = match need {
            ResourceNeed::ConnectionSlot => 1,
            ResourceNeed::Bytes {
                owner,
                limit,
                bytes,
            } => bytes.saturating_sub(self.unsent_bytes.available(owner, limit)),
        };
        let mut freed = 0;
        let mut selected = Vec::new();
        for candidate in self.candidates_worst_first(now_ns, need) {
            if freed >= needed {
                break;
            }
            freed += match need {
                ResourceNeed::ConnectionSlot => 1,
                ResourceNeed::Bytes { .. } => candidate.unsent_bytes,
            };
            selected.push(candidate.id);
        }
        if freed < needed {
            return Vec::new();
        }
        selected
            .into_iter()
            .filter_map(|id| self.abort(now_ns, id, AbortReason::ResourcesNeeded))
            .collect()
    }

    /// The connections that may be aborted to meet a need, those with the largest product of unsent bytes and age first.
    fn candidates_worst_first(&mut self, now_ns: u64, need: ResourceNeed) -> Vec<Candidate> {
        let minimum = self.minimum_rate.at_full_pressure();
        let grace_period_ns = self.rate_windows.short_window_ns;
        let candidate = |(id, transfer): (&ConnectionId, &mut OutgoingTransfer)| {
            let age_ns = transfer.age_ns(now_ns);
            let is_slow = transfer.is_stalled(now_ns)
                || age_ns >= grace_period_ns && transfer.short_rate.rate(now_ns, age_ns) < minimum;
            let is_candidate = is_slow && transfer.may_abort() && need.concerns(transfer.owner);
            is_candidate.then(|| Candidate {
                byte_nanoseconds: u128::from(transfer.unsent_bytes) * u128::from(age_ns),
                id: *id,
                unsent_bytes: transfer.unsent_bytes,
            })
        };
        let mut candidates: Vec<_> = self.transfers.iter_mut().filter_map(candidate).collect();
        candidates.sort_unstable_by(|one, other| other.cmp(one));
        candidates
    }

    /// Removes a transfer, and releases its bytes.
    fn abort(&mut self, now_ns: u64, id: ConnectionId, reason: AbortReason) -> Option<Abort> {
        let transfer = self.transfers.remove(&id)?;
        self.unsent_bytes
            .release(transfer.owner, transfer.unsent_bytes);
        Some(Abort {
            id,
            owner: transfer.owner,
            reason,
            unsent_bytes: transfer.unsent_bytes,
            age_ns: transfer.age_ns(now_ns),
        })
    }
}
