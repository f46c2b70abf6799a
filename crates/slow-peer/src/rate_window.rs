//! A data rate over a sliding window.

/// Number of slots that the window is divided into. Bytes leave the window one slot at a time.
const SLOTS: usize = 8;
/// Slots that are stored: those of the window, and the current one, which is still being filled.
const STORED_SLOTS: u64 = SLOTS as u64 + 1;
const NANOS_PER_SECOND: f64 = 1e9;

/// The bytes that were transferred within a sliding window, in constant space.
///
/// The stored slots span the window and up to an eighth more, but their bytes are divided by the length of the window alone.
/// The computed rate may therefore be too high but is never too low: a transfer that keeps a minimum rate is never found
/// below it.
#[derive(Clone, Debug)]
pub struct RateWindow {
    slot_ns: u64,
    newest_slot: u64,
    bytes: [u64; SLOTS + 1],
}

impl RateWindow {
    /// Creates an empty window that starts at `now_ns`.
    pub fn new(now_ns: u64, window_ns: u64) -> Self {
        let slot_ns = (window_ns / SLOTS as u64).max(1);
        RateWindow {
            slot_ns,
            newest_slot: now_ns / slot_ns,
            bytes: [0; SLOTS + 1],
        }
    }

    fn slot_mut(&mut self, slot: u64) -> &mut u64 {
        &mut self.bytes[(slot % STORED_SLOTS) as usize]
    }

    /// Clears the slots that began since the last call.
    fn advance(&mut self, now_ns: u64) {
        let newest = now_ns / self.slot_ns;
        let passed = newest.saturating_sub(self.newest_slot).min(STORED_SLOTS);
        for index in 1..=passed {
            *self.slot_mut(newest - passed + index) = 0;
        }
        self.newest_slot = newest.max(self.newest_slot);
    }

    /// Adds bytes that were transferred at `now_ns`.
    pub fn add(&mut self, now_ns: u64, bytes: u64) {
        self.advance(now_ns);
        *self.slot_mut(self.newest_slot) += bytes;
    }

    /// Returns the rate in bytes per second over the window, or over the age of the transfer if that is shorter.
    pub fn rate(&mut self, now_ns: u64, age_ns: u64) -> f64 {
        self.advance(now_ns);
        let bytes: u64 = self.bytes.iter().sum();
        let span_ns = age_ns.min(self.slot_ns * SLOTS as u64).max(1);
        bytes as f64 * NANOS_PER_SECOND / span_ns as f64
    }
}
