//! Entry point of the daemon: runs the sub-command and returns its exit status.

mod admin;
mod cli;
mod clock;
mod config;
mod discovery;
mod engine;
mod headers;
mod lifecycle;
mod observability;
mod resources;
mod send_rule;
mod serve;
mod server;
mod system;
mod upstream;

use std::io::{self, Write};
use std::process::ExitCode;

use cli::CommandError;
use observability::logging;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Serve(error)) => {
            // Has no effect if `serve` has already initialized the log.
            logging::init(logging::LogFormat::Text);
            tracing::error!(%error, "process failed");
            ExitCode::FAILURE
        }
        Err(error) => {
            // Printed without the log, for the user of the command line. Unlike `eprintln!`, this does not panic if standard
            // error is closed.
            let _ = writeln!(io::stderr(), "applewall: {error}");
            ExitCode::FAILURE
        }
    }
}
