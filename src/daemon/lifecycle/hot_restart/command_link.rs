//! Relays admin commands between the two processes of a node, as lines `call NUMBER COMMAND` and `answer NUMBER ANSWER`.
//!
//! Used by hot restart while both processes run. A command received from the other process is executed here and never
//! relayed back. Output is buffered, so that a process that does not read cannot stop the other one from reading.

use std::collections::HashMap;
use std::future::ready;

use applewall_admin::{AdminCommand, AdminResponse};
use bytes::BytesMut;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};

use crate::admin::handle::AdminHandle;
use crate::lifecycle::command_relay::{OtherProcessSender, RelayedCommand};

/// The input from the other process.
pub(super) type Incoming = BufReader<OwnedReadHalf>;

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
///
/// From its creation on, commands that are executed here are relayed. Dropping it ends that.
pub(super) struct CommandLink {
    admin: AdminHandle,
    other_process: OtherProcessSender,
    lines: Lines<Incoming>,
    writing: OwnedWriteHalf,
    /// Lines that have not been written yet.
    unwritten: BytesMut,
    commands: mpsc::UnboundedReceiver<RelayedCommand>,
    /// Relayed commands by number; each sender is completed when the command is answered.
    unanswered: HashMap<u64, oneshot::Sender<()>>,
    last_number: u64,
}

impl CommandLink {
    /// Creates a link from both halves of a connection, and publishes the queue to the other process.
    pub(super) fn new(
        admin: AdminHandle,
        other_process: OtherProcessSender,
        reading: Incoming,
        writing: OwnedWriteHalf,
    ) -> Self {
        let (queue, commands) = mpsc::unbounded_channel();
        other_process.send_replace(Some(queue));
        CommandLink {
            admin,
            other_process,
            lines: reading.lines(),
            writing,
            unwritten: BytesMut::new(),
            commands,
            unanswered: HashMap::new(),
            last_number: 0,
        }
    }

    /// Writes bytes of the takeover and the commands that the other process has not heard of, all in one write: the other
    /// process may have this one stopped as soon as it has read the first of them.
    pub(super) fn begin(&mut self, takeover: &[u8], missed: Vec<AdminCommand>) {
        self.unwritten.extend_from_slice(takeover);
        for command in missed {
            // Nobody waits for the answer.
            let done = oneshot::channel().0;
            self.send_command(RelayedCommand { command, done });
        }
    }

    /// Executes the commands that have arrived by now; `None` if the link has ended.
    pub(super) async fn execute_received(&mut self) -> Option<()> {
        loop {
            let line = tokio::select! {
                biased;
                line = self.lines.next_line() => line.ok()??,
                // No complete line is left.
                () = ready(()) => return Some(()),
            };
            self.handle_line(&line).await?;
        }
    }

    /// Relays commands in both directions until the connection closes.
    pub(super) async fn run(mut self) {
        // Ends when the connection closes or a line cannot be parsed.
        while self.handle_next().await.is_some() {}
    }

    /// Handles one line or one command to be relayed, or writes; `None` ends the link.
    async fn handle_next(&mut self) -> Option<()> {
        tokio::select! {
            line = self.lines.next_line() => {
                let line = line.ok()??;
                self.handle_line(&line).await
            }
            Some(relayed) = self.commands.recv() => {
                self.send_command(relayed);
                Some(())
            }
            written = self.writing.write_buf(&mut self.unwritten), if !self.unwritten.is_empty() => {
                written.ok().map(drop)
            }
        }
    }

    async fn handle_line(&mut self, line: &str) -> Option<()> {
        match Line::parse(line)? {
            Line::Command { number, command } => {
                let answer = match command.parse::<AdminCommand>() {
                    Ok(command) => self.admin.execute_relayed(command).await,
                    Err(reason) => AdminResponse::Error(reason.to_string()),
                };
                self.send_line(&format!("answer {number} {answer}"));
            }
            Line::Answer { number } => {
                if let Some(done) = self.unanswered.remove(&number) {
                    let _ = done.send(());
                }
            }
        }
        Some(())
    }

    fn send_command(&mut self, relayed: RelayedCommand) {
        self.last_number += 1;
        let number = self.last_number;
        self.send_line(&format!("call {number} {}", relayed.command));
        // Removes the entries of callers that no longer wait.
        self.unanswered.retain(|_, done| !done.is_closed());
        self.unanswered.insert(number, relayed.done);
    }

    fn send_line(&mut self, line: &str) {
        self.unwritten.extend_from_slice(line.as_bytes());
        self.unwritten.extend_from_slice(b"\n");
    }
}

impl Drop for CommandLink {
    fn drop(&mut self) {
        self.other_process.send_replace(None);
    }
}

#[cfg(test)]
mod tests;
