//! Property tests with random schedules: invariants that hold for any events in any order.

use std::collections::{BTreeMap, BTreeSet};

use applewall_operator_config::{DurationSetting, EnabledFlag, Size};
use applewall_slow_peer::{
    Abort, AbortReason, BulkheadSettings, Bulkheads, ConnectionId, IncomingStatus,
    IncomingTransfer, OutgoingTransfers, ResourceNeed, ResourceOwner, ResponseStart, Settings,
    TransferProgress,
};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

const MS: u64 = 1_000_000;
const NANOS_PER_SECOND: f64 = 1e9;
/// Limit on unsent bytes.
const MAX_UNSENT_BYTES: u64 = 200_000;
/// Time without progress after which a transfer is stalled.
const MIN_STALL: u64 = 50 * MS;
/// Time by which an incoming transfer has to be complete.
const INCOMING_DEADLINE: u64 = 1_500 * MS;

#[derive(Clone, Debug)]
enum Step {
    Begin { id: u64, customer: u64, bytes: u64 },
    Progress { id: u64, bytes: u64 },
    RequestStarted { id: u64 },
    End { id: u64 },
    Tick { slots: f64 },
    AbortForSlot,
}

/// A step, and the time before it in milliseconds.
fn step() -> impl Strategy<Value = (u64, Step)> {
    let id = || 0u64..8;
    let step = prop_oneof![
        3 => (id(), 0u64..4, 0u64..90_000).prop_map(|(id, customer, bytes)| Step::Begin { id, customer, bytes }),
        6 => (id(), 0u64..40_000).prop_map(|(id, bytes)| Step::Progress { id, bytes }),
        1 => id().prop_map(|id| Step::RequestStarted { id }),
        1 => id().prop_map(|id| Step::End { id }),
        4 => (0.0f64..1.2).prop_map(|slots| Step::Tick { slots }),
        1 => Just(Step::AbortForSlot),
    ];
    (0u64..400, step)
}

fn settings() -> Settings {
    Settings {
        waiting: Some(Size(MAX_UNSENT_BYTES)),
        window: DurationSetting::from_millis(800),
        ..Settings::default()
    }
}

fn bulkheads(is_enabled: bool) -> BulkheadSettings {
    BulkheadSettings {
        enabled: EnabledFlag(is_enabled),
        ..BulkheadSettings::default()
    }
}

fn owner(customer: u64) -> ResourceOwner {
    ResourceOwner {
        customer: Some(customer),
        peer_network: None,
    }
}

/// Progress with all written bytes acknowledged.
fn progress(bytes: u64) -> TransferProgress {
    TransferProgress {
        written_bytes: bytes,
        acknowledged_bytes: bytes,
        round_trip_ns: None,
    }
}

/// Expected state of a connection, computed independently of the code under test.
#[derive(Default)]
struct ExpectedTransfer {
    began: u64,
    /// Times and byte counts of the progress so far.
    delivered: Vec<(u64, u64)>,
    is_written: bool,
    request_pending: bool,
}

impl ExpectedTransfer {
    /// Bytes per second within exactly the last window. The code under test may compute a higher rate, never a lower one.
    fn rate(&self, now: u64, window: u64) -> f64 {
        let recent = self.delivered.iter().filter(|(at, _)| *at + window > now);
        let bytes: u64 = recent.map(|(_, bytes)| bytes).sum();
        bytes as f64 * NANOS_PER_SECOND / window as f64
    }

    /// Checks that the rules allow an abort.
    fn check_abort(
        &self,
        now: u64,
        reason: AbortReason,
        minimum: f64,
    ) -> Result<(), TestCaseError> {
        prop_assert!(
            self.is_written && !self.request_pending,
            "the abort would lose a request"
        );
        let age = now - self.began;
        prop_assert!(age >= MIN_STALL, "aborted at the age of {age} ns");
        let short = settings().room_grace.as_nanos();
        let is_slow = match reason {
            // To free resources: slow over the short window, or stalled.
            AbortReason::ResourcesNeeded => {
                self.rate(now, MIN_STALL) == 0.0 || age >= short && self.rate(now, short) < minimum
            }
            _ => self.rate(now, age.min(settings().window.as_nanos())) < minimum,
        };
        prop_assert!(
            is_slow,
            "aborted although not below the minimum rate of {minimum}"
        );
        Ok(())
    }
}

