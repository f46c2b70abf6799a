//! Plays a trial of many real processes of the daemon, for people: progress, verdict, figures and a page.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::path::PathBuf;
use std::process::ExitCode;

use applewall_fault_testbed::run::{self, Played};
use applewall_fault_testbed::trial::Trial;
use applewall_fault_testbed::{journal, report};

const USAGE: &str = "usage: applewall-fault-testbed play FILE [--program PATH] [--seed N] [--out FOLDER] | schema | help\n\n\
    status 0: every rule kept; 1: a rule broken, or what cannot be read; 3: the machine could not play the trial";
/// The machine was too slow: no verdict.
const NO_VERDICT: u8 = 3;

struct Call {
    file: PathBuf,
    program: Option<PathBuf>,
    seed: Option<u64>,
    out: Option<PathBuf>,
}

fn call() -> Result<Option<Call>, String> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let told = |e: lexopt::Error| format!("{e}; {USAGE}");
    let mut words = Vec::new();
    let mut call = Call {
        file: PathBuf::new(),
        program: None,
        seed: None,
        out: None,
    };
    while let Some(arg) = parser.next().map_err(told)? {
        match arg {
            Long("program") => call.program = Some(parser.value().map_err(told)?.into()),
            Long("out") => call.out = Some(parser.value().map_err(told)?.into()),
            Long("seed") => call.seed = Some(parser.value().and_then(|v| v.parse()).map_err(told)?),
            Long("help") | Short('h') => words.push("help".into()),
            Value(word) => words.push(word),
            other => return Err(told(other.unexpected())),
        }
    }
    match &words[..] {
        [word, file] if word == "play" => {
            call.file = file.into();
            Ok(Some(call))
        }
        [word] if word == "schema" => {
            println!("{}", Trial::schema());
            Ok(None)
        }
        [word] if word == "help" => {
            println!("{USAGE}");
            Ok(None)
        }
        _ => Err(USAGE.to_string()),
    }
}

fn play(call: Call) -> Result<Played, String> {
    let text =
        std::fs::read_to_string(&call.file).map_err(|e| format!("{}: {e}", call.file.display()))?;
    let mut trial = Trial::read(&text).map_err(|e| format!("{}: {e}", call.file.display()))?;
    trial.trial.seed = call.seed.unwrap_or(trial.trial.seed);
    let program = call.program.map_or_else(run::program, Ok)?;
    let out = call.out.unwrap_or_else(|| PathBuf::from("target/rig"));
    std::fs::create_dir_all(&out).map_err(|e| format!("{}: {e}", out.display()))?;
    let scratch = tempfile::tempdir().map_err(|e| e.to_string())?;
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
        .build()
        .map_err(|e| e.to_string())?;
    let played = runtime.block_on(async {
        tokio::select! {
            played = run::play(trial, &program, scratch.path()) => played.map_err(|e| e.to_string()),
            // The processes go with the world that holds them.
            _ = tokio::signal::ctrl_c() => Err("interrupted".to_string()),
        }
    })?;
    let write = |name: &str, text: &[u8]| {
        let path = out.join(name);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
    };
    let mut lines = Vec::new();
    journal::write(&played.lines, &mut lines).map_err(|e| e.to_string())?;
    write("journal.jsonl", &lines)?;
    write(
        "report.svg",
        report::svg(&played, &call.file.display().to_string())?.as_bytes(),
    )?;
    for (i, log) in played.logs.iter().enumerate() {
        write(&format!("n{i}.log"), log.as_bytes())?;
    }
    println!(
        "journal, logs and the page: {}",
        out.join("report.svg").display()
    );
    Ok(played)
}

fn tell(played: &Played) {
    let f = &played.figures;
    println!(
        "asked {}, served in time {:.3}, refused {}, unreached {}; first served after {:.2} s",
        f.asked,
        f.share(),
        f.refused,
        f.unreached,
        f.first_served.unwrap_or(f64::NAN)
    );
    println!(
        "list service: {} calls ({} turned away), {} whole lists, most in 100 ms {}, in 1 s {}; {} listed, last after {:.2} s",
        f.calls,
        f.turned_away,
        f.whole,
        f.calls_100ms,
        f.calls_1s,
        f.listed.len(),
        f.listed.last().copied().unwrap_or(f64::NAN)
    );
    println!(
        "limit servers: {} attempts, most connections at one in 100 ms {}, cold budget used {:.2}; datagrams {} taken, {} dropped",
        f.attempts, f.opened_100ms, f.cold_worst, f.mail.0, f.mail.1
    );
    for (second, (asked, served)) in f.seconds.iter().enumerate() {
        print!(
            "{}{second}s {served}/{asked}",
            if second == 0 { "by second: " } else { ", " }
        );
    }
    println!(
        "\nrig late by {} ms at the worst; ingresses used {:.2} s of processor",
        played.late_ms, played.cost.0
    );
    played
        .broken
        .iter()
        .take(20)
        .for_each(|line| println!("BROKEN {line}"));
}

fn main() -> ExitCode {
    match call().and_then(|call| call.map(play).transpose()) {
        Err(reason) => {
            eprintln!("{reason}");
            ExitCode::FAILURE
        }
        Ok(None) => ExitCode::SUCCESS,
        Ok(Some(played)) => {
            tell(&played);
            if !played.valid() {
                println!("verdict none: the rig was late by {} ms", played.late_ms);
                return ExitCode::from(NO_VERDICT);
            }
            println!(
                "verdict {}",
                if played.broken.is_empty() {
                    "kept"
                } else {
                    "broken"
                }
            );
            ExitCode::from(u8::from(!played.broken.is_empty()))
        }
    }
}
