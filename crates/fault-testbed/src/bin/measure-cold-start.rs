//! Measures cold starts of many real processes: this program, and an earlier one beside it where it is named.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::path::Path;
use std::process::ExitCode;

use applewall_fault_testbed::measure::{verdict, Arguments, Count};
use applewall_fault_testbed::run::{self, Played};

const USAGE: &str = "usage: measure-cold-start [--before PROGRAM] [--seeds N] [--sizes 24,100,200]";
/// Served within the time wanted once all have their list, warm.
const STEADY: f64 = 0.95;
/// The last list over the least time that the service's rate allows, and the time to get up.
const LISTED: (f64, f64) = (1.25, 0.5);

/// One row of the table.
struct Row {
    name: &'static str,
    /// What it adds to the trial's file.
    more: &'static str,
    /// Seconds of traffic, besides those that the service needs for all lists.
    time: u64,
    /// Limit servers are cold.
    cold: bool,
    /// Seconds for which the service is not there.
    silent: f64,
}

const ROWS: [Row; 4] = [
    Row {
        name: "no list",
        more: "",
        time: 4,
        cold: false,
        silent: 0.0,
    },
    Row {
        name: "old list",
        more: "[ingress]\nknown = old\n",
        time: 4,
        cold: false,
        silent: 0.0,
    },
    Row {
        name: "no list, service silent 3 s",
        more: "[faults]\nsilent = at 0s: list silent for 3s\n",
        time: 10,
        cold: false,
        silent: 3.0,
    },
    Row {
        name: "old list, servers cold",
        more: "[ingress]\nknown = old\n[instance]\ncold = on\n",
        time: 6,
        cold: true,
        silent: 0.0,
    },
];

/// Lists a second that the service gives: all ingresses have theirs after 5 s at the least.
fn rate(size: usize) -> f64 {
    size as f64 / 5.0
}

fn play(program: &Path, turns: bool, row: &Row, size: usize, seed: u64) -> Result<Played, String> {
    let rate = rate(size);
    let turns = match turns {
        true => format!(
            "[operator]\ncold_start.enabled = on\ncold_start.calls_per_s = {}\n",
            rate * 0.9
        ),
        false => String::new(),
    };
    let text = format!(
        "[trial]\nseed = {seed}\ningresses = {size}\ninstances = 20\ntime = {}s\n[list]\ncalls_per_s = {rate}\n{turns}{}",
        row.time + 6,
        row.more
    );
    run::play_text(&text, program)
}

/// What breaks the goal in a trial with turns.
fn misses(row: &Row, size: usize, played: &Played) -> Vec<String> {
    let f = &played.figures;
    let mut misses = played.broken.clone();
    let mut expect = |holds: bool, what: String| misses.extend((!holds).then_some(what));
    let last = f.listed.last().copied().unwrap_or(f64::INFINITY);
    let most = (size as f64 / rate(size)) * LISTED.0 + LISTED.1 + row.silent * 2.0;
    // Where nothing changed, a watch of an old list is answered when it ends: none is missed by that.
    if row.more.contains("known") {
        expect(
            f.whole == 0,
            format!("{} whole lists where changes do", f.whole),
        );
    } else {
        expect(
            f.listed.len() == size,
            format!("{} of {size} have a list", f.listed.len()),
        );
        expect(
            last <= most,
            format!("the last list after {last:.2} s, {most:.2} s at most"),
        );
        expect(f.whole <= size, format!("{} whole lists", f.whole));
    }
    let calls = 1.25 * rate(size) + 3.0;
    expect(
        f.calls_1s as f64 <= calls,
        format!("{} calls in a second, {calls:.0} at most", f.calls_1s),
    );
    let end = f.seconds.len().saturating_sub(1);
    if row.cold {
        expect(
            f.first_served.is_some_and(|at| at < 1.0),
            format!("first served {:?}", f.first_served),
        );
    } else {
        let share = f.share_between(end.saturating_sub(2), end);
        expect(share >= STEADY, format!("{share:.3} in time at the end"));
    }
    misses
}

fn tell(who: &str, size: usize, row: &Row, seed: u64, played: &Played) {
    let f = &played.figures;
    println!(
        "| {who} | {size} | {} | {seed} | {:.3} | {:.2} | {} | {} | {} | {} | {:.2} | {} | {:.2} | {} |",
        row.name,
        f.share(),
        f.first_served.unwrap_or(f64::NAN),
        f.calls,
        f.turned_away,
        f.whole,
        f.calls_100ms,
        f.listed.last().copied().unwrap_or(f64::NAN),
        f.opened_100ms,
        f.cold_worst,
        if played.valid() { "" } else { "no verdict" },
    );
}

fn measure() -> Result<Count, String> {
    let Arguments {
        before,
        seeds,
        sizes,
    } = Arguments::read(USAGE, &[24, 100, 200])?;
    let program = run::program()?;
    println!(
        "| program | ingresses | start | seed | in time | first s | calls | away | whole | in 100 ms | last list s | dials | cold | |"
    );
    println!(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let mut count = Count::default();
    for &size in &sizes {
        for row in &ROWS {
            for seed in 1..=seeds {
                if let Some(before) = &before {
                    tell(
                        "before",
                        size,
                        row,
                        seed,
                        &play(before, false, row, size, seed)?,
                    );
                }
                let played = play(&program, true, row, size, seed)?;
                tell("now", size, row, seed, &played);
                if !played.valid() {
                    count.none += 1;
                    continue;
                }
                count.plays += 1;
                let misses = misses(row, size, &played);
                count.missed += usize::from(!misses.is_empty());
                misses
                    .iter()
                    .take(5)
                    .for_each(|miss| println!("MISSED {size}, {}, seed {seed}: {miss}", row.name));
            }
        }
    }
    Ok(count)
}

fn main() -> ExitCode {
    verdict(measure())
}
