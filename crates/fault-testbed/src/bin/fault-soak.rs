//! Runs trials with random schedules of overlapping faults, one seed after another. Prints how many requests, attempts and other
//! events the rules were checked on, and for each failure the seed, the faults that cause it and the command that repeats it.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use applewall_fault_testbed::journal::Event;
use applewall_fault_testbed::run::{self, RunError, TrialOutcome};
use applewall_fault_testbed::soak::{self, Schedule, SoakSizes};

const USAGE: &str = "usage: fault-soak [--from SEED] [--seeds N] [--ingresses N] [--program PATH] [--out FOLDER] [--no-shrink]\n\n\
    exit status 0: no rule violated; 1: a rule violated, or an error; 3: no seed had a verdict";
/// Exit status if the machine was too slow for any verdict.
const NO_VERDICT: u8 = 3;
const INSTANCES: usize = 10;
/// Maximum number of violations of one seed that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 8;

struct Arguments {
    first_seed: u64,
    seeds: u64,
    sizes: SoakSizes,
    program: Option<PathBuf>,
    out: PathBuf,
    shrinks: bool,
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}; {USAGE}")]
    Arguments(#[from] lexopt::Error),
    #[error(transparent)]
    Run(#[from] RunError),
    #[error("{}: {source}", path.display())]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
}

/// Counts of the events on which the rules were checked so far.
#[derive(Default)]
struct Coverage {
    valid: u64,
    invalid: u64,
    failed: Vec<u64>,
    requests: usize,
    attempts: usize,
    deadlines: usize,
    clients_left: usize,
    half_requests: usize,
    exits: usize,
    removals: usize,
    warmups: usize,
    pairs: BTreeSet<(String, String)>,
    statuses: BTreeMap<String, usize>,
}

impl Coverage {
    fn add(&mut self, outcome: &TrialOutcome, schedule: &Schedule) {
        for entry in &outcome.entries {
            match &entry.event {
                Event::RequestSent { .. } => self.requests += 1,
                Event::AttemptArrived { .. } => self.attempts += 1,
                Event::DeadlineForwarded { .. } => self.deadlines += 1,
                Event::ClientLeft { .. } => self.clients_left += 1,
                Event::HalfRequestEnded { .. } => self.half_requests += 1,
                Event::IngressExited { .. } => self.exits += 1,
                Event::RemovalListed { .. } => self.removals += 1,
                Event::InstanceStarted {
                    warming_up: true, ..
                } => self.warmups += 1,
                Event::ResponseReceived { status, .. } => {
                    let status = status.map_or("none".to_string(), |status| status.to_string());
                    *self.statuses.entry(status).or_default() += 1;
                }
                _ => {}
            }
        }
        let kinds: BTreeSet<&str> = schedule.keys().map(|name| soak::kind_of(name)).collect();
        for one in &kinds {
            for other in kinds.iter().filter(|other| *other > one) {
                self.pairs
                    .insert(((*one).to_string(), (*other).to_string()));
            }
        }
    }

    fn print(&self) {
        println!(
            "seeds: {} with a verdict, {} without; violations at seeds {:?}",
            self.valid, self.invalid, self.failed
        );
        println!(
            "checked: {} requests (one final response each), {} attempts (never two in flight), {} forwarded deadlines, \
             {} clients that left, {} half requests, {} exits of processes, {} removals listed, {} warm-ups; \
             {} pairs of kinds of faults",
            self.requests,
            self.attempts,
            self.deadlines,
            self.clients_left,
            self.half_requests,
            self.exits,
            self.removals,
            self.warmups,
            self.pairs.len()
        );
        println!("final responses by status: {:?}", self.statuses);
    }
}

fn arguments() -> Result<Arguments, lexopt::Error> {
    use lexopt::prelude::*;
    let mut arguments = Arguments {
        first_seed: 1,
        seeds: 10,
        sizes: SoakSizes {
            ingresses: 12,
            instances: INSTANCES,
        },
        program: None,
        out: "target/soak".into(),
        shrinks: true,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("from") => arguments.first_seed = parser.value()?.parse()?,
            Long("seeds") => arguments.seeds = parser.value()?.parse()?,
            Long("ingresses") => arguments.sizes.ingresses = parser.value()?.parse()?,
            Long("program") => arguments.program = Some(parser.value()?.into()),
            Long("out") => arguments.out = parser.value()?.into(),
            Long("no-shrink") => arguments.shrinks = false,
            other => return Err(other.unexpected()),
        }
    }
    Ok(arguments)
}

/// Writes the trial file of a failed seed, and prints its faults, its violations and the command that repeats it.
fn report(
    arguments: &Arguments,
    seed: u64,
    schedule: &Schedule,
    outcome: &TrialOutcome,
) -> Result<(), Error> {
    let file = arguments.out.join(format!("seed-{seed}.ini"));
    let text = soak::trial_text(seed, arguments.sizes, schedule);
    let write = std::fs::create_dir_all(&arguments.out).and_then(|()| std::fs::write(&file, text));
    write.map_err(|source| Error::File {
        path: file.clone(),
        source,
    })?;
    println!("seed {seed}: rules violated with these faults:");
    for (name, line) in schedule {
        println!("    {name} = {line}");
    }
    for violation in outcome.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
    println!(
        "  repeat with: target/debug/applewall-fault-testbed play {}",
        file.display()
    );
    Ok(())
}

fn soak(arguments: &Arguments, program: &Path) -> Result<Coverage, Error> {
    let mut coverage = Coverage::default();
    for seed in arguments.first_seed..arguments.first_seed + arguments.seeds {
        let schedule = soak::draw(seed, arguments.sizes);
        let play = |schedule: &Schedule| {
            run::run_text(&soak::trial_text(seed, arguments.sizes, schedule), program)
        };
        let outcome = play(&schedule)?;
        if !outcome.valid() {
            coverage.invalid += 1;
            println!(
                "seed {seed}: no verdict, scheduling delay of the testbed {} ms",
                outcome.scheduling_delay_ms
            );
            continue;
        }
        coverage.valid += 1;
        coverage.add(&outcome, &schedule);
        if outcome.violations.is_empty() {
            println!("seed {seed}: no violation");
            continue;
        }
        coverage.failed.push(seed);
        report(arguments, seed, &schedule, &outcome)?;
        if arguments.shrinks {
            let smallest = soak::shrink(&schedule, |remaining| {
                play(remaining)
                    .is_ok_and(|outcome| outcome.valid() && !outcome.violations.is_empty())
            });
            println!(
                "  reduced to the faults {:?}",
                smallest.keys().collect::<Vec<_>>()
            );
        }
    }
    Ok(coverage)
}

fn main() -> ExitCode {
    let result = arguments().map_err(Error::from).and_then(|arguments| {
        let program = arguments
            .program
            .clone()
            .map_or_else(run::find_program, Ok)?;
        soak(&arguments, &program)
    });
    match result {
        Ok(coverage) => {
            coverage.print();
            match (coverage.valid, coverage.failed.is_empty()) {
                (0, _) => ExitCode::from(NO_VERDICT),
                (_, passed) => ExitCode::from(u8::from(!passed)),
            }
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
