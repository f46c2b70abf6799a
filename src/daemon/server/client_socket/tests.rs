use std::io::Write;

use tokio::io::ReadBuf;
use tokio::net::{TcpListener, TcpStream};

use super::{ClientSocket, MAX_DISCARDED_BYTES, MAX_PIPELINED_BYTES};

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
    let mut taken = [0; 8];
    let mut buffer = ReadBuf::new(&mut taken);
    socket.take_pipelined(&mut buffer);
    assert_eq!(buffer.filled(), b"GET");
    assert!(!socket.has_pipelined_input());
}

/// Guards against a disconnect that is hidden by the bytes before it.
#[tokio::test]
async fn disconnect_behind_unread_bytes_is_detected() {
    for unread_bytes in [1, MAX_PIPELINED_BYTES, MAX_PIPELINED_BYTES + 1] {
        let (mut client, stream) = connection().await;
        let socket = ClientSocket::default();
        socket.attach(&stream);
        client.write_all(&vec![b'x'; unread_bytes]).expect("sent");
        drop(client);
        assert!(socket.is_closed(), "{unread_bytes} bytes");
    }
}

/// Guards against attempts for a client whose disconnect lies behind more bytes than are read ahead.
#[tokio::test]
async fn client_whose_disconnect_can_no_longer_be_detected_counts_as_closed() {
    let (mut client, stream) = connection().await;
    let socket = ClientSocket::default();
    socket.attach(&stream);
    let flood = std::thread::spawn(move || {
        // Fails once the daemon's end is closed.
        let _ = client.write_all(&vec![b'x'; 4 * MAX_DISCARDED_BYTES]);
        client
    });
    while !socket.is_closed() {
        tokio::task::yield_now().await;
    }
    assert!(socket.discarded_bytes() >= MAX_DISCARDED_BYTES);
    drop(stream);
    drop(flood.join().expect("the client does not panic"));
}
