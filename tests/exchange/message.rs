//! HTTP messages as an exchange sends and records them.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::TcpStream;

use super::redaction::{redact_header, Addresses};

/// Recorded at the end of a connection.
const CONNECTION_END: &str = "  (end)\n";
/// Of a body of this length or more, only the length is recorded.
const MIN_LONG_BODY_BYTES: usize = 200;
const DEFAULT_REQUEST: &str =
    "GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: @id\r\n\
    X-Service-Class: limit-check\r\nX-Contract: shop\r\nX-Client-Id: 00000000b4d65521\r\n\
    X-Time-Left-Ms: 3000\r\nX-Metering: units=1,spread=2,first=0\r\n";

/// The default request with this id. A `header` that is not empty replaces the one of its name, or is added.
pub(crate) fn default_request(id: &str, header: &str) -> String {
    let mut head = DEFAULT_REQUEST.replace("@id", id);
    if let Some((name, _)) = header.split_once(": ") {
        head = head
            .lines()
            .filter(|line| !line.starts_with(&format!("{name}: ")))
            .map(|line| format!("{line}\r\n"))
            .collect();
        head += &format!("{header}\r\n");
    }
    head + "\r\n"
}

/// Expands the lines below a step to the bytes to send.
pub(crate) fn expand(lines: &[String], addresses: &Addresses) -> String {
    lines
        .iter()
        .map(|line| expand_line(&addresses.resolve(line)))
        .collect()
}

fn expand_line(line: &str) -> String {
    let repeated = line
        .strip_prefix("|*")
        .and_then(|rest| rest.split_once(' '))
        .map(|(count, text)| text.repeat(count.parse().expect("a count")));
    match repeated.as_deref().or(line.strip_prefix("|=")) {
        Some(body) => format!("Content-Length: {}\r\n\r\n{body}", body.len()),
        None => format!("{}\r\n", line.strip_prefix("| ").unwrap_or_default()),
    }
}

/// Reads one message; returns its record, the body after the head.
pub(crate) fn read(name: &str, stream: &mut BufReader<TcpStream>) -> String {
    let (mut record, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        match stream.read_line(&mut line) {
            Ok(0) => return CONNECTION_END.into(),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                return CONNECTION_END.into()
            }
            Err(error) => panic!("cannot read a message from {name}: {error}"),
            Ok(_) => {}
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().expect("a length");
        }
        writeln!(record, "  {}", redact_header(line)).expect("recorded");
    }
    let mut body = Vec::new();
    let mut stream = stream.take(length as u64);
    stream.read_to_end(&mut body).expect("a body is read");
    record + &body_record(body, length)
}

fn body_record(body: Vec<u8>, length: usize) -> String {
    match length {
        _ if body.len() < length => format!("\n  (cut off after {} bytes)\n", body.len()),
        0 => String::new(),
        1..MIN_LONG_BODY_BYTES => {
            format!("\n  {}\n", String::from_utf8(body).expect("text"))
        }
        _ => format!("\n  (a body of {length} bytes)\n"),
    }
}
