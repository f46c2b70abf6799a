//! Slow peers, against the real program: each test waits for what has to happen, and for no time.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use applewall_fakes::clients::{connect, request, SlowClientCounts, SlowClients};
use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::{target, Discovery};
use applewall_fakes::http::{self, Kind, Message};
use applewall_fakes::instance::{Exception, Instance, ResponseBehavior, Script};
use applewall_fakes::wait::{wait_until, TEST_TIMEOUT};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const ON: &str = "[pace]\nenabled = on\n[bulkheads]\nenabled = on\npeer_places = 1.0\n";

struct World {
    daemon: Daemon,
    instances: Vec<Instance>,
    discovery: Discovery,
}

async fn world(name: &str, sockets: usize, operator: &str, scripts: Vec<Script>) -> World {
    let mut instances = Vec::new();
    for script in scripts {
        instances.push(Instance::start(script).await.unwrap());
    }
    let entry = |(i, instance): (usize, &Instance)| {
        target(&format!("s-{i}"), instance.address, "in_service")
    };
    let known: Vec<_> = instances.iter().enumerate().map(entry).collect();
    let discovery = Discovery::start(known.clone()).await.unwrap();
    let setting = DaemonSettings {
        max_descriptors: sockets,
        memory_mb: 32,
        operator_file: Some(operator.to_string()),
        discovery: discovery.address,
        known_targets: known,
        quota_per_second: 1_000.0,
    };
    let (program, folder) = (
        Path::new(env!("CARGO_BIN_EXE_applewall")),
        Path::new(env!("CARGO_TARGET_TMPDIR")),
    );
    let daemon = Daemon::start(program, folder, name, &setting).unwrap();
    World {
        daemon,
        instances,
        discovery,
    }
}

fn script(body_bytes: usize) -> Script {
    Script {
        work: Duration::from_millis(1)..=Duration::from_millis(2),
        body_bytes,
        ..Script::default()
    }
}

/// One response in so many is sent differently.
fn script_with_exception(body_bytes: usize, one_in: u32, behavior: ResponseBehavior) -> Script {
    Script {
        exception: Some(Exception { one_in, behavior }),
        ..script(body_bytes)
    }
}

impl World {
    async fn connect(&self) -> TcpStream {
        connect(self.daemon.address, [127, 0, 0, 1].into(), None)
            .await
            .unwrap()
    }

