//! The ingress as a program: runs the sub-command that the command line names, and exits with its status.

mod admin;
mod cli;
mod clock;
mod config;
mod counting_io;
mod discovery;
mod durable_file;
mod engine;
mod event_counts;
mod headers;
mod lifecycle;
mod limits;
mod logging;
mod peer_socket;
mod resource_budget;
mod send_rule;
mod serve;
mod server;
mod socket_retry;
mod upstream;
mod wall_clock;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Without effect where the log is already initialized; before that, it has its text form.
            logging::init(logging::LogFormat::Text);
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
