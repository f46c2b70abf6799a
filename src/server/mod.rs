//! Serves the clients: connections that come in, the requests read from them and the responses written to them.

pub(crate) mod acceptor;
pub(crate) mod connection_table;
pub(crate) mod framing;
pub(crate) mod request;
pub(crate) mod response;
pub(crate) mod slow_peers;
pub(crate) mod streaming_body;
