//! A transfer on its way in: an answer of an instance, or the body of a command.
//!
//! Two ways to be given up. It *stalls*: nothing came for the pause that is allowed inside one. It *trickles*: by
//! the rate at which it came lately, several times that would not bring the rest in the time left. The rate is taken
//! over the last few arrivals, however long these took, so a transfer that pauses and goes on by bursts is judged by
//! its bursts, and one that has sent a piece and pauses is not judged by its rate at all. Where the length is not known
//! (chunked), nothing is forecast: only a stall ends it early.

#![cfg_attr(
    test,
    expect(
        clippy::min_ident_chars,
        reason = "short names are spelled out as the module is reworked"
    )
)]

use crate::fair::StallCompensatedClock;
use crate::settings::Settings;

/// Arrivals over which the rate is taken.
const ARRIVALS: usize = 4;
/// What comes this close to the last bytes belongs to the same arrival: one burst is read in many pieces.
const SAME: u64 = 10_000_000;
/// A look may be this late before the program counts as having stood still.
const SLACK: u64 = 30_000_000;
/// After that, what lies in the kernel gets this long to be read before the transfer is judged.
const AGAIN: u64 = 50_000_000;

/// What is to be done with a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncomingStatus {
    /// Go on; look again at this time unless something comes before.
    CheckAgainAt(u64),
    /// Nothing came for longer than the pause that is allowed.
    Stalled,
    /// It cannot be whole in the time left.
    TooSlow,
}

/// One transfer. All times are nanoseconds of one clock.
#[derive(Clone, Debug)]
pub struct IncomingTransfer {
    total: Option<u64>,
    until: u64,
    bytes_so_far: u64,
    /// When the last arrivals ended, and the bytes there were by then; a ring.
    arrivals: [(u64, u64); ARRIVALS + 1],
    seen: usize,
    started: u64,
    pause: u64,
    after: u64,
    slack: f64,
    clock: StallCompensatedClock,
    /// What the fair clock is behind the real one.
    behind: u64,
}

impl IncomingTransfer {
    /// Begins now and has to be whole by `until`; `total` is its length in bytes where that is known.
    pub fn new(settings: &Settings, now: u64, until: u64, total: Option<u64>) -> Self {
        IncomingTransfer {
            total,
            until,
            bytes_so_far: 0,
            arrivals: [(now, 0); ARRIVALS + 1],
            seen: 0,
            started: now,
            pause: settings.pause.as_nanos(),
            after: settings.forecast_after.as_nanos(),
            slack: settings.forecast_slack,
            clock: StallCompensatedClock::new(now.saturating_add(settings.pause.as_nanos()), SLACK),
            behind: 0,
        }
    }

    /// So many bytes came.
    pub fn bytes_received(&mut self, now: u64, bytes: u64) {
        if bytes == 0 {
            return;
        }
        let now = self.clock.now(now);
        self.bytes_so_far = self.bytes_so_far.saturating_add(bytes);
        let last = &mut self.arrivals[self.seen % (ARRIVALS + 1)];
        // The beginning, with no bytes, is no arrival that later ones could belong to.
        if self.seen > 0 && now.saturating_sub(last.0) < SAME {
            last.1 = self.bytes_so_far;
            return;
        }
        self.seen += 1;
        self.arrivals[self.seen % (ARRIVALS + 1)] = (now, self.bytes_so_far);
    }

    /// What is to be done at `now`. Where this look comes long after the one that was agreed on, the program stood
    /// still, and nobody is judged by that time.
    pub fn evaluate(&mut self, now: u64) -> IncomingStatus {
        let fair = self.clock.now(now);
        let verdict = self.judge(fair, self.until.saturating_sub(now));
        let next = match verdict {
            IncomingStatus::CheckAgainAt(next) => next.saturating_add(self.behind).max(now + 1),
            _ => now.saturating_add(AGAIN),
        };
        let late = self.clock.tick(now, next);
        self.behind += late;
        match verdict {
            IncomingStatus::CheckAgainAt(_) => IncomingStatus::CheckAgainAt(next),
            _ if late > 0 => IncomingStatus::CheckAgainAt(next),
            verdict => verdict,
        }
    }

    fn judge(&self, now: u64, left: u64) -> IncomingStatus {
        let (last, _) = self.arrivals[self.seen % (ARRIVALS + 1)];
        let whole = self.total.is_some_and(|total| self.bytes_so_far >= total);
        if !whole && now.saturating_sub(last) >= self.pause {
            return IncomingStatus::Stalled;
        }
        if !whole && self.hopeless(now, left) {
            return IncomingStatus::TooSlow;
        }
        IncomingStatus::CheckAgainAt(last.saturating_add(self.pause))
    }

    fn hopeless(&self, now: u64, left: u64) -> bool {
        let Some(total) = self.total else {
            return false;
        };
        if self.seen < ARRIVALS || now.saturating_sub(self.started) < self.after {
            return false;
        }
        let (since, before) = self.arrivals[(self.seen + 1) % (ARRIVALS + 1)];
        let rate = (self.bytes_so_far - before) as f64 / now.saturating_sub(since).max(1) as f64;
        (total - self.bytes_so_far) as f64 > rate * left as f64 * self.slack
    }

