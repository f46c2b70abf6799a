//! The checkers: what a journal says of the rules, and its figures. They read the journal and nothing else.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::{BTreeMap, BTreeSet};

use crate::capacity::{Life, Model};
use crate::journal::{Line, What};

/// The platform's grace on every time limit on sockets, s.
pub const GRACE: f64 = 0.05;

/// What the checkers have to know besides the journal.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// What limit servers are like.
    pub model: Model,
    /// Nothing new so many seconds after the ingress was told that an instance drains.
    pub drain: f64,
    /// A ceiling for each customer: units a second, units at once, slack; 0: none.
    pub ceiling: (f64, f64, f64),
    /// Answers wanted within, seconds.
    pub wanted: f64,
    /// The rig may wake up so many milliseconds late; more, and the trial is no verdict.
    pub late_ms: u64,
}

/// All rules; each line names one break.
pub fn rules(lines: &[Line], rules: &Rules) -> Vec<String> {
    let mut broken = one_answer(lines);
    broken.extend(one_attempt(lines));
    broken.extend(drains(lines, rules.drain));
    broken.extend(cold(lines, &rules.model).1);
    broken.extend(ceilings(lines, rules.ceiling));
    broken.extend(crashes(lines));
    broken
}

/// One final answer each, while the ingress lives.
pub fn one_answer(lines: &[Line]) -> Vec<String> {
    let mut asked: BTreeMap<u64, usize> = BTreeMap::new();
    let mut ended: BTreeSet<u64> = BTreeSet::new();
    let mut dead: BTreeSet<usize> = BTreeSet::new();
    let mut broken = Vec::new();
    for line in lines {
        match line.what {
            // What is written on a connection of a dead process was taken by nobody.
            What::Asked {
                request, ingress, ..
            } if !dead.contains(&ingress) => {
                asked.insert(request, ingress);
            }
            // Written on a connection that had ended, and nobody was there to take it anew.
            What::Unreached { request, .. } => drop(asked.remove(&request)),
            What::Started { ingress, .. } => {
                dead.remove(&ingress);
            }
            // What a dead process had taken is lost with it: no rule of the program's.
            What::Killed { ingress } => {
                dead.insert(ingress);
                asked.retain(|_, at| *at != ingress);
            }
            What::Final { request, status } => {
                if !ended.insert(request) {
                    broken.push(format!("request {request:x} has two final answers"));
                }
                if let (Some(ingress), None) = (asked.remove(&request), status) {
                    broken.push(format!(
                        "request {request:x} had no answer of ingress {ingress} by its deadline"
                    ));
                }
            }
            // A stopped process answers nothing, neither what it has nor what comes meanwhile.
            What::Stopped { ingress, on: true } => {
                dead.insert(ingress);
                asked.retain(|_, at| *at != ingress);
            }
            What::Stopped { ingress, on: false } => {
                dead.remove(&ingress);
            }
            _ => {}
        }
    }
    broken
}

/// Never two attempts of one request out at once; the end of one is seen on another connection than the next one's
/// begin, so it may be seen later by the platform's grace on time limits.
pub fn one_attempt(lines: &[Line]) -> Vec<String> {
    let mut out: BTreeMap<u64, Vec<(usize, f64)>> = BTreeMap::new();
    let mut broken = Vec::new();
    for line in lines {
        match line.what {
            What::Attempt {
                request, instance, ..
            } => {
                out.entry(request).or_default().push((instance, line.at));
            }
            What::Over {
                request, instance, ..
            } => {
                let Some(all) = out.get_mut(&request) else {
                    continue;
                };
                let Some(at) = all.iter().position(|(i, _)| *i == instance) else {
                    continue;
                };
                all.remove(at);
                if let Some((other, since)) = all.iter().find(|(_, since)| line.at - since > GRACE)
                {
                    let (long, both) = (line.at - since, (instance, other));
                    broken.push(format!(
                        "request {request:x} is out at instances {both:?} for {long:.2} s"
                    ));
                }
            }
            _ => {}
        }
    }
    let still = out.iter().filter(|(_, all)| all.len() > 1);
    broken.extend(
        still.map(|(request, all)| format!("request {request:x} stays out {} times", all.len())),
    );
    broken
}

