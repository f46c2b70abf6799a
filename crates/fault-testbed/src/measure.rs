//! What measurements with trials share: their arguments, the loop over sizes, rows and seeds, and the last line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::run::{self, RunError, TrialOutcome};

/// Seeds of each row where the command line names no number.
const DEFAULT_SEEDS: u64 = 20;
/// Violations and missed goals that are printed of one trial.
const PRINTED_LINES: usize = 5;

/// The command line of a measurement.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// An earlier program to measure beside this one.
    pub before: Option<PathBuf>,
    /// Seeds of each row.
    pub seeds: u64,
    /// Numbers of ingresses.
    pub sizes: Vec<usize>,
}

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The command line is wrong.
    #[error("{source}; {usage}")]
    Arguments {
        /// What is wrong.
        source: lexopt::Error,
        /// What the command line can be.
        usage: &'static str,
    },
    /// A trial could not be run.
    #[error(transparent)]
    Run(#[from] RunError),
}

impl Arguments {
    /// Reads the command line: `--before PROGRAM`, `--seeds N`, `--sizes N,N`; `sizes` where it names none.
    ///
    /// # Errors
    ///
    /// What is wrong, with `usage` behind it.
    pub fn read(usage: &'static str, sizes: &[usize]) -> Result<Self, MeasureError> {
        Arguments::parse(lexopt::Parser::from_env(), sizes)
            .map_err(|source| MeasureError::Arguments { source, usage })
    }

    fn parse(mut parser: lexopt::Parser, sizes: &[usize]) -> Result<Self, lexopt::Error> {
        use lexopt::{Arg::Long, ValueExt as _};
        let mut arguments = Arguments {
            before: None,
            seeds: DEFAULT_SEEDS,
            sizes: sizes.to_vec(),
        };
        while let Some(argument) = parser.next()? {
            match argument {
                Long("before") => arguments.before = Some(parser.value()?.into()),
                Long("seeds") => arguments.seeds = parser.value()?.parse()?,
                Long("sizes") => {
                    let text = parser.value()?.string()?;
                    let sizes = text.split(',').map(std::ffi::OsString::from);
                    arguments.sizes = sizes
                        .map(|size| size.parse())
                        .collect::<Result<_, lexopt::Error>>()?;
                }
                other => return Err(other.unexpected()),
            }
        }
        Ok(arguments)
    }
}

/// The trials of a measurement by their result.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrialCounts {
    /// Valid ones.
    pub judged: usize,
    /// Valid ones that missed a goal.
    pub missed: usize,
    /// Those that the machine was too slow for.
    pub invalid: usize,
}

/// One trial of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// Name of the variant, as it is printed.
    pub variant: &'static str,
    /// The daemon's program.
    pub program: &'a Path,
    /// Index of the row.
    pub row: usize,
    /// Number of ingresses.
    pub size: usize,
    /// Seed of the trial.
    pub seed: u64,
}

/// A measurement: a table of rows, each played at several sizes with several seeds.
pub trait Measurement {
    /// Number of rows at each size.
    fn rows(&self) -> usize;
    /// Variants of each trial in the order in which they run: name, and program.
    fn variants<'a>(
        &self,
        program: &'a Path,
        before: Option<&'a Path>,
    ) -> Vec<(&'static str, &'a Path)>;
    /// Prints the head of the table.
    fn print_head(&self);
    /// The trial's file.
    fn trial(&self, run: &Run<'_>) -> String;
    /// Prints the row of a trial; returns the goals that it missed, or `None` where the variant is not judged.
    fn print(&self, run: &Run<'_>, outcome: &TrialOutcome) -> Option<Missed>;
}

/// What a judged trial missed.
#[derive(Clone, Debug, Default)]
pub struct Missed {
    /// True where it missed a goal.
    pub missed: bool,
    /// Lines on that.
    pub lines: Vec<String>,
}

/// Runs a measurement.
///
/// # Errors
///
/// The first trial that cannot be run.
pub fn measure(
    measurement: &impl Measurement,
    arguments: &Arguments,
) -> Result<TrialCounts, MeasureError> {
    let program = run::find_program()?;
    let variants = measurement.variants(&program, arguments.before.as_deref());
    measurement.print_head();
    let mut counts = TrialCounts::default();
    let trials = arguments.sizes.iter().flat_map(|size| {
        (0..measurement.rows())
            .flat_map(move |row| (1..=arguments.seeds).map(move |seed| (*size, row, seed)))
    });
    for (size, row, seed) in trials {
        for (variant, program) in &variants {
            let run = Run {
                variant,
                program,
                row,
                size,
                seed,
            };
            let outcome = run::run_text(&measurement.trial(&run), program)?;
            if let Some(missed) = measurement.print(&run, &outcome) {
                counts.add(&outcome, &missed);
            }
        }
    }
    Ok(counts)
}

impl TrialCounts {
    fn add(&mut self, outcome: &TrialOutcome, missed: &Missed) {
        if !outcome.valid() {
            self.invalid += 1;
            return;
        }
        self.judged += 1;
        self.missed += usize::from(missed.missed);
        for line in missed.lines.iter().take(PRINTED_LINES) {
            println!("{line}");
        }
    }
}

/// Prints the last line; the status is 0 only where every judged trial met its goals.
pub fn exit_code(counts: Result<TrialCounts, MeasureError>) -> ExitCode {
    match counts {
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
        Ok(TrialCounts {
            judged,
            missed,
            invalid,
        }) => {
            let met = missed == 0 && judged > 0;
            let verdict = if met { "kept" } else { "missed" };
            println!("verdict {verdict}: {judged} trials judged, {missed} missed, {invalid} that the machine could not play");
            ExitCode::from(u8::from(!met))
        }
    }
}

#[cfg(test)]
mod tests;
