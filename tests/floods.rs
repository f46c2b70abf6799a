//! Floods of bad clients, each kind more than there are places: good clients beside them are served, memory stays flat,
//! and all that was held comes back.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use applewall_fakes::clients::{request, HealthyClients};
use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::{target, Discovery};
use applewall_fakes::instance::{Instance, Script};
use applewall_fakes::wait::wait_until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// For so long.
const TIME: Duration = Duration::from_secs(5);
/// Descriptors of the program, of which service clients may hold a third; and bad clients at once of each kind.
const SOCKETS: usize = 256;
const EACH: u64 = 100;
/// What the smallest day allows, in bytes.
const MEMORY: u64 = 32 << 20;

#[derive(Clone, Copy, Debug)]
enum Kind {
    /// Connects and says nothing.
    Silent,
    /// Half a head.
    HalfHead,
    /// A command, more than is kept behind it, and gone.
    PipelineAndDisconnect,
    /// A body that never comes whole.
    HalfBody,
}

async fn bad(to: SocketAddr, kind: Kind, number: u64, ends: Instant) {
    let hold = async |mut stream: TcpStream| {
        while matches!(stream.read(&mut [0; 512]).await, Ok(n) if n > 0) {}
    };
    for round in 0u64.. {
        let turn = async {
            let Ok(mut stream) = TcpStream::connect(to).await else {
                return;
            };
            let id = 0xbad0_0000_0000_0000 | number << 32 | round;
            let head = request(id, 1_000_000 + number, Duration::from_secs(3), 0);
            let _ = match kind {
                Kind::Silent => Ok(()),
                Kind::HalfHead => stream.write_all(&head.as_bytes()[..40]).await,
                Kind::PipelineAndDisconnect => {
                    stream
                        .write_all((head + &"x".repeat(30_000)).as_bytes())
                        .await
                }
                Kind::HalfBody => {
                    let head = request(id, 1_000_000 + number, Duration::from_secs(3), 60_000);
                    stream
                        .write_all((head + &"x".repeat(30_000)).as_bytes())
                        .await
                }
            };
            if !matches!(kind, Kind::PipelineAndDisconnect) {
                hold(stream).await;
            }
            // Come back, but not without end: 400 commands a second are less than the limit servers bear.
            tokio::time::sleep(Duration::from_millis(250)).await;
        };
        if timeout_at(ends, turn).await.is_err() {
            return;
        }
    }
}

/// Three endpoints, discovery, and a daemon with few descriptors.
struct Deployment {
    daemon: Daemon,
    _instances: Vec<Instance>,
    _discovery: Discovery,
    _folder: tempfile::TempDir,
}

async fn deployment() -> Deployment {
    let mut instances = Vec::new();
    for seed in 0..3 {
        instances.push(
            Instance::start(Script {
                seed,
                ..Script::default()
            })
            .await
            .unwrap(),
        );
    }
    let list: Vec<_> = (0..3)
        .map(|i| target(&format!("s-{i}"), instances[i].address, "in_service"))
        .collect();
    let discovery = Discovery::start(list.clone()).await.unwrap();
    let setting = DaemonSettings {
        max_descriptors: SOCKETS,
        memory_mb: (MEMORY >> 20) as usize,
        operator_file: None,
        discovery: discovery.address,
        known_targets: list,
        quota_per_second: 1000.0,
    };
    let folder = tempfile::tempdir().unwrap();
    let daemon = Daemon::start(
        Path::new(env!("CARGO_BIN_EXE_applewall")),
        folder.path(),
        "n0",
        &setting,
    )
    .unwrap();
    Deployment {
        daemon,
        _instances: instances,
        _discovery: discovery,
        _folder: folder,
    }
}

async fn flood(kind: Kind) {
    let deployment = deployment().await;
    let daemon = &deployment.daemon;
    let at_rest = daemon.descriptors();
    let healthy = HealthyClients {
        address: daemon.address,
        source: [127, 0, 0, 1].into(),
        requests_per_second: 40.0,
        duration: TIME,
        new_connection_fraction: 0.5,
        customers: 10,
        wanted: Duration::from_millis(800),
        timeout: Duration::from_secs(3),
        seed: 5,
    };
    let ends = Instant::now() + TIME;
    let bad: Vec<_> = (0..EACH)
        .map(|n| tokio::spawn(bad(daemon.address, kind, n, ends)))
        .collect();
    let good = healthy.run().await;
    for task in bad {
        task.await.unwrap();
    }
    let reported = format!(
        "{kind:?}: {good:?}, {} bytes at the most",
        daemon.peak_memory()
    );
    // None is left without an answer, or with another's, and most are served. How many more is the machine's: commands
    // of those that go at once are load too, until they have gone.
    assert!(
        good.lost == 0 && good.mismatched == 0 && good.failed == 0 && good.sent > 100,
        "{reported}"
    );
    assert!(good.served * 2 >= good.sent, "{reported}");
    assert!(daemon.peak_memory() < MEMORY, "{reported}");
    wait_until("what bad clients held comes back", || {
        daemon.descriptors() <= at_rest + 16
    })
    .await;
    assert!(
        !daemon.log().iter().any(|line| line.contains("last-resort")),
        "{reported}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn healthy_clients_are_served_beside_silent_connections() {
    flood(Kind::Silent).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn healthy_clients_are_served_beside_incomplete_heads() {
    flood(Kind::HalfHead).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn healthy_clients_are_served_beside_clients_that_pipeline_and_disconnect() {
    flood(Kind::PipelineAndDisconnect).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn healthy_clients_are_served_beside_incomplete_bodies() {
    flood(Kind::HalfBody).await;
}

/// All connect and send while the process is held up: more than there are places, and all requests are in the kernel when
/// the first connection is accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_in_the_kernel_is_answered_when_more_connect_than_there_are_places() {
    let deployment = deployment().await;
    let daemon = &deployment.daemon;
    for round in 0..3u64 {
        daemon.hold();
        let mut clients = Vec::new();
        for number in 0..2 * EACH {
            let mut client = TcpStream::connect(daemon.address).await.unwrap();
            let id = 0xf00d_0000_0000_0000 | round << 32 | number;
            let head = request(id, 1_000_000 + number, Duration::from_secs(3), 0);
            client.write_all(head.as_bytes()).await.unwrap();
            clients.push(client);
        }
        daemon.resume();
        let mut unanswered = 0;
        for client in &mut clients {
            let mut first = [0; 12];
            let read = timeout_at(
                Instant::now() + Duration::from_secs(10),
                client.read_exact(&mut first),
            );
            if !matches!(read.await, Ok(Ok(_))) {
                unanswered += 1;
            }
        }
        assert_eq!(unanswered, 0, "of {} in round {round}", clients.len());
    }
}