/// Nothing new to an instance so long after the ingress was told that it drains or is gone.
pub fn drains(lines: &[Line], within: f64) -> Vec<String> {
    let mut told: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    let mut broken = Vec::new();
    for line in lines {
        match line.what {
            What::Told { ingress, instance } => {
                told.entry((ingress, instance)).or_insert(line.at);
            }
            // A new life was told nothing yet.
            What::Started { ingress, .. } => told.retain(|(i, _), _| *i != ingress),
            What::Attempt {
                ingress, instance, ..
            } => {
                if let Some(at) = told
                    .get(&(ingress, instance))
                    .filter(|at| line.at - **at > within)
                {
                    let late = line.at - at;
                    broken.push(format!(
                        "ingress {ingress} sent to instance {instance} {late:.2} s after its drain"
                    ));
                }
            }
            _ => {}
        }
    }
    broken
}

/// No cold instance is sent more than it bears: the worst part of what pushes one over, and what broke.
pub fn cold(lines: &[Line], model: &Model) -> (f64, Vec<String>) {
    let mut lives: BTreeMap<usize, Life> = BTreeMap::new();
    let (mut worst, mut broken) = (0.0f64, BTreeMap::new());
    for line in lines {
        let (instance, requests) = match line.what {
            What::Life { instance, cold } => {
                lives.remove(&instance);
                if cold {
                    lives.insert(instance, Life::new(*model, line.at));
                }
                continue;
            }
            What::Attempt { instance, .. } => (instance, 1.0),
            What::Opened { instance, .. } => (instance, model.dial / model.work),
            _ => continue,
        };
        let Some(life) = lives.get_mut(&instance) else {
            continue;
        };
        if !life.arrive(line.at, requests) {
            broken.entry(instance).or_insert(line.at);
        }
        worst = worst.max(life.worst);
    }
    let told = |(instance, at)| {
        format!("cold instance {instance} got more than pushes it over, at {at:.1} s")
    };
    (worst, broken.into_iter().map(told).collect())
}

/// What all send on for a customer stays within its ceiling.
pub fn ceilings(lines: &[Line], (rate, most, slack): (f64, f64, f64)) -> Vec<String> {
    if rate <= 0.0 {
        return Vec::new();
    }
    let mut whose: BTreeMap<u64, u64> = BTreeMap::new();
    let mut stores: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    let mut broken = BTreeMap::new();
    for line in lines {
        match line.what {
            What::Asked {
                request, customer, ..
            } => drop(whose.insert(request, customer)),
            What::Attempt { request, .. } => {
                // The first attempt alone draws on the store.
                let Some(customer) = whose.remove(&request) else {
                    continue;
                };
                let (store, at) = stores.entry(customer).or_insert((most, line.at));
                (*store, *at) = ((*store + (line.at - *at) * rate).min(most) - 1.0, line.at);
                if *store < -slack - 0.15 * rate {
                    broken.entry(customer).or_insert(*store);
                }
            }
            _ => {}
        }
    }
    let told =
        |(customer, store)| format!("customer {customer}: its ceiling's store fell to {store:.1}");
    broken.into_iter().map(told).collect()
}

/// No process ends by itself.
pub fn crashes(lines: &[Line]) -> Vec<String> {
    let crash = |line: &Line| match &line.what {
        What::Crashed { ingress, status } => {
            Some(format!("ingress {ingress} ended by itself: {status}"))
        }
        What::Fell { instance } => Some(format!("cold instance {instance} fell over")),
        _ => None,
    };
    lines.iter().filter_map(crash).collect()
}

/// By how many milliseconds the rig itself was late at the worst; where it was too late, the trial says nothing.
pub fn lateness(lines: &[Line]) -> u64 {
    let late = |line: &Line| {
        if let What::Late { ms } = line.what {
            Some(ms)
        } else {
            None
        }
    };
    lines.iter().filter_map(late).max().unwrap_or(0)
}

