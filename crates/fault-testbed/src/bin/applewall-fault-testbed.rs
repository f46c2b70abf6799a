//! Runs a trial of many real processes of the daemon, prints its metrics and verdict, and writes the report, the journal and the
//! logs.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use applewall_fault_testbed::report::{self, DrawError};
use applewall_fault_testbed::run::{self, RunError, TrialOutcome};
use applewall_fault_testbed::trial::{Trial, TrialError};
use applewall_fault_testbed::{check::SecondCounts, journal};

const USAGE: &str = "usage: applewall-fault-testbed play FILE [--program PATH] [--seed N] [--out FOLDER] | schema | help\n\n\
    exit status 0: no rule violated; 1: a rule violated, or an error; 3: no verdict, the machine was too slow";
/// Exit status if the machine was too slow for a verdict.
const NO_VERDICT: u8 = 3;
/// Maximum number of violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Arguments of `play`.
#[derive(Default)]
struct PlayArguments {
    file: PathBuf,
    program: Option<PathBuf>,
    seed: Option<u64>,
    out: Option<PathBuf>,
}

/// The sub-command of the command line.
enum SubCommand {
    Play(PlayArguments),
    Schema,
    Help,
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}; {USAGE}")]
    Arguments(#[from] lexopt::Error),
    #[error("{USAGE}")]
    Usage,
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    #[error("{}: {source}", path.display())]
    Trial { path: PathBuf, source: TrialError },
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Draw(#[from] DrawError),
    #[error("interrupted")]
    Interrupted,
}

fn sub_command() -> Result<SubCommand, Error> {
    use lexopt::Arg::{Long, Short, Value};
    use lexopt::ValueExt as _;
    let mut parser = lexopt::Parser::from_env();
    let mut positional = Vec::new();
    let mut arguments = PlayArguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("program") => arguments.program = Some(parser.value()?.into()),
            Long("out") => arguments.out = Some(parser.value()?.into()),
            Long("seed") => arguments.seed = Some(parser.value()?.parse()?),
            Long("help") | Short('h') => positional.push("help".into()),
            Value(value) => positional.push(value),
            other => return Err(other.unexpected().into()),
        }
    }
    match &positional[..] {
        [name, file] if name == "play" => {
            arguments.file = file.into();
            Ok(SubCommand::Play(arguments))
        }
        [name] if name == "schema" => Ok(SubCommand::Schema),
        [name] if name == "help" => Ok(SubCommand::Help),
        _ => Err(Error::Usage),
    }
}

fn file_error(path: &Path) -> impl FnOnce(io::Error) -> Error + '_ {
    move |source| Error::File {
        path: path.to_path_buf(),
        source,
    }
}

