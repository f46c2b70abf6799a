//! Slow clients and slow limit servers, against the real program. The tests wait for events, never for a duration.

mod support;

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use applewall_fakes::clients::{SlowClientCounts, SlowClients};
use applewall_fakes::discovery::target;
use applewall_fakes::http::{self, Kind, Message};
use applewall_fakes::instance::{Exception, Instance, ResponseBehavior, Script};
use applewall_fakes::wait::{wait_until, TEST_TIMEOUT};
use support::daemon::{connect_to, read_response, send_request, Environment, Scenario};
use tokio::io::AsyncWriteExt;

const INVALID_FILE: &str = "[bulkheads] enabled: 'perhaps' is neither on nor off";
const ON: &str = "[pace]\nenabled = on\n[bulkheads]\nenabled = on\npeer_places = 1.0\n";

fn script(body_bytes: usize) -> Script {
    Script {
        processing_time: Duration::from_millis(1)..=Duration::from_millis(2),
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

/// Sends requests on connections of their own until one is served, as a healthy client does when it is refused.
async fn served(environment: &Environment, id: u64) -> Message {
    let retried = async {
        for round in 0u64.. {
            let mut stream = connect_to(&environment.daemon).await;
            let request = id << 20 | round;
            send_request(&mut stream, request, id, 0).await;
            // Where all places are taken, a connection may be closed before its request was read.
            let response = http::read(&mut stream, &mut Vec::new(), Kind::Response).await;
            let Ok(Some(response)) = response else {
                continue;
            };
            match response.status() {
                "200" => {
                    assert!(response
                        .body
                        .starts_with(format!("{request:016x}").as_bytes()));
                    return response;
                }
                "429" | "503" => assert!(response.header("retry-after").is_some()),
                other => panic!("status {other}"),
            }
        }
        unreachable!()
    };
    tokio::time::timeout(TEST_TIMEOUT, retried)
        .await
        .expect("never served")
}

/// Slow readers that stay for the whole test.
fn slow_readers(environment: &Environment, count: usize) -> SlowClients {
    SlowClients {
        address: environment.daemon.address,
        count,
        arrival_window: Duration::ZERO,
        byte_interval: Some(Duration::from_millis(100)),
        reconnect_delay: TEST_TIMEOUT,
        duration: TEST_TIMEOUT,
        receive_buffer_bytes: 4_096,
        upload_bytes: 0,
    }
}

/// Counts of an instance.
fn requests(instance: &Instance) -> u64 {
    instance.recorded.requests.load(Ordering::Relaxed)
}

/// See [`requests`].
fn aborted(instance: &Instance) -> u64 {
    instance.recorded.aborted_responses.load(Ordering::Relaxed)
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_readers_are_disconnected_and_others_are_served() {
    let scenario = Scenario::new("stops").operator_file(ON);
    let environment = scenario.instance(script(60_000)).start().await;
    let daemon = &environment.daemon;
    let counts = Arc::new(SlowClientCounts::default());
    let readers = SlowClients {
        arrival_window: Duration::from_millis(50),
        byte_interval: None,
        reconnect_delay: Duration::from_millis(20),
        ..slow_readers(&environment, 300)
    };
    let readers = tokio::spawn(readers.run(counts.clone()));
    wait_until("80 connections", || {
        counts.connections.load(Ordering::Relaxed) >= 80
    })
    .await;
    // Served while they come, and while they come back for more.
    for id in 1..=20 {
        assert_eq!(served(&environment, id).await.body.len(), 60_000);
    }
    wait_until("100 disconnected", || {
        counts.closed_by_daemon.load(Ordering::Relaxed) >= 100
    })
    .await;
    assert!(daemon.descriptors() <= 256);
    let peak_memory = daemon.peak_memory();
    assert!(peak_memory < 32 << 20, "{peak_memory} bytes");
    readers.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_cannot_complete_in_time_is_aborted_and_retried_elsewhere() {
    for (name, behavior) in [
        ("trickle", ResponseBehavior::ByteByByte),
        ("body", ResponseBehavior::BodyByteByByte),
        ("head", ResponseBehavior::HeadOnly),
        ("last", ResponseBehavior::AllButLastByte),
    ] {
        let script = || script_with_exception(30_000, 4, behavior);
        let quick = ON.replace("enabled = on\n[bulk", "enabled = on\npause = 80ms\n[bulk");
        let environment = Scenario::new(name)
            .operator_file(&quick)
            .instance(script())
            .instance(Script {
                seed: 2,
                ..script()
            })
            .start()
            .await;
        // Every fourth response of both cannot complete: each request is retried until it is served completely.
        for id in 1..=8 {
            let response = served(&environment, id).await;
            assert_eq!(response.body.len(), 30_000, "{name}");
        }
        let instances = &environment.instances;
        let sum = |count: fn(&Instance) -> u64| instances.iter().map(count).sum::<u64>();
        wait_until(name, || sum(aborted) >= 1).await;
        // Each of these was closed before the next attempt was sent: every request is answered or aborted.
        let ended = |instance: &Instance| {
            instance.recorded.responses.load(Ordering::Relaxed) + aborted(instance)
        };
        wait_until("all accounted for", || sum(requests) == sum(ended)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_with_a_pause_and_a_chunked_one_are_waited_for() {
    let pause = ResponseBehavior::PauseInBody(Duration::from_millis(200));
    for (name, behavior) in [("burst", pause), ("chunks", ResponseBehavior::ChunkPerByte)] {
        let environment = Scenario::new(name)
            .operator_file(ON)
            .instance(script_with_exception(8_000, 1, behavior))
            .start()
            .await;
        for id in 1..=3 {
            let response = served(&environment, id).await;
            assert_eq!(response.body.len(), 8_000, "{name}");
        }
        let instance = &environment.instances[0];
        assert_eq!((requests(instance), aborted(instance)), (3, 0), "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_upload_is_rejected_and_a_large_one_that_progresses_is_not() {
    let scenario = Scenario::new("upload").operator_file(ON);
    let environment = scenario.instance(script(64)).start().await;
    let mut stalled = connect_to(&environment.daemon).await;
    let mut progressing = connect_to(&environment.daemon).await;
    for (stream, id) in [(&mut stalled, 1), (&mut progressing, 2)] {
        send_request(stream, id, id, 65_536).await;
        stream.write_all(&[b'.'; 1_000]).await.unwrap();
    }
    progressing.write_all(&vec![b'.'; 64_536]).await.unwrap();
    assert_eq!(read_response(&mut progressing).await.status(), "200");
    let rejection = read_response(&mut stalled).await;
    assert_eq!((rejection.status(), rejection.closes()), ("408", true));
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_among_slow_peers_answers_accepted_requests_and_ends() {
    let mut environment = Scenario::new("term")
        .operator_file(ON)
        .instance(script_with_exception(
            60_000,
            2,
            ResponseBehavior::BodyByteByByte,
        ))
        .instance(script(60_000))
        .start()
        .await;
    let counts = Arc::new(SlowClientCounts::default());
    let readers = tokio::spawn(slow_readers(&environment, 60).run(counts.clone()));
    wait_until("20 responses under way", || {
        counts.responses_begun.load(Ordering::Relaxed) >= 20
    })
    .await;
    let mut stream = connect_to(&environment.daemon).await;
    send_request(&mut stream, 7, 7, 0).await;
    let sent = || environment.instances.iter().map(requests).sum::<u64>();
    wait_until("it was accepted", || sent() > 20).await;
    environment.daemon.signal(15);
    let response = read_response(&mut stream).await;
    let status = response.status();
    assert!(["200", "503"].contains(&status), "{status}");
    let exit = environment.daemon.wait_for_exit(TEST_TIMEOUT);
    let exit = exit.expect("it does not end");
    assert!(exit.success(), "{exit}");
    readers.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_is_kept_among_slow_readers_and_slow_instances() {
    let environment = Scenario::new("drain")
        .operator_file(ON)
        .instance(script_with_exception(
            20_000,
            4,
            ResponseBehavior::BodyByteByByte,
        ))
        .instance(script(20_000))
        .start()
        .await;
    let counts = Arc::new(SlowClientCounts::default());
    let readers = SlowClients {
        reconnect_delay: Duration::from_millis(50),
        ..slow_readers(&environment, 100)
    };
    let readers = tokio::spawn(readers.run(counts.clone()));
    wait_until("50 responses under way", || {
        counts.responses_begun.load(Ordering::Relaxed) >= 50
    })
    .await;
    let drained = &environment.instances[0];
    environment.discovery.publish(vec![
        target("s-0", drained.address, "terminating"),
        target("s-1", environment.instances[1].address, "in_service"),
    ]);
    // From some moment on, 30 requests in a row leave it alone.
    let (mut unused, mut id) = (0, 100);
    while unused < 30 {
        let before = requests(drained);
        id += 1;
        served(&environment, id).await;
        unused = match requests(drained) == before {
            true => unused + 1,
            false => 0,
        };
    }
    readers.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_applies_the_operators_file_and_an_invalid_one_changes_nothing() {
    let scenario = Scenario::new("reload").operator_file("[pace]\nenabled = off\n");
    let environment = scenario.instance(script(64)).start().await;
    let daemon = &environment.daemon;
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("reload.ini");
    let logged = |text: &str| daemon.log().iter().any(|line| line.contains(text));
    std::fs::write(
        &file,
        "[pace]\nenabled = on\n[bulkheads]\nenabled = on\npeer_places = 0.01\n",
    )
    .unwrap();
    daemon.signal(1);
    wait_until("it is on", || logged("enabled=pace, bulkheads")).await;
    // One place for all of 127.0.0.0/24: the first client has it, the second is rejected at once.
    let mut first = connect_to(daemon).await;
    send_request(&mut first, 1, 1, 0).await;
    assert_eq!(read_response(&mut first).await.status(), "200");
    std::fs::write(&file, "[bulkheads]\nenabled = perhaps\n").unwrap();
    daemon.signal(1);
    let rejected = |line: &String| {
        line.contains("operator configuration not reloaded: ") && line.contains(INVALID_FILE)
    };
    wait_until("it is rejected", || daemon.log().iter().any(rejected)).await;
    let mut second = connect_to(daemon).await;
    send_request(&mut second, 2, 1, 0).await;
    let rejection = read_response(&mut second).await;
    assert_eq!((rejection.status(), rejection.closes()), ("503", true));
}
