//! Random schedules: properties that hold whatever happens in which order.

use std::collections::{BTreeMap, BTreeSet};

use applewall_operator_config::{DurationSetting, EnabledFlag, Size};
use applewall_slow_peer::{
    AbortReason, BulkheadSettings, IncomingStatus, IncomingTransfer, OutgoingTransfers,
    ResourceNeed, ResourceOwner, Settings, TransferProgress,
};
use proptest::prelude::*;

const MS: u64 = 1_000_000;
const LIMIT: u64 = 200_000;

#[derive(Clone, Debug)]
enum Step {
    Begin { id: u64, customer: u64, bytes: u64 },
    Progress { id: u64, bytes: u64 },
    RequestStarted { id: u64 },
    End { id: u64 },
    Tick { slots: f64 },
    AbortForSlot,
}

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
        waiting: Some(Size(LIMIT)),
        window: DurationSetting::from_millis(800),
        ..Settings::default()
    }
}

/// What the rules say of one connection, kept without the code under test.
#[derive(Default)]
struct Known {
    began: u64,
    delivered: Vec<(u64, u64)>,
    written: bool,
    request_pending: bool,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// The limit is never exceeded, no transfer that keeps the minimum rate is aborted, no request is lost by an abort,
    /// and in the end all bytes are released.
    #[test]
    fn outgoing_transfers_keep_the_limit_and_abort_only_slow_ones(steps in prop::collection::vec(step(), 1..200), shares in any::<bool>()) {
        let shares = BulkheadSettings { enabled: EnabledFlag(shares), ..BulkheadSettings::default() };
        let mut transfers = OutgoingTransfers::new(&settings(), &shares, 0);
        let (mut now, mut known, mut moved) = (0, BTreeMap::<u64, Known>::new(), BTreeMap::<u64, u64>::new());
        for (wait, step) in steps {
            now += wait * MS;
            let mut aborts = Vec::new();
            // The minimum rate that an abort is held to: the one in force, or the highest where resources are freed.
            let mut minimum = settings().out_least_full.0 as f64;
            match step {
                Step::Begin { id, customer, bytes } => {
                    let owner = ResourceOwner { customer: Some(customer), peer_network: None };
                    let at = moved.get(&id).copied().unwrap_or(0);
                    let at = TransferProgress { written_bytes: at, acknowledged_bytes: at, round_trip_ns: 0 };
                    let going = transfers.is_sending(id);
                    let mut begun = transfers.begin_response(now, id, owner, bytes, at);
                    if let Err(limit) = begun {
                        aborts = transfers.abort_for_resources(now, ResourceNeed::Bytes(owner, limit, bytes));
                        // No abort was in vain; another limit may still be exceeded.
                        begun = transfers.begin_response(now, id, owner, bytes, at);
                        prop_assert!(aborts.is_empty() || begun.is_ok() || begun != Err(limit));
                    }
                    if begun.is_ok() {
                        // With an earlier one that still waits it is one transfer.
                        let earlier = known.remove(&id).filter(|_| going);
                        let new = || Known { began: now, ..Known::default() };
                        known.insert(id, Known { request_pending: false, ..earlier.unwrap_or_else(new) });
                    }
                }
                Step::Progress { id, bytes } => {
                    let at = moved.entry(id).or_default();
                    *at += bytes;
                    transfers.record_progress(now, id, TransferProgress { written_bytes: *at, acknowledged_bytes: *at, round_trip_ns: 0 });
                    if let Some(known) = known.get_mut(&id) {
                        known.delivered.push((now, bytes));
                        known.written |= bytes > 0;
                    }
                }
                Step::RequestStarted { id } => {
                    transfers.request_started(id);
                    known.entry(id).and_modify(|known| known.request_pending = true);
                }
                Step::End { id } => {
                    transfers.connection_closed(id);
                    known.remove(&id);
                }
                Step::Tick { slots } => {
                    aborts = transfers.abort_below_minimum_rate(now, slots);
                    minimum = transfers.minimum_rate();
                }
                Step::AbortForSlot => aborts = transfers.abort_for_resources(now, ResourceNeed::ConnectionSlot),
            }
            for abort in aborts {
                let known = known.remove(&abort.id).expect("only monitored connections are aborted");
                prop_assert!(known.written && !known.request_pending, "a request would be lost");
                let age = now - known.began;
                prop_assert!(age >= 50 * MS);
                // By the bytes of exactly the last window, which is the strictest reading of the rate.
                let rate = |window: u64| {
                    let recent = known.delivered.iter().filter(|(at, _)| *at + window > now).map(|(_, bytes)| bytes);
                    recent.sum::<u64>() as f64 * 1e9 / window as f64
                };
                let short = settings().room_grace.as_nanos();
                let slow = match abort.reason {
                    // For resources: slow over the short window, or standing still.
                    AbortReason::ResourcesNeeded => rate(50 * MS) == 0.0 || age >= short && rate(short) < minimum,
                    _ => rate(age.min(settings().window.as_nanos())) < minimum,
                };
                prop_assert!(slow, "keeps {minimum}");
            }
            prop_assert!(transfers.unsent_bytes().total() <= LIMIT);
        }
        for id in transfers.connection_ids() {
            transfers.connection_closed(id);
        }
        prop_assert!(transfers.unsent_bytes().is_empty());
    }

