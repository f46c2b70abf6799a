//! Datagrams to ingresses from an address that belongs to no peer.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::net::UdpSocket;

/// The datagrams: two valid messages of the startup scheduler (the list service is busy; a process has just started), a
/// truncated one, a meaningless one, one that is not UTF-8, and one that is too long.
const FOREIGN_DATAGRAMS: [&[u8]; 6] = [
    b"T1 6 0 99 500",
    b"T1 1 0 - 0",
    b"T1 6",
    b"\0\0",
    b"\xff\xfe\xfd",
    &[b'x'; 300],
];
/// Interval of the datagrams to one ingress: 20 per second, half of what the platform lets an ingress receive.
const FOREIGN_INTERVAL: Duration = Duration::from_millis(50);

/// Sends each datagram in turn to all receivers, repeatedly, until the task is aborted.
pub(super) async fn send(receivers: Vec<SocketAddr>) {
    let Ok(socket) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else {
        return;
    };
    for datagram in FOREIGN_DATAGRAMS.iter().cycle() {
        for receiver in &receivers {
            let _ = socket.send_to(datagram, receiver).await;
        }
        tokio::time::sleep(FOREIGN_INTERVAL).await;
    }
}
