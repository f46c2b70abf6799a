//! The decisions of one gateway. Types, events and actions: `src/api.rs`.
//!
//! The ordinary path is QGuard's ladder (admission under load) and the shared-quota estimate; docs/design.md
//! says what was kept of the paper and why the rest is here. Times inside are seconds of the caller's clock.

#![expect(clippy::min_ident_chars, reason = "short names are spelled out as the module is reworked")]
#![expect(clippy::too_many_lines, reason = "long functions are split as the module is reworked")]

use rand::{rngs::SmallRng, Rng, SeedableRng};

use crate::api::{Plan, PolicySettings, Event, Action, Request, RequestId, Idempotency, AttemptResult, Outcome, EndpointUpdateKind, Endpoint, EndpointState};
use crate::gossip::codec::{self, fingerprint, units_between, Record};
pub use crate::state::DecisionPolicy;
use crate::state::{Ladder, LoadStatistics, Word, Customer, Backend, secs, Tier, SIZES, nanos, Held, Out, Meter};

// ---- Constants: unit and reason beside each -----------------------------------------------------
const INTERVAL: f64 = 0.1; // s; monitor interval: a few outcomes each at tens of requests a second.
const H: usize = 10; // Intervals in the observation history (paper: 5 to 15).
const M: usize = 3; // Moderator: overloaded against underloaded intervals before tightening (paper: 3 to 6).
const SOJOURN: f64 = 0.3; // s; least sojourn between switches: a third of a history, so that one can show.
const SOJOURN_MOST: f64 = 5.0; // Most that a longer memory of rates, s, may stretch the least sojourn to.
const LAG_MAX: f64 = 4.0; // s; longest learned lag: beyond it the cause is not the switch.
const FILTERS: usize = 7; // Filters besides F0; the last refuses all.
const RANGE: (f64, f64) = (1.15, 0.35); // Range of the ladder as multiples of the focal point.
const START: f64 = 0.95; // Part of the focal point that a new ladder starts at: the backlog has to drain too.
const MINIMUM: f64 = 0.1; // Share of a tier's demand that every filter but the last leaves it.
const VOLUME: f64 = 0.3; // s; volume of a tier's bucket in time at its rate: lets chance clumps pass.
const PAID: f64 = 0.2; // Wait over the aim below which a fleet has room for what earns part of its worth.
const STRAIN: (f64, f64) = (0.45, 0.30); // Median latency over aim that is overload, underload.
const OWN_SLOW: f64 = 0.8; // Least part of a cold backend's latency that is strain: it is slow, not queued.
const FAILS: f64 = 0.05; // Share of outcomes refused, unconnected or timed out that means overload.
const ENOUGH: f64 = 20.0; // Outcomes that a history must hold to be judged without the pool.
pub(crate) const MEMORY: (f64, f64) = (1.0, 6.0); // s; memory of rates: of many outcomes, and of few.
const POOL_MEMORY: f64 = 1.0; // s; memory of pooled evidence: about as old as a history.
const POOL_EVERY: f64 = 0.2; // s; between parts of the pool sent to one peer: mixed among hundreds in 2 s.
const POOL_LAG: f64 = 2.0; // s; after which a switch shows in the pool: by its memory and what is out.
const PART: f64 = 30.0; // Intervals that one part of a pool may count for: more is no sane peer's.
const ECHO: f64 = 4.0; // Most that a pool is scaled by to enough outcomes: what little passes says little.
const MIXED: f64 = 1.0; // Parts taken in lately from which on the pool speaks for more than one peer.
const HORIZON: f64 = 1.0; // s; over which what is left in an empty store weighs in the refusal chance.
const DEBT: f64 = 1.0; // s of quota that the estimate may go below nothing: what a wrong report can cost.
const KEEPERS: usize = 2; // Gateways that sum a large set's reports: one may be down or cut off.
const BUSY: (f64, f64) = (0.8, 0.4); // Below this share of the store or above this of the rate one is busy.
pub(crate) const SHORT: (f64, f64) = (0.2, 0.5); // Share of the store: one is short below, no longer above.
pub(crate) const WORD: (f64, f64) = (6.0, 20.0); // s; a word on a short customer: repeated, trusted.
const ASKED_AGAIN: f64 = 3.0; // Asked over sent on beyond which others' demand is clients coming again.
const DEALT: f64 = 0.5; // Share of a ceiling dealt out evenly in a large set; its keeper lends the rest.
const FORGET: f64 = 10.0; // s; customers not seen for longer may be forgotten once their stores are full.
const CUSTOMERS: usize = 8192; // Customers kept at most: bounds memory under floods of customers seen once.
const LEARN: f64 = 0.1; // Weight of one answer in a backend's learned slowness: about ten answers of memory.
const LEARN_COST: f64 = 0.01; // Weight of one answer in a learned latency, once a hundred are known.
const LATE_COST: f64 = 0.3; // Part of that weight where the answer is the later one: waits are not work.
const CROSSING: f64 = 1.1; // Score of another zone's backends: mild, a crossing costs far less than a wait.
const NEAR: f64 = 1.15; // Scores within this factor of the best are equal.
const HEALTH_MEMORY: f64 = 4.0; // Memory of a backend's outcomes by class and by plan, in that of rates.
const PRIOR: f64 = 3.0; // Good outcomes taken for granted: one failure of a few says little.
const FIT: f64 = 0.7; // Fitness below which a backend's failures are its own and no overload.
const KIND_PRIOR: f64 = 10.0; // Answers that a kind of machine taken for usual counts for.
const KIND_MOST: f64 = 200.0; // Answers that what is known of a kind of machine goes back.
const SUBSET: (u32, u32) = (12, 8); // Least backends that a gateway keeps to, gateways that each has.
const FAR: f64 = 0.002; // Weight of the other backends, and what of the own part has to be usable:
const ABLE: f64 = 0.5; // what is missing to it goes to them.
const LEAST: f64 = 0.02; // Weight that the sickest backend keeps: trials by chance, of all together.
const SILENCE: (f64, f64) = (6.0, 0.25); // Answers overdue, and s of silence, that make a backend suspect.
const STRIKE: (f64, f64) = (0.5, 4.0); // s; first and longest time out of use after a time-out or break.
const BREAKS: u32 = 2; // Broken connections in a row, without an answer, that strike no backend out.
const COLD_MARGIN: f64 = 0.7; // Part of the cold budget that is used: chance and others need the rest.
const CARRIES: f64 = 6.0; // Requests an aim that a warm backend carries at the least, where none is known.
const FEW: (f64, f64) = (1.0, 0.8); // Requests a window up to which each counts whole; part used, for chance.
const FIRST: f64 = 0.3; // Part of a window's cold budget that is there at once: served within an aim.
const RETRY: (f64, f64, f64, f64) = (0.2, 0.4, 3.0, 20.0); // A request; saved: s, least, most.
const WINDOW_SHARE: f64 = 0.9; // Share of a key's memory that is used: sends take time to arrive.
const SECOND_TRY: f64 = 1.2; // Part of the aim after which one is given up: its answer then earns little.
const BACKLOG: (f64, f64) = (0.33, 0.22); // Work out that mean worth may add to, in aims: own limit, pooled.
const BACKLOG_MIN: (f64, f64) = (4.0, 2.8); // Least backlog of all, requests a backend: own limit, pooled.
const CARRIED: f64 = 20.0; // s; memory of the most carried: longer than a choke, shorter than a lasting loss.
const LOST: f64 = 0.5; // Part of work timed out that counts as carried: it may have run, or been lost.
const EXCESS: (f64, f64) = (1.3, 1.5); // Asked over carried beyond chance; its power: 1 just holds the limit.
const WORTH: (f64, f64) = (0.4, 2.5); // Least and most that worth moves that limit by: all keep a part.
const BACKLOG_OWN: f64 = 4.0; // Requests; a smaller limit of its own is passed by chance too often.
const STALL: f64 = 0.4; // s; a longer gap in this gateway's own clock: ticks come every interval.
const LEFT: f64 = 0.75; // Part of what a kept quota leaves of a ceiling that a new life starts with.
const CHANCE: f64 = 1.1; // Of the root of the attempts that may be out, kept free: they come by chance.
const AGAIN: (f64, f64) = (0.125, 0.25); // Wait told with a refusal, part of the aim: by quota, by load.
const WATCH_WAIT: f64 = 0.5; // s; first wait before following a list anew; doubles.
const LOG_LINES: u32 = 60; // Log lines a life may write.

