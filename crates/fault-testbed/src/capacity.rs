//! What a limit server can do, warm and cold: no sockets, no clock; times are seconds of the caller's.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::VecDeque;

/// What every limit server of a trial is like.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Requests in work at once.
    pub cores: usize,
    /// Requests in work or waiting; more are turned away.
    pub room: usize,
    /// Seconds of one core that a request takes, warm.
    pub work: f64,
    /// Seconds of one core that a new connection takes, warm.
    pub dial: f64,
    /// Connections that it holds; more are turned away.
    pub connections: usize,
    /// Share of its capacity at its start.
    pub cold_share: f64,
    /// Seconds until it is warm.
    pub cold_time: f64,
    /// Sent more than this multiple of what it can do,
    pub fall_multiple: f64,
    /// for so many seconds while it is cold, it falls over.
    pub fall_window: f64,
}

impl Model {
    /// Share of its capacity this long after its start.
    pub fn share(&self, age: f64) -> f64 {
        (self.cold_share + (1.0 - self.cold_share) * (age / self.cold_time).max(0.0)).min(1.0)
    }

    /// Requests a second that it can do this long after its start.
    pub fn bears(&self, age: f64) -> f64 {
        self.cores as f64 / self.work * self.share(age)
    }
}

/// One life of a limit server: what it was sent, and whether it still stands.
#[derive(Clone, Debug)]
pub struct Life {
    model: Model,
    /// When it started; long ago for one that is warm.
    pub started: f64,
    /// Arrivals of the last window, and their work in requests.
    lately: VecDeque<(f64, f64)>,
    fallen: bool,
    /// The most of what pushes it over that it ever got, while cold.
    pub worst: f64,
}

impl Life {
    /// One that starts now, or long ago.
    pub fn new(model: Model, started: f64) -> Self {
        Life {
            model,
            started,
            lately: VecDeque::new(),
            fallen: false,
            worst: 0.0,
        }
    }

    /// Work arrives, in requests; false where it has fallen over.
    pub fn arrive(&mut self, now: f64, requests: f64) -> bool {
        self.lately.push_back((now, requests));
        self.lately
            .retain(|(at, _)| now - at < self.model.fall_window);
        let age = now - self.started;
        if age < self.model.cold_time {
            // By what it can do on the mean of the window: as a budget, a burst right after the start counts too.
            let since = (age - self.model.fall_window).max(0.0);
            let bears = self.model.bears((since + age) / 2.0);
            let got: f64 = self.lately.iter().map(|(_, r)| r).sum();
            let part = got / (self.model.fall_multiple * bears * self.model.fall_window);
            self.worst = self.worst.max(part);
            self.fallen |= part > 1.0;
        }
        !self.fallen
    }

    /// Seconds that a request's work takes now on one core.
    pub fn takes(&self, now: f64) -> f64 {
        self.model.work / self.model.share(now - self.started)
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    /// What the crate's tests take limit servers for.
    pub(crate) const MODEL: Model = Model {
        cores: 2,
        room: 40,
        work: 0.08,
        dial: 0.002,
        connections: 200,
        cold_share: 0.19,
        cold_time: 15.0,
        fall_multiple: 2.5,
        fall_window: 3.0,
    };

    /// Whether a server that starts at 100 stands so many requests a second, from a second after that on.
    fn stands(rate: f64, from: f64) -> bool {
        let mut life = Life::new(MODEL, 100.0);
        (0..(10.0 * rate) as u32).all(|i| life.arrive(100.0 + from + f64::from(i) / rate, 1.0))
    }

    #[test]
    fn a_cold_server_stands_twice_what_it_can_do_and_no_five_times_that() {
        let bears = MODEL.bears(0.0);
        assert!((4.7..4.8).contains(&bears), "{bears}");
        assert!(stands(2.0 * bears, 0.0) && !stands(4.5 * bears, 0.0));
        // Ten seconds later it bears more, and warm it stands anything.
        assert!(stands(4.5 * bears, 10.0) && stands(100.0, 15.0));
        assert_eq!(MODEL.bears(20.0), 25.0);
        assert!(Life::new(MODEL, 0.0).takes(0.0) > 5.0 * Life::new(MODEL, 0.0).takes(15.0));
    }
}
