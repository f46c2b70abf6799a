//! The harness of the measurement programs: arguments, table, verdict and exit status.
//!
//! A program describes itself ([`Program`]), defines its options ([`Options`]) and passes [`run`] a function that measures
//! and returns a [`Verdict`]. Exit status 0: every goal was met; 1: a goal was missed. If nothing was measured, because an
//! argument is invalid or the measurement failed, the status is [`Program::error_status`]. Measurements that need only
//! fakes use [`CommonOptions`] and [`healthy_clients`]; those that run trials of many processes (`fault-testbed`) have their
//! own options.

use std::fmt::Display;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt as _};

use crate::clients::HealthyClients;

/// Latency objective of the requests.
pub const LATENCY_OBJECTIVE: Duration = Duration::from_millis(800);
/// Time after which clients give up on a response.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of customers of the healthy clients.
const CUSTOMERS: u64 = 20;

/// Description of a measurement program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name, with which error messages begin.
    pub name: &'static str,
    /// Syntax of the command line.
    pub usage: &'static str,
    /// Labels at the beginning of the last line.
    pub verdict_labels: VerdictLabels,
    /// Exit status if nothing was measured.
    pub error_status: u8,
}

/// Labels at the beginning of a program's last line. Journals and scripts compare that line across versions.
#[derive(Clone, Copy, Debug)]
pub struct VerdictLabels {
    /// Label of a run that met every goal.
    pub met: &'static str,
    /// Label of a run that missed at least one goal.
    pub missed: &'static str,
}

impl Program {
    /// A measurement that needs only fakes.
    pub const fn with_fakes(name: &'static str, usage: &'static str) -> Self {
        Program {
            name,
            usage,
            verdict_labels: VerdictLabels {
                met: "kept",
                missed: "NOT KEPT",
            },
            error_status: 2,
        }
    }

    fn fail(&self, error: &dyn Display) -> ExitCode {
        eprintln!("{}: {error}", self.name);
        ExitCode::from(self.error_status)
    }
}

/// The options of a measurement program. A value holds the defaults until the command line is read.
pub trait Options {
    /// Reads the value of an option; returns false if there is no option of this name.
    ///
    /// # Errors
    ///
    /// The value is missing or invalid.
    fn set(&mut self, name: &str, parser: &mut Parser) -> Result<bool, lexopt::Error>;
}

/// Options of all measurements that need only fakes: `--program FILE`, `--seed N`.
#[derive(Clone, Debug)]
pub struct CommonOptions {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl Default for CommonOptions {
    fn default() -> Self {
        CommonOptions {
            program: "target/release/applewall".into(),
            seed: 7,
        }
    }
}

impl Options for CommonOptions {
    fn set(&mut self, name: &str, parser: &mut Parser) -> Result<bool, lexopt::Error> {
        match name {
            "program" => self.program = parser.value()?.into(),
            "seed" => self.seed = parser.value()?.parse()?,
            _ => return Ok(false),
        }
        Ok(true)
    }
}

/// The action that a command line requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invocation {
    /// Measure with the options that were read.
    Measure,
    /// Print the syntax of the command line.
    Help,
}

/// Reads a command line into the options.
///
/// # Errors
///
/// The first argument that is unknown or invalid.
pub fn parse(options: &mut impl Options, mut parser: Parser) -> Result<Invocation, lexopt::Error> {
    while let Some(argument) = parser.next()? {
        let name = match argument {
            Arg::Long(name) => name.to_string(),
            other => return Err(other.unexpected()),
        };
        if name == "help" {
            return Ok(Invocation::Help);
        }
        if !options.set(&name, &mut parser)? {
            return Err(Arg::Long(&name).unexpected());
        }
    }
    Ok(Invocation::Measure)
}

/// Reads a duration in whole seconds.
///
/// # Errors
///
/// The value is missing or not an integer.
pub fn seconds(parser: &mut Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_secs(parser.value()?.parse()?))
}

/// The result of a measurement, which is printed as the last line.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Every goal was met.
    pub met: bool,
    /// The figures on which the goals are set.
    pub figures: String,
}

/// Runs a measurement program. `options` holds the defaults of what the command line does not set.
pub fn run<O: Options, E: Display>(
    program: &Program,
    mut options: O,
    measure: impl FnOnce(O) -> Result<Verdict, E>,
) -> ExitCode {
    match parse(&mut options, Parser::from_env()) {
        Ok(Invocation::Measure) => {}
        Ok(Invocation::Help) => {
            println!("{}", program.usage);
            return ExitCode::SUCCESS;
        }
        Err(error) => return program.fail(&format_args!("{error}; usage: {}", program.usage)),
    }
    match measure(options) {
        Ok(Verdict { met, figures }) => {
            let labels = program.verdict_labels;
            println!(
                "{}: {figures}",
                if met { labels.met } else { labels.missed }
            );
            ExitCode::from(u8::from(!met))
        }
        Err(error) => program.fail(&error),
    }
}

/// Runs an asynchronous measurement on a runtime of its own.
///
/// # Errors
///
/// Errors of the runtime and of the measurement.
pub fn block_on(measurement: impl Future<Output = io::Result<Verdict>>) -> io::Result<Verdict> {
    tokio::runtime::Runtime::new()?.block_on(measurement)
}

/// Prints the header of a table with these columns.
pub fn print_head(columns: &[&str]) {
    println!("| {} |", columns.join(" | "));
    println!("|{}", "---|".repeat(columns.len()));
}

/// Prints a row of a table.
pub fn print_row(cells: &[String]) {
    println!("| {} |", cells.join(" | "));
}

/// Converts bytes into MB of 2^20 bytes, as tables show them.
pub fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}

/// CPU time per request in milliseconds, as tables show it.
pub fn cpu_ms_per_request(cpu_time: Duration, requests: u64) -> f64 {
    cpu_time.as_secs_f64() * 1e3 / requests.max(1) as f64
}

/// Number of CPU cores of this machine; 0 if unknown.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(0, usize::from)
}

/// The healthy clients of a measurement; all of them reuse connections.
pub fn healthy_clients(
    address: SocketAddr,
    requests_per_second: f64,
    duration: Duration,
    seed: u64,
) -> HealthyClients {
    HealthyClients {
        address,
        source: [127, 0, 0, 1].into(),
        requests_per_second,
        duration,
        new_connection_fraction: 0.0,
        customers: CUSTOMERS,
        latency_objective: LATENCY_OBJECTIVE,
        timeout: CLIENT_TIMEOUT,
        seed,
    }
}
