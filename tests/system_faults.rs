//! The real program during faults that Linux documents: a wall clock that is stepped, a folder that cannot be written for a
//! while, system calls that fail. A preloaded library (`applewall-fault-shim`) injects them.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::Duration;

use applewall_fakes::clients::{connect, request};
use applewall_fakes::daemon::{Daemon, DaemonLauncher, DaemonSettings, InheritedResources};
use applewall_fakes::discovery::{in_service, Discovery};
use applewall_fakes::http::{self, Kind};
use applewall_fakes::instance::{Instance, Script};
use applewall_fakes::wait::wait_until;
use applewall_fault_shim::{ControlFile, Fault, CONTROL_VARIABLE, LIBRARY_NAME};
use serde_json::{json, Value};
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;

const TIME_LEFT: Duration = Duration::from_secs(3);
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// Endpoints, discovery, and what the consecutive processes of one node inherit.
struct Environment {
    folder: TempDir,
    control: ControlFile,
    inherited: InheritedResources,
    instances: Vec<Instance>,
    discovery: Discovery,
}

impl Environment {
    async fn new(instance_count: u64) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let control = ControlFile::create(&folder.path().join("faults")).expect("a file");
        let mut instances = Vec::new();
        for seed in 0..instance_count {
            let script = Script {
                seed,
                processing_time: Duration::from_millis(2)..=Duration::from_millis(4),
                ..Script::default()
            };
            instances.push(Instance::start(script).await.expect("an endpoint"));
        }
        let discovery = Discovery::start(in_service(&instances))
            .await
            .expect("discovery");
        let inherited = InheritedResources {
            listener: TcpListener::bind("127.0.0.1:0").expect("a listener"),
            folder: folder.path().to_path_buf(),
        };
        Environment {
            folder,
            control,
            inherited,
            instances,
            discovery,
        }
    }

    /// Starts a daemon with an admin address that inherits the listener and the folder.
    fn start_daemon(&self, known_targets: Vec<Value>) -> Daemon {
        self.start(known_targets, Some(&self.inherited))
    }

    fn start(&self, known_targets: Vec<Value>, inherited: Option<&InheritedResources>) -> Daemon {
        let settings = DaemonSettings {
            max_descriptors: 512,
            memory_mb: 64,
            operator_file: None,
            discovery: self.discovery.address,
            known_targets,
            quota_per_second: 1e6,
        };
        let program = Path::new(env!("CARGO_BIN_EXE_applewall"));
        let mut launcher = DaemonLauncher::new(program, self.folder.path(), "node", &settings)
            .variable("LD_PRELOAD", library())
            .variable(CONTROL_VARIABLE, self.folder.path().join("faults"));
        if let Some(inherited) = inherited {
            launcher = launcher.inheriting(inherited);
        }
        launcher.start().expect("started")
    }

    /// Ends a fault after a time, in another thread.
    fn end_fault_after(&self, time: Duration, fault: Fault) -> std::thread::JoinHandle<()> {
        let control = ControlFile::create(&self.folder.path().join("faults")).expect("a file");
        std::thread::spawn(move || {
            std::thread::sleep(time);
            control.set(fault, 0);
        })
    }

    fn requests_at(&self, instance: usize) -> u64 {
        let recorded = &self.instances[instance].recorded;
        recorded.requests.load(Ordering::Relaxed)
    }
}

/// The path of the preloaded library, which cargo builds beside the tests.
fn library() -> PathBuf {
    let test = std::env::current_exe().expect("this test's path");
    let library = test.with_file_name(LIBRARY_NAME);
    assert!(library.exists(), "{} was not built", library.display());
    library
}

/// Sends requests one after the other; each has to get a response.
async fn send_requests(daemon: &Daemon, first_id: u64, count: u64) {
    let mut client = connect(daemon.address, [127, 0, 0, 1].into(), None)
        .await
        .expect("a connection");
    for number in 0..count {
        let text = request(first_id + number, 1 + number % 20, TIME_LEFT, 0);
        client.write_all(text.as_bytes()).await.expect("written");
        let response = http::read(&mut client, &mut Vec::new(), Kind::Response).await;
        let response = response.expect("no reset").expect("a response");
        if response.closes() {
            client = connect(daemon.address, [127, 0, 0, 1].into(), None)
                .await
                .expect("a connection");
        }
    }
}

fn unix_ms() -> i64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("after 1970").as_millis() as i64
}