    /// Asks on a connection of its own until it is served, as a healthy client does when it is refused.
    async fn served(&self, id: u64) -> Message {
        let again = async {
            for round in 0u64.. {
                let mut stream = self.connect().await;
                let text = request(id << 20 | round, id, Duration::from_secs(3), 0);
                stream.write_all(text.as_bytes()).await.unwrap();
                // Where all places are taken, a connection may be closed before its command was read.
                let Ok(Some(answer)) =
                    http::read(&mut stream, &mut Vec::new(), Kind::Response).await
                else {
                    continue;
                };
                match answer.status() {
                    "200" => {
                        assert!(answer
                            .body
                            .starts_with(format!("{:016x}", id << 20 | round).as_bytes()));
                        return answer;
                    }
                    "429" | "503" => assert!(answer.header("retry-after").is_some()),
                    other => panic!("status {other}"),
                }
            }
            unreachable!()
        };
        tokio::time::timeout(TEST_TIMEOUT, again)
            .await
            .expect("never served")
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn three_hundred_readers_that_stop_keep_nobody_out_and_are_cut() {
    let world = world("stops", 256, ON, vec![script(60_000)]).await;
    let seen = Arc::new(SlowClientCounts::default());
    let slow = SlowClients {
        address: world.daemon.address,
        count: 300,
        arrival_window: Duration::from_millis(50),
        byte_interval: None,
        reconnect_delay: Duration::from_millis(20),
        duration: TEST_TIMEOUT,
        receive_buffer_bytes: 4_096,
        upload_bytes: 0,
    };
    let slow = tokio::spawn(slow.run(seen.clone()));
    wait_until("80 connections", || {
        seen.connections.load(Ordering::Relaxed) >= 80
    })
    .await;
    // Served while they come, and while they come back for more.
    for id in 1..=20 {
        assert_eq!(world.served(id).await.body.len(), 60_000);
    }
    wait_until("100 cut", || {
        seen.closed_by_daemon.load(Ordering::Relaxed) >= 100
    })
    .await;
    assert!(world.daemon.descriptors() <= 256);
    assert!(
        world.daemon.peak_memory() < 32 << 20,
        "{} bytes",
        world.daemon.peak_memory()
    );
    slow.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_cannot_be_whole_in_time_is_given_up_and_made_elsewhere() {
    for (name, behavior) in [
        ("trickle", ResponseBehavior::ByteByByte),
        ("body", ResponseBehavior::BodyByteByByte),
        ("head", ResponseBehavior::HeadOnly),
        ("last", ResponseBehavior::AllButLastByte),
    ] {
        let script = || script_with_exception(30_000, 4, behavior);
        let scripts = vec![
            script(),
            Script {
                seed: 2,
                ..script()
            },
        ];
        let quick = ON.replace("enabled = on\n[bulk", "enabled = on\npause = 80ms\n[bulk");
        let world = world(name, 256, &quick, scripts).await;
        // Every fourth answer comes badly, of both: each command is tried again until it is served whole.
        for id in 1..=8 {
            assert_eq!(world.served(id).await.body.len(), 30_000, "{name}");
        }
        let sum = |count: fn(&Instance) -> u64| world.instances.iter().map(count).sum::<u64>();
        let given_up = |i: &Instance| i.recorded.aborted_responses.load(Ordering::Relaxed);
        wait_until(name, || sum(given_up) >= 1).await;
        // Each of these was closed before the next attempt went out: what was asked for is answered or given up.
        let (asked, answered) = (
            |i: &Instance| i.recorded.requests.load(Ordering::Relaxed),
            |i: &Instance| {
                i.recorded.responses.load(Ordering::Relaxed)
                    + i.recorded.aborted_responses.load(Ordering::Relaxed)
            },
        );
        wait_until("all accounted for", || sum(asked) == sum(answered)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_after_a_pause_and_chunks_are_waited_for() {
    for (name, behavior) in [
        (
            "burst",
            ResponseBehavior::PauseInBody(Duration::from_millis(200)),
        ),
        ("chunks", ResponseBehavior::ChunkPerByte),
    ] {
        let world = world(
            name,
            256,
            ON,
            vec![script_with_exception(8_000, 1, behavior)],
        )
        .await;
        for id in 1..=3 {
            assert_eq!(world.served(id).await.body.len(), 8_000, "{name}");
        }
        let seen = &world.instances[0].recorded;
        assert_eq!(
            (
                seen.requests.load(Ordering::Relaxed),
                seen.aborted_responses.load(Ordering::Relaxed)
            ),
            (3, 0),
            "{name}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stalls_is_turned_away_and_a_large_one_that_comes_is_not() {
    let world = world("upload", 256, ON, vec![script(64)]).await;
    let (mut stalls, mut comes) = (world.connect().await, world.connect().await);
    for (stream, id) in [(&mut stalls, 1), (&mut comes, 2)] {
        let head = request(id, id, Duration::from_secs(3), 65_536);
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&[b'.'; 1_000]).await.unwrap();
    }
    comes.write_all(&vec![b'.'; 64_536]).await.unwrap();
    let served = http::read(&mut comes, &mut Vec::new(), Kind::Response)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(served.status(), "200");
    let answer = http::read(&mut stalls, &mut Vec::new(), Kind::Response)
        .await
        .unwrap()
        .unwrap();
    assert_eq!((answer.status(), answer.closes()), ("408", true));
}

#[tokio::test(flavor = "multi_thread")]
async fn told_to_stop_in_the_middle_of_it_all_it_answers_what_it_took_and_ends() {
    let scripts = vec![
        script_with_exception(60_000, 2, ResponseBehavior::BodyByteByByte),
        script(60_000),
    ];
    let mut world = world("term", 256, ON, scripts).await;
    let seen = Arc::new(SlowClientCounts::default());
    let slow = SlowClients {
        address: world.daemon.address,
        count: 60,
        arrival_window: Duration::ZERO,
        byte_interval: Some(Duration::from_millis(100)),
        reconnect_delay: TEST_TIMEOUT,
        duration: TEST_TIMEOUT,
        receive_buffer_bytes: 4_096,
        upload_bytes: 0,
    };
    let slow = tokio::spawn(slow.run(seen.clone()));
    wait_until("20 answers under way", || {
        seen.responses_begun.load(Ordering::Relaxed) >= 20
    })
    .await;
    let mut stream = world.connect().await;
    stream
        .write_all(request(7, 7, Duration::from_secs(3), 0).as_bytes())
        .await
        .unwrap();
    let instances = &world.instances;
    let requests = || {
        instances
            .iter()
            .map(|i| i.recorded.requests.load(Ordering::Relaxed))
            .sum::<u64>()
    };
    wait_until("it was taken", || requests() > 20).await;
    world.daemon.signal(15);
    let answer = http::read(&mut stream, &mut Vec::new(), Kind::Response)
        .await
        .unwrap()
        .unwrap();
    assert!(
        ["200", "503"].contains(&answer.status()),
        "{}",
        answer.status()
    );
    let status = world
        .daemon
        .wait_for_exit(TEST_TIMEOUT)
        .expect("it does not end");
    assert!(status.success(), "{status}");
    slow.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_in_the_middle_of_slow_readers_and_trickles_is_kept() {
    let trickles = script_with_exception(20_000, 4, ResponseBehavior::BodyByteByByte);
    let world = world("drain", 256, ON, vec![trickles, script(20_000)]).await;
    let seen = Arc::new(SlowClientCounts::default());
    let slow = SlowClients {
        address: world.daemon.address,
        count: 100,
        arrival_window: Duration::ZERO,
        byte_interval: Some(Duration::from_millis(100)),
        reconnect_delay: Duration::from_millis(50),
        duration: TEST_TIMEOUT,
        receive_buffer_bytes: 4_096,
        upload_bytes: 0,
    };
    let slow = tokio::spawn(slow.run(seen.clone()));
    wait_until("50 answers under way", || {
        seen.responses_begun.load(Ordering::Relaxed) >= 50
    })
    .await;
    let entry = |i: usize, state| target(&format!("s-{i}"), world.instances[i].address, state);
    world
        .discovery
        .publish(vec![entry(0, "terminating"), entry(1, "in_service")]);
    let asked = || world.instances[0].recorded.requests.load(Ordering::Relaxed);
    // From some moment on, 30 commands in a row leave it alone.
    let (mut quiet, mut id) = (0, 100);
    while quiet < 30 {
        let before = asked();
        id += 1;
        world.served(id).await;
        quiet = if asked() == before { quiet + 1 } else { 0 };
    }
    slow.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_operators_file_is_followed_at_a_reload_and_a_wrong_one_changes_nothing() {
    let world = world("reload", 256, "[pace]\nenabled = off\n", vec![script(64)]).await;
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("reload.ini");
    let told = |text: &str| world.daemon.log().iter().any(|line| line.contains(text));
    std::fs::write(
        &file,
        "[pace]\nenabled = on\n[bulkheads]\nenabled = on\npeer_places = 0.01\n",
    )
    .unwrap();
    world.daemon.signal(1);
    wait_until("it is on", || told("pace, bulkheads on")).await;
    // One place for all of 127.0.0.0/24: the first one has it, the second is told no at once.
    let mut first = world.connect().await;
    first
        .write_all(request(1, 1, Duration::from_secs(3), 0).as_bytes())
        .await
        .unwrap();
    let answer = http::read(&mut first, &mut Vec::new(), Kind::Response)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(answer.status(), "200");
    std::fs::write(&file, "[bulkheads]\nenabled = perhaps\n").unwrap();
    world.daemon.signal(1);
    wait_until("it is refused", || {
        told("[bulkheads] enabled: 'perhaps' is neither on nor off; all stays as it was")
    })
    .await;
    let mut second = world.connect().await;
    second
        .write_all(request(2, 1, Duration::from_secs(3), 0).as_bytes())
        .await
        .unwrap();
    let answer = http::read(&mut second, &mut Vec::new(), Kind::Response)
        .await
        .unwrap()
        .unwrap();
    assert_eq!((answer.status(), answer.closes()), ("503", true));
}