    /// A transfer that comes evenly and will be whole in time is never given up, whatever its pieces; one that
    /// cannot be whole by far is given up before half of its time.
    #[test]
    fn incoming_transfers_are_given_up_only_if_they_cannot_complete(total in 1_000u64..65_536, pieces in 5u64..200, part in 0.3f64..0.9, hopeless in any::<bool>()) {
        let until = 1_500 * MS;
        // So many times slower than it would have to be.
        let factor = if hopeless { 12.0 } else { part };
        let gap = (until as f64 * factor / pieces as f64) as u64;
        prop_assume!(gap < 350 * MS);
        let mut transfer = IncomingTransfer::new(&settings(), 0, until, Some(total));
        let (mut given_up, mut look) = (None, u64::MAX);
        'all: for index in 1..=pieces {
            let at = index * gap;
            while look < at {
                match transfer.evaluate(look) {
                    IncomingStatus::CheckAgainAt(next) => { prop_assert!(next > look); look = next }
                    _ => { given_up = Some(look); break 'all }
                }
            }
            if at >= until {
                break;
            }
            transfer.bytes_received(at, total * index / pieces - total * (index - 1) / pieces);
            match transfer.evaluate(at) {
                IncomingStatus::CheckAgainAt(next) => look = next,
                _ => { given_up = Some(at); break }
            }
        }
        match hopeless {
            false => prop_assert_eq!(given_up, None),
            true if gap < 100 * MS => prop_assert!(given_up.is_some_and(|at| at < until / 2), "{:?}", given_up),
            true => {}
        }
    }

    /// The slots under any order of acquisitions and releases by several owners.
    #[test]
    fn bulkheads_grant_exactly_the_configured_share(steps in prop::collection::vec((0u64..5, any::<bool>()), 1..200), slots in 1usize..40) {
        let settings = BulkheadSettings { enabled: EnabledFlag(true), ..BulkheadSettings::default() };
        let mut bulkheads = applewall_slow_peer::Bulkheads::new(&settings, slots);
        let share = ((slots as f64 * settings.customer_places) as u64).max(1);
        let mut held = BTreeMap::<u64, u64>::new();
        for (customer, enter) in steps {
            let owner = ResourceOwner { customer: Some(customer), peer_network: None };
            let have = held.entry(customer).or_default();
            if enter {
                let entered = bulkheads.acquire(0, owner).is_ok();
                prop_assert_eq!(entered, *have < share);
                *have += u64::from(entered);
            } else if *have > 0 {
                bulkheads.release(owner);
                *have -= 1;
            }
        }
        let left: BTreeSet<_> = held.iter().filter(|(_, have)| **have > 0).collect();
        prop_assert_eq!(bulkheads.is_empty(), left.is_empty());
    }
}
