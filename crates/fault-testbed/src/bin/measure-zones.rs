//! Measures how a fleet of many real processes leaves a failed zone and returns to it: with zone failover on and off, and with
//! an earlier program for comparison if the command line names one.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::ExitCode;

use applewall_fakes::measurement::Program;
use applewall_fault_testbed::journal::Event;
use applewall_fault_testbed::measure::{self, Judgement, Measurement, Run, Variant};
use applewall_fault_testbed::run::TrialOutcome;

const PROGRAM: Program = measure::program(
    "measure-zones",
    "measure-zones [--before PROGRAM] [--seeds N] [--sizes 24,100]",
);
const DEFAULT_SIZES: [usize; 2] = [24, 100];
/// Name of the variant with zone failover; the only one that is judged.
const ON: &str = "on";
/// Name of the variant of the same program without zone failover.
const OFF: &str = "off";
/// Start of the zone's failure, in seconds; the traffic before it is the reference.
const FAILURE_START: f64 = 4.0;
/// Duration of the failure, in seconds.
const FAILURE_SECONDS: f64 = 5.0;
/// End of the failure, in seconds.
const FAILURE_END: f64 = FAILURE_START + FAILURE_SECONDS;
/// Duration of the traffic, in seconds.
const TRIAL_SECONDS: f64 = 24.0;
const ZONES: usize = 3;
const INSTANCES_PER_ZONE: usize = 7;
/// Requests per second of all ingresses.
const FLEET_REQUESTS_PER_SECOND: f64 = 192.0;
/// Goal: minimum fraction served in time during the failure, from its second second on.
const MIN_SERVED_FRACTION: f64 = 0.95;
/// Goal: maximum requests per second into the failed zone from its third second on, the limit on canary traffic.
const MAX_CANARY_REQUESTS: f64 = 6.0;
/// Fraction of the reference traffic that counts as full traffic.
const FULL_TRAFFIC_FRACTION: f64 = 0.8;
/// Seconds after the failure in which the return of full traffic is looked for.
const RETURN_SECONDS: usize = 14;

/// A kind of failure.
struct Row {
    name: &'static str,
    fault: &'static str,
    /// True if all limit servers of the zone fail, so that the fleet has to leave it.
    zone_fails: bool,
}

const ROWS: [Row; 4] = [
    Row {
        name: "says nothing",
        fault: "mute instance:zone=0",
        zone_fails: true,
    },
    Row {
        name: "takes 2 s",
        fault: "link instance:zone=0 -> ingress:all delay 2s",
        zone_fails: true,
    },
    Row {
        name: "answers 500 at once",
        fault: "fails instance:zone=0",
        zone_fails: true,
    },
    Row {
        name: "one server says nothing",
        fault: "mute instance:0",
        zone_fails: false,
    },
];

/// Failover metrics of a trial.
struct Failover {
    /// Attempts into the failed zone in each second of its failure.
    attempts_per_second: Vec<usize>,
    /// Ingresses that sent any of these attempts.
    affected_ingresses: usize,
    /// Fraction served in time during the failure, from its second second on.
    served_during_failure: f64,
    /// Fraction served in time in the three seconds before the last one.
    served_at_end: f64,
    /// Ingresses that left the failed zone.
    left: usize,
    /// Ingresses that left another zone.
    left_wrongly: usize,
    /// Seconds from the end of the failure to full traffic in the zone; `None`: not within the trial.
    returned_after: Option<usize>,
    /// Datagrams received per ingress and second.
    datagrams_per_second: f64,
}

/// The sending ingress of each attempt into the failed zone between two times.
fn attempts_into_zone(
    outcome: &TrialOutcome,
    from: f64,
    to: f64,
) -> impl Iterator<Item = usize> + '_ {
    let within = move |at: f64| at >= from && at < to;
    let attempts = outcome.entries.iter();
    let attempts = attempts.filter(move |entry| within(entry.at_seconds));
    attempts.filter_map(|entry| match entry.event {
        Event::AttemptArrived {
            instance, ingress, ..
        } if instance % ZONES == 0 => Some(ingress),
        _ => None,
    })
}

