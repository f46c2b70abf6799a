//! The rule by which zones are left and given back: from views of all zones to what each gets.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use crate::evidence::Sums;
use crate::settings::Settings;

/// Outcomes that this ingress and those that told it have to have seen of a zone lately before it is judged.
const LEAST: f64 = 2.5;
/// Outcomes of an ingress's own that speak for themselves: whoever sees a zone live doesn't leave it on others' word.
const OWN: f64 = 1.5;
/// Part of that share up to which another zone does well: where all fail at once, none falls far behind the others.
const WELL: f64 = 0.25;
/// Judgements in a row that have to say so: a sample of a few leans on the last word heard.
const IN_A_ROW: u32 = 3;
/// After a zone was left, others that fail without being dead may fail of the load that moved, s.
const DOMINO: f64 = 10.0;
/// How long a zone stays left at the least, s, and at the most: it doubles with each return that goes wrong,
const HOLD: (f64, f64) = (1.0, 60.0);
/// and is forgotten after so long in full use, s.
const FORGIVEN: f64 = 60.0;
/// Seconds times canaries' outcomes in the sample, before a zone gets more than canaries.
const TRIED: f64 = 2.0;
/// Share that a return begins with, and by how much it may be ahead of the fleet's mean.
const FIRST: f64 = 0.02;
const AHEAD: f64 = 0.05;
/// Mean share of the fleet below which one that uses a zone in full follows, above which one that left it comes back.
const FOLLOW: (f64, f64) = (0.3, 0.7);

/// Where a zone stands with an ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// In use.
    In,
    /// Left: canaries only.
    Out,
    /// Coming back, by shares.
    Back,
}

/// What is known of a zone at a moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct View {
    /// Limit servers that the list names in it.
    pub servers: u32,
    /// What it and those of its peers that told lately saw: a sample of the fleet.
    pub fleet: Sums,
    /// Of these, ingresses to whom it was of no use.
    pub voices: u32,
    /// Its own, of the last second.
    pub fresh: Sums,
    /// Its own, of the last seconds.
    pub own: Sums,
    /// Mean share that the fleet gives it; none where too few peers told.
    pub mean: Option<f64>,
}

/// One zone's standing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing {
    /// Where it stands.
    pub phase: Phase,
    /// Part of its usual traffic that it gets; canaries aside.
    pub share: f64,
    since: f64,
    hold: f64,
    /// Judgements in a row that say that it fails.
    failed: u32,
    /// Canaries' outcomes since it was left.
    tried: Sums,
}

impl Standing {
    /// In use.
    pub(crate) fn new(now: f64) -> Self {
        Standing {
            phase: Phase::In,
            share: 1.0,
            since: now,
            hold: HOLD.0,
            failed: 0,
            tried: Sums::default(),
        }
    }

    /// Another phase begins.
    pub(crate) fn turn(&mut self, now: f64, phase: Phase, share: f64) {
        (self.phase, self.share, self.since, self.tried) = (phase, share, now, Sums::default());
    }
}

/// Judges all zones; what changed is told as lines. `pooled`: enough peers told lately;
/// `voices`: so many ingresses have to say that a zone is of no use. `passed`: s since last.
pub(crate) fn judge(
    set: &Settings,
    now: f64,
    passed: f64,
    pooled: bool,
    voices: u32,
    views: &[View],
    standings: &mut [Standing],
) -> Vec<(usize, String)> {
    let mut lines = Vec::new();
    let all: u32 = views.iter().map(|v| v.servers).sum();
    let mut order: Vec<usize> = (0..views.len()).filter(|i| views[*i].servers > 0).collect();
    order.sort_by(|a, b| views[*b].fleet.bad().total_cmp(&views[*a].fleet.bad()));
    for &i in &order {
        let view = &views[i];
        // Others that are in use and do well: without one, everything is overloaded, or this ingress is cut off.
        let well = |j: &usize| {
            *j != i
                && standings[*j].phase == Phase::In
                && views[*j].fleet.all() > 0.0
                && views[*j].fleet.bad() <= set.leave_at * WELL
        };
        let others = order.iter().any(well);
        let out: u32 = (0..views.len())
            .filter(|j| standings[*j].phase != Phase::In)
            .map(|j| views[j].servers)
            .sum();
        let lately = standings
            .iter()
            .any(|s| s.phase != Phase::In && now - s.since < DOMINO);
        let s = &mut standings[i];
        let lives = |seen: &Sums, least| seen.all() >= least && seen.bad() < set.leave_at / 2.0;
        let own_good = lives(&view.own, OWN) && (view.fresh.all() < 1.0 || lives(&view.fresh, 1.0));
        // A zone that fails, alive, soon after another was left may bear what moved: refusing is the ladder's matter.
        let dead = view.fleet.dead / view.fleet.all().max(1e-9);
        let bad = if lately && s.phase == Phase::In {
            dead
        } else {
            view.fleet.bad()
        };
        let says = pooled
            && view.voices >= voices
            && view.fleet.all() >= LEAST
            && bad >= set.leave_at
            && !own_good;
        s.failed = if says { s.failed + 1 } else { 0 };
        let fails = s.failed >= IN_A_ROW;
        let room = f64::from(out + view.servers) <= set.most_out * f64::from(all);
        let mean = view.mean.filter(|_| pooled);
        match s.phase {
            Phase::In => {
                let follows = mean.is_some_and(|mean| mean < FOLLOW.0) && !own_good;
                if pooled && others && room && (fails || follows) {
                    s.turn(now, Phase::Out, 0.0);
                    let told = if fails {
                        "left, the fleet sees"
                    } else {
                        "left, as the fleet has; it sees"
                    };
                    lines.push((i, format!("{told} {}", shares(&view.fleet))));
                } else if now - s.since > FORGIVEN {
                    s.hold = HOLD.0;
                }
            }
            Phase::Out => {
                s.tried = s.tried.plus(view.fleet.times(passed));
                let tried = s.tried.all() >= TRIED && s.tried.bad() < set.leave_at / 2.0;
                let told = mean.filter(|mean| *mean > FOLLOW.1 && view.own.bad() < set.leave_at);
                let alone = told.filter(|_| now - s.since > s.hold);
                if tried && now - s.since >= s.hold || alone.is_some() {
                    let share = alone.unwrap_or(FIRST);
                    s.turn(now, Phase::Back, share);
                    lines.push((i, format!("comes back, {}", shares(&view.fleet))));
                } else if s.tried.all() >= TRIED {
                    // What was bad a while ago need not be counted with what is good now.
                    s.tried = s.tried.times(0.5);
                }
            }
            Phase::Back => {
                let together = mean.map_or(1.0, |mean| mean + AHEAD);
                if fails {
                    s.hold = (s.hold * 2.0).min(HOLD.1);
                    let hold = s.hold;
                    s.turn(now, Phase::Out, 0.0);
                    let told = shares(&view.fleet);
                    lines.push((
                        i,
                        format!("fails again, left for {hold:.0} s at the least: {told}"),
                    ));
                } else {
                    s.share = (s.share + set.return_per_s * passed)
                        .min(together.max(s.share))
                        .min(1.0);
                    if s.share >= 1.0 {
                        s.turn(now, Phase::In, 1.0);
                        lines.push((i, "in full use again".to_string()));
                    }
                }
            }
        }
    }
    lines
}

fn shares(sums: &Sums) -> String {
    let all = sums.all().max(1e-9);
    let (dead, failing) = (sums.dead / all * 100.0, sums.failing / all * 100.0);
    format!("{dead:.0} of 100 dead, {failing:.0} failing, of {all:.0} lately")
}