const TICK: u64 = 1;
const WATCH: u64 = 2;

// ---- Ladder -------------------------------------------------------------------------------------
impl Ladder {
    /// True where the filter in force lets work of this cost pass.
    fn admit(&mut self, now: f64, tier: usize, cost: f64, value: f64, luck: f64) -> bool {
        let t = &mut self.tiers[tier];
        t.demand.add(now, cost, self.memory);
        t.value = if t.asked == 0.0 { value / cost } else { t.value + (value / cost - t.value) * 0.05 };
        t.asked += cost;
        if self.filter == 0 {
            t.tokens = luck * cost; // Not full: hundreds of buckets full at once would be a wave.
            return true;
        }
        // Rounded at random: buckets smaller than a request let their share of requests pass.
        if self.filter == FILTERS || t.tokens < cost * luck {
            return false;
        }
        t.tokens -= cost;
        true
    }

    /// Mean worth of a unit of work asked for.
    fn worth(&self, now: f64) -> f64 {
        let sums = self.tiers.iter().map(|t| (t.demand.read(now, self.memory), t.value));
        let (demand, worth) = sums.fold((0.0, 0.0), |(d, w), (x, v)| (d + x, w + x * v));
        worth / demand.max(1e-9)
    }

    /// Splits the filter's rate over the tiers, max-min: minimums, then by worth, the rest flows on.
    fn split(&mut self, now: f64) {
        let rate = self.rates[self.filter];
        let demand: Vec<f64> = self.tiers.iter().map(|t| t.demand.read(now, self.memory)).collect();
        let total: f64 = demand.iter().sum();
        let mut share: Vec<f64> = demand.iter().map(|d| d * MINIMUM.min(rate / total.max(1e-9))).collect();
        for _ in 0..self.tiers.len() {
            let left = rate - share.iter().sum::<f64>();
            let open = |i: &usize| share[*i] < demand[*i] * 0.999;
            let open: Vec<usize> = (0..share.len()).filter(open).collect();
            let weight: f64 = open.iter().map(|i| self.tiers[*i].value * demand[*i]).sum();
            for i in open.into_iter().filter(|_| left > 1e-6 && weight > 0.0) {
                let more = left * self.tiers[i].value * demand[i] / weight;
                share[i] = (share[i] + more).min(demand[i]);
            }
        }
        let spare = (rate - share.iter().sum::<f64>()).max(0.0) / self.tiers.len().max(1) as f64;
        for (tier, share) in self.tiers.iter_mut().zip(share) {
            tier.fill = share + spare;
        }
    }

    /// One monitor interval, judged by `seen`. Returns a line when the filter changed.
    fn interval(&mut self, now: f64, seen: &LoadStatistics, lag: f64) -> Option<String> {
        for t in &mut self.tiers {
            t.tokens = (t.tokens + t.fill * INTERVAL).min((t.fill * VOLUME).max(1.0));
        }
        // Of the answers proper: what is turned away or lost by some backends says nothing of the others.
        let answered = seen.outcomes - seen.rejected - seen.timed_out;
        let low = seen.fast * 2.0 >= answered;
        // A share of nothing is underload only while queues are short: it would cancel the latency.
        let sign = |over: bool, under: bool| i32::from(over) - i32::from(low && under && !over);
        let share = |bad: f64| sign(bad > (FAILS * seen.outcomes).max(1.0), bad <= FAILS / 2.0 *
            seen.outcomes);
        let index = share(seen.rejected) + share(seen.timed_out) + sign(seen.slow * 2.0 > answered, true);
        self.tallies.push_back(LoadStatistics::default());
        self.index.push_back(index);
        if self.index.len() > H {
            self.index.pop_front();
            self.tallies.pop_front();
        }
        if index > 0 {
            self.onset.get_or_insert(now);
        } else if let Some(onset) = self.onset.take_if(|_| index < 0) {
            self.lag += ((now - onset).min(LAG_MAX) - self.lag) * 0.5;
        }
        // What few outcomes say comes from the pool, and late: the effect of a switch has to show first.
        let least = SOJOURN * self.memory.min(SOJOURN_MOST);
        let sojourn = if 2.0 * self.lag > least { least.max(self.lag / 2.0) } else { least }.max(lag);
        let before = self.filter;
        if now - self.switched >= least {
            let recent = &self.index;
            let over = recent.iter().filter(|i| **i > 0).count();
            let under = recent.iter().filter(|i| **i < 0).count();
            let half = recent.len() / 2;
            let (older, newer): (i32, i32) = (recent.iter().take(half).sum(), recent.iter().skip(half).sum());
            // The lag stretches only what tightens, as in the paper: going too far is what it guards against.
            let settled = now - self.switched >= sojourn;
            if index > 0 && settled && over >= 2 && over >= M * under && self.filter < FILTERS {
                self.filter += 1;
                if self.filter == 1 {
                    self.refocus(now);
                }
            } else if self.filter > 0 && (newer < older || newer < 0) && index <= 0 {
                self.filter -= 1;
            }
        }
        self.split(now);
        if self.filter == before {
            return None;
        }
        self.switched = now;
        Some(format!("ladder F{} (index {index}, focal {:.1}/s)", self.filter, self.focal))
    }

    /// A new ladder round the throughput at a first overload: even steps through the range.
    fn refocus(&mut self, now: f64) {
        self.focal = self.done.read(now, self.memory);
        for i in 1..FILTERS {
            let step = (RANGE.0 - RANGE.1) / (FILTERS - 2) as f64;
            self.rates[i] = self.focal * (RANGE.0 - step * (i - 1) as f64);
        }
        self.filter = (1..FILTERS).find(|i| self.rates[*i] <= START * self.focal).unwrap_or(1);
    }
}

