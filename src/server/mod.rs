//! Serves the clients: connections that come in, the requests read from them and the responses written to them.

pub mod acceptor;
pub mod connection_table;
pub mod framing;
pub mod request;
pub mod response;
pub mod slow_peers;
pub mod streaming_body;
