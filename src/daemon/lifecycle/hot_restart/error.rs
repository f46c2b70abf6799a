//! Errors of a hot restart, on the side of the new process and on that of the old one.

use std::io;

use crate::admin::handle::ExportError;

/// Why a new process received no state from the old one.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReceiveError {
    /// The connection to the old process failed.
    #[error("the connection to the old process failed: {0}")]
    Connection(#[from] io::Error),
    /// The old process did not send the state within [`EXCHANGE_TIMEOUT`](super::EXCHANGE_TIMEOUT).
    #[error("the old process did not send its state in time")]
    Timeout,
    /// The old process closed the connection before the header was complete.
    #[error("the old process closed the connection before it sent its state")]
    Closed,
    /// The header has an unknown format mark, or a length above the limit.
    #[error("the old process speaks another protocol version")]
    Version,
    /// The bytes of the state are not a [`TransferredState`](crate::lifecycle::process_role::TransferredState) encoded with postcard.
    #[error("the state of the old process cannot be decoded: {0}")]
    Undecodable(#[source] postcard::Error),
}

/// Why a new process did not take over, or did not stay active.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HandOverError {
    /// The connection to the new process failed.
    #[error("the connection to the new process failed: {0}")]
    Connection(#[from] io::Error),
    /// The new process sent no greeting within [`EXCHANGE_TIMEOUT`](super::EXCHANGE_TIMEOUT).
    #[error("the new process sent no greeting in time")]
    GreetingTimeout,
    /// The new process sent an unknown greeting.
    #[error("the new process speaks another protocol version")]
    Version,
    /// The engine ended before it exported the state.
    #[error("the engine of this process has stopped")]
    EngineStopped,
    /// The engine could not export the state.
    #[error("the engine of this process could not export its state: {0}")]
    Export(#[source] ExportError),
    /// postcard reported an error for the exported [`TransferredState`](crate::lifecycle::process_role::TransferredState).
    #[error("the state of this process cannot be encoded: {0}")]
    Unencodable(#[source] postcard::Error),
    /// The new process did not read the state within [`EXCHANGE_TIMEOUT`](super::EXCHANGE_TIMEOUT).
    #[error("the new process did not read the state in time")]
    SendTimeout,
    /// The new process closed the connection, or sent a line other than [`TAKEN_OVER`](super::TAKEN_OVER).
    #[error("the new process ended before it had taken over")]
    EndedEarly,
    /// The new process did not report within [`TAKE_OVER_TIMEOUT`](super::TAKE_OVER_TIMEOUT).
    #[error("the new process did not report in time")]
    TakeOverTimeout,
    /// The new process took over and then ended while this process was stopping, and no other process is active.
    #[error("the new process ended while this process was stopping, which accepts clients until it exits")]
    EndedWhileStopping,
    /// The new process took over and then ended while this process was not stopping.
    #[error("the new process ended before this process was told to stop")]
    EndedAfterTakeOver,
}
