//! Measures the effect of slow clients and slow endpoints on healthy clients, against the real daemon on loopback.
//!
//! Prints a table with the fraction of the healthy clients' requests that are served within 800 ms: without slow peers, with
//! slow readers, with endpoints that send slowly, and with both; at 1,024 and at 256 file descriptors. Exit status 0 only if
//! each row is at most 2 percentage points below the calm case (without slow peers) of the same run, no response went to the
//! wrong request, no row had more open descriptors than its limit, and the peak memory at 256 descriptors is below its limit.

use std::io;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use applewall_fakes::clients::{Outcomes, SlowClientCounts, SlowClients};
use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::{in_service, Discovery};
use applewall_fakes::instance::{Exception, Instance, ResponseBehavior, Script};
use applewall_fakes::measurement::{
    block_on, cores, cpu_ms_per_request, healthy_clients, megabytes, print_head, print_row, run,
    seconds, CommonOptions, Options, Program, Verdict,
};
use lexopt::{Parser, ValueExt as _};

const PROGRAM: Program = Program::with_fakes(
    "measure-slow-peers",
    "measure-slow-peers [--program FILE] [--seconds N] [--runs N] [--seed N] [--case PART] [--operator FILE] [--off]",
);
/// Goal: maximum difference of the fraction served in time from the calm case.
const MAX_LOSS: f64 = 0.02;
/// Goal: the peak memory at [`FEW_DESCRIPTORS`] is below this.
const MEMORY_LIMIT: u64 = 32 << 20;
const MANY_DESCRIPTORS: usize = 1_024;
const FEW_DESCRIPTORS: usize = 256;
const INSTANCES: u64 = 9;
const BODY_BYTES: usize = 60_000;

struct SlowPeerOptions {
    common: CommonOptions,
    duration: Duration,
    runs: u64,
    /// Text of the operator's INI file; `None` measures without slow-peer protection.
    operator_file: Option<String>,
    /// Only cases whose name contains this text are run.
    case_filter: String,
}

impl Default for SlowPeerOptions {
    fn default() -> Self {
        SlowPeerOptions {
            common: CommonOptions::default(),
            duration: Duration::from_secs(10),
            runs: 1,
            operator_file: Some("[pace]\nenabled = on\n[bulkheads]\nenabled = on\n".into()),
            case_filter: String::new(),
        }
    }
}

impl Options for SlowPeerOptions {
    fn set(&mut self, name: &str, parser: &mut Parser) -> Result<bool, lexopt::Error> {
        match name {
            "seconds" => self.duration = seconds(parser)?,
            "runs" => self.runs = parser.value()?.parse()?,
            "case" => self.case_filter = parser.value()?.string()?,
            "operator" => {
                let file = parser.value()?.string()?;
                self.operator_file = std::fs::read_to_string(file).ok();
            }
            // Without slow-peer protection, for comparison.
            "off" => self.operator_file = None,
            _ => return self.common.set(name, parser),
        }
        Ok(true)
    }
}

/// Endpoints that send slowly.
struct SlowInstances {
    /// One response in this many is sent slowly.
    one_in: u32,
    /// Number of these endpoints.
    count: u64,
}

/// One row of the table.
struct Case {
    name: &'static str,
    slow_readers: usize,
    slow_instances: Option<SlowInstances>,
}

const ONE_RESPONSE_IN_TEN: SlowInstances = SlowInstances {
    one_in: 10,
    count: INSTANCES,
};

const CASES: [Case; 6] = [
    Case {
        name: "calm",
        slow_readers: 0,
        slow_instances: None,
    },
    Case {
        name: "100 slow readers",
        slow_readers: 100,
        slow_instances: None,
    },
    Case {
        name: "300 slow readers",
        slow_readers: 300,
        slow_instances: None,
    },
    Case {
        name: "one instance trickles",
        slow_readers: 0,
        slow_instances: Some(SlowInstances {
            one_in: 1,
            count: 1,
        }),
    },
    Case {
        name: "one answer in ten trickles",
        slow_readers: 0,
        slow_instances: Some(ONE_RESPONSE_IN_TEN),
    },
    Case {
        name: "both: 300, one in ten",
        slow_readers: 300,
        slow_instances: Some(ONE_RESPONSE_IN_TEN),
    },
];

