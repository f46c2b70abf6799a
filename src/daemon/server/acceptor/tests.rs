use std::sync::Arc;
use std::time::Duration;

use applewall_admin::LifecyclePhase;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit};

use super::{Acceptor, Dependencies};
use crate::clock::Clock;
use crate::config::platform::PlatformConfig;
use crate::lifecycle::process_role::{ProcessRole, ProcessStatus};
use crate::server::connection_table::ClientConnection;
use crate::server::listener::listen;

fn acceptor() -> Acceptor {
    let (phase, phases) = watch::channel(LifecyclePhase::Serving);
    // In the daemon, the sender of the phases lives as long as the process.
    std::mem::forget(phase);
    acceptor_with_phases(phases)
}

fn acceptor_with_phases(phases: watch::Receiver<LifecyclePhase>) -> Acceptor {
    let mut config = PlatformConfig::sample();
    config.max_descriptors = 64;
    let (queue, _) = mpsc::channel(8);
    let permits = config.connection_budget().client_permits();
    let (role, role_receiver) = watch::channel(ProcessRole::Active);
    std::mem::forget(role);
    let status = ProcessStatus {
        role: role_receiver,
        shutdown_times: Arc::default(),
    };
    let dependencies = Dependencies {
        clock: Clock::start(),
        permits,
        monitors: crate::server::slow_peers::disabled(),
        queue,
        phases,
        has_endpoint_list: watch::channel(true).1,
        status,
    };
    Acceptor::new(&config, dependencies)
}

impl Acceptor {
    fn free_permit(&self) -> OwnedSemaphorePermit {
        let permits = self.admission.permits.clone();
        permits.try_acquire_owned().expect("a permit")
    }

    /// Adds connections without a socket that await their first request.
    fn insert(&self, count: usize) -> Vec<Arc<ClientConnection>> {
        let table = &self.admission.table;
        (0..count)
            .map(|_| table.insert(self.free_permit(), Arc::default(), None))
            .collect()
    }

    /// Evicts the only connection that awaits a request.
    fn evict(&self) {
        assert!(
            self.admission.evict_one(Duration::ZERO),
            "the only connection is evicted"
        );
    }

    /// Serves a new connection and returns the client's end.
    async fn connection(&self) -> TcpStream {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let client = TcpStream::connect(listener.local_addr().expect("an address"));
        let (client, accepted) = tokio::join!(client, listener.accept());
        let (stream, address) = accepted.expect("a connection");
        self.serve_connection(stream, address, self.free_permit());
        client.expect("a connection")
    }
}

#[tokio::test]
async fn idle_connections_are_evicted_before_all_permits_are_taken() {
    let acceptor = acceptor();
    let mut idle = acceptor.insert(acceptor.admission.budget.clients * 3 / 4);
    idle[1].begin_request();
    idle[1].await_request();
    let _client = acceptor.connection().await;
    // The other connections are within their grace period: an idle connection that had a request is evicted before
    // them.
    let evicted = idle.remove(1);
    let evicted = tokio::time::timeout(Duration::from_secs(30), evicted.evicted.notified()).await;
    assert!(
        evicted.is_ok(),
        "no idle connection was evicted before all permits were taken"
    );
}

