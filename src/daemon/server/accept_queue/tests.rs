use super::*;

const WAIT: Duration = Duration::from_millis(100);

/// Guards against deadlines that leave out the time that a connection waits until there is a permit for it.
#[tokio::test]
async fn connection_that_was_not_accepted_at_once_has_waited() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut queue = AcceptQueue::new(&listener);
    let connect = || TcpStream::connect(address);
    let (at_once, _first) = tokio::join!(queue.accept(), connect());
    let at_once = at_once.expect("a connection");
    let _clients = (connect().await, connect().await);
    tokio::time::sleep(WAIT).await;
    for _ in 0..2 {
        let waited = queue.accept().await.expect("a connection").waited;
        assert!(waited >= WAIT, "waited {waited:?}");
        assert!(waited > at_once.waited);
    }
    // Guards against requests that count as expired while connections come without a pause.
    let _clients = (connect().await, connect().await);
    tokio::time::sleep(2 * MAX_ASSUMED_WAIT).await;
    for _ in 0..2 {
        let waited = queue.accept().await.expect("a connection").waited;
        assert_eq!(waited, MAX_ASSUMED_WAIT);
    }
    let (at_once, _last) = tokio::join!(queue.accept(), connect());
    assert!(at_once.expect("a connection").waited < WAIT);
}

/// Guards against requests that have just come and lose the time for which others have waited, while the queue is never
/// found empty.
#[tokio::test]
async fn connection_that_has_just_come_has_not_waited_while_others_are_in_the_queue() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut queue = AcceptQueue::new(&listener);
    let _first = TcpStream::connect(address).await.expect("a connection");
    tokio::time::sleep(WAIT).await;
    let connected_at = Instant::now();
    let _last = TcpStream::connect(address).await.expect("a connection");
    let first = queue.accept().await.expect("a connection").waited;
    let last = queue.accept().await.expect("a connection").waited;
    let passed = connected_at.elapsed();
    assert!(first >= WAIT, "the first has waited {first:?}");
    assert!(last <= passed + WAIT / 2, "waited {last:?} of {passed:?}");
}
