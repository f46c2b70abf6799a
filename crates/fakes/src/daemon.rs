//! The daemon as a process: started with a configuration of its own, observed from outside, and ended.
//!
//! Input: settings, and what it inherits. Output: addresses from its log, the log, resource usage. Invariant: the process
//! and its files go with its [`Daemon`].

mod launcher;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ExitStatus};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::process_usage::peak_memory_bytes;

pub use launcher::{DaemonLauncher, DaemonSettings, InheritedResources};

/// Interval at which the end of the process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running daemon. Killed when dropped.
pub struct Daemon {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where operators connect, if it has a second address.
    pub admin_address: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
    files: Vec<PathBuf>,
}

impl Daemon {
    /// Starts the program and waits until it listens; its files go into `folder`, under names that begin with `name`.
    /// [`DaemonLauncher`] has more options.
    ///
    /// # Errors
    ///
    /// As of [`DaemonLauncher::start`].
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        settings: &DaemonSettings,
    ) -> io::Result<Self> {
        DaemonLauncher::new(program, folder, name, settings).start()
    }

    /// The lines of its log so far.
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// Its highest resident memory, in bytes.
    pub fn peak_memory(&self) -> u64 {
        peak_memory_bytes(self.child.id()).unwrap_or(0)
    }

    /// Processor time that its threads have used, by the scheduler's count.
    pub fn cpu_time(&self) -> Duration {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let tasks = tasks.into_iter().flatten().flatten();
        let schedstats =
            tasks.filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok());
        let used_ns =
            schedstats.filter_map(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        Duration::from_nanos(used_ns.sum())
    }

    /// Descriptors that it has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .map_or(0, std::iter::Iterator::count)
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: i32) {
        // SAFETY: a signal to a child of this process that was not waited for, so the id is still its own.
        unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
    }

    /// Sends the process SIGTERM.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Tells the process to read its configuration again (SIGHUP).
    pub fn reload(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Holds the process up, as a machine that is too busy does, until [`Daemon::resume`].
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Ends [`Daemon::pause`].
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Waits for its end for at most so long; its exit status, or `None` where it still runs.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        None
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}

fn lock(log: &Mutex<Vec<String>>) -> MutexGuard<'_, Vec<String>> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}
