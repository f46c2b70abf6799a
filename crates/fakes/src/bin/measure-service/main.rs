//! Measures maintenance of the real daemon on loopback: a hot restart and a drain under load, and many concurrent long
//! responses with little memory.
//!
//! Exit status 0 only if no request was lost, failed or got the response to another one, each admin command succeeded within
//! a second, all long responses were complete, and memory stayed below its limit.

mod environment;

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use applewall_fakes::clients::{connect, request, HealthyClients, Outcomes};
use applewall_fakes::daemon::Daemon;
use applewall_fakes::measurement::{
    block_on, cores, cpu_ms_per_request, healthy_clients, megabytes, print_head, print_row, run,
    seconds, CommonOptions, Options, Program, Verdict, CLIENT_TIMEOUT,
};
use lexopt::Parser;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use environment::{health_status, terminate, AdminCommands, Environment};

const PROGRAM: Program = Program::with_fakes(
    "measure-service",
    "measure-service [--program FILE] [--seconds N] [--seed N]",
);
const INSTANCES: u64 = 9;
const BODY_BYTES: usize = 64;
/// Number of concurrent long responses.
const LONG_RESPONSES: u64 = 40;
const LONG_BODY_BYTES: usize = 8 << 20;
const MEMORY_MB: usize = 32;
/// Goal: each admin command is answered within this time.
const MAX_COMMAND_TIME: Duration = Duration::from_secs(1);
/// Duration of the maintenance commands before and after a hot restart.
const MAINTENANCE_TIME: Duration = Duration::from_millis(500);

struct ServiceOptions {
    common: CommonOptions,
    duration: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        ServiceOptions {
            common: CommonOptions::default(),
            duration: Duration::from_secs(12),
        }
    }
}

impl Options for ServiceOptions {
    fn set(&mut self, name: &str, parser: &mut Parser) -> Result<bool, lexopt::Error> {
        match name {
            "seconds" => self.duration = seconds(parser)?,
            _ => return self.common.set(name, parser),
        }
        Ok(true)
    }
}

impl ServiceOptions {
    fn clients(&self, address: SocketAddr) -> HealthyClients {
        HealthyClients {
            new_connection_fraction: 0.3,
            ..healthy_clients(address, 100.0, self.duration, self.common.seed)
        }
    }
}

/// Measured values of a case.
struct Row {
    name: &'static str,
    outcomes: Outcomes,
    commands: AdminCommands,
    peak_memory: u64,
    cpu_time: Duration,
    note: String,
}

impl Row {
    fn print(&self) {
        let outcomes = &self.outcomes;
        print_row(&[
            self.name.to_string(),
            format!("{:.3}", outcomes.in_time_fraction()),
            outcomes.served.to_string(),
            outcomes.rejected.to_string(),
            outcomes.failed.to_string(),
            outcomes.lost.to_string(),
            format!("{:.1}", self.commands.slowest.as_secs_f64() * 1e3),
            self.commands.failures.to_string(),
            format!("{:.1}", megabytes(self.peak_memory)),
            format!("{:.3}", cpu_ms_per_request(self.cpu_time, outcomes.sent)),
            self.note.clone(),
        ]);
    }
}

async fn measure_calm(options: &ServiceOptions) -> io::Result<Row> {
    let environment = Environment::start(options, "calm", BODY_BYTES).await?;
    let daemon = environment.start_daemon("calm")?;
    let outcomes = options.clients(daemon.address).run().await;
    Ok(Row {
        name: "calm",
        outcomes,
        commands: AdminCommands::default(),
        peak_memory: daemon.peak_memory(),
        cpu_time: daemon.cpu_time(),
        note: String::new(),
    })
}

/// Measured values of a hot restart.
struct HotRestart {
    commands: AdminCommands,
    /// Of both processes together.
    peak_memory: u64,
    /// Of the old process.
    cpu_time: Duration,
    /// Time from the start of the new process until it was ready.
    ready_after: Duration,
    /// Time from SIGTERM until the old process exited.
    old_exited_after: Duration,
}

