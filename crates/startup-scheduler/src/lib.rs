//! Whose turn it is to call the list service, where a fleet starts together.
//!
//! A [`Turns`] is one ingress's own reckoning. Moments, answers of the service and peers' words come in; when to call, how
//! long to watch and words for peers go out. It knows no socket and no clock: moments are seconds of the caller's, from any
//! beginning. docs/cold-start-design.md tells the bounds and what was rejected.

mod roll;
mod settings;
mod turns;
mod word;

pub use roll::{Muster, Roll};
pub use settings::Settings;
pub use turns::{List, Turns};
pub use word::Word;
