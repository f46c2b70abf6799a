//! Measures how soon a drain that is written into a registry stops new work, through breaks, silence and compactions.
//!
//! A real daemon follows the registry's stand-in through wires to its members; commands come all the time. In each
//! round a trouble begins, a drain of one instance is written, and the last request that this instance got after the
//! write is taken down. Last line: the verdict; status 0 only where no request came later than 500 ms in any round,
//! and no command was lost.

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
use std::time::{Duration, Instant};

use applewall_fakes::clients::HealthyClients;
use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::Discovery;
use applewall_fakes::etcd::EtcdServer;
use applewall_fakes::instance::{Instance, Script};
use applewall_fakes::tcp_proxy::TcpProxy;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What the rule allows.
const BUDGET: Duration = Duration::from_millis(500);
const INSTANCES: usize = 6;
const MEMBERS: usize = 3;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Trouble {
    None,
    /// All connections are cut right before the write.
    Cut,
    /// The wire that is in use falls silent right before the write, and stays open.
    Silent,
    /// Cut, and the history is compacted up to the write.
    Compacted,
    /// Members refuse for a while after a cut.
    Down,
}

const TROUBLES: [Trouble; 5] = [
    Trouble::None,
    Trouble::Cut,
    Trouble::Silent,
    Trouble::Compacted,
    Trouble::Down,
];

struct Options {
    program: PathBuf,
    rounds: usize,
    seed: u64,
}

