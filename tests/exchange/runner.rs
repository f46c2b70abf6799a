//! Performs the steps of an exchange, and records what they receive.

use std::collections::HashMap;
use std::fmt::{Display, Write as _};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

use serde_json::Value;

use super::connections::{await_blocked_connect, Connections};
use super::program::Program;
use super::redaction::{redact_folder, Addresses};
use super::script::{unescape, Step};
use super::{message, Inherited, STEP_TIMEOUT};

/// First line that a new process sends on the hot-restart socket.
const HOT_RESTART_GREETING: &[u8] = b"applewall succession 1\n";
/// First bytes of a snapshot.
const SNAPSHOT_MAGIC: &[u8] = b"AWE1";
const STATE_FILE: &str = "applewall-n0.state";
const HOT_RESTART_SOCKET: &str = "applewall-n0.sock";

/// The process that a step applies to.
#[derive(Clone, Copy, Debug)]
enum Process {
    /// The process started last.
    Current,
    /// The process that ran before an upgrade.
    Old,
}

/// The state of a running exchange: sockets, programs, and the record.
pub(crate) struct Runner {
    exchange: String,
    connections: Connections,
    addresses: Addresses,
    config: Value,
    program: Option<Program>,
    old_program: Option<Program>,
    inherited: Option<Inherited>,
    hot_restart_connections: HashMap<String, UnixStream>,
    record: String,
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.program = None;
        self.old_program = None;
        if let Some(inherited) = &self.inherited {
            let _ = std::fs::remove_dir_all(&inherited.folder);
        }
    }
}

impl Runner {
    pub(crate) fn new(name: &str) -> Self {
        let mut addresses = Addresses::default();
        let config = include_str!("../exchanges/config.json");
        Runner {
            exchange: name.to_string(),
            connections: Connections::open(&mut addresses),
            addresses,
            config: serde_json::from_str(config).expect("JSON"),
            program: None,
            old_program: None,
            inherited: None,
            hot_restart_connections: HashMap::new(),
            record: String::new(),
        }
    }

    /// What has been recorded so far.
    pub(crate) fn record(&self) -> String {
        self.record.clone()
    }

    /// Performs a step: one that begins with a keyword, or else one that begins with a connection's name.
    pub(crate) fn perform(&mut self, step: &Step) {
        let words: Vec<&str> = step.line.split(' ').collect();
        match words[..] {
            ["set", pointer, ref value @ ..] => self.set_configuration(pointer, &value.join(" ")),
            ["start"] => self.start(),
            ["upgrade"] => self.upgrade(),
            ["kill"] => self.program.take().expect("a program").kill(),
            ["hup"] => self.reload(&self.configuration_text()),
            ["hup", ref text @ ..] => self.reload(&text.join(" ")),
            ["inherit"] => self.inherit(),
            ["nowhere"] => std::fs::remove_dir_all(self.folder()).expect("removed"),
            ["state", ref text @ ..] => {
                std::fs::write(self.file(STATE_FILE), text.join(" ")).expect("written");
            }
            ["ledger"] => self.record_state(),
            ["stale"] => self.leave_stale_socket(),
            ["deaf", name] => self.connections.stop_listening(name),
            ["old", ref words @ ..] => self.perform_process_step(Process::Old, step, words),
            ["term" | "exit" | "log" | "operator" | "operator-raw" | "operator-bytes", ..] => {
                self.perform_process_step(Process::Current, step, &words);
            }
            [name, ref words @ ..] => self.perform_connection_step(name, step, words),
            [] => panic!("an empty step"),
        }
    }

    fn perform_process_step(&mut self, process: Process, step: &Step, words: &[&str]) {
        match words {
            ["term"] => self.process(process).signal("-TERM"),
            ["exit"] => self.await_exit(process),
            ["log", text @ ..] => self.await_log(process, &text.join(" ")),
            ["operator", command @ ..] => {
                let command = format!("{}\n", command.join(" "));
                self.run_admin_command(process, step, &[command.as_bytes()]);
            }
            ["operator-raw", bytes @ ..] => {
                self.run_admin_command(process, step, &[&unescape(&bytes.join(" "))]);
            }
            ["operator-bytes", bytes @ ..] => {
                let bytes = unescape(&bytes.join(" "));
                let one_by_one: Vec<_> = bytes.chunks(1).collect();
                self.run_admin_command(process, step, &one_by_one);
            }
            _ => panic!("unknown step '{}'", step.line),
        }
    }

