use super::*;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn passed() -> ForwardedRequest {
    ForwardedRequest {
        method: hyper::Method::GET,
        target: "/api".parse().unwrap(),
        host: None,
        correlation_id: HeaderValue::from_static("0000000000000007"),
        content_type: None,
        idempotency_key: None,
        body: Bytes::new(),
        _body_permit: None,
        client: Arc::downgrade(&ASKER),
    }
}

/// One that stays.
static ASKER: std::sync::LazyLock<Arc<()>> = std::sync::LazyLock::new(Arc::default);

fn limits() -> Limits {
    let second = Duration::from_secs(1);
    Limits {
        dial: 20 * second,
        idle: second,
    }
}

/// One attempt at an address, on an instance that may have been told to drain; given up after far longer than it
/// takes.
async fn attempt(endpoint: SocketAddr, draining: bool) -> Option<Outcome> {
    attempt_of(passed(), endpoint, draining).await
}

async fn attempt_of(
    passed: ForwardedRequest,
    endpoint: SocketAddr,
    draining: bool,
) -> Option<Outcome> {
    let limits = limits();
    let place = Pooled::Place(Arc::new(Semaphore::new(1)).try_acquire_owned().unwrap());
    let instance = Instance::new(endpoint);
    instance.state().draining = draining;
    let until = Instant::now() + Duration::from_secs(20);
    let (ahead, begin) = (Arc::new(Semaphore::new(1 << 20)), oneshot::channel().0);
    let carried = Carried {
        pacing: None,
        ahead: &ahead,
        begin,
    };
    let made = make(
        &instance,
        &limits,
        carried,
        place,
        &passed,
        Due {
            until,
            write_by: None,
            again: None,
        },
    );
    tokio::time::timeout(Duration::from_secs(20), made)
        .await
        .expect("an end")
        .err()
}

/// One attempt that gets this for an answer; the rest of what the instance would see of the connection.
async fn answered(answer: &str) -> Option<Outcome> {
    let (listener, endpoint) = listen().await;
    let answers = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
        stream.write_all(answer.as_bytes()).await.unwrap();
        if answer.contains("Connection: close") || answer.starts_with("HTTP/1.0") {
            stream.shutdown().await.unwrap();
        }
        stream
    };
    // The connection stays open at its other end.
    let (outcome, _stream) = tokio::join!(attempt(endpoint, false), answers);
    outcome
}

#[tokio::test]
async fn an_answer_counts_only_if_it_is_whole_by_its_own_framing() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let good = [
        "Content-Length: 4\r\n\r\nfine",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
        "X-Backend-Load: util=many\r\nContent-Length: 4\r\n\r\nfine",
        "Content-Length: 4\r\n\r\nfine and more than belongs to it",
    ];
    for rest in good {
        assert_eq!(answered(&format!("{ok}{rest}")).await, None, "{rest}");
    }
    for head in [
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n",
    ] {
        assert_eq!(
            answered(&format!("{head}\r\nup to the end")).await,
            None,
            "{head}"
        );
    }
    let chunks = "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nfine\r\n0\r\nX-Trailer: x\r\n\r\n";
    assert_eq!(answered(&format!("{ok}{chunks}")).await, None);
    let ahead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    assert_eq!(answered(&format!("{ahead}{ok}{}", good[0])).await, None);
    let spoilt = [
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
    for rest in spoilt {
        assert_eq!(
            answered(&format!("{ok}{rest}")).await,
            Some(Outcome::ConnectionReset),
            "{rest}"
        );
    }
    let switched = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n";
    assert_eq!(answered(switched).await, Some(Outcome::ConnectionReset));
    assert_eq!(
        answered(&format!("{ok}X: {}", "x".repeat(HEAD_MOST))).await,
        Some(Outcome::ConnectionReset)
    );
    assert_eq!(answered("noise").await, Some(Outcome::ConnectionReset));
}

#[tokio::test]
async fn what_comes_on_an_idle_connection_is_no_answer_to_the_next_request() {
    let (listener, endpoint) = listen().await;
    let (limits, instance) = (limits(), Instance::new(endpoint));
    let (passed, until) = (passed(), Instant::now() + Duration::from_secs(20));
    let due = Due {
        until,
        write_by: None,
        again: None,
    };
    let pool = Arc::new(Semaphore::new(1));
    let answer = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let serve = async |body: &str| {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
        stream.write_all(answer(body).as_bytes()).await.unwrap();
        stream
    };
    let place = Pooled::Place(pool.clone().try_acquire_owned().unwrap());
    let ahead = Arc::new(Semaphore::new(1 << 20));
    let carried = || Carried {
        pacing: None,
        ahead: &ahead,
        begin: oneshot::channel().0,
    };
    let first = make(&instance, &limits, carried(), place, &passed, due);
    let (_, stream) = tokio::join!(first, serve("first"));
    // A second copy, which the reactor has not seen: nothing is awaited between.
    assert!(stream.try_write(answer("first").as_bytes()).unwrap() > 0);
    let idle = instance.state().idle.pop().unwrap();
    let second = make(
        &instance,
        &limits,
        carried(),
        Pooled::Idle(idle),
        &passed,
        due,
    );
    let served = async { tokio::join!(second, serve("second")).0 };
    let second = tokio::time::timeout(Duration::from_secs(20), served)
        .await
        .expect("a new connection");
    assert!(matches!(second.ok().unwrap().2, ResponseBody::Buffered(body) if body == "second"));
    // The one place went from the old connection to the new one.
    assert_eq!(pool.available_permits(), 0);
    instance.state().idle.clear();
    assert_eq!(pool.available_permits(), 1);
}

