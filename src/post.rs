//! What gateways tell each other: what is told, to whom and how often, within what each may take in. Which request
//! is refused or sent where is no matter of this file.
//!
//! In a small fleet each tells all that share a customer. In a large one a customer has a few keepers (by rendezvous
//! hashing) that sum its use: each request is told its first keeper at once, as a report that waits is learnt too
//! late; the keeper speaks to the whole set when the customer runs short, and to a peer alone that is wrong on it.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::BTreeMap;

use crate::api::{Action, Plan};
use crate::decision::{MEMORY, SHORT, WORD};
use crate::gossip::codec::{self, units_code, Record};
use crate::state::{Customer, DecisionPolicy, Meter, Word};

const REPORT_EVERY: f64 = 0.2; // s; sets whose tell-all reports are slower than this have keepers.
const KEEPER_LAG: f64 = 0.5; // s; by which each further keeper waits for the ones before it to speak.
const MAIL_SHARE: f64 = 0.5; // Share of the peers' receive limit that reports may use.
const WORD_SHARE: f64 = 0.5; // Share of it that a keeper's words to whole sets may use, all keepers speaking.
const WORD_SAVED: f64 = 10.0; // s of that share that may be saved up: a word goes to many at once.
const UNTOLD: f64 = 0.3; // Share of the burst by which a peer's store may be off before its keeper tells it.
const NEWS: f64 = 1.5; // Change of a told demand that is worth telling at once, in roots of counts: beyond chance.
const LENT: (f64, f64) = (1.0, 3.0); // s of a peer's demand that the bank lends it, and s after which that is taken as lost.
const GRANT: f64 = 0.5; // Part of the ceiling's slack that a round of grants may have in flight.

impl Customer {
    /// True where what the set was last told of this customer is no longer so: a keeper has to speak.
    /// `pace`: what may go through where few attempts may be out at once.
    fn news(&self, now: f64, p: &Plan, pace: f64) -> bool {
        let demand = self.demand.read(now, MEMORY.0);
        let Some(w) = self
            .word
            .filter(|w| now - w.at < WORD.1 && w.demand > pace.min(p.quota_units_per_second))
        else {
            return demand > p.quota_units_per_second && self.store < SHORT.0 * p.quota_burst_units
                || demand > pace && pace < p.quota_units_per_second;
        };
        // What those who heard the word take the store for by now.
        let age = now - w.at;
        let believed =
            (w.drained(w.store, age, p) + age * p.quota_units_per_second).min(p.quota_burst_units);
        let off = (self.store - believed).abs() > UNTOLD * p.quota_burst_units;
        // A fall is told once it is over: it shows in the store until then.
        let change = (demand * MEMORY.0).sqrt() - (w.demand * MEMORY.0).sqrt();
        let other = change > NEWS || -change > NEWS && demand < pace.min(p.quota_units_per_second);
        age > KEEPER_LAG && (off || other || demand > p.quota_units_per_second && age > WORD.0)
    }

    /// Fills this gateway's part of the ceiling's store, and the bank where it is here.
    pub(crate) fn fill_ceiling(&mut self, now: f64, dt: f64, p: &Plan) {
        let (k, part) = (f64::from(self.spread), self.dealt / f64::from(self.spread));
        // What was granted beyond the part stays, from a bank only for as long as that counts it as lent: kept for
        // ever, what a bank lent one after another would come to far more than the ceiling's store.
        let kept = if self.dealt < 1.0 {
            (-dt / LENT.1).exp()
        } else {
            1.0
        };
        let over = (self.ceiling - p.ceiling_burst_units * part).max(0.0) * kept;
        let filled = (self.ceiling + dt * p.ceiling_units_per_second * part)
            .min(p.ceiling_burst_units * part + over);
        self.ceiling = filled;
        let Some(bank) = &mut self.bank else { return };
        // A part not used for as long as the ceiling takes to fill is full: the bank has what would run over.
        let full = p.ceiling_burst_units / p.ceiling_units_per_second.max(1e-9);
        let used = self
            .peers
            .values()
            .filter(|u| now - u.demand.at < full)
            .count();
        let rest = 1.0 - self.dealt * (used as f64 + 1.0).min(k) / k;
        let lent: f64 = self
            .peers
            .values()
            .map(|u| u.lent.read(now, LENT.1) * LENT.1)
            .sum();
        let most = (p.ceiling_burst_units * (1.0 - self.dealt) - lent).max(0.0);
        *bank = (*bank + dt * p.ceiling_units_per_second * rest).min(most);
    }

