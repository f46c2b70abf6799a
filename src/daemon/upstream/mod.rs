//! Connections to endpoints, the attempts made over them, and the evaluation of responses.

pub(crate) mod attempt;
mod body;
pub(crate) mod connection;
mod context;
pub(crate) mod deadlines;
mod endpoint;
mod exchange;
pub(crate) mod pool;
mod response;
mod response_monitor;
