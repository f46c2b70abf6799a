//! The protocol of the simulator that plays decision policies in virtual time.

pub mod protocol;
