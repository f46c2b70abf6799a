//! Measures how soon an endpoint gets no more requests after its drain is written into a registry, under network faults and
//! compactions.
//!
//! A real daemon watches a fake etcd cluster through proxies to its members, while clients send requests. In each round a
//! fault is injected, a drain of one endpoint is written, and the time of the last request that this endpoint gets after the
//! write is recorded. Exit status 0 only if no request came later than 500 ms in any round, no request was lost and no
//! response went to the wrong request.

use std::io;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::Discovery;
use applewall_fakes::etcd::EtcdServer;
use applewall_fakes::instance::{Instance, Script};
use applewall_fakes::measurement::{
    block_on, healthy_clients, print_head, print_row, run, CommonOptions, Options, Program, Verdict,
};
use applewall_fakes::tcp_proxy::TcpProxy;
use lexopt::{Parser, ValueExt as _};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const PROGRAM: Program = Program::with_fakes(
    "measure-registry",
    "measure-registry [--program FILE] [--rounds N] [--seed N]",
);
/// Maximum time between the write and the last request, set by the platform.
const DRAIN_LIMIT: Duration = Duration::from_millis(500);
/// Time after a write for which requests are observed.
const OBSERVATION_TIME: Duration = Duration::from_millis(900);
/// Time for which members refuse connections in [`Disturbance::Down`].
const DOWN_TIME: Duration = Duration::from_millis(150);
/// Time for which clients send in each round: pause, observation and a margin.
const ROUND_TIME: Duration = Duration::from_millis(1_600);
/// Time within which the daemon has to open its first watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
const REQUESTS_PER_SECOND: f64 = 200.0;
const INSTANCES: usize = 6;
const MEMBERS: usize = 3;

/// Fault that is injected right before the write. The table prints the names of the variants.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Disturbance {
    None,
    /// All connections are closed.
    Cut,
    /// The proxies in use stop forwarding; their connections stay open.
    Silent,
    /// All connections are closed, and the history is compacted up to the write.
    Compacted,
    /// All connections are closed, and members refuse new ones for a while.
    Down,
}

const DISTURBANCES: [Disturbance; 5] = [
    Disturbance::None,
    Disturbance::Cut,
    Disturbance::Silent,
    Disturbance::Compacted,
    Disturbance::Down,
];

struct RegistryOptions {
    common: CommonOptions,
    rounds: usize,
}

impl Default for RegistryOptions {
    fn default() -> Self {
        RegistryOptions {
            common: CommonOptions::default(),
            rounds: 20,
        }
    }
}

impl Options for RegistryOptions {
    fn set(&mut self, name: &str, parser: &mut Parser) -> Result<bool, lexopt::Error> {
        match name {
            "rounds" => self.rounds = parser.value()?.parse()?,
            _ => return self.common.set(name, parser),
        }
        Ok(true)
    }
}

/// A daemon that watches a registry, the registry, and the endpoints in it.
struct Environment {
    registry: EtcdServer,
    proxies: Vec<TcpProxy>,
    instances: Vec<Instance>,
    daemon: Daemon,
    /// Serves an empty list, so that the daemon knows endpoints from the registry only.
    _discovery: Discovery,
}

fn member_key(number: usize) -> String {
    format!("/applewall/members/s-{number}")
}

fn member_record(instance: &Instance, state: &str) -> String {
    format!(
        r#"{{"endpoint":"{}","az":"a","pod_group":0,"state":"{state}"}}"#,
        instance.address
    )
}

impl Environment {
    async fn start(options: &RegistryOptions) -> io::Result<Self> {
        let registry = EtcdServer::new(7, 4);
        let mut instances = Vec::new();
        for number in 0..INSTANCES {
            let script = Script {
                seed: number as u64,
                processing_time: Duration::from_millis(2)..=Duration::from_millis(6),
                ..Script::default()
            };
            let instance = Instance::start(script).await?;
            registry.put(&member_key(number), &member_record(&instance, "in_service"));
            instances.push(instance);
        }
        let mut proxies = Vec::new();
        for _ in 0..MEMBERS {
            proxies.push(TcpProxy::start(registry.listen().await?).await?);
        }
        let discovery = Discovery::start(Vec::new()).await?;
        let members: Vec<String> = proxies
            .iter()
            .map(|proxy| proxy.address.to_string())
            .collect();
        let settings = DaemonSettings {
            max_descriptors: 256,
            memory_mb: 32,
            operator_file: Some(format!(
                "[registry]\nenabled = on\nendpoints = {}\nallowed = 127.0.0.0/8\n",
                members.join(", ")
            )),
            discovery: discovery.address,
            known_targets: Vec::new(),
            quota_per_second: 200.0,
        };
        let name = format!("measure-registry-{}", std::process::id());
        let program = &options.common.program;
        let daemon = Daemon::start(program, &std::env::temp_dir(), &name, &settings)?;
        let environment = Environment {
            registry,
            proxies,
            instances,
            daemon,
            _discovery: discovery,
        };
        environment.wait_for_watch().await?;
        Ok(environment)
    }

