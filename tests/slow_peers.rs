//! The real program with slow clients and slow limit servers. The tests wait for events, never for a duration.

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

const INVALID_VALUE: &str = "[bulkheads] enabled: 'perhaps' is neither on nor off";
const PROTECTION_ENABLED: &str =
    "[pace]\nenabled = on\n[bulkheads]\nenabled = on\npeer_places = 1.0\n";

fn script(body_bytes: usize) -> Script {
    Script {
        processing_time: Duration::from_millis(1)..=Duration::from_millis(2),
        body_bytes,
        ..Script::default()
    }
}

/// As [`script`], with another behavior for one response in `one_in`.
fn script_with_exception(body_bytes: usize, one_in: u32, behavior: ResponseBehavior) -> Script {
    Script {
        exception: Some(Exception { one_in, behavior }),
        ..script(body_bytes)
    }
}

/// Sends requests, each on a connection of its own, until one is served, as a healthy client does after a rejection.
async fn send_until_served(environment: &Environment, id: u64) -> Message {
    let retried = async {
        for round in 0u64.. {
            let mut stream = connect_to(&environment.daemon).await;
            let request = id << 20 | round;
            send_request(&mut stream, request, id, 0).await;
            // While all slots are taken, a connection may be closed before its request is read.
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
                other => panic!("unexpected status {other}"),
            }
        }
        unreachable!()
    };
    tokio::time::timeout(TEST_TIMEOUT, retried)
        .await
        .expect("no request was served")
}

/// Clients that read their responses slowly during the whole test.
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

fn requests(instance: &Instance) -> u64 {
    instance.recorded.requests.load(Ordering::Relaxed)
}

fn aborted_responses(instance: &Instance) -> u64 {
    instance.recorded.aborted_responses.load(Ordering::Relaxed)
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_that_stop_reading_are_disconnected_and_others_are_served() {
    let scenario = Scenario::new("stops").operator_file(PROTECTION_ENABLED);
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
    // Other clients are served while the stopped readers connect and reconnect.
    for id in 1..=20 {
        assert_eq!(send_until_served(&environment, id).await.body.len(), 60_000);
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
        let short_pause =
            PROTECTION_ENABLED.replace("enabled = on\n[bulk", "enabled = on\npause = 80ms\n[bulk");
        let environment = Scenario::new(name)
            .operator_file(&short_pause)
            .instance(script())
            .instance(Script {
                seed: 2,
                ..script()
            })
            .start()
            .await;
        // One response in four of both limit servers cannot complete; each request is retried until a response is complete.
        for id in 1..=8 {
            let response = send_until_served(&environment, id).await;
            assert_eq!(response.body.len(), 30_000, "{name}");
        }
        let instances = &environment.instances;
        let sum = |count: fn(&Instance) -> u64| instances.iter().map(count).sum::<u64>();
        wait_until(name, || sum(aborted_responses) >= 1).await;
        // An attempt is closed before the next one is sent, so that every request is either answered or aborted.
        let ended = |instance: &Instance| {
            instance.recorded.responses.load(Ordering::Relaxed) + aborted_responses(instance)
        };
        wait_until("all requests are answered or aborted", || {
            sum(requests) == sum(ended)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_with_a_pause_or_with_a_chunk_per_byte_are_not_aborted() {
    let pause = ResponseBehavior::PauseInBody(Duration::from_millis(200));
    for (name, behavior) in [("burst", pause), ("chunks", ResponseBehavior::ChunkPerByte)] {
        let environment = Scenario::new(name)
            .operator_file(PROTECTION_ENABLED)
            .instance(script_with_exception(8_000, 1, behavior))
            .start()
            .await;
        for id in 1..=3 {
            let response = send_until_served(&environment, id).await;
            assert_eq!(response.body.len(), 8_000, "{name}");
        }
        let instance = &environment.instances[0];
        assert_eq!(
            (requests(instance), aborted_responses(instance)),
            (3, 0),
            "{name}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_upload_is_rejected_and_a_large_one_that_progresses_is_not() {
    let scenario = Scenario::new("upload").operator_file(PROTECTION_ENABLED);
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
async fn shutdown_among_slow_peers_answers_accepted_requests_and_completes() {
    let mut environment = Scenario::new("term")
        .operator_file(PROTECTION_ENABLED)
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
    wait_until("the request is accepted", || sent() > 20).await;
    environment.daemon.signal(15);
    let response = read_response(&mut stream).await;
    let status = response.status();
    assert!(["200", "503"].contains(&status), "{status}");
    let exit = environment.daemon.wait_for_exit(TEST_TIMEOUT);
    let exit = exit.expect("the daemon exits");
    assert!(exit.success(), "{exit}");
    readers.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_takes_effect_among_slow_readers_and_slow_instances() {
    let environment = Scenario::new("drain")
        .operator_file(PROTECTION_ENABLED)
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
    // Eventually, none of 30 requests in a row goes to the draining instance.
    let (mut unused, mut id) = (0, 100);
    while unused < 30 {
        let before = requests(drained);
        id += 1;
        send_until_served(&environment, id).await;
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
    wait_until("protection is enabled", || {
        logged("enabled=pace, bulkheads")
    })
    .await;
    // One slot for all of 127.0.0.0/24: the first client has it, and the second is rejected at once.
    let mut first = connect_to(daemon).await;
    send_request(&mut first, 1, 1, 0).await;
    assert_eq!(read_response(&mut first).await.status(), "200");
    std::fs::write(&file, "[bulkheads]\nenabled = perhaps\n").unwrap();
    daemon.signal(1);
    let is_refusal = |line: &String| {
        line.contains("operator configuration not reloaded: ") && line.contains(INVALID_VALUE)
    };
    wait_until("the file is refused", || {
        daemon.log().iter().any(is_refusal)
    })
    .await;
    let mut second = connect_to(daemon).await;
    send_request(&mut second, 2, 1, 0).await;
    let rejection = read_response(&mut second).await;
    assert_eq!((rejection.status(), rejection.closes()), ("503", true));
}