fn failover(outcome: &TrialOutcome) -> Failover {
    let in_second = |start: f64| attempts_into_zone(outcome, start, start + 1.0).count();
    let reference =
        attempts_into_zone(outcome, FAILURE_START - 3.0, FAILURE_START).count() as f64 / 3.0;
    let affected: BTreeSet<usize> =
        attempts_into_zone(outcome, FAILURE_START, FAILURE_END).collect();
    let full_traffic = |second: &usize| {
        in_second(FAILURE_END + *second as f64) as f64 > FULL_TRAFFIC_FRACTION * reference
    };
    let left = |zone: &str| {
        let line = format!("zone failover state changed: zone={zone} transition=left");
        outcome
            .logs
            .iter()
            .filter(|log| log.contains(&line))
            .count()
    };
    let metrics = &outcome.metrics;
    let served =
        |from: f64, to: f64| metrics.served_in_time_fraction_between(from as usize, to as usize);
    Failover {
        attempts_per_second: (0..FAILURE_SECONDS as usize)
            .map(|second| in_second(FAILURE_START + second as f64))
            .collect(),
        affected_ingresses: affected.len(),
        served_during_failure: served(FAILURE_START + 1.0, FAILURE_END),
        served_at_end: served(TRIAL_SECONDS - 4.0, TRIAL_SECONDS - 1.0),
        left: left("z0"),
        left_wrongly: left("z1") + left("z2"),
        returned_after: (0..RETURN_SECONDS).find(full_traffic),
        datagrams_per_second: metrics.datagrams.accepted as f64
            / outcome.topology.ingresses as f64
            / TRIAL_SECONDS,
    }
}

impl Failover {
    fn meets_goals(&self, row: &Row) -> bool {
        let late: usize = self.attempts_per_second[2..].iter().sum();
        let left_as_needed = if row.zone_fails {
            late as f64 / 3.0 <= MAX_CANARY_REQUESTS
        } else {
            self.left == 0
        };
        self.left_wrongly == 0
            && self.served_during_failure >= MIN_SERVED_FRACTION
            && left_as_needed
    }
}

struct ZoneFailover;

impl Measurement for ZoneFailover {
    const COLUMNS: &'static [&'static str] = &[
        "program",
        "ingresses",
        "zone 0",
        "seed",
        "requests into it, by second",
        "paid",
        "in time meanwhile, at the end",
        "left",
        "wrongly",
        "full again, s",
        "datagrams each a second",
        "cold",
    ];

    fn rows(&self) -> usize {
        ROWS.len()
    }

    fn variants<'a>(&self, program: &'a Path, before: Option<&'a Path>) -> Vec<Variant<'a>> {
        let variant = |name| Variant { name, program };
        let variants = [variant(ON), variant(OFF)].into_iter();
        variants.chain(Variant::before(before)).collect()
    }

    fn trial(&self, run: &Run<'_>) -> String {
        let Run { size, seed, .. } = *run;
        let operator = if run.variant.name == ON {
            "[operator]\nzones.enabled = on\n"
        } else {
            ""
        };
        format!(
            "[trial]\nseed = {seed}\ningresses = {size}\ninstances = {}\nzones = {ZONES}\ntime = {TRIAL_SECONDS}s\n[ingress]\nknown = old\n\
             [traffic]\nrate = {}\n{operator}[faults]\nfails = at {FAILURE_START}s: {} for {FAILURE_SECONDS}s\n",
            ZONES * INSTANCES_PER_ZONE,
            FLEET_REQUESTS_PER_SECOND / size as f64,
            ROWS[run.row].fault,
        )
    }

    fn cells(&self, run: &Run<'_>, outcome: &TrialOutcome) -> Vec<String> {
        let failover = failover(outcome);
        let attempts = failover.attempts_per_second.iter();
        let attempts: Vec<String> = attempts.map(usize::to_string).collect();
        let returned = failover.returned_after;
        vec![
            run.variant.name.to_string(),
            run.size.to_string(),
            ROWS[run.row].name.to_string(),
            run.seed.to_string(),
            attempts.join(" "),
            failover.affected_ingresses.to_string(),
            format!(
                "{:.3}, {:.3}",
                failover.served_during_failure, failover.served_at_end
            ),
            failover.left.to_string(),
            failover.left_wrongly.to_string(),
            returned.map_or("-".to_string(), |second| second.to_string()),
            format!("{:.1}", failover.datagrams_per_second),
            format!("{:.2}", outcome.metrics.peak_warmup_overload),
        ]
    }

    fn judge(&self, run: &Run<'_>, outcome: &TrialOutcome) -> Option<Judgement> {
        let violations = &outcome.violations;
        let line = |violation: &String| format!("VIOLATION: {violation}");
        (run.variant.name == ON).then(|| Judgement {
            missed: !violations.is_empty() || !failover(outcome).meets_goals(&ROWS[run.row]),
            lines: violations.iter().map(line).collect(),
        })
    }
}

fn main() -> ExitCode {
    measure::run(&PROGRAM, &DEFAULT_SIZES, &ZoneFailover)
}
