//! A crowd of bad clients: more connections to an ingress than it has descriptors for, on which no request is ever complete,
//! and one on which unsound requests come without a pause.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use applewall_fakes::clients::request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Connections to each ingress, besides that of the flood.
const CONNECTIONS: u64 = 200;
/// Wait after the end of a connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);
/// Customers and request ids of the crowd begin here, beyond those of other clients.
const FIRST_ID: u64 = 0xc20d_0000_0000_0000;
const FIRST_CUSTOMER: u64 = 1 << 32;
/// Time left that the requests state.
const TIME_LEFT: Duration = Duration::from_secs(3);
/// Size of the bodies that never become complete; just below the daemon's limit.
const BODY_BYTES: usize = 60_000;
/// Size of the pieces of a body, and the pause between them: the body would take longer than the daemon waits.
const PIECE_BYTES: usize = 24;
const PIECE_INTERVAL: Duration = Duration::from_millis(5);
/// Unsound requests that are written at once.
const FLOOD_BATCH: usize = 200;

/// What a client does on a connection.
#[derive(Clone, Copy)]
enum Misuse {
    Silence,
    HalfHead,
    HalfBody,
    BodyInPieces,
}

impl Misuse {
    fn of(number: u64) -> Self {
        match number % 4 {
            0 => Misuse::Silence,
            1 => Misuse::HalfHead,
            2 => Misuse::HalfBody,
            _ => Misuse::BodyInPieces,
        }
    }

    /// Opens a connection and uses it until the ingress closes it.
    async fn run_connection(self, to: SocketAddr, number: u64) -> io::Result<()> {
        let mut stream = TcpStream::connect(to).await?;
        let head = request(
            FIRST_ID + number,
            FIRST_CUSTOMER + number,
            TIME_LEFT,
            BODY_BYTES,
        );
        match self {
            Misuse::Silence => {}
            Misuse::HalfHead => stream.write_all(&head.as_bytes()[..head.len() / 2]).await?,
            Misuse::HalfBody => {
                let body = "x".repeat(BODY_BYTES / 2);
                stream.write_all((head + &body).as_bytes()).await?;
            }
            Misuse::BodyInPieces => {
                stream.write_all(head.as_bytes()).await?;
                for _ in 1..BODY_BYTES / PIECE_BYTES {
                    stream.write_all(&[b'x'; PIECE_BYTES]).await?;
                    tokio::time::sleep(PIECE_INTERVAL).await;
                }
            }
        }
        while stream.read(&mut [0; 512]).await? > 0 {}
        Ok(())
    }
}

/// Opens connections again and again until the task is aborted.
async fn misuse(to: SocketAddr, number: u64) {
    loop {
        // The ingress may close or reset a connection at any time.
        let _ = Misuse::of(number).run_connection(to, number).await;
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Sends unsound requests on one connection as fast as the ingress reads them.
async fn flood(to: SocketAddr) {
    let unsound = "GET /api HTTP/1.1\r\nHost: a\r\n\r\n".repeat(FLOOD_BATCH);
    loop {
        if let Ok(stream) = TcpStream::connect(to).await {
            let (mut reading, mut writing) = stream.into_split();
            let discard = async {
                let mut buffer = vec![0; 16 * 1024];
                while matches!(reading.read(&mut buffer).await, Ok(read) if read > 0) {}
            };
            let send = async { while writing.write_all(unsound.as_bytes()).await.is_ok() {} };
            tokio::select! {
                () = discard => {}
                () = send => {}
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Runs the crowd of these ingresses until the task is aborted.
pub(super) async fn run(ingresses: Vec<SocketAddr>) {
    let mut clients = JoinSet::new();
    for to in ingresses {
        clients.spawn(flood(to));
        for number in 0..CONNECTIONS {
            clients.spawn(misuse(to, number));
        }
    }
    while clients.join_next().await.is_some() {}
}
