//! Measurements by trials: the trial of each row of a table is run at several sizes with several seeds.
//!
//! Arguments, table and verdict use the harness that all measurement programs share ([`applewall_fakes::measurement`]).

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use applewall_fakes::measurement::{self, Options, Program, Verdict, VerdictLabels};
use lexopt::{Parser, ValueExt as _};

use crate::run::{self, RunError, TrialOutcome};

/// Default number of seeds of each row.
const DEFAULT_SEEDS: u64 = 20;
/// Maximum number of violations and missed goals that are printed for one trial.
const MAX_PRINTED_LINES: usize = 5;

/// Options of a measurement by trials: `--before PROGRAM`, `--seeds N`, `--sizes N,N`.
#[derive(Clone, Debug)]
pub struct TrialOptions {
    /// An earlier executable to measure for comparison.
    pub before: Option<PathBuf>,
    /// Number of seeds of each row.
    pub seeds: u64,
    /// Numbers of ingresses.
    pub sizes: Vec<usize>,
}

impl TrialOptions {
    /// The defaults of a measurement at these sizes.
    pub fn new(sizes: &[usize]) -> Self {
        TrialOptions {
            before: None,
            seeds: DEFAULT_SEEDS,
            sizes: sizes.to_vec(),
        }
    }
}

impl Options for TrialOptions {
    fn set(&mut self, name: &str, parser: &mut Parser) -> Result<bool, lexopt::Error> {
        match name {
            "before" => self.before = Some(parser.value()?.into()),
            "seeds" => self.seeds = parser.value()?.parse()?,
            "sizes" => {
                let text = parser.value()?.string()?;
                let sizes = text.split(',').map(std::ffi::OsString::from);
                self.sizes = sizes
                    .map(|size| size.parse())
                    .collect::<Result<_, lexopt::Error>>()?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }
}

/// Counts of the trials of a measurement by result.
#[derive(Clone, Copy, Debug, Default)]
struct TrialCounts {
    /// Trials with a verdict.
    judged: usize,
    /// Of these, trials that missed a goal.
    missed: usize,
    /// Trials without a verdict because the machine was too slow.
    invalid: usize,
}

/// A program that a measurement runs, with its name in the table.
#[derive(Clone, Copy, Debug)]
pub struct Variant<'a> {
    /// The name.
    pub name: &'static str,
    /// The daemon's executable.
    pub program: &'a Path,
}

impl<'a> Variant<'a> {
    /// The earlier program, if the command line names one.
    pub fn before(program: Option<&'a Path>) -> Option<Self> {
        program.map(|program| Variant {
            name: "before",
            program,
        })
    }
}

/// One trial of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// The variant to run.
    pub variant: Variant<'a>,
    /// Index of the row.
    pub row: usize,
    /// Number of ingresses.
    pub size: usize,
    /// Seed of the trial.
    pub seed: u64,
}

/// A measurement: a table of rows whose trials are run at several sizes with several seeds.
pub trait Measurement {
    /// Columns of the table.
    const COLUMNS: &'static [&'static str];

    /// Number of rows at each size.
    fn rows(&self) -> usize;
    /// Variants of each trial, in the order in which they are run.
    fn variants<'a>(&self, program: &'a Path, before: Option<&'a Path>) -> Vec<Variant<'a>>;
    /// The text of the trial file.
    fn trial(&self, run: &Run<'_>) -> String;
    /// The cells of the table row of a trial.
    fn cells(&self, run: &Run<'_>, outcome: &TrialOutcome) -> Vec<String>;
    /// The goals that a trial missed, or `None` if its variant is not judged.
    fn judge(&self, run: &Run<'_>, outcome: &TrialOutcome) -> Option<Judgement>;
}

/// The result of a judged trial.
#[derive(Clone, Debug, Default)]
pub struct Judgement {
    /// True if it missed a goal or violated a rule.
    pub missed: bool,
    /// Descriptions of the missed goals and violations, one line each.
    pub lines: Vec<String>,
}

/// The measurement program of this name; `usage` is the synopsis of its command line.
pub const fn program(name: &'static str, usage: &'static str) -> Program {
    Program {
        name,
        usage,
        verdict_labels: VerdictLabels {
            met: "verdict kept",
            missed: "verdict missed",
        },
        error_status: 1,
    }
}

/// Runs a measurement program, with `sizes` as the default of `--sizes`.
pub fn run(program: &Program, sizes: &[usize], measurement: &impl Measurement) -> ExitCode {
    measurement::run(program, TrialOptions::new(sizes), |options| {
        measure(measurement, &options).map(TrialCounts::verdict)
    })
}

/// Runs all trials of a measurement; fails with the error of the first one that cannot be run.
fn measure<M: Measurement>(
    measurement: &M,
    options: &TrialOptions,
) -> Result<TrialCounts, RunError> {
    let program = run::find_program()?;
    let variants = measurement.variants(&program, options.before.as_deref());
    measurement::print_head(M::COLUMNS);
    let mut counts = TrialCounts::default();
    let trials = options.sizes.iter().flat_map(|size| {
        (0..measurement.rows())
            .flat_map(move |row| (1..=options.seeds).map(move |seed| (*size, row, seed)))
    });
    for (size, row, seed) in trials {
        for variant in &variants {
            let run = Run {
                variant: *variant,
                row,
                size,
                seed,
            };
            let outcome = run::run_text(&measurement.trial(&run), variant.program)?;
            measurement::print_row(&measurement.cells(&run, &outcome));
            if let Some(judgement) = measurement.judge(&run, &outcome) {
                counts.add(&outcome, &judgement);
            }
        }
    }
    Ok(counts)
}

impl TrialCounts {
    fn add(&mut self, outcome: &TrialOutcome, judgement: &Judgement) {
        if !outcome.valid() {
            self.invalid += 1;
            return;
        }
        self.judged += 1;
        self.missed += usize::from(judgement.missed);
        for line in judgement.lines.iter().take(MAX_PRINTED_LINES) {
            println!("{line}");
        }
    }

    /// Met only if at least one trial was judged and every judged trial met its goals.
    fn verdict(self) -> Verdict {
        Verdict {
            met: self.missed == 0 && self.judged > 0,
            figures: format!(
                "{} trials judged, {} missed, {} without a verdict (machine too slow)",
                self.judged, self.missed, self.invalid
            ),
        }
    }
}

#[cfg(test)]
mod tests;
