//! The smallest memory limit of the platform with as many descriptors as it grants: the daemon stays within it, whatever
//! hundreds of clients send or leave unread at the same time.

mod support;

use std::time::Duration;

use applewall_fakes::clients::{connect, request};
use applewall_fakes::daemon::DaemonSettings;
use applewall_fakes::discovery::{in_service, Discovery};
use applewall_fakes::instance::{
    BodyFraming, BodyPieces, Exception, Instance, ResponseBehavior, Script,
};
use applewall_fakes::wait::wait_until;
use support::daemon::{connect_to, read_response, send_request, start_daemon, TIME_LEFT};
use support::daemon::{small_daemon, Environment};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{timeout_at, Instant};

const MEMORY_LIMIT_MB: usize = 32;
/// The largest number of descriptors that the platform grants.
const DESCRIPTORS: usize = 1_024;
/// Clients that are connected at once: more than the daemon has connections for.
const CLIENTS: u64 = 450;
const ATTACK_DURATION: Duration = Duration::from_secs(6);
/// Bad clients have customer numbers from here on, which the other client has not.
const FIRST_BAD_CUSTOMER: u64 = 1_000_000;
/// Just below the daemon's limit for a body.
const LARGE_BODY_BYTES: usize = 60_000;
/// Size and interval of the pieces in which slow clients write.
const PIECE_BYTES: usize = 24;
const PIECE_INTERVAL: Duration = Duration::from_millis(2);
/// Number of short fields in a head; the daemon accepts about a hundred.
const SHORT_FIELDS: usize = 85;
/// Just below the daemon's limit for a head.
const LARGE_HEAD_BYTES: usize = 16_000;
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Receive buffer of clients that read slowly.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// Pieces of a long response that is written as fast as it is read.
const LONG_RESPONSE: BodyPieces = BodyPieces {
    framing: BodyFraming::Length,
    first_after: Duration::ZERO,
    piece_bytes: 32 * 1024,
    interval: Duration::ZERO,
    pieces: 1_024,
};
/// A long response in small pieces.
const SLOW_RESPONSE: BodyPieces = BodyPieces {
    framing: BodyFraming::Chunked,
    first_after: Duration::ZERO,
    piece_bytes: 40,
    interval: Duration::from_millis(1),
    pieces: 100_000,
};

/// What each bad client does, again after each end of its connection.
#[derive(Clone, Copy, Debug)]
enum Misuse {
    /// Writes a large body in small pieces.
    BodyInPieces,
    /// Writes a large body in chunks of one byte.
    BodyInTinyChunks,
    /// Writes half of a large body and stops.
    HalfBody,
    /// Writes a head of many short fields and half of a large body.
    ManyFieldsAndHalfBody,
    /// Writes most of a large head of short fields and stops.
    HalfHead,
    /// Writes a request and then most of a large head.
    PipelinedHead,
    /// Reads its response slowly.
    SlowRead,
}

fn short_fields(count: usize) -> String {
    (0..count)
        .map(|number| format!("a{number}:b\r\n"))
        .collect()
}

/// A head without its empty line, followed by these fields.
fn open_head(id: u64, customer: u64, body_bytes: usize, fields: &str) -> String {
    let head = request(id, customer, TIME_LEFT, body_bytes);
    let head = head.strip_suffix("\r\n").expect("an empty line at the end");
    format!("{head}{fields}")
}

impl Misuse {
    /// The bytes that a client writes at once.
    fn first_bytes(self, id: u64, customer: u64) -> String {
        let half_body = "x".repeat(LARGE_BODY_BYTES / 2);
        let large_head = || {
            let fields = short_fields(SHORT_FIELDS);
            let padding = "y".repeat(LARGE_HEAD_BYTES - fields.len() - 400);
            open_head(id, customer, 0, &format!("{fields}z:{padding}"))
        };
        match self {
            Misuse::BodyInPieces => request(id, customer, TIME_LEFT, LARGE_BODY_BYTES),
            Misuse::BodyInTinyChunks => {
                let head = open_head(id, customer, 0, "Transfer-Encoding: chunked\r\n\r\n");
                head.replace("GET", "POST")
            }
            Misuse::HalfBody => request(id, customer, TIME_LEFT, LARGE_BODY_BYTES) + &half_body,
            Misuse::ManyFieldsAndHalfBody => {
                let fields = short_fields(SHORT_FIELDS);
                open_head(id, customer, LARGE_BODY_BYTES, &fields) + "\r\n" + &half_body
            }
            Misuse::HalfHead => large_head(),
            Misuse::PipelinedHead => request(id, customer, TIME_LEFT, 0) + &large_head(),
            Misuse::SlowRead => request(id, customer, TIME_LEFT, 0),
        }
    }

    /// Continues on a connection until the daemon ends it.
    async fn continue_on(self, stream: &mut TcpStream) -> std::io::Result<()> {
        match self {
            Misuse::BodyInPieces => {
                for _ in 0..LARGE_BODY_BYTES / PIECE_BYTES {
                    stream.write_all(&[b'x'; PIECE_BYTES]).await?;
                    tokio::time::sleep(PIECE_INTERVAL).await;
                }
            }
            Misuse::BodyInTinyChunks => {
                let chunks = "1\r\nx\r\n".repeat(100);
                for _ in 0..LARGE_BODY_BYTES / 100 {
                    stream.write_all(chunks.as_bytes()).await?;
                    tokio::time::sleep(PIECE_INTERVAL).await;
                }
            }
            Misuse::SlowRead => {
                while stream.read(&mut [0; 512]).await? > 0 {
                    tokio::time::sleep(READ_INTERVAL).await;
                }
            }
            Misuse::HalfBody
            | Misuse::ManyFieldsAndHalfBody
            | Misuse::HalfHead
            | Misuse::PipelinedHead => {}
        }
        while stream.read(&mut [0; 512]).await? > 0 {}
        Ok(())
    }
}