/// The most of a kind within so many seconds, by what they are counted for.
fn most_within(times: &BTreeMap<usize, Vec<f64>>, span: f64) -> usize {
    let worst = |times: &Vec<f64>| {
        let within =
            |(i, at): (usize, &f64)| times[i..].iter().take_while(|t| **t < at + span).count();
        times.iter().enumerate().map(within).max().unwrap_or(0)
    };
    times.values().map(worst).max().unwrap_or(0)
}

/// What a trial came to, in figures.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Requests written to an ingress.
    pub asked: usize,
    /// Served at all, within the time wanted, and refused.
    pub served: usize,
    /// See `served`.
    pub in_time: usize,
    /// See `served`.
    pub refused: usize,
    /// Requests whose ingress could not be reached.
    pub unreached: usize,
    /// When the first was served, seconds.
    pub first_served: Option<f64>,
    /// Calls at the list service; whole lists given; calls turned away.
    pub calls: usize,
    /// See `calls`.
    pub whole: usize,
    /// See `calls`.
    pub turned_away: usize,
    /// The most calls within 100 ms and within a second.
    pub calls_100ms: usize,
    /// See `calls_100ms`.
    pub calls_1s: usize,
    /// Bytes of lists.
    pub list_bytes: usize,
    /// When each ingress that was answered first was, in order; seconds.
    pub listed: Vec<f64>,
    /// The most connections opened at one instance within 100 ms.
    pub opened_100ms: usize,
    /// The most first requests at one instance within 100 ms.
    pub attempts_100ms: usize,
    /// Attempts in all.
    pub attempts: usize,
    /// Of what pushes a cold instance over, the most that one got.
    pub cold_worst: f64,
    /// Datagrams taken in, and dropped beyond the limit; the most that one took in within a second.
    pub mail: (u64, u64, u64),
    /// By second of asking: asked, served within the time wanted.
    pub seconds: Vec<(usize, usize)>,
}

impl Figures {
    /// Share served within the time wanted.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// The same of what was asked from one second to another.
    pub fn share_between(&self, from: usize, to: usize) -> f64 {
        let seconds = self.seconds.iter().take(to).skip(from);
        let (asked, served) = seconds.fold((0, 0), |(a, s), second| (a + second.0, s + second.1));
        served as f64 / asked.max(1) as f64
    }
}

