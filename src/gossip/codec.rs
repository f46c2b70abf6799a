//! Encoding of gossip messages.
//!
//! A message is one character for its kind, four base64 digits for the sender's incarnation, and records of fixed
//! width, in base64 digits as well. The kind also identifies the version of the encoding: a node ignores messages of a
//! kind that it does not know.

use crate::api::{NodeId, NodeSet, PlanId};
use crate::decision::hashing::CustomerFingerprint;
use crate::decision::LoadStatistics;

pub use crate::decision::quota::{AggregateUpdate, UsageReport, WrappingTotal};

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const BITS_PER_DIGIT: u32 = 6;
/// Maximum size of a message, in bytes: the platform's limit for a datagram.
const MAX_MESSAGE_BYTES: usize = 256;
/// Digits of the sender's incarnation.
const INCARNATION_DIGITS: usize = 4;
/// Size of the kind and the incarnation.
const HEADER_BYTES: usize = 1 + INCARNATION_DIGITS;
/// Digits of a customer's fingerprint, which begins each record.
const FINGERPRINT_DIGITS: usize = 5;
/// Granted units are sent in steps of 1/4.
const CODES_PER_UNIT: f64 = 4.0;
/// Largest number that two digits can hold.
const TWO_DIGITS_MASK: u32 = 0xfff;
/// Digits per count of load statistics.
const COUNT_DIGITS: usize = 2;
/// Number of counts in load statistics.
const COUNTS: usize = 9;
/// Difference between the fractions of consecutive codes of one digit; levels from -1 to 1 have twice this step.
const FRACTION_STEP: f64 = 1.0 / 63.0;

/// A record and the customer that it belongs to. A message consists of records of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerRecord {
    /// The customer; [`CustomerRecord::NO_CUSTOMER`] with load statistics.
    pub customer: CustomerFingerprint,
    /// What the sender reports or grants. Its variant determines the kind of the message.
    pub record: Record,
}

impl CustomerRecord {
    /// Placeholder in records of load statistics, which belong to no customer.
    pub const NO_CUSTOMER: CustomerFingerprint = CustomerFingerprint(0);
}

/// The information in a record, with one variant for each kind of message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Record {
    /// A customer's usage through the sender.
    Usage(UsageReport),
    /// A customer's usage over all its nodes, as summed by an aggregator.
    Aggregate(AggregateUpdate),
    /// Units of the customer's ceiling that the sender gives up for the receiver; sent in steps of 1/4 unit.
    Grant(f64),
    /// A fraction of the sender's pooled load statistics.
    Statistics(LoadStatistics),
}

/// A gossip message from one node to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Random 24-bit number of the sending process. When it changes, the totals in the sender's reports begin at 0.
    pub incarnation: u32,
    /// Records, all of one kind; may be empty.
    pub records: Vec<CustomerRecord>,
}

/// The kind of a message, which is its first byte.
#[derive(Clone, Copy)]
enum Kind {
    Usage,
    Aggregate,
    Grant,
    Statistics,
}

impl Kind {
    fn of(record: &Record) -> Self {
        match record {
            Record::Usage(_) => Kind::Usage,
            Record::Aggregate(_) => Kind::Aggregate,
            Record::Grant(_) => Kind::Grant,
            Record::Statistics(_) => Kind::Statistics,
        }
    }

    fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            b'u' => Some(Kind::Usage),
            b'w' => Some(Kind::Aggregate),
            b'g' => Some(Kind::Grant),
            b'p' => Some(Kind::Statistics),
            _ => None,
        }
    }

    fn to_char(self) -> char {
        match self {
            Kind::Usage => 'u',
            Kind::Aggregate => 'w',
            Kind::Grant => 'g',
            Kind::Statistics => 'p',
        }
    }

    /// Number of digits of a record after the fingerprint.
    fn body_digits(self) -> usize {
        match self {
            Kind::Usage => 10,
            Kind::Aggregate | Kind::Grant => 2,
            Kind::Statistics => COUNT_DIGITS * COUNTS,
        }
    }
}

/// A logarithmic scale of codes; code 0 stands for 0.
struct LogScale {
    /// Value of code 1; lower ones are encoded as 0.
    lowest: f64,
    /// Ratio of the values of consecutive codes.
    step: f64,
    /// Number of codes.
    codes: u32,
}

/// Scale of demands, in units per second: one digit, up to about 1700.
const RATE_SCALE: LogScale = LogScale {
    lowest: 0.1,
    step: 1.17,
    codes: 64,
};
/// Scale of counts of load statistics: two digits.
const COUNT_SCALE: LogScale = LogScale {
    lowest: 0.001,
    step: 1.005,
    codes: 4096,
};

impl LogScale {
    fn encode(&self, value: f64) -> u32 {
        if value < self.lowest {
            return 0;
        }
        let steps = ((value / self.lowest).ln() / self.step.ln()).round();
        steps.clamp(0.0, f64::from(self.codes - 2)) as u32 + 1
    }

    fn decode(&self, code: u32) -> f64 {
        if code == 0 {
            return 0.0;
        }
        self.lowest * self.step.powi(code as i32 - 1)
    }
}

fn encode_fraction(fraction: f64) -> u32 {
    (fraction.clamp(0.0, 1.0) / FRACTION_STEP).round() as u32
}

fn encode_level(level: f64) -> u32 {
    encode_fraction((level + 1.0) / 2.0)
}

fn decode_level(code: u32) -> f64 {
    f64::from(code) * FRACTION_STEP * 2.0 - 1.0
}

fn push_digits(text: &mut String, value: u32, digits: usize) {
    for place in (0..digits as u32).rev() {
        let digit = (value >> (BITS_PER_DIGIT * place)) as usize & (DIGITS.len() - 1);
        text.push(char::from(DIGITS[digit]));
    }
}

