//! Starts the daemon with its configuration, environment and inherited listener, and waits until it listens.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};

use super::{lock, Daemon};

/// Maximum time from the start of a process until it logs the addresses on which it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// File descriptor on which the daemon inherits a listener.
const INHERITED_DESCRIPTOR: &str = "7";

/// Deadline of [`ServiceClass::default`].
const DEFAULT_CLASS_DEADLINE: Duration = Duration::from_secs(3);

/// The only service class of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct ServiceClass {
    /// Longest time that a client may leave for a response.
    pub deadline: Duration,
    /// Effect of a second attempt, in the platform's words: `retryable`, or `fragile` if a request must not be repeated.
    pub idempotency: &'static str,
}

impl Default for ServiceClass {
    fn default() -> Self {
        ServiceClass {
            deadline: DEFAULT_CLASS_DEADLINE,
            idempotency: "retryable",
        }
    }
}

/// Settings from which the daemon's configuration is written.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Maximum number of file descriptors.
    pub max_descriptors: usize,
    /// Memory limit in MB. It is not enforced; tests check the peak memory afterwards.
    pub memory_mb: usize,
    /// Text of the operator's INI file, if any.
    pub operator_file: Option<String>,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Endpoint list with which the daemon starts, as if known from an earlier run.
    pub known_targets: Vec<Value>,
    /// Quota of each customer in units per second; the burst is ten times as many units.
    pub quota_per_second: f64,
}

/// Resources that the successive processes of an ingress share.
#[derive(Debug)]
pub struct InheritedResources {
    /// Listener for clients; it stays open in this process while any of the processes of the ingress runs.
    pub listener: std::net::TcpListener,
    /// Directory that the processes have as `TMPDIR`.
    pub folder: PathBuf,
}

/// Builder that starts a daemon.
#[derive(Debug)]
pub struct DaemonLauncher<'a> {
    program: &'a Path,
    folder: &'a Path,
    name: &'a str,
    settings: &'a DaemonSettings,
    inherited: Option<&'a InheritedResources>,
    service_class: ServiceClass,
    variables: Vec<(&'a str, PathBuf)>,
}

impl<'a> DaemonLauncher<'a> {
    /// A launcher of `program`. The daemon's files are created in `folder`, with names that begin with `name`.
    pub fn new(
        program: &'a Path,
        folder: &'a Path,
        name: &'a str,
        settings: &'a DaemonSettings,
    ) -> Self {
        DaemonLauncher {
            program,
            folder,
            name,
            settings,
            inherited: None,
            service_class: ServiceClass::default(),
            variables: Vec::new(),
        }
    }

    /// Passes the listener and the folder to the daemon, and gives it an admin address.
    #[must_use]
    pub fn inheriting(mut self, inherited: &'a InheritedResources) -> Self {
        self.inherited = Some(inherited);
        self
    }

    /// Sets the only service class.
    #[must_use]
    pub fn service_class(mut self, service_class: ServiceClass) -> Self {
        self.service_class = service_class;
        self
    }

    /// Adds a variable to the daemon's environment.
    #[must_use]
    pub fn variable(mut self, name: &'a str, value: PathBuf) -> Self {
        self.variables.push((name, value));
        self
    }

    /// Starts the daemon and waits until it listens.
    ///
    /// # Errors
    ///
    /// I/O errors of the files and of the start. If the program does not listen in time, the error is the last line of its
    /// log.
    pub fn start(self) -> io::Result<Daemon> {
        let config = self.folder.join(format!("{}.json", self.name));
        std::fs::write(
            &config,
            configuration(self.settings, self.service_class).to_string(),
        )?;
        let mut command = match self.inherited {
            None => Command::new(self.program),
            Some(inherited) => inheriting_command(self.program, inherited)?,
        };
        command
            .arg("serve")
            .env_clear()
            .env("GW_CONFIG", &config)
            .envs(self.variables)
            .stderr(Stdio::piped());
        if let Some(inherited) = self.inherited {
            command
                .env("GW_FD", INHERITED_DESCRIPTOR)
                .env("TMPDIR", &inherited.folder)
                .env("GW_OPERATOR", "127.0.0.1:0");
        }
        let mut files = vec![config];
        if let Some(text) = &self.settings.operator_file {
            let file = self.folder.join(format!("{}.ini", self.name));
            std::fs::write(&file, text)?;
            command.arg("--operator").arg(&file);
            files.push(file);
        }
        wait_until_listening(command.spawn()?, files)
    }
}

