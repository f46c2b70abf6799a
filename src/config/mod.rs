//! What the process is configured with: the platform's JSON and the operator's own file.

pub(crate) mod operator;
pub(crate) mod platform;
