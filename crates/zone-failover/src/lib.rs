//! What share of its traffic each zone gets, where one may fail: judged by what the fleet has seen together.
//!
//! A [`Zones`] is one ingress's part of it. Outcomes of attempts and peers' words come in; shares, words for peers and lines
//! for the log go out. It knows no socket and no clock: moments are seconds of the caller's, from any beginning.
//! docs/zones-design.md tells the rules, their bounds and what was rejected.

mod evidence;
mod settings;
mod verdict;
mod word;
mod zones;

pub use evidence::Saw;
pub use settings::Settings;
pub use verdict::Phase;
pub use word::Word;
pub use zones::{Step, Zones};