fn play(arguments: PlayArguments) -> Result<TrialOutcome, Error> {
    let file = &arguments.file;
    let text = std::fs::read_to_string(file).map_err(file_error(file))?;
    let mut trial = Trial::read(&text).map_err(|source| Error::Trial {
        path: file.clone(),
        source,
    })?;
    trial.trial.seed = arguments.seed.unwrap_or(trial.trial.seed);
    let program = arguments.program.map_or_else(run::find_program, Ok)?;
    let out = arguments.out.unwrap_or_else(|| "target/rig".into());
    std::fs::create_dir_all(&out).map_err(file_error(&out))?;
    let folder = tempfile::tempdir()?;
    let sizes = &trial.trial;
    println!(
        "{} ingresses, {} limit servers, {:?} of traffic, {} faults, seed {}",
        sizes.ingresses,
        sizes.instances,
        sizes.time.0,
        trial.faults.len(),
        sizes.seed
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let outcome = runtime.block_on(async {
        tokio::select! {
            outcome = run::run(trial, &program, folder.path()) => Ok(outcome?),
            // Dropping the run drops its environment, which kills the processes.
            _ = tokio::signal::ctrl_c() => Err(Error::Interrupted),
        }
    })?;
    write_results(&outcome, &file.display().to_string(), &out)?;
    Ok(outcome)
}

/// Writes the journal, the report and the logs into a folder.
fn write_results(outcome: &TrialOutcome, title: &str, out: &Path) -> Result<(), Error> {
    let write = |name: &str, text: &[u8]| {
        let path = out.join(name);
        std::fs::write(&path, text).map_err(file_error(&path))
    };
    let mut entries = Vec::new();
    journal::write(&outcome.entries, &mut entries)?;
    write("journal.jsonl", &entries)?;
    write("report.svg", report::svg(outcome, title)?.as_bytes())?;
    for (number, log) in outcome.logs.iter().enumerate() {
        write(&format!("n{number}.log"), log.as_bytes())?;
    }
    let report = out.join("report.svg");
    println!("report (journal and logs beside it): {}", report.display());
    Ok(())
}

fn print_metrics(outcome: &TrialOutcome) {
    let metrics = &outcome.metrics;
    println!(
        "requests: {} sent, {:.3} of them served in time, {} rejected, {} not accepted; first served after {:.2} s",
        metrics.requests_sent,
        metrics.served_in_time_fraction(),
        metrics.rejected,
        metrics.connect_failures,
        metrics.first_served_seconds.unwrap_or(f64::NAN)
    );
    println!(
        "list service: {} requests ({} rejected), {} full lists, at most {} requests in 100 ms and {} in 1 s; \
         {} ingresses with a list, the last after {:.2} s",
        metrics.list_requests,
        metrics.list_rejections,
        metrics.full_lists,
        metrics.max_list_requests_per_100ms,
        metrics.max_list_requests_per_second,
        metrics.first_list_seconds.len(),
        metrics.first_list_seconds.last().copied().unwrap_or(f64::NAN)
    );
    println!(
        "limit servers: {} attempts, at most {} new connections to one in 100 ms, peak load in warm-up {:.2} of the overload; \
         datagrams: {} accepted, {} dropped",
        metrics.attempts,
        metrics.max_connections_opened_per_100ms,
        metrics.peak_warmup_overload,
        metrics.datagrams.accepted,
        metrics.datagrams.dropped
    );
    let second = |(second, counts): (usize, &SecondCounts)| {
        format!("{second}s {}/{}", counts.served_in_time, counts.sent)
    };
    let seconds: Vec<String> = metrics.per_second.iter().enumerate().map(second).collect();
    println!("served in time/sent by second: {}", seconds.join(", "));
    println!(
        "scheduling delay of the testbed: at most {} ms; CPU time of the ingresses: {:.2} s",
        outcome.scheduling_delay_ms, outcome.usage.cpu_seconds
    );
    for violation in outcome.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("VIOLATION: {violation}");
    }
}

/// Prints the verdict and returns it as an exit status.
fn verdict(outcome: &TrialOutcome) -> ExitCode {
    if !outcome.valid() {
        let delay = outcome.scheduling_delay_ms;
        let allowed = outcome.settings.max_scheduling_delay_ms;
        println!("verdict none: scheduling delay of the testbed {delay} ms, allowed {allowed} ms");
        return ExitCode::from(NO_VERDICT);
    }
    let passed = outcome.violations.is_empty();
    println!("verdict {}", if passed { "kept" } else { "broken" });
    ExitCode::from(u8::from(!passed))
}

fn main() -> ExitCode {
    let result = sub_command().and_then(|sub_command| match sub_command {
        SubCommand::Play(arguments) => play(arguments).map(Some),
        SubCommand::Schema => {
            println!("{}", Trial::schema());
            Ok(None)
        }
        SubCommand::Help => {
            println!("{USAGE}");
            Ok(None)
        }
    });
    match result {
        Ok(None) => ExitCode::SUCCESS,
        Ok(Some(outcome)) => {
            print_metrics(&outcome);
            verdict(&outcome)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
