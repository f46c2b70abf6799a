//! Finds heads that two readers could frame in two ways: those with both a Content-Length and a Transfer-Encoding.
//!
//! Owner: the guard of a client's stream. Input: the raw bytes as they are read. Output: whether an ambiguous head is among
//! them. Invariant: only the beginning of one line is in memory; bodies of a given length are skipped.

use std::str;

/// Bytes of a head's line that are stored: enough for the name of either header and any length.
const MAX_LINE_PREFIX_BYTES: usize = 48;

/// See the [module documentation](self).
#[derive(Default)]
pub(super) struct HeadScanner {
    /// The beginning of the line that is being read.
    line: Vec<u8>,
    /// Bytes of a body yet to be received.
    body_bytes_left: u64,
    content_length: Option<u64>,
    has_transfer_coding: bool,
    /// A chunked body has begun: the connection closes with its response, so no head is served after it.
    has_begun_chunked_body: bool,
    inside_head: bool,
}

impl HeadScanner {
    /// True if some of a head was read, and not its end.
    pub(super) fn is_inside_head(&self) -> bool {
        self.inside_head
    }

    /// Takes what was read; true if a head in it has both a length and a transfer coding.
    pub(super) fn finds_ambiguous_head(&mut self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() && !self.has_begun_chunked_body {
            if self.body_bytes_left > 0 {
                let left = usize::try_from(self.body_bytes_left).unwrap_or(usize::MAX);
                let skipped = bytes.len().min(left);
                self.body_bytes_left -= skipped as u64;
                bytes = &bytes[skipped..];
                continue;
            }
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let piece = &bytes[..end.unwrap_or(bytes.len())];
            self.inside_head = true;
            let stored_bytes = piece.len().min(MAX_LINE_PREFIX_BYTES - self.line.len());
            self.line.extend_from_slice(&piece[..stored_bytes]);
            bytes = &bytes[piece.len() + usize::from(end.is_some())..];
            if end.is_some() && self.end_line() {
                return true;
            }
        }
        false
    }

    /// Evaluates a complete line; true if it makes the head ambiguous.
    fn end_line(&mut self) -> bool {
        let line = self.line.trim_ascii();
        if line.is_empty() {
            self.line.clear();
            self.inside_head = false;
            self.has_begun_chunked_body = self.has_transfer_coding;
            self.body_bytes_left = self.content_length.take().unwrap_or(0);
            return false;
        }
        let colon = line
            .iter()
            .position(|byte| *byte == b':')
            .unwrap_or(line.len());
        let (name, value) = line.split_at(colon);
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_coding = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            // hyper rejects a head whose length is no number.
            let value = str::from_utf8(&value[1..]).unwrap_or_default();
            self.content_length = Some(value.trim().parse().unwrap_or(0));
        }
        self.line.clear();
        self.has_transfer_coding && self.content_length.is_some()
    }
}

#[cfg(test)]
mod tests;
