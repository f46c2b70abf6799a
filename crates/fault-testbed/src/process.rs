//! The daemon's processes: each with addresses, a folder and a log of its own; started, signalled and killed by id.
//!
//! Input: the settings of an ingress and the list that it starts with. Output: a running process, its log and what it
//! used. Invariant: a process ends with its [`IngressProcess`], and with the testbed.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use applewall_fakes::process_usage::peak_memory_bytes;
use applewall_fault_shim::{CONTROL_VARIABLE, LIBRARY_NAME};
use serde_json::{json, Value};

use crate::check::Ceiling;
use crate::list_service::Snapshot;

/// The control file of the preloaded library, in the folder of the trial.
pub const CONTROL_FILE: &str = "system-faults";

/// What all processes of an ingress have in common.
#[derive(Clone, Debug)]
pub struct IngressConfig {
    /// Its number.
    pub number: usize,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where it receives datagrams.
    pub peer_listen: SocketAddr,
    /// Where it finds the list service.
    pub discovery: SocketAddr,
    /// Addresses of its peers, its own included.
    pub peers: Vec<SocketAddr>,
    /// Name of its zone.
    pub zone: String,
    /// Names of all zones.
    pub zones: Vec<String>,
    /// Text of its operator's file, if it gets one.
    pub operator_file: Option<String>,
    /// Quota of each customer, units per second; twice as much at once.
    pub quota_per_second: f64,
    /// Ceiling of each customer.
    pub ceiling: Ceiling,
    /// The settings of limit servers that warm up.
    pub warmup: WarmupSettings,
}

/// The platform's settings of limit servers that warm up.
#[derive(Clone, Copy, Debug)]
pub struct WarmupSettings {
    /// Fraction of its capacity at its start.
    pub slow_start_fraction: f64,
    /// Duration of the warm-up in seconds.
    pub warmup_seconds: f64,
    /// Load, as a multiple of its capacity, beyond which it fails.
    pub overload_multiple: f64,
    /// Seconds over which that load is measured.
    pub overload_window_seconds: f64,
}

/// What the running process of an ingress has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Processor time in seconds.
    pub cpu_seconds: f64,
    /// Highest resident memory.
    pub peak_memory_bytes: u64,
}

/// The library that makes system calls of the daemon fail, and the file by which it is controlled.
struct Shim {
    library: PathBuf,
    control: PathBuf,
}

/// An ingress of a trial, and its current process. The process is killed when this is dropped.
pub struct IngressProcess {
    /// What all its processes have in common.
    pub config: IngressConfig,
    program: PathBuf,
    folder: PathBuf,
    /// Preloaded where cargo has built the library beside the program.
    shim: Option<Shim>,
    child: Option<Child>,
    /// Number of processes started so far.
    incarnation: u64,
    suspended: bool,
}

impl IngressProcess {
    /// An ingress that does not run yet; its files go into a folder of its own under `folder`.
    pub fn new(config: IngressConfig, program: &Path, folder: &Path) -> Self {
        let control = folder.join(CONTROL_FILE);
        let shim = find_shim(program).map(|library| Shim { library, control });
        let folder = folder.join(format!("n{}", config.number));
        IngressProcess {
            config,
            program: program.into(),
            folder,
            shim,
            child: None,
            incarnation: 0,
            suspended: false,
        }
    }

    /// Starts a process that knows this list; a running one is killed before.
    ///
    /// # Errors
    ///
    /// Errors of the files and of the start.
    pub fn start(&mut self, known: &Snapshot) -> io::Result<()> {
        self.kill();
        let temporary = self.folder.join("tmp");
        std::fs::create_dir_all(&temporary)?;
        self.incarnation += 1;
        let config = self.folder.join("config.json");
        std::fs::write(&config, self.platform_config(known).to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))?;
        let mut command = Command::new(&self.program);
        command
            .arg("serve")
            .env_clear()
            .env("GW_CONFIG", &config)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(text) = &self.config.operator_file {
            let file = self.folder.join("operator.ini");
            std::fs::write(&file, text)?;
            command.arg("--operator").arg(&file);
        }
        if let Some(Shim { library, control }) = &self.shim {
            command
                .env("LD_PRELOAD", library)
                .env(CONTROL_VARIABLE, control);
        }
        kill_with_parent(&mut command);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Sends the process a signal; nothing where none runs.
    pub fn signal(&mut self, signal: i32) {
        let Some(child) = &self.child else { return };
        self.suspended = match signal {
            libc::SIGSTOP => true,
            libc::SIGCONT => false,
            _ => self.suspended,
        };
        // SAFETY: a signal to a child of this process that was not waited for, so the id is still its own.
        unsafe { libc::kill(child.id() as libc::pid_t, signal) };
    }

