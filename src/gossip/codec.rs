//! Form of the gossip messages: how records are encoded and decoded.
//!
//! A message is one character of kind, four digits of the sender's incarnation and records of fixed
//! width, all in base 64. The kind also names the version of the form: a node of another version
//! ignores a kind that it does not know.

use crate::decision_state::LoadStatistics;

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const BITS_PER_DIGIT: u32 = 6;
/// Bytes of a message at most: the platform's limit for a datagram.
const MAX_MESSAGE_BYTES: usize = 256;
/// Digits of the sender's incarnation.
const INCARNATION_DIGITS: usize = 4;
/// The kind and the incarnation.
const HEADER_BYTES: usize = 1 + INCARNATION_DIGITS;
/// Digits of a customer's fingerprint, at the head of each record.
const FINGERPRINT_DIGITS: usize = 5;
/// Bits of a fingerprint.
const FINGERPRINT_MASK: u64 = 0x3fff_ffff;
/// Units are sent in quarters, modulo two digits.
const CODES_PER_UNIT: f64 = 4.0;
const TWO_DIGITS_MASK: u32 = 0xfff;
/// Step between the codes of a share; levels from -1 to 1 have steps of twice as much.
const SHARE_STEP: f64 = 1.0 / 63.0;

/// What one node tells another of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerRecord {
    /// [`fingerprint`] of the customer's name; 0 for load statistics, which are of no customer.
    pub customer: u32,
    /// What is told.
    pub record: Record,
}

/// A customer's use through the sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Index of the plan.
    pub plan: usize,
    /// The first of the nodes that the customer's requests come in through.
    pub first_node: u32,
    /// The number of these nodes.
    pub node_set_size: u32,
    /// All units forwarded in this incarnation, as [`encode_units`] has them.
    pub forwarded: u32,
    /// All units requested in this incarnation, as [`encode_units`] has them.
    pub requested: u32,
    /// Level of the quota as the sender estimates it, as a share of the burst, -1 to 1.
    pub quota_level: f64,
}

/// The kinds of record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Record {
    /// A customer's use through the sender.
    Usage(Usage),
    /// What a customer's aggregator has summed.
    Aggregate {
        /// Demand, in units per second.
        demand: f64,
        /// Level of the quota, as a share of the burst, -1 to 1.
        quota_level: f64,
    },
    /// Units of the ceiling handed over.
    Grant(f64),
    /// A part of the sender's pooled load statistics.
    Statistics(LoadStatistics),
}

/// A decoded message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's incarnation.
    pub incarnation: u32,
    /// Its records, all of one kind.
    pub records: Vec<CustomerRecord>,
}

/// The kinds of message, by their first byte.
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
            Record::Aggregate { .. } => Kind::Aggregate,
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

    /// Digits of a record after its fingerprint.
    fn body_digits(self) -> usize {
        match self {
            Kind::Usage => 10,
            Kind::Aggregate | Kind::Grant => 2,
            Kind::Statistics => 2 * LoadStatistics::FIELD_COUNT,
        }
    }
}

/// A customer's name on messages: 30 bits of FNV-1a.
pub fn fingerprint(name: &str) -> u32 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    let hash = name.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    ((hash ^ (hash >> 30)) & FINGERPRINT_MASK) as u32
}

