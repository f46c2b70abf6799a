//! Upgrade in place: one process takes over from another while both serve (docs/service-days-design.md).
//!
//! The one that serves listens on a Unix socket; the new one connects, is handed the estate and says when it has taken
//! over. The connection then carries the operators' calls both ways, and its end tells that the other is gone.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::HashMap;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::sync::Arc;
use std::time::Duration;

use applewall_admin::{AdminCommand, AdminResponse};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest, Lines};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::admin::listener::{Desk, Order};
use crate::lifecycle::process_role::{Estate, Relayed, Role};
use crate::lifecycle::shared_directory::Place;
use crate::peer_socket::PeerSocket;

/// What a successor says first: the form of all that follows, and its version.
const HELLO: &str = "applewall succession 1";
/// Before the estate: what it is, and its version; then its length.
const MARK: [u8; 4] = *b"AWE1";
/// An estate holds this at most.
const MOST: usize = 64 * 1024 * 1024;
/// Each step of the other side has so long.
const STEP: Duration = Duration::from_secs(2);
/// A successor that was handed the estate has so long to take over; then it has failed.
const TAKING: Duration = Duration::from_secs(10);

/// What a new process was handed, and its connection to the one before.
pub(crate) struct Heritage {
    estate: Estate,
    datagrams: Option<OwnedFd>,
    link: UnixStream,
}

/// Takes over from the process that serves here, where there is one.
pub(crate) async fn join(place: &Place) -> Option<Heritage> {
    let path = place.socket();
    let stream = match UnixStream::connect(&path).await {
        Ok(stream) => stream,
        Err(e) => {
            // A stale one is left by a process that was killed; ours takes its place.
            if e.kind() != io::ErrorKind::NotFound {
                tracing::info!("succession: nobody at {}: {e}", path.display());
            }
            return None;
        }
    };
    match timeout(STEP, receive(stream))
        .await
        .unwrap_or_else(|_| Err("no answer in time".to_string()))
    {
        Ok(heritage) => Some(heritage),
        Err(why) => {
            tracing::warn!("succession: nothing taken over: {why}");
            None
        }
    }
}

async fn receive(mut stream: UnixStream) -> Result<Heritage, String> {
    let told = |e: io::Error| e.to_string();
    stream
        .write_all(format!("{HELLO}\n").as_bytes())
        .await
        .map_err(told)?;
    let mut head = [0; 8];
    let (mut read, mut datagrams) = (0, None);
    while read < head.len() {
        let (n, socket) = stream
            .async_io(Interest::READABLE, || take(&stream, &mut head[read..]))
            .await
            .map_err(told)?;
        if n == 0 {
            return Err("the other process hung up".to_string());
        }
        read += n;
        datagrams = datagrams.or(socket);
    }
    let length = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
    if head[..4] != MARK || length > MOST {
        return Err("the other process speaks another version".to_string());
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.map_err(told)?;
    let estate =
        postcard::from_bytes(&bytes).map_err(|e| format!("the estate is not of this form: {e}"))?;
    Ok(Heritage {
        estate,
        datagrams,
        link: stream,
    })
}

/// Reads bytes, and a descriptor that comes with them.
fn take(stream: &UnixStream, into: &mut [u8]) -> io::Result<(usize, Option<OwnedFd>)> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let got = recvmsg(
        stream,
        &mut [IoSliceMut::new(into)],
        &mut ancillary,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let sockets = ancillary.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
        _ => None,
    });
    let first = sockets.flatten().next();
    Ok((got.bytes, first))
}

/// Writes bytes, and a descriptor with them.
fn give(stream: &UnixStream, bytes: &[u8], socket: Option<BorrowedFd<'_>>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let sockets: Vec<BorrowedFd<'_>> = socket.into_iter().collect();
    if !sockets.is_empty() {
        ancillary.push(SendAncillaryMessage::ScmRights(&sockets));
    }
    Ok(sendmsg(
        stream,
        &[IoSlice::new(bytes)],
        &mut ancillary,
        SendFlags::NOSIGNAL,
    )?)
}

/// This process's part in a succession, on either side of it.
pub(crate) struct Succession {
    pub place: Place,
    pub role: watch::Sender<Role>,
    pub other: watch::Sender<Option<mpsc::Sender<Relayed>>>,
    pub desk: Desk,
    pub orders: mpsc::Sender<Order>,
    pub peers: Option<Arc<PeerSocket>>,
}

