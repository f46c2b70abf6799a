use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, LazyLock, Weak};
use std::time::{Duration, Instant};

use applewall::api::Outcome;
use bytes::Bytes;
use hyper::header::HeaderValue;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, Semaphore};

use super::Exchange;
use crate::engine::message::{ClientPresence, ForwardedHead, ForwardedRequest};
use crate::server::client_socket::ClientSocket;
use crate::server::response::ResponseBody;
use crate::upstream::connection::MAX_HEAD_BYTES;
use crate::upstream::context::AttemptContext;
use crate::upstream::deadlines::AttemptDeadlines;
use crate::upstream::endpoint::{ConnectionLease, Timeouts, UpstreamEndpoint};

/// A request whose client stays connected.
pub(in crate::upstream) fn forwarded() -> ForwardedRequest {
    ForwardedRequest {
        head: ForwardedHead {
            method: hyper::Method::GET,
            target: "/api".parse().unwrap(),
            host: None,
            correlation_id: HeaderValue::from_static("0000000000000007"),
            content_type: None,
            idempotency_key: None,
        },
        body: Bytes::new(),
        _body_permit: None,
        client: ClientPresence::from_service(Arc::downgrade(&CLIENT)),
    }
}

/// A client that stays connected.
static CLIENT: LazyLock<Arc<()>> = LazyLock::new(Arc::default);

/// The context of an attempt at this endpoint, whose report is discarded.
fn context(endpoint: UpstreamEndpoint) -> AttemptContext {
    let second = Duration::from_secs(1);
    AttemptContext {
        endpoint: Arc::new(endpoint),
        timeouts: Arc::new(Timeouts {
            connect: 20 * second,
            idle: second,
        }),
        load_report_fields: Arc::default(),
        response_monitor: None,
        prefetch: Arc::new(Semaphore::new(1 << 20)),
        queue: mpsc::channel(1).0,
    }
}

fn deadlines() -> AttemptDeadlines {
    let response_by = Instant::now() + Duration::from_secs(20);
    AttemptDeadlines {
        response_by,
        last_response_by: response_by,
        first_byte_by: None,
        allows_retry: false,
    }
}

/// The outcome of one attempt at an address whose endpoint may be draining. The timeout is far longer than an attempt
/// takes.
async fn attempt(address: SocketAddr, draining: bool) -> Option<Outcome> {
    attempt_of(forwarded(), address, draining).await
}

async fn attempt_of(
    forwarded: ForwardedRequest,
    address: SocketAddr,
    draining: bool,
) -> Option<Outcome> {
    let permit = Arc::new(Semaphore::new(1)).try_acquire_owned().unwrap();
    let endpoint = UpstreamEndpoint::new(address);
    endpoint.lock().draining = draining;
    let exchange = Exchange {
        context: &context(endpoint),
        forwarded: &forwarded,
        deadlines: deadlines(),
        long_response_begun: &AtomicBool::new(false),
    };
    let exchange = exchange.run(ConnectionLease::Permit(permit), oneshot::channel().0);
    tokio::time::timeout(Duration::from_secs(20), exchange)
        .await
        .expect("the exchange ends in time")
        .err()
}

/// The outcome of an attempt that gets this response.
async fn outcome_of(response: &str) -> Option<Outcome> {
    let (listener, address) = listen().await;
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
        stream.write_all(response.as_bytes()).await.unwrap();
        if response.contains("Connection: close") || response.starts_with("HTTP/1.0") {
            stream.shutdown().await.unwrap();
        }
        stream
    };
    // The server keeps its end of the connection open.
    let (outcome, _stream) = tokio::join!(attempt(address, false), serve);
    outcome
}

#[tokio::test]
async fn response_counts_only_if_it_is_complete_by_its_own_framing() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let good = [
        "Content-Length: 4\r\n\r\nfine",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
        "X-Backend-Load: util=many\r\nContent-Length: 4\r\n\r\nfine",
        "Content-Length: 4\r\n\r\nfine and more than belongs to it",
    ];
    for rest in good {
        assert_eq!(outcome_of(&format!("{ok}{rest}")).await, None, "{rest}");
    }
    for head in [
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n",
    ] {
        assert_eq!(
            outcome_of(&format!("{head}\r\nup to the end")).await,
            None,
            "{head}"
        );
    }
    let chunks = "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nfine\r\n0\r\nX-Trailer: x\r\n\r\n";
    assert_eq!(outcome_of(&format!("{ok}{chunks}")).await, None);
    let early = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    assert_eq!(outcome_of(&format!("{early}{ok}{}", good[0])).await, None);
    let invalid = [
        "\r\nno length, and no end",
        "Content-Length: 4\r\nContent-Length: 4\r\n\r\nfine",
        "Content-Length: 4\r\nContent-Length: 5\r\n\r\nfine",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
        "Content-Length: -4\r\n\r\nfine",
        "Content-Length: 3000000000\r\n\r\nand so on",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nfine\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip\r\n\r\nfine",
        "no header\r\n\r\n",
    ];
    for rest in invalid {
        assert_eq!(
            outcome_of(&format!("{ok}{rest}")).await,
            Some(Outcome::ConnectionReset),
            "{rest}"
        );
    }
    let switched = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n";
    assert_eq!(outcome_of(switched).await, Some(Outcome::ConnectionReset));
    assert_eq!(
        outcome_of(&format!("{ok}X: {}", "x".repeat(MAX_HEAD_BYTES))).await,
        Some(Outcome::ConnectionReset)
    );
    assert_eq!(outcome_of("noise").await, Some(Outcome::ConnectionReset));
}

