//! A fake endpoint with limited concurrency, random processing times, and responses that follow a script.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::http::{self, Kind, Message};

mod body_pieces;

pub use body_pieces::{BodyFraming, BodyPieces};

/// Maximum number of requests that an endpoint remembers with their ids.
const MAX_ARRIVALS: usize = 4_096;

/// The response of [`ResponseBehavior::Unprocessed`].
const UNPROCESSED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// How the bytes of a response are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseBehavior {
    /// All at once.
    Complete,
    /// One byte at a time, from the first byte of the head on.
    ByteByByte,
    /// The head at once, the body one byte at a time.
    BodyByteByByte,
    /// Only the head; the connection stays open.
    HeadOnly,
    /// All but the last byte; the connection stays open.
    AllButLastByte,
    /// The head and the first byte of the body at once, and the rest after a pause.
    PauseInBody(Duration),
    /// In chunks of one byte.
    ChunkPerByte,
    /// The head at once, the body in pieces.
    Pieces(BodyPieces),
    /// A 503 that says that the request was never executed.
    Unprocessed,
}

/// Responses that are sent differently from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exception {
    /// One response in this many is sent differently, at random.
    pub one_in: u32,
    /// How it is sent.
    pub behavior: ResponseBehavior,
}

/// Behavior of a fake endpoint.
#[derive(Clone, Debug)]
pub struct Script {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Processing time of a request.
    pub processing_time: RangeInclusive<Duration>,
    /// Number of requests processed concurrently; others wait.
    pub slots: usize,
    /// Size of a response's body.
    pub body_bytes: usize,
    /// Responses that are sent differently from [`ResponseBehavior::Complete`], if any.
    pub exception: Option<Exception>,
    /// Interval between bytes that are sent one at a time.
    pub byte_interval: Duration,
}

impl Default for Script {
    fn default() -> Self {
        Script {
            seed: 1,
            processing_time: Duration::from_millis(20)..=Duration::from_millis(60),
            slots: 16,
            body_bytes: 64,
            exception: None,
            byte_interval: Duration::from_millis(50),
        }
    }
}

/// Counts of requests, responses and connections.
#[derive(Debug, Default)]
pub struct RecordedRequests {
    /// Requests that arrived completely.
    pub requests: AtomicU64,
    /// Responses that were sent completely.
    pub responses: AtomicU64,
    /// Connections that are currently open.
    pub connections: AtomicUsize,
    /// Responses whose connection was closed before they were complete.
    pub aborted_responses: AtomicU64,
    /// The latest requests, up to [`MAX_ARRIVALS`].
    arrivals: Mutex<VecDeque<Arrival>>,
}

/// A request that arrived completely.
#[derive(Clone, Debug)]
struct Arrival {
    correlation_id: String,
    at: Instant,
}

impl RecordedRequests {
    /// Time at which the last request arrived completely.
    pub fn last_request_at(&self) -> Option<Instant> {
        self.lock_arrivals().back().map(|arrival| arrival.at)
    }

    /// Times at which the requests with this correlation id arrived completely.
    pub fn arrivals_of(&self, id: u64) -> Vec<Instant> {
        let correlation_id = format!("{id:016x}");
        let arrivals = self.lock_arrivals();
        let of_id = arrivals
            .iter()
            .filter(|arrival| arrival.correlation_id == correlation_id);
        of_id.map(|arrival| arrival.at).collect()
    }

