//! Measures cold starts of many real processes, with an earlier program for comparison if the command line names one.

use std::path::Path;
use std::process::ExitCode;

use applewall_fakes::measurement::Program;
use applewall_fault_testbed::measure::{self, Judgement, Measurement, Run, Variant};
use applewall_fault_testbed::run::TrialOutcome;

const PROGRAM: Program = measure::program(
    "measure-cold-start",
    "measure-cold-start [--before PROGRAM] [--seeds N] [--sizes 24,100,200]",
);
const DEFAULT_SIZES: [usize; 3] = [24, 100, 200];
/// Name of the program under test; the only variant that is judged.
const NOW: &str = "now";
/// Goal: minimum fraction served in time once all ingresses have a list, if limit servers need no warm-up.
const MIN_SERVED_FRACTION: f64 = 0.95;
/// Goal: the last list is sent within this multiple of the time that all lists take at the service's rate, plus
/// [`START_SECONDS`].
const LAST_LIST_FACTOR: f64 = 1.25;
/// Allowance for the start of the processes, in seconds.
const START_SECONDS: f64 = 0.5;
/// Goal: maximum time until the first request is served if limit servers have to warm up, in seconds.
const MAX_FIRST_SERVED_SECONDS: f64 = 1.0;
/// Goal: maximum number of requests at the list service within a second, as a multiple of its rate plus
/// [`EXTRA_LIST_REQUESTS`].
const LIST_REQUEST_FACTOR: f64 = 1.25;
/// See [`LIST_REQUEST_FACTOR`].
const EXTRA_LIST_REQUESTS: f64 = 3.0;
/// Time in which the list service can send every ingress its list, in seconds.
const ALL_LISTS_SECONDS: f64 = 5.0;
/// Seconds of traffic in addition to [`Row::seconds`]: [`ALL_LISTS_SECONDS`], and one in reserve.
const EXTRA_SECONDS: u64 = 6;
/// Call rate of the startup schedule of the program under test, as a fraction of the list service's rate.
const SCHEDULED_FRACTION: f64 = 0.9;

/// One row of the table.
struct Row {
    name: &'static str,
    /// Whether ingresses start with the list of the trial's start; otherwise they start with none.
    starts_with_list: bool,
    /// Seconds of traffic, without [`EXTRA_SECONDS`].
    seconds: u64,
    /// Whether limit servers have to warm up.
    instances_warm_up: bool,
    /// Time from the start for which the list service is silent, in seconds.
    silent_seconds: u32,
}

const ROWS: [Row; 4] = [
    Row {
        name: "no list",
        starts_with_list: false,
        seconds: 4,
        instances_warm_up: false,
        silent_seconds: 0,
    },
    Row {
        name: "old list",
        starts_with_list: true,
        seconds: 4,
        instances_warm_up: false,
        silent_seconds: 0,
    },
    Row {
        name: "no list, service silent 3 s",
        starts_with_list: false,
        seconds: 10,
        instances_warm_up: false,
        silent_seconds: 3,
    },
    Row {
        name: "old list, servers cold",
        starts_with_list: true,
        seconds: 6,
        instances_warm_up: true,
        silent_seconds: 0,
    },
];

impl Row {
    /// The sections that the row adds to the trial file.
    fn sections(&self) -> String {
        let mut sections = String::new();
        if self.starts_with_list {
            sections.push_str("[ingress]\nknown = old\n");
        }
        if self.instances_warm_up {
            sections.push_str("[instance]\ncold = on\n");
        }
        if self.silent_seconds > 0 {
            let silent_seconds = self.silent_seconds;
            sections.push_str(&format!(
                "[faults]\nsilent = at 0s: list silent for {silent_seconds}s\n"
            ));
        }
        sections
    }
}

/// Lists per second that the list service sends at most.
fn lists_per_second(size: usize) -> f64 {
    size as f64 / ALL_LISTS_SECONDS
}

