//! The daemon's processes: each with a name, addresses, a folder and a log of its own; started, stopped, killed by id.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use serde_json::{json, Value};

/// Everything about an ingress that its lives share.
#[derive(Clone, Debug)]
pub struct Seat {
    /// Its number.
    pub number: usize,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where it takes datagrams in.
    pub peer_listen: SocketAddr,
    /// Where it finds the list service.
    pub discovery: SocketAddr,
    /// Its peers, its own face included.
    pub peers: Vec<SocketAddr>,
    /// Its zone's name, and all zones'.
    pub zones: (String, Vec<String>),
    /// The text of its operator's file, if it gets one.
    pub operator: Option<String>,
    /// Quota of a customer: units a second and at once; and the ceiling's, 0 for none.
    pub quota: (f64, f64),
    /// See `quota`.
    pub ceiling: (f64, f64, f64),
    /// What the settings tell of cold limit servers: share, seconds.
    pub cold: (f64, f64),
    /// The same: multiple and seconds that push one over.
    pub fall: (f64, f64),
}

/// An ingress of a trial: its seat, and the process that runs there now. Killed when it is dropped.
pub struct Ingress {
    /// What its lives share.
    pub seat: Seat,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    lives: u64,
    stopped: bool,
}

impl Ingress {
    /// One that does not run yet; its files go into a folder of its own under `folder`.
    pub fn new(seat: Seat, program: &Path, folder: &Path) -> Self {
        let folder = folder.join(format!("n{}", seat.number));
        Ingress {
            seat,
            program: program.into(),
            folder,
            child: None,
            lives: 0,
            stopped: false,
        }
    }

    /// Starts a process with this known list.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn start(&mut self, rev: u64, known: &[Value]) -> io::Result<()> {
        self.kill();
        let tmp = self.folder.join("tmp");
        std::fs::create_dir_all(&tmp)?;
        self.lives += 1;
        let config = self.folder.join("config.json");
        std::fs::write(&config, self.configuration(rev, known).to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))?;
        let mut command = Command::new(&self.program);
        command
            .arg("serve")
            .env_clear()
            .env("GW_CONFIG", &config)
            .env("TMPDIR", &tmp);
        if let Some(text) = &self.seat.operator {
            let file = self.folder.join("operator.ini");
            std::fs::write(&file, text)?;
            command.arg("--operator").arg(&file);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // SAFETY: prctl is async-signal-safe and takes plain numbers. Guards against processes that outlive a rig
        // that was itself killed; those of one that ends by itself are ended by `drop`.
        unsafe {
            command.pre_exec(
                || match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                    0 => Ok(()),
                    _ => Err(io::Error::last_os_error()),
                },
            );
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Sends it a signal; nothing where it does not run.
    pub fn signal(&mut self, signal: i32) {
        let Some(child) = &self.child else { return };
        self.stopped = match signal {
            libc::SIGSTOP => true,
            libc::SIGCONT => false,
            _ => self.stopped,
        };
        // SAFETY: a signal to a child of ours that was not waited for, so its number is still its own.
        unsafe { libc::kill(child.id() as libc::pid_t, signal) };
    }

    /// Kills it, and waits for its end; nothing where it does not run.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let _ = child.kill();
        let _ = child.wait();
        self.stopped = false;
    }

    /// True while there is a process, stopped or not, that nobody saw end.
    pub fn there(&self) -> bool {
        self.child.is_some()
    }

    /// How it ended, where it did so by itself.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// True while a process runs that is not stopped.
    pub fn runs(&self) -> bool {
        self.child.is_some() && !self.stopped
    }

    /// Its log so far, of all its lives.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Processor time and peak memory of the process that runs, in seconds and bytes.
    pub fn cost(&self) -> Option<(f64, u64)> {
        let id = self.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
        let cpu = stat.split_whitespace().next()?.parse::<u64>().ok()? as f64 / 1e9;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        Some((
            cpu,
            peak.split_whitespace().next()?.parse::<u64>().ok()? * 1024,
        ))
    }

    fn configuration(&self, rev: u64, known: &[Value]) -> Value {
        let seat = &self.seat;
        let seed = (seat.number as u64) << 32 | self.lives;
        json!({"name": format!("n{}", seat.number), "listen": seat.listen.to_string(),
            "discovery": seat.discovery.to_string(), "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 384},
            "peer_listen": seat.peer_listen.to_string(), "peers": seat.peers,
            "known": {"rev": rev, "all": true, "targets": known},
            "settings": {
                "areas": seat.zones.1, "zone": seat.zones.0, "me": seat.number, "peers_total": seat.peers.len(),
                "discovery": "automatic",
                "classes": [{"name": "limit-check", "deadline_ns": 3_000_000_000u64, "objective_ns": 800_000_000,
                    "worth": 1.0, "idempotency": "retryable", "key_scope": "all", "dedup_window_ns": 0,
                    "stream": false}],
                "tariffs": [{"name": "shop", "refill": seat.quota.0, "peak_units": seat.quota.1, "pays": 1.0,
                    "cap_rate": seat.ceiling.0, "never_over_depth": seat.ceiling.1, "hard_slack": seat.ceiling.2}],
                "load_info": {"names": ["utilization"], "via": "answers"},
                "obligations": {"cold_ns": (seat.cold.1 * 1e9) as u64, "cold_share": seat.cold.0,
                    "fall_ns": (seat.fall.1 * 1e9) as u64, "overload_factor": seat.fall.0,
                    "stop_sending_within_ns": 500_000_000},
                "permissions": {"max_attempts": 3, "max_retry_after_ns": 500_000_000, "may_cancel": true,
                    "peer_messages": true, "retry_after": true, "second_copies": false,
                    "conn_idle_ns": 15_000_000_000u64, "dial_timeout_ns": 250_000_000},
                "specifics": {"mail_per_s": 40.0, "most_units": 1}}})
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        self.kill();
    }
}