// ---- Quota and ceiling --------------------------------------------------------------------------
impl Word {
    /// What this word's demand leaves of a store that nothing fills: it empties it, owed units fade.
    pub(crate) fn drained(&self, store: f64, time: f64, p: &Plan) -> f64 {
        match store {
            s if s > 0.0 => (s - time * self.demand).max(-time * p.quota_units_per_second).min(s),
            s => s * (-time / HORIZON).exp() - time * p.quota_units_per_second.min(self.demand),
        }
    }
}

impl Customer {
    /// A keeper's word while it is trusted; a keeper goes by its own sums.
    fn word(&self, now: f64) -> Option<Word> {
        self.word.filter(|w| !self.keeps && now - w.at < WORD.1)
    }

    pub(crate) fn fill(&mut self, now: f64, p: &Plan) {
        // Others' use, for as long as the word on it is trusted: it empties the store, owed units fade.
        if let Some(w) = self.word.filter(|w| !self.keeps && w.at + WORD.1 > self.at) {
            let told = (w.at + WORD.1).min(now) - self.at;
            self.store = w.drained(self.store, told, p);
        }
        let dt = (now - self.at).max(0.0);
        self.at = now;
        self.store = (self.store + dt * p.quota_units_per_second).min(p.quota_burst_units);
        self.fill_ceiling(now, dt, p);
    }

    fn drain(&mut self, p: &Plan, units: f64, most: f64) {
        self.store = (self.store - units).max(-(p.quota_units_per_second * DEBT).max(most));
    }
}

// ---- Backends -----------------------------------------------------------------------------------
impl Backend {
    /// Share of work that a backend is fit for: by failures of the class and of the plan, squared. Guards
    /// against whatever fails one kind of request at some backends: silence, errors, false `full`. Could harm
    /// by chance failures of one seldom seen, hence the prior and the least weight.
    fn fit(&self, now: f64, labels: [usize; 2], memory: f64) -> f64 {
        let sound = labels.map(|label| {
            let [ok, failed] = self.health[label].map(|m| m.read(now, memory) * memory);
            1.0 - failed / (ok + failed + PRIOR * HEALTH_MEMORY / memory)
        });
        sound[0].min(sound[1]).powi(2).max(LEAST)
    }
}

// ---- Attempts -----------------------------------------------------------------------------------
impl DecisionPolicy {
    /// A gateway that has just started.
    pub fn new(settings: PolicySettings, seed: u64, now: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = secs(now);
        DecisionPolicy {
            born: now,
            incarnation: rng.random_range(0..1 << 24),
            ladder: Ladder {
                tiers: vec![Tier::default(); settings.plans.len() * settings.classes.len()],
                tallies: [LoadStatistics::default()].into(),
                rates: vec![0.0; FILTERS + 1],
                memory: MEMORY.0,
                ..Ladder::default()
            },
            latency: vec![(0.0, 0.0); settings.classes.len() * SIZES],
            speeds: vec![(1.0, KIND_PRIOR); settings.machine_type_count.max(1) as usize],
            retries: RETRY.2,
            next_pool: now + POOL_EVERY * rng.random::<f64>(),
            next_report: now,
            next_word: now,
            next_sweep: now + FORGET,
            watch_wait: WATCH_WAIT,
            ..DecisionPolicy::blank(settings, rng)
        }
    }

    /// Takes in one event; what is to be done is appended to `actions`.
    pub fn handle(&mut self, now: u64, event: Event, actions: &mut Vec<Action>) {
        let now = secs(now);
        if self.last == 0.0 {
            self.last = now;
            actions.push(Action::SetTimer { after_ns: nanos(INTERVAL), token: TICK });
            actions.extend(self.set.watch_endpoints.then_some(Action::WatchEndpoints(true)));
        }
        self.stalled = if now - self.last > STALL { now } else { self.stalled };
        self.last = now;
        match event {
            Event::EndpointUpdate(kind, entries) => self.members(now, kind, &entries, actions),
            Event::ReturnedToService(member) => self.given_back(now, member, actions),
            Event::ZoneTrafficShares(shares) => self.zones = shares,
            Event::Request(request) => self.request(now, request, actions),
            Event::AttemptFinished(f) => self.finished(now, f, actions),
            Event::ClientDisconnected(id) => self.client_left(id, actions),
            Event::TimerExpired(TICK) => self.tick(now, actions),
            Event::TimerExpired(WATCH) => actions.push(Action::WatchEndpoints(true)),
            Event::PeerMessage { from, text } => self.peer(now, from, &text, actions),
            Event::ResponseStarted { request, .. } => {
                self.held.entry(request).and_modify(|h| h.deadline = f64::INFINITY);
            }
            Event::TimerExpired(_) | Event::HealthChecked { .. } | Event::CounterRead { .. } => {}
        }
        if !self.untold.is_empty() && now >= self.next_report {
            self.report(now, actions);
        }
    }

    fn request(&mut self, now: f64, r: Request, actions: &mut Vec<Action>) {
        let fp = fingerprint(&r.customer);
        self.arrivals.add(now, 1.0, MEMORY.0);
        let saved = (self.arrivals.read(now, MEMORY.0) * RETRY.1).clamp(RETRY.2, RETRY.3);
        self.retries = (self.retries + RETRY.0).min(saved);
        let plan = self.set.plans[r.plan].clone();
        self.demand(now, fp, &r, &plan);
        let within = self.within(now, fp, &r, &plan);
        // Beyond the quota only where the plan pays for it and nothing is short.
        let idle = self.tells_all(self.set.node_count) || self.wait() < PAID;
        let paid = plan.over_quota_weight_fraction > plan.over_quota_penalty_fraction && self.ladder.filter
            == 0 && idle;
        let c = &self.customers[&fp];
        let ceiling = plan.ceiling_units_per_second <= 0.0 || c.ceiling + c.bank.unwrap_or(0.0) >= r.units
            * c.luck;
        if !(within || paid) || !ceiling {
            return actions.push(self.refuse(r.id, r.class, AGAIN.0));
        }
        let kind = self.kind(r.class, r.units);
        let cost = self.cost(kind);
        let class = &self.set.classes[r.class];
        let tier = r.plan * self.set.classes.len() + r.class;
        let value = class.priority_weight * plan.weight_multiplier * r.units.max(1e-3);
        self.pool.requested += cost;
        let late = self.late(now, r.class, value / cost);
        if !self.ladder.admit(now, tier, cost, value, self.rng.random()) || late {
            return actions.push(self.refuse(r.id, r.class, AGAIN.1));
        }
        let mut held = Held {
            class: r.class,
            kind,
            customer: fp,
            plan: r.plan,
            units: r.units,
            charged: within,
            deadline: now + secs(r.time_left_ns),
            sent: now,
            cost,
            ..Held::default()
        };
        if !self.send(now, r.id, &mut held, actions) {
            return actions.push(self.refuse(r.id, r.class, AGAIN.1));
        }
        let customer = self.customers.get_mut(&fp).expect("entered by demand()");
        if within {
            if customer.word(now).is_none() {
                customer.drain(&plan, r.units, self.set.max_request_units);
            }
            customer.sent += r.units;
        }
        customer.ceiling -= r.units;
        if let Some(bank) = customer.bank.as_mut().filter(|_| customer.ceiling < 0.0) {
            (*bank, customer.ceiling) = (*bank + customer.ceiling, 0.0);
        }
        // Small parts pass in their share: whole requests held back in each of a large set would be many.
        customer.luck = if customer.dealt < 1.0 { self.rng.random() } else { 1.0 };
        customer.out += 1;
        self.held.insert(r.id, held);
        self.speak(now, fp, actions);
    }

