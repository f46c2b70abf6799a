//! The cases of the second independent review. `review-case NAME ROOT RECORD`; `TROUBLE=0` leaves the disruption out.
//!
//! Ends with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod agent;
mod daemon;
mod http;
mod pipeline;
mod record;
mod site;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use pipeline::Plan;
use site::Framing;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, record] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME ROOT RECORD");
        return ExitCode::from(2);
    };
    if let Err(error) = record::open(record) {
        eprintln!("{record}: {error}");
        return ExitCode::from(2);
    }
    daemon::end_all_after(Duration::from_secs(115));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match run(name, Path::new(root), trouble) {
        Ok(0) => {
            record::say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            record::say(&format!("the rule was broken {broken} times"));
            ExitCode::from(1)
        }
        Err(error) => {
            record::say(&format!("could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

fn run(name: &str, root: &Path, trouble: bool) -> std::io::Result<usize> {
    let pipeline = Plan {
        commands: vec![Framing::Length(4096); 10],
        connections: 3,
        work: Duration::from_millis(80),
        at_once: trouble,
        terminate_after: None,
        idempotency: "fragile",
    };
    match name {
        "many-at-once" => pipeline::play(root, &pipeline),
        "stop-pipelined" => {
            let plan = Plan {
                commands: vec![Framing::Length(200); 4],
                work: Duration::from_millis(300),
                terminate_after: trouble.then_some(Duration::from_millis(100)),
                at_once: true,
                ..pipeline
            };
            pipeline::play(root, &plan)
        }
        "behind-chunked" => {
            let mut commands = vec![Framing::Length(200); 4];
            commands[0] = Framing::Chunked(200);
            let plan = Plan {
                commands,
                ..pipeline
            };
            pipeline::play(root, &plan)
        }
        _ => Err(std::io::Error::other("unknown case")),
    }
}