fn options() -> Result<Options, lexopt::Error> {
    use lexopt::prelude::*;
    let mut options = Options {
        program: "target/release/applewall".into(),
        rounds: 20,
        seed: 7,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("program") => options.program = parser.value()?.into(),
            Long("rounds") => options.rounds = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("help") => {
                println!("measure-registry [--program FILE] [--rounds N] [--seed N]");
                std::process::exit(0);
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn value(instance: &Instance, state: &str) -> String {
    format!(
        r#"{{"endpoint":"{}","az":"a","pod_group":0,"state":"{state}"}}"#,
        instance.address
    )
}

async fn measure(options: &Options) -> std::io::Result<bool> {
    let registry = EtcdServer::new(7, 4);
    let mut instances = Vec::new();
    for number in 0..INSTANCES {
        let work = (Duration::from_millis(2), Duration::from_millis(6));
        let script = Script {
            seed: number as u64,
            work,
            ..Script::default()
        };
        instances.push(Instance::start(script).await?);
    }
    for (i, instance) in instances.iter().enumerate() {
        registry.put(
            &format!("/applewall/members/s-{i}"),
            &value(instance, "in_service"),
        );
    }
    let mut wires = Vec::new();
    for _ in 0..MEMBERS {
        wires.push(TcpProxy::start(registry.listen().await?).await?);
    }
    // Discovery knows nobody: the registry alone tells.
    let discovery = Discovery::start(Vec::new()).await?;
    let endpoints: Vec<String> = wires.iter().map(|wire| wire.address.to_string()).collect();
    let setting = DaemonSettings {
        max_descriptors: 256,
        memory_mb: 32,
        operator_file: Some(format!(
            "[registry]\nenabled = on\nendpoints = {}\nallowed = 127.0.0.0/8\n",
            endpoints.join(", ")
        )),
        discovery: discovery.address,
        known_targets: Vec::new(),
        quota_per_second: 200.0,
    };
    let name = format!("measure-registry-{}", std::process::id());
    let daemon = Daemon::start(&options.program, &std::env::temp_dir(), &name, &setting)?;
    let begun = Instant::now();
    while registry.calls.watches.load(Ordering::Relaxed) == 0 {
        if begun.elapsed() > Duration::from_secs(20) {
            return Err(std::io::Error::other(
                "the daemon does not follow the registry",
            ));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let rounds = options.rounds * TROUBLES.len();
    let load = HealthyClients {
        address: daemon.address,
        source: [127, 0, 0, 1].into(),
        requests_per_second: 200.0,
        duration: Duration::from_millis(1_600) * rounds as u32,
        new_connection_fraction: 0.0,
        customers: 20,
        wanted: Duration::from_millis(800),
        timeout: Duration::from_secs(3),
        seed: options.seed,
    };
    let load = tokio::spawn(load.run());
    let mut rng = SmallRng::seed_from_u64(options.seed);
    println!(
        "| trouble | rounds | last request after the write, median ms | most ms | full reads | watches |"
    );
    println!("|---|---|---|---|---|---|");
    let (mut worst, mut late) = (Duration::ZERO, 0);
    for trouble in TROUBLES {
        let (reads, watches) = (&registry.calls.ranges, &registry.calls.watches);
        let before = (
            reads.load(Ordering::Relaxed),
            watches.load(Ordering::Relaxed),
        );
        let mut times = Vec::new();
        for _ in 0..options.rounds {
            let number = rng.random_range(0..INSTANCES);
            tokio::time::sleep(Duration::from_millis(rng.random_range(100..300))).await;
            let up = |wire: &&TcpProxy| wire.connections.1.load(Ordering::Relaxed) > 0;
            match trouble {
                Trouble::None => {}
                Trouble::Silent => wires
                    .iter()
                    .filter(up)
                    .for_each(|wire| wire.set_silent(true)),
                Trouble::Cut | Trouble::Compacted => wires.iter().for_each(TcpProxy::disconnect),
                Trouble::Down => {
                    wires.iter().for_each(|wire| wire.set_refusing(true));
                    wires.iter().for_each(TcpProxy::disconnect);
                }
            }
            let key = format!("/applewall/members/s-{number}");
            let revision = registry.put(&key, &value(&instances[number], "terminating"));
            let written = Instant::now();
            if trouble == Trouble::Compacted {
                registry.compact(revision);
            }
            let down = Duration::from_millis(if trouble == Trouble::Down { 150 } else { 0 });
            let seen = || instances[number].recorded.requests.load(Ordering::Relaxed);
            let (mut last, mut count) = (Duration::ZERO, seen());
            while written.elapsed() < Duration::from_millis(900) {
                tokio::time::sleep(Duration::from_millis(1)).await;
                if written.elapsed() >= down {
                    wires.iter().for_each(|wire| wire.set_refusing(false));
                }
                if seen() > count {
                    (count, last) = (seen(), written.elapsed());
                }
            }
            wires.iter().for_each(|wire| wire.set_silent(false));
            registry.put(&key, &value(&instances[number], "in_service"));
            times.push(last);
        }
        times.sort();
        let most = times.last().copied().unwrap_or_default();
        late += times.iter().filter(|time| **time > BUDGET).count();
        worst = worst.max(most);
        println!(
            "| {trouble:?} | {} | {} | {} | {} | {} |",
            times.len(),
            times[times.len() / 2].as_millis(),
            most.as_millis(),
            reads.load(Ordering::Relaxed) - before.0,
            watches.load(Ordering::Relaxed) - before.1,
        );
    }
    let probes =
        registry.calls.progress.load(Ordering::Relaxed) as f64 / begun.elapsed().as_secs_f64();
    let outcomes = load.await.map_err(std::io::Error::other)?;
    let good = late == 0 && outcomes.lost == 0 && outcomes.mismatched == 0;
    println!(
        "commands: {} asked, {} served, {} refused, {} failed, {} lost; {probes:.1} proofs a second from one ingress",
        outcomes.sent, outcomes.served, outcomes.refused, outcomes.failed, outcomes.lost
    );
    println!(
        "{}: last request {} ms after a drain was written at most, in {rounds} rounds; {} ms allowed; {late} later",
        if good { "kept" } else { "NOT KEPT" },
        worst.as_millis(),
        BUDGET.as_millis()
    );
    drop(Arc::new(daemon));
    Ok(good)
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("measure-registry: {e}");
            return ExitCode::from(2);
        }
    };
    let result =
        tokio::runtime::Runtime::new().and_then(|runtime| runtime.block_on(measure(&options)));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("measure-registry: {e}");
            ExitCode::from(2)
        }
    }
}