fn push_usage(text: &mut String, report: &UsageReport) {
    push_digits(text, report.plan.0.min(DIGITS.len() - 1) as u32, 1);
    push_digits(text, report.nodes.first.0 & TWO_DIGITS_MASK, 2);
    push_digits(text, report.nodes.size & TWO_DIGITS_MASK, 2);
    push_digits(text, report.forwarded.code(), 2);
    push_digits(text, report.requested.code(), 2);
    push_digits(text, encode_level(report.quota_level), 1);
}

fn push_aggregate(text: &mut String, update: &AggregateUpdate) {
    push_digits(text, RATE_SCALE.encode(update.demand), 1);
    push_digits(text, encode_level(update.quota_level), 1);
}

fn push_grant(text: &mut String, units: f64) {
    let code = (units * CODES_PER_UNIT).round() as u32 & TWO_DIGITS_MASK;
    push_digits(text, code, 2);
}

/// Encodes the counts in the order of the message, which older nodes read as well.
fn push_statistics(text: &mut String, statistics: &LoadStatistics) {
    let LoadStatistics {
        outcomes,
        slow,
        fast,
        rejected,
        timed_out,
        intervals,
        in_flight,
        completed,
        requested,
    } = *statistics;
    let counts: [f64; COUNTS] = [
        outcomes, slow, fast, rejected, timed_out, intervals, in_flight, completed, requested,
    ];
    for count in counts {
        push_digits(text, COUNT_SCALE.encode(count), COUNT_DIGITS);
    }
}

fn push_record(text: &mut String, record: &Record) {
    match record {
        Record::Usage(report) => push_usage(text, report),
        Record::Aggregate(update) => push_aggregate(text, update),
        Record::Grant(units) => push_grant(text, *units),
        Record::Statistics(statistics) => push_statistics(text, statistics),
    }
}

/// Encodes records, all of one kind, into as many messages as they need. Without records, the result is one usage
/// message that has none.
pub fn encode(incarnation: u32, records: &[CustomerRecord]) -> Vec<String> {
    let kind = records
        .first()
        .map_or(Kind::Usage, |first| Kind::of(&first.record));
    let mut header = String::from(kind.to_char());
    push_digits(&mut header, incarnation, INCARNATION_DIGITS);
    if records.is_empty() {
        return vec![header];
    }
    let record_digits = FINGERPRINT_DIGITS + kind.body_digits();
    let records_per_message = (MAX_MESSAGE_BYTES - HEADER_BYTES) / record_digits;
    let encode_message = |records: &[CustomerRecord]| {
        let mut text = header.clone();
        for CustomerRecord { customer, record } in records {
            push_digits(&mut text, customer.0, FINGERPRINT_DIGITS);
            push_record(&mut text, record);
        }
        text
    };
    records
        .chunks(records_per_message)
        .map(encode_message)
        .collect()
}

fn number(digits: &[u32]) -> u32 {
    digits
        .iter()
        .fold(0, |number, digit| number * DIGITS.len() as u32 + digit)
}

fn decode_digit(byte: u8) -> Option<u32> {
    let position = DIGITS.iter().position(|digit| *digit == byte)?;
    Some(position as u32)
}

fn decode_usage(digits: &[u32]) -> UsageReport {
    UsageReport {
        plan: PlanId(digits[0] as usize),
        nodes: NodeSet {
            first: NodeId(number(&digits[1..3])),
            size: number(&digits[3..5]),
        },
        forwarded: WrappingTotal::from_code(number(&digits[5..7])),
        requested: WrappingTotal::from_code(number(&digits[7..9])),
        quota_level: decode_level(digits[9]),
    }
}

fn decode_statistics(digits: &[u32]) -> LoadStatistics {
    let mut counts = digits
        .chunks(COUNT_DIGITS)
        .map(|digits| COUNT_SCALE.decode(number(digits)));
    let mut next = || counts.next().unwrap_or_default();
    // The fields are evaluated in this order, which is that of the message.
    LoadStatistics {
        outcomes: next(),
        slow: next(),
        fast: next(),
        rejected: next(),
        timed_out: next(),
        intervals: next(),
        in_flight: next(),
        completed: next(),
        requested: next(),
    }
}

fn decode_record(kind: Kind, digits: &[u32]) -> CustomerRecord {
    let (customer, body) = digits.split_at(FINGERPRINT_DIGITS);
    let record = match kind {
        Kind::Usage => Record::Usage(decode_usage(body)),
        Kind::Aggregate => Record::Aggregate(AggregateUpdate {
            demand: RATE_SCALE.decode(body[0]),
            quota_level: decode_level(body[1]),
        }),
        Kind::Grant => Record::Grant(f64::from(number(body)) / CODES_PER_UNIT),
        Kind::Statistics => Record::Statistics(decode_statistics(body)),
    };
    CustomerRecord {
        customer: CustomerFingerprint(number(customer)),
        record,
    }
}

/// Decodes a message; `None` if any part is malformed.
pub fn decode(text: &str) -> Option<Message> {
    let kind = Kind::from_byte(*text.as_bytes().first()?)?;
    let record_digits = FINGERPRINT_DIGITS + kind.body_digits();
    let digits: Vec<u32> = text
        .bytes()
        .skip(1)
        .map(decode_digit)
        .collect::<Option<_>>()?;
    let (incarnation, body) = digits.split_at_checked(INCARNATION_DIGITS)?;
    if text.len() > MAX_MESSAGE_BYTES || body.len() % record_digits != 0 {
        return None;
    }
    let records = body
        .chunks(record_digits)
        .map(|digits| decode_record(kind, digits))
        .collect();
    Some(Message {
        incarnation: number(incarnation),
        records,
    })
}