/// Aborted connections, and the minimum rate that applied to them.
struct Aborts {
    aborts: Vec<Abort>,
    minimum: f64,
}

/// The transfers under test, and their expected states.
struct Model {
    now: u64,
    transfers: OutgoingTransfers,
    expected: BTreeMap<ConnectionId, ExpectedTransfer>,
    /// Bytes transferred on each connection so far.
    transferred: BTreeMap<ConnectionId, u64>,
}

impl Model {
    fn new(has_bulkheads: bool) -> Self {
        Model {
            now: 0,
            transfers: OutgoingTransfers::new(&settings(), &bulkheads(has_bulkheads), 0),
            expected: BTreeMap::new(),
            transferred: BTreeMap::new(),
        }
    }

    /// Runs a step, and checks the aborts and the number of unsent bytes after it.
    fn run(&mut self, wait: u64, step: Step) -> Result<(), TestCaseError> {
        self.now += wait * MS;
        let Aborts { aborts, minimum } = self.apply(step)?;
        for abort in aborts {
            let expected = self.expected.remove(&abort.id);
            let expected = expected.expect("only monitored connections are aborted");
            expected.check_abort(self.now, abort.reason, minimum)?;
        }
        let unsent = self.transfers.unsent_bytes().total();
        prop_assert!(unsent <= MAX_UNSENT_BYTES, "{unsent} unsent bytes");
        Ok(())
    }

    fn apply(&mut self, step: Step) -> Result<Aborts, TestCaseError> {
        let mut aborts = Vec::new();
        // While resources are freed, the minimum rate of full pressure applies.
        let mut minimum = settings().min_outgoing_bytes_per_second_at_full_pressure.0 as f64;
        match step {
            Step::Begin {
                id,
                customer,
                bytes,
            } => aborts = self.begin(ConnectionId(id), owner(customer), bytes)?,
            Step::Progress { id, bytes } => self.record_progress(ConnectionId(id), bytes),
            Step::RequestStarted { id } => {
                let id = ConnectionId(id);
                self.transfers.request_started(id);
                self.expected
                    .entry(id)
                    .and_modify(|expected| expected.request_pending = true);
            }
            Step::End { id } => {
                self.transfers.connection_closed(ConnectionId(id));
                self.expected.remove(&ConnectionId(id));
            }
            Step::Tick { slots } => {
                aborts = self.transfers.abort_below_minimum_rate(self.now, slots);
                minimum = self.transfers.minimum_rate();
            }
            Step::AbortForSlot => {
                let need = ResourceNeed::ConnectionSlot;
                aborts = self.transfers.abort_for_resources(self.now, need);
            }
        }
        Ok(Aborts { aborts, minimum })
    }

    fn begin(
        &mut self,
        id: ConnectionId,
        owner: ResourceOwner,
        bytes: u64,
    ) -> Result<Vec<Abort>, TestCaseError> {
        let response = ResponseStart {
            id,
            owner,
            bytes,
            progress: progress(self.transferred.get(&id).copied().unwrap_or(0)),
        };
        let was_sending = self.transfers.is_sending(id);
        let mut begun = self.transfers.begin_response(self.now, response);
        let mut aborts = Vec::new();
        if let Err(limit) = begun {
            let need = ResourceNeed::Bytes {
                owner,
                limit,
                bytes,
            };
            aborts = self.transfers.abort_for_resources(self.now, need);
            // Aborts free enough for the limit that was exceeded; another limit may still be exceeded.
            begun = self.transfers.begin_response(self.now, response);
            prop_assert!(
                aborts.is_empty() || begun.is_ok() || begun != Err(limit),
                "aborts that do not free enough: {aborts:?}"
            );
        }
        if begun.is_ok() {
            // If an earlier response is still unsent, both are one transfer.
            let earlier = self.expected.remove(&id).filter(|_| was_sending);
            let mut expected = earlier.unwrap_or_else(|| ExpectedTransfer {
                began: self.now,
                ..ExpectedTransfer::default()
            });
            expected.request_pending = false;
            self.expected.insert(id, expected);
        }
        Ok(aborts)
    }

    fn record_progress(&mut self, id: ConnectionId, bytes: u64) {
        let transferred = self.transferred.entry(id).or_default();
        *transferred += bytes;
        self.transfers
            .record_progress(self.now, id, progress(*transferred));
        if let Some(expected) = self.expected.get_mut(&id) {
            expected.delivered.push((self.now, bytes));
            expected.is_written |= bytes > 0;
        }
    }