/// The figures of a journal.
pub fn figures(lines: &[Line], rules: &Rules) -> Figures {
    let mut figures = Figures {
        cold_worst: cold(lines, &rules.model).0,
        ..Figures::default()
    };
    let mut asked: BTreeMap<u64, f64> = BTreeMap::new();
    let (mut calls, mut opened, mut attempts) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    let mut listed: BTreeSet<usize> = BTreeSet::new();
    let note = |times: &mut BTreeMap<usize, Vec<f64>>, of: usize, at: f64| {
        times.entry(of).or_default().push(at);
    };
    for line in lines {
        match line.what {
            What::Asked { request, .. } => {
                figures.asked += 1;
                asked.insert(request, line.at);
                let second = line.at as usize;
                if figures.seconds.len() <= second {
                    figures.seconds.resize(second + 1, (0, 0));
                }
                figures.seconds[second].0 += 1;
            }
            What::Unreached { .. } => figures.unreached += 1,
            What::Final { request, status } => match (status, asked.get(&request)) {
                (Some(200), Some(at)) => {
                    figures.served += 1;
                    figures.first_served.get_or_insert(line.at);
                    if line.at - at <= rules.wanted {
                        figures.in_time += 1;
                        figures.seconds[*at as usize].1 += 1;
                    }
                }
                (Some(429 | 503), _) => figures.refused += 1,
                _ => {}
            },
            What::Call { .. } => {
                figures.calls += 1;
                note(&mut calls, 0, line.at);
            }
            What::Listed {
                ingress,
                whole,
                status,
                bytes,
                ..
            } => {
                figures.list_bytes += bytes;
                if status == 200 {
                    figures.whole += usize::from(whole);
                    if listed.insert(ingress) {
                        figures.listed.push(line.at);
                    }
                } else {
                    figures.turned_away += 1;
                }
            }
            What::Opened { instance, .. } => note(&mut opened, instance, line.at),
            What::Attempt { instance, .. } => {
                figures.attempts += 1;
                note(&mut attempts, instance, line.at);
            }
            What::Mail { taken, dropped, .. } => {
                let (all, lost, most) = figures.mail;
                figures.mail = (all + taken, lost + dropped, most.max(taken));
            }
            _ => {}
        }
    }
    figures.calls_100ms = most_within(&calls, 0.1);
    figures.calls_1s = most_within(&calls, 1.0);
    figures.opened_100ms = most_within(&opened, 0.1);
    figures.attempts_100ms = most_within(&attempts, 0.1);
    figures
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::capacity::tests::MODEL;

    const RULES: Rules = Rules {
        model: MODEL,
        drain: 0.55,
        ceiling: (1.0, 3.0, 0.5),
        wanted: 0.8,
        late_ms: 100,
    };

    fn journal(all: &[(f64, What)]) -> Vec<Line> {
        all.iter()
            .map(|(at, what)| Line {
                at: *at,
                what: what.clone(),
            })
            .collect()
    }

    fn asked(request: u64) -> What {
        What::Asked {
            request,
            ingress: 0,
            customer: 5,
        }
    }

    fn attempt(request: u64) -> What {
        What::Attempt {
            request,
            instance: 2,
            ingress: 0,
        }
    }

    fn over(request: u64) -> What {
        What::Over {
            request,
            instance: 2,
            ingress: 0,
        }
    }

    /// A journal with nothing wrong: every checker is quiet on it, and each test below adds one break.
    fn sound() -> Vec<(f64, What)> {
        vec![
            (
                0.0,
                What::Started {
                    ingress: 0,
                    known: None,
                },
            ),
            (
                0.0,
                What::Life {
                    instance: 2,
                    cold: true,
                },
            ),
            (
                0.1,
                What::Listed {
                    ingress: 0,
                    whole: true,
                    status: 200,
                    bytes: 100,
                    rev: 1,
                },
            ),
            (0.2, asked(1)),
            (0.2, attempt(1)),
            (0.3, over(1)),
            (
                0.3,
                What::Final {
                    request: 1,
                    status: Some(200),
                },
            ),
        ]
    }

    fn broken_by(more: &[(f64, What)]) -> Vec<String> {
        rules(&journal(&[&sound()[..], more].concat()), &RULES)
    }

    #[test]
    fn a_sound_journal_breaks_no_rule_and_its_figures_are_right() {
        assert_eq!(broken_by(&[]), Vec::<String>::new());
        let figures = figures(&journal(&sound()), &RULES);
        assert_eq!(
            (
                figures.asked,
                figures.in_time,
                figures.whole,
                figures.attempts
            ),
            (1, 1, 1, 1)
        );
        assert_eq!((figures.first_served, figures.share()), (Some(0.3), 1.0));
        assert!(figures.cold_worst > 0.0 && figures.cold_worst < 0.1);
    }

    #[test]
    fn a_request_without_an_answer_and_one_with_two_are_found() {
        let none = broken_by(&[
            (1.0, asked(2)),
            (
                4.0,
                What::Final {
                    request: 2,
                    status: None,
                },
            ),
        ]);
        assert!(none.len() == 1 && none[0].contains("no answer"), "{none:?}");
        let two = broken_by(&[(
            1.0,
            What::Final {
                request: 1,
                status: Some(429),
            },
        )]);
        assert!(
            two.len() == 1 && two[0].contains("two final answers"),
            "{two:?}"
        );
        // What a killed process had taken is not held against it.
        let lost = (
            4.0,
            What::Final {
                request: 2,
                status: None,
            },
        );
        assert!(broken_by(&[
            (1.0, asked(2)),
            (1.1, What::Killed { ingress: 0 }),
            lost.clone()
        ])
        .is_empty());
        // Nor what a stopped one has, or gets meanwhile; what it gets once it goes on is owed, as is another's.
        let stopped = |ingress, on| What::Stopped { ingress, on };
        assert!(broken_by(&[(1.0, asked(2)), (1.1, stopped(0, true)), lost.clone()]).is_empty());
        assert!(broken_by(&[(1.0, stopped(0, true)), (1.1, asked(2)), lost.clone()]).is_empty());
        let on = [
            (1.0, stopped(0, true)),
            (1.1, stopped(0, false)),
            (1.2, asked(2)),
            lost.clone(),
        ];
        assert_eq!(broken_by(&on).len(), 1);
        assert_eq!(
            broken_by(&[(1.0, asked(2)), (1.1, stopped(1, true)), lost]).len(),
            1
        );
    }

    #[test]
    fn two_attempts_out_at_once_are_found_and_one_after_the_other_are_none() {
        let elsewhere = What::Attempt {
            request: 2,
            instance: 3,
            ingress: 0,
        };
        assert!(
            broken_by(&[(1.0, attempt(2)), (1.1, over(2)), (1.2, elsewhere.clone())]).is_empty()
        );
        let both = [(1.0, attempt(2)), (1.1, elsewhere)];
        assert!(
            broken_by(&[&both[..], &[(1.12, over(2))]].concat()).is_empty(),
            "seen late by a moment"
        );
        let two = broken_by(&[&both[..], &[(1.2, over(2))]].concat());
        assert!(two.len() == 1 && two[0].contains("for 0.10 s"), "{two:?}");
        assert_eq!(broken_by(&both).len(), 1, "both stay out");
    }

    #[test]
    fn a_send_long_after_a_drain_is_found_but_none_of_a_new_life() {
        let told = (
            1.0,
            What::Told {
                ingress: 0,
                instance: 2,
            },
        );
        assert!(broken_by(&[told.clone(), (1.5, attempt(2))]).is_empty());
        let late = broken_by(&[told.clone(), (1.6, attempt(2))]);
        assert!(
            late.len() == 1 && late[0].contains("after its drain"),
            "{late:?}"
        );
        let again = (
            1.5,
            What::Started {
                ingress: 0,
                known: None,
            },
        );
        assert!(broken_by(&[told, again, (1.6, attempt(2))]).is_empty());
    }

    #[test]
    fn a_cold_instance_that_gets_too_much_is_found_and_a_warm_one_may_have_it() {
        let flood: Vec<_> = (10..60)
            .flat_map(|i| {
                [
                    (1.0 + i as f64 / 100.0, attempt(i)),
                    (1.0 + i as f64 / 100.0, over(i)),
                ]
            })
            .collect();
        let found = broken_by(&flood);
        assert!(
            found.len() == 1 && found[0].contains("pushes it over"),
            "{found:?}"
        );
        let warm = [
            &[(
                0.9,
                What::Life {
                    instance: 2,
                    cold: false,
                },
            )][..],
            &flood,
        ]
        .concat();
        assert!(broken_by(&warm).is_empty());
    }

    #[test]
    fn a_customer_beyond_its_ceiling_is_found() {
        let sent = |many: u64| -> Vec<_> {
            (10..10 + many)
                .flat_map(|i| [(1.0, asked(i)), (1.0, attempt(i)), (1.0, over(i))])
                .collect()
        };
        assert!(ceilings(&journal(&sent(3)), RULES.ceiling).is_empty());
        let found = ceilings(&journal(&sent(4)), RULES.ceiling);
        assert!(
            found.len() == 1 && found[0].contains("customer 5"),
            "{found:?}"
        );
    }

    #[test]
    fn a_process_that_ends_by_itself_and_an_instance_that_falls_are_found() {
        let crashed = What::Crashed {
            ingress: 0,
            status: "exit status: 1".into(),
        };
        assert_eq!(
            broken_by(&[(1.0, crashed), (1.0, What::Fell { instance: 2 })]).len(),
            2
        );
    }

    #[test]
    fn the_worst_span_is_found_wherever_it_lies() {
        let times = BTreeMap::from([(1, vec![0.0, 0.5, 0.55, 0.59, 1.4]), (2, vec![0.0, 0.01])]);
        assert_eq!(
            (most_within(&times, 0.1), most_within(&times, 0.01)),
            (3, 1)
        );
        let late = journal(&[(1.0, What::Late { ms: 7 }), (2.0, What::Late { ms: 30 })]);
        assert_eq!(lateness(&late), 30);
    }
}