async fn listen() -> (tokio::net::TcpListener, SocketAddr) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = listener.local_addr().unwrap();
    (listener, endpoint)
}

#[tokio::test]
async fn a_drain_told_while_an_attempt_dials_keeps_it_from_being_written() {
    let (listener, endpoint) = listen().await;
    assert_eq!(attempt(endpoint, true).await, Some(Outcome::Overloaded));
    // The connection came up, and ended without a byte.
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    assert!(bytes.is_empty());
}

#[tokio::test]
async fn an_attempt_whose_service_client_left_while_it_dialled_is_not_written() {
    let (listener, endpoint) = listen().await;
    let gone = ForwardedRequest {
        client: std::sync::Weak::new(),
        ..passed()
    };
    assert_eq!(
        attempt_of(gone, endpoint, false).await,
        Some(Outcome::NotSent)
    );
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    assert!(bytes.is_empty());
}

#[tokio::test]
async fn what_was_written_may_have_run_and_what_found_no_connection_never_did() {
    let (listener, endpoint) = listen().await;
    let breaks = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let read = stream.read(&mut [0; 1024]).await.unwrap();
        assert!(read > 0);
    };
    let (outcome, ()) = tokio::join!(attempt(endpoint, false), breaks);
    assert_eq!(outcome, Some(Outcome::ConnectionReset));
    drop(listener);
    assert_eq!(attempt(endpoint, false).await, Some(Outcome::ConnectFailed));
}

#[tokio::test]
async fn an_answer_that_begins_and_ends_at_one_go_is_passed_on_whole() {
    let (listener, endpoint) = listen().await;
    let (queue, mut inbox) = mpsc::channel(8);
    let facts = crate::config::platform::Config::sample().facts;
    // No room to read ahead: passed on from its first piece.
    let mut pool = ConnectionPool::new(
        &facts,
        PoolLimits {
            connections: 1,
            prefetch_bytes: 0,
        },
        Clock::start(),
        crate::server::slow_peers::none(),
        queue,
    );
    let member = applewall::api::Endpoint {
        id: "s-1".into(),
        state: EndpointState::Ready,
        ..Default::default()
    };
    pool.update(
        EndpointUpdateKind::Snapshot,
        &[EndpointEntry {
            endpoint: member,
            address: endpoint,
        }],
    );
    let until = Instant::now() + Duration::from_secs(30);
    let (request, passed) = (RequestId(7), Arc::new(passed()));
    let attempt = Attempt {
        request,
        number: 0,
        endpoint: "s-1".into(),
        forwarded: passed,
        until,
        write_by: None,
        retry_until: None,
    };
    let _cancel = pool.start(attempt).ok().unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream
        .write_all(format!("{head}4\r\nfine\r\n0\r\n\r\n").as_bytes())
        .await
        .unwrap();
    let Some(Message::AttemptEnded(ended)) = inbox.recv().await else {
        panic!("no report")
    };
    let body = match ended.response.expect("served").body {
        ResponseBody::Buffered(body) => body,
        ResponseBody::Streaming(flow) => flow.collect().await.unwrap().to_bytes(),
    };
    assert_eq!(body, "fine");
}

#[tokio::test]
async fn without_a_place_an_attempt_is_not_sent_and_places_come_back() {
    let (_listener, endpoint) = listen().await;
    let (queue, mut inbox) = mpsc::channel(8);
    let facts = crate::config::platform::Config::sample().facts;
    let mut pool = ConnectionPool::new(
        &facts,
        PoolLimits {
            connections: 1,
            prefetch_bytes: 0,
        },
        Clock::start(),
        crate::server::slow_peers::none(),
        queue,
    );
    let member = applewall::api::Endpoint {
        id: "s-1".into(),
        state: EndpointState::Ready,
        ..Default::default()
    };
    pool.update(
        EndpointUpdateKind::Snapshot,
        &[EndpointEntry {
            endpoint: member,
            address: endpoint,
        }],
    );
    let attempt = |number| Attempt {
        request: RequestId(7),
        number,
        endpoint: "s-1".into(),
        forwarded: Arc::new(passed()),
        until: Instant::now() + Duration::from_secs(30),
        write_by: None,
        retry_until: None,
    };
    let cancel = pool.start(attempt(0)).ok().unwrap();
    assert!(pool.start(attempt(1)).is_err());
    drop(cancel);
    let Some(Message::AttemptEnded(ended)) = inbox.recv().await else {
        panic!("no report")
    };
    assert_eq!((ended.attempt, ended.outcome), (0, Outcome::Cancelled));
    assert!(pool.start(attempt(1)).is_ok());
}
