//! Carries out attempts: connections to the endpoints, and what their responses say.

pub(crate) mod body;
pub(crate) mod connection;
pub(crate) mod pool;
pub(crate) mod response;
