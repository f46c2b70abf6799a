use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use applewall::api::{Endpoint, EndpointState, EndpointUpdateKind, Outcome, RequestId};
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

use super::{ConnectionPool, PoolLimits};
use crate::clock::Clock;
use crate::config::platform::PlatformConfig;
use crate::engine::message::{EndpointEntry, Message};
use crate::server::response::ResponseBody;
use crate::server::slow_peers;
use crate::upstream::attempt::Attempt;
use crate::upstream::deadlines::AttemptDeadlines;
use crate::upstream::exchange::tests::{forwarded, listen};

fn deadlines() -> AttemptDeadlines {
    let response_by = Instant::now() + Duration::from_secs(30);
    AttemptDeadlines {
        response_by,
        last_response_by: response_by,
        first_byte_by: None,
        allows_retry: false,
    }
}

/// A pool with one endpoint, one connection permit and no memory for prefetching, so that responses are streamed from
/// their first chunk.
fn pool_of_one(address: SocketAddr, queue: mpsc::Sender<Message>) -> ConnectionPool {
    let settings = PlatformConfig::sample().settings;
    let limits = PoolLimits {
        connections: 1,
        prefetch_bytes: 0,
    };
    let monitors = slow_peers::disabled();
    let mut pool = ConnectionPool::new(&settings, limits, Clock::start(), monitors, queue);
    let endpoint = Endpoint {
        id: "s-1".into(),
        state: EndpointState::Ready,
        ..Default::default()
    };
    let entry = EndpointEntry { endpoint, address };
    pool.update(EndpointUpdateKind::Snapshot, &[entry]);
    pool
}

#[tokio::test]
async fn response_that_begins_and_ends_in_one_poll_is_forwarded_completely() {
    let (listener, address) = listen().await;
    let (queue, mut inbox) = mpsc::channel(8);
    let pool = pool_of_one(address, queue);
    let (request, forwarded) = (RequestId(7), Arc::new(forwarded()));
    let attempt = Attempt {
        request,
        number: 0,
        endpoint: "s-1".into(),
        forwarded,
        deadlines: deadlines(),
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
        panic!("the attempt did not report its end")
    };
    let body = match ended.response.expect("served").body {
        ResponseBody::Buffered(body) => body,
        ResponseBody::Streaming(streaming) => streaming.collect().await.unwrap().to_bytes(),
    };
    assert_eq!(body, "fine");
}

#[tokio::test]
async fn attempt_without_a_connection_permit_is_not_sent_and_permits_are_returned_once() {
    let (_listener, address) = listen().await;
    let (queue, mut inbox) = mpsc::channel(8);
    let pool = pool_of_one(address, queue);
    let attempt = |number| Attempt {
        request: RequestId(7),
        number,
        endpoint: "s-1".into(),
        forwarded: Arc::new(forwarded()),
        deadlines: deadlines(),
    };
    let cancel = pool.start(attempt(0)).ok().unwrap();
    assert!(pool.start(attempt(1)).is_err());
    drop(cancel);
    let Some(Message::AttemptEnded(ended)) = inbox.recv().await else {
        panic!("the attempt did not report its end")
    };
    assert_eq!((ended.attempt, ended.outcome), (0, Outcome::Cancelled));
    assert!(pool.start(attempt(1)).is_ok());
}