impl Case {
    fn is_calm(&self) -> bool {
        self.slow_readers == 0 && self.slow_instances.is_none()
    }

    /// Responses that endpoint `number` sends slowly, if any.
    fn exception(&self, number: u64) -> Option<Exception> {
        let slow = self.slow_instances.as_ref()?;
        (number < slow.count).then_some(Exception {
            one_in: slow.one_in,
            behavior: ResponseBehavior::BodyByteByByte,
        })
    }

    async fn start_instances(&self, seed: u64) -> io::Result<Vec<Instance>> {
        let mut instances = Vec::new();
        for number in 0..INSTANCES {
            let script = Script {
                seed: seed + number,
                body_bytes: BODY_BYTES,
                exception: self.exception(number),
                ..Script::default()
            };
            instances.push(Instance::start(script).await?);
        }
        Ok(instances)
    }

    fn slow_clients(&self, daemon: &Daemon, duration: Duration) -> SlowClients {
        SlowClients {
            address: daemon.address,
            count: self.slow_readers,
            arrival_window: Duration::from_millis(50),
            byte_interval: Some(Duration::from_millis(100)),
            reconnect_delay: Duration::from_millis(500),
            duration,
            receive_buffer_bytes: 4_096,
            upload_bytes: 0,
        }
    }
}

/// Measured values of a case.
struct Row {
    outcomes: Outcomes,
    peak_memory: u64,
    cpu_time: Duration,
    open_descriptors: usize,
    slow_clients_closed: u64,
    log: Vec<String>,
}

async fn run_case(
    options: &SlowPeerOptions,
    case: &Case,
    max_descriptors: usize,
    seed: u64,
) -> io::Result<Row> {
    let instances = case.start_instances(seed).await?;
    let known_targets = in_service(&instances);
    let discovery = Discovery::start(known_targets.clone()).await?;
    let settings = DaemonSettings {
        max_descriptors,
        memory_mb: if max_descriptors < MANY_DESCRIPTORS {
            32
        } else {
            192
        },
        operator_file: options.operator_file.clone(),
        discovery: discovery.address,
        known_targets,
        quota_per_second: 50.0,
    };
    let name = format!("measure-{}-{max_descriptors}-{seed}", std::process::id());
    let program = &options.common.program;
    let daemon = Daemon::start(program, &std::env::temp_dir(), &name, &settings)?;
    let mut healthy = healthy_clients(daemon.address, 100.0, options.duration, seed);
    healthy.new_connection_fraction = 0.5;
    let slow = case.slow_clients(&daemon, options.duration);
    let counts = Arc::new(SlowClientCounts::default());
    // Counted near the end of the case, while the slow clients are connected.
    let open_descriptors = async {
        tokio::time::sleep(options.duration.mul_f64(0.9)).await;
        daemon.descriptors()
    };
    let (outcomes, (), open_descriptors) =
        tokio::join!(healthy.run(), slow.run(counts.clone()), open_descriptors);
    Ok(Row {
        outcomes,
        peak_memory: daemon.peak_memory(),
        cpu_time: daemon.cpu_time(),
        open_descriptors,
        slow_clients_closed: counts.closed_by_daemon.load(Ordering::Relaxed),
        log: daemon.log(),
    })
}

