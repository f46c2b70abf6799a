//! Measures what slow peers cost healthy clients, against the real daemon on loopback.
//!
//! Prints a table: healthy commands served within 800 ms while nothing, slow readers, trickling instances or both are
//! there, at 1,024 and 256 descriptors. The last line is the verdict; status 0 only where each row is at most 2 points
//! under calm of the same run, and the peak memory is under its limit.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use applewall_fakes::clients::{HealthyClients, Outcomes, SlowClientCounts, SlowClients};
use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::{target, Discovery};
use applewall_fakes::instance::{Instance, ResponseBehavior, Script};

/// Points under calm that are allowed.
const GOAL: f64 = 0.02;
const INSTANCES: u64 = 9;
const BODY: usize = 60_000;

struct Options {
    program: PathBuf,
    time: Duration,
    runs: u64,
    operator: Option<String>,
    case: String,
    seed: u64,
}

fn options() -> Result<Options, lexopt::Error> {
    use lexopt::prelude::*;
    let mut options = Options {
        program: "target/release/applewall".into(),
        time: Duration::from_secs(10),
        runs: 1,
        operator: Some("[pace]\nenabled = on\n[bulkheads]\nenabled = on\n".into()),
        case: String::new(),
        seed: 7,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("program") => options.program = parser.value()?.into(),
            Long("seconds") => options.time = Duration::from_secs(parser.value()?.parse()?),
            Long("runs") => options.runs = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("case") => options.case = parser.value()?.string()?,
            Long("operator") => {
                let file = parser.value()?.string()?;
                options.operator = std::fs::read_to_string(&file).ok();
            }
            // The daemon as it is without the subsystem, for comparison.
            Long("off") => options.operator = None,
            Long("help") => {
                println!("measure-slow-peers [--program FILE] [--seconds N] [--runs N] [--seed N] [--case PART] [--operator FILE] [--off]");
                std::process::exit(0);
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

/// One row: its name, slow readers, and which instances answer oddly.
struct Case {
    name: &'static str,
    slow: usize,
    odd: Option<(u32, usize)>,
}

const CASES: [Case; 6] = [
    Case {
        name: "calm",
        slow: 0,
        odd: None,
    },
    Case {
        name: "100 slow readers",
        slow: 100,
        odd: None,
    },
    Case {
        name: "300 slow readers",
        slow: 300,
        odd: None,
    },
    Case {
        name: "one instance trickles",
        slow: 0,
        odd: Some((1, 1)),
    },
    Case {
        name: "one answer in ten trickles",
        slow: 0,
        odd: Some((10, INSTANCES as usize)),
    },
    Case {
        name: "both: 300, one in ten",
        slow: 300,
        odd: Some((10, INSTANCES as usize)),
    },
];

struct Row {
    outcomes: Outcomes,
    memory: u64,
    cpu: Duration,
    descriptors: usize,
    ended: u64,
    log: Vec<String>,
}

async fn play(options: &Options, case: &Case, sockets: usize, seed: u64) -> std::io::Result<Row> {
    let mut instances = Vec::new();
    for number in 0..INSTANCES {
        let odd = case.odd.filter(|(_, many)| (number as usize) < *many);
        let odd = odd.map(|(one_in, _)| (one_in, ResponseBehavior::BodyByteByByte));
        instances.push(
            Instance::start(Script {
                seed: seed + number,
                body_bytes: BODY,
                odd,
                ..Script::default()
            })
            .await?,
        );
    }
    let list: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(i, instance)| target(&format!("s-{i}"), instance.address, "in_service"))
        .collect();
    let discovery = Discovery::start(list.clone()).await?;
    let memory_mb = if sockets < 1_024 { 32 } else { 192 };
    let operator = options.operator.clone();
    let setting = DaemonSettings {
        max_descriptors: sockets,
        memory_mb,
        operator_file: operator,
        discovery: discovery.address,
        known_targets: list,
        quota_per_second: 50.0,
    };
    let name = format!("measure-{}-{sockets}-{seed}", std::process::id());
    let daemon = Daemon::start(&options.program, &std::env::temp_dir(), &name, &setting)?;
    let healthy = HealthyClients {
        address: daemon.address,
        source: [127, 0, 0, 1].into(),
        requests_per_second: 100.0,
        duration: options.time,
        new_connection_fraction: 0.5,
        customers: 20,
        wanted: Duration::from_millis(800),
        timeout: Duration::from_secs(3),
        seed,
    };
    let seen = Arc::new(SlowClientCounts::default());
    let slow = SlowClients {
        address: daemon.address,
        count: case.slow,
        arrival_window: Duration::from_millis(50),
        byte_interval: Some(Duration::from_millis(100)),
        reconnect_delay: Duration::from_millis(500),
        duration: options.time,
        receive_buffer_bytes: 4_096,
        upload_bytes: 0,
    };
    let watch = async {
        tokio::time::sleep(options.time.mul_f64(0.9)).await;
        daemon.descriptors()
    };
    let (outcomes, (), descriptors) = tokio::join!(healthy.run(), slow.run(seen.clone()), watch);
    Ok(Row {
        outcomes,
        memory: daemon.peak_memory(),
        cpu: daemon.cpu_time(),
        descriptors,
        ended: seen.closed_by_daemon.load(Ordering::Relaxed),
        log: daemon.log(),
    })
}

async fn measure(options: &Options) -> std::io::Result<bool> {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "healthy: 100 commands a second for {} s, half on new connections; answers of {BODY} bytes from \
         {INSTANCES} instances; slow readers: a byte each 100 ms, back 500 ms after a cut; {cores} cores",
        options.time.as_secs()
    );
    println!(
        "| descriptors | case | in 800 ms | under calm | served | refused | failed | lost | p50 ms | p99 ms | slow \
         ended | peak MB | CPU ms a command | held |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let (mut worst, mut good, mut peak) = ((0.0f64, String::new()), true, 0u64);
    for run in 0..options.runs {
        for sockets in [1_024, 256] {
            let mut calm = 0.0;
            for case in CASES
                .iter()
                .filter(|case| case.name.contains(&options.case))
            {
                let row = play(options, case, sockets, options.seed + 100 * run).await?;
                let Outcomes {
                    latency,
                    sent: asked,
                    served,
                    refused,
                    failed,
                    lost,
                    mismatched: wrong,
                    ..
                } = &row.outcomes;
                let share = row.outcomes.in_time_fraction();
                if case.slow == 0 && case.odd.is_none() {
                    calm = share;
                }
                let under = calm - share;
                let mb = row.memory as f64 / (1 << 20) as f64;
                println!(
                    "| {sockets} | {} | {share:.3} | {under:+.3} | {served} | {refused} | {failed} | {lost} | {:.1} | \
                     {:.1} | {} | {mb:.1} | {:.3} | {} |",
                    case.name,
                    latency.value_at_quantile(0.5) as f64 / 1e3,
                    latency.value_at_quantile(0.99) as f64 / 1e3,
                    row.ended,
                    row.cpu.as_secs_f64() * 1e3 / (*asked).max(1) as f64,
                    row.descriptors,
                );
                if std::env::var_os("LOGS").is_some() {
                    row.log.iter().for_each(|line| println!("    {line}"));
                }
                if under > worst.0 {
                    worst = (under, format!("{} at {sockets} descriptors", case.name));
                }
                if sockets == 256 {
                    peak = peak.max(row.memory);
                }
                good &= under <= GOAL && *wrong == 0 && row.descriptors <= sockets;
            }
        }
    }
    good &= peak < 32 << 20;
    println!(
        "{}: most under calm {:.3} ({}), {GOAL} allowed; peak {:.1} of 32 MB at 256 descriptors",
        if good { "kept" } else { "NOT KEPT" },
        worst.0,
        if worst.1.is_empty() {
            "nowhere"
        } else {
            &worst.1
        },
        peak as f64 / (1 << 20) as f64
    );
    Ok(good)
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("measure-slow-peers: {e}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("measure-slow-peers: {e}");
            return ExitCode::from(2);
        }
    };
    match runtime.block_on(measure(&options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("measure-slow-peers: {e}");
            ExitCode::from(2)
        }
    }
}