#[tokio::test]
async fn new_connection_is_rejected_at_once_if_all_others_are_busy() {
    let acceptor = acceptor();
    let busy = acceptor.insert(acceptor.admission.budget.clients);
    busy.iter()
        .for_each(|connection| connection.begin_request());
    let (mut client, mut response) = (acceptor.connection().await, String::new());
    client
        .write_all(b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .expect("request sent");
    client
        .read_to_string(&mut response)
        .await
        .expect("a response and the end of the connection");
    assert!(
        response.starts_with("HTTP/1.1 503 ") && response.contains("retry-after: 0.200\r\n"),
        "{response}"
    );
    // Its permit has been released.
    let spare = acceptor
        .admission
        .permits
        .acquire_many(acceptor.admission.budget.spare as u32);
    drop(
        tokio::time::timeout(Duration::from_secs(30), spare)
            .await
            .expect("permits are released in time")
            .expect("the semaphore stays open"),
    );
}

/// Guards against losing connections in the kernel's accept queue when the listener closes. The reactor has not noticed
/// the three connections, since nothing is awaited in between.
#[tokio::test]
async fn connection_accepted_by_the_kernel_is_served_after_the_listener_closes_even_without_a_free_permit(
) {
    for no_free_permit in [false, true] {
        let acceptor = acceptor();
        let mut address = "127.0.0.1:0".parse().expect("an address");
        let listener = listen(&mut address, 16).await.expect("a listener");
        let mut clients: Vec<_> = (0..3)
            .map(|_| std::net::TcpStream::connect(address).expect("accepted by the kernel"))
            .collect();
        let all = (acceptor.admission.budget.clients + acceptor.admission.budget.spare) as u32;
        let held = no_free_permit.then(|| {
            acceptor
                .admission
                .permits
                .clone()
                .try_acquire_many_owned(all)
                .expect("all permits are free")
        });
        let release = async {
            tokio::task::yield_now().await;
            drop(held);
        };
        tokio::join!(acceptor.drain_accept_queue(listener), release);
        assert!(
            std::net::TcpStream::connect(address).is_err(),
            "the listener is closed"
        );
        for client in &mut clients {
            let (stream, mut start) = (client.try_clone().expect("a copy"), [0; 12]);
            std::io::Write::write_all(client, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                .expect("request sent");
            stream.set_nonblocking(true).expect("set blocking mode");
            let mut stream = TcpStream::from_std(stream).expect("a stream");
            let read = tokio::time::timeout(Duration::from_secs(30), stream.read_exact(&mut start));
            read.await
                .expect("a response in time")
                .expect("a response, and no reset");
            assert_eq!(&start, b"HTTP/1.1 200");
        }
    }
}

/// Reads until the server closes the connection.
async fn read_to_end(client: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let read = client.read_to_end(&mut response);
    let read = tokio::time::timeout(Duration::from_secs(30), read).await;
    read.expect("the connection ends in time")
        .expect("no reset");
    String::from_utf8(response).expect("text")
}

/// Guards against closing a connection whose request is already in the kernel's buffer. The connection's task has not
/// run before the eviction, so the reactor has not noticed the request.
#[tokio::test]
async fn evicted_new_connection_whose_request_has_arrived_is_rejected_and_not_closed_without_an_answer(
) {
    let acceptor = acceptor();
    let mut address = "127.0.0.1:0".parse().expect("an address");
    let listener = listen(&mut address, 16).await.expect("a listener");
    let mut client = std::net::TcpStream::connect(address).expect("accepted by the kernel");
    std::io::Write::write_all(&mut client, b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("request sent");
    let listener = listener.into_std().expect("a listener");
    listener.set_nonblocking(false).expect("set blocking mode");
    let (stream, address) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("set blocking mode");
    let stream = TcpStream::from_std(stream).expect("a stream");
    acceptor.serve_connection(stream, address, acceptor.free_permit());
    acceptor.evict();
    client.set_nonblocking(true).expect("set blocking mode");
    let mut client = TcpStream::from_std(client).expect("a stream");
    let response = read_to_end(&mut client).await;
    assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
    assert!(response.contains("retry-after: 0.200\r\n"), "{response:?}");
}

#[tokio::test]
async fn evicted_connection_whose_head_has_arrived_in_part_is_rejected() {
    let acceptor = acceptor();
    let mut client = acceptor.connection().await;
    client
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\nGET /ap")
        .await
        .expect("request sent");
    let mut first = [0; 12];
    client.read_exact(&mut first).await.expect("a response");
    assert_eq!(&first, b"HTTP/1.1 200");
    acceptor.evict();
    let rest = read_to_end(&mut client).await;
    assert!(rest.contains("HTTP/1.1 503 "), "{rest:?}");
}

/// A client that finds its used connection closed sends its request once more, so nothing has to be written.
#[tokio::test]
async fn evicted_idle_connection_that_had_a_request_is_closed_without_another_byte() {
    let acceptor = acceptor();
    let mut client = acceptor.connection().await;
    client
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .expect("request sent");
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n\r\n") {
        response.push(client.read_u8().await.expect("a response"));
    }
    assert!(response.starts_with(b"HTTP/1.1 200 "), "{response:?}");
    acceptor.evict();
    assert_eq!(read_to_end(&mut client).await, "");
}

/// Sends the first request of a connection once the server has closed it, without reading anything before, as a client
/// does whose request crosses the close. Expects a single rejection and the end of the connection.
async fn expect_rejection_across_close(mut client: TcpStream) {
    let closed = tokio::time::timeout(Duration::from_secs(30), client.readable());
    closed
        .await
        .expect("the server closes the connection in time")
        .expect("no reset");
    client
        .write_all(b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .expect("request sent");
    let response = read_to_end(&mut client).await;
    assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
    assert!(response.contains("retry-after: 0.200\r\n"), "{response:?}");
    assert!(response.ends_with("\r\n\r\n"), "{response:?}");
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response:?}");
}

#[tokio::test]
async fn first_request_that_crosses_an_eviction_is_rejected_and_not_lost() {
    let acceptor = acceptor();
    let client = acceptor.connection().await;
    acceptor.evict();
    expect_rejection_across_close(client).await;
}

#[tokio::test]
async fn first_request_that_crosses_an_idle_close_is_rejected_and_not_lost() {
    let acceptor = acceptor();
    let client = acceptor.connection().await;
    expect_rejection_across_close(client).await;
}

#[tokio::test]
async fn first_request_that_crosses_the_close_of_a_shutdown_is_rejected_and_not_lost() {
    let (phase, phases) = watch::channel(LifecyclePhase::Terminating);
    let acceptor = acceptor_with_phases(phases);
    let client = acceptor.connection().await;
    phase.send_replace(LifecyclePhase::Closing);
    expect_rejection_across_close(client).await;
}

/// Guards against closing a connection whose client connected right before the process began to close idle connections,
/// and has not sent its request yet.
#[tokio::test]
async fn new_connection_gets_its_answer_although_the_process_begins_to_close_idle_ones() {
    let (phase, phases) = watch::channel(LifecyclePhase::Terminating);
    let acceptor = acceptor_with_phases(phases);
    let mut client = acceptor.connection().await;
    phase.send_replace(LifecyclePhase::Closing);
    // The connection's task sees the new phase before the client sends its request.
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    client
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .expect("request sent");
    let response = read_to_end(&mut client).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response:?}");
}

/// Requests that one client writes at once.
const FLOOD_REQUESTS: usize = 4_000;
/// Exchanges of another client meanwhile.
const OTHER_EXCHANGES: usize = 20;
/// Most requests of the flood that are answered for each exchange of the other client: hyper handles up to 16 before it
/// yields.
const MAX_FLOOD_RESPONSES_PER_EXCHANGE: usize = 20;

/// Guards against one client that keeps all others waiting by requests that are answered without an endpoint. Counts
/// responses in place of time.
#[tokio::test]
async fn other_clients_are_answered_between_the_requests_of_a_flood_on_one_connection() {
    for request in ["GET /healthz HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"] {
        let acceptor = acceptor();
        let mut flood = acceptor.connection().await;
        let mut other = acceptor.connection().await;
        let requests = request.repeat(FLOOD_REQUESTS);
        flood.write_all(requests.as_bytes()).await.expect("sent");
        for _ in 0..OTHER_EXCHANGES {
            other.write_all(request.as_bytes()).await.expect("sent");
            let mut byte = [0];
            other.read_exact(&mut byte).await.expect("a response");
            other.readable().await.expect("the rest of the response");
            while matches!(other.try_read(&mut [0; 512]), Ok(read) if read > 0) {}
        }
        let mut responses = vec![0; 4 * requests.len()];
        let mut read = 0;
        while let Ok(more) = flood.try_read(&mut responses[read..]) {
            read += more;
        }
        let text = String::from_utf8_lossy(&responses[..read]);
        let answered = text.matches("HTTP/1.1").count();
        assert!(
            (1..=OTHER_EXCHANGES * MAX_FLOOD_RESPONSES_PER_EXCHANGE).contains(&answered),
            "{request:?}: {answered} requests of the flood answered during {OTHER_EXCHANGES} exchanges"
        );
    }
}
