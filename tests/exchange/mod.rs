//! Recorded exchanges: the language of their steps, and the runner that performs them with the real program.
//!
//! No step waits for a duration: each waits for bytes, with a timeout far beyond what any step takes.

mod connections;
mod message;
mod program;
mod redaction;
mod runner;
mod script;

use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;

use runner::Runner;

/// Far longer than any step takes, so that only a step that never completes reaches it.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// What the consecutive programs of an exchange inherit.
struct Inherited {
    /// Listening socket for clients.
    listener: TcpListener,
    /// Folder of the program's files.
    folder: PathBuf,
}

/// Plays an exchange; returns its record.
pub(crate) fn play(name: &str) -> String {
    let path = format!("{}/tests/exchanges/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("a recorded exchange");
    let mut runner = Runner::new(name);
    for step in script::parse(&text) {
        runner.perform(&step);
    }
    runner.record()
}