async fn misuse_once(environment: &Environment, misuse: Misuse, text: &str) -> std::io::Result<()> {
    let source = [127, 0, 0, 1].into();
    let address = environment.daemon.address;
    let mut stream = connect(address, source, Some(RECEIVE_BUFFER_BYTES)).await?;
    stream.write_all(text.as_bytes()).await?;
    misuse.continue_on(&mut stream).await
}

async fn misuse_until(environment: &Environment, misuse: Misuse, client: u64, until: Instant) {
    let attack = async {
        for round in 0u64.. {
            let id = 0xbad0_0000_0000_0000 | client << 32 | round;
            let text = misuse.first_bytes(id, FIRST_BAD_CUSTOMER + client);
            // The daemon may end the connection at any time.
            let _ = misuse_once(environment, misuse, &text).await;
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    };
    let _ = timeout_at(until, attack).await;
}

async fn start(name: &'static str, response: Option<BodyPieces>) -> Environment {
    let script = Script {
        processing_time: Duration::from_millis(1)..=Duration::from_millis(2),
        slots: 1_000,
        exception: response.map(|pieces| Exception {
            one_in: 1,
            behavior: ResponseBehavior::Pieces(pieces),
        }),
        ..Script::default()
    };
    let mut instances = Vec::new();
    for seed in 0..3 {
        let script = Script {
            seed,
            ..script.clone()
        };
        instances.push(Instance::start(script).await.expect("an endpoint"));
    }
    let known = in_service(&instances);
    let discovery = Discovery::start(known.clone()).await.expect("discovery");
    let settings = DaemonSettings {
        max_descriptors: DESCRIPTORS,
        memory_mb: MEMORY_LIMIT_MB,
        ..small_daemon(discovery.address, known)
    };
    Environment {
        daemon: start_daemon(name, &settings),
        instances,
        discovery,
    }
}

/// Lets hundreds of clients misuse the daemon in these ways, and asserts that its memory stays within the limit and that it
/// serves another client afterwards.
async fn assert_within_limit(name: &'static str, misuse: &[Misuse], response: Option<BodyPieces>) {
    let environment = std::sync::Arc::new(start(name, response).await);
    let until = Instant::now() + ATTACK_DURATION;
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let environment = environment.clone();
        let misuse = misuse[client as usize % misuse.len()];
        clients.spawn(async move { misuse_until(&environment, misuse, client, until).await });
    }
    while clients.join_next().await.is_some() {}
    let peak_memory = environment.daemon.peak_memory();
    println!("{misuse:?}: peak memory {peak_memory} bytes");
    assert!(
        peak_memory < (MEMORY_LIMIT_MB as u64) << 20,
        "{misuse:?}: peak memory {peak_memory} bytes"
    );
    wait_until("the connections of bad clients are closed", || {
        environment.daemon.descriptors() < DESCRIPTORS / 8
    })
    .await;
    if response.is_none() {
        let mut client = connect_to(&environment.daemon).await;
        send_request(&mut client, 1, 1, 0).await;
        assert_eq!(read_response(&mut client).await.status(), "200");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn memory_is_bounded_while_hundreds_of_clients_write_bodies_in_small_pieces() {
    assert_within_limit("memory-pieces", &[Misuse::BodyInPieces], None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn memory_is_bounded_while_hundreds_of_clients_write_bodies_in_tiny_chunks() {
    assert_within_limit("memory-chunks", &[Misuse::BodyInTinyChunks], None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn memory_is_bounded_while_hundreds_of_clients_stop_in_the_middle_of_a_body() {
    assert_within_limit("memory-half", &[Misuse::HalfBody], None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn memory_is_bounded_while_hundreds_of_clients_send_heads_of_many_short_fields() {
    assert_within_limit("memory-fields", &[Misuse::ManyFieldsAndHalfBody], None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn memory_is_bounded_while_hundreds_of_clients_stop_in_the_middle_of_a_large_head() {
    assert_within_limit("memory-heads", &[Misuse::HalfHead], None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn memory_is_bounded_while_hundreds_of_clients_pipeline_a_large_head() {
    assert_within_limit("memory-pipelined", &[Misuse::PipelinedHead], None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn memory_is_bounded_while_hundreds_of_clients_read_long_responses_slowly() {
    assert_within_limit("memory-long", &[Misuse::SlowRead], Some(LONG_RESPONSE)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn memory_is_bounded_while_hundreds_of_clients_read_responses_in_small_pieces() {
    assert_within_limit("memory-small", &[Misuse::SlowRead], Some(SLOW_RESPONSE)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn memory_is_bounded_while_hundreds_of_clients_misuse_the_daemon_in_all_ways_at_once() {
    let all = [
        Misuse::BodyInPieces,
        Misuse::BodyInTinyChunks,
        Misuse::HalfBody,
        Misuse::ManyFieldsAndHalfBody,
        Misuse::HalfHead,
        Misuse::PipelinedHead,
        Misuse::SlowRead,
    ];
    assert_within_limit("memory-all", &all, Some(LONG_RESPONSE)).await;
}
