//! applewall decides, for one gateway of a shared API, what to admit, what to refuse and where to send.
//!
//! [`brain::Brain`] is the decision module; [`api`] is all it sees and all it says. [`wire`] translates
//! the bench's dialect and is not needed when the library is embedded.

pub mod api;
#[rustfmt::skip] // Formatted as it is cut into modules: in the default style it would pass its limit of lines.
pub mod brain;
mod keep;
pub mod mail;
mod post;
mod state;
pub mod wire;
