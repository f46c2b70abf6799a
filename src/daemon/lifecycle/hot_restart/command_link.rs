//! Relays admin commands between the two processes of a node, as lines `call NUMBER COMMAND` and `answer NUMBER ANSWER`.
//!
//! Requests that may have been executed are relayed as a command of their own, `EXECUTED ID ...`. An older version answers
//! it with an error and goes on.
//!
//! Used by hot restart while both processes run. A command received from the other process is executed here and never
//! relayed back. Output is buffered, so that a process that does not read cannot stop the other one from reading.

use std::collections::HashMap;
use std::future::ready;

use applewall::api::RequestId;
use applewall_admin::{AdminCommand, AdminResponse};
use bytes::BytesMut;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};

use super::executed_command;
use crate::admin::handle::{AdminHandle, ControlMessage};
use crate::lifecycle::command_relay::{OtherProcessSender, RelayedCommand, RelayedMessage};

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
    messages: mpsc::UnboundedReceiver<RelayedMessage>,
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
        let (queue, messages) = mpsc::unbounded_channel();
        other_process.send_replace(Some(queue));
        CommandLink {
            admin,
            other_process,
            lines: reading.lines(),
            writing,
            unwritten: BytesMut::new(),
            messages,
            unanswered: HashMap::new(),
            last_number: 0,
        }
    }

    /// Writes bytes of the takeover, and the commands and requests that the other process has not heard of, all in one write:
    /// the other process may have this one stopped as soon as it has read the first of them.
    pub(super) fn begin(
        &mut self,
        takeover: &[u8],
        missed: Vec<AdminCommand>,
        executed: &[RequestId],
    ) {
        self.unwritten.extend_from_slice(takeover);
        for command in missed {
            // Nobody waits for the answer.
            let done = oneshot::channel().0;
            self.send_command(RelayedCommand { command, done });
        }
        self.send_executed_requests(executed);
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
            Some(message) = self.messages.recv() => {
                self.send(message);
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
                let answer = self.execute(command).await;
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

    /// Executes a command of the other process.
    async fn execute(&self, command: &str) -> AdminResponse {
        if let Some(requests) = executed_command::parse(command) {
            // Fails only if the engine has stopped, which ends the process.
            let recorded = ControlMessage::RecordExecutedRequests(requests);
            let _ = self.admin.control.send(recorded).await;
            return AdminResponse::Done("recorded".to_string());
        }
        match command.parse::<AdminCommand>() {
            Ok(command) => self.admin.execute_relayed(command).await,
            Err(reason) => AdminResponse::Error(reason.to_string()),
        }
    }

    fn send(&mut self, message: RelayedMessage) {
        match message {
            RelayedMessage::Command(command) => self.send_command(command),
            RelayedMessage::ExecutedRequests(requests) => self.send_executed_requests(&requests),
        }
    }

    fn send_executed_requests(&mut self, requests: &[RequestId]) {
        for command in executed_command::commands(requests) {
            self.last_number += 1;
            let number = self.last_number;
            // Nobody waits for the answer.
            self.send_line(&format!("call {number} {command}"));
        }
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
