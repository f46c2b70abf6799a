use std::io::Write;

use tokio::net::{TcpListener, TcpStream};

use super::ClientSocket;

/// The client's end and the daemon's end of a connection.
async fn connection() -> (std::net::TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let client = std::net::TcpStream::connect(address).expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    (client, stream)
}

#[tokio::test]
async fn disconnect_is_detected_before_the_reactor_runs() {
    let (client, stream) = connection().await;
    let socket = ClientSocket::default();
    assert!(!socket.is_closed(), "no stream yet");
    socket.attach(&stream);
    assert!(!socket.is_closed(), "open");
    drop(client);
    assert!(socket.is_closed(), "closed");
    socket.detach();
    drop(stream);
    assert!(!socket.is_closed(), "no stream any longer");
}

#[tokio::test]
async fn unread_bytes_do_not_count_as_a_disconnect() {
    let (mut client, stream) = connection().await;
    let socket = ClientSocket::default();
    socket.attach(&stream);
    client.write_all(b"GET").expect("request sent");
    assert!(!socket.is_closed());
}