    /// Kills the process and waits for its end; nothing where none runs.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let _ = child.kill();
        let _ = child.wait();
        self.suspended = false;
    }

    /// True while there is a process, suspended or not, whose end was not observed.
    pub fn exists(&self) -> bool {
        self.child.is_some()
    }

    /// The number of the process that exists, counted from 1 by starts.
    pub fn incarnation(&self) -> Option<u64> {
        self.child.as_ref().map(|_| self.incarnation)
    }

    /// The exit status of a process that has ended by itself since the last call.
    pub fn take_exit(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// True while a process runs that is not suspended.
    pub fn running(&self) -> bool {
        self.child.is_some() && !self.suspended
    }

    /// The log of all its processes so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// What the running process has used.
    pub fn usage(&self) -> Option<ResourceUsage> {
        let id = self.child.as_ref()?.id();
        let schedstat = std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
        let cpu_ns: u64 = schedstat.split_whitespace().next()?.parse().ok()?;
        Some(ResourceUsage {
            cpu_seconds: cpu_ns as f64 / 1e9,
            peak_memory_bytes: peak_memory_bytes(id)?,
        })
    }

    fn platform_config(&self, known: &Snapshot) -> Value {
        let config = &self.config;
        let seed = (config.number as u64) << 32 | self.incarnation;
        json!({"name": format!("n{}", config.number), "listen": config.listen.to_string(),
            "discovery": config.discovery.to_string(), "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 384},
            "peer_listen": config.peer_listen.to_string(), "peers": config.peers,
            "known": {"rev": known.revision, "all": true, "targets": known.targets},
            "settings": platform_settings(config)})
    }
}

/// The preloaded library beside a program of cargo's, or beside the tests of the same build.
fn find_shim(program: &Path) -> Option<PathBuf> {
    let folder = program.parent()?;
    let candidates = [
        folder.join(LIBRARY_NAME),
        folder.join("deps").join(LIBRARY_NAME),
    ];
    candidates.into_iter().find(|path| path.exists())
}

/// The `settings` of the platform's configuration. Its keys are the platform's.
fn platform_settings(config: &IngressConfig) -> Value {
    let IngressConfig {
        quota_per_second,
        ceiling,
        warmup,
        ..
    } = config;
    json!({
        "areas": config.zones, "zone": config.zone, "me": config.number, "peers_total": config.peers.len(),
        "discovery": "automatic",
        "classes": [{"name": "limit-check", "deadline_ns": 3_000_000_000u64, "objective_ns": 800_000_000,
            "worth": 1.0, "idempotency": "retryable", "key_scope": "all", "dedup_window_ns": 0,
            "stream": false}],
        "tariffs": [{"name": "shop", "refill": quota_per_second, "peak_units": 2.0 * quota_per_second, "pays": 1.0,
            "cap_rate": ceiling.units_per_second, "never_over_depth": ceiling.burst_units,
            "hard_slack": ceiling.tolerated_units}],
        "load_info": {"names": ["utilization"], "via": "answers"},
        "obligations": {"cold_ns": (warmup.warmup_seconds * 1e9) as u64, "cold_share": warmup.slow_start_fraction,
            "fall_ns": (warmup.overload_window_seconds * 1e9) as u64, "overload_factor": warmup.overload_multiple,
            "stop_sending_within_ns": 500_000_000},
        "permissions": {"max_attempts": 3, "max_retry_after_ns": 500_000_000, "may_cancel": true,
            "peer_messages": true, "retry_after": true, "second_copies": false,
            "conn_idle_ns": 15_000_000_000u64, "dial_timeout_ns": 250_000_000},
        "specifics": {"mail_per_s": 40.0, "most_units": 1}})
}

/// Has the system kill the process when the testbed is killed itself; where the testbed ends normally, `drop` does.
fn kill_with_parent(command: &mut Command) {
    // SAFETY: prctl is async-signal-safe and takes plain numbers.
    unsafe {
        command.pre_exec(
            || match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            },
        );
    }
}

impl Drop for IngressProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
