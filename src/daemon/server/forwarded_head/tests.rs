use bytes::Bytes;
use hyper::header::{HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Request, Uri};

use super::copy;

/// A head that was read into one buffer.
const HEAD: &[u8] = b"/api?x=1 example.org 0000000000000007 text/plain key";

/// The part of the buffer that holds this text, sharing its memory.
fn part(buffer: &Bytes, text: &str) -> Bytes {
    let at = HEAD
        .windows(text.len())
        .position(|window| window == text.as_bytes())
        .unwrap();
    buffer.slice(at..at + text.len())
}

fn value(buffer: &Bytes, text: &str) -> HeaderValue {
    HeaderValue::from_maybe_shared(part(buffer, text)).unwrap()
}

/// Guards against a request that keeps the buffer of its whole head.
#[test]
fn copied_head_does_not_keep_the_buffer_that_it_was_read_into() {
    let buffer = Bytes::from(HEAD.to_vec());
    let mut request = Request::new(());
    *request.uri_mut() = Uri::from_maybe_shared(part(&buffer, "/api?x=1")).unwrap();
    let headers = request.headers_mut();
    headers.insert(HOST, value(&buffer, "example.org"));
    headers.insert("x-correlation-id", value(&buffer, "0000000000000007"));
    headers.insert(CONTENT_TYPE, value(&buffer, "text/plain"));
    headers.insert("idempotency-key", value(&buffer, "key"));
    let copied = copy(request.into_parts().0).expect("a valid head");
    assert_eq!(copied.target, "/api?x=1");
    assert_eq!(copied.host.as_ref().unwrap(), "example.org");
    assert_eq!(copied.correlation_id, "0000000000000007");
    assert_eq!(copied.content_type.as_ref().unwrap(), "text/plain");
    assert_eq!(copied.idempotency_key.as_ref().unwrap(), "key");
    assert!(buffer.is_unique(), "the copied head refers to the buffer");
}