/// How many of 400 requests an endpoint gets that joins right after the wall clock was stepped by so many seconds. Its start
/// time is of the stepped clock, as if all machines followed the same time source.
async fn requests_at_joining_endpoint(step_seconds: i64) -> u64 {
    let environment = Environment::new(3).await;
    let mut list = in_service(&environment.instances);
    let mut joining = list.pop().expect("three endpoints");
    let daemon = environment.start_daemon(list.clone());
    send_requests(&daemon, 0x1000, 100).await;
    environment
        .control
        .set(Fault::WallClockOffsetNs, step_seconds * NANOS_PER_SECOND);
    joining["boot_ms"] = json!(unix_ms() + step_seconds * 1000);
    list.push(joining);
    environment.discovery.publish(list);
    // The command is refused until the daemon knows the endpoint.
    while !daemon
        .admin_command("ENABLE s-2")
        .await
        .expect("answered")
        .starts_with("done")
    {
        tokio::task::yield_now().await;
    }
    send_requests(&daemon, 0x2000, 400).await;
    environment.requests_at(2)
}

/// The bound is twice the requests that the endpoint gets without a step, for random deviation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn joining_endpoint_warms_up_in_the_same_way_after_the_wall_clock_was_stepped() {
    let unstepped = requests_at_joining_endpoint(0).await;
    let mut stepped = Vec::new();
    for step_seconds in [-3600, -5, 5, 3600] {
        stepped.push((
            step_seconds,
            requests_at_joining_endpoint(step_seconds).await,
        ));
    }
    let allowed = 1..=2 * unstepped + 5;
    assert!(
        stepped
            .iter()
            .all(|(_, requests)| allowed.contains(requests)),
        "{unstepped} requests without a step; requests by step in seconds: {stepped:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disabled_endpoint_stays_disabled_after_a_restart_though_the_folder_was_full_for_a_while() {
    let environment = Environment::new(2).await;
    let known = in_service(&environment.instances);
    let daemon = environment.start_daemon(known.clone());
    send_requests(&daemon, 0x1000, 20).await;
    let error = i64::from(28); // ENOSPC
    environment.control.set(Fault::FileError, error);
    let response = daemon.admin_command("DISABLE s-0").await.expect("answered");
    assert!(response.starts_with("done"), "{response}");
    environment.control.set(Fault::FileError, 0);
    wait_until("the state is written", || {
        std::fs::read_dir(environment.folder.path())
            .expect("a folder")
            .filter_map(Result::ok)
            .any(|entry| entry.file_name().to_string_lossy().ends_with(".state"))
    })
    .await;
    // Dropping kills the daemon, so that it writes nothing at its end.
    drop(daemon);
    let before = environment.requests_at(0);
    let daemon = environment.start_daemon(known);
    send_requests(&daemon, 0x2000, 60).await;
    assert_eq!(environment.requests_at(0) - before, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_starts_though_the_system_has_no_socket_for_a_moment() {
    let environment = Environment::new(1).await;
    environment.control.set(Fault::SocketFailsOneIn, 1);
    let fault_end =
        environment.end_fault_after(Duration::from_millis(300), Fault::SocketFailsOneIn);
    let daemon = environment.start_daemon(in_service(&environment.instances));
    fault_end.join().expect("the fault ends");
    send_requests(&daemon, 0x1000, 5).await;
}

/// The kernel has established the clients' connections, but `accept` fails in the process from before its SIGTERM until after
/// it has closed idle connections (0.6 s later).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_in_the_kernels_queue_are_answered_though_accept_fails_during_the_shutdown() {
    let environment = Environment::new(1).await;
    let daemon = environment.start(in_service(&environment.instances), None);
    send_requests(&daemon, 0x1000, 5).await;
    environment.control.set(Fault::AcceptFailsOneIn, 1);
    let mut clients = Vec::new();
    for number in 0..5 {
        let mut client = connect(daemon.address, [127, 0, 0, 1].into(), None)
            .await
            .expect("accepted by the kernel");
        let text = request(0x2000 + number, 1 + number, TIME_LEFT, 0);
        client.write_all(text.as_bytes()).await.expect("written");
        clients.push(client);
    }
    daemon.terminate();
    let fault_end =
        environment.end_fault_after(Duration::from_millis(1200), Fault::AcceptFailsOneIn);
    for client in &mut clients {
        let response = http::read(client, &mut Vec::new(), Kind::Response).await;
        response.expect("no reset").expect("a response");
    }
    fault_end.join().expect("the fault ends");
}