    /// A refusal, and when to come back: as a part of the aim, while an answer can still be worth something.
    fn refuse(&self, request: RequestId, class: usize, part: f64) -> Action {
        let wait = secs(self.set.classes[class].latency_objective_ns).min(secs(self.set.max_retry_after_ns));
        Action::Reject { request, retry_after_ns: nanos(wait * part) }
    }

    /// The design's rule: refuse only while the estimated store is empty, with chance 1 - quota / demand.
    /// Extension: what is left or owed counts over HORIZON, so that a wrong guess is made good.
    fn within(&mut self, now: f64, fp: u32, r: &Request, plan: &Plan) -> bool {
        let customer = &self.customers[&fp];
        let own = customer.own.read(now, MEMORY.0);
        let demand = customer.demand.read(now, MEMORY.0).max(customer.word(now).map_or(0.0, |w| w.demand));
        let pace = if customer.dealt < 1.0 { self.pace(plan) } else { f64::INFINITY };
        let known = customer.keeps || customer.word(now).is_some();
        let empty = plan.quota_units_per_second > 0.0 && customer.store < r.units;
        if empty || known && pace < plan.quota_units_per_second {
            let left = if empty { plan.quota_units_per_second + customer.store / HORIZON } else { pace };
            if self.rng.random::<f64>() >= left.min(pace) / demand.max(1e-9) {
                return false;
            }
        }
        // What others have out is their demand for as long as a request of this kind takes; rounded at
        // random. Guards against a share of less than one each, which refuses those that have nothing out.
        // What they say they send on bounds it: a refused client asks again, at once and elsewhere.
        let asked = (demand - own).max(0.0);
        let sent = customer.theirs.read(now, MEMORY.0);
        // Where a word is out, all let no more pass than the quota and what is left in the store.
        let passed = (plan.quota_units_per_second + customer.store.max(0.0) / HORIZON).min(pace);
        let most = if customer.word(now).is_some() { passed } else { sent * ASKED_AGAIN };
        let others = asked.min(most) * self.usual(self.kind(r.class, r.units));
        plan.max_concurrency == 0 || f64::from(customer.out) + others + self.rng.random::<f64>() <
            f64::from(plan.max_concurrency)
    }

    /// Pace at which a customer that may have few attempts out at once gains most: beyond it, more is lost by
    /// those that come while all are out than others earn. Guards a set that cannot see what is out now.
    pub(crate) fn pace(&self, plan: &Plan) -> f64 {
        let open = f64::from(plan.max_concurrency);
        let wait = self.wait() * self.set.classes.iter().map(|c|
            secs(c.latency_objective_ns)).fold(f64::INFINITY, f64::min);
        let latency = DecisionPolicy::mean(&self.latency).max(wait);
        if plan.max_concurrency == 0 || latency <= 0.0 {
            return f64::INFINITY;
        }
        (open - CHANCE * open.sqrt()) / latency
    }

    /// Guard against a backlog that grows faster than the ladder moves (a surge, servers lost at once): work
    /// out beyond what is carried in a part of the aim would be late. Could harm while throughput is unknown,
    /// hence the floor and the first moments left free.
    fn late(&mut self, now: f64, class: usize, value: f64) -> bool {
        let ready = self.backends.iter().filter(|b| b.ready).count() as f64;
        let each = ready / f64::from(self.set.node_count.max(1));
        let aims = || self.set.classes.iter().map(|c| secs(c.latency_objective_ns));
        let span = (secs(self.set.classes[class].latency_objective_ns) * aims().fold(f64::INFINITY,
            f64::min)).sqrt();
        let worth = (value / self.ladder.worth(now)).clamp(WORTH.0, WORTH.1);
        let (age, memory) = (now - self.born, self.ladder.memory);
        let carried = self.ladder.done.read(now, memory) / (1.0 - (-age / memory).exp()).max(0.1);
        let limit = (carried * span * BACKLOG.0 * worth).max(BACKLOG_MIN.0 * each);
        if limit >= BACKLOG_OWN || self.tells_all(self.set.node_count) {
            return age > SOJOURN && self.out(now) > limit;
        }
        // A limit of few requests is passed by chance alone: the pool decides with it, and by a share.
        let (own, p) = (self.out(now), &self.told);
        let mixed = p.intervals > 0.0 && self.mixed.read(now, MEMORY.0) >= MIXED;
        let pooled = |part: f64, alone: f64| if mixed { part / p.intervals } else { alone };
        let limit = (self.carries() * span * BACKLOG.1 * worth).max(BACKLOG_MIN.1 * each);
        // A share of what is asked alone would hold the backlog at the limit times asked over carried: where
        // clients come again, a flood that chokes backends. Guards against any demand beyond what is carried,
        // and its retries; the more there is, the less backlog is needed to keep backends busy. Could harm
        // where backends have just gained capacity, until the pool shows it, or lose much work of a class.
        // What has just started knows too little of what is carried to call anything excess.
        let asked = if age < secs(self.set.overload_window_ns) { 0.0 } else { pooled(p.requested, 0.0) };
        let excess = asked / INTERVAL / (EXCESS.0 * self.carries()).max(1e-9);
        self.rng.random::<f64>() * excess.max(1.0).powf(EXCESS.1) * pooled(p.in_flight, own) > limit
    }

    /// Makes a customer known with its plan, its set and the keepers in it: all of a set where each can tell
    /// all others within the receive limit, else a few.
    fn enter(&mut self, now: f64, fp: u32, plan: usize, first: u32, spread: u32) {
        let n = self.set.node_count.max(1);
        let k = spread.clamp(1, n);
        let all = self.tells_all(k);
        let customer = self.customers.entry(fp).or_insert_with(|| Customer::new(now));
        if customer.keepers.is_empty() || (customer.spread, customer.first) != (k, first) {
            (customer.spread, customer.first) = (k, first);
            customer.keepers = (0..k).map(|i| (first + i) % n).collect();
            customer.keepers.sort_by_cached_key(|peer| codec::rank(fp, *peer));
            customer.keepers.truncate(if all { k as usize } else { KEEPERS });
            customer.keeps = customer.keepers.contains(&self.set.node);
            customer.dealt = if customer.keepers.len() < k as usize { DEALT } else { 1.0 };
            let lends = customer.dealt < 1.0 && customer.keepers[0] == self.set.node;
            customer.bank = lends.then(|| customer.bank.unwrap_or(0.0));
        }
        if customer.plan.is_none() {
            // The ceiling's part as filled since the start: an earlier life may have spent what was there.
            let (p, k) = (&self.set.plans[plan], f64::from(k));
            (customer.plan, customer.at, customer.store) = (Some(plan), now, p.quota_burst_units *
                customer.level);
            let filled = ((now - self.born) * p.ceiling_units_per_second).min(p.ceiling_burst_units);
            // A life that kept the quota, where that fills no faster, left what the burst does not take.
            let kept = p.quota_units_per_second > 0.0 && p.quota_units_per_second <=
                p.ceiling_units_per_second && customer.dealt < 1.0;
            let left = if kept { LEFT * (p.ceiling_burst_units - p.quota_burst_units).max(0.0) } else { 0.0 };
            customer.ceiling = (filled * customer.dealt + left).min(p.ceiling_burst_units * customer.dealt)
                / k;
            customer.bank = customer.bank.map(|_| filled * (1.0 - customer.dealt));
            customer.luck = if customer.dealt < 1.0 { self.rng.random() } else { 1.0 };
        }
    }

