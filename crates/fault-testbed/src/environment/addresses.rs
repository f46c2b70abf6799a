//! Loopback addresses of a trial, distinct from those of other trials that run on this machine at the same time.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Port on which each ingress listens for clients, on an address of its own.
const CLIENT_PORT: u16 = 8443;
/// Port on which each ingress receives datagrams, on the same address.
const PEER_PORT: u16 = 7946;
/// Number of ingresses with addresses in one /24.
const INGRESSES_PER_SUBNET: usize = 250;
/// Number of subnets for the proxies, and as many for the ingresses: a trial has at most 400 ingresses.
const SUBNETS_PER_KIND: u8 = 2;

/// The addresses of one trial: `127.a.b.0` and the three subnets behind it.
pub(super) struct AddressPlan {
    /// Second and third byte of the first subnet.
    base: [u8; 2],
}

impl AddressPlan {
    /// The addresses of the next trial of this process.
    pub(super) fn next() -> Self {
        static TRIALS: AtomicU32 = AtomicU32::new(0);
        // Concurrent processes have different ids; each process has eight plans of its own for concurrent trials.
        let id = std::process::id()
            .wrapping_mul(8)
            .wrapping_add(TRIALS.fetch_add(1, Ordering::Relaxed));
        AddressPlan {
            base: [64 + (id >> 6 & 63) as u8, (id & 63) as u8 * 4],
        }
    }

    fn address(&self, subnet: u8, number: usize) -> IpAddr {
        let subnet = self.base[1] + subnet + (number / INGRESSES_PER_SUBNET) as u8;
        let host = (number % INGRESSES_PER_SUBNET + 1) as u8;
        IpAddr::from([127, self.base[0], subnet, host])
    }

    /// Address of the proxies of an ingress. It differs from the ingress's own address, because proxies listen on ephemeral
    /// ports, which could be the ingress's fixed ports.
    pub(super) fn proxy(&self, ingress: usize) -> IpAddr {
        self.address(0, ingress)
    }

    /// Address at which an ingress listens for clients.
    pub(super) fn listen(&self, ingress: usize) -> SocketAddr {
        (self.address(SUBNETS_PER_KIND, ingress), CLIENT_PORT).into()
    }

    /// Address at which an ingress receives datagrams.
    pub(super) fn peer_listen(&self, ingress: usize) -> SocketAddr {
        (self.address(SUBNETS_PER_KIND, ingress), PEER_PORT).into()
    }
}