    /// What the bank lends a peer that used so many units, of what it may soon need; a loss only wastes.
    fn lend(&mut self, now: f64, peer: u32, used: f64, most_units: f64) -> Option<f64> {
        let (bank, peer) = (self.bank.as_mut()?, self.peers.get_mut(&peer)?);
        let lent = (peer.lent.read(now, LENT.1) * LENT.1 - used).max(0.0);
        let wanted = peer.demand.read(now, MEMORY.0) * LENT.0 + most_units;
        let amount = ((wanted - lent).min(*bank / 2.0) * 4.0).floor().max(0.0) / 4.0;
        *bank -= amount;
        peer.lent = Meter {
            rate: (lent + amount) / LENT.1,
            at: now,
        };
        Some(amount).filter(|a| *a > 0.0)
    }
}

impl DecisionPolicy {
    /// True where the receive limit lets each of so many gateways tell all the others often enough.
    pub(crate) fn tells_all(&self, gateways: u32) -> bool {
        f64::from(gateways.max(1) - 1)
            <= MAIL_SHARE * self.set.gossip_messages_per_second * REPORT_EVERY
    }

    pub(crate) fn tell(
        &self,
        peer: Option<u32>,
        records: &[(u32, Record)],
        actions: &mut Vec<Action>,
    ) {
        let texts = codec::write(self.incarnation, records);
        actions.extend(
            texts
                .into_iter()
                .map(|text| Action::SendGossip { peer, text }),
        );
    }

    /// Tells the keepers of each customer that is untold what came in for it and went out: those of a small
    /// fleet all together, in a large one each at once, the first keeper before the others.
    pub(crate) fn report(&mut self, now: f64, actions: &mut Vec<Action>) {
        let mut letters: BTreeMap<u32, Vec<(u32, Record)>> = BTreeMap::new();
        // So spaced that what all send is within their part of what all may receive.
        let each = 1.0 / (MAIL_SHARE * self.set.gossip_messages_per_second).max(0.1);
        let (large, spare) = (
            !self.tells_all(self.set.node_count),
            now - REPORT_EVERY / 2.0,
        );
        self.next_report = self.next_report.max(now - REPORT_EVERY);
        while !large || self.next_report <= now {
            let Some(fp) = self.untold.pop_front() else {
                break;
            };
            let Some(c) = self.customers.get_mut(&fp) else {
                continue;
            };
            c.untold = false;
            let Some(plan) = c.plan else { continue };
            c.fill(now, &self.set.plans[plan]);
            let level = c.store / self.set.plans[plan].quota_burst_units.max(1e-9);
            let (first, spread, sent, asked) =
                (c.first, c.spread, units_code(c.sent), units_code(c.asked));
            let record = Record::Usage {
                plan,
                first_node: first,
                node_set_size: spread,
                forwarded: sent,
                requested: asked,
                quota_level: level,
            };
            for (rank, keeper) in c
                .keepers
                .iter()
                .enumerate()
                .filter(|(_, k)| **k != self.set.node)
            {
                if !large {
                    letters.entry(*keeper).or_default().push((fp, record));
                } else if rank == 0 || c.dealt == 1.0 || self.next_report <= spare {
                    self.next_report += each;
                    let texts = codec::write(self.incarnation, &[(fp, record)]);
                    actions.extend(texts.into_iter().map(|text| Action::SendGossip {
                        peer: Some(*keeper),
                        text,
                    }));
                }
            }
        }
        if !large {
            self.next_report = now + letters.len() as f64 * each;
        }
        for (keeper, records) in letters {
            self.tell(Some(keeper), &records, actions);
        }
    }

