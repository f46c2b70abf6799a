//! The fakes around the daemons of a case, and the admin commands to the daemons.

use std::io;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use applewall_fakes::daemon::{Daemon, DaemonLauncher, DaemonSettings, InheritedResources};
use applewall_fakes::discovery::{in_service, Discovery};
use applewall_fakes::instance::{Instance, Script};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::{ServiceOptions, INSTANCES, MEMORY_MB};

const SIGTERM: i32 = 15;
/// Time within which a daemon has to exit after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3_700);

/// Fakes around the daemons of one case, and the resources that the daemons inherit.
pub(crate) struct Environment<'a> {
    pub(crate) options: &'a ServiceOptions,
    settings: DaemonSettings,
    inherited: InheritedResources,
    _instances: Vec<Instance>,
    _discovery: Discovery,
}

impl<'a> Environment<'a> {
    pub(crate) async fn start(
        options: &'a ServiceOptions,
        name: &str,
        body_bytes: usize,
    ) -> io::Result<Self> {
        let mut instances = Vec::new();
        for number in 0..INSTANCES {
            let script = Script {
                seed: options.common.seed + number,
                body_bytes,
                ..Script::default()
            };
            instances.push(Instance::start(script).await?);
        }
        let known_targets = in_service(&instances);
        let discovery = Discovery::start(known_targets.clone()).await?;
        let settings = DaemonSettings {
            max_descriptors: 384,
            memory_mb: MEMORY_MB,
            operator_file: None,
            discovery: discovery.address,
            known_targets,
            quota_per_second: 50.0,
        };
        let folder = format!("measure-service-{}-{name}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder)?;
        let inherited = InheritedResources {
            listener: std::net::TcpListener::bind("127.0.0.1:0")?,
            folder,
        };
        Ok(Environment {
            options,
            settings,
            inherited,
            _instances: instances,
            _discovery: discovery,
        })
    }

    pub(crate) fn start_daemon(&self, name: &str) -> io::Result<Daemon> {
        let program = &self.options.common.program;
        DaemonLauncher::new(program, &self.inherited.folder, name, &self.settings)
            .inheriting(&self.inherited)
            .start()
    }
}

impl Drop for Environment<'_> {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.inherited.folder);
    }
}

/// Results of the admin commands that are sent while clients send requests.
#[derive(Default)]
pub(crate) struct AdminCommands {
    /// Longest time until a command was answered.
    pub(crate) slowest: Duration,
    /// Number of commands that did not succeed, and of other expectations that were not met.
    pub(crate) failures: u32,
}

impl AdminCommands {
    pub(crate) async fn send(&mut self, daemon: &Daemon, command: &str) {
        let started = Instant::now();
        let response = daemon.admin_command(command).await;
        if response.is_ok() {
            self.slowest = self.slowest.max(started.elapsed());
        }
        self.expect(response.is_ok_and(|response| response.starts_with("done")));
    }

    pub(crate) fn expect(&mut self, met: bool) {
        self.failures += u32::from(!met);
    }

    /// Puts one endpoint after the other into maintenance and returns it to service, for this time.
    pub(crate) async fn run_maintenance(&mut self, daemon: &Daemon, duration: Duration) {
        let end = Instant::now() + duration;
        for number in 0.. {
            if Instant::now() >= end {
                return;
            }
            let id = format!("s-{}", number % INSTANCES);
            self.send(daemon, &format!("DISABLE {id}")).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            self.send(daemon, &format!("ENABLE {id}")).await;
        }
    }
}

/// Status code of the response to `GET /healthz`.
pub(crate) async fn health_status(daemon: &Daemon) -> io::Result<String> {
    let mut stream = TcpStream::connect(daemon.address).await?;
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response.split(' ').nth(1).unwrap_or_default().to_string())
}

/// Sends SIGTERM and waits for the process to exit. Returns its exit status, or `None` after a timeout, and the time taken.
pub(crate) async fn terminate(daemon: &mut Daemon) -> (Option<ExitStatus>, Duration) {
    daemon.signal(SIGTERM);
    let (started, mut status) = (Instant::now(), None);
    while status.is_none() && started.elapsed() < SHUTDOWN_TIMEOUT {
        // This wait blocks the thread, and clients run on it too, so it is short.
        status = daemon.wait_for_exit(Duration::from_millis(1));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    (status, started.elapsed())
}
