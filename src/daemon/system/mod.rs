//! Sockets and files: opening sockets with retries, streams with observers, the UDP socket for peers, and atomic replacement
//! of files.

pub(crate) mod durable_file;
pub(crate) mod http_body;
pub(crate) mod observed_stream;
pub(crate) mod peer_socket;
pub(crate) mod socket_retry;
