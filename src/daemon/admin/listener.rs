//! Listener of the admin address, which serves one command line and one answer line per connection.
//!
//! [`serve`] runs one task per connection. A new connection above [`MAX_CONNECTIONS`] evicts one that has not sent a command
//! yet; a connection whose command was received is never evicted.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use applewall_admin::{AdminCommand, AdminResponse, MAX_COMMAND_LINE_BYTES};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, LinesCodec, LinesCodecError};
use tokio_util::sync::CancellationToken;

use super::handle::AdminHandle;
use crate::observability::condition_log::ConditionLog;
use crate::server::listener;

/// Maximum number of open connections; `ConnectionBudget` reserves descriptors for them.
const MAX_CONNECTIONS: usize = 12;
/// Backlog of the listening socket, in which a burst of callers waits instead of being refused.
const BACKLOG: u32 = 128;
/// Maximum time that a connection may be open without a complete command line.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time that a caller may take to read its answer and to close the connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after an error of `accept`, so that a persistent error does not cause a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Size of the buffer for input after the command line, which is discarded.
const DISCARD_BYTES: usize = 512;

/// Why the admin address cannot be served, or a caller's line cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdminError {
    /// The address is in use, or not an address of this machine.
    #[error("cannot listen on the admin address {address}: {source}")]
    Listen {
        /// The admin address in the configuration.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The caller's line is longer than any command.
    #[error("the line is longer than {MAX_COMMAND_LINE_BYTES} bytes")]
    LineTooLong,
    /// The caller's line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8,
}

/// Listens on the admin address. A port 0 in `address` is replaced by the port that was bound.
///
/// # Errors
///
/// The address is in use, or not an address of this machine.
pub(crate) async fn bind(address: &mut SocketAddr) -> Result<TcpListener, AdminError> {
    listener::listen(address, BACKLOG)
        .await
        .map_err(|source| AdminError::Listen {
            address: *address,
            source,
        })
}

/// An open connection in [`OpenConnections`].
#[derive(Default)]
struct AdminConnection {
    /// Cancelled to evict the connection.
    evicted: CancellationToken,
    /// Set once the command line was received; from then on the connection is not evicted. It guards no other memory, so
    /// relaxed ordering is sufficient.
    command_received: AtomicBool,
}

/// The open connections, oldest first.
#[derive(Default)]
struct OpenConnections {
    /// Locked while a connection is admitted or removed, never across an await.
    connections: Mutex<VecDeque<Arc<AdminConnection>>>,
}

impl OpenConnections {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Arc<AdminConnection>>> {
        // No code panics while it holds the lock; if one did, the queue would still be consistent.
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a new connection. At the limit, the oldest connection without a command is evicted, so that callers that send
    /// none cannot keep others out. If all connections have sent their commands, the new one is admitted beyond the limit,
    /// because commands are answered within a second.
    fn admit(&self) -> Arc<AdminConnection> {
        let connection = Arc::new(AdminConnection::default());
        let mut connections = self.lock();
        if connections.len() >= MAX_CONNECTIONS {
            let oldest_without_command = connections
                .iter()
                .position(|open| !open.command_received.load(Ordering::Relaxed));
            if let Some(oldest) = oldest_without_command.and_then(|index| connections.remove(index))
            {
                oldest.evicted.cancel();
            }
        }
        connections.push_back(connection.clone());
        connection
    }

    fn remove(&self, connection: &Arc<AdminConnection>) {
        self.lock().retain(|open| !Arc::ptr_eq(open, connection));
    }
}

/// Serves callers for as long as the program runs. The connections' tasks end with this one.
pub(crate) async fn serve(listener: TcpListener, admin: AdminHandle) {
    let open: Arc<OpenConnections> = Arc::default();
    let mut tasks = JoinSet::new();
    let accept_failure = ConditionLog::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_ended) = tasks.join_next() => continue,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                if accept_failure.begins() {
                    tracing::warn!(%error, "admin connection could not be accepted");
                }
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        accept_failure.ends();
        let connection = open.admit();
        let (admin, open) = (admin.clone(), open.clone());
        tasks.spawn(async move {
            tokio::select! {
                biased;
                () = connection.evicted.cancelled() => {}
                () = serve_connection(stream, &connection, &admin) => {}
            }
            open.remove(&connection);
        });
    }
}

/// Reads one command line, executes the command and writes the answer.
async fn serve_connection(
    mut stream: TcpStream,
    connection: &AdminConnection,
    admin: &AdminHandle,
) {
    let _ = stream.set_nodelay(true);
    // Without a line, the caller closed the connection or sent no complete line in time.
    let Ok(Some(line)) = timeout(COMMAND_TIMEOUT, read_line(&mut stream)).await else {
        return;
    };
    connection.command_received.store(true, Ordering::Relaxed);
    let open_command = admin.begin_command().await;
    let command = line.map_err(|error| error.to_string()).and_then(|line| {
        line.parse::<AdminCommand>()
            .map_err(|error| error.to_string())
    });
    let answer = match command {
        Ok(command) => admin.execute(command).await,
        Err(reason) => AdminResponse::Error(reason),
    };
    let written = async {
        write_answer(&mut stream, &answer).await?;
        drop(open_command);
        wait_for_close(&mut stream).await
    };
    let _ = timeout(WRITE_TIMEOUT, written).await;
}

/// Writes the answer line, and ends the output.
async fn write_answer(stream: &mut TcpStream, answer: &AdminResponse) -> io::Result<()> {
    stream.write_all(format!("{answer}\n").as_bytes()).await?;
    stream.shutdown().await
}

/// Waits until the caller has closed the connection.
async fn wait_for_close(stream: &mut TcpStream) -> io::Result<()> {
    // Closing a socket with unread input sends a reset, which can make the caller lose the answer.
    let mut rest = [0; DISCARD_BYTES];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}

/// Reads the caller's line; `None` if the caller closed the connection before the line was complete.
async fn read_line(stream: &mut TcpStream) -> Option<Result<String, AdminError>> {
    let mut codec = LinesCodec::new_with_max_length(MAX_COMMAND_LINE_BYTES);
    let mut buffer = BytesMut::with_capacity(MAX_COMMAND_LINE_BYTES);
    loop {
        let is_end = stream.read_buf(&mut buffer).await.ok()? == 0;
        let line = if is_end {
            codec.decode_eof(&mut buffer)
        } else {
            codec.decode(&mut buffer)
        };
        match line {
            Ok(Some(line)) => return Some(Ok(line)),
            Ok(None) if is_end => return None,
            Ok(None) => {}
            Err(LinesCodecError::MaxLineLengthExceeded) => {
                return Some(Err(AdminError::LineTooLong));
            }
            Err(LinesCodecError::Io(_)) => return Some(Err(AdminError::NotUtf8)),
        }
    }
}

#[cfg(test)]
mod tests;
