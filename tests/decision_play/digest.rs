//! A hash of all actions of a simulated fleet.

use applewall::api::*;

/// 64-bit FNV-1a hash of what is written to it.
pub(crate) struct Digest(pub(crate) u64);

impl Digest {
    pub(crate) fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }
    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
        }
    }
    pub(crate) fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }
    pub(crate) fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes(text.as_bytes());
    }
    /// Hashes the values of an action one by one, so that types and fields can be renamed without a change of the hash.
    pub(crate) fn action(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                endpoint,
                timeout_ns,
            } => {
                self.number(1);
                self.number(request.0);
                self.text(endpoint);
                self.number(timeout_ns.unwrap_or(0));
            }
            Action::CancelAttempt { request, attempt } => {
                self.number(2);
                self.number(request.0);
                self.number(u64::from(*attempt));
            }
            Action::Reject {
                request,
                retry_after_ns,
            } => {
                self.number(3);
                self.number(request.0);
                self.number(retry_after_ns.unwrap_or(0));
            }
            Action::Fail(request) => {
                self.number(4);
                self.number(request.0);
            }
            Action::SetTimer { after_ns, token } => {
                self.number(5);
                self.number(*after_ns);
                self.number(*token);
            }
            Action::SendGossip { peer, text } => {
                self.number(6);
                self.number(peer.map_or(u64::MAX, |peer| u64::from(peer.0)));
                self.text(text);
            }
            Action::WatchEndpoints => self.number(7),
            // Only the digits of an event's text are hashed, since its wording may change.
            Action::Log(event) => {
                self.number(9);
                let line = event.to_string();
                let digits: String = line.chars().filter(char::is_ascii_digit).collect();
                self.text(&digits);
            }
        }
    }
}