    /// As a customer's keeper, tells its set that it is short, how far its demand goes, and when it no
    /// longer is. Each keeper waits for those before it, so one that is down or began anew is passed over.
    pub(crate) fn speak(&mut self, now: f64, fp: u32, actions: &mut Vec<Action>) {
        let Some(plan) = self.customers.get(&fp).and_then(|c| c.plan) else {
            return;
        };
        let pace = self.pace(&self.set.plans[plan]);
        let (plan, Some(c)) = (&self.set.plans[plan], self.customers.get_mut(&fp)) else {
            return;
        };
        if !c.keeps || c.keepers.len() >= c.spread as usize || plan.quota_units_per_second <= 0.0 {
            return;
        }
        c.fill(now, plan);
        if !c.news(now, plan, pace) {
            c.due = None;
            return;
        }
        let rank = c
            .keepers
            .iter()
            .position(|k| *k == self.set.node)
            .unwrap_or(0);
        if now - *c.due.get_or_insert(now) < rank as f64 * KEEPER_LAG {
            return;
        }
        // What all keepers tell, all of a set take in: no more than their part of what all may receive.
        let each = 1.0 / (WORD_SHARE * self.set.gossip_messages_per_second).max(0.1);
        if self.next_word > now {
            return;
        }
        self.next_word = self.next_word.max(now - WORD_SAVED) + f64::from(c.spread - 1) * each;
        let (demand, level) = (
            c.demand.read(now, MEMORY.0),
            c.store / plan.quota_burst_units.max(1e-9),
        );
        (c.word, c.due) = (
            Some(Word {
                demand,
                store: c.store,
                at: now,
            }),
            None,
        );
        let n = self.set.node_count.max(1);
        let set: Vec<u32> = (0..c.spread).map(|i| (c.first + i) % n).collect();
        for peer in set.into_iter().filter(|p| *p != self.set.node) {
            self.tell(
                Some(peer),
                &[(
                    fp,
                    Record::Aggregate {
                        demand,
                        quota_level: level,
                    },
                )],
                actions,
            );
        }
    }

    /// Moves ceiling tokens to the peer that needs them more: deducted here at once, so a loss only wastes.
    pub(crate) fn grant(&mut self, now: f64, actions: &mut Vec<Action>) {
        let mut grants = Vec::new();
        for (fp, c) in &mut self.customers {
            let Some(plan) = c.plan.map(|p| &self.set.plans[p]) else {
                continue;
            };
            if plan.ceiling_units_per_second <= 0.0 || c.spread < 2 || c.dealt < 1.0 {
                continue;
            }
            c.fill(now, plan);
            let k = f64::from(c.spread);
            let fair = plan.ceiling_units_per_second / k;
            let keep = c.own.read(now, MEMORY.0) + self.set.max_request_units;
            let rates = c
                .peers
                .iter()
                .map(|(p, u)| (*p, u.demand.read(now, MEMORY.0)));
            let needy = rates.filter(|(_, rate)| *rate > 0.7 * fair);
            let Some((peer, _)) = needy.max_by(|a, b| a.1.total_cmp(&b.1)) else {
                continue;
            };
            let amount = (GRANT * plan.ceiling_slack_units / k).min(c.ceiling - keep);
            let amount = (amount * 4.0).floor() / 4.0;
            if amount > 0.0 {
                c.ceiling -= amount;
                grants.push((peer, (*fp, Record::Grant(amount))));
            }
        }
        for (peer, record) in grants {
            self.tell(Some(peer), &[record], actions);
        }
    }

    /// As a customer's first keeper in a large set, answers a peer's report: whoever is wrong on the customer is told
    /// at once, as each sees it seldom; and the ceiling's bank lends what the peer may soon need.
    pub(crate) fn correct(
        &mut self,
        now: f64,
        from: u32,
        fp: u32,
        level: f64,
        used: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(c) = self.customers.get_mut(&fp) else {
            return;
        };
        let Some(plan) = c.plan.map(|p| &self.set.plans[p]) else {
            return;
        };
        if c.dealt == 1.0 || c.keepers[0] != self.set.node {
            return;
        }
        let (demand, here) = (
            c.demand.read(now, MEMORY.0),
            c.store / plan.quota_burst_units.max(1e-9),
        );
        let wrong = (level - here).abs() > UNTOLD;
        let lent = (plan.ceiling_units_per_second > 0.0)
            .then(|| c.lend(now, from, used, self.set.max_request_units))
            .flatten();
        if wrong && plan.quota_units_per_second > 0.0 {
            self.tell(
                Some(from),
                &[(
                    fp,
                    Record::Aggregate {
                        demand,
                        quota_level: here,
                    },
                )],
                actions,
            );
        }
        if let Some(lent) = lent {
            self.tell(Some(from), &[(fp, Record::Grant(lent))], actions);
        }
    }
}

#[cfg(test)]
mod tests;
