//! Relays admin commands between the two processes of a node, as lines `call NUMBER COMMAND` and `answer NUMBER ANSWER`.
//!
//! Used by hot restart while both processes run. A command received from the other process is executed here and never
//! relayed back.

use std::collections::HashMap;

use applewall_admin::{AdminCommand, AdminResponse};
use tokio::io::{AsyncWriteExt, BufReader, Lines};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};

use crate::admin::handle::AdminHandle;
use crate::admin::maintenance::CommandOrigin;
use crate::lifecycle::command_relay::{OtherProcessSender, RelayedCommand};

/// Capacity of the queue of commands to be relayed. Larger than the number of admin connections, so that no command waits
/// for capacity.
const QUEUE_CAPACITY: usize = 16;

/// The lines that the other process sends.
pub(super) type IncomingLines = Lines<BufReader<OwnedReadHalf>>;
/// One line of the other process.
#[derive(Debug, PartialEq, Eq)]
enum Line<'a> {
    /// The other process relays a command.
    Command { number: u64, command: &'a str },
    /// The other process has executed a command that this one relayed.
    Answer { number: u64 },
}

impl<'a> Line<'a> {
    /// Returns `None` for any other line, such as one of another protocol version.
    fn parse(line: &'a str) -> Option<Self> {
        let mut tokens = line.splitn(3, ' ');
        let kind = tokens.next()?;
        let number = tokens.next()?.parse().ok()?;
        match (kind, tokens.next()) {
            ("call", Some(command)) => Some(Line::Command { number, command }),
            ("answer", _) => Some(Line::Answer { number }),
            _ => None,
        }
    }
}

/// The connection to the other process, and the relayed commands that are not answered yet.
pub(super) struct CommandLink<'a> {
    admin: &'a AdminHandle,
    other_process: &'a OtherProcessSender,
    lines: IncomingLines,
    writing: OwnedWriteHalf,
    /// Relayed commands by number; each sender is completed when the command is answered.
    unanswered: HashMap<u64, oneshot::Sender<()>>,
    last_number: u64,
}

impl<'a> CommandLink<'a> {
    /// Creates a link from both halves of a connection.
    pub(super) fn new(
        admin: &'a AdminHandle,
        other_process: &'a OtherProcessSender,
        lines: IncomingLines,
        writing: OwnedWriteHalf,
    ) -> Self {
        CommandLink {
            admin,
            other_process,
            lines,
            writing,
            unanswered: HashMap::new(),
            last_number: 0,
        }
    }

    /// Relays commands in both directions until the connection closes.
    pub(super) async fn run(mut self) {
        let (sender, mut commands) = mpsc::channel(QUEUE_CAPACITY);
        self.other_process.send_replace(Some(sender));
        // Ends when the connection closes or a line cannot be parsed.
        while self.handle_next(&mut commands).await.is_some() {}
        self.other_process.send_replace(None);
    }

    /// Handles one line or one command to be relayed; `None` ends the link.
    async fn handle_next(&mut self, commands: &mut mpsc::Receiver<RelayedCommand>) -> Option<()> {
        let line = tokio::select! {
            line = self.lines.next_line() => line.ok()??,
            Some(relayed) = commands.recv() => return self.send_command(relayed).await,
        };
        match Line::parse(&line)? {
            Line::Command { number, command } => {
                let answer = match command.parse::<AdminCommand>() {
                    Ok(command) => {
                        let origin = CommandOrigin::OtherProcess;
                        self.admin.execute_locally(command, origin).await
                    }
                    Err(reason) => AdminResponse::Error(reason.to_string()),
                };
                self.write(format!("answer {number} {answer}\n")).await
            }
            Line::Answer { number } => {
                if let Some(done) = self.unanswered.remove(&number) {
                    let _ = done.send(());
                }
                Some(())
            }
        }
    }

    async fn send_command(&mut self, relayed: RelayedCommand) -> Option<()> {
        self.last_number += 1;
        let number = self.last_number;
        self.unanswered.insert(number, relayed.done);
        // Removes the entries of callers that no longer wait.
        self.unanswered.retain(|_, done| !done.is_closed());
        self.write(format!("call {number} {}\n", relayed.command))
            .await
    }

    async fn write(&mut self, line: String) -> Option<()> {
        self.writing.write_all(line.as_bytes()).await.ok()
    }
}

#[cfg(test)]
mod tests;
