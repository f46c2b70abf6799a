//! The harness of the measurement programs: options, table, verdict, and the clients that all of them use.
//!
//! A program defines its options and one function that measures and returns a [`Verdict`]; [`run`] does the rest. Exit
//! status 0: every goal was met; 1: one was missed; 2: the options are wrong or the measurement failed.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::{Arg, Parser, ValueExt as _};

use crate::clients::HealthyClients;

/// Time within which clients want a response.
pub const WANTED: Duration = Duration::from_millis(800);
/// Time after which clients give up on a response.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Customers of the healthy clients.
const CUSTOMERS: u64 = 20;
/// Exit status where nothing was measured.
const NOT_MEASURED: u8 = 2;

/// Options that all programs have: `--program FILE`, `--seed N`.
#[derive(Clone, Debug)]
pub struct CommonOptions {
    /// The daemon's program.
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

/// The options of a measurement program, with their defaults.
pub trait Options: Default {
    /// What the command line can be, for `--help`.
    const USAGE: &'static str;

    /// The options that all programs have.
    fn common(&mut self) -> &mut CommonOptions;

    /// Reads the value of an option of this program; false where it has no such option.
    ///
    /// # Errors
    ///
    /// The value is missing or wrong.
    fn set(&mut self, name: &str, parser: &mut Parser) -> Result<bool, lexopt::Error>;
}

/// Reads a command line; `None` where it asks for help.
///
/// # Errors
///
/// The first argument that is unknown or wrong.
pub fn parse<O: Options>(mut parser: Parser) -> Result<Option<O>, lexopt::Error> {
    let mut options = O::default();
    while let Some(argument) = parser.next()? {
        let name = match argument {
            Arg::Long(name) => name.to_string(),
            other => return Err(other.unexpected()),
        };
        match name.as_str() {
            "program" => options.common().program = parser.value()?.into(),
            "seed" => options.common().seed = parser.value()?.parse()?,
            "help" => return Ok(None),
            name if options.set(name, &mut parser)? => {}
            name => return Err(Arg::Long(name).unexpected()),
        }
    }
    Ok(Some(options))
}

/// Reads a duration in whole seconds.
///
/// # Errors
///
/// The value is missing or no number.
pub fn seconds(parser: &mut Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_secs(parser.value()?.parse()?))
}

/// The result of a measurement; its last line.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Every goal was met.
    pub met: bool,
    /// The figures that the goals are about.
    pub figures: String,
}

/// Runs a measurement program.
pub fn run<O, F>(name: &str, measure: impl FnOnce(O) -> F) -> ExitCode
where
    O: Options,
    F: Future<Output = io::Result<Verdict>>,
{
    let failed = |error: &dyn std::fmt::Display| {
        eprintln!("{name}: {error}");
        ExitCode::from(NOT_MEASURED)
    };
    let options = match parse::<O>(Parser::from_env()) {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{}", O::USAGE);
            return ExitCode::SUCCESS;
        }
        Err(error) => return failed(&error),
    };
    let runtime = tokio::runtime::Runtime::new();
    match runtime.and_then(|runtime| runtime.block_on(measure(options))) {
        Ok(Verdict { met, figures }) => {
            println!("{}: {figures}", if met { "kept" } else { "NOT KEPT" });
            ExitCode::from(u8::from(!met))
        }
        Err(error) => failed(&error),
    }
}

/// Prints the head of a table with these columns.
pub fn print_head(columns: &[&str]) {
    println!("| {} |", columns.join(" | "));
    println!("|{}", "---|".repeat(columns.len()));
}

/// Prints a row of a table.
pub fn print_row(cells: &[String]) {
    println!("| {} |", cells.join(" | "));
}

/// Bytes in MB, as tables show them.
pub fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}

/// Processor time per request in milliseconds, as tables show it.
pub fn cpu_ms_per_request(cpu_time: Duration, requests: u64) -> f64 {
    cpu_time.as_secs_f64() * 1e3 / requests.max(1) as f64
}

/// Number of cores of this machine, 0 where it is unknown.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(0, usize::from)
}

/// The healthy clients of a measurement, which reuse all connections.
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
        wanted: WANTED,
        timeout: CLIENT_TIMEOUT,
        seed,
    }
}
