//! The part of HTTP/1.1 that the fakes need: one message at a time, without an HTTP library, so that a fake can delay any
//! byte.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum size of a head; the daemon sends smaller ones.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers.
const MAX_HEADERS: usize = 64;
/// End of a line.
const LINE_END: &[u8] = b"\r\n";
/// Maximum number of bytes per read.
const CHUNK_BYTES: usize = 8192;

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// Request line.
    Request {
        /// Method.
        method: String,
        /// Request target: path and query.
        target: String,
    },
    /// Status line.
    Response {
        /// Status code, in digits.
        status: String,
    },
}

/// A request or a response.
#[derive(Debug)]
pub struct Message {
    /// Request line or status line.
    pub start_line: StartLine,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body of the length in `Content-Length`, or the contents of a chunked body without its trailers.
    pub body: Vec<u8>,
}

impl Message {
    /// Status code of a response, in digits; empty for a request.
    pub fn status(&self) -> &str {
        match &self.start_line {
            StartLine::Response { status } => status,
            StartLine::Request { .. } => "",
        }
    }

    /// Target of a request; empty for a response.
    pub fn target(&self) -> &str {
        match &self.start_line {
            StartLine::Request { target, .. } => target,
            StartLine::Response { .. } => "",
        }
    }

    /// Value of the first header with this name, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(header, _)| header == name)?;
        Some(value)
    }

    /// Integer parameter in the query of a request.
    pub fn query(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find_map(|(key, value)| (key == name).then(|| value.parse().ok())?)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Kind of message to read.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Request, from a client.
    Request,
    /// Response, from a server.
    Response,
}

/// Reads one message; `None` if the stream ended before its first byte. `unread` keeps bytes that were read beyond it, for
/// the next call.
///
/// # Errors
///
/// I/O errors, the end of the stream within a message, and messages that cannot be parsed.
pub async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    unread: &mut Vec<u8>,
    kind: Kind,
) -> io::Result<Option<Message>> {
    let mut chunk = [0; CHUNK_BYTES];
    let (mut message, head_length) = loop {
        if let Some(parsed) = parse(unread, kind)? {
            break parsed;
        }
        if unread.len() > MAX_HEAD_BYTES {
            return Err(io::Error::other(format!(
                "message head is longer than {MAX_HEAD_BYTES} bytes"
            )));
        }
        match stream.read(&mut chunk).await? {
            0 if unread.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            length => unread.extend_from_slice(&chunk[..length]),
        }
    };
    let length = message.header("content-length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    unread.drain(..head_length);
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    message.body = if is_chunked {
        read_chunks(stream, unread).await?
    } else {
        read_exact(stream, unread, length).await?
    };
    Ok(Some(message))
}

/// Reads so many bytes.
async fn read_exact(
    stream: &mut (impl AsyncRead + Unpin),
    unread: &mut Vec<u8>,
    length: usize,
) -> io::Result<Vec<u8>> {
    while unread.len() < length {
        read_more(stream, unread).await?;
    }
    Ok(unread.drain(..length).collect())
}

async fn read_more(stream: &mut (impl AsyncRead + Unpin), unread: &mut Vec<u8>) -> io::Result<()> {
    let mut chunk = [0; CHUNK_BYTES];
    match stream.read(&mut chunk).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        length => {
            unread.extend_from_slice(&chunk[..length]);
            Ok(())
        }
    }
}

/// Reads the contents of a chunked body without trailers.
async fn read_chunks(
    stream: &mut (impl AsyncRead + Unpin),
    unread: &mut Vec<u8>,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let parsed = httparse::parse_chunk_size(unread)
            .map_err(|_| io::Error::other("invalid size of a chunk"))?;
        let httparse::Status::Complete((line_bytes, chunk_bytes)) = parsed else {
            read_more(stream, unread).await?;
            continue;
        };
        unread.drain(..line_bytes);
        let chunk_bytes = chunk_bytes as usize;
        let chunk = read_exact(stream, unread, chunk_bytes + LINE_END.len()).await?;
        if !chunk.ends_with(LINE_END) {
            return Err(io::Error::other("a chunk does not end with its line"));
        }
        body.extend_from_slice(&chunk[..chunk_bytes]);
        if chunk_bytes == 0 {
            return Ok(body);
        }
    }
}

/// Parses a head. Returns the message without its body, and the length of the head; `None` if the head is incomplete.
fn parse(bytes: &[u8], kind: Kind) -> io::Result<Option<(Message, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let invalid = |error: httparse::Error| io::Error::other(error.to_string());
    let (start_line, status, headers) = match kind {
        Kind::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let status = request.parse(bytes).map_err(invalid)?;
            let start_line = StartLine::Request {
                method: request.method.unwrap_or_default().to_string(),
                target: request.path.unwrap_or_default().to_string(),
            };
            (start_line, status, request.headers)
        }
        Kind::Response => {
            let mut response = httparse::Response::new(&mut headers);
            let status = response.parse(bytes).map_err(invalid)?;
            let start_line = StartLine::Response {
                status: response.code.unwrap_or(0).to_string(),
            };
            (start_line, status, response.headers)
        }
    };
    let httparse::Status::Complete(head_length) = status else {
        return Ok(None);
    };
    let header = |header: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(header.value).into_owned();
        (header.name.to_ascii_lowercase(), value)
    };
    let message = Message {
        start_line,
        headers: headers.iter().map(header).collect(),
        body: Vec::new(),
    };
    Ok(Some((message, head_length)))
}
