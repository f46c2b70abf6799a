//! Format of the messages between gateways: how records are written and read. No decisions here.
//!
//! A message is a kind, four digits of the sender's incarnation and records of fixed width, in base 64. The
//! kind names the format too: a gateway of another version finds no meaning in a kind it does not know.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use crate::state::LoadStatistics;

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/// Bytes of a message at most.
const MOST: usize = 256;
const HEAD: usize = 5;
/// Units are told in quarters, modulo two digits.
const QUARTERS: f64 = 4.0;
const WRAP: u32 = 0xfff;
/// Shares are told in steps of this, levels from -1 to 1 in steps of twice as much.
const STEP: f64 = 1.0 / 63.0;

/// What one gateway tells of one customer, named by its [`fingerprint`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Record {
    /// A customer's use through the sender: all units sent on and asked for in this life (coded, wrapping),
    /// and the level of the store as the sender knows it, share of the burst, -1 to 1.
    Usage {
        /// Number of the plan.
        plan: usize,
        /// The customer's set: its first gateway and how many.
        first_node: u32,
        /// See `first`.
        node_set_size: u32,
        /// See [`units_code`].
        forwarded: u32,
        /// See [`units_code`].
        requested: u32,
        /// Share of the burst.
        quota_level: f64,
    },
    /// What a customer's keeper has summed: demand in units a second, and the store's level.
    Aggregate {
        /// Units a second.
        demand: f64,
        /// Share of the burst.
        quota_level: f64,
    },
    /// Units of the ceiling handed over.
    Grant(f64),
    /// A part of the sender's pool of evidence.
    Statistics(LoadStatistics),
}

impl Record {
    fn kind(&self) -> u8 {
        match self {
            Record::Usage { .. } => b'u',
            Record::Aggregate { .. } => b'w',
            Record::Grant(_) => b'g',
            Record::Statistics(_) => b'p',
        }
    }
}

/// Digits of a record's body after its fingerprint.
fn width(kind: u8) -> Option<usize> {
    match kind {
        b'u' => Some(10),
        b'w' | b'g' => Some(2),
        b'p' => Some(2 * LoadStatistics::FIELD_COUNT),
        _ => None,
    }
}

/// A name on messages: 30 bits of FNV-1a.
pub fn fingerprint(name: &str) -> u32 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, step);
    ((hash ^ (hash >> 30)) & 0x3fff_ffff) as u32
}

