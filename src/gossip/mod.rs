//! What nodes tell each other about quotas and load.

pub mod codec;
