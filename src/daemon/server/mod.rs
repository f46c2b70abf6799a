//! Serves clients: accepts connections, reads requests and writes responses.

mod accept_wait;
pub(crate) mod acceptor;
mod admission;
pub(crate) mod client_socket;
pub(crate) mod connection_table;
mod connection_task;
mod context;
mod customer_slot;
mod forwarded_head;
mod framing;
mod head_scanner;
pub(crate) mod listener;
mod request;
mod request_body;
mod request_handler;
pub(crate) mod response;
mod response_accounting;
mod service;
pub(crate) mod slow_peers;
pub(crate) mod streaming_body;
mod submission;
mod unanswered_input;
