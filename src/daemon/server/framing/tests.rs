use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{GuardedStream, RequestGuard};
use crate::server::client_socket::{MAX_DISCARDED_BYTES, MAX_PIPELINED_BYTES, READ_AHEAD_BYTES};
use crate::server::connection_table::{ClientConnection, ConnectionTable};

/// A guarded stream with a request whose response is pending, the state of its connection, and the client's end.
async fn awaiting_response() -> (GuardedStream, Arc<ClientConnection>, TcpStream) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (server, client) = tokio::join!(
        TcpStream::connect(listener.local_addr().unwrap()),
        listener.accept()
    );
    let permit = Arc::new(tokio::sync::Semaphore::new(1))
        .try_acquire_owned()
        .unwrap();
    let connection = Arc::<ConnectionTable>::default().insert(permit, Arc::default(), None);
    connection.begin_request();
    connection.await_response();
    let server = server.unwrap();
    connection.socket.attach(&server);
    (
        GuardedStream::new(server, RequestGuard::new(connection.clone(), None)),
        connection,
        client.unwrap().0,
    )
}

#[tokio::test]
async fn disconnect_is_detected_while_a_response_is_pending_and_pipelined_bytes_are_read_after_it()
{
    for pipelined_bytes in [0, 1, MAX_PIPELINED_BYTES] {
        let (mut guarded, connection, mut client) = awaiting_response().await;
        client
            .write_all(&vec![b'x'; pipelined_bytes])
            .await
            .unwrap();
        client.flush().await.unwrap();
        // While the response is pending the pipelined bytes are not returned, but the end of the stream after them is: a
        // read of 0 bytes.
        let (mut chunk, mut read) = (vec![0; MAX_PIPELINED_BYTES], 0);
        drop(client);
        assert_eq!(
            guarded.read(&mut chunk).await.unwrap(),
            0,
            "{pipelined_bytes} bytes"
        );
        connection.await_request();
        while read < pipelined_bytes {
            let more = guarded.read(&mut chunk[read..]).await.unwrap();
            assert!(more > 0, "{pipelined_bytes} bytes");
            read += more;
        }
        assert!(!connection.has_unread_input() && guarded.read(&mut [0; 1]).await.unwrap() == 0);
    }
}

#[tokio::test]
async fn more_bytes_than_are_stored_are_not_read_as_a_request() {
    let (mut guarded, connection, mut client) = awaiting_response().await;
    client
        .write_all(&vec![b'x'; MAX_PIPELINED_BYTES + 1])
        .await
        .unwrap();
    drop(client);
    assert_eq!(guarded.read(&mut [0; 64]).await.unwrap(), 0);
    assert!(
        connection.has_unread_input(),
        "the connection has to close after its response"
    );
    connection.await_request();
    assert_eq!(
        guarded.read(&mut [0; 64]).await.unwrap(),
        0,
        "stored bytes were read as a request"
    );
}

#[tokio::test]
async fn flood_behind_a_request_is_read_up_to_a_bound() {
    let (mut guarded, connection, mut client) = awaiting_response().await;
    let flood = tokio::spawn(async move {
        let chunk = vec![b'x'; 64 * 1024];
        let mut sent = 0;
        while client.write_all(&chunk).await.is_ok() {
            sent += chunk.len();
        }
        sent
    });
    // The client never stops sending: unread input blocks it and takes no memory of this process.
    while connection.socket.discarded_bytes() < MAX_DISCARDED_BYTES {
        let mut one = [0; 1];
        let read =
            tokio::time::timeout(std::time::Duration::from_millis(10), guarded.read(&mut one));
        assert!(
            read.await.is_err(),
            "neither the end nor a byte is returned"
        );
    }
    let socket = &connection.socket;
    let (read, stored) = (socket.discarded_bytes(), socket.stored_capacity());
    assert!(tokio::time::timeout(
        std::time::Duration::from_millis(10),
        guarded.read(&mut [0; 1])
    )
    .await
    .is_err());
    assert!(
        socket.discarded_bytes() == read
            && read <= MAX_DISCARDED_BYTES + READ_AHEAD_BYTES
            && stored <= 2 * MAX_PIPELINED_BYTES
    );
    drop(guarded);
    assert!(flood.await.unwrap() > MAX_DISCARDED_BYTES);
}
