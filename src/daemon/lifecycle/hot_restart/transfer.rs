//! Wire format of the state transfer: the new process sends a greeting; the old one responds with a header of eight bytes,
//! the UDP socket as ancillary data of the header, and the state (postcard).
//!
//! The format is the same in every version that sends [`GREETING`], since the other process may be older or newer.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

use applewall_admin::MaintenanceSet;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::UnixStream;
use tokio::time::timeout;

use super::{HandOverError, OldProcess, ReceiveError, ReceivedTransfer, EXCHANGE_TIMEOUT};
use crate::system::peer_socket::PeerSocket;

/// First line sent by the new process: name and version of the protocol. Its wording and that of [`FORMAT_MARK`] are part of
/// the protocol since its first version.
const GREETING: &str = "applewall succession 1\n";
/// First four bytes of the header: format and version of the state.
const FORMAT_MARK: [u8; 4] = *b"AWE1";
/// Length of the header: the format mark, and the length of the state as a big-endian 32-bit number.
const HEADER_BYTES: usize = 8;
/// Maximum length of the state, which bounds the memory allocated for it. Far above the size of any endpoint list and
/// snapshot.
const MAX_STATE_BYTES: usize = 64 * 1024 * 1024;

/// Requests and reads the state of the old process. `written_before` is the maintenance set in the state file before that.
pub(super) async fn receive(
    mut stream: UnixStream,
    written_before: Option<MaintenanceSet>,
) -> Result<ReceivedTransfer, ReceiveError> {
    stream.write_all(GREETING.as_bytes()).await?;
    let mut header = [0; HEADER_BYTES];
    let (mut read, mut datagram_socket) = (0, None);
    while read < header.len() {
        let (bytes, descriptor) = stream
            .async_io(Interest::READABLE, || {
                receive_with_descriptor(&stream, &mut header[read..])
            })
            .await?;
        if bytes == 0 {
            return Err(ReceiveError::Closed);
        }
        read += bytes;
        datagram_socket = datagram_socket.or(descriptor);
    }
    let length = u32::from_be_bytes([header[4], header[5], header[6], header[7]]) as usize;
    if header[..4] != FORMAT_MARK || length > MAX_STATE_BYTES {
        return Err(ReceiveError::Version);
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    let state = postcard::from_bytes(&bytes).map_err(ReceiveError::Undecodable)?;
    Ok(ReceivedTransfer {
        state,
        datagram_socket,
        old_process: OldProcess {
            connection: stream,
            written_before,
        },
    })
}

/// Reads the greeting of the new process.
pub(super) async fn read_greeting(stream: &mut UnixStream) -> Result<(), HandOverError> {
    let mut greeting = [0; GREETING.len()];
    timeout(EXCHANGE_TIMEOUT, stream.read_exact(&mut greeting))
        .await
        .map_err(|_| HandOverError::GreetingTimeout)??;
    if greeting != GREETING.as_bytes() {
        return Err(HandOverError::Version);
    }
    Ok(())
}

/// Sends the header, the UDP socket if there is one, and the state.
pub(super) async fn send(
    stream: &mut UnixStream,
    state: &[u8],
    peers: Option<&PeerSocket>,
) -> Result<(), HandOverError> {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&FORMAT_MARK);
    header[4..].copy_from_slice(&(state.len() as u32).to_be_bytes());
    let socket = peers.map(AsFd::as_fd);
    // Eight bytes fit into the empty socket buffer, so one call sends them together with the descriptor.
    stream
        .async_io(Interest::WRITABLE, || {
            send_with_descriptor(stream, &header, socket)
        })
        .await?;
    stream.write_all(state).await?;
    Ok(())
}

/// Reads bytes, and the descriptor in their ancillary data if there is one.
fn receive_with_descriptor(
    stream: &UnixStream,
    into: &mut [u8],
) -> io::Result<(usize, Option<OwnedFd>)> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let received = recvmsg(
        stream,
        &mut [IoSliceMut::new(into)],
        &mut ancillary,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let descriptors = ancillary.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    let first = descriptors.flatten().next();
    Ok((received.bytes, first))
}

/// Writes bytes, with a descriptor as their ancillary data.
fn send_with_descriptor(
    stream: &UnixStream,
    bytes: &[u8],
    descriptor: Option<BorrowedFd<'_>>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let descriptors: Vec<BorrowedFd<'_>> = descriptor.into_iter().collect();
    if !descriptors.is_empty() {
        ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
    }
    Ok(sendmsg(
        stream,
        &[IoSlice::new(bytes)],
        &mut ancillary,
        SendFlags::NOSIGNAL,
    )?)
}
