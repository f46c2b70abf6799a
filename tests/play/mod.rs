//! Runs trials of the fault testbed for tests: one at a time, and again if the machine was too slow.
#![allow(dead_code, reason = "no test program uses all of it")]

use std::path::Path;
use std::sync::{Mutex, PoisonError};

use applewall_fault_testbed::run::{self, TrialOutcome};
use applewall_fault_testbed::trial::Trial;

/// Held during a trial: two trials at a time would slow each other down until their processes miss time limits.
static RUNNING_TRIAL: Mutex<()> = Mutex::new(());

/// Runs a trial with the program under test; up to twice more if its outcome is invalid because the machine was too slow.
pub(crate) fn run_trial(text: &str) -> TrialOutcome {
    let _guard = RUNNING_TRIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let mut last = None;
    for _ in 0..3 {
        let trial = Trial::read(text).expect("a trial");
        let folder = tempfile::tempdir().expect("a folder");
        let program = Path::new(env!("CARGO_BIN_EXE_applewall"));
        let outcome = runtime
            .block_on(run::run(trial, program, folder.path()))
            .expect("the trial runs");
        let is_valid = outcome.valid();
        last = Some(outcome);
        if is_valid {
            break;
        }
    }
    last.expect("at least one run")
}