    /// Closes all connections, and checks that all bytes are released.
    fn close(mut self) -> Result<(), TestCaseError> {
        for id in self.transfers.connection_ids() {
            self.transfers.connection_closed(id);
        }
        prop_assert!(
            self.transfers.unsent_bytes().is_empty(),
            "bytes of closed connections are still accounted"
        );
        Ok(())
    }
}

/// An incoming transfer whose pieces arrive at regular intervals.
struct EvenArrivals {
    total: u64,
    pieces: u64,
    gap: u64,
}

impl EvenArrivals {
    /// When the transfer is aborted, if it is.
    fn aborted_at(&self) -> Result<Option<u64>, TestCaseError> {
        let total = self.total;
        let mut transfer = IncomingTransfer::new(&settings(), 0, INCOMING_DEADLINE, Some(total));
        let mut next_check = u64::MAX;
        for piece in 1..=self.pieces {
            let arrival = piece * self.gap;
            while next_check < arrival {
                let IncomingStatus::CheckAgainAt(next) = transfer.evaluate(next_check) else {
                    return Ok(Some(next_check));
                };
                prop_assert!(next > next_check, "{next} after {next_check}");
                next_check = next;
            }
            if arrival >= INCOMING_DEADLINE {
                return Ok(None);
            }
            let bytes = total * piece / self.pieces - total * (piece - 1) / self.pieces;
            transfer.bytes_received(arrival, bytes);
            let IncomingStatus::CheckAgainAt(next) = transfer.evaluate(arrival) else {
                return Ok(Some(arrival));
            };
            next_check = next;
        }
        Ok(None)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// The limit is never exceeded, no transfer at or above the minimum rate is aborted, no request is lost by an abort, and
    /// in the end all bytes are released.
    #[test]
    fn outgoing_transfers_stay_within_the_limit_and_only_slow_ones_are_aborted(steps in prop::collection::vec(step(), 1..200), has_bulkheads in any::<bool>()) {
        let mut model = Model::new(has_bulkheads);
        for (wait, step) in steps {
            model.run(wait, step)?;
        }
        model.close()?;
    }

    /// A transfer that arrives at regular intervals and completes before its deadline is never aborted, whatever the size
    /// of its pieces. One that would take 12 times as long as it has is aborted before half of the time until the
    /// deadline, if its pieces arrive often enough to measure the rate.
    #[test]
    fn incoming_transfers_are_aborted_only_if_they_cannot_complete(total in 1_000u64..65_536, pieces in 5u64..200, time_fraction in 0.3f64..0.9, too_slow in any::<bool>()) {
        // The time that the transfer takes, as a multiple of the time it has.
        let factor = if too_slow { 12.0 } else { time_fraction };
        let gap = (INCOMING_DEADLINE as f64 * factor / pieces as f64) as u64;
        prop_assume!(gap < 350 * MS);
        let aborted_at = EvenArrivals { total, pieces, gap }.aborted_at()?;
        if !too_slow {
            prop_assert_eq!(aborted_at, None);
        } else if gap < 100 * MS {
            prop_assert!(aborted_at.is_some_and(|at| at < INCOMING_DEADLINE / 2), "{:?}", aborted_at);
        }
    }

    /// Each customer gets exactly its fraction of the slots, in any order of acquisitions and releases by several customers.
    #[test]
    fn bulkheads_grant_exactly_the_configured_fraction(steps in prop::collection::vec((0u64..5, any::<bool>()), 1..200), slots in 1usize..40) {
        let settings = bulkheads(true);
        let mut bulkheads = Bulkheads::new(&settings, slots);
        let max_slots = ((slots as f64 * settings.customer_places) as u64).max(1);
        let mut used = BTreeMap::<u64, u64>::new();
        for (customer, acquires) in steps {
            let used = used.entry(customer).or_default();
            if acquires {
                let is_acquired = bulkheads.acquire(0, owner(customer)).is_ok();
                prop_assert_eq!(is_acquired, *used < max_slots);
                *used += u64::from(is_acquired);
            } else if *used > 0 {
                bulkheads.release(owner(customer));
                *used -= 1;
            }
        }
        let with_slots: BTreeSet<_> = used.iter().filter(|(_, used)| **used > 0).collect();
        prop_assert_eq!(bulkheads.is_empty(), with_slots.is_empty());
    }
}
