//! Runs a trial: builds its environment, starts the processes and faults, sends traffic, and checks the journal.
//!
//! Input: a [`Trial`] and the daemon's executable. Output: a [`TrialOutcome`]. Invariant: no process outlives the run.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::check::{self, CheckerSettings, Metrics};
use crate::clients::Clients;
use crate::environment::Environment;
use crate::fault::InitialList;
use crate::journal::{Entry, Event, Journal};
use crate::process::{IngressProcess, ResourceUsage, MEMORY_LIMIT_MB};
use crate::topology::Topology;
use crate::trial::{Trial, TrialError};

/// Interval at which processes and triggers are polled: short compared with the durations in trial files.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Scheduling delay above which it is recorded, each time that it exceeds the highest one so far.
const RECORDED_SCHEDULING_DELAY_MS: u64 = 5;
/// Maximum time to wait for ingresses to become ready; clients start after that in any case.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Makes the random numbers of the clients differ from those of the environment.
const CLIENT_SEED: u64 = 0xc11e;

/// The result of a trial.
pub struct TrialOutcome {
    /// The journal.
    pub entries: Vec<Entry>,
    /// Violations of the rules, one line each.
    pub violations: Vec<String>,
    /// Its metrics.
    pub metrics: Metrics,
    /// The highest scheduling delay of the testbed itself, in milliseconds.
    pub scheduling_delay_ms: u64,
    /// The settings of the checkers.
    pub settings: CheckerSettings,
    /// Numbers of components.
    pub topology: Topology,
    /// Log of each ingress.
    pub logs: Vec<String>,
    /// Of the ingresses that were running at the end: total CPU time, and the highest peak memory of one.
    pub usage: ResourceUsage,
}

impl TrialOutcome {
    /// True if the scheduling delay of the testbed was low enough for a verdict.
    pub fn valid(&self) -> bool {
        self.scheduling_delay_ms <= self.settings.max_scheduling_delay_ms
    }
}

/// Why a trial could not be run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The trial file is invalid.
    #[error(transparent)]
    Trial(#[from] TrialError),
    /// An error of a socket, a file, a process or the runtime.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The daemon's executable is not in the build directory.
    #[error("executable 'applewall' not found beside {}; run 'make build' first", .0.display())]
    NoProgram(PathBuf),
}

/// Runs a trial with this executable; files are written to `folder`.
///
/// # Errors
///
/// Errors of sockets, files and processes; the trial has no result then.
pub async fn run(trial: Trial, program: &Path, folder: &Path) -> io::Result<TrialOutcome> {
    let environment = Environment::build(trial, program, folder).await?;
    environment.clone().start()?;
    let ready = environment.trial.trial.ready * environment.topology.ingresses as f64;
    let wait = async {
        while environment.ready_count() < ready as usize {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let _ = tokio::time::timeout(READY_TIMEOUT, wait).await;
    let time = environment.trial.trial.time.0;
    let seed = environment.trial.trial.seed ^ CLIENT_SEED;
    let clients = environment.clients.get_or_init(|| clients(&environment));
    let sending = tokio::spawn(clients.clone().run(time, seed));
    sending.await.map_err(io::Error::other)?;
    Ok(environment.finish())
}

/// The clients of a trial.
fn clients(environment: &Environment) -> Arc<Clients> {
    let ingresses = environment.ingresses();
    let addresses = ingresses.iter().map(|ingress| ingress.config.listen);
    Clients::new(
        environment.trial.client_behavior(),
        addresses.collect(),
        &environment.network,
        &environment.journal,
    )
}

/// Parses a trial file and runs the trial on a new runtime, in a temporary folder.
///
/// # Errors
///
/// An invalid trial file, and errors of sockets, files and processes.
pub fn run_text(text: &str, program: &Path) -> Result<TrialOutcome, RunError> {
    let folder = tempfile::tempdir()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let trial = Trial::read(text)?;
    Ok(runtime.block_on(run(trial, program, folder.path()))?)
}

impl Environment {
    /// Starts all processes and faults, and the tasks that observe them.
    fn start(self: Arc<Self>) -> io::Result<()> {
        let list: InitialList = self.trial.ingress.known.parse().map_err(io::Error::other)?;
        for number in 0..self.topology.ingresses {
            self.start_ingress(number, list)?;
        }
        for (index, name) in self.trial.faults.keys().enumerate() {
            let seed = self.trial.trial.seed ^ (index as u64 + 1) << 8;
            self.tasks.spawn(self.clone().run_fault(name.clone(), seed));
        }
        self.tasks.spawn(self.clone().record_exits());
        self.tasks
            .spawn(record_scheduling_delay(self.journal.clone()));
        Ok(())
    }

    /// Aborts the tasks, kills the processes and checks the journal.
    fn finish(&self) -> TrialOutcome {
        let mut ingresses = self.ingresses();
        let mut usage = ResourceUsage::default();
        for used in ingresses.iter().filter_map(IngressProcess::usage) {
            usage.cpu_seconds += used.cpu_seconds;
            usage.peak_memory_bytes = usage.peak_memory_bytes.max(used.peak_memory_bytes);
        }
        let entries = self.journal.entries();
        self.tasks.abort_all();
        for ingress in ingresses.iter_mut() {
            ingress.kill();
        }
        let settings = self.trial.checker_settings();
        let mut violations = check::violations(&entries, &settings);
        if usage.peak_memory_bytes > MEMORY_LIMIT_MB << 20 {
            let peak_memory = usage.peak_memory_bytes;
            violations.push(format!(
                "a process used {peak_memory} bytes of {MEMORY_LIMIT_MB} MB"
            ));
        }
        TrialOutcome {
            violations,
            metrics: check::metrics(&entries, &settings),
            scheduling_delay_ms: check::scheduling_delay_ms(&entries),
            settings,
            topology: self.topology,
            logs: ingresses.iter().map(IngressProcess::log).collect(),
            usage,
            entries,
        }
    }
}

/// Measures how late timers of the testbed fire, and records each new maximum.
async fn record_scheduling_delay(journal: Journal) {
    let mut recorded_ms = RECORDED_SCHEDULING_DELAY_MS;
    loop {
        let before = Instant::now();
        tokio::time::sleep(POLL_INTERVAL).await;
        let delay = before.elapsed().saturating_sub(POLL_INTERVAL);
        let ms = delay.as_millis() as u64;
        if ms > recorded_ms {
            recorded_ms = ms;
            journal.record(Event::SchedulingDelay { ms });
        }
    }
}

/// Finds the daemon's executable in cargo's build directory: beside this executable, or one folder up for tests.
///
/// # Errors
///
/// The executable does not exist.
pub fn find_program() -> Result<PathBuf, RunError> {
    let own = std::env::current_exe()?;
    let mut candidates = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("applewall"));
    match candidates.find(|path| path.is_file()) {
        Some(path) => Ok(path),
        None => Err(RunError::NoProgram(own)),
    }
}
