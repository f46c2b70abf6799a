//! Carries out attempts: connections to the endpoints, and what their responses say.

mod attempt;
mod body;
pub(crate) mod connection;
pub(crate) mod pool;
mod response;
