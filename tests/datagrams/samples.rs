//! The messages that the recorded datagrams encode, with values that the encoding represents exactly.

use applewall::api::{NodeId, NodeSet, PlanId};
use applewall::decision::hashing::{fingerprint, CustomerFingerprint};
use applewall::gossip::codec::{
    AggregateUpdate, CustomerRecord, Message, Record, UsageReport, WrappingTotal,
};
use applewall::LoadStatistics;
use applewall_startup_scheduler::{CohortMessage, StatusMessage};

/// The messages of the quota datagrams; one of them takes several datagrams.
pub(crate) fn quota_messages() -> Vec<Message> {
    let message = |incarnation, records| Message {
        incarnation,
        records,
    };
    let statistics = |shift| statistics_record(|field| statistic(field * 455 + shift));
    let customers = (0..40).map(|number| {
        let customer = fingerprint(&format!("customer {number}"));
        customer_record(customer, usage(number))
    });
    let aggregates = [0, 1, 31, 62].map(|code| customer_record(code * 99, aggregate(code)));
    vec![
        message(0, vec![]),
        message(1, vec![customer_record(0x3fff_ffff, usage(63))]),
        // More records than fit in one datagram.
        message(0xff_ffff, customers.collect()),
        message(77, aggregates.into()),
        message(
            78,
            vec![
                customer_record(5, Record::Grant(0.25)),
                customer_record(6, Record::Grant(1023.75)),
            ],
        ),
        message(
            79,
            vec![
                customer_record(0, statistics(0)),
                customer_record(0, statistics(7)),
                customer_record(1, statistics(454)),
            ],
        ),
    ]
}

pub(crate) fn customer_record(customer: u32, record: Record) -> CustomerRecord {
    CustomerRecord {
        customer: CustomerFingerprint(customer),
        record,
    }
}

fn usage(number: u32) -> Record {
    Record::Usage(UsageReport {
        plan: PlanId((number % 64) as usize),
        nodes: NodeSet {
            first: NodeId(number * 131 % 4096),
            size: 4095 - number,
        },
        forwarded: WrappingTotal::from_code(number * 977 % 4096),
        requested: WrappingTotal::from_code(4095 - number * 5),
        quota_level: quota_level(number * 3 % 64),
    })
}

fn aggregate(code: u32) -> Record {
    let demand = match code {
        0 => 0.0,
        _ => 0.1 * 1.17f64.powi(code as i32 - 1),
    };
    Record::Aggregate(AggregateUpdate {
        demand,
        quota_level: quota_level(code),
    })
}

fn quota_level(code: u32) -> f64 {
    f64::from(code) / 63.0 * 2.0 - 1.0
}

fn statistic(code: usize) -> f64 {
    match code {
        0 => 0.0,
        _ => 0.001 * 1.005f64.powi(code as i32 - 1),
    }
}

fn statistics_record(value: impl Fn(usize) -> f64) -> Record {
    Record::Statistics(LoadStatistics {
        outcomes: value(0),
        slow: value(1),
        fast: value(2),
        rejected: value(3),
        timed_out: value(4),
        intervals: value(5),
        in_flight: value(6),
        completed: value(7),
        requested: value(8),
    })
}

/// The values of a record, in their order in the datagram.
pub(crate) fn values(record: &Record) -> Vec<f64> {
    match *record {
        Record::Usage(report) => {
            vec![
                report.plan.0 as f64,
                report.nodes.first.0.into(),
                report.nodes.size.into(),
                report.forwarded.code().into(),
                report.requested.code().into(),
                report.quota_level,
            ]
        }
        Record::Aggregate(update) => vec![update.demand, update.quota_level],
        Record::Grant(units) => vec![units],
        Record::Statistics(sums) => vec![
            sums.outcomes,
            sums.slow,
            sums.fast,
            sums.rejected,
            sums.timed_out,
            sums.intervals,
            sums.in_flight,
            sums.completed,
            sums.requested,
        ],
    }
}

/// The messages of the `start` datagrams.
pub(crate) fn status_messages() -> [StatusMessage; 3] {
    let first = StatusMessage {
        wants_reply: true,
        age_deciseconds: 0,
        revision: None,
        confirmed: false,
        overloaded: false,
        starting_peers: 0,
    };
    [
        first,
        StatusMessage {
            wants_reply: false,
            age_deciseconds: 36_000,
            revision: Some(417),
            overloaded: true,
            starting_peers: 3,
            ..first
        },
        StatusMessage {
            age_deciseconds: 1 << 40,
            revision: Some(1 << 53),
            confirmed: true,
            overloaded: true,
            starting_peers: u32::MAX,
            ..first
        },
    ]
}

/// The messages of the `roll` datagrams.
pub(crate) fn cohort_messages() -> [CohortMessage; 2] {
    let bits = |step: u32| (0..80).map(move |number| (number * step) as u8);
    let started = bits(37).collect();
    let without_list = bits(37).zip(bits(74)).map(|(node, other)| node & other);
    [
        CohortMessage {
            first_node: 0,
            last_start_unix_ms: 0,
            started: vec![0b101],
            without_list: vec![0b001],
        },
        CohortMessage {
            first_node: 1280,
            last_start_unix_ms: 9_999_999_999_999,
            started,
            without_list: without_list.collect(),
        },
    ]
}
