//! A roster's source in a Consul-style key-value store.
//!
//! A blocking read names the index of the last answer and waits until something newer exists, or until its wait is
//! over; each answer is the whole list under the prefix. [`Course`] is what to ask next, without I/O; [`follow()`] asks.

mod course;
mod follow;
mod settings;

pub use course::{Answer, Ask, Course};
pub use follow::{follow, ListUpdate};
pub use settings::Settings;
