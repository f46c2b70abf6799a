#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[test]
fn a_head_with_a_length_and_a_coding_is_found_however_it_comes() {
    let found = |text: &str| {
        let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
        let (mut whole, mut single) = (Heads::default(), Heads::default());
        let piecewise = bytes.into_iter().any(|b| single.ambiguous(b));
        assert_eq!(whole.ambiguous(text.as_bytes()), piecewise, "{text}");
        piecewise
    };
    let both = "POST / HTTP/1.1\r\ncontent-LENGTH: 4\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert!(found(both));
    assert!(found(
        "POST / HTTP/1.1\nTransfer-Encoding:chunked\nContent-Length:0\n\n"
    ));
    // Behind another request in the same packet, with and without a body.
    assert!(found(&format!("GET / HTTP/1.1\r\n\r\n{both}")));
    assert!(found(&format!(
        "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc{both}"
    )));
    // One of them alone is fine, and bodies are not heads.
    assert!(!found(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nContent-Length: 3\r\n"
    ));
    assert!(!found(
        "POST / HTTP/1.1\r\nContent-Length: 28\r\n\r\nTransfer-Encoding: chunked\r\nGET / HTTP/1.1\r\n\r\n"
    ));
    assert!(!found(&format!(
        "GET /{} HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "a".repeat(100)
    )));
}

/// A stream with its other end, and a command on it that has no answer yet.
async fn answering() -> (Guarded, Arc<Seat>, TcpStream) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (near, far) = tokio::join!(
        TcpStream::connect(listener.local_addr().unwrap()),
        listener.accept()
    );
    let place = Arc::new(tokio::sync::Semaphore::new(1))
        .try_acquire_owned()
        .unwrap();
    let seat =
        Arc::<crate::server::connection_table::Seats>::default().sit(place, Arc::default(), None);
    seat.begin();
    seat.answering();
    (
        Guarded::new(near.unwrap(), seat.clone(), None),
        seat,
        far.unwrap().0,
    )
}

#[tokio::test]
async fn behind_a_command_without_its_answer_the_end_is_found_and_what_is_kept_comes_after_it() {
    for many in [0, 1, AHEAD.0] {
        let (mut guarded, seat, mut far) = answering().await;
        far.write_all(&vec![b'x'; many]).await.unwrap();
        far.flush().await.unwrap();
        // Not read as anything while the answer is owed; the end behind it is.
        let (mut piece, mut read) = (vec![0; AHEAD.0], 0);
        drop(far);
        assert_eq!(guarded.read(&mut piece).await.unwrap(), 0, "{many} bytes");
        seat.wait();
        while read < many {
            let more = guarded.read(&mut piece[read..]).await.unwrap();
            assert!(more > 0, "{many} bytes");
            read += more;
        }
        assert!(!seat.unread() && guarded.read(&mut [0; 1]).await.unwrap() == 0);
    }
}

#[tokio::test]
async fn more_than_is_kept_is_read_as_no_command() {
    let (mut guarded, seat, mut far) = answering().await;
    far.write_all(&vec![b'x'; AHEAD.0 + 1]).await.unwrap();
    drop(far);
    assert_eq!(guarded.read(&mut [0; 64]).await.unwrap(), 0);
    assert!(seat.unread(), "the connection has to close with its answer");
    seat.wait();
    assert_eq!(
        guarded.read(&mut [0; 64]).await.unwrap(),
        0,
        "not even what was kept"
    );
}

#[tokio::test]
async fn a_flood_behind_a_command_is_not_read_without_end() {
    let (mut guarded, _seat, mut far) = answering().await;
    let flood = tokio::spawn(async move {
        let piece = vec![b'x'; 64 * 1024];
        let mut sent = 0;
        while far.write_all(&piece).await.is_ok() {
            sent += piece.len();
        }
        sent
    });
    // It never ends: what is not read holds the sender back, and no memory goes with it.
    while guarded.dropped < AHEAD.1 {
        let mut one = [0; 1];
        let read =
            tokio::time::timeout(std::time::Duration::from_millis(10), guarded.read(&mut one));
        assert!(read.await.is_err(), "no end, and no byte of it");
    }
    let (read, kept) = (guarded.dropped, guarded.ahead.capacity());
    assert!(tokio::time::timeout(
        std::time::Duration::from_millis(10),
        guarded.read(&mut [0; 1])
    )
    .await
    .is_err());
    assert!(guarded.dropped == read && read <= AHEAD.1 + 2048 && kept <= 2 * AHEAD.0);
    drop(guarded);
    assert!(flood.await.unwrap() > AHEAD.1);
}
