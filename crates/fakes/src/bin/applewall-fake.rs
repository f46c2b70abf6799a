//! Runs a single fake for manual tests of the daemon, for the time set by `--seconds` (600 by default). Servers print their
//! address.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use applewall_fakes::clients::{SlowClientCounts, SlowClients};
use applewall_fakes::consul::ConsulAgent;
use applewall_fakes::discovery::{target, Discovery};
use applewall_fakes::etcd::EtcdServer;
use applewall_fakes::instance::{Exception, Instance, ResponseBehavior, Script};
use lexopt::{Arg, ValueExt as _};

const USAGE: &str =
    "usage: applewall-fake instance [--body N] [--odd ONE_IN] [--manner NAME] | discovery ADDRESS... \
    | etcd KEY=VALUE... | consul KEY=VALUE... | slow-readers ADDRESS [--many N] [--seconds N]
NAME of --manner: trickle, trickle-body, head-only, all-but-one, burst, chunks";

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    #[error("unknown value '{0}' of --manner")]
    UnknownBehavior(String),
    #[error("'{0}' does not have the form KEY=VALUE")]
    InvalidPair(String),
    #[error("'{0}' is not a socket address (IP:PORT)")]
    InvalidAddress(String),
    #[error("slow readers connect to loopback addresses only")]
    NotLoopback,
    #[error("{USAGE}")]
    Usage,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The command line.
struct Arguments {
    /// Kind of fake to run.
    kind: String,
    positional: Vec<String>,
    body_bytes: usize,
    /// One response in this many is sent with `behavior`; `None` or 0: none.
    one_in: Option<u32>,
    behavior: ResponseBehavior,
    count: usize,
    duration: Duration,
}

fn parse_behavior(name: &str) -> Result<ResponseBehavior, Error> {
    Ok(match name {
        "trickle" => ResponseBehavior::ByteByByte,
        "trickle-body" => ResponseBehavior::BodyByteByByte,
        "head-only" => ResponseBehavior::HeadOnly,
        "all-but-one" => ResponseBehavior::AllButLastByte,
        "burst" => ResponseBehavior::PauseInBody(Duration::from_millis(300)),
        "chunks" => ResponseBehavior::ChunkPerByte,
        other => return Err(Error::UnknownBehavior(other.to_string())),
    })
}

fn parse_arguments() -> Result<Arguments, Error> {
    let mut arguments = Arguments {
        kind: String::new(),
        positional: Vec::new(),
        body_bytes: 64,
        one_in: None,
        behavior: ResponseBehavior::BodyByteByByte,
        count: 100,
        duration: Duration::from_secs(600),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("body") => arguments.body_bytes = parser.value()?.parse()?,
            Arg::Long("odd") => arguments.one_in = Some(parser.value()?.parse()?),
            Arg::Long("manner") => arguments.behavior = parse_behavior(&parser.value()?.string()?)?,
            Arg::Long("many") => arguments.count = parser.value()?.parse()?,
            Arg::Long("seconds") => {
                arguments.duration = Duration::from_secs(parser.value()?.parse()?);
            }
            Arg::Value(kind) if arguments.kind.is_empty() => arguments.kind = kind.string()?,
            Arg::Value(value) => arguments.positional.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

impl Arguments {
    /// The positional arguments as pairs of key and value.
    fn pairs(&self) -> Result<Vec<(&str, &str)>, Error> {
        let invalid = |text: &String| Error::InvalidPair(text.clone());
        self.positional
            .iter()
            .map(|text| text.split_once('=').ok_or_else(|| invalid(text)))
            .collect()
    }

    async fn run_instance(&self) -> Result<(), Error> {
        let one_in = self.one_in.filter(|one_in| *one_in > 0);
        let behavior = self.behavior;
        let instance = Instance::start(Script {
            body_bytes: self.body_bytes,
            exception: one_in.map(|one_in| Exception { one_in, behavior }),
            ..Script::default()
        })
        .await?;
        println!("endpoint listening on {}", instance.address);
        tokio::time::sleep(self.duration).await;
        let requests = instance.recorded.requests.load(Ordering::Relaxed);
        println!("requests received: {requests}");
        Ok(())
    }

    async fn run_discovery(&self) -> Result<(), Error> {
        let entry = |(number, text): (usize, &String)| {
            let address: Result<SocketAddr, _> = text.parse();
            let address = address.map_err(|_| Error::InvalidAddress(text.clone()))?;
            Ok(target(&format!("s-{number}"), address, "in_service"))
        };
        let targets = self.positional.iter().enumerate().map(entry);
        let targets = targets.collect::<Result<_, Error>>()?;
        let discovery = Discovery::start(targets).await?;
        println!("discovery listening on {}", discovery.address);
        tokio::time::sleep(self.duration).await;
        Ok(())
    }

    async fn run_etcd(&self) -> Result<(), Error> {
        let server = EtcdServer::new(1, 0);
        for (key, value) in self.pairs()? {
            server.put(key, value);
        }
        println!("etcd listening on {}", server.listen().await?);
        tokio::time::sleep(self.duration).await;
        println!(
            "range calls: {}",
            server.calls.ranges.load(Ordering::Relaxed)
        );
        Ok(())
    }

    async fn run_consul(&self) -> Result<(), Error> {
        let agent = ConsulAgent::start().await?;
        for (key, value) in self.pairs()? {
            agent.put(key, Some(value));
        }
        println!("consul listening on {}", agent.address);
        tokio::time::sleep(self.duration).await;
        Ok(())
    }

    async fn run_slow_readers(&self) -> Result<(), Error> {
        let address = self.positional.first().and_then(|text| text.parse().ok());
        let address: SocketAddr = address.ok_or(Error::Usage)?;
        if !address.ip().is_loopback() {
            return Err(Error::NotLoopback);
        }
        let counts = Arc::new(SlowClientCounts::default());
        let clients = SlowClients {
            address,
            count: self.count,
            arrival_window: Duration::from_millis(50),
            byte_interval: Some(Duration::from_millis(100)),
            reconnect_delay: Duration::from_millis(500),
            duration: self.duration,
            receive_buffer_bytes: 4_096,
            upload_bytes: 0,
        };
        clients.run(counts.clone()).await;
        let closed = counts.closed_by_daemon.load(Ordering::Relaxed);
        println!("connections closed by the daemon: {closed}");
        Ok(())
    }

    async fn run(&self) -> Result<(), Error> {
        match self.kind.as_str() {
            "instance" => self.run_instance().await,
            "discovery" => self.run_discovery().await,
            "etcd" => self.run_etcd().await,
            "consul" => self.run_consul().await,
            "slow-readers" => self.run_slow_readers().await,
            _ => Err(Error::Usage),
        }
    }
}

fn main() -> ExitCode {
    let result = parse_arguments().and_then(|arguments| {
        let runtime = tokio::runtime::Runtime::new()?;
        runtime.block_on(arguments.run())
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("applewall-fake: {error}");
            ExitCode::FAILURE
        }
    }
}