/// A peer's rank for a name, for rendezvous hashing.
pub fn rank(name: u32, peer: u32) -> u64 {
    let mixed = (u64::from(name) << 32 | u64::from(peer)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ mixed >> 32
}

/// A number from 0 to 1 that a peer draws anew for a thing in each turn; turns change at another time for each.
pub fn luck(thing: u32, peer: u32, turns: f64) -> f64 {
    let part = |name, peer| rank(name, peer) as f64 / u64::MAX as f64;
    part((turns + part(thing, peer)) as u32, thing << 16 ^ peer)
}

/// The code of a total of units.
pub fn units_code(units: f64) -> u32 {
    (units * QUARTERS).round() as u64 as u32 & WRAP
}

/// Units from one code of a total to a later one.
pub fn units_between(before: u32, after: u32) -> f64 {
    f64::from(after.wrapping_sub(before) & WRAP) / QUARTERS
}

/// Numbers are told in even steps of their logarithm: so many from `low`, each larger by `step`.
fn log_code(value: f64, low: f64, step: f64, codes: u32) -> u32 {
    if value < low {
        return 0;
    }
    ((value / low).ln() / step.ln())
        .round()
        .clamp(0.0, f64::from(codes - 2)) as u32
        + 1
}

fn log_value(code: u32, low: f64, step: f64) -> f64 {
    if code == 0 {
        return 0.0;
    }
    low * step.powi(code as i32 - 1)
}

const RATE: (f64, f64) = (0.1, 1.17);
const MASS: (f64, f64) = (0.001, 1.005);

fn push(text: &mut String, value: u32, digits: u32) {
    text.extend(
        (0..digits)
            .rev()
            .map(|i| char::from(DIGITS[(value >> (6 * i)) as usize & 63])),
    );
}

fn push_body(text: &mut String, record: &Record) {
    let share = |s: f64| (s.clamp(0.0, 1.0) / STEP).round() as u32;
    match *record {
        Record::Usage {
            plan,
            first_node: first,
            node_set_size: spread,
            forwarded: sent,
            requested: asked,
            quota_level: level,
        } => {
            push(text, plan.min(63) as u32, 1);
            push(text, first & WRAP, 2);
            push(text, spread & WRAP, 2);
            push(text, sent, 2);
            push(text, asked, 2);
            push(text, share((level + 1.0) / 2.0), 1);
        }
        Record::Aggregate {
            demand,
            quota_level: level,
        } => {
            push(text, log_code(demand, RATE.0, RATE.1, 64), 1);
            push(text, share((level + 1.0) / 2.0), 1);
        }
        Record::Grant(units) => push(text, (units * QUARTERS).round() as u32 & WRAP, 2),
        Record::Statistics(e) => e
            .to_array()
            .iter()
            .for_each(|v| push(text, log_code(*v, MASS.0, MASS.1, 4096), 2)),
    }
}

/// Writes records, all of one kind, into as many messages as they need; none make one bare sign of life.
pub fn write(incarnation: u32, records: &[(u32, Record)]) -> Vec<String> {
    let kind = records.first().map_or(b'u', |r| r.1.kind());
    let mut body = Vec::with_capacity(records.len());
    for (name, record) in records {
        let mut text = String::new();
        push(&mut text, *name, 5);
        push_body(&mut text, record);
        body.push(text);
    }
    let mut head = String::from(char::from(kind));
    push(&mut head, incarnation, 4);
    let most = (MOST - HEAD) / body.first().map_or(1, String::len);
    let mut texts: Vec<String> = body
        .chunks(most)
        .map(|c| head.clone() + &c.concat())
        .collect();
    if texts.is_empty() {
        texts.push(head);
    }
    texts
}

/// Reads a message; `None` where any part is malformed.
pub fn read(text: &str) -> Option<(u32, Vec<(u32, Record)>)> {
    let kind = *text.as_bytes().first()?;
    let wide = 5 + width(kind)?;
    let digit = |b: u8| DIGITS.iter().position(|d| *d == b).map(|i| i as u32);
    let codes: Vec<u32> = text.bytes().skip(1).map(digit).collect::<Option<_>>()?;
    let number = |digits: &[u32]| digits.iter().fold(0, |n, d| n * 64 + d);
    let (head, body) = codes.split_at_checked(HEAD - 1)?;
    if text.len() > MOST || body.len() % wide != 0 {
        return None;
    }
    let level = |code: u32| f64::from(code) * STEP * 2.0 - 1.0;
    let record = |r: &[u32]| {
        let b = &r[5..];
        let record = match kind {
            b'u' => Record::Usage {
                plan: b[0] as usize,
                first_node: number(&b[1..3]),
                node_set_size: number(&b[3..5]),
                forwarded: number(&b[5..7]),
                requested: number(&b[7..9]),
                quota_level: level(b[9]),
            },
            b'w' => Record::Aggregate {
                demand: log_value(b[0], RATE.0, RATE.1),
                quota_level: level(b[1]),
            },
            b'g' => Record::Grant(f64::from(number(b)) / QUARTERS),
            _ => Record::Statistics(LoadStatistics::from_fn(|i| {
                log_value(number(&b[2 * i..2 * i + 2]), MASS.0, MASS.1)
            })),
        };
        (number(&r[..5]), record)
    };
    Some((number(head), body.chunks(wide).map(record).collect()))
}
