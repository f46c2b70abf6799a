//! One node of the real program: its consecutive processes, which inherit the same listener and folder, with fake endpoints
//! and discovery.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::Ordering;

use applewall_fakes::clients::{connect, request};
use applewall_fakes::daemon::{Daemon, DaemonLauncher, InheritedResources, ServiceClass};
use applewall_fakes::discovery::{in_service, Discovery};
use applewall_fakes::instance::{Instance, Script};
use applewall_fakes::wait::wait_until;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::daemon::small_daemon;

/// Endpoints, discovery, and what the consecutive processes of a node inherit.
pub(crate) struct Node {
    pub(crate) folder: TempDir,
    inherited: InheritedResources,
    service_class: ServiceClass,
    /// The endpoints; their ids are `s-0`, `s-1` and so on.
    pub(crate) instances: Vec<Instance>,
    discovery: Discovery,
}

impl Node {
    /// A node without a process, with so many endpoints that have the same script.
    pub(crate) async fn new(
        service_class: ServiceClass,
        script: Script,
        instance_count: u64,
    ) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let inherited = InheritedResources {
            listener: TcpListener::bind("127.0.0.1:0").expect("a listener"),
            folder: folder.path().to_path_buf(),
        };
        let mut instances = Vec::new();
        for seed in 0..instance_count {
            let script = Script {
                seed,
                ..script.clone()
            };
            instances.push(Instance::start(script).await.expect("an endpoint"));
        }
        let discovery = Discovery::start(in_service(&instances)).await;
        Node {
            folder,
            inherited,
            service_class,
            instances,
            discovery: discovery.expect("discovery"),
        }
    }

    /// Starts a process; blocks until it listens.
    pub(crate) fn start(&self) -> Daemon {
        let settings = small_daemon(self.discovery.address, in_service(&self.instances));
        let program = Path::new(env!("CARGO_BIN_EXE_applewall"));
        DaemonLauncher::new(program, self.folder.path(), "node", &settings)
            .inheriting(&self.inherited)
            .service_class(self.service_class)
            .start()
            .expect("started")
    }

    /// Starts a process that takes over from `old`.
    pub(crate) async fn upgrade(&self, old: &Daemon) -> Daemon {
        let new = self.start();
        wait_for_log(old, "new process has taken over").await;
        new
    }

    /// Number of requests that have arrived at an endpoint.
    pub(crate) fn requests_at(&self, instance: usize) -> u64 {
        let recorded = &self.instances[instance].recorded;
        recorded.requests.load(Ordering::Relaxed)
    }

    /// Number of requests that have arrived at all endpoints.
    pub(crate) fn requests(&self) -> u64 {
        (0..self.instances.len())
            .map(|instance| self.requests_at(instance))
            .sum()
    }

    /// Sends a request on a new connection and waits until it has reached an endpoint.
    pub(crate) async fn request(&self, daemon: &Daemon, id: u64) -> TcpStream {
        let before = self.requests();
        let mut client = connect(daemon.address, [127, 0, 0, 1].into(), None)
            .await
            .expect("a connection");
        let text = request(id, id, self.service_class.deadline, 0);
        client.write_all(text.as_bytes()).await.expect("written");
        wait_until("the request has reached an endpoint", || {
            self.requests() > before
        })
        .await;
        client
    }
}

/// Waits until the process has logged a line that contains `text`.
pub(crate) async fn wait_for_log(daemon: &Daemon, text: &str) {
    wait_until(text, || daemon.log().iter().any(|line| line.contains(text))).await;
}

/// Sends an admin command and reads its response.
pub(crate) async fn admin_command(daemon: &Daemon, command: &str) -> String {
    daemon.admin_command(command).await.expect("answered")
}
