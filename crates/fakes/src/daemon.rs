//! Runs the daemon as a child process with its own configuration, and observes it from outside.
//!
//! Input: settings and inherited resources. Output: the addresses from its log, the log and its resource usage. Invariant:
//! dropping a [`Daemon`] kills the process and deletes its configuration files.

mod launcher;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ExitStatus};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::process_usage::peak_memory_bytes;

pub use launcher::{DaemonLauncher, DaemonSettings, InheritedResources, ServiceClass};

/// Interval at which the exit of the process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running daemon. Killed when dropped.
pub struct Daemon {
    child: Child,
    /// Address for clients.
    pub address: SocketAddr,
    /// Admin address, if the daemon has one.
    pub admin_address: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
    files: Vec<PathBuf>,
}

impl Daemon {
    /// Starts the program and waits until it listens. Its files are created in `folder`, with names that begin with `name`.
    /// [`DaemonLauncher`] has more options.
    ///
    /// # Errors
    ///
    /// Those of [`DaemonLauncher::start`].
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        settings: &DaemonSettings,
    ) -> io::Result<Self> {
        DaemonLauncher::new(program, folder, name, settings).start()
    }

    /// Lines that it has logged so far.
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// Sends a command to the admin address, and returns the response without its line ending.
    ///
    /// # Errors
    ///
    /// The daemon has no admin address, or the connection failed.
    pub async fn admin_command(&self, command: &str) -> io::Result<String> {
        let address = self.admin_address;
        let address = address.ok_or_else(|| io::Error::other("the daemon has no admin address"))?;
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(format!("{command}\n").as_bytes()).await?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await?;
        Ok(response.trim_end().to_string())
    }

    /// Peak resident memory in bytes; 0 if unknown.
    pub fn peak_memory(&self) -> u64 {
        peak_memory_bytes(self.child.id()).unwrap_or(0)
    }

    /// CPU time of the threads that it has now, from the scheduler's statistics (`schedstat`).
    pub fn cpu_time(&self) -> Duration {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let tasks = tasks.into_iter().flatten().flatten();
        let schedstats =
            tasks.filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok());
        let used_ns =
            schedstats.filter_map(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        Duration::from_nanos(used_ns.sum())
    }

    /// Number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .map_or(0, std::iter::Iterator::count)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the child has not been waited for, so the process id still belongs to it.
        unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
    }

    /// Starts a graceful shutdown (SIGTERM).
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Makes the process reload its configuration (SIGHUP).
    pub fn reload(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Suspends the process until [`Daemon::resume`], as on a machine that is too busy to schedule it.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Continues the process after [`Daemon::pause`].
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Waits up to `timeout` for the process to exit. Returns its exit status, or `None` if it is still running.
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
