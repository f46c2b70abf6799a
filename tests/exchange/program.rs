//! The program under test; its log is read line by line.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};

use super::{Inherited, STEP_TIMEOUT};

/// A running program, killed when dropped.
pub(crate) struct Program {
    child: Child,
    log: Receiver<String>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Program {
    /// Starts the program with this configuration file and discovery address.
    pub(crate) fn start(config: &Path, discovery: &str, inherited: Option<&Inherited>) -> Self {
        let mut child = command(inherited)
            .arg("serve")
            .env("GW_CONFIG", config)
            .env("GW_DISCOVERY", discovery)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (sender, log) = channel();
        let stderr = child.stderr.take().expect("standard error is piped");
        // In a thread, since reading from a pipe has no timeout.
        std::thread::spawn(move || {
            let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
            lines.all(|line| sender.send(line).is_ok())
        });
        Program { child, log }
    }

    /// Reads the log up to a line that contains `text`.
    pub(crate) fn await_log(&self, text: &str) -> String {
        let next = || self.log.recv_timeout(STEP_TIMEOUT).ok();
        std::iter::from_fn(next)
            .find(|line| line.contains(text))
            .unwrap_or_else(|| {
                panic!("expected '{text}' in the log, which ended or had no further line in time")
            })
    }

    pub(crate) fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        let status = status.expect("kill runs");
        assert!(
            status.success(),
            "sending {signal} to process {id} failed: {status}"
        );
    }

    pub(crate) fn kill(mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("an exit status");
    }

    pub(crate) fn await_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("an exit status")
    }
}

fn command(inherited: Option<&Inherited>) -> Command {
    let program = env!("CARGO_BIN_EXE_applewall");
    let Some(Inherited { listener, folder }) = inherited else {
        let mut command = Command::new(program);
        command.env_clear();
        return command;
    };
    // The shell duplicates its standard input, which is the listener, as descriptor 7.
    let listener = listener.try_clone().expect("a copy of the listener");
    let mut shell = Command::new("/bin/sh");
    shell
        .args(["-c", "exec \"$0\" \"$@\" 7<&0 0</dev/null", program])
        .stdin(std::os::fd::OwnedFd::from(listener))
        .env("GW_FD", "7")
        .env("TMPDIR", folder);
    shell
}
