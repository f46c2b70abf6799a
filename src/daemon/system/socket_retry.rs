//! Opens sockets with retries, so that a transient shortage of system resources does not end the process.

use std::future::Future;
use std::io;
use std::time::Duration;

use rustix::io::Errno;
use tokio::time::{sleep, Instant};

/// How long opening a socket is retried: half of the 6 s within which a node has to be ready. The other half is left for the
/// rest of the startup.
const RETRY_PERIOD: Duration = Duration::from_secs(3);
/// Interval between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Calls `open` until it succeeds, fails with an error that is not transient, or [`RETRY_PERIOD`] is over.
///
/// # Errors
///
/// The error of the last attempt.
pub(crate) async fn open_with_retries<T, F: Future<Output = io::Result<T>>>(
    mut open: impl FnMut() -> F,
) -> io::Result<T> {
    let deadline = Instant::now() + RETRY_PERIOD;
    loop {
        match open().await {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Whether the error is a shortage of system resources or an interrupted call.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| {
        [
            Errno::MFILE,
            Errno::NFILE,
            Errno::NOBUFS,
            Errno::NOMEM,
            Errno::AGAIN,
            Errno::INTR,
        ]
        .contains(&errno)
    })
}