/// Goals that a trial missed, and violations of rules.
fn missed_goals(row: &Row, size: usize, outcome: &TrialOutcome) -> Vec<String> {
    let metrics = &outcome.metrics;
    let mut missed = outcome.violations.clone();
    let mut expect = |met: bool, goal: String| missed.extend((!met).then_some(goal));
    // If nothing has changed, the service responds to a watch from an old list only when the watch times out, so there is no goal
    // on the time of the last list.
    if row.starts_with_list {
        let goal = format!(
            "{} full lists sent where changes suffice",
            metrics.full_lists
        );
        expect(metrics.full_lists == 0, goal);
    } else {
        let listed = metrics.first_list_seconds.len();
        expect(
            listed == size,
            format!("{listed} of {size} ingresses received a list"),
        );
        let last = metrics.first_list_seconds.last().copied();
        let last = last.unwrap_or(f64::INFINITY);
        let limit = (size as f64 / lists_per_second(size)) * LAST_LIST_FACTOR
            + START_SECONDS
            + f64::from(row.silent_seconds) * 2.0;
        let goal = format!("last list after {last:.2} s, at most {limit:.2} s allowed");
        expect(last <= limit, goal);
        let goal = format!(
            "{} full lists sent, at most {size} allowed",
            metrics.full_lists
        );
        expect(metrics.full_lists <= size, goal);
    }
    let requests = metrics.max_list_requests_per_second;
    let limit = LIST_REQUEST_FACTOR * lists_per_second(size) + EXTRA_LIST_REQUESTS;
    let goal = format!("{requests} list requests within a second, at most {limit:.0} allowed");
    expect(requests as f64 <= limit, goal);
    if row.instances_warm_up {
        let first = metrics.first_served_seconds;
        let goal = format!(
            "first request served after {:.2} s, at most {MAX_FIRST_SERVED_SECONDS:.2} s allowed",
            first.unwrap_or(f64::INFINITY)
        );
        expect(first.is_some_and(|at| at < MAX_FIRST_SERVED_SECONDS), goal);
    } else {
        let end = metrics.per_second.len().saturating_sub(1);
        let served = metrics.served_in_time_fraction_between(end.saturating_sub(2), end);
        let goal = format!("{served:.3} served in time at the end");
        expect(served >= MIN_SERVED_FRACTION, goal);
    }
    missed
}

struct ColdStart;

impl Measurement for ColdStart {
    const COLUMNS: &'static [&'static str] = &[
        "program",
        "ingresses",
        "start",
        "seed",
        "in time",
        "first s",
        "calls",
        "away",
        "whole",
        "in 100 ms",
        "last list s",
        "dials",
        "cold",
        "",
    ];

    fn rows(&self) -> usize {
        ROWS.len()
    }

    fn variants<'a>(&self, program: &'a Path, before: Option<&'a Path>) -> Vec<Variant<'a>> {
        let now = Variant { name: NOW, program };
        Variant::before(before).into_iter().chain([now]).collect()
    }

    fn trial(&self, run: &Run<'_>) -> String {
        let Run { size, seed, .. } = *run;
        let row = &ROWS[run.row];
        let rate = lists_per_second(size);
        let operator = if run.variant.name == NOW {
            let calls_per_s = rate * SCHEDULED_FRACTION;
            format!("[operator]\ncold_start.enabled = on\ncold_start.calls_per_s = {calls_per_s}\n")
        } else {
            String::new()
        };
        format!(
            "[trial]\nseed = {seed}\ningresses = {size}\ninstances = 20\ntime = {}s\n[list]\ncalls_per_s = {rate}\n{operator}{}",
            row.seconds + EXTRA_SECONDS,
            row.sections()
        )
    }

    fn cells(&self, run: &Run<'_>, outcome: &TrialOutcome) -> Vec<String> {
        let metrics = &outcome.metrics;
        let last_list = metrics.first_list_seconds.last().copied();
        let validity = if outcome.valid() { "" } else { "no verdict" };
        vec![
            run.variant.name.to_string(),
            run.size.to_string(),
            ROWS[run.row].name.to_string(),
            run.seed.to_string(),
            format!("{:.3}", metrics.served_in_time_fraction()),
            format!("{:.2}", metrics.first_served_seconds.unwrap_or(f64::NAN)),
            metrics.list_requests.to_string(),
            metrics.list_rejections.to_string(),
            metrics.full_lists.to_string(),
            metrics.max_list_requests_per_100ms.to_string(),
            format!("{:.2}", last_list.unwrap_or(f64::NAN)),
            metrics.max_connections_opened_per_100ms.to_string(),
            format!("{:.2}", metrics.peak_warmup_overload),
            validity.to_string(),
        ]
    }

    fn judge(&self, run: &Run<'_>, outcome: &TrialOutcome) -> Option<Judgement> {
        if run.variant.name != NOW {
            return None;
        }
        let Run { size, seed, .. } = *run;
        let row = &ROWS[run.row];
        let goals = missed_goals(row, size, outcome);
        let line = |goal: &String| format!("MISSED {size}, {}, seed {seed}: {goal}", row.name);
        Some(Judgement {
            missed: !goals.is_empty(),
            lines: goals.iter().map(line).collect(),
        })
    }
}

fn main() -> ExitCode {
    measure::run(&PROGRAM, &DEFAULT_SIZES, &ColdStart)
}
