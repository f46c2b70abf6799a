//! A gate between the two processes of a hot restart, which holds back the new one's report that it has taken over.
//!
//! While the gate is closed, the old process has exported its state and the new one does not serve yet. The gate forwards
//! everything else unchanged. It does not forward descriptors, so the processes must have no peers.

use std::io;
use std::path::{Path, PathBuf};

use tokio::io::{copy, sink, AsyncReadExt, AsyncWriteExt};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::oneshot;

/// Name of the daemon's socket in the folder that its processes share.
const SOCKET: &str = "applewall-n0.sock";
/// Name that the gate gives to the old process's socket.
const OLD_PROCESS_SOCKET: &str = "old-process.sock";
/// First line of a new process, which asks for the state.
const GREETING_BYTES: usize = b"applewall succession 1\n".len();
/// Length of the header of the state; its last four bytes are the length of the state.
const HEADER_BYTES: usize = 8;
/// Line of a new process that has the state and its sockets.
const TAKEN_OVER: &[u8] = b"taken over\n";
/// Length of the line with which the old process confirms the takeover.
const CONFIRMATION_BYTES: usize = b"yours\n".len();

/// Which lines of the old process the gate forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarding {
    /// All.
    All,
    /// Nothing after the confirmation of the takeover, as from a version that sends no commands with it.
    UpToConfirmation,
}

/// A closed gate. It stays closed if it is dropped.
pub struct HotRestartGate {
    reported: oneshot::Receiver<()>,
    open: oneshot::Sender<()>,
}

impl HotRestartGate {
    /// Takes the place of the running process's socket in `folder`, for the next new process.
    ///
    /// # Errors
    ///
    /// There is no such socket, or the gate's own one cannot be created.
    pub fn place(folder: &Path, forwarding: Forwarding) -> io::Result<Self> {
        let (path, old_process) = (folder.join(SOCKET), folder.join(OLD_PROCESS_SOCKET));
        std::fs::rename(&path, &old_process)?;
        let listener = UnixListener::bind(&path)?;
        let (report, reported) = oneshot::channel();
        let (open, opened) = oneshot::channel();
        tokio::spawn(async move {
            let (old, new) = connect(&listener, old_process).await?;
            forward(old, new, forwarding, report, opened).await
        });
        Ok(HotRestartGate { reported, open })
    }

    /// Waits until the new process has reported that it has taken over.
    ///
    /// # Errors
    ///
    /// A process closed its connection before that.
    pub async fn reported(&mut self) -> io::Result<()> {
        let reported = (&mut self.reported).await;
        reported.map_err(|_| io::ErrorKind::ConnectionAborted.into())
    }

    /// Passes the report on to the old process.
    ///
    /// # Errors
    ///
    /// The new process has closed its connection.
    pub fn open(self) -> io::Result<()> {
        let opened = self.open.send(());
        opened.map_err(|()| io::ErrorKind::ConnectionAborted.into())
    }
}

/// Both halves of the connection to one process.
struct Process {
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
}

impl From<UnixStream> for Process {
    fn from(stream: UnixStream) -> Self {
        let (from, to) = stream.into_split();
        Process { from, to }
    }
}

/// Accepts the new process and connects to the old one.
async fn connect(listener: &UnixListener, old_process: PathBuf) -> io::Result<(Process, Process)> {
    let (new, _) = listener.accept().await?;
    let old = UnixStream::connect(old_process).await?;
    Ok((old.into(), new.into()))
}

async fn forward(
    mut old: Process,
    mut new: Process,
    forwarding: Forwarding,
    report: oneshot::Sender<()>,
    opened: oneshot::Receiver<()>,
) -> io::Result<()> {
    forward_bytes(&mut new.from, &mut old.to, GREETING_BYTES).await?;
    let header = forward_bytes(&mut old.from, &mut new.to, HEADER_BYTES).await?;
    let state_bytes = u32::from_be_bytes([header[4], header[5], header[6], header[7]]);
    forward_bytes(&mut old.from, &mut new.to, state_bytes as usize).await?;
    let mut line = vec![0; TAKEN_OVER.len()];
    new.from.read_exact(&mut line).await?;
    // Fails if the test does not wait for the report.
    let _ = report.send(());
    let mut further = [0; 1];
    tokio::select! {
        Ok(()) = opened => {}
        // The new process has died; both connections close.
        _ = new.from.read(&mut further) => return Ok(()),
    }
    old.to.write_all(&line).await?;
    let back = async {
        match forwarding {
            // What the old process writes at once also arrives at once.
            Forwarding::All => copy(&mut old.from, &mut new.to).await,
            Forwarding::UpToConfirmation => {
                forward_bytes(&mut old.from, &mut new.to, CONFIRMATION_BYTES).await?;
                copy(&mut old.from, &mut sink()).await
            }
        }
    };
    tokio::select! {
        copied = copy(&mut new.from, &mut old.to) => copied.map(drop),
        copied = back => copied.map(drop),
    }
}

/// Forwards so many bytes, and returns them.
async fn forward_bytes(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    length: usize,
) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes).await?;
    to.write_all(&bytes).await?;
    Ok(bytes)
}
