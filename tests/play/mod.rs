//! Plays of the rig for tests: the machine to itself, and once more where it could not play one.
#![allow(dead_code, reason = "no test program uses all of it")]

use std::path::Path;
use std::sync::{Mutex, PoisonError};

use applewall_fault_testbed::run::{self, TrialOutcome};
use applewall_fault_testbed::trial::Trial;

/// One trial at a time: each has the machine to itself, and its processes' time limits hold.
static ALONE: Mutex<()> = Mutex::new(());

/// Plays a trial's text with the program under test; where the machine was too slow, up to twice more.
pub(crate) fn play(text: &str) -> TrialOutcome {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
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
        let played = runtime
            .block_on(run::run(trial, program, folder.path()))
            .expect("played");
        let valid = played.valid();
        last = Some(played);
        if valid {
            break;
        }
    }
    last.expect("played at least once")
}
