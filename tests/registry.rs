//! The real program with a registry beside discovery: each test waits for what has to happen.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::Duration;

use applewall_fakes::clients::{connect, request};
use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::{target, Discovery};
use applewall_fakes::etcd::EtcdServer;
use applewall_fakes::http::{self, Kind};
use applewall_fakes::instance::{Instance, Script};
use applewall_fakes::tcp_proxy::TcpProxy;
use applewall_fakes::wait::{wait_until, TEST_TIMEOUT};
use serde_json::Value;
use tokio::io::AsyncWriteExt;

async fn instances(many: u64) -> Vec<Instance> {
    let mut instances = Vec::new();
    for seed in 0..many {
        let work = Duration::from_millis(1)..=Duration::from_millis(2);
        instances.push(
            Instance::start(Script {
                seed,
                work,
                ..Script::default()
            })
            .await
            .unwrap(),
        );
    }
    instances
}

fn value(instance: &Instance, state: &str) -> String {
    format!(
        r#"{{"endpoint":"{}","az":"a","state":"{state}"}}"#,
        instance.address
    )
}

fn daemon(name: &str, operator: &str, discovery: &Discovery, known: Vec<Value>) -> Daemon {
    let setting = DaemonSettings {
        max_descriptors: 256,
        memory_mb: 32,
        operator_file: Some(format!(
            "[registry]\nenabled = on\nprefix = /m/\n{operator}"
        )),
        discovery: discovery.address,
        known_targets: known,
        quota_per_second: 1_000.0,
    };
    let (program, folder) = (
        Path::new(env!("CARGO_BIN_EXE_applewall")),
        Path::new(env!("CARGO_TARGET_TMPDIR")),
    );
    Daemon::start(program, folder, name, &setting).unwrap()
}

/// Asks until that instance has got something.
async fn until_asked(daemon: &Daemon, id: &mut u64, wanted: &Instance) {
    let before = wanted.recorded.requests.load(Ordering::Relaxed);
    let ask = async {
        while wanted.recorded.requests.load(Ordering::Relaxed) == before {
            ask(daemon, id).await;
        }
    };
    assert!(
        tokio::time::timeout(TEST_TIMEOUT, ask).await.is_ok(),
        "never asked: {:?}",
        daemon.log()
    );
}

async fn ask(daemon: &Daemon, id: &mut u64) -> String {
    *id += 1;
    let mut stream = connect(daemon.address, [127, 0, 0, 1].into(), None)
        .await
        .unwrap();
    stream
        .write_all(request(*id, *id % 50, Duration::from_secs(3), 0).as_bytes())
        .await
        .unwrap();
    let answer = http::read(&mut stream, &mut Vec::new(), Kind::Response)
        .await
        .unwrap()
        .unwrap();
    answer.status().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_registry_goes_before_discovery_and_discovery_stays_behind_it() {
    let all = instances(3).await;
    let entry = |i: usize| target(&format!("s-{i}"), all[i].address, "in_service");
    let discovery = Discovery::start(vec![entry(0), entry(1)]).await.unwrap();
    let registry = EtcdServer::new(7, 0);
    registry.put("/m/s-0", &value(&all[0], "terminating"));
    registry.put("/m/s-2", &value(&all[2], "in_service"));
    let wire = TcpProxy::start(registry.listen().await.unwrap())
        .await
        .unwrap();
    let operator = format!("endpoints = {}\n", wire.address);
    let (daemon, mut id) = (
        daemon("before", &operator, &discovery, vec![entry(0), entry(1)]),
        0,
    );
    // Known to the registry alone, and to discovery alone.
    until_asked(&daemon, &mut id, &all[2]).await;
    until_asked(&daemon, &mut id, &all[1]).await;
    // What the registry drains gets nothing, though discovery has it in service.
    let drained = all[0].recorded.requests.load(Ordering::Relaxed);
    for _ in 0..50 {
        assert_eq!(ask(&daemon, &mut id).await, "200");
    }
    assert_eq!(all[0].recorded.requests.load(Ordering::Relaxed), drained);
    registry.put("/m/s-0", &value(&all[0], "in_service"));
    until_asked(&daemon, &mut id, &all[0]).await;
    // Removed there, it is as discovery says; gone there too, it gets nothing.
    registry.delete("/m/s-0");
    registry.delete("/m/s-2");
    discovery.publish(vec![entry(1)]);
    let mut quiet = 0;
    while quiet < 50 {
        let before = (
            all[0].recorded.requests.load(Ordering::Relaxed),
            all[2].recorded.requests.load(Ordering::Relaxed),
        );
        ask(&daemon, &mut id).await;
        let after = (
            all[0].recorded.requests.load(Ordering::Relaxed),
            all[2].recorded.requests.load(Ordering::Relaxed),
        );
        quiet = if before == after { quiet + 1 } else { 0 };
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_start_with_everything_down_goes_by_the_snapshot_and_a_torn_one_is_told() {
    let all = instances(1).await;
    let discovery = Discovery::start(Vec::new()).await.unwrap();
    let registry = EtcdServer::new(7, 0);
    registry.put("/m/s-0", &value(&all[0], "in_service"));
    let wire = TcpProxy::start(registry.listen().await.unwrap())
        .await
        .unwrap();
    let folder: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join("snapshots");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let operator = format!(
        "endpoints = {}\nsnapshot = {}\n",
        wire.address,
        folder.display()
    );
    let (first, mut id) = (daemon("keeps", &operator, &discovery, Vec::new()), 0);
    until_asked(&first, &mut id, &all[0]).await;
    let file = folder.join("roster.snapshot");
    wait_until("a snapshot", || {
        std::fs::read(&file).is_ok_and(|bytes| bytes.windows(3).any(|w| w == b"s-0"))
    })
    .await;
    drop(first);
    wire.set_refusing(true);
    wire.disconnect();
    let second = daemon("cold", &operator, &discovery, Vec::new());
    until_asked(&second, &mut id, &all[0]).await;
    drop(second);
    let whole = std::fs::read(&file).unwrap();
    std::fs::write(&file, &whole[..whole.len() - 1]).unwrap();
    let third = daemon("torn", &operator, &discovery, Vec::new());
    let told = || {
        third
            .log()
            .iter()
            .any(|line| line.contains("not used: it is torn"))
    };
    wait_until("it is told", told).await;
    assert_ne!(ask(&third, &mut id).await, "200");
    // Back: followed again, and served.
    wire.set_refusing(false);
    until_asked(&third, &mut id, &all[0]).await;
}