/// Starts a new process beside an old one, waits until it is ready, and terminates the old one.
async fn run_hot_restart(
    environment: &Environment<'_>,
    mut old: Daemon,
) -> io::Result<(Daemon, HotRestart)> {
    let mut commands = AdminCommands::default();
    tokio::time::sleep(environment.options.duration / 4).await;
    commands.run_maintenance(&old, MAINTENANCE_TIME).await;
    commands.send(&old, "DISABLE s-0").await;
    let started = Instant::now();
    let new = environment.start_daemon("new")?;
    while !new.admin_command("READY").await?.starts_with("done") {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let ready_after = started.elapsed();
    commands.run_maintenance(&new, MAINTENANCE_TIME).await;
    let (peak_memory, old_cpu_time) = (old.peak_memory() + new.peak_memory(), old.cpu_time());
    let (status, old_exited_after) = terminate(&mut old).await;
    commands.send(&new, "ENABLE s-0").await;
    commands.expect(status.is_some_and(|status| status.success()));
    let hot_restart = HotRestart {
        commands,
        peak_memory,
        cpu_time: old_cpu_time,
        ready_after,
        old_exited_after,
    };
    Ok((new, hot_restart))
}

/// The case "upgrade" of the table: a hot restart under load.
async fn measure_hot_restart(options: &ServiceOptions) -> io::Result<Row> {
    let environment = Environment::start(options, "upgrade", BODY_BYTES).await?;
    let old = environment.start_daemon("old")?;
    let clients = options.clients(old.address).run();
    let (outcomes, hot_restart) = tokio::join!(clients, run_hot_restart(&environment, old));
    let (new, hot_restart) = hot_restart?;
    Ok(Row {
        name: "upgrade",
        outcomes,
        commands: hot_restart.commands,
        peak_memory: hot_restart.peak_memory,
        cpu_time: hot_restart.cpu_time + new.cpu_time(),
        note: format!(
            "ready after {} ms, the old one ended {} ms after SIGTERM",
            hot_restart.ready_after.as_millis(),
            hot_restart.old_exited_after.as_millis()
        ),
    })
}

async fn run_drains(daemon: &Daemon, pause: Duration) -> io::Result<AdminCommands> {
    let mut commands = AdminCommands::default();
    let steps = [("DRAIN", "503"), ("UNDRAIN", "200")];
    for (command, expected) in steps.iter().chain(&steps) {
        tokio::time::sleep(pause).await;
        commands.send(daemon, command).await;
        commands.expect(health_status(daemon).await? == *expected);
    }
    Ok(commands)
}

async fn measure_drain(options: &ServiceOptions) -> io::Result<Row> {
    let environment = Environment::start(options, "drain", BODY_BYTES).await?;
    let daemon = environment.start_daemon("drain")?;
    let clients = options.clients(daemon.address).run();
    let (outcomes, commands) = tokio::join!(clients, run_drains(&daemon, options.duration / 6));
    Ok(Row {
        name: "drain",
        outcomes,
        commands: commands?,
        peak_memory: daemon.peak_memory(),
        cpu_time: daemon.cpu_time(),
        note: "drained and back twice".to_string(),
    })
}

/// Measured values of concurrent long responses.
struct LongResponses {
    /// Number of complete responses.
    complete: u64,
    peak_memory: u64,
    /// Time until the last one ended.
    elapsed: Duration,
}

/// Sends a request; returns whether its long response is complete and has status 200.
async fn read_long_response(address: SocketAddr, number: u64) -> io::Result<bool> {
    let mut stream = connect(address, [127, 0, 0, 1].into(), None).await?;
    let head = request(number + 1, number, CLIENT_TIMEOUT, 0);
    stream.write_all(head.as_bytes()).await?;
    let (mut buffer, mut head) = (vec![0; 65_536], Vec::new());
    let mut body_bytes = loop {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(false);
        }
        head.extend_from_slice(&buffer[..length]);
        if let Some(end) = head.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break head.len() - end - 4;
        }
    };
    if !head.starts_with(b"HTTP/1.1 200 ") {
        return Ok(false);
    }
    while body_bytes < LONG_BODY_BYTES {
        match stream.read(&mut buffer).await? {
            0 => return Ok(false),
            length => body_bytes += length,
        }
    }
    Ok(body_bytes == LONG_BODY_BYTES)
}

async fn measure_long_responses(options: &ServiceOptions) -> io::Result<LongResponses> {
    let environment = Environment::start(options, "long", LONG_BODY_BYTES).await?;
    let daemon = environment.start_daemon("long")?;
    let started = Instant::now();
    let mut readers = tokio::task::JoinSet::new();
    for number in 0..LONG_RESPONSES {
        readers.spawn(read_long_response(daemon.address, number));
    }
    let mut complete = 0;
    while let Some(read) = readers.join_next().await {
        complete += u64::from(matches!(read, Ok(Ok(true))));
    }
    Ok(LongResponses {
        complete,
        peak_memory: daemon.peak_memory(),
        elapsed: started.elapsed(),
    })
}

async fn measure(options: ServiceOptions) -> io::Result<Verdict> {
    println!(
        "100 requests/s for {} s, three in ten on new connections, {INSTANCES} endpoints; {} cores",
        options.duration.as_secs(),
        cores()
    );
    print_head(&[
        "case",
        "in 800 ms",
        "served",
        "refused",
        "failed",
        "lost",
        "slowest call ms",
        "wrong calls",
        "peak MB",
        "CPU ms a command",
        "note",
    ]);
    let rows = [
        measure_calm(&options).await?,
        measure_hot_restart(&options).await?,
        measure_drain(&options).await?,
    ];
    rows.iter().for_each(Row::print);
    let long = measure_long_responses(&options).await?;
    println!(
        "long responses: {} of {LONG_RESPONSES} of {} MiB complete after {:.1} s, peak memory {:.1} MB",
        long.complete,
        LONG_BODY_BYTES >> 20,
        long.elapsed.as_secs_f64(),
        megabytes(long.peak_memory)
    );
    Ok(verdict(&rows, &long))
}

fn verdict(rows: &[Row], long: &LongResponses) -> Verdict {
    let lost = |outcomes: &Outcomes| outcomes.lost + outcomes.failed + outcomes.mismatched;
    let lost: u64 = rows.iter().map(|row| lost(&row.outcomes)).sum();
    let failures: u32 = rows.iter().map(|row| row.commands.failures).sum();
    let slowest = rows.iter().map(|row| row.commands.slowest).max();
    let slowest = slowest.unwrap_or_default();
    let peak = rows.iter().map(|row| row.peak_memory).max();
    let peak = peak.unwrap_or(0).max(long.peak_memory);
    Verdict {
        met: lost == 0
            && failures == 0
            && slowest < MAX_COMMAND_TIME
            && long.complete == LONG_RESPONSES
            && peak < (MEMORY_MB as u64) << 20,
        figures: format!(
            "{lost} commands lost or failed, slowest call {:.1} ms of 1,000, {failures} wrong, {} of {LONG_RESPONSES} long \
             answers, peak {:.1} of {MEMORY_MB} MB",
            slowest.as_secs_f64() * 1e3,
            long.complete,
            megabytes(peak)
        ),
    }
}

fn main() -> ExitCode {
    run(&PROGRAM, ServiceOptions::default(), |options| {
        block_on(measure(options))
    })
}
