//! The real program with fake peers: limit servers, discovery, and client connections.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use applewall_fakes::clients::{connect, request};
use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::{in_service, Discovery};
use applewall_fakes::http::{self, Kind, Message};
use applewall_fakes::instance::{Instance, Script};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time limit that clients state in their requests.
pub(crate) const TIME_LEFT: Duration = Duration::from_secs(3);

/// Configuration of a daemon, its limit servers and discovery; [`Scenario::start`] starts them.
pub(crate) struct Scenario {
    name: &'static str,
    operator_file: Option<String>,
    scripts: Vec<Script>,
}

impl Scenario {
    /// A daemon with 256 descriptors and 32 MB, and no limit servers; the names of its files begin with `name`.
    pub(crate) fn new(name: &'static str) -> Self {
        Scenario {
            name,
            operator_file: None,
            scripts: Vec::new(),
        }
    }

    /// Sets the text of the operator's file.
    pub(crate) fn operator_file(mut self, text: &str) -> Self {
        self.operator_file = Some(text.to_string());
        self
    }

    /// Adds a limit server with this script, listed by discovery.
    pub(crate) fn instance(mut self, script: Script) -> Self {
        self.scripts.push(script);
        self
    }

    /// Adds so many limit servers with the default script, each with a seed of its own.
    pub(crate) fn instances(self, count: u64) -> Self {
        (0..count).fold(self, |scenario, seed| {
            scenario.instance(Script {
                seed,
                ..Script::default()
            })
        })
    }

    /// Starts the limit servers, discovery and the daemon.
    pub(crate) async fn start(self) -> Environment {
        let mut instances = Vec::new();
        for script in self.scripts {
            instances.push(Instance::start(script).await.expect("a limit server"));
        }
        let known = in_service(&instances);
        let discovery = Discovery::start(known.clone()).await.expect("discovery");
        let settings = DaemonSettings {
            operator_file: self.operator_file,
            ..small_daemon(discovery.address, known)
        };
        Environment {
            daemon: start_daemon(self.name, &settings),
            instances,
            discovery,
        }
    }
}

/// Settings of a daemon with 256 descriptors, 32 MB, and a quota of 1,000 units per second for each customer.
pub(crate) fn small_daemon(discovery: SocketAddr, known_targets: Vec<Value>) -> DaemonSettings {
    DaemonSettings {
        max_descriptors: 256,
        memory_mb: 32,
        operator_file: None,
        discovery,
        known_targets,
        quota_per_second: 1_000.0,
    }
}

/// Starts the program under test; the names of its files begin with `name`.
pub(crate) fn start_daemon(name: &str, settings: &DaemonSettings) -> Daemon {
    let program = Path::new(env!("CARGO_BIN_EXE_applewall"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    Daemon::start(program, folder, name, settings).expect("the daemon starts")
}

/// A running daemon, its limit servers and discovery.
pub(crate) struct Environment {
    pub(crate) daemon: Daemon,
    /// The limit servers, in the order of the scenario.
    pub(crate) instances: Vec<Instance>,
    pub(crate) discovery: Discovery,
}

pub(crate) async fn connect_to(daemon: &Daemon) -> TcpStream {
    let stream = connect(daemon.address, [127, 0, 0, 1].into(), None).await;
    stream.expect("a connection")
}

/// Writes the head of a request; a body of `body_bytes` has to follow.
pub(crate) async fn send_request(
    stream: &mut TcpStream,
    id: u64,
    customer: u64,
    body_bytes: usize,
) {
    let head = request(id, customer, TIME_LEFT, body_bytes);
    stream
        .write_all(head.as_bytes())
        .await
        .expect("a request is written");
}

pub(crate) async fn read_response(stream: &mut TcpStream) -> Message {
    let response = http::read(stream, &mut Vec::new(), Kind::Response).await;
    response
        .expect("a response is read")
        .expect("a response comes before the end")
}