/// A peer's rank for a name, for rendezvous hashing.
pub fn rendezvous_rank(name: u32, peer: u32) -> u64 {
    let mixed = (u64::from(name) << 32 | u64::from(peer)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ mixed >> 32
}

/// A number from 0 to 1 that a peer draws once per period for an item; periods begin at another
/// moment for each. `periods`: the present moment, in periods.
pub fn periodic_draw(item: u32, peer: u32, periods: f64) -> f64 {
    let draw = |name, peer| rendezvous_rank(name, peer) as f64 / u64::MAX as f64;
    let period = (periods + draw(item, peer)) as u32;
    draw(period, item << 16 ^ peer)
}

/// The code of a total of units, which wraps.
pub fn encode_units(units: f64) -> u32 {
    (units * CODES_PER_UNIT).round() as u64 as u32 & TWO_DIGITS_MASK
}

/// Units from one code of a total to a later one.
pub fn units_between(before: u32, after: u32) -> f64 {
    f64::from(after.wrapping_sub(before) & TWO_DIGITS_MASK) / CODES_PER_UNIT
}

/// A scale of codes in even steps of the logarithm; code 0 is 0.
struct LogScale {
    /// The value of code 1.
    lowest: f64,
    /// Factor from one code to the next.
    step: f64,
    /// Number of codes.
    codes: u32,
}

/// Rates, in one digit.
const RATE_SCALE: LogScale = LogScale {
    lowest: 0.1,
    step: 1.17,
    codes: 64,
};
/// Counts of load statistics, in two digits.
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

fn encode_share(share: f64) -> u32 {
    (share.clamp(0.0, 1.0) / SHARE_STEP).round() as u32
}

fn encode_level(level: f64) -> u32 {
    encode_share((level + 1.0) / 2.0)
}

fn decode_level(code: u32) -> f64 {
    f64::from(code) * SHARE_STEP * 2.0 - 1.0
}

fn push_digits(text: &mut String, value: u32, digits: usize) {
    for place in (0..digits as u32).rev() {
        let digit = (value >> (BITS_PER_DIGIT * place)) as usize & (DIGITS.len() - 1);
        text.push(char::from(DIGITS[digit]));
    }
}

fn push_record(text: &mut String, record: &Record) {
    match record {
        Record::Usage(usage) => {
            push_digits(text, usage.plan.min(DIGITS.len() - 1) as u32, 1);
            push_digits(text, usage.first_node & TWO_DIGITS_MASK, 2);
            push_digits(text, usage.node_set_size & TWO_DIGITS_MASK, 2);
            push_digits(text, usage.forwarded, 2);
            push_digits(text, usage.requested, 2);
            push_digits(text, encode_level(usage.quota_level), 1);
        }
        Record::Aggregate {
            demand,
            quota_level,
        } => {
            push_digits(text, RATE_SCALE.encode(*demand), 1);
            push_digits(text, encode_level(*quota_level), 1);
        }
        Record::Grant(units) => {
            let code = (units * CODES_PER_UNIT).round() as u32 & TWO_DIGITS_MASK;
            push_digits(text, code, 2);
        }
        Record::Statistics(statistics) => {
            for count in statistics.to_array() {
                push_digits(text, COUNT_SCALE.encode(count), 2);
            }
        }
    }
}

/// Encodes records, all of one kind, into as many messages as they need; no record makes one empty
/// message.
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
            push_digits(&mut text, *customer, FINGERPRINT_DIGITS);
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

fn decode_record(kind: Kind, digits: &[u32]) -> CustomerRecord {
    let (name, body) = digits.split_at(FINGERPRINT_DIGITS);
    let record = match kind {
        Kind::Usage => Record::Usage(Usage {
            plan: body[0] as usize,
            first_node: number(&body[1..3]),
            node_set_size: number(&body[3..5]),
            forwarded: number(&body[5..7]),
            requested: number(&body[7..9]),
            quota_level: decode_level(body[9]),
        }),
        Kind::Aggregate => Record::Aggregate {
            demand: RATE_SCALE.decode(body[0]),
            quota_level: decode_level(body[1]),
        },
        Kind::Grant => Record::Grant(f64::from(number(body)) / CODES_PER_UNIT),
        Kind::Statistics => Record::Statistics(LoadStatistics::from_fn(|field| {
            COUNT_SCALE.decode(number(&body[2 * field..2 * field + 2]))
        })),
    };
    CustomerRecord {
        customer: number(name),
        record,
    }
}

/// Decodes a message; `None` where any part is malformed.
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
