//! Runs one decision policy per simulated node, and exchanges events and actions with the simulator over standard input and
//! output.

use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::Arc;

use applewall::api::Event;
use applewall::decision::DecisionPolicy;
use applewall::platform_settings::PlatformSettings;
use applewall::simulator::{
    parse_event, parse_line, write_action, write_exception, write_ready, InputLine, NodeEvent,
    ProtocolError,
};
use serde_json::Value;
use thiserror::Error;

/// Error that ends the host.
#[derive(Debug, Error)]
enum HostError {
    #[error("line {number}: {source}")]
    Input {
        number: u64,
        #[source]
        source: LineError,
    },
    #[error("cannot write to standard output: {0}")]
    Output(#[source] io::Error),
}

/// Error in an input line.
#[derive(Debug, Error)]
enum LineError {
    #[error(transparent)]
    Read(#[from] io::Error),
    #[error("the line is not UTF-8")]
    NotUtf8(#[from] std::str::Utf8Error),
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    #[error("the line is outside a batch")]
    OutsideBatch,
    #[error("a batch begins inside another batch")]
    NestedBatch,
    #[error("unknown node {0}")]
    UnknownNode(u64),
}

/// A simulated node.
struct Node {
    policy: DecisionPolicy,
    settings: Box<PlatformSettings>,
}

/// Whether the reply to a batch is complete.
#[derive(PartialEq)]
enum Reply {
    Partial,
    Complete,
}

/// All simulated nodes, and the state of the exchange with the simulator.
#[derive(Default)]
struct Host {
    /// The running nodes, by the simulator's node number.
    nodes: HashMap<u64, Node>,
    /// Endpoint lists by number; events refer to them.
    endpoint_lists: HashMap<u64, Arc<[Value]>>,
    /// Simulated time of the current batch.
    now_ns: u64,
    /// Number of the current batch; `None` between batches.
    batch: Option<u64>,
    /// Output of the current batch, which is written when the batch ends.
    reply: String,
}

impl Host {
    /// Handles one input line and appends its output to the reply.
    fn handle_line(&mut self, text: &str) -> Result<Reply, LineError> {
        let line = parse_line(text)?;
        if self.batch.is_none() && !matches!(line, InputLine::BatchStart { .. }) {
            return Err(LineError::OutsideBatch);
        }
        match line {
            InputLine::BatchStart { .. } if self.batch.is_some() => {
                return Err(LineError::NestedBatch)
            }
            InputLine::BatchStart { now_ns, batch } => {
                self.now_ns = now_ns;
                self.batch = Some(batch);
            }
            InputLine::BatchEnd => {
                write_ready(&mut self.reply, self.batch.take().unwrap_or_default());
                return Ok(Reply::Complete);
            }
            InputLine::NodeStart {
                node,
                seed,
                settings,
            } => {
                let policy = DecisionPolicy::new(settings.policy.clone(), seed, self.now_ns);
                self.nodes.insert(node, Node { policy, settings });
            }
            InputLine::NodeStop { node } => {
                self.nodes.remove(&node);
            }
            InputLine::EndpointList { list, entries } => {
                self.endpoint_lists.insert(list, entries.into());
            }
            InputLine::Event { node, fields } => self.handle_event(node, &fields)?,
        }
        Ok(Reply::Partial)
    }

    fn handle_event(&mut self, number: u64, fields: &[Value]) -> Result<(), LineError> {
        let Some(node) = self.nodes.get_mut(&number) else {
            return Err(LineError::UnknownNode(number));
        };
        let list = |list| self.endpoint_lists.get(&list).cloned();
        let event = match parse_event(&node.settings, fields, list)? {
            NodeEvent::Policy(event) => event,
            // Results of requests that the policy never makes.
            NodeEvent::HealthChecked { .. } | NodeEvent::CounterRead { .. } => return Ok(()),
        };
        match decide(&mut node.policy, self.now_ns, event) {
            Ok(actions) => {
                for action in &actions {
                    write_action(&mut self.reply, number, action);
                }
            }
            Err(panic) => write_exception(&mut self.reply, number, panic_message(&*panic)),
        }
        Ok(())
    }
}

/// Passes an event to the policy; returns its actions, or the panic that the event caused.
fn decide(
    policy: &mut DecisionPolicy,
    now_ns: u64,
    event: Event,
) -> Result<Vec<applewall::api::Action>, Box<dyn Any + Send>> {
    catch_unwind(AssertUnwindSafe(|| {
        let mut actions = Vec::new();
        policy.handle(now_ns, event, &mut actions);
        actions
    }))
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    owned
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}

fn run() -> Result<(), HostError> {
    let mut host = Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = Vec::new();
    for number in 1u64.. {
        let failed = |source: LineError| HostError::Input { number, source };
        line.clear();
        let read = input.read_until(b'\n', &mut line);
        if read.map_err(|error| failed(error.into()))? == 0 {
            break;
        }
        let text = std::str::from_utf8(&line).map_err(|error| failed(error.into()))?;
        if host.handle_line(text.trim_end()).map_err(failed)? == Reply::Complete {
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(HostError::Output)?;
            host.reply.clear();
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    // Panics of the policy are reported to the simulator, so their messages are not printed to standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("applewall-simulator-host: {error}");
            ExitCode::FAILURE
        }
    }
}
