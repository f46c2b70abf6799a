//! A limit server: slots, a time for its work, and answers that come as its script says.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::http::{self, Kind, Message};

/// How the bytes of an answer come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseBehavior {
    /// All at once.
    Complete,
    /// One byte at a time, from the first of the head on.
    ByteByByte,
    /// The head at once, the body a byte at a time.
    BodyByteByByte,
    /// The head, and then nothing.
    HeadOnly,
    /// All but the last byte, and then nothing.
    AllButLastByte,
    /// A piece of the body, a pause, and the rest at once.
    PauseInBody(Duration),
    /// In chunks, a byte each.
    ChunkPerByte,
}

/// What a limit server does.
#[derive(Clone, Debug)]
pub struct Script {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Time for the work of a request: least and most.
    pub work: (Duration, Duration),
    /// Requests in work at once; others wait.
    pub slots: usize,
    /// Bytes of an answer's body.
    pub body_bytes: usize,
    /// One answer in so many comes in this manner, all others whole.
    pub odd: Option<(u32, ResponseBehavior)>,
    /// Between the bytes of a trickle.
    pub byte_interval: Duration,
}

impl Default for Script {
    fn default() -> Self {
        let work = (Duration::from_millis(20), Duration::from_millis(60));
        Script {
            seed: 1,
            work,
            slots: 16,
            body_bytes: 64,
            odd: None,
            byte_interval: Duration::from_millis(50),
        }
    }
}

/// What crossed its sockets.
#[derive(Debug, Default)]
pub struct RecordedRequests {
    /// Requests that arrived whole.
    pub requests: AtomicU64,
    /// Answers written whole.
    pub responses: AtomicU64,
    /// Connections open now.
    pub connections: AtomicUsize,
    /// Answers whose connection was closed before they were whole.
    pub aborted_responses: AtomicU64,
}

/// A limit server that runs for as long as the runtime does.
pub struct Instance {
    /// Where it listens.
    pub address: SocketAddr,
    /// What crossed its sockets.
    pub recorded: Arc<RecordedRequests>,
    script: Arc<Mutex<Script>>,
}

impl Instance {
    /// Listens on a free port of loopback.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn start(script: Script) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, seen) = (
            listener.local_addr()?,
            Arc::new(RecordedRequests::default()),
        );
        let (slots, seed) = (Arc::new(Semaphore::new(script.slots)), script.seed);
        let script = Arc::new(Mutex::new(script));
        let (shared, counts) = (script.clone(), seen.clone());
        tokio::spawn(async move {
            for number in 0u64.. {
                let Ok((stream, _)) = listener.accept().await else {
                    return;
                };
                let (script, seen, slots) = (shared.clone(), counts.clone(), slots.clone());
                tokio::spawn(async move {
                    let _ = stream.set_nodelay(true);
                    seen.connections.fetch_add(1, Ordering::Relaxed);
                    let rng =
                        SmallRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(number));
                    let _ = serve(stream, rng, &script, &seen, &slots).await;
                    seen.connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(Instance {
            address,
            recorded: seen,
            script,
        })
    }

    /// Changes the script for requests to come.
    pub fn change_script(&self, change: impl FnOnce(&mut Script)) {
        change(
            &mut self
                .script
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner),
        );
    }
}

async fn serve(
    mut stream: TcpStream,
    mut rng: SmallRng,
    script: &Mutex<Script>,
    seen: &RecordedRequests,
    slots: &Semaphore,
) -> io::Result<()> {
    let mut rest = Vec::new();
    while let Some(request) = http::read(&mut stream, &mut rest, Kind::Request).await? {
        seen.requests.fetch_add(1, Ordering::Relaxed);
        let script = script
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone();
        let work = rng.random_range(script.work.0..=script.work.1);
        let manner = match script.odd {
            Some((one_in, manner)) if rng.random_range(0..one_in) == 0 => manner,
            _ => ResponseBehavior::Complete,
        };
        {
            let _slot = slots.acquire().await;
            tokio::time::sleep(work).await;
        }
        match answer(&mut stream, &request, &script, manner).await {
            Ok(()) => seen.responses.fetch_add(1, Ordering::Relaxed),
            Err(_) => {
                seen.aborted_responses.fetch_add(1, Ordering::Relaxed);
                return Ok(());
            }
        };
        if request.closes() {
            return Ok(());
        }
    }
    Ok(())
}

/// The body names the request that it was made for, so that a client can tell whose answer it got.
fn body(request: &Message, length: usize) -> Vec<u8> {
    let mut body = request
        .header("x-correlation-id")
        .unwrap_or_default()
        .as_bytes()
        .to_vec();
    body.resize(length.max(body.len()), b'.');
    body
}

async fn answer(
    stream: &mut TcpStream,
    request: &Message,
    script: &Script,
    manner: ResponseBehavior,
) -> io::Result<()> {
    let body = body(request, script.body_bytes);
    let framing = match manner {
        ResponseBehavior::ChunkPerByte => "Transfer-Encoding: chunked".to_string(),
        _ => format!("Content-Length: {}", body.len()),
    };
    let head = format!("HTTP/1.1 200 OK\r\nX-Backend-Load: util=0.30\r\n{framing}\r\n\r\n");
    let (head, last) = (head.as_bytes(), body.len() - 1);
    match manner {
        ResponseBehavior::Complete => stream.write_all(&[head, &body].concat()).await,
        ResponseBehavior::ByteByByte => {
            trickle(stream, &[head, &body].concat(), script.byte_interval).await
        }
        ResponseBehavior::BodyByteByByte => {
            stream.write_all(head).await?;
            trickle(stream, &body, script.byte_interval).await
        }
        ResponseBehavior::HeadOnly => {
            stream.write_all(head).await?;
            silence(stream).await
        }
        ResponseBehavior::AllButLastByte => {
            stream.write_all(&[head, &body[..last]].concat()).await?;
            silence(stream).await
        }
        ResponseBehavior::PauseInBody(pause) => {
            stream.write_all(&[head, &body[..1]].concat()).await?;
            tokio::time::sleep(pause).await;
            stream.write_all(&body[1..]).await
        }
        ResponseBehavior::ChunkPerByte => {
            stream.write_all(head).await?;
            for byte in &body {
                stream
                    .write_all(&[b"1\r\n", std::slice::from_ref(byte), b"\r\n"].concat())
                    .await?;
            }
            stream.write_all(b"0\r\n\r\n").await
        }
    }
}

async fn trickle(stream: &mut TcpStream, bytes: &[u8], step: Duration) -> io::Result<()> {
    for byte in bytes {
        stream.write_all(std::slice::from_ref(byte)).await?;
        tokio::time::sleep(step).await;
    }
    Ok(())
}

/// Nothing more, until the other side has enough of it.
async fn silence(stream: &mut TcpStream) -> io::Result<()> {
    let mut byte = [0];
    match stream.peek(&mut byte).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Err(io::Error::other(
            "a request behind an answer that is not whole",
        )),
    }
}
