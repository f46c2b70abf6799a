//! Reads HTTP bodies into memory.

use std::error::Error;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;

/// Reads a body of at most `max_bytes` into one buffer, of which `capacity` bytes are allocated at first.
///
/// Frames are copied and dropped one by one: each refers to the whole buffer that it was read into, however short it is, so
/// that a body in small pieces would take many times its length if its frames were kept.
///
/// # Errors
///
/// The body's error, or that it is too long.
pub(crate) async fn read<B>(
    body: B,
    max_bytes: usize,
    capacity: usize,
) -> Result<Bytes, Box<dyn Error + Send + Sync>>
where
    B: Body + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut body = Limited::new(body, max_bytes);
    let mut received = BytesMut::with_capacity(capacity);
    while let Some(frame) = body.frame().await {
        let Ok(mut data) = frame?.into_data() else {
            continue;
        };
        while data.has_remaining() {
            let chunk = data.chunk();
            received.extend_from_slice(chunk);
            let copied = chunk.len();
            data.advance(copied);
        }
    }
    Ok(received.freeze())
}

#[cfg(test)]
mod tests;