    fn record_request(&self, request: &Message) {
        let correlation_id = request.header("x-correlation-id").unwrap_or_default();
        let mut arrivals = self.lock_arrivals();
        if arrivals.len() == MAX_ARRIVALS {
            arrivals.pop_front();
        }
        arrivals.push_back(Arrival {
            correlation_id: correlation_id.to_string(),
            at: Instant::now(),
        });
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    fn lock_arrivals(&self) -> MutexGuard<'_, VecDeque<Arrival>> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A fake endpoint that runs until the runtime shuts down.
pub struct Instance {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Counts of its requests, responses and connections.
    pub recorded: Arc<RecordedRequests>,
    script: Arc<Mutex<Script>>,
}

impl Instance {
    /// Starts an endpoint on a free loopback port.
    ///
    /// # Errors
    ///
    /// Socket errors.
    pub async fn start(script: Script) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (slots, seed) = (Arc::new(Semaphore::new(script.slots)), script.seed);
        let server = Server {
            script: Arc::new(Mutex::new(script)),
            recorded: Arc::default(),
            slots,
        };
        let instance = Instance {
            address,
            recorded: server.recorded.clone(),
            script: server.script.clone(),
        };
        tokio::spawn(server.accept(listener, seed));
        Ok(instance)
    }

    /// Changes the script for later requests.
    pub fn change_script(&self, change: impl FnOnce(&mut Script)) {
        change(&mut self.script.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

/// State shared by the connections of an instance.
#[derive(Clone)]
struct Server {
    script: Arc<Mutex<Script>>,
    recorded: Arc<RecordedRequests>,
    slots: Arc<Semaphore>,
}

impl Server {
    async fn accept(self, listener: TcpListener, seed: u64) {
        for number in 0u64.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let server = self.clone();
            tokio::spawn(async move {
                let _ = stream.set_nodelay(true);
                let connections = &server.recorded.connections;
                connections.fetch_add(1, Ordering::Relaxed);
                let seed = seed.wrapping_mul(1_000_003).wrapping_add(number);
                let _ = server.serve(stream, SmallRng::seed_from_u64(seed)).await;
                connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    fn script(&self) -> Script {
        let script = self.script.lock();
        script.unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn serve(&self, mut stream: TcpStream, mut rng: SmallRng) -> io::Result<()> {
        let recorded = &self.recorded;
        let mut unread = Vec::new();
        while let Some(request) = http::read(&mut stream, &mut unread, Kind::Request).await? {
            recorded.record_request(&request);
            let script = self.script();
            let processing_time = rng.random_range(script.processing_time.clone());
            let behavior = match script.exception {
                Some(exception) if rng.random_range(0..exception.one_in) == 0 => exception.behavior,
                _ => ResponseBehavior::Complete,
            };
            {
                let _slot = self.slots.acquire().await;
                tokio::time::sleep(processing_time).await;
            }
            match respond(&mut stream, &request, &script, behavior).await {
                Ok(()) => recorded.responses.fetch_add(1, Ordering::Relaxed),
                Err(_) => {
                    recorded.aborted_responses.fetch_add(1, Ordering::Relaxed);
                    return Ok(());
                }
            };
            if request.closes() {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// A body that begins with the request's correlation id, so that clients can detect a response to another request.
fn body(request: &Message, length: usize) -> Vec<u8> {
    let mut body = request
        .header("x-correlation-id")
        .unwrap_or_default()
        .as_bytes()
        .to_vec();
    body.resize(length.max(body.len()), b'.');
    body
}

async fn respond(
    stream: &mut TcpStream,
    request: &Message,
    script: &Script,
    behavior: ResponseBehavior,
) -> io::Result<()> {
    let body = body(request, script.body_bytes);
    let framing = match behavior {
        ResponseBehavior::ChunkPerByte => "Transfer-Encoding: chunked".to_string(),
        ResponseBehavior::Pieces(pieces) => pieces.framing_header(),
        _ => format!("Content-Length: {}", body.len()),
    };
    let head = format!("HTTP/1.1 200 OK\r\nX-Backend-Load: util=0.30\r\n{framing}\r\n\r\n");
    let (head, last) = (head.as_bytes(), body.len() - 1);
    match behavior {
        ResponseBehavior::Complete => stream.write_all(&[head, &body].concat()).await,
        ResponseBehavior::Unprocessed => stream.write_all(UNPROCESSED_RESPONSE).await,
        ResponseBehavior::ByteByByte => {
            send_byte_by_byte(stream, &[head, &body].concat(), script.byte_interval).await
        }
        ResponseBehavior::BodyByteByByte => {
            stream.write_all(head).await?;
            send_byte_by_byte(stream, &body, script.byte_interval).await
        }
        ResponseBehavior::HeadOnly => {
            stream.write_all(head).await?;
            wait_for_close(stream).await
        }
        ResponseBehavior::AllButLastByte => {
            stream.write_all(&[head, &body[..last]].concat()).await?;
            wait_for_close(stream).await
        }
        ResponseBehavior::PauseInBody(pause) => {
            stream.write_all(&[head, &body[..1]].concat()).await?;
            tokio::time::sleep(pause).await;
            stream.write_all(&body[1..]).await
        }
        ResponseBehavior::ChunkPerByte => {
            stream.write_all(head).await?;
            send_chunk_per_byte(stream, &body).await
        }
        ResponseBehavior::Pieces(pieces) => {
            stream.write_all(head).await?;
            pieces.write(stream).await
        }
    }
}

async fn send_chunk_per_byte(stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    for byte in body {
        stream
            .write_all(&[b"1\r\n", std::slice::from_ref(byte), b"\r\n"].concat())
            .await?;
    }
    stream.write_all(b"0\r\n\r\n").await
}

async fn send_byte_by_byte(
    stream: &mut TcpStream,
    bytes: &[u8],
    interval: Duration,
) -> io::Result<()> {
    for byte in bytes {
        stream.write_all(std::slice::from_ref(byte)).await?;
        tokio::time::sleep(interval).await;
    }
    Ok(())
}

/// Waits until the other side closes the connection.
async fn wait_for_close(stream: &mut TcpStream) -> io::Result<()> {
    let mut byte = [0];
    match stream.peek(&mut byte).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Err(io::Error::other(
            "data received before the response was complete",
        )),
    }
}
