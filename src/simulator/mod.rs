//! The protocol of the simulator, which runs the policies of many nodes in virtual time: lines of JSON in batches on
//! standard input and output. This module only translates between lines and the types of [`crate::api`].

mod fields;
mod input;
mod output;

pub use fields::ProtocolError;
pub use input::{parse_endpoints, parse_event, parse_line, InputLine, NodeEvent};
pub use output::{write_action, write_exception, write_ready, write_request, SimulatorRequest};