fn print_case(max_descriptors: usize, case: &Case, row: &Row, loss: f64) {
    let outcomes = &row.outcomes;
    let latency_ms = |quantile| outcomes.latency.value_at_quantile(quantile) as f64 / 1e3;
    print_row(&[
        max_descriptors.to_string(),
        case.name.to_string(),
        format!("{:.3}", outcomes.in_time_fraction()),
        format!("{loss:+.3}"),
        outcomes.served.to_string(),
        outcomes.rejected.to_string(),
        outcomes.failed.to_string(),
        outcomes.lost.to_string(),
        format!("{:.1}", latency_ms(0.5)),
        format!("{:.1}", latency_ms(0.99)),
        row.slow_clients_closed.to_string(),
        format!("{:.1}", megabytes(row.peak_memory)),
        format!("{:.3}", cpu_ms_per_request(row.cpu_time, outcomes.sent)),
        row.open_descriptors.to_string(),
    ]);
    if std::env::var_os("LOGS").is_some() {
        for line in &row.log {
            println!("    {line}");
        }
    }
}

/// Values over all rows, for the verdict.
struct Totals {
    worst_loss: f64,
    worst_case: String,
    met: bool,
    peak_memory: u64,
}

impl Totals {
    fn add(&mut self, max_descriptors: usize, case: &Case, row: &Row, loss: f64) {
        if loss > self.worst_loss {
            self.worst_loss = loss;
            self.worst_case = format!("{} at {max_descriptors} descriptors", case.name);
        }
        if max_descriptors == FEW_DESCRIPTORS {
            self.peak_memory = self.peak_memory.max(row.peak_memory);
        }
        self.met &= loss <= MAX_LOSS
            && row.outcomes.mismatched == 0
            && row.open_descriptors <= max_descriptors;
    }
}

/// Runs and prints all selected cases at one limit of descriptors.
async fn run_cases(
    options: &SlowPeerOptions,
    max_descriptors: usize,
    seed: u64,
    totals: &mut Totals,
) -> io::Result<()> {
    let mut calm_fraction = 0.0;
    let selected = |case: &&Case| case.name.contains(&options.case_filter);
    for case in CASES.iter().filter(selected) {
        let row = run_case(options, case, max_descriptors, seed).await?;
        let fraction = row.outcomes.in_time_fraction();
        if case.is_calm() {
            calm_fraction = fraction;
        }
        let loss = calm_fraction - fraction;
        print_case(max_descriptors, case, &row, loss);
        totals.add(max_descriptors, case, &row, loss);
    }
    Ok(())
}

async fn measure(options: SlowPeerOptions) -> io::Result<Verdict> {
    println!(
        "healthy clients: 100 requests/s for {} s, half on new connections; responses of {BODY_BYTES} bytes from \
         {INSTANCES} endpoints; slow readers: one byte every 100 ms, reconnect 500 ms after a disconnect; {} cores",
        options.duration.as_secs(),
        cores()
    );
    print_head(&[
        "descriptors",
        "case",
        "in 800 ms",
        "under calm",
        "served",
        "refused",
        "failed",
        "lost",
        "p50 ms",
        "p99 ms",
        "slow ended",
        "peak MB",
        "CPU ms a command",
        "held",
    ]);
    let mut totals = Totals {
        worst_loss: 0.0,
        worst_case: "nowhere".to_string(),
        met: true,
        peak_memory: 0,
    };
    for run in 0..options.runs {
        let seed = options.common.seed + 100 * run;
        for max_descriptors in [MANY_DESCRIPTORS, FEW_DESCRIPTORS] {
            run_cases(&options, max_descriptors, seed, &mut totals).await?;
        }
    }
    Ok(Verdict {
        met: totals.met && totals.peak_memory < MEMORY_LIMIT,
        figures: format!(
            "most under calm {:.3} ({}), {MAX_LOSS} allowed; peak {:.1} of 32 MB at 256 descriptors",
            totals.worst_loss,
            totals.worst_case,
            megabytes(totals.peak_memory)
        ),
    })
}

fn main() -> ExitCode {
    run(&PROGRAM, SlowPeerOptions::default(), |options| {
        block_on(measure(options))
    })
}