    /// Notes a request in its customer's demand, and whether it is reported.
    fn demand(&mut self, now: f64, fp: u32, r: &Request, plan: &Plan) {
        self.enter(now, fp, r.plan, r.first_node, r.node_set_size);
        let customer = self.customers.get_mut(&fp).expect("just entered");
        customer.fill(now, plan);
        customer.seen = now;
        if !r.is_retry {
            customer.own.add(now, r.units, MEMORY.0);
            customer.demand.add(now, r.units, MEMORY.0);
        }
        let busy = customer.store < BUSY.0 * plan.quota_burst_units
            || customer.demand.read(now, MEMORY.0) > BUSY.1 * plan.quota_units_per_second
            || !customer.keeps;
        customer.asked += if r.is_retry { 0.0 } else { r.units };
        let tells = busy && plan.quota_units_per_second > 0.0 && customer.spread > 1 &&
            self.set.gossip_enabled;
        if tells && !std::mem::replace(&mut customer.untold, true) {
            self.untold.push_back(fp);
        }
    }

    /// What this gateway sends a warm backend of its part, in work a second: by what its part carries now, in
    /// as many warm ones as that comes to. Where little was carried yet, a part of what any backend bears:
    /// guards against a cold fleet that refuses all, since it has carried nothing and so lets nothing in.
    fn each_carries(&self, now: f64) -> f64 {
        let ready = || self.backends.iter().filter(|b| b.ready);
        let strength: f64 = ready().filter(|b| b.mine).map(|b| self.cold_share(b, now)).sum();
        let part = ready().filter(|b| b.mine).count() as f64 / ready().count().max(1) as f64;
        let aim = self.set.classes.iter().map(|c| secs(c.latency_objective_ns)).fold(f64::INFINITY, f64::min);
        let carried = self.ladder.done.read(now, self.ladder.memory) / strength.max(1e-9);
        carried.max(CARRIES / aim / (f64::from(self.set.node_count) * part).max(1.0))
    }

    /// Room for this work at a cold backend: its budget in the window from this gateway, less what it got, by
    /// how late: room comes back evenly, and half of what is sent in a window counts on the mean. Less a part
    /// of a request drawn once a window: drawn with each request, many asked for would all pass. A life that
    /// has just begun knows nothing of an earlier one: most of its first window fills with time.
    fn cold_room(&self, i: usize, now: f64, share: f64, cost: f64, each: f64) -> f64 {
        let (b, window) = (&self.backends[i], secs(self.set.overload_window_ns));
        let known = (FIRST + (now - self.born.max(b.cold_from)) / window).min(1.0);
        // One that is owed work has to find room soon: all of its window, and a draw each interval.
        let (turn, part) = if b.owed { (INTERVAL, 2.0) } else { (window, known) };
        let luck = codec::luck(i as u32, self.set.node, now / turn);
        let budget = COLD_MARGIN * self.set.overload_multiple * share * each * window * part / cost;
        if budget < FEW.0 {
            return budget * FEW.1 - luck - b.lately.iter().filter(|(t, _)| now - t < window).count() as f64;
        }
        let spent: f64 = b.lately.iter().map(|(t, cost)| cost * (1.0 - (now - t) / window).max(0.0)).sum();
        budget / 2.0 - spent / cost - luck
    }

    /// Usual latency of a backend's kind of machine: in a large fleet too few answers come from each.
    fn speed(&self, b: &Backend) -> f64 {
        let kind = (b.member.machine_type as usize).min(self.speeds.len() - 1);
        if self.tells_all(self.set.node_count) {
            1.0
        } else {
            self.speeds[kind].0
        }
    }

    /// True where a backend gets hardly any work: silent, or struck out for a while that grows.
    fn suspect(&self, b: &Backend, now: f64) -> bool {
        // Many overdue at once tell as much as one for long. Could harm where a class slows at once.
        let due = |o: &Out| (now - o.sent.max(b.last_ok)) / (self.usual(o.kind) * b.slowness).max(0.02);
        now < b.out_until || b.silence(now) > SILENCE.1 && b.out.iter().map(due).sum::<f64>() > SILENCE.0
    }

    fn pick(&mut self, now: f64, held: &Held) -> Option<usize> {
        let class = &self.set.classes[held.class];
        let labels = [held.class, self.set.classes.len() + held.plan];
        let group = |b: &Backend| {
            held.tainted.is_none_or(|(i, _)|
                class.idempotency.deduplicates_between(&self.backends[i].member, &b.member))
        };
        let memory = HEALTH_MEMORY * self.ladder.memory;
        let mut rng = self.rng.clone();
        let open = |b: &Backend| b.ready && group(b);
        let sound = |(i, b): (usize, &Backend)| {
            let sick = if self.suspect(b, now) { LEAST } else { b.fit(now, labels, memory) };
            (i, sick, self.cold_share(b, now))
        };
        let open: Vec<_> = self.backends.iter().enumerate().filter(|(_, b)| open(b)).map(sound).collect();
        // What of its own part a gateway can use: where that is little, it goes to the others too.
        let own = open.iter().filter(|(i, ..)| self.backends[*i].mine);
        let (able, own) = own.fold((0.0, 0.0), |(able, n), (_, sick, share)| (able + sick * share, n + 1.0));
        let far = FAR.max(ABLE - able / f64::max(own, 1.0));
        let each = if open.iter().any(|o| o.2 < 1.0) { self.each_carries(now) } else { 0.0 };
        let mut good: Vec<(f64, f64, usize)> = Vec::with_capacity(open.len());
        for (i, sick, share) in open {
            let b = &self.backends[i];
            let mine = b.mine || b.owed;
            if share < 1.0 && (!mine || self.cold_room(i, now, share, held.cost, each) < 0.0) {
                continue;
            }
            // Before all others, once: chance alone could pass one by for long that little traffic meets.
            if b.owed {
                self.rng = rng;
                return Some(i);
            }
            let left = self.zones.get(b.member.zone as usize).copied().unwrap_or(1.0);
            if left < 1.0 && rng.random::<f64>() >= left {
                continue;
            }
            let size = if self.set.weighted_endpoints && b.member.weight > 0.0 { b.member.weight } else {
                1.0 };
            let zone = if b.member.zone == self.set.zone { 1.0 } else { CROSSING };
            let again = if held.tried.contains(&i) { 4.0 } else { 1.0 };
            let far = if b.mine { 1.0 } else { far };
            let fit = far * sick * size * share / (b.slowness * self.speed(b) * zone * again);
            let score = (b.load() + held.cost) / fit;
            let draw = -rng.random::<f64>().max(1e-12).ln() / fit;
            good.push((score, draw, i));
        }
        self.rng = rng;
        // Own work out tells backends apart only where there is some: so many are drawn by fitness, and the
        // best of these taken. Guards against all gateways running to the same few.
        let drawn = (2.0 * self.out(now)) as usize + 1;
        if drawn < good.len() {
            good.select_nth_unstable_by(drawn, |a, b| a.1.total_cmp(&b.1));
            good.truncate(drawn);
        }
        let best = good.iter().map(|g| g.0).reduce(f64::min)?;
        good.retain(|g| g.0 <= best * NEAR);
        Some(good[self.rng.random_range(0..good.len())].2)
    }

