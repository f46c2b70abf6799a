//! Measures cold starts of many real processes: this program, and an earlier one beside it where it is named.

use std::path::Path;
use std::process::ExitCode;

use applewall_fault_testbed::measure::{exit_code, measure, Arguments, Measurement, Missed, Run};
use applewall_fault_testbed::run::TrialOutcome;

const USAGE: &str = "usage: measure-cold-start [--before PROGRAM] [--seeds N] [--sizes 24,100,200]";
const DEFAULT_SIZES: [usize; 3] = [24, 100, 200];
/// Variant of the program under test; the only one that is judged.
const NOW: &str = "now";
/// Fraction to be served in time once all have their list, with warm servers.
const MIN_SERVED_FRACTION: f64 = 0.95;
/// When the last list may come: the least time that the service's rate allows, times this,
const LAST_LIST_FACTOR: f64 = 1.25;
/// and the time that processes need to start, in seconds.
const LAST_LIST_SECONDS: f64 = 0.5;
/// Seconds in which the list service can send every ingress its list.
const ALL_LISTS_SECONDS: f64 = 5.0;

/// One row of the table.
struct Row {
    name: &'static str,
    /// What it adds to the trial's file.
    extra_settings: &'static str,
    /// Seconds of traffic, besides those that the service needs for all lists.
    seconds: u64,
    /// Limit servers have to warm up.
    cold_instances: bool,
    /// Seconds for which the service is silent.
    silent_seconds: f64,
}

const ROWS: [Row; 4] = [
    Row {
        name: "no list",
        extra_settings: "",
        seconds: 4,
        cold_instances: false,
        silent_seconds: 0.0,
    },
    Row {
        name: "old list",
        extra_settings: "[ingress]\nknown = old\n",
        seconds: 4,
        cold_instances: false,
        silent_seconds: 0.0,
    },
    Row {
        name: "no list, service silent 3 s",
        extra_settings: "[faults]\nsilent = at 0s: list silent for 3s\n",
        seconds: 10,
        cold_instances: false,
        silent_seconds: 3.0,
    },
    Row {
        name: "old list, servers cold",
        extra_settings: "[ingress]\nknown = old\n[instance]\ncold = on\n",
        seconds: 6,
        cold_instances: true,
        silent_seconds: 0.0,
    },
];

impl Row {
    fn starts_with_list(&self) -> bool {
        self.extra_settings.contains("known")
    }
}

/// Lists per second that the service sends.
fn lists_per_second(size: usize) -> f64 {
    size as f64 / ALL_LISTS_SECONDS
}

/// Goals that a trial missed, and rules that it broke.
fn missed_goals(row: &Row, size: usize, outcome: &TrialOutcome) -> Vec<String> {
    let metrics = &outcome.metrics;
    let mut missed = outcome.violations.clone();
    let mut expect = |met: bool, goal: String| missed.extend((!met).then_some(goal));
    // Where nothing changed, a watch from an old list is answered when it times out: it does not count as late.
    if row.starts_with_list() {
        let goal = format!("{} whole lists where changes do", metrics.full_lists);
        expect(metrics.full_lists == 0, goal);
    } else {
        let listed = metrics.first_list_seconds.len();
        expect(listed == size, format!("{listed} of {size} have a list"));
        let last = metrics.first_list_seconds.last().copied();
        let last = last.unwrap_or(f64::INFINITY);
        let most = (size as f64 / lists_per_second(size)) * LAST_LIST_FACTOR
            + LAST_LIST_SECONDS
            + row.silent_seconds * 2.0;
        let goal = format!("the last list after {last:.2} s, {most:.2} s at most");
        expect(last <= most, goal);
        let goal = format!("{} whole lists", metrics.full_lists);
        expect(metrics.full_lists <= size, goal);
    }
    let requests = metrics.max_list_requests_per_second;
    let most = 1.25 * lists_per_second(size) + 3.0;
    let goal = format!("{requests} calls in a second, {most:.0} at most");
    expect(requests as f64 <= most, goal);
    if row.cold_instances {
        let first = metrics.first_served_seconds;
        let goal = format!("first served {first:?}");
        expect(first.is_some_and(|at| at < 1.0), goal);
    } else {
        let end = metrics.per_second.len().saturating_sub(1);
        let served = metrics.served_in_time_fraction_between(end.saturating_sub(2), end);
        let goal = format!("{served:.3} in time at the end");
        expect(served >= MIN_SERVED_FRACTION, goal);
    }
    missed
}

struct ColdStart;

impl Measurement for ColdStart {
    fn rows(&self) -> usize {
        ROWS.len()
    }

    fn variants<'a>(
        &self,
        program: &'a Path,
        before: Option<&'a Path>,
    ) -> Vec<(&'static str, &'a Path)> {
        let before = before.map(|before| ("before", before));
        before.into_iter().chain([(NOW, program)]).collect()
    }

    fn print_head(&self) {
        println!("| program | ingresses | start | seed | in time | first s | calls | away | whole | in 100 ms | last list s | dials | cold | |");
        println!(
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
        );
    }

    fn trial(&self, run: &Run<'_>) -> String {
        let Run { size, seed, .. } = *run;
        let row = &ROWS[run.row];
        let rate = lists_per_second(size);
        let operator = match run.variant == NOW {
            true => format!(
                "[operator]\ncold_start.enabled = on\ncold_start.calls_per_s = {}\n",
                rate * 0.9
            ),
            false => String::new(),
        };
        format!(
            "[trial]\nseed = {seed}\ningresses = {size}\ninstances = 20\ntime = {}s\n[list]\ncalls_per_s = {rate}\n{operator}{}",
            row.seconds + 6,
            row.extra_settings
        )
    }

    fn print(&self, run: &Run<'_>, outcome: &TrialOutcome) -> Option<Missed> {
        let Run { size, seed, .. } = *run;
        let (row, metrics) = (&ROWS[run.row], &outcome.metrics);
        println!(
            "| {} | {size} | {} | {seed} | {:.3} | {:.2} | {} | {} | {} | {} | {:.2} | {} | {:.2} | {} |",
            run.variant,
            row.name,
            metrics.served_in_time_fraction(),
            metrics.first_served_seconds.unwrap_or(f64::NAN),
            metrics.list_requests,
            metrics.list_rejections,
            metrics.full_lists,
            metrics.max_list_requests_per_100ms,
            metrics.first_list_seconds.last().copied().unwrap_or(f64::NAN),
            metrics.max_connections_opened_per_100ms,
            metrics.peak_warmup_overload,
            if outcome.valid() { "" } else { "no verdict" },
        );
        if run.variant != NOW {
            return None;
        }
        let goals = missed_goals(row, size, outcome);
        let line = |goal: &String| format!("MISSED {size}, {}, seed {seed}: {goal}", row.name);
        Some(Missed {
            missed: !goals.is_empty(),
            lines: goals.iter().map(line).collect(),
        })
    }
}

fn main() -> ExitCode {
    let counts = Arguments::read(USAGE, &DEFAULT_SIZES)
        .and_then(|arguments| measure(&ColdStart, &arguments));
    exit_code(counts)
}