impl Succession {
    /// Tells the one before that all is taken over, and goes on as the one that serves.
    pub(crate) async fn lead(self, heritage: Option<UnixStream>, taken: oneshot::Sender<()>) {
        let listener = self.listen();
        let mut before = None;
        if let Some(mut stream) = heritage {
            let taken_over = async {
                stream.write_all(b"taken over\n").await.ok()?;
                let mut word = [0; 6];
                stream.read_exact(&mut word).await.ok()
            };
            match timeout(STEP, taken_over).await {
                Ok(Some(_)) => before = Some(stream),
                _ => tracing::warn!("succession: the process before is gone"),
            }
        }
        // Nobody waits for this where there was nobody to take over from.
        let _ = taken.send(());
        if let Some(stream) = before {
            let (reading, writing) = stream.into_split();
            self.link(BufReader::new(reading).lines(), writing).await;
            tracing::info!("succession: the process before has ended");
        }
        let Some(mut listener) = listener else {
            // Nobody can take over; the role stays what it is, and its followers must not find it without an owner.
            return self.role.closed().await;
        };
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(STEP).await;
                continue;
            };
            if let Err(why) = self.hand_over(stream).await {
                tracing::warn!("succession: the new process failed: {why}; this one serves on");
            }
            if *self.role.borrow() != Role::Sole {
                self.role.send_replace(Role::Sole);
                let _ = self.orders.send(Order::TakeBack).await;
                // The other one's socket is in its place.
                if let Some(again) = self.listen() {
                    listener = again;
                }
            }
        }
    }

    /// Listens for a successor: under a name of its own first, then in the place of whatever is there.
    fn listen(&self) -> Option<UnixListener> {
        let (own, path) = (self.place.own_socket(), self.place.socket());
        let _ = std::fs::remove_file(&own);
        let made = UnixListener::bind(&own).and_then(|listener| {
            std::fs::rename(&own, &path)?;
            Ok(listener)
        });
        made.inspect_err(|e| {
            let _ = std::fs::remove_file(&own);
            tracing::warn!(
                "succession: {}: {e}; a new process cannot take over from this one",
                path.display()
            );
        })
        .ok()
    }

    /// Hands all over to a new process, and stays in touch with it while it lives.
    async fn hand_over(&self, mut stream: UnixStream) -> Result<(), String> {
        let told = |e: io::Error| e.to_string();
        let mut hello = vec![0; HELLO.len() + 1];
        let said = timeout(STEP, stream.read_exact(&mut hello)).await;
        said.map_err(|_| "it said nothing".to_string())?
            .map_err(told)?;
        if hello != format!("{HELLO}\n").as_bytes() {
            return Err("it speaks another version".to_string());
        }
        // From here on the datagrams are the other's.
        self.role.send_replace(Role::HandedOut);
        let (reply, estate) = oneshot::channel();
        let _ = self.orders.send(Order::HandOver(reply)).await;
        let mut estate = estate
            .await
            .map_err(|_| "the engine has stopped".to_string())??;
        estate.drained = !self.desk.stages.borrow().reports_healthy();
        let bytes = postcard::to_stdvec(&estate).map_err(|e| e.to_string())?;
        let mut head = [0; 8];
        head[..4].copy_from_slice(&MARK);
        head[4..].copy_from_slice(&(bytes.len() as u32).to_be_bytes());
        let socket = self.peers.as_ref().map(|p| p.as_fd());
        let send = async {
            // So few bytes go in one piece, and the socket with them.
            stream
                .async_io(Interest::WRITABLE, || give(&stream, &head, socket))
                .await
                .map_err(told)?;
            stream.write_all(&bytes).await.map_err(told)
        };
        timeout(STEP, send)
            .await
            .map_err(|_| "it takes nothing".to_string())??;
        let (reading, mut writing) = stream.into_split();
        let mut lines = BufReader::new(reading).lines();
        match timeout(TAKING, lines.next_line()).await {
            Ok(Ok(Some(line))) if line == "taken over" => {}
            Ok(_) => return Err("it ended before it had taken over".to_string()),
            Err(_) => return Err("it did not take over in time".to_string()),
        }
        self.role.send_replace(Role::Succeeded);
        tracing::info!("succession: a new process has taken over");
        // One that is gone by now ended as any other that had taken over.
        if writing.write_all(b"yours\n").await.is_ok() {
            self.link(lines, writing).await;
        }
        if self.desk.stages.borrow().is_stopping() {
            // As it should be: this one ends, and must not come back to life in between.
            std::future::pending::<()>().await;
        }
        Err("it ended before this one was told to stop".to_string())
    }

    /// Carries calls both ways until the other process is gone.
    async fn link(&self, mut lines: Lines<BufReader<OwnedReadHalf>>, mut writing: OwnedWriteHalf) {
        let (sender, mut calls) = mpsc::channel::<Relayed>(16);
        self.other.send_replace(Some(sender));
        let (mut waiting, mut serial) = (HashMap::new(), 0u64);
        loop {
            let line = tokio::select! {
                line = lines.next_line() => match line {
                    Ok(Some(line)) => line,
                    _ => break,
                },
                Some(Relayed { call, reply }) = calls.recv() => {
                    serial += 1;
                    waiting.insert(serial, reply);
                    // Callers that gave up leave nothing behind.
                    waiting.retain(|_, reply: &mut oneshot::Sender<()>| !reply.is_closed());
                    if writing.write_all(format!("call {serial} {call}\n").as_bytes()).await.is_err() {
                        break;
                    }
                    continue;
                }
            };
            let mut words = line.splitn(3, ' ');
            let (what, number, rest) = (words.next(), words.next(), words.next());
            match (what, number.and_then(|n| n.parse::<u64>().ok()), rest) {
                (Some("call"), Some(number), Some(call)) => {
                    let answer = match call.parse::<AdminCommand>() {
                        Ok(call) => self.desk.carry_out_here(call, true).await,
                        Err(why) => AdminResponse::Error(why.to_string()),
                    };
                    if writing
                        .write_all(format!("answer {number} {answer}\n").as_bytes())
                        .await
                        .is_err()
                    {
                        break;
                    }
                }
                (Some("answer"), Some(number), _) => {
                    if let Some(reply) = waiting.remove(&number) {
                        let _ = reply.send(());
                    }
                }
                _ => break,
            }
        }
        self.other.send_replace(None);
    }
}

impl Heritage {
    /// The estate, the connection to the process before, and the socket for datagrams.
    pub(crate) fn parts(self) -> (Option<Estate>, Option<UnixStream>, Option<OwnedFd>) {
        (Some(self.estate), Some(self.link), self.datagrams)
    }
}

#[cfg(test)]
mod golden;