    /// Bytes so far.
    pub fn bytes_so_far(&self) -> u64 {
        self.bytes_so_far
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: u64 = 1_000_000;

    /// Plays arrivals of (ms, bytes) with the time left to it; when it was given up, and how.
    fn play(
        total: Option<u64>,
        until: u64,
        arrivals: &[(u64, u64)],
    ) -> Option<(u64, IncomingStatus)> {
        let mut incoming = IncomingTransfer::new(&Settings::default(), 0, until * MS, total);
        let mut next = arrivals.iter().peekable();
        for ms in 0..until {
            while let Some((_, bytes)) = next.next_if(|(at, _)| *at == ms) {
                incoming.bytes_received(ms * MS, *bytes);
            }
            if total.is_some_and(|t| incoming.bytes_so_far() >= t)
                || total.is_none() && next.peek().is_none()
            {
                return None;
            }
            match incoming.evaluate(ms * MS) {
                IncomingStatus::CheckAgainAt(next) => assert!(next > ms * MS),
                verdict => return Some((ms, verdict)),
            }
        }
        None
    }

    fn every(step: u64, bytes: u64) -> Vec<(u64, u64)> {
        (0..200).map(|i| (i * step, bytes)).collect()
    }

    #[test]
    fn a_trickle_is_given_up_within_a_few_arrivals() {
        let (ms, verdict) = play(Some(60_000), 1_500, &every(50, 1)).unwrap();
        assert!(
            verdict == IncomingStatus::TooSlow && ms <= 200,
            "{ms} {verdict:?}"
        );
        // Also a very slow one, whose silences are shorter than the pause that is allowed.
        let (ms, verdict) = play(Some(60_000), 3_000, &every(390, 1)).unwrap();
        assert!(
            verdict == IncomingStatus::TooSlow && ms <= 1_600,
            "{ms} {verdict:?}"
        );
        // And one that begins with a good part of it.
        let mut late = every(50, 1);
        late[0].1 = 40_000;
        assert_eq!(
            play(Some(60_000), 1_500, &late).map(|(_, v)| v),
            Some(IncomingStatus::TooSlow)
        );
    }

    #[test]
    fn a_head_and_then_nothing_and_a_stall_at_the_last_byte_end_with_the_pause() {
        assert_eq!(
            play(Some(60_000), 1_500, &[]),
            Some((400, IncomingStatus::Stalled))
        );
        assert_eq!(
            play(Some(60_000), 1_500, &[(20, 59_999)]),
            Some((420, IncomingStatus::Stalled))
        );
        assert_eq!(
            play(None, 1_500, &[(20, 59_999), (1_499, 1)]),
            Some((420, IncomingStatus::Stalled))
        );
    }

    #[test]
    fn a_program_that_stood_still_does_not_take_anybody_for_slow() {
        let mut incoming = IncomingTransfer::new(&Settings::default(), 0, 5_000 * MS, Some(60_000));
        incoming.bytes_received(10 * MS, 100);
        assert_eq!(
            incoming.evaluate(10 * MS),
            IncomingStatus::CheckAgainAt(410 * MS)
        );
        // Two seconds in which nothing ran: what came meanwhile gets its time to be read.
        assert_eq!(
            incoming.evaluate(2_000 * MS),
            IncomingStatus::CheckAgainAt(2_050 * MS)
        );
        let mut read = incoming.clone();
        read.bytes_received(2_020 * MS, 30_000);
        assert!(matches!(
            read.evaluate(2_050 * MS),
            IncomingStatus::CheckAgainAt(_)
        ));
        // Nothing came: it does stall.
        assert_eq!(incoming.evaluate(2_050 * MS), IncomingStatus::Stalled);
    }

    #[test]
    fn bursts_after_pauses_and_unknown_lengths_are_not_cut() {
        // A piece at once, a pause, and then the rest.
        assert_eq!(play(Some(60_000), 1_500, &[(0, 100), (390, 59_900)]), None);
        // Many bursts with pauses between.
        let bursts = [
            (0, 9_000),
            (350, 9_000),
            (700, 9_000),
            (1_050, 9_000),
            (1_300, 24_000),
        ];
        assert_eq!(play(Some(60_000), 3_000, &bursts), None);
        // A burst that is read in many pieces counts as one arrival.
        let pieces: Vec<_> = (0..20)
            .map(|i| (i / 4, 50))
            .chain([(380, 59_000)])
            .collect();
        assert_eq!(play(Some(60_000), 1_500, &pieces), None);
        // Nobody knows how much is left of these.
        assert_eq!(play(None, 1_500, &every(50, 1)[..20]), None);
        // Slow, but whole in time.
        assert_eq!(play(Some(60_000), 1_500, &every(10, 500)), None);
    }
}
