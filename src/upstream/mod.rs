//! Carries out attempts: connections to the endpoints, and what their responses say.

pub mod body;
pub mod connection;
pub mod pool;
pub mod response;
