use std::io::Write;
use std::net::SocketAddr;
use std::time::Instant;

use tokio::net::TcpListener;

use super::*;

const WAIT: Duration = Duration::from_millis(100);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A client that has sent input.
fn client(address: SocketAddr) -> std::net::TcpStream {
    let mut client = std::net::TcpStream::connect(address).expect("a connection");
    client.write_all(b"GET").expect("written");
    client
}

/// Accepts the next connection, and tells how long its input has waited.
async fn accept(listener: &TcpListener) -> Option<Duration> {
    let (stream, _) = listener.accept().await.expect("a connection");
    wait_of_input(&stream)
}

/// Guards against deadlines that leave out the time that a connection waits until there is a permit for it.
#[tokio::test]
async fn connection_that_was_not_accepted_at_once_has_waited() {
    let (listener, address) = listen().await;
    let _clients = (client(address), client(address));
    tokio::time::sleep(WAIT).await;
    for _ in 0..2 {
        let waited = accept(&listener).await.expect("a wait");
        assert!(waited >= WAIT, "waited {waited:?}");
    }
}

/// Guards against requests that have just come and lose the time for which others have waited, while the queue is never
/// found empty.
#[tokio::test]
async fn connection_that_has_just_come_has_not_waited_while_others_are_in_the_queue() {
    let (listener, address) = listen().await;
    let _first = client(address);
    tokio::time::sleep(WAIT).await;
    let connected_at = Instant::now();
    let _last = client(address);
    let first = accept(&listener).await.expect("a wait");
    let last = accept(&listener).await.unwrap_or_default();
    let passed = connected_at.elapsed();
    assert!(first >= WAIT, "the first has waited {first:?}");
    assert!(last <= passed + WAIT / 2, "waited {last:?} of {passed:?}");
}

#[tokio::test]
async fn connection_without_input_has_no_request_that_has_waited() {
    let (listener, address) = listen().await;
    let _client = std::net::TcpStream::connect(address).expect("a connection");
    tokio::time::sleep(WAIT).await;
    assert_eq!(accept(&listener).await, None);
}

/// Guards against the wait of a connection being taken for that of its input.
#[tokio::test]
async fn input_that_comes_late_on_a_connection_that_has_waited_has_not_waited() {
    let (listener, address) = listen().await;
    let mut client = std::net::TcpStream::connect(address).expect("a connection");
    tokio::time::sleep(WAIT).await;
    let sent_at = Instant::now();
    client.write_all(b"GET").expect("written");
    let waited = accept(&listener).await.unwrap_or_default();
    let passed = sent_at.elapsed();
    assert!(
        waited <= passed + WAIT / 2,
        "waited {waited:?} of {passed:?}"
    );
}