/// Waits for the log line with the addresses. If there is none, the error is the last line of the log.
fn wait_until_listening(mut child: Child, files: Vec<PathBuf>) -> io::Result<Daemon> {
    let log = Arc::new(Mutex::new(Vec::new()));
    let stderr = child.stderr.take();
    let stderr =
        stderr.ok_or_else(|| io::Error::other("the daemon's standard error is not a pipe"))?;
    let (sender, addresses) = mpsc::channel();
    let lines = log.clone();
    std::thread::spawn(move || read_log(stderr, &lines, &sender));
    if let Some(addresses) = addresses.recv_timeout(START_TIMEOUT).ok().flatten() {
        return Ok(Daemon {
            child,
            address: addresses.clients,
            admin_address: addresses.admin,
            log,
            files,
        });
    }
    let _ = child.kill();
    let _ = child.wait();
    let last = lock(&log).last().cloned();
    Err(io::Error::other(last.unwrap_or_else(|| {
        "the daemon exited or hung without logging anything".to_string()
    })))
}

/// Addresses on which a daemon listens, from its log.
struct Addresses {
    clients: SocketAddr,
    admin: Option<SocketAddr>,
}

/// A command that runs the program with the listener as [`INHERITED_DESCRIPTOR`]. It starts a shell that moves the listener
/// there from standard input and then executes the program in its own process.
fn inheriting_command(program: &Path, inherited: &InheritedResources) -> io::Result<Command> {
    let listener = inherited.listener.try_clone()?;
    let script = format!(r#"exec "$0" "$@" {INHERITED_DESCRIPTOR}<&0 0</dev/null"#);
    let mut shell = Command::new("/bin/sh");
    shell.arg("-c").arg(script).arg(program);
    shell.stdin(std::os::fd::OwnedFd::from(listener));
    Ok(shell)
}

/// Collects the log, and sends the addresses when a line contains them.
fn read_log(stderr: ChildStderr, log: &Mutex<Vec<String>>, addresses: &Sender<Option<Addresses>>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if let Some((_, rest)) = line.split_once("serving n0 on ") {
            let _ = addresses.send(parse_addresses(rest));
        }
        lock(log).push(line);
    }
}

/// Parses the part of the log line that follows "serving n0 on ".
fn parse_addresses(text: &str) -> Option<Addresses> {
    let first = |text: &str| text.split([',', ' ']).next()?.parse().ok();
    let admin = text.split_once("operators on ");
    Some(Addresses {
        clients: first(text)?,
        admin: admin.and_then(|(_, address)| first(address)),
    })
}

/// The platform's configuration file, with the keys that the platform defines.
fn configuration(settings: &DaemonSettings, class: ServiceClass) -> Value {
    let deadline_ns = class.deadline.as_nanos() as u64;
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": settings.discovery.to_string(), "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": settings.memory_mb, "sockets": settings.max_descriptors},
        "known": {"rev": 1, "all": true, "targets": settings.known_targets},
        "settings": {
            "areas": ["a"], "zone": "a", "me": 0, "peers_total": 1, "discovery": "automatic",
            "classes": [{"name": "limit-check", "deadline_ns": deadline_ns, "objective_ns": 800_000_000,
                "worth": 1.0, "idempotency": class.idempotency, "key_scope": "all", "dedup_window_ns": 0,
                "stream": false}],
            "tariffs": [{"name": "shop", "refill": settings.quota_per_second,
                "peak_units": 10.0 * settings.quota_per_second, "pays": 1.0}],
            "load_info": {"names": ["utilization"], "via": "answers"},
            "obligations": {"cold_ns": 15_000_000_000u64, "cold_share": 0.2, "fall_ns": 3_000_000_000u64,
                "overload_factor": 2.5, "stop_sending_within_ns": 500_000_000},
            "permissions": {"max_attempts": 3, "max_retry_after_ns": 500_000_000, "may_cancel": true,
                "peer_messages": false, "retry_after": true, "second_copies": false,
                "conn_idle_ns": 15_000_000_000u64, "dial_timeout_ns": 250_000_000},
            "specifics": {"mail_per_s": 40.0, "most_units": 1}}})
}
