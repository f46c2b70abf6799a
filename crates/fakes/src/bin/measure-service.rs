//! Measures the days of operation against the real daemon on loopback: an upgrade in place and a drain under load, and
//! many long answers at once in little memory.
//!
//! Prints a table; the last line is the verdict. Status 0 only where no command was lost, the operators' calls were
//! answered within a second, the long answers came whole, and memory stayed under its limit.

#![expect(
    clippy::excessive_nesting,
    reason = "deep nesting is flattened as the module is reworked"
)]
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
use std::time::{Duration, Instant};

use applewall_fakes::clients::{connect, request, HealthyClients, Outcomes};
use applewall_fakes::daemon::{Daemon, DaemonSettings, InheritedResources};
use applewall_fakes::discovery::{target, Discovery};
use applewall_fakes::instance::{Instance, Script};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const TERM: i32 = 15;
const INSTANCES: u64 = 9;
/// Long answers: how many at once, and how long.
const LONG: (u64, usize) = (40, 8 << 20);
const MEMORY_MB: usize = 32;

struct Options {
    program: PathBuf,
    time: Duration,
    seed: u64,
}

fn options() -> Result<Options, lexopt::Error> {
    use lexopt::prelude::*;
    let mut options = Options {
        program: "target/release/applewall".into(),
        time: Duration::from_secs(12),
        seed: 7,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("program") => options.program = parser.value()?.into(),
            Long("seconds") => options.time = Duration::from_secs(parser.value()?.parse()?),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("help") => {
                println!("measure-service [--program FILE] [--seconds N] [--seed N]");
                std::process::exit(0);
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

/// What a daemon stands among.
struct World {
    setting: DaemonSettings,
    inherited: InheritedResources,
    _instances: Vec<Instance>,
    _discovery: Discovery,
}

async fn world(options: &Options, name: &str, body: usize) -> std::io::Result<World> {
    let mut instances = Vec::new();
    for number in 0..INSTANCES {
        instances.push(
            Instance::start(Script {
                seed: options.seed + number,
                body_bytes: body,
                ..Script::default()
            })
            .await?,
        );
    }
    let entry = |(i, instance): (usize, &Instance)| {
        target(&format!("s-{i}"), instance.address, "in_service")
    };
    let known: Vec<_> = instances.iter().enumerate().map(entry).collect();
    let discovery = Discovery::start(known.clone()).await?;
    let setting = DaemonSettings {
        max_descriptors: 384,
        memory_mb: MEMORY_MB,
        operator_file: None,
        discovery: discovery.address,
        known_targets: known,
        quota_per_second: 50.0,
    };
    let folder =
        std::env::temp_dir().join(format!("measure-service-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let inherited = InheritedResources {
        listener: std::net::TcpListener::bind("127.0.0.1:0")?,
        folder,
    };
    Ok(World {
        setting,
        inherited,
        _instances: instances,
        _discovery: discovery,
    })
}

impl World {
    fn start(&self, options: &Options, name: &str) -> std::io::Result<Daemon> {
        let folder = &self.inherited.folder;
        Daemon::start_inheriting(
            &options.program,
            folder,
            name,
            &self.setting,
            Some(&self.inherited),
        )
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.inherited.folder);
    }
}

/// One call: its answer, and how long that took.
async fn call(daemon: &Daemon, line: &str) -> std::io::Result<(String, Duration)> {
    let to = daemon
        .admin_address
        .ok_or_else(|| std::io::Error::other("no second address"))?;
    let began = Instant::now();
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(format!("{line}\n").as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok((answer, began.elapsed()))
}

/// What operators do meanwhile: the slowest answer, and answers that were no `done`.
#[derive(Default)]
struct Operators {
    slowest: Duration,
    wrong: u32,
}

impl Operators {
    async fn call(&mut self, daemon: &Daemon, line: &str) {
        match call(daemon, line).await {
            Ok((answer, took)) => {
                self.slowest = self.slowest.max(took);
                self.wrong += u32::from(!answer.starts_with("done"));
            }
            Err(_) => self.wrong += 1,
        }
    }

    /// Instances out and back, for so long.
    async fn maintain(&mut self, daemon: &Daemon, time: Duration) {
        let until = Instant::now() + time;
        for i in 0.. {
            if Instant::now() >= until {
                return;
            }
            let id = format!("s-{}", i % INSTANCES);
            self.call(daemon, &format!("DISABLE {id}")).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            self.call(daemon, &format!("ENABLE {id}")).await;
        }
    }
}

struct Row {
    outcomes: Outcomes,
    operators: Operators,
    memory: u64,
    cpu: Duration,
    note: String,
}

fn healthy(options: &Options, to: std::net::SocketAddr) -> HealthyClients {
    HealthyClients {
        address: to,
        source: [127, 0, 0, 1].into(),
        requests_per_second: 100.0,
        duration: options.time,
        new_connection_fraction: 0.3,
        customers: 20,
        wanted: Duration::from_millis(800),
        timeout: Duration::from_secs(3),
        seed: options.seed,
    }
}

async fn calm(options: &Options) -> std::io::Result<Row> {
    let world = world(options, "calm", 64).await?;
    let daemon = world.start(options, "calm")?;
    let outcomes = healthy(options, daemon.address).run().await;
    let (memory, cpu) = (daemon.peak_memory(), daemon.cpu_time());
    Ok(Row {
        outcomes,
        operators: Operators::default(),
        memory,
        cpu,
        note: String::new(),
    })
}

async fn upgrade(options: &Options) -> std::io::Result<Row> {
    let world = world(options, "upgrade", 64).await?;
    let mut old = world.start(options, "old")?;
    let mut operators = Operators::default();
    let play = healthy(options, old.address).run();
    let work = async {
        tokio::time::sleep(options.time / 4).await;
        operators.maintain(&old, Duration::from_millis(500)).await;
        operators.call(&old, "DISABLE s-0").await;
        let began = Instant::now();
        let new = world.start(options, "new")?;
        while !call(&new, "READY").await?.0.starts_with("done") {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let ready = began.elapsed();
        operators.maintain(&new, Duration::from_millis(500)).await;
        let (both, peak) = (old.peak_memory() + new.peak_memory(), old.cpu_time());
        old.signal(TERM);
        let (began, mut ended) = (Instant::now(), None);
        while ended.is_none() && began.elapsed() < Duration::from_millis(3_700) {
            // Not for long: the clients live on this thread too.
            ended = old.wait_for_exit(Duration::from_millis(1));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let took = began.elapsed();
        operators.call(&new, "ENABLE s-0").await;
        operators.wrong += u32::from(!ended.is_some_and(|status| status.success()));
        Ok::<_, std::io::Error>((new, both, peak, ready, took))
    };
    let (outcomes, work) = tokio::join!(play, work);
    let (new, memory, cpu, ready, took) = work?;
    let note = format!(
        "ready after {} ms, the old one ended {} ms after SIGTERM",
        ready.as_millis(),
        took.as_millis()
    );
    Ok(Row {
        outcomes,
        operators,
        memory,
        cpu: cpu + new.cpu_time(),
        note,
    })
}

async fn drain(options: &Options) -> std::io::Result<Row> {
    let world = world(options, "drain", 64).await?;
    let daemon = world.start(options, "drain")?;
    let mut operators = Operators::default();
    let play = healthy(options, daemon.address).run();
    let work = async {
        for (step, line) in ["DRAIN", "UNDRAIN", "DRAIN", "UNDRAIN"].iter().enumerate() {
            tokio::time::sleep(options.time / 6).await;
            operators.call(&daemon, line).await;
            let expected = if step % 2 == 0 { "503" } else { "200" };
            let mut stream = TcpStream::connect(daemon.address).await?;
            stream
                .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            operators.wrong += u32::from(answer.split(' ').nth(1) != Some(expected));
        }
        Ok::<_, std::io::Error>(())
    };
    let (outcomes, work) = tokio::join!(play, work);
    work?;
    let note = "drained and back twice".to_string();
    Ok(Row {
        outcomes,
        operators,
        memory: daemon.peak_memory(),
        cpu: daemon.cpu_time(),
        note,
    })
}

/// Long answers at once: how many came whole, and the daemon's peak memory.
async fn long(options: &Options) -> std::io::Result<(u64, u64, Duration)> {
    let world = world(options, "long", LONG.1).await?;
    let daemon = world.start(options, "long")?;
    let began = Instant::now();
    let mut readers = tokio::task::JoinSet::new();
    for i in 0..LONG.0 {
        let to = daemon.address;
        readers.spawn(async move {
            let mut stream = connect(to, [127, 0, 0, 1].into(), None).await?;
            stream
                .write_all(request(i + 1, i, Duration::from_secs(3), 0).as_bytes())
                .await?;
            let (mut buffer, mut read, mut body) = (vec![0; 65_536], Vec::new(), None);
            loop {
                let n = stream.read(&mut buffer).await?;
                if n == 0 {
                    return Ok::<_, std::io::Error>(false);
                }
                match &mut body {
                    Some(body) => *body += n,
                    None => {
                        read.extend_from_slice(&buffer[..n]);
                        let Some(end) = read.windows(4).position(|w| w == b"\r\n\r\n") else {
                            continue;
                        };
                        if !read.starts_with(b"HTTP/1.1 200 ") {
                            return Ok(false);
                        }
                        body = Some(read.len() - end - 4);
                    }
                }
                if body.is_some_and(|body| body >= LONG.1) {
                    return Ok(body == Some(LONG.1));
                }
            }
        });
    }
    let mut whole = 0;
    while let Some(read) = readers.join_next().await {
        whole += u64::from(matches!(read, Ok(Ok(true))));
    }
    Ok((whole, daemon.peak_memory(), began.elapsed()))
}

async fn measure(options: &Options) -> std::io::Result<bool> {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "100 commands a second for {} s, three in ten on new connections, {INSTANCES} instances; {cores} cores",
        options.time.as_secs()
    );
    println!("| case | in 800 ms | served | refused | failed | lost | slowest call ms | wrong calls | peak MB | CPU ms a command | |");
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let (mut lost, mut slowest, mut wrong, mut peak) = (0, Duration::ZERO, 0, 0u64);
    let rows = [
        ("calm", calm(options).await?),
        ("upgrade", upgrade(options).await?),
        ("drain", drain(options).await?),
    ];
    for (name, row) in rows {
        let Outcomes {
            sent: asked,
            served,
            refused,
            failed,
            lost: gone,
            mismatched: mixed,
            ..
        } = &row.outcomes;
        println!(
            "| {name} | {:.3} | {served} | {refused} | {failed} | {gone} | {:.1} | {} | {:.1} | {:.3} | {} |",
            row.outcomes.in_time_fraction(),
            row.operators.slowest.as_secs_f64() * 1e3,
            row.operators.wrong,
            row.memory as f64 / f64::from(1 << 20),
            row.cpu.as_secs_f64() * 1e3 / (*asked).max(1) as f64,
            row.note,
        );
        lost += gone + failed + mixed;
        slowest = slowest.max(row.operators.slowest);
        wrong += row.operators.wrong;
        peak = peak.max(row.memory);
    }
    let (whole, memory, took) = long(options).await?;
    println!(
        "long answers: {whole} of {} of {} MiB came whole in {:.1} s, peak {:.1} MB",
        LONG.0,
        LONG.1 >> 20,
        took.as_secs_f64(),
        memory as f64 / f64::from(1 << 20)
    );
    peak = peak.max(memory);
    let limit = (MEMORY_MB as u64) << 20;
    let good = lost == 0
        && wrong == 0
        && slowest < Duration::from_secs(1)
        && whole == LONG.0
        && peak < limit;
    println!(
        "{}: {lost} commands lost or failed, slowest call {:.1} ms of 1,000, {wrong} wrong, {whole} of {} long answers, \
         peak {:.1} of {MEMORY_MB} MB",
        if good { "kept" } else { "NOT KEPT" },
        slowest.as_secs_f64() * 1e3,
        LONG.0,
        peak as f64 / f64::from(1 << 20)
    );
    Ok(good)
}

fn main() -> ExitCode {
    let told = |e: &dyn std::fmt::Display| {
        eprintln!("measure-service: {e}");
        ExitCode::from(2)
    };
    let options = match options() {
        Ok(options) => options,
        Err(e) => return told(&e),
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => return told(&e),
    };
    match runtime.block_on(measure(&options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => told(&e),
    }
}