    fn perform_connection_step(&mut self, name: &str, step: &Step, words: &[&str]) {
        match words {
            ["accept", from] => self.connections.accept(name, from),
            ["fills"] => self.connections.fill_backlog(self.addresses.get(name)),
            ["dialled"] => await_blocked_connect(self.addresses.get(name)),
            ["frees"] => self.connections.free_backlog(name),
            ["connect"] => self.connect(name, "ingress"),
            ["sends"] => self.send(name, &message::expand(&step.below, &self.addresses)),
            ["asks", id, header @ ..] => {
                self.send(name, &message::default_request(id, &header.join(" ")));
            }
            ["gets"] => self.receive(name),
            ["ends"] => self.close(name),
            ["resets"] => self.connections.reset(name),
            ["shuts"] => self.connections.shut_down_sending(name),
            ["throws", text @ ..] => self.send_datagram(name, &text.join(" ")),
            ["catches"] => self.receive_datagram(name),
            ["holds", text @ ..] => {
                self.connect(name, "operator");
                self.send(name, &text.join(" "));
            }
            ["leaves", bytes @ ..] => self.abandon_admin_connection(&unescape(&bytes.join(" "))),
            ["greets"] => self.greet(name),
            ["takes"] => self.take_snapshot(name),
            ["says", line @ ..] => self.send_line(name, &line.join(" ")),
            ["hears", count] => self.receive_lines(name, count.parse().expect("a count")),
            _ => panic!("unknown step '{}'", step.line),
        }
    }

    /// Records a step and what it received.
    fn record_step(&mut self, step: &str, received: impl Display) {
        writeln!(self.record, "{step}\n  {received}\n").expect("recorded");
    }
}

/// Steps on the programs.
impl Runner {
    fn set_configuration(&mut self, pointer: &str, value: &str) {
        let value = self.addresses.resolve(value);
        let value = serde_json::from_str(&value).expect("JSON");
        match self.config.pointer_mut(pointer) {
            Some(present) => *present = value,
            // A new key can only be added at the top level.
            None => self.config[pointer.trim_start_matches('/')] = value,
        }
    }

    /// Writes the configuration file; returns its path.
    fn write_configuration(&self, text: &str) -> PathBuf {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let path = folder.join(format!("{}.json", self.exchange));
        std::fs::write(&path, text).expect("the configuration is written");
        path
    }

    fn configuration_text(&self) -> String {
        self.addresses.resolve(&self.config.to_string())
    }

    fn start(&mut self) {
        let config = self.write_configuration(&self.configuration_text());
        let discovery = self.addresses.get("discovery").to_string();
        let program = Program::start(&config, &discovery, self.inherited.as_ref());
        let line = program.await_log("serving n0 on ");
        self.program = Some(program);
        for (name, key) in [
            ("ingress", "n0 on "),
            ("peer_listen", "datagrams on "),
            ("operator", "operators on "),
        ] {
            if let Some((_, rest)) = line.split_once(key) {
                let address = rest.split([',', ' ']).next().expect("a word");
                self.addresses
                    .insert(name, address.parse().expect("an address"));
            }
        }
    }

    fn upgrade(&mut self) {
        self.old_program = self.program.take();
        let admin = self.addresses.get("operator");
        self.addresses.insert("operator-old", admin);
        self.start();
    }

    fn process(&mut self, process: Process) -> &mut Program {
        let program = match process {
            Process::Current => &mut self.program,
            Process::Old => &mut self.old_program,
        };
        program
            .as_mut()
            .unwrap_or_else(|| panic!("no {process:?} process is running"))
    }

    fn reload(&mut self, text: &str) {
        self.write_configuration(text);
        self.process(Process::Current).signal("-HUP");
    }

    fn await_log(&mut self, process: Process, text: &str) {
        let line = self.process(process).await_log(text);
        let line = self.addresses.redact(line);
        let line = line.replace(env!("CARGO_TARGET_TMPDIR"), "@files");
        let line = self.redact_folder(&line);
        self.record_step(&recorded_name(process, "log"), line);
    }

    fn await_exit(&mut self, process: Process) {
        let status = self.process(process).await_exit();
        self.record_step(&recorded_name(process, "exit"), status);
    }
}

/// Steps on the hot-restart socket and the files that consecutive programs have in common.
impl Runner {
    fn inherit(&mut self) {
        let folder = format!("applewall-{}-{}", std::process::id(), self.exchange);
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        self.inherited = Some(Inherited { listener, folder });
    }

    fn folder(&self) -> &Path {
        &self.inherited.as_ref().expect("a shared folder").folder
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder().join(name)
    }

    fn redact_folder(&self, text: &str) -> String {
        let inherited = self.inherited.as_ref();
        redact_folder(text, inherited.map(|inherited| inherited.folder.as_path()))
    }

    fn record_state(&mut self) {
        let text = std::fs::read_to_string(self.file(STATE_FILE)).expect("the state file");
        self.record_step("ledger", text);
    }