    async fn wait_for_watch(&self) -> io::Result<()> {
        let started = Instant::now();
        while self.registry.calls.watches.load(Ordering::Relaxed) == 0 {
            if started.elapsed() > WATCH_TIMEOUT {
                return Err(io::Error::other(format!(
                    "the daemon opened no watch of the registry within {} s",
                    WATCH_TIMEOUT.as_secs()
                )));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // The first watch may end at once; after this pause the daemon has opened a lasting one.
        tokio::time::sleep(Duration::from_millis(300)).await;
        Ok(())
    }

    fn inject(&self, disturbance: Disturbance) {
        for proxy in &self.proxies {
            match disturbance {
                Disturbance::None => {}
                Disturbance::Silent => {
                    if proxy.connections.open() > 0 {
                        proxy.set_silent(true);
                    }
                }
                Disturbance::Cut | Disturbance::Compacted => proxy.disconnect(),
                Disturbance::Down => {
                    proxy.set_refusing(true);
                    proxy.disconnect();
                }
            }
        }
    }

    /// Runs one round; returns the time from the write to the last request that the drained endpoint got.
    async fn measure_drain(&self, number: usize, disturbance: Disturbance) -> Duration {
        self.inject(disturbance);
        let instance = &self.instances[number];
        let revision = self
            .registry
            .put(&member_key(number), &member_record(instance, "terminating"));
        let written = Instant::now();
        if disturbance == Disturbance::Compacted {
            self.registry.compact(revision);
        }
        let down_time = match disturbance {
            Disturbance::Down => DOWN_TIME,
            _ => Duration::ZERO,
        };
        let requests = || instance.recorded.requests.load(Ordering::Relaxed);
        let (mut last, mut count) = (Duration::ZERO, requests());
        while written.elapsed() < OBSERVATION_TIME {
            tokio::time::sleep(Duration::from_millis(1)).await;
            if written.elapsed() >= down_time {
                for proxy in &self.proxies {
                    proxy.set_refusing(false);
                }
            }
            if requests() > count {
                (count, last) = (requests(), written.elapsed());
            }
        }
        for proxy in &self.proxies {
            proxy.set_silent(false);
        }
        self.registry
            .put(&member_key(number), &member_record(instance, "in_service"));
        last
    }

    /// Runs all rounds of a disturbance and prints their row of the table. Returns the sorted times of
    /// [`Environment::measure_drain`].
    async fn run_rounds(
        &self,
        disturbance: Disturbance,
        rounds: usize,
        rng: &mut SmallRng,
    ) -> Vec<Duration> {
        let calls = &self.registry.calls;
        let counts = || {
            let ranges = calls.ranges.load(Ordering::Relaxed);
            (ranges, calls.watches.load(Ordering::Relaxed))
        };
        let (ranges, watches) = counts();
        let mut times = Vec::new();
        for _ in 0..rounds {
            let number = rng.random_range(0..INSTANCES);
            tokio::time::sleep(Duration::from_millis(rng.random_range(100..300))).await;
            times.push(self.measure_drain(number, disturbance).await);
        }
        times.sort();
        let (ranges_now, watches_now) = counts();
        print_row(&[
            format!("{disturbance:?}"),
            times.len().to_string(),
            times[times.len() / 2].as_millis().to_string(),
            times.last().map_or(0, Duration::as_millis).to_string(),
            (ranges_now - ranges).to_string(),
            (watches_now - watches).to_string(),
        ]);
        times
    }
}

async fn measure(options: RegistryOptions) -> io::Result<Verdict> {
    let environment = Environment::start(&options).await?;
    let started = Instant::now();
    let rounds = options.rounds * DISTURBANCES.len();
    let seed = options.common.seed;
    let address = environment.daemon.address;
    let clients = healthy_clients(
        address,
        REQUESTS_PER_SECOND,
        ROUND_TIME * rounds as u32,
        seed,
    );
    let clients = tokio::spawn(clients.run());
    let mut rng = SmallRng::seed_from_u64(seed);
    print_head(&[
        "trouble",
        "rounds",
        "last request after the write, median ms",
        "most ms",
        "full reads",
        "watches",
    ]);
    let mut times = Vec::new();
    for disturbance in DISTURBANCES {
        times.extend(
            environment
                .run_rounds(disturbance, options.rounds, &mut rng)
                .await,
        );
    }
    let progress = environment.registry.calls.progress.load(Ordering::Relaxed) as f64;
    let progress_per_second = progress / started.elapsed().as_secs_f64();
    let outcomes = clients.await.map_err(io::Error::other)?;
    println!(
        "requests: {} sent, {} served, {} rejected, {} failed, {} lost; {progress_per_second:.1} progress requests/s from one \
         ingress",
        outcomes.sent, outcomes.served, outcomes.rejected, outcomes.failed, outcomes.lost
    );
    let late = times.iter().filter(|time| **time > DRAIN_LIMIT).count();
    let worst = times.iter().max().copied().unwrap_or_default();
    Ok(Verdict {
        met: late == 0 && outcomes.lost == 0 && outcomes.mismatched == 0,
        figures: format!(
            "last request {} ms after a drain was written at most, in {rounds} rounds; {} ms allowed; {late} later",
            worst.as_millis(),
            DRAIN_LIMIT.as_millis()
        ),
    })
}

fn main() -> ExitCode {
    run(&PROGRAM, RegistryOptions::default(), |options| {
        block_on(measure(options))
    })
}
