//! The real program with a registry beside discovery. The tests wait for events, never for a duration.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod support;

use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::Duration;

use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::{target, Discovery};
use applewall_fakes::etcd::EtcdServer;
use applewall_fakes::instance::{Instance, Script};
use applewall_fakes::tcp_proxy::TcpProxy;
use applewall_fakes::wait::{wait_until, TEST_TIMEOUT};
use serde_json::Value;
use support::daemon::{connect_to, read_response, send_request, small_daemon, start_daemon};

async fn instances(count: u64) -> Vec<Instance> {
    let mut instances = Vec::new();
    for seed in 0..count {
        let processing_time = Duration::from_millis(1)..=Duration::from_millis(2);
        instances.push(
            Instance::start(Script {
                seed,
                processing_time,
                ..Script::default()
            })
            .await
            .unwrap(),
        );
    }
    instances
}

/// The registry's value for an instance.
fn value(instance: &Instance, state: &str) -> String {
    format!(
        r#"{{"endpoint":"{}","az":"a","state":"{state}"}}"#,
        instance.address
    )
}

/// Starts a daemon that watches a registry, with these further settings.
fn daemon(name: &str, settings: &str, discovery: &Discovery, known: Vec<Value>) -> Daemon {
    let operator_file = format!("[registry]\nenabled = on\nprefix = /m/\n{settings}");
    let settings = DaemonSettings {
        operator_file: Some(operator_file),
        ..small_daemon(discovery.address, known)
    };
    start_daemon(name, &settings)
}

/// Number of requests that an instance received.
fn requests(instance: &Instance) -> u64 {
    instance.recorded.requests.load(Ordering::Relaxed)
}

/// Sends requests until an instance receives one.
async fn send_until_used_by(daemon: &Daemon, id: &mut u64, wanted: &Instance) {
    let before = requests(wanted);
    let requests_sent = async {
        while requests(wanted) == before {
            send(daemon, id).await;
        }
    };
    assert!(
        tokio::time::timeout(TEST_TIMEOUT, requests_sent)
            .await
            .is_ok(),
        "no request at the instance: {:?}",
        daemon.log()
    );
}

/// Sends a request on a connection of its own; returns the status of the response.
async fn send(daemon: &Daemon, id: &mut u64) -> String {
    *id += 1;
    let mut stream = connect_to(daemon).await;
    send_request(&mut stream, *id, *id % 50, 0).await;
    read_response(&mut stream).await.status().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_registry_takes_precedence_and_discovery_is_the_fallback() {
    let all = instances(3).await;
    let entry = |number: usize| target(&format!("s-{number}"), all[number].address, "in_service");
    let discovery = Discovery::start(vec![entry(0), entry(1)]).await.unwrap();
    let registry = EtcdServer::new(7, 0);
    registry.put("/m/s-0", &value(&all[0], "terminating"));
    registry.put("/m/s-2", &value(&all[2], "in_service"));
    let proxy = TcpProxy::start(registry.listen().await.unwrap())
        .await
        .unwrap();
    let operator = format!("endpoints = {}\n", proxy.address);
    let (daemon, mut id) = (
        daemon("before", &operator, &discovery, vec![entry(0), entry(1)]),
        0,
    );
    // An instance known to the registry alone, and one known to discovery alone.
    send_until_used_by(&daemon, &mut id, &all[2]).await;
    send_until_used_by(&daemon, &mut id, &all[1]).await;
    // An instance that drains in the registry gets no request, though discovery lists it as in service.
    let drained = requests(&all[0]);
    for _ in 0..50 {
        assert_eq!(send(&daemon, &mut id).await, "200");
    }
    assert_eq!(requests(&all[0]), drained);
    registry.put("/m/s-0", &value(&all[0], "in_service"));
    send_until_used_by(&daemon, &mut id, &all[0]).await;
    // An instance removed from the registry has its state in discovery; removed there as well, it gets no request.
    registry.delete("/m/s-0");
    registry.delete("/m/s-2");
    discovery.publish(vec![entry(1)]);
    let mut unused = 0;
    while unused < 50 {
        let before = (requests(&all[0]), requests(&all[2]));
        send(&daemon, &mut id).await;
        let after = (requests(&all[0]), requests(&all[2]));
        unused = if before == after { unused + 1 } else { 0 };
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_start_without_registry_and_discovery_uses_the_snapshot_and_logs_a_truncated_one() {
    let all = instances(1).await;
    let discovery = Discovery::start(Vec::new()).await.unwrap();
    let registry = EtcdServer::new(7, 0);
    registry.put("/m/s-0", &value(&all[0], "in_service"));
    let proxy = TcpProxy::start(registry.listen().await.unwrap())
        .await
        .unwrap();
    let folder: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join("snapshots");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let operator = format!(
        "endpoints = {}\nsnapshot = {}\n",
        proxy.address,
        folder.display()
    );
    let (first, mut id) = (daemon("keeps", &operator, &discovery, Vec::new()), 0);
    send_until_used_by(&first, &mut id, &all[0]).await;
    let file = folder.join("roster.snapshot");
    wait_until("a snapshot", || {
        std::fs::read(&file).is_ok_and(|bytes| bytes.windows(3).any(|window| window == b"s-0"))
    })
    .await;
    drop(first);
    proxy.set_refusing(true);
    proxy.disconnect();
    let second = daemon("cold", &operator, &discovery, Vec::new());
    send_until_used_by(&second, &mut id, &all[0]).await;
    drop(second);
    let snapshot = std::fs::read(&file).unwrap();
    std::fs::write(&file, &snapshot[..snapshot.len() - 1]).unwrap();
    let third = daemon("torn", &operator, &discovery, Vec::new());
    let reported = || {
        third.log().iter().any(|line| {
            line.contains("registry snapshot not used")
                && line.contains("snapshot is truncated or corrupted")
        })
    };
    wait_until("the snapshot is refused", reported).await;
    assert_ne!(send(&third, &mut id).await, "200");
    // Once the registry is reachable again, it is watched, and requests are served.
    proxy.set_refusing(false);
    send_until_used_by(&third, &mut id, &all[0]).await;
}