    /// Sends the request's next attempt, if a backend may have it.
    fn send(&mut self, now: f64, id: RequestId, held: &mut Held, actions: &mut Vec<Action>) -> bool {
        let Some(backend) = self.pick(now, held) else { return false };
        let class = &self.set.classes[held.class];
        let left = held.deadline - now;
        let again = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { deduplication_window_ns: window, .. } =>
                secs(class.latency_objective_ns) < secs(window) * WINDOW_SHARE,
            Idempotency::NonIdempotent => false,
        };
        let patience = (SECOND_TRY * secs(class.latency_objective_ns)).max(4.0 * self.usual(held.kind));
        let early = again && held.attempts + 1 < self.set.max_attempts && patience * 1.5 <= left;
        let timeout = if early { nanos(patience) } else { 0 };
        let b = &mut self.backends[backend];
        let Held { attempts: attempt, cost, class, plan, kind, .. } = *held;
        b.owed = false;
        b.out.push(Out { request: id, attempt, sent: now, cost, class, plan, kind });
        if now - b.cold_from < secs(self.set.slow_start_ns) {
            b.lately.push_back((now, cost));
        }
        held.attempts += 1;
        held.sent = now;
        held.tried.push(backend);
        actions.push(Action::StartAttempt { request: id, endpoint: b.member.id.clone(), timeout_ns: timeout
            });
        true
    }

    fn finished(&mut self, now: f64, f: AttemptResult, actions: &mut Vec<Action>) {
        let Some((backend, sent)) = self.outcome(now, &f) else { return };
        let Some(mut held) = self.held.remove(&f.request) else { return };
        if self.set.cost_settled_after_response && f.settled_units > 0.0 && held.charged {
            if let Some(c) = self.customers.get_mut(&held.customer) {
                c.drain(&self.set.plans[held.plan], f.settled_units - held.units, self.set.max_request_units);
                c.sent = (c.sent + f.settled_units - held.units).max(0.0);
            }
        }
        if f.request_complete || f.outcome == Outcome::Success {
            return self.close(&held);
        }
        if !f.outcome.never_executed() {
            held.tainted.get_or_insert((backend, sent));
        }
        let repeats = self.set.classes[held.class].idempotency;
        let may = match (repeats, held.tainted) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotencyKey { deduplication_window_ns: window, .. }, Some((_, first))) => now
                - first < secs(window) * WINDOW_SHARE,
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        let left = held.deadline - now;
        let room = held.attempts < self.set.max_attempts && left > self.usual(held.kind) / 2.0;
        if may && room && self.retries >= 1.0 && f.outcome != Outcome::NotSent {
            self.retries -= 1.0;
            if self.send(now, f.request, &mut held, actions) {
                return drop(self.held.insert(f.request, held));
            }
        }
        self.close(&held);
        actions.push(match held.tainted.is_none() || repeats.client_may_retry() {
            true => self.refuse(f.request, held.class, AGAIN.0),
            false => Action::Fail(f.request),
        });
    }

    fn close(&mut self, held: &Held) {
        self.customers.entry(held.customer).and_modify(|c| c.out = c.out.saturating_sub(1));
    }

    /// Books an outcome with its backend; returns which that is and when the attempt was sent.
    fn outcome(&mut self, now: f64, f: &AttemptResult) -> Option<(usize, f64)> {
        let number = *self.numbers.get(&f.endpoint)?;
        let outs = &mut self.backends[number].out;
        let at = outs.iter().position(|o| o.request == f.request && o.attempt == f.attempt)?;
        let out = outs.remove(at);
        let usual = self.usual(out.kind) * self.speed(&self.backends[number]);
        let kind = (self.backends[number].member.machine_type as usize).min(self.speeds.len() - 1);
        let slow = self.cold_share(&self.backends[number], now).max(OWN_SLOW);
        let b = &mut self.backends[number];
        if f.outcome == Outcome::Success {
            self.ladder.done.add(now, out.cost, self.ladder.memory);
            self.pool.completed += out.cost;
        } else if f.outcome == Outcome::TimedOut {
            // Lost at a backend that fails, it is no lack of capacity; waiting at one that chokes, it is.
            self.pool.completed += out.cost * LOST;
        }
        // What is found after a gap in this gateway's own clock may have waited here: it says nothing.
        if self.stalled == now || f.outcome == Outcome::NotSent || f.outcome == Outcome::Cancelled {
            return Some((number, out.sent));
        }
        let latency = secs(f.latency_ns);
        let strain = latency * slow / secs(self.set.classes[out.class].latency_objective_ns).max(1e-6);
        let labels = [out.class, self.set.classes.len() + out.plan];
        let memory = HEALTH_MEMORY * self.ladder.memory;
        let sound = b.strikes == 0 && b.fit(now, labels, memory) > FIT;
        match f.outcome {
            Outcome::Success => {
                let (known, answers) = &mut self.latency[out.kind];
                let part = if latency > *known && *answers > 0.0 { LATE_COST } else { 1.0 };
                *known += (latency - *known) * part * LEARN_COST.max(1.0 / (*answers + 1.0));
                *answers += 1.0;
                let (speed, answers) = &mut self.speeds[kind];
                *answers += 1.0;
                *speed +=
                    (latency / usual.max(1e-4) - 1.0).clamp(-0.9, 4.0) * *speed / (*answers).min(KIND_MOST);
                let slowness = (latency / usual.max(1e-4)).clamp(0.1, 5.0);
                b.slowness += (slowness - b.slowness) * LEARN * self.ladder.memory.sqrt();
            }
            // Silent, down or restarting: what comes back may be cold; the list says so seconds later.
            Outcome::TimedOut if b.last_ok >= out.sent => {}
            // A break or two are the connections' own, or spoilt answers: one that is down refuses the next.
            Outcome::ConnectionReset if b.strikes < BREAKS => b.strikes += 1,
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                b.out_until = now + (STRIKE.0 * f64::from(1u32 << b.strikes.min(3))).min(STRIKE.1);
                b.strikes += 1;
            }
            _ => {}
        }
        if matches!(f.outcome, Outcome::Success | Outcome::Failure | Outcome::Overloaded) {
            (b.last_ok, b.strikes, b.out_until) = (now, 0, 0.0);
        }
        let failed = usize::from(f.outcome != Outcome::Success);
        labels.iter().for_each(|l| b.health[*l][failed].add(now, 1.0, memory));
        // One sick server is not overload: only sound backends count.
        if sound {
            let mut seen = LoadStatistics { outcomes: 1.0, ..LoadStatistics::default() };
            seen.rejected = f64::from(u8::from(matches!(f.outcome, Outcome::Overloaded |
                Outcome::ConnectFailed)));
            // A time-out of this gateway's own making, inside the aim, tells of one request's cost only.
            seen.timed_out = f64::from(u8::from(f.outcome == Outcome::TimedOut && strain >= 1.0));
            if f.outcome == Outcome::Success {
                seen.slow = f64::from(u8::from(strain > STRAIN.0));
                seen.fast = f64::from(u8::from(strain < STRAIN.1));
            }
            let tally = self.ladder.tallies.back_mut().expect("never empty");
            *tally = tally.plus(&seen, 1.0);
            self.pool = self.pool.plus(&seen, 1.0);
        }
        Some((number, out.sent))
    }

    fn client_left(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.held.remove(&id) else { return };
        self.close(&held);
        for b in held.tried.iter().map(|i| &self.backends[*i]).filter(|_| self.set.cancellation_allowed) {
            for o in b.out.iter().filter(|o| o.request == id) {
                actions.push(Action::CancelAttempt { request: id, attempt: o.attempt });
            }
        }
    }

    fn members(&mut self, now: f64, kind: EndpointUpdateKind, entries: &[Endpoint], actions: &mut
        Vec<Action>) {
        if kind == EndpointUpdateKind::Failed {
            let again = Action::SetTimer { after_ns: nanos(self.watch_wait), token: WATCH };
            self.watch_wait = (self.watch_wait * 2.0).min(8.0);
            return actions.extend(self.set.watch_endpoints.then_some(again));
        }
        for b in self.backends.iter_mut().filter(|_| kind != EndpointUpdateKind::Delta) {
            (b.ready, b.gone) = (false, true);
        }
        let labels = self.set.classes.len() + self.set.plans.len();
        // The known ones first: a newcomer must not get the number of one that is named further on.
        let (known, new): (Vec<_>, _) = entries.iter().partition(|m| self.numbers.contains_key(&m.id));
        for m in known.into_iter().chain(new) {
            let told = m.started_at_ns.map_or(f64::NEG_INFINITY, secs);
            // A backend that turns up later than the first list is taken to have just started.
            let new = if self.listed && m.started_at_ns.is_none() { now } else { told };
            let number = self.numbers.get(&m.id).copied();
            let number = number.unwrap_or_else(|| self.enrol(Backend::new(m.clone(), new, labels)));
            let b = &mut self.backends[number];
            (b.ready, b.gone) = (m.state == EndpointState::Ready, m.state == EndpointState::Removed);
            if told > b.cold_from {
                b.cold_from = told;
                (b.slowness, b.strikes) = (1.0, 0);
                b.health.fill([Meter::default(); 2]);
            }
            b.member = m.clone();
        }
        self.deal();
        self.watch_wait = WATCH_WAIT;
        // An empty list of an earlier life is none: what the first one names did not start with it.
        self.listed |= kind == EndpointUpdateKind::Snapshot || !entries.is_empty();
    }

    /// One that the operators withheld and give back: restarted, so cold, and owed work if it had any.
    fn given_back(&mut self, now: f64, member: Endpoint, actions: &mut Vec<Action>) {
        let member = Endpoint { started_at_ns: Some(nanos(now)), ..member };
        let number = self.numbers.get(&member.id).copied();
        self.members(now, EndpointUpdateKind::Delta, &[member], actions);
        if let Some(b) = number.map(|n| &mut self.backends[n]) {
            (b.owed, b.out_until) = (b.last_ok > 0.0, 0.0);
        }
    }

    /// Deals the backends out in a large fleet: each gateway keeps to a part that it meets often enough to
    /// know, and to its connections. Rounds of as many gateways as there are parts share all backends evenly,
    /// each in an order of its own (rendezvous hashing), so that a change of the list moves few.
    fn deal(&mut self) {
        let large = !self.tells_all(self.set.node_count);
        let mut ready: Vec<usize> = (0..self.backends.len()).filter(|i| self.backends[*i].ready).collect();
        let parts = (ready.len() as u32 / SUBSET.0).min(self.set.node_count / SUBSET.1).max(1);
        let parts = if large { parts as usize } else { 1 };
        let (round, part) = (self.set.node / parts as u32, self.set.node as usize % parts);
        ready.sort_by_cached_key(|i| codec::rank(fingerprint(&self.backends[*i].member.id), round));
        for (rank, i) in ready.iter().enumerate() {
            self.backends[*i].mine = rank * parts / ready.len() == part;
        }
    }

    /// Gives a new backend its number: that of one that is gone and that nothing held names, else one more.
    /// Guards against a list of all that ever were, which every choice would go through.
    fn enrol(&mut self, new: Backend) -> usize {
        let named = |i: usize| self.held.values().any(|h| h.tried.contains(&i));
        let free = |i: &usize| self.backends[*i].gone && self.backends[*i].out.is_empty() && !named(*i);
        let number = (0..self.backends.len()).find(free).unwrap_or(self.backends.len());
        self.numbers.retain(|_, n| *n != number);
        self.numbers.insert(new.member.id.clone(), number);
        match self.backends.get_mut(number) {
            Some(old) => *old = new,
            None => self.backends.push(new),
        }
        number
    }

    fn tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { after_ns: nanos(INTERVAL), token: TICK });
        let out = self.out(now);
        let kept = (-INTERVAL / POOL_MEMORY).exp();
        self.pool = self.pool.scaled(kept);
        self.told = self.told.scaled(kept);
        (self.pool.intervals, self.pool.in_flight) = (self.pool.intervals + 1.0, self.pool.in_flight + out);
        // What choked backends answer says too little of what they can carry: it is forgotten slowly.
        self.strength = self.backends.iter().filter(|b| b.ready).map(|b| self.cold_share(b, now)).sum();
        let done = self.told.completed / self.told.intervals.max(1.0) / INTERVAL / self.strength.max(1.0);
        let rise = MEMORY.0.min(now - self.born).max(INTERVAL);
        let speed = if done > self.carried { rise } else { CARRIED };
        self.carried += (done - self.carried) * (INTERVAL / speed);
        let asked = self.arrivals.read(now, MEMORY.0);
        self.ladder.memory = (ENOUGH / asked.max(1e-9)).clamp(MEMORY.0, MEMORY.1);
        let seen = self.evidence(now);
        let lag = if self.tells_all(self.set.node_count) { 0.0 } else { POOL_LAG };
        if let Some(line) = self.ladder.interval(now, &seen, lag) {
            self.logged += 1;
            actions.extend((self.logged <= LOG_LINES).then_some(Action::Log(line)));
        }
        let window = secs(self.set.overload_window_ns);
        self.backends.iter_mut().for_each(|b| b.lately.retain(|(t, _)| now - t < window));
        let peers = self.set.node_count.saturating_sub(1);
        if self.set.gossip_enabled && peers > 0 && now >= self.next_pool {
            self.next_pool = now + POOL_EVERY;
            if !self.tells_all(self.set.node_count) {
                // Half of the pool goes to one peer, so that nothing is counted twice.
                self.pool = self.pool.scaled(0.5);
                let to = (self.set.node + 1 + self.rng.random_range(0..peers)) % self.set.node_count;
                self.tell(Some(to), &[(0, Record::Statistics(self.pool))], actions);
            }
            self.grant(now, actions);
        }
        if now >= self.next_sweep || self.customers.len() > CUSTOMERS {
            self.next_sweep = now + FORGET;
            let plans = &self.set.plans;
            self.customers.retain(|_, c| {
                let plan = c.plan.map(|p| &plans[p]);
                plan.into_iter().for_each(|p| c.fill(now, p));
                // A plan without a rate or a ceiling never fills what its requests take from it.
                let full = |p: &Plan| {
                    let bank = c.bank.is_none_or(|b| b >= p.ceiling_burst_units * (1.0 - c.dealt) * (1.0 -
                        1e-9));
                    let part = p.ceiling_burst_units * c.dealt * (1.0 - 1e-9);
                    let ceiling = bank && c.ceiling * f64::from(c.spread) >= part;
                    (p.quota_units_per_second <= 0.0 || c.store >= p.quota_burst_units) &&
                        (p.ceiling_units_per_second <= 0.0 || ceiling)
                };
                c.out > 0 || now - c.seen < FORGET || plan.is_some_and(|p| !full(p))
            });
        }
    }

    /// What the history says; what is missing to enough outcomes comes from the pool, which one gateway's
    /// bad luck does not move. Could lag by its memory, hence the longer sojourn; and hold a ladder shut
    /// by ratios from before, hence the bound on what it is scaled by.
    fn evidence(&self, now: f64) -> LoadStatistics {
        let own = self.ladder.tallies.iter().fold(LoadStatistics::default(), |sum, t| sum.plus(t, 1.0));
        let told = &self.told;
        if self.tells_all(self.set.node_count) {
            return own;
        }
        if told.outcomes <= 0.0 || self.mixed.read(now, MEMORY.0) < MIXED {
            return LoadStatistics::default();
        }
        let missing = (ENOUGH - own.outcomes).max(0.0);
        let mut seen = own.plus(told, (missing / told.outcomes).min(ECHO));
        // What is out over what is carried is the wait of what is sent now (Little's law). Where it is short,
        // slow answers and time-outs tell of a backlog that has gone. Guards against tightening long after.
        if self.wait() < STRAIN.0 {
            (seen.slow, seen.timed_out, seen.fast) = (0.0, 0.0, seen.outcomes);
        }
        seen
    }

    /// What a gateway's part of the fleet carries, by how much of the fleet the list says is there and warm:
    /// what was carried before tells of a loss too late.
    fn carries(&self) -> f64 {
        self.carried * self.strength
    }

    /// How long what is out in the fleet takes at the pace it is known to carry, as part of the shortest aim.
    fn wait(&self) -> f64 {
        let aim = self.set.classes.iter().map(|c| secs(c.latency_objective_ns)).fold(f64::INFINITY, f64::min);
        self.told.in_flight / self.told.intervals.max(1.0) / self.carries().max(1e-9) / aim
    }

    // ---- Peers --------------------------------------------------------------------------------------
    /// Takes in a peer's message; one that is malformed in any part changes nothing.
    fn peer(&mut self, now: f64, from: u32, text: &str, actions: &mut Vec<Action>) {
        let Some((incarnation, records)) = codec::read(text) else { return };
        if from >= self.set.node_count || from == self.set.node {
            return;
        }
        if self.heard.insert(from, incarnation).is_some_and(|known| known != incarnation) {
            // The peer began anew, and its totals with it.
            let uses = self.customers.values_mut().filter_map(|c| c.peers.get_mut(&from));
            uses.for_each(|u| (u.sent, u.asked) = (0, 0));
        }
        for (name, record) in records {
            if let Record::Statistics(part) = record {
                // One part may not outweigh what is here by much: wild ones are cut.
                let weight = (PART / part.intervals.max(1e-9)).min(1.0);
                if part.slow + part.fast <= part.outcomes * 1.1 && part.intervals > 0.0 {
                    self.pool = self.pool.plus(&part, weight);
                    self.told = self.told.plus(&part, weight);
                    self.mixed.add(now, 1.0, MEMORY.0);
                }
            } else {
                self.peer_on_customer(now, from, name, record, actions);
                self.speak(now, name, actions);
            }
        }
    }

    /// What a peer tells of a customer's use, of its ceiling, or as its keeper of all of its use.
    fn peer_on_customer(&mut self, now: f64, from: u32, fp: u32, record: Record, actions: &mut Vec<Action>) {
        if self.customers.len() >= CUSTOMERS && !self.customers.contains_key(&fp) {
            return;
        }
        let n = self.set.node_count.max(1);
        if let Record::Usage { plan, first_node: first, node_set_size: spread, quota_level: level, .. } =
            record {
            if plan >= self.set.plans.len() || first >= n || spread > n {
                return;
            }
            // Only the store's level is another's to tell of a customer not seen here.
            if self.customers.get(&fp).is_none_or(|c| c.plan.is_none()) {
                self.customers.entry(fp).or_insert_with(|| Customer::new(now)).level = level;
                self.enter(now, fp, plan, first, spread);
            }
        }
        let c = self.customers.entry(fp).or_insert_with(|| Customer::new(now));
        let plan = c.plan.map(|p| &self.set.plans[p]);
        if plan.is_some() && (from + n - c.first) % n >= c.spread {
            return;
        }
        if let Some(plan) = plan {
            c.fill(now, plan);
        }
        match (record, plan) {
            (Record::Grant(units), Some(plan)) => {
                let most = if c.dealt < 1.0 { 1.0 - c.dealt } else { 1.0 / f64::from(c.spread) };
                c.ceiling = (c.ceiling + units).min(plan.ceiling_burst_units * most);
            }
            (Record::Aggregate { demand, quota_level: level }, _) if plan.is_none() ||
                c.keepers.contains(&from) => {
                c.word = Some(Word { demand, store: 0.0, at: now });
                c.due = None;
                match plan {
                    // A keeper that has summed for long goes by its own sums.
                    Some(_) if c.keeps && now - c.since > WORD.0 => {}
                    Some(plan) => c.store = level * plan.quota_burst_units,
                    None => c.level = level,
                }
            }
            (Record::Usage { forwarded: sent, requested: asked, quota_level: level, .. }, Some(plan)) => {
                c.seen = now;
                let new = !c.peers.contains_key(&from);
                let before = c.peers.entry(from).or_default();
                let most = if new { self.set.max_request_units } else { f64::INFINITY };
                let more = units_between(before.asked, asked).min(most);
                let used = units_between(before.sent, sent).min(most);
                (before.sent, before.asked) = (sent, asked);
                before.demand.add(now, more, MEMORY.0);
                c.demand.add(now, more, MEMORY.0);
                c.theirs.add(now, used, MEMORY.0);
                if new && c.keepers.len() == c.spread as usize {
                    c.store = c.store.min(level * plan.quota_burst_units);
                } else {
                    c.drain(plan, used, self.set.max_request_units);
                }
                self.correct(now, from, fp, level, used, actions);
            }
            _ => {}
        }
    }
}
