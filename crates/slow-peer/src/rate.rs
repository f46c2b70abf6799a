//! A rate over a sliding window.

/// Parts of the window; bytes age out a part at a time.
const SLOTS: usize = 8;

/// Bytes moved within the last window, in constant space.
///
/// What is counted spans the whole window and up to an eighth more, and is held against the window alone: the rate is
/// never told too low, so nobody who keeps a rate is ever found below it.
#[derive(Clone, Debug)]
pub struct RateWindow {
    slot: u64,
    newest: u64,
    bytes: [u64; SLOTS + 1],
}

impl RateWindow {
    /// An empty window of so many nanoseconds; the first bytes come no earlier than `now`.
    pub fn new(now: u64, window: u64) -> Self {
        let slot = (window / SLOTS as u64).max(1);
        RateWindow {
            slot,
            newest: now / slot,
            bytes: [0; SLOTS + 1],
        }
    }

    fn advance(&mut self, now: u64) {
        let newest = now / self.slot;
        let passed = newest.saturating_sub(self.newest).min(SLOTS as u64 + 1);
        for i in 1..=passed {
            self.bytes[((newest - passed + i) % (SLOTS as u64 + 1)) as usize] = 0;
        }
        self.newest = newest.max(self.newest);
    }

    /// So many bytes moved.
    pub fn add(&mut self, now: u64, bytes: u64) {
        self.advance(now);
        self.bytes[(self.newest % (SLOTS as u64 + 1)) as usize] += bytes;
    }

    /// Bytes a second of a transfer of this age in nanoseconds; a younger one than the window is held to its age.
    pub fn rate(&mut self, now: u64, age: u64) -> f64 {
        self.advance(now);
        let moved: u64 = self.bytes.iter().sum();
        let span = age.min(self.slot * SLOTS as u64).max(1);
        moved as f64 * 1e9 / span as f64
    }
}
