//! How long a request has waited in the kernel's accept queue.
//!
//! While permits are short, connections wait in the queue with their first request. Clients count that time, so their
//! requests have less time left than they state.

use std::os::fd::AsFd;
use std::time::Duration;

use applewall_slow_peer::socket::kernel;
use tokio::net::TcpStream;

use crate::server::unanswered_input::kernel_has_input;

/// A connection whose input has waited for less is not looked at again.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// How long the input of a connection that is accepted now has waited; `None` if it has not, or there is none. The wait of
/// input that came in pieces is that of the last one.
pub(super) fn wait_of_input(stream: &TcpStream) -> Option<Duration> {
    let waited = kernel::since_last_data(stream.as_fd())?;
    (waited >= MIN_WAIT && kernel_has_input(stream)).then_some(waited)
}

#[cfg(test)]
mod tests;
