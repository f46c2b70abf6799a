//! The tasks of a trial.

use std::future::Future;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::task::{AbortHandle, JoinSet};

/// The tasks that an environment has spawned. They own references to the environment, so dropping it does not end them: the
/// run of the trial aborts them once the journal is complete.
#[derive(Default)]
pub(crate) struct Tasks(Mutex<JoinSet<()>>);

impl Tasks {
    /// Spawns a task; the returned handle aborts it earlier.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let mut tasks = self.lock();
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task)
    }

    pub(crate) fn abort_all(&self) {
        self.lock().abort_all();
    }

    fn lock(&self) -> MutexGuard<'_, JoinSet<()>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<JoinSet<()>> for Tasks {
    fn from(tasks: JoinSet<()>) -> Self {
        Tasks(Mutex::new(tasks))
    }
}
