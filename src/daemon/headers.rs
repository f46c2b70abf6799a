//! Names of headers that both the server and the upstream side use.

/// Request id assigned by the client: 16 hexadecimal digits.
pub(crate) const CORRELATION_ID: &str = "x-correlation-id";
/// Milliseconds until the sender's deadline.
pub(crate) const TIME_LEFT_MS: &str = "x-time-left-ms";
/// Key by which endpoints recognize repeated requests (IETF draft-ietf-httpapi-idempotency-key-header).
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