    fn leave_stale_socket(&self) {
        drop(UnixListener::bind(self.file(HOT_RESTART_SOCKET)).expect("a socket"));
    }

    fn greet(&mut self, name: &str) {
        let mut stream = UnixStream::connect(self.file(HOT_RESTART_SOCKET)).expect("a connection");
        stream.write_all(HOT_RESTART_GREETING).expect("written");
        self.hot_restart_connections.insert(name.into(), stream);
    }

    fn take_snapshot(&mut self, name: &str) {
        if !self.hot_restart_connections.contains_key(name) {
            self.greet(name);
        }
        let stream = self
            .hot_restart_connections
            .get_mut(name)
            .expect("a hot-restart connection");
        let mut magic = [0; 4];
        stream.read_exact(&mut magic).expect("the head");
        assert_eq!(magic, SNAPSHOT_MAGIC, "the first bytes of a snapshot");
        let mut length = [0; 4];
        stream.read_exact(&mut length).expect("the length");
        let length = u32::from_be_bytes(length) as usize;
        let snapshot = stream.read_exact(&mut vec![0; length]);
        snapshot.expect("the snapshot");
    }

    fn send_line(&mut self, name: &str, line: &str) {
        let stream = self.hot_restart_connections.get_mut(name);
        let written = stream
            .expect("a connection")
            .write_all(format!("{line}\n").as_bytes());
        written.expect("written");
    }

    fn receive_lines(&mut self, name: &str, count: usize) {
        let stream = self.hot_restart_connections.get(name);
        let stream = stream.expect("a connection");
        let timeout = stream.set_read_timeout(Some(STEP_TIMEOUT));
        timeout.expect("a read timeout");
        let lines: Vec<String> = (0..count).map(|_| receive_line(stream)).collect();
        self.record_step(&format!("{name} hears"), lines.join("\n  "));
    }
}

/// Reads one line and nothing after it.
fn receive_line(mut stream: &UnixStream) -> String {
    let mut line = Vec::new();
    let mut byte = [0];
    while byte != *b"\n" {
        stream.read_exact(&mut byte).expect("a line is received");
        line.extend(byte);
    }
    String::from_utf8_lossy(&line).trim_end().to_string()
}

/// Steps on connections.
impl Runner {
    /// Connects a client to one of the program's addresses.
    fn connect(&mut self, name: &str, to: &str) {
        self.connections.connect(name, self.addresses.get(to));
    }

    fn send(&mut self, name: &str, text: &str) {
        self.connections.send(name, text);
    }

    fn receive(&mut self, name: &str) {
        let received = self.connections.receive(name);
        let received = self.addresses.redact(received);
        writeln!(self.record, "{name} gets\n{received}").expect("recorded");
    }

    fn close(&mut self, name: &str) {
        self.hot_restart_connections.remove(name);
        self.connections.close(name);
    }

    fn send_datagram(&self, name: &str, text: &str) {
        let program = self.addresses.get("peer_listen");
        self.connections.send_datagram(name, text, program);
    }

    fn receive_datagram(&mut self, name: &str) {
        let program = self.addresses.get("peer_listen");
        self.connections.receive_datagram(name, program);
        writeln!(self.record, "{name} catches a datagram\n").expect("recorded");
    }

    fn connect_to_admin(&self, process: Process) -> TcpStream {
        let name = match process {
            Process::Current => "operator",
            Process::Old => "operator-old",
        };
        TcpStream::connect(self.addresses.get(name)).expect("an admin connection")
    }

    /// Sends an admin command with these writes, and records the response up to the end of the connection.
    fn run_admin_command(&mut self, process: Process, step: &Step, writes: &[&[u8]]) {
        let mut stream = self.connect_to_admin(process);
        let timeout = stream.set_read_timeout(Some(STEP_TIMEOUT));
        timeout.expect("a read timeout");
        stream.set_nodelay(true).expect("no delay");
        for bytes in writes {
            stream.write_all(bytes).expect("a command is written");
        }
        stream.shutdown(Shutdown::Write).expect("shut down");
        let mut response = String::new();
        let read = stream.read_to_string(&mut response);
        read.expect("a response is read");
        let response = self.redact_folder(&response);
        self.record_step(&step.line, response.trim_end_matches('\n'));
    }

    fn abandon_admin_connection(&self, bytes: &[u8]) {
        let mut stream = self.connect_to_admin(Process::Current);
        stream.write_all(bytes).expect("written");
    }
}

/// The name of a step in the record, by its process.
fn recorded_name(process: Process, step: &str) -> String {
    match process {
        Process::Current => step.to_string(),
        Process::Old => format!("old {step}"),
    }
}
