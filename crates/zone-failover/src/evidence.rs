//! What an ingress itself sees of a zone.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

/// What became of an attempt, as far as its zone goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Saw {
    /// Answered in time.
    Good,
    /// Answered late, or with a failure: it lives, and is no use.
    Failing,
    /// Not connected, reset, or overdue by far: nothing came.
    Dead,
}

/// Sums over what was seen. Each instance counts once an interval at the most: one bad instance is no bad zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sums {
    /// Answered in time.
    pub good: f64,
    /// Late or failed.
    pub failing: f64,
    /// Nothing came.
    pub dead: f64,
}

impl Sums {
    /// All of them.
    pub fn all(&self) -> f64 {
        self.good + self.failing + self.dead
    }

    /// Share of what is no use.
    pub fn bad(&self) -> f64 {
        (self.failing + self.dead) / self.all().max(1e-9)
    }

    /// Scaled.
    pub fn times(self, part: f64) -> Sums {
        Sums {
            good: self.good * part,
            failing: self.failing * part,
            dead: self.dead * part,
        }
    }

    /// Added up.
    pub fn plus(self, other: Sums) -> Sums {
        Sums {
            good: self.good + other.good,
            failing: self.failing + other.failing,
            dead: self.dead + other.dead,
        }
    }

    /// At most so many in all: one that sees much, or says so, has one voice.
    pub fn most(self, all: f64) -> Sums {
        self.times((all / self.all().max(1e-9)).min(1.0))
    }

    /// Books one.
    pub fn add(&mut self, saw: Saw) {
        *match saw {
            Saw::Good => &mut self.good,
            Saw::Failing => &mut self.failing,
            Saw::Dead => &mut self.dead,
        } += 1.0;
    }
}

/// What an ingress saw of one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    /// Instances seen in this interval, each with what was worst.
    now: Vec<(u32, Saw)>,
    /// Of the last second, as peers are told.
    pub fresh: Sums,
    /// Of the last seconds.
    pub own: Sums,
}

/// Instances of a zone that one interval counts apart at most: bounds memory against a list gone wild.
const INSTANCES: usize = 4096;

impl Held {
    /// An attempt ended.
    pub(crate) fn saw(&mut self, instance: u32, saw: Saw) {
        let worse = |a: Saw, b: Saw| if a as u8 >= b as u8 { a } else { b };
        if let Some((_, known)) = self.now.iter_mut().find(|(i, _)| *i == instance) {
            *known = worse(*known, saw);
        } else if self.now.len() < INSTANCES {
            self.now.push((instance, saw));
        }
    }

    /// An interval ends: what was seen in it is booked, and what is older fades. `kept`: of what is fresh, and of the rest.
    pub(crate) fn interval(&mut self, kept: (f64, f64)) {
        (self.fresh, self.own) = (self.fresh.times(kept.0), self.own.times(kept.1));
        for (_, saw) in std::mem::take(&mut self.now) {
            self.fresh.add(saw);
            self.own.add(saw);
        }
    }
}
