//! What the module hands on when another process takes its place in the middle of its life: all that it keeps but the
//! requests that it holds. No decisions here.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::borrow::Cow;
use std::collections::BTreeMap;

use crc::{Crc, CRC_32_ISCSI};
use serde::{Deserialize, Serialize};

use crate::api::EndpointId;
use crate::state::{Backend, Customer, DecisionPolicy, Ladder, LoadStatistics, Meter};

/// Part of what a ceiling's store holds that goes to the process that takes over; the other has the rest for what it
/// still answers.
const HANDED: f64 = 0.5;
/// Part of a ceiling's fill that the one before keeps: none, but for a plan without a fill has no ceiling at all.
const FILL_LEFT: f64 = 1e-3;

/// What a torn estate differs in: a number that is none would be found only where it does harm.
const CHECK: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// All that is handed on, in the module's own terms: moments are those of the clock, which has to go along.
#[derive(Serialize, Deserialize)]
struct Kept<'a> {
    /// Classes, plans and kinds of machine: what the numbers below count.
    shape: (usize, usize, u32),
    born: f64,
    listed: bool,
    incarnation: u32,
    ladder: Cow<'a, Ladder>,
    customers: Cow<'a, BTreeMap<u32, Customer>>,
    backends: Cow<'a, [Backend]>,
    numbers: Cow<'a, BTreeMap<EndpointId, usize>>,
    latency: Cow<'a, [(f64, f64)]>,
    speeds: Cow<'a, [(f64, f64)]>,
    heard: Cow<'a, BTreeMap<u32, u32>>,
    rates: (f64, Meter, Meter),
    evidence: (LoadStatistics, LoadStatistics),
    carried: (f64, f64),
}

impl Kept<'_> {
    /// True where every number in it counts something that is there: what is read may be anything.
    fn whole(&self, brain: &DecisionPolicy) -> bool {
        let labels = self.shape.0 + self.shape.1;
        let (ladder, own) = (&self.ladder, &brain.ladder);
        let customer = |c: &Customer| c.spread > 0 && c.plan.is_none_or(|p| p < self.shape.1);
        ladder.tiers.len() == own.tiers.len()
            && ladder.rates.len() == own.rates.len()
            && ladder.filter < own.rates.len()
            && !ladder.tallies.is_empty()
            && self.latency.len() == brain.latency.len()
            && self.speeds.len() == brain.speeds.len()
            && self.backends.iter().all(|b| b.health.len() == labels)
            && self.numbers.values().all(|n| *n < self.backends.len())
            && self
                .customers
                .values()
                .all(|c| customer(c) && (c.plan.is_none() || !c.keepers.is_empty()))
    }
}

impl DecisionPolicy {
    fn shape(&self) -> (usize, usize, u32) {
        (
            self.set.classes.len(),
            self.set.plans.len(),
            self.set.machine_type_count,
        )
    }

    /// Hands on what it keeps. From here on this one has only its part of each ceiling's store, and no fill.
    ///
    /// # Errors
    ///
    /// What it keeps can't be written down.
    pub fn export_snapshot(&mut self) -> Result<Vec<u8>, String> {
        self.fill_all();
        let left: Vec<f64> = self
            .customers
            .values()
            .map(|c| c.ceiling * (1.0 - HANDED))
            .collect();
        self.customers
            .values_mut()
            .for_each(|c| c.ceiling *= HANDED);
        let kept = Kept {
            shape: self.shape(),
            born: self.born,
            listed: self.listed,
            incarnation: self.incarnation,
            ladder: Cow::Borrowed(&self.ladder),
            customers: Cow::Borrowed(&self.customers),
            backends: Cow::Borrowed(&self.backends),
            numbers: Cow::Borrowed(&self.numbers),
            latency: Cow::Borrowed(&self.latency),
            speeds: Cow::Borrowed(&self.speeds),
            heard: Cow::Borrowed(&self.heard),
            rates: (self.retries, self.arrivals, self.mixed),
            evidence: (self.pool, self.told),
            carried: (self.carried, self.strength),
        };
        let bytes = postcard::to_stdvec_crc32(&kept, CHECK.digest()).map_err(|e| e.to_string());
        for (c, left) in self.customers.values_mut().zip(left) {
            (c.ceiling, c.bank) = (left, c.bank.map(|_| 0.0));
        }
        self.set
            .plans
            .iter_mut()
            .for_each(|p| p.ceiling_units_per_second *= FILL_LEFT);
        bytes
    }

    /// The one that was to take over has failed: this one goes on by itself, with what it has left.
    pub fn resume(&mut self) {
        // What came in the meantime came to the other one; and whoever is not known here may have spent all there.
        self.fill_all();
        self.born = self.last;
        self.set
            .plans
            .iter_mut()
            .for_each(|p| p.ceiling_units_per_second /= FILL_LEFT);
    }

    /// Brings every store up to the present moment: filled later, it would be at another's rate.
    fn fill_all(&mut self) {
        let plans = &self.set.plans;
        for c in self.customers.values_mut() {
            if let Some(plan) = c.plan.map(|p| &plans[p]) {
                c.fill(self.last, plan);
            }
        }
    }

    /// Goes on where another left off.
    ///
    /// # Errors
    ///
    /// What was handed on is not of this form, or of other settings; nothing is changed then.
    pub fn import_snapshot(&mut self, bytes: &[u8]) -> Result<(), String> {
        let kept: Kept<'_> =
            postcard::from_bytes_crc32(bytes, CHECK.digest()).map_err(|e| e.to_string())?;
        if kept.shape != self.shape() || !kept.whole(self) {
            return Err("it is of other settings".to_string());
        }
        (self.born, self.listed, self.incarnation) = (kept.born, kept.listed, kept.incarnation);
        (self.ladder, self.customers) = (kept.ladder.into_owned(), kept.customers.into_owned());
        (self.backends, self.numbers) = (kept.backends.into_owned(), kept.numbers.into_owned());
        (self.latency, self.speeds) = (kept.latency.into_owned(), kept.speeds.into_owned());
        self.heard = kept.heard.into_owned();
        (self.retries, self.arrivals, self.mixed) = kept.rates;
        (self.pool, self.told) = kept.evidence;
        (self.carried, self.strength) = kept.carried;
        // What is out is the other's.
        self.customers.values_mut().for_each(|c| c.out = 0);
        // The line of those untold did not come along: each gets into it again with its next request.
        self.customers.values_mut().for_each(|c| c.untold = false);
        Ok(())
    }
}
