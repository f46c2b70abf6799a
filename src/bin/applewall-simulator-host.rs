//! Hosts one decision module per instance on the bench's wire.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::Arc;

use applewall::api::Event;
use applewall::decision::DecisionPolicy;
use applewall::platform_settings::PlatformSettings;
use applewall::simulator::protocol::{self, Line};
use serde_json::Value;

struct Instance {
    brain: DecisionPolicy,
    facts: Box<PlatformSettings>,
}

#[derive(Default)]
struct Host {
    instances: HashMap<u64, Instance>,
    sheets: HashMap<u64, Arc<[Value]>>,
    now: u64,
    seq: Option<u64>,
    reply: String,
}

impl Host {
    fn deliver(&mut self, who: u64, event: Event) -> Result<(), String> {
        let instance = self
            .instances
            .get_mut(&who)
            .ok_or_else(|| format!("no instance {who}"))?;
        let mut actions = Vec::new();
        let brain = &mut instance.brain;
        let now = self.now;
        match catch_unwind(AssertUnwindSafe(|| brain.handle(now, event, &mut actions))) {
            Ok(()) => actions
                .iter()
                .for_each(|a| protocol::write_action(&mut self.reply, who, a)),
            Err(panic) => {
                let words = panic.downcast_ref::<String>().map(String::as_str);
                let words = words
                    .or_else(|| panic.downcast_ref::<&str>().copied())
                    .unwrap_or("panic");
                protocol::write_exception(&mut self.reply, who, words);
            }
        }
        Ok(())
    }

    /// Takes one line in; true when the reply is complete.
    fn line(&mut self, text: &str) -> Result<bool, String> {
        let line = protocol::parse_line(text)?;
        if self.seq.is_none() && !matches!(line, Line::Sync { .. }) {
            return Err("outside a batch".into());
        }
        match line {
            Line::Sync { .. } if self.seq.is_some() => return Err("a batch inside a batch".into()),
            Line::Sync { now, seq } => (self.now, self.seq) = (now, Some(seq)),
            Line::End => {
                protocol::write_ready(&mut self.reply, self.seq.take().unwrap_or_default());
                return Ok(true);
            }
            Line::Boot { who, seed, facts } => {
                let brain = DecisionPolicy::new(facts.policy.clone(), seed, self.now);
                self.instances.insert(who, Instance { brain, facts });
            }
            Line::Down { who } => {
                self.instances.remove(&who);
            }
            Line::Inventory { sheet, entries } => {
                self.sheets.insert(sheet, entries.into());
            }
            Line::Event { who, fields } => {
                let instance = self
                    .instances
                    .get(&who)
                    .ok_or_else(|| format!("no instance {who}"))?;
                let event =
                    protocol::event(&instance.facts, &fields, |n| self.sheets.get(&n).cloned())?;
                self.deliver(who, event)?;
            }
        }
        Ok(false)
    }
}

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut text = Vec::new();
    for number in 1u64.. {
        text.clear();
        let read = input
            .read_until(b'\n', &mut text)
            .map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            break;
        }
        let line = std::str::from_utf8(&text).map_err(|_| format!("line {number}: not UTF-8"))?;
        if host
            .line(line.trim_end())
            .map_err(|e| format!("line {number}: {e}"))?
        {
            let written = output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush());
            written.map_err(|e| format!("standard output: {e}"))?;
            host.reply.clear();
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic of the module goes out on the wire; its trace would only clutter standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("applewall-simulator-host: {reason}");
            ExitCode::FAILURE
        }
    }
}