#[tokio::test]
async fn bytes_received_on_an_idle_connection_are_no_response_to_the_next_request() {
    let (listener, address) = listen().await;
    let context = context(UpstreamEndpoint::new(address));
    let forwarded = forwarded();
    let exchange = Exchange {
        context: &context,
        forwarded: &forwarded,
        deadlines: deadlines(),
        long_response_begun: &AtomicBool::new(false),
    };
    let permits = Arc::new(Semaphore::new(1));
    let response = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let serve = async |body: &str| {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
        stream.write_all(response(body).as_bytes()).await.unwrap();
        stream
    };
    let permit = ConnectionLease::Permit(permits.clone().try_acquire_owned().unwrap());
    let first = exchange.run(permit, oneshot::channel().0);
    let (_, stream) = tokio::join!(first, serve("first"));
    // A second copy of the response, which the reactor has not noticed, since nothing is awaited in between.
    assert!(stream.try_write(response("first").as_bytes()).unwrap() > 0);
    let idle = context.endpoint.lock().idle.pop().unwrap();
    let second = exchange.run(ConnectionLease::Idle(idle), oneshot::channel().0);
    let served = async { tokio::join!(second, serve("second")).0 };
    let second = tokio::time::timeout(Duration::from_secs(20), served)
        .await
        .expect("a new connection");
    assert!(matches!(second.ok().unwrap().body, ResponseBody::Buffered(body) if body == "second"));
    // The only permit has passed from the old connection to the new one.
    assert_eq!(permits.available_permits(), 0);
    context.endpoint.lock().idle.clear();
    assert_eq!(permits.available_permits(), 1);
}

/// Guards against the body of a buffered response that counts against no limit while its client reads it slowly.
#[tokio::test]
async fn buffered_response_keeps_its_memory_permits_until_it_is_dropped() {
    let (listener, address) = listen().await;
    let context = context(UpstreamEndpoint::new(address));
    let available = context.prefetch.available_permits();
    let forwarded = forwarded();
    let exchange = Exchange {
        context: &context,
        forwarded: &forwarded,
        deadlines: deadlines(),
        long_response_begun: &AtomicBool::new(false),
    };
    let permit = Arc::new(Semaphore::new(1)).try_acquire_owned().unwrap();
    let run = exchange.run(ConnectionLease::Permit(permit), oneshot::channel().0);
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";
        stream.write_all(response).await.unwrap();
        stream
    };
    let (response, _stream) = tokio::join!(run, serve);
    let response = response.expect("a response");
    assert_eq!(context.prefetch.available_permits(), available - 4);
    drop(response);
    assert_eq!(context.prefetch.available_permits(), available);
}

/// A listener on a free port of the loopback interface.
pub(in crate::upstream) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = listener.local_addr().unwrap();
    (listener, endpoint)
}

#[tokio::test]
async fn request_is_not_written_if_the_endpoint_began_to_drain_during_the_dial() {
    let (listener, address) = listen().await;
    assert_eq!(
        attempt(address, true).await,
        Some(Outcome::NotSentRetryable)
    );
    // The connection was established and closed without a byte.
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    assert!(bytes.is_empty());
}

#[tokio::test]
async fn request_is_not_written_if_its_client_disconnected_during_the_dial() {
    let (listener, address) = listen().await;
    let disconnected = ForwardedRequest {
        client: ClientPresence::from_service(Weak::new()),
        ..forwarded()
    };
    assert_eq!(
        attempt_of(disconnected, address, false).await,
        Some(Outcome::NotSent)
    );
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    assert!(bytes.is_empty());
}

#[tokio::test]
async fn request_is_not_written_if_only_the_kernel_knows_that_its_client_disconnected() {
    let (clients, clients_address) = listen().await;
    let client = std::net::TcpStream::connect(clients_address).unwrap();
    let (stream, _) = clients.accept().await.unwrap();
    let socket = Arc::new(ClientSocket::default());
    socket.attach(&stream);
    let (listener, address) = listen().await;
    let leaving = ForwardedRequest {
        client: ClientPresence {
            waiting: Arc::downgrade(&CLIENT),
            socket,
        },
        ..forwarded()
    };
    drop(client);
    assert_eq!(
        attempt_of(leaving, address, false).await,
        Some(Outcome::NotSent)
    );
    drop(listener);
}

#[tokio::test]
async fn written_request_is_possibly_executed_and_one_without_connection_never() {
    let (listener, address) = listen().await;
    let breaks = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let read = stream.read(&mut [0; 1024]).await.unwrap();
        assert!(read > 0);
    };
    let (outcome, ()) = tokio::join!(attempt(address, false), breaks);
    assert_eq!(outcome, Some(Outcome::ConnectionReset));
    drop(listener);
    assert_eq!(attempt(address, false).await, Some(Outcome::ConnectFailed));
}
