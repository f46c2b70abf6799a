//! The daemon's processes, each with its own addresses, folder and log; they are signalled and killed by process id.
//!
//! Input: the settings of an ingress and its initial list. Output: a running process, its log and its resource usage.
//! Invariant: a process does not outlive its [`IngressProcess`] or the testbed.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use applewall_fakes::process_usage::peak_memory_bytes;
use applewall_fault_shim::{CONTROL_VARIABLE, LIBRARY_NAME};
use serde_json::{json, Value};

use crate::check::Ceiling;
use crate::list_service::Snapshot;

/// Memory limit of each process.
pub const MEMORY_LIMIT_MB: u64 = 48;
/// Latency objective of the service class, unless its deadline is too short for that.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(800);
/// Minimum age of a process that is reloaded.
const MIN_RELOAD_AGE: Duration = Duration::from_secs(1);
/// Name of the preloaded library's control file in the folder of the trial.
pub const CONTROL_FILE: &str = "system-faults";

/// Settings that all processes of an ingress share.
#[derive(Clone, Debug)]
pub struct IngressConfig {
    /// Its number.
    pub number: usize,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for datagrams of peers.
    pub peer_listen: SocketAddr,
    /// Address at which it reaches the list service.
    pub discovery: SocketAddr,
    /// Addresses of its peers, its own included.
    pub peers: Vec<SocketAddr>,
    /// Name of its zone.
    pub zone: String,
    /// Names of all zones.
    pub zones: Vec<String>,
    /// Text of its operator's file, if it has one.
    pub operator_file: Option<String>,
    /// Deadline of the only service class.
    pub deadline: Duration,
    /// Quota of each customer in units per second, with a burst of two seconds' units.
    pub quota_per_second: f64,
    /// Ceiling of each customer.
    pub ceiling: Ceiling,
    /// Settings of the warm-up of limit servers.
    pub warmup: WarmupSettings,
}

/// The platform's settings of the warm-up of limit servers.
#[derive(Clone, Copy, Debug)]
pub struct WarmupSettings {
    /// Fraction of the full capacity at the start.
    pub slow_start_fraction: f64,
    /// Duration of the warm-up in seconds.
    pub warmup_seconds: f64,
    /// Load, as a multiple of the current capacity, beyond which a server fails.
    pub overload_multiple: f64,
    /// Length of the window over which that load is measured, in seconds.
    pub overload_window_seconds: f64,
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// CPU time in seconds.
    pub cpu_seconds: f64,
    /// Peak resident memory.
    pub peak_memory_bytes: u64,
}

/// The preloaded library that makes system calls of the daemon fail, and its control file.
struct Shim {
    library: PathBuf,
    control: PathBuf,
}

/// An ingress of a trial, and its current process. The process is killed when this is dropped.
pub struct IngressProcess {
    /// Settings that all its processes share.
    pub config: IngressConfig,
    program: PathBuf,
    folder: PathBuf,
    /// `None` if cargo has not built the library beside the executable.
    shim: Option<Shim>,
    child: Option<Child>,
    /// Number of processes started so far.
    incarnation: u64,
    /// Start of the last process.
    started_at: Instant,
    suspended: bool,
}

impl IngressProcess {
    /// An ingress that is not running yet; its files are written to a subfolder of `folder`.
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
            started_at: Instant::now(),
            suspended: false,
        }
    }

    /// Starts a process with this initial list; kills the running one first.
    ///
    /// # Errors
    ///
    /// Errors of writing its files and of starting the process.
    pub fn start(&mut self, known: &Snapshot) -> io::Result<()> {
        self.kill();
        let temporary = self.folder.join("tmp");
        std::fs::create_dir_all(&temporary)?;
        self.incarnation += 1;
        self.started_at = Instant::now();
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

    /// Sends the process a signal; does nothing if there is no process.
    pub fn signal(&mut self, signal: i32) {
        let Some(child) = &self.child else { return };
        self.suspended = match signal {
            libc::SIGSTOP => true,
            libc::SIGCONT => false,
            _ => self.suspended,
        };
        // SAFETY: the child has not been waited for, so its process id cannot have been reused.
        unsafe { libc::kill(child.id() as libc::pid_t, signal) };
    }

    /// Sends SIGHUP, unless the process is in its first second: the platform reloads no such process.
    pub fn reload(&mut self) {
        if self.started_at.elapsed() >= MIN_RELOAD_AGE {
            self.signal(libc::SIGHUP);
        }
    }

    /// Kills the process and waits for its exit; does nothing if there is no process.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let _ = child.kill();
        let _ = child.wait();
        self.suspended = false;
    }

    /// True if there is a process, suspended or not, whose exit has not been observed yet.
    pub fn exists(&self) -> bool {
        self.child.is_some()
    }

    /// Incarnation number of the existing process: the number of starts up to it.
    pub fn incarnation(&self) -> Option<u64> {
        self.child.as_ref().map(|_| self.incarnation)
    }

    /// Exit status of the process, if it has exited without [`kill`](Self::kill) and this was not reported yet.
    pub fn take_exit(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// True if there is a process and it is not suspended.
    pub fn running(&self) -> bool {
        self.child.is_some() && !self.suspended
    }

    /// The log of all its processes so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Resource usage of the running process.
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
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 384},
            "peer_listen": config.peer_listen.to_string(), "peers": config.peers,
            "known": {"rev": known.revision, "all": true, "targets": known.targets},
            "settings": platform_settings(config)})
    }
}

/// Finds the preloaded library beside an executable built by cargo, or beside the tests of the same build.
fn find_shim(program: &Path) -> Option<PathBuf> {
    let folder = program.parent()?;
    let candidates = [
        folder.join(LIBRARY_NAME),
        folder.join("deps").join(LIBRARY_NAME),
    ];
    candidates.into_iter().find(|path| path.exists())
}

/// The `settings` object of the platform configuration; the platform defines its keys.
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
        "classes": [{"name": "limit-check", "deadline_ns": config.deadline.as_nanos() as u64,
            "objective_ns": LATENCY_OBJECTIVE.min(config.deadline / 2).as_nanos() as u64,
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

/// Has the kernel kill the process when the testbed is killed. If the testbed ends normally, `drop` kills it.
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
