//! Detects request heads with ambiguous framing: those with both a Content-Length and a Transfer-Encoding.
//!
//! Scans the raw bytes as they are read. Only the beginning of the current line is held in memory, without the white space
//! and zeros after the colon, of which there may be any number. Bodies with a Content-Length are skipped.

use std::str;

/// Number of bytes stored of each line of a head: enough for the name of either header and any length.
const MAX_LINE_PREFIX_BYTES: usize = 48;

/// Scans the input of one connection for request heads with ambiguous framing.
#[derive(Default)]
pub(super) struct HeadScanner {
    /// Prefix of the current line.
    line: Vec<u8>,
    /// Remaining bytes of a body with a Content-Length.
    body_bytes_left: u64,
    content_length: Option<u64>,
    has_transfer_coding: bool,
    /// A chunked body has begun. The connection closes after the response to it, so no later head is served.
    has_begun_chunked_body: bool,
    inside_head: bool,
    /// The current head has a line that is not empty.
    head_has_line: bool,
    /// Number of heads that have been read completely.
    complete_heads: u64,
}

impl HeadScanner {
    /// True if a head has been read in part.
    pub(super) fn is_inside_head(&self) -> bool {
        self.inside_head
    }

    /// Number of heads that have been read completely.
    pub(super) fn complete_heads(&self) -> u64 {
        self.complete_heads
    }

    /// True if a chunked body has begun, in which the scanner does not find the end of the request.
    pub(super) fn has_begun_chunked_body(&self) -> bool {
        self.has_begun_chunked_body
    }

    /// Scans the bytes read next. Returns true if they complete a head line that makes its head ambiguous.
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
            let segment = &bytes[..end.unwrap_or(bytes.len())];
            self.inside_head = true;
            self.store(segment);
            bytes = &bytes[segment.len() + usize::from(end.is_some())..];
            if end.is_some() && self.finish_line() {
                return true;
            }
        }
        false
    }

    /// Stores the next part of the current line, as far as it is needed.
    fn store(&mut self, mut segment: &[u8]) {
        while let [first, rest @ ..] = segment {
            let is_padding =
                self.line.last() == Some(&b':') && matches!(first, b' ' | b'\t' | b'0');
            if self.line.len() == MAX_LINE_PREFIX_BYTES {
                return;
            }
            if !is_padding {
                self.line.push(*first);
            }
            segment = rest;
        }
    }

    /// Evaluates a complete line. Returns true if it makes the head ambiguous.
    fn finish_line(&mut self) -> bool {
        let line = self.line.trim_ascii();
        if line.is_empty() {
            self.line.clear();
            self.inside_head = false;
            // Empty lines before a request line belong to no head.
            self.complete_heads += u64::from(std::mem::take(&mut self.head_has_line));
            self.has_begun_chunked_body = self.has_transfer_coding;
            self.body_bytes_left = self.content_length.take().unwrap_or(0);
            return false;
        }
        self.head_has_line = true;
        let mut parts = line.splitn(2, |byte| *byte == b':');
        let (name, value) = (parts.next().unwrap_or_default(), parts.next());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_coding = true;
        } else if let Some(value) = value.filter(|_| name.eq_ignore_ascii_case(b"content-length")) {
            // hyper rejects a head whose Content-Length is not a number. That of 0 is stored without digits.
            let value = str::from_utf8(value).unwrap_or_default();
            self.content_length = Some(value.trim().parse().unwrap_or(0));
        }
        self.line.clear();
        self.has_transfer_coding && self.content_length.is_some()
    }
}

#[cfg(test)]
mod tests;
