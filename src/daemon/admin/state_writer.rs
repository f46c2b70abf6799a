//! Writes the maintenance set to the state file, and retries until that succeeds, so that a restart finds the set even if
//! the directory could not be written for a while.
//!
//! One task receives maintenance sets, each newer than the one before, and reports the result of each set's first write. The
//! set written last is always the newest one. A process that becomes active again after a new one has failed writes its set
//! once more, since that one may have written an older set. Files are written on a thread for blocking calls, so that a slow disk does not
//! delay requests.

use std::time::Duration;

use applewall_admin::MaintenanceSet;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep_until, Instant};

use crate::lifecycle::process_role::ProcessRole;
use crate::lifecycle::shared_directory::{SharedDirectory, StateFileError};
use crate::observability::condition_log::ConditionLog;

/// Interval between attempts while the directory cannot be written. Well below the time that a person needs to restart a
/// process.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Capacity of the queue, which bounds the memory of the sets in it while the disk is slow. Admin commands wait for capacity.
const QUEUE_CAPACITY: usize = 64;

/// A maintenance set to be written.
pub(crate) struct WriteRequest {
    /// The complete set, which replaces the one in the file.
    pub maintenance: MaintenanceSet,
    /// Completed with the result of the first attempt; retries are not reported.
    pub reply: oneshot::Sender<Result<(), StateFileError>>,
}

/// The queue to the [`StateWriter`].
pub(crate) type StateQueue = mpsc::Sender<WriteRequest>;

/// Creates the queue to a writer, and its receiver.
pub(crate) fn queue() -> (StateQueue, mpsc::Receiver<WriteRequest>) {
    mpsc::channel(QUEUE_CAPACITY)
}

/// A set in the queue to the writer.
pub(crate) struct PendingWrite(oneshot::Receiver<Result<(), StateFileError>>);

impl PendingWrite {
    /// Waits for the result of the first attempt.
    ///
    /// # Errors
    ///
    /// The first attempt failed; the writer retries.
    pub(crate) async fn first_attempt(self) -> Result<(), StateFileError> {
        // The writer ends only with the process, when nobody reads the result any more.
        self.0.await.unwrap_or(Ok(()))
    }
}

/// Puts a set into the queue to the writer. Sets are written in the order of the queue.
pub(crate) async fn write(queue: &StateQueue, maintenance: MaintenanceSet) -> PendingWrite {
    let (reply, result) = oneshot::channel();
    let request = WriteRequest { maintenance, reply };
    // Fails only when the process ends.
    let _ = queue.send(request).await;
    PendingWrite(result)
}

/// Writes maintenance sets to the state file.
pub(crate) struct StateWriter {
    directory: SharedDirectory,
    role: watch::Receiver<ProcessRole>,
    requests: mpsc::Receiver<WriteRequest>,
    /// The newest set, if its last write failed or another process may have overwritten it.
    unwritten: Option<UnwrittenSet>,
    /// The newest set that was written.
    written: Option<MaintenanceSet>,
    /// Whether a failure to write the state file was logged.
    write_failure: ConditionLog,
}

/// A set whose write has to be retried.
struct UnwrittenSet {
    maintenance: MaintenanceSet,
    retry_at: Instant,
}

impl StateWriter {
    /// Creates a writer of the sets received from `requests`. `inherited` is the set of the old process; it is written
    /// first, because the old process may have been unable to write it.
    pub(crate) fn new(
        directory: SharedDirectory,
        role: watch::Receiver<ProcessRole>,
        requests: mpsc::Receiver<WriteRequest>,
        inherited: Option<MaintenanceSet>,
    ) -> Self {
        StateWriter {
            directory,
            role,
            requests,
            unwritten: inherited.map(|maintenance| UnwrittenSet {
                maintenance,
                retry_at: Instant::now(),
            }),
            written: None,
            write_failure: ConditionLog::default(),
        }
    }

    /// Writes sets until the last sender is dropped.
    pub(crate) async fn run(mut self) {
        let mut role = self.role.clone();
        loop {
            let retry_at = self.unwritten.as_ref().map(|unwritten| unwritten.retry_at);
            let request = tokio::select! {
                request = self.requests.recv() => match request {
                    Some(request) => request,
                    None => return,
                },
                () = sleep_until(retry_at.unwrap_or_else(Instant::now)), if retry_at.is_some() => {
                    self.retry().await;
                    continue;
                }
                Ok(()) = role.changed() => {
                    if *role.borrow_and_update() == ProcessRole::Active {
                        self.write_again();
                    }
                    continue;
                }
            };
            let WriteRequest { maintenance, reply } = request;
            let written = self.write(maintenance).await;
            // The caller may have given up waiting.
            let _ = reply.send(written);
        }
    }

    /// Writes the set whose last write failed, unless a new process is active.
    async fn retry(&mut self) {
        let Some(unwritten) = self.unwritten.take() else {
            return;
        };
        // The new process received the set in the transfer and writes its own set, which this process must not overwrite. If
        // the new process fails, this one becomes active again and writes the set.
        if *self.role.borrow() == ProcessRole::Superseded {
            self.retry_later(unwritten.maintenance);
            return;
        }
        // `write` logs a failure; no caller waits for this attempt.
        let _ = self.write(unwritten.maintenance).await;
    }

    /// Schedules a write of the newest set, which another process may have overwritten.
    fn write_again(&mut self) {
        if let Some(maintenance) = self.written.take() {
            self.unwritten = Some(UnwrittenSet {
                maintenance,
                retry_at: Instant::now(),
            });
        }
    }

    fn retry_later(&mut self, maintenance: MaintenanceSet) {
        self.unwritten = Some(UnwrittenSet {
            maintenance,
            retry_at: Instant::now() + RETRY_INTERVAL,
        });
    }

    /// Writes a set, and schedules a retry if that fails.
    async fn write(&mut self, maintenance: MaintenanceSet) -> Result<(), StateFileError> {
        self.unwritten = None;
        self.written = None;
        let (directory, set) = (self.directory.clone(), maintenance.clone());
        let written = tokio::task::spawn_blocking(move || directory.write_maintenance_set(&set));
        let written = written.await.unwrap_or(Ok(()));
        match &written {
            Err(error) => {
                self.retry_later(maintenance);
                if self.write_failure.begins() {
                    tracing::warn!(path = %error.path.display(), error = %error.source, "maintenance set could not be written");
                }
            }
            Ok(()) => {
                self.written = Some(maintenance);
                if self.write_failure.ends() {
                    tracing::info!("maintenance set written after a failure");
                }
            }
        }
        written
    }
}

#[cfg(test)]
mod tests;
