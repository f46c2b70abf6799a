//! The course of a watch, as a state machine: what to do next, from what happened.
//!
//! One at a time: connect, read the whole list once (or resume from where the last watch got to), watch from the next
//! revision, and prove at every `probe` that the watch lives. A watch that says nothing is found by a proof that does
//! not come back within `patience`, without reading the list: the registry answers a progress request from memory.
//!
//! A fleet must not stampede a registry that comes back. Only a compaction, or a registry that began anew, calls for
//! a full read; all others resume, which costs the registry what changed. Waits before a reconnect are drawn evenly up
//! to a bound that doubles ("full jitter", Brooker 2015), and a full read after a compaction waits for a draw of its
//! own, since a compaction hits every ingress in the same moment; the very first read of a life does not wait.

#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Times of the course, in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// Between proofs that the watch lives.
    pub progress_interval_ns: u64,
    /// How long an answer may take.
    pub response_timeout_ns: u64,
    /// The first bound on the wait before a reconnect, and the last one.
    pub backoff_ns: (u64, u64),
    /// The bound on the wait before a full read that many need at once.
    pub full_read_jitter_ns: u64,
}

/// Why a connection is given up, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// It broke, or never came up.
    ConnectionLost,
    /// Nothing came back in time.
    TimedOut,
    /// The registry said something that does not follow.
    Inconsistent,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchInput {
    /// The connection is up.
    Connected,
    /// The whole list was read, at this revision of this cluster.
    ListRead {
        /// The cluster.
        cluster: u64,
        /// The revision.
        revision: u64,
    },
    /// The watch was accepted.
    WatchCreated,
    /// The watch told something up to a revision: news, or a proof that there are none.
    Progress {
        /// The cluster.
        cluster: u64,
        /// Up to which all is told.
        revision: u64,
    },
    /// A part of an answer that is split came; the rest is on its way.
    Fragment,
    /// The revision to resume from is compacted.
    Compacted,
    /// The connection broke.
    ConnectionLost,
    /// Time passed; comes when [`WatchMachine::due`] says so, or at any time.
    Tick,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEffect {
    /// Drop what there is and connect to the endpoint of this number, counted round.
    Connect {
        /// The endpoint.
        endpoint: usize,
    },
    /// Read the whole list.
    ReadList,
    /// Watch from this revision on.
    Watch {
        /// The first revision that is wanted.
        from: u64,
    },
    /// Ask for a proof that the watch lives.
    RequestProgress,
    /// Drop the connection; another one follows.
    Disconnect {
        /// Why.
        reason: DisconnectReason,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Not before this time.
    Waiting(u64),
    Connecting(u64),
    /// Connected; the read waits for its turn.
    Turn(u64),
    Reading(u64),
    /// The watch is asked for.
    Asking(u64),
    /// It lives; the next proof is asked for at this time.
    Live(u64),
    /// A proof was asked for, and has to come by this time.
    Probed(u64),
}

/// One registry's watch.
#[derive(Debug)]
pub struct WatchMachine {
    pace: WatchTiming,
    stage: Stage,
    endpoint: usize,
    /// Cluster and revision up to which all is known.
    position: Option<(u64, u64)>,
    /// The next read is one of many.
    spread: bool,
    bound: u64,
    /// When the watch lived last.
    lived: Option<u64>,
    /// Answers in a row whose revision lies before what is known.
    behind: u32,
    rng: SmallRng,
}

/// For so long after a watch lived, tries to get it back stay close together: a drain that is written meanwhile has
/// its budget running. Later that is spent, and the registry is spared.
const HURRY: u64 = 400_000_000;
/// So many answers in a row from before what is known are a registry that went back (restored from a copy), and no
/// member that lags for a moment.
const BEHIND: u32 = 3;
/// A whole list may take so many times the patience of other answers.
const LIST: u64 = 10;
/// Times the first bound on a wait, while there is hurry.
const HURRIED: u64 = 2;

impl WatchMachine {
    /// Begins at once, at the endpoint that its seed draws: a fleet starts evenly. `position` is where an earlier life
    /// got to, if a snapshot tells it.
    pub fn new(pace: WatchTiming, seed: u64, position: Option<(u64, u64)>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let endpoint = rng.random_range(0..1 << 16);
        WatchMachine {
            pace,
            stage: Stage::Waiting(0),
            endpoint,
            position,
            spread: false,
            bound: pace.backoff_ns.0,
            lived: None,
            behind: 0,
            rng,
        }
    }

    /// When a [`WatchInput::Tick`] is due, if nothing happens before.
    pub fn next_deadline(&self) -> u64 {
        match self.stage {
            Stage::Waiting(at)
            | Stage::Connecting(at)
            | Stage::Turn(at)
            | Stage::Reading(at)
            | Stage::Asking(at)
            | Stage::Live(at)
            | Stage::Probed(at) => at,
        }
    }

    /// True while a watch lives, as far as is known.
    pub fn is_live(&self) -> bool {
        matches!(self.stage, Stage::Live(_) | Stage::Probed(_))
    }

    /// Something happened; what to do about it, in order.
    pub fn handle(&mut self, now: u64, event: WatchInput) -> Vec<WatchEffect> {
        let late = now.saturating_add(self.pace.response_timeout_ns);
        match (event, self.stage) {
            (WatchInput::Tick, Stage::Waiting(at)) if now >= at => {
                self.stage = Stage::Connecting(late);
                vec![WatchEffect::Connect {
                    endpoint: self.endpoint,
                }]
            }
            (WatchInput::Tick, Stage::Turn(at)) if now >= at => self.reading(now),
            (WatchInput::Tick, Stage::Live(at)) if now >= at => {
                self.stage = Stage::Probed(late);
                vec![WatchEffect::RequestProgress]
            }
            (
                WatchInput::Tick,
                Stage::Connecting(at) | Stage::Reading(at) | Stage::Asking(at) | Stage::Probed(at),
            ) if now >= at => self.drop(now, DisconnectReason::TimedOut),
            (WatchInput::Tick, _) => Vec::new(),
            (WatchInput::Connected, Stage::Connecting(_)) => match self.position {
                Some((_, revision)) => self.watch(now, revision),
                None => self.read(now),
            },
            (WatchInput::ListRead { cluster, revision }, Stage::Reading(_)) => {
                self.position = Some((cluster, revision));
                self.watch(now, revision)
            }
            (WatchInput::WatchCreated, Stage::Asking(_)) => {
                // Proven by the acceptance; the bound on waits falls back once a watch lives.
                self.bound = self.pace.backoff_ns.0;
                self.lived = Some(now);
                self.stage = Stage::Live(now.saturating_add(self.pace.progress_interval_ns));
                Vec::new()
            }
            (WatchInput::Progress { cluster, revision }, Stage::Live(_) | Stage::Probed(_)) => {
                match self.position {
                    Some((held, before)) if held == cluster => {
                        self.behind = if revision < before {
                            self.behind + 1
                        } else {
                            0
                        };
                        if self.behind >= BEHIND {
                            return self.anew(now);
                        }
                        self.lived = Some(now);
                        self.position = Some((cluster, revision.max(before)));
                        self.stage =
                            Stage::Live(now.saturating_add(self.pace.progress_interval_ns));
                        Vec::new()
                    }
                    // Behind one address stands another cluster now.
                    _ => self.anew(now),
                }
            }
            (WatchInput::Fragment, Stage::Live(_) | Stage::Probed(_)) => {
                self.stage = Stage::Probed(late);
                Vec::new()
            }
            (WatchInput::Compacted, Stage::Asking(_) | Stage::Live(_) | Stage::Probed(_)) => {
                // Everybody's was, in the same moment.
                (self.position, self.spread) = (None, true);
                self.read(now)
            }
            (WatchInput::ConnectionLost, Stage::Waiting(_)) => Vec::new(),
            (WatchInput::ConnectionLost, _) => self.drop(now, DisconnectReason::ConnectionLost),
            // Late news of something that was given up, or of nothing that was asked for.
            (
                WatchInput::Progress { .. }
                | WatchInput::Fragment
                | WatchInput::Compacted
                | WatchInput::WatchCreated,
                Stage::Waiting(_),
            ) => Vec::new(),
            _ => self.drop(now, DisconnectReason::Inconsistent),
        }
    }

    /// The list that is held turned out to be of no use: it is read anew.
    pub fn invalidate(&mut self, now: u64) -> Vec<WatchEffect> {
        self.anew(now)
    }

    fn anew(&mut self, now: u64) -> Vec<WatchEffect> {
        (self.position, self.behind) = (None, 0);
        self.spread = true;
        self.drop(now, DisconnectReason::Inconsistent)
    }

    fn read(&mut self, now: u64) -> Vec<WatchEffect> {
        if std::mem::take(&mut self.spread) {
            let wait = self.rng.random_range(0..=self.pace.full_read_jitter_ns);
            self.stage = Stage::Turn(now.saturating_add(wait));
            return Vec::new();
        }
        self.reading(now)
    }

    fn reading(&mut self, now: u64) -> Vec<WatchEffect> {
        self.stage =
            Stage::Reading(now.saturating_add(self.pace.response_timeout_ns.saturating_mul(LIST)));
        vec![WatchEffect::ReadList]
    }

    fn watch(&mut self, now: u64, revision: u64) -> Vec<WatchEffect> {
        self.stage = Stage::Asking(now.saturating_add(self.pace.response_timeout_ns));
        vec![WatchEffect::Watch {
            from: revision.saturating_add(1),
        }]
    }

    fn drop(&mut self, now: u64, reason: DisconnectReason) -> Vec<WatchEffect> {
        // A watch that lived and went silent or broke is taken up elsewhere at once: the budget for a drain runs.
        let hurry = self
            .lived
            .is_some_and(|lived| now.saturating_sub(lived) < HURRY);
        let wait = match (self.is_live(), hurry) {
            (true, _) => 0,
            (false, true) => self.rng.random_range(0..=self.pace.backoff_ns.0 * HURRIED),
            (false, false) => self.rng.random_range(0..=self.bound),
        };
        if !self.is_live() && !hurry {
            self.bound = (self.bound * 2).min(self.pace.backoff_ns.1);
        }
        self.endpoint = self.endpoint.wrapping_add(1);
        self.stage = Stage::Waiting(now.saturating_add(wait));
        vec![WatchEffect::Disconnect { reason }]
    }

    /// Calls a second that one ingress puts on the registry while nothing changes.
    pub fn progress_requests_per_second(pace: &WatchTiming) -> f64 {
        1e9 / pace.progress_interval_ns as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: u64 = 1_000_000;
    const PACE: WatchTiming = WatchTiming {
        progress_interval_ns: 100 * MS,
        response_timeout_ns: 150 * MS,
        backoff_ns: (20 * MS, 1_000 * MS),
        full_read_jitter_ns: 300 * MS,
    };

    fn live() -> WatchMachine {
        let mut follow = WatchMachine::new(PACE, 1, None);
        assert!(matches!(
            follow.handle(0, WatchInput::Tick)[..],
            [WatchEffect::Connect { .. }]
        ));
        assert_eq!(
            follow.handle(1, WatchInput::Connected),
            [WatchEffect::ReadList]
        );
        assert_eq!(
            follow.handle(
                2,
                WatchInput::ListRead {
                    cluster: 9,
                    revision: 41
                }
            ),
            [WatchEffect::Watch { from: 42 }]
        );
        assert!(follow.handle(3, WatchInput::WatchCreated).is_empty() && follow.is_live());
        follow
    }

    #[test]
    fn a_silent_watch_is_found_and_resumed_well_inside_the_budget_without_a_read() {
        let mut follow = live();
        follow.handle(
            50 * MS,
            WatchInput::Progress {
                cluster: 9,
                revision: 45,
            },
        );
        // The stall begins right after; a drain is written right after that.
        let dropped = loop {
            let now = follow.next_deadline();
            match follow.handle(now, WatchInput::Tick)[..] {
                [WatchEffect::RequestProgress] => {}
                [WatchEffect::Disconnect {
                    reason: DisconnectReason::TimedOut,
                }] => break now,
                ref other => panic!("{other:?}"),
            }
        };
        assert!(dropped - 50 * MS <= 250 * MS);
        let before = follow.endpoint;
        assert_eq!(
            follow.handle(follow.next_deadline(), WatchInput::Tick),
            [WatchEffect::Connect { endpoint: before }]
        );
        assert_eq!(
            follow.handle(dropped, WatchInput::Connected),
            [WatchEffect::Watch { from: 46 }]
        );
    }

    #[test]
    fn a_compaction_leads_to_one_read_whose_time_is_drawn() {
        let waits: Vec<u64> = (0..300)
            .map(|seed| {
                let mut follow = live();
                follow.rng = SmallRng::seed_from_u64(seed);
                assert!(follow.handle(0, WatchInput::Compacted).is_empty());
                assert!(
                    follow.handle(0, WatchInput::Tick).is_empty()
                        || follow.next_deadline() >= 150 * MS
                );
                let due = follow.next_deadline();
                assert_eq!(
                    follow.handle(due, WatchInput::Tick),
                    [WatchEffect::ReadList]
                );
                due
            })
            .collect();
        // Spread evenly: no tenth of the time holds more than a fifth of a fleet of 300.
        for part in 0..10 {
            let of = |due: &&u64| (30 * MS * part..30 * MS * (part + 1)).contains(*due);
            assert!(waits.iter().filter(of).count() < 60);
        }
    }

    #[test]
    fn tries_stay_close_together_while_a_drain_has_its_budget_and_not_for_longer() {
        let mut follow = live();
        follow.handle(10 * MS, WatchInput::ConnectionLost);
        let (mut now, mut waits) = (10 * MS, Vec::new());
        while now < 3_000 * MS {
            let due = follow.next_deadline().max(now + MS);
            waits.push((now, due - now));
            now = due;
            follow.handle(now, WatchInput::Tick);
            follow.handle(now, WatchInput::ConnectionLost);
        }
        assert!(
            waits
                .iter()
                .all(|(at, wait)| *at >= HURRY || *wait <= 40 * MS),
            "{waits:?}"
        );
        assert!(waits.iter().any(|(_, wait)| *wait > 200 * MS), "{waits:?}");
    }

    #[test]
    fn waits_grow_to_their_bound_and_other_endpoints_are_tried() {
        let mut follow = WatchMachine::new(PACE, 3, None);
        let (mut now, mut seen, mut longest) = (0, std::collections::BTreeSet::new(), 0);
        for _ in 0..40 {
            now = now.max(follow.next_deadline());
            let [WatchEffect::Connect { endpoint }] = follow.handle(now, WatchInput::Tick)[..]
            else {
                panic!()
            };
            seen.insert(endpoint % 3);
            assert!(matches!(
                follow.handle(now, WatchInput::ConnectionLost)[..],
                [WatchEffect::Disconnect {
                    reason: DisconnectReason::ConnectionLost
                }]
            ));
            longest = longest.max(follow.next_deadline() - now);
        }
        assert_eq!(seen.len(), 3);
        assert!((500 * MS..=1_000 * MS).contains(&longest), "{longest}");
    }

    #[test]
    fn a_registry_that_went_back_is_read_anew_and_a_member_that_lags_for_a_moment_is_not() {
        let told = |revision| WatchInput::Progress {
            cluster: 9,
            revision,
        };
        let mut follow = live();
        for revision in [50, 49, 49, 50, 49, 49] {
            assert!(follow.handle(10, told(revision)).is_empty());
        }
        assert_eq!(
            follow.handle(11, told(7)),
            [WatchEffect::Disconnect {
                reason: DisconnectReason::Inconsistent
            }]
        );
        follow.handle(follow.next_deadline(), WatchInput::Tick);
        assert!(follow.handle(20, WatchInput::Connected).is_empty());
        assert_eq!(
            follow.handle(follow.next_deadline(), WatchInput::Tick),
            [WatchEffect::ReadList]
        );
        // A whole list may take longer than a proof.
        assert!(follow
            .handle(follow.next_deadline() - 1, WatchInput::Tick)
            .is_empty());
    }

    #[test]
    fn another_cluster_behind_the_same_address_is_read_anew() {
        let mut follow = live();
        let acts = follow.handle(
            10,
            WatchInput::Progress {
                cluster: 8,
                revision: 3,
            },
        );
        assert_eq!(
            acts,
            [WatchEffect::Disconnect {
                reason: DisconnectReason::Inconsistent
            }]
        );
        follow.handle(follow.next_deadline(), WatchInput::Tick);
        assert!(follow.handle(20, WatchInput::Connected).is_empty());
        assert_eq!(
            follow.handle(follow.next_deadline(), WatchInput::Tick),
            [WatchEffect::ReadList]
        );
    }
}
