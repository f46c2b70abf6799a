//! As much of HTTP/1.1 as scripts need: one message at a time, by hand, so that any byte can be withheld.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// A head is no longer than this.
const HEAD_MOST: usize = 16 * 1024;

/// One message that was read: its first line's parts, its headers in lower case, its body.
#[derive(Debug, Default)]
pub struct Message {
    /// Method and target of a request; status as text and nothing of an answer.
    pub first: (String, String),
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    /// As its length says; chunked ones are not read by stand-ins.
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of that name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// A whole number in a request's query.
    pub fn query(&self, name: &str) -> Option<u64> {
        let (_, query) = self.first.1.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find_map(|(n, value)| (n == name).then(|| value.parse().ok())?)
    }

    /// True where the other side closes after it.
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Which kind is read.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// From a client.
    Request,
    /// From a server.
    Response,
}

/// Reads one message; none where the stream ended before its first byte. `rest` holds what was read beyond it.
///
/// # Errors
///
/// What the stream says, an end inside a message, and what cannot be read.
pub async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    rest: &mut Vec<u8>,
    kind: Kind,
) -> io::Result<Option<Message>> {
    let mut piece = [0; 8192];
    let (mut message, head) = loop {
        if let Some(parsed) = parse(rest, kind)? {
            break parsed;
        }
        if rest.len() > HEAD_MOST {
            return Err(io::Error::other("a head without end"));
        }
        match stream.read(&mut piece).await? {
            0 if rest.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => rest.extend_from_slice(&piece[..n]),
        }
    };
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    rest.drain(..head);
    while rest.len() < length {
        match stream.read(&mut piece).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => rest.extend_from_slice(&piece[..n]),
        }
    }
    message.body = rest.drain(..length).collect();
    Ok(Some(message))
}

fn parse(bytes: &[u8], kind: Kind) -> io::Result<Option<(Message, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let wrong = |e: httparse::Error| io::Error::other(e.to_string());
    let (first, head, headers) = match kind {
        Kind::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let httparse::Status::Complete(head) = request.parse(bytes).map_err(wrong)? else {
                return Ok(None);
            };
            let part = |part: Option<&str>| part.unwrap_or_default().to_string();
            (
                (part(request.method), part(request.path)),
                head,
                request.headers,
            )
        }
        Kind::Response => {
            let mut answer = httparse::Response::new(&mut headers);
            let httparse::Status::Complete(head) = answer.parse(bytes).map_err(wrong)? else {
                return Ok(None);
            };
            (
                (answer.code.unwrap_or(0).to_string(), String::new()),
                head,
                answer.headers,
            )
        }
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = headers
        .iter()
        .map(|h| (h.name.to_ascii_lowercase(), text(h.value)))
        .collect();
    Ok(Some((
        Message {
            first,
            headers,
            body: Vec::new(),
        },
        head,
    )))
}
