//! The proxies of a trial, for connections from ingresses to the fakes and for datagrams between ingresses.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::addresses::AddressPlan;
use super::Environment;
use crate::instance::Instance;
use crate::journal::Journal;
use crate::network::Network;
use crate::tcp_proxy::{self, LinkPair};
use crate::topology::Component;
use crate::trial::Trial;
use crate::udp_proxy::UdpProxy;

/// The platform's limit on the datagrams per second that an ingress receives.
const MAX_DATAGRAMS_PER_SECOND: f64 = 40.0;
/// Makes the random numbers of the links to the list service differ from those of the links to limit servers.
const LIST_LINK_SEED: u64 = 0x115f;

impl Environment {
    pub(super) fn links(&self, ingress: usize, server: Component) -> LinkPair {
        let ingress = Component::Ingress(ingress);
        LinkPair {
            to_server: self.network.link(ingress, server),
            to_ingress: self.network.link(server, ingress),
        }
    }

    /// Accepts the connections of an ingress to the list service and forwards them.
    pub(super) async fn proxy_list_service(self: Arc<Self>, ingress: usize, listener: TcpListener) {
        let links = self.links(ingress, Component::ListService);
        let mut connections = JoinSet::new();
        for number in 0u64.. {
            let Ok((stream, _)) = listener.accept().await else {
                break;
            };
            if links.to_server.condition().reset {
                tcp_proxy::abort(stream);
                continue;
            }
            let seed = self.trial.trial.seed ^ LIST_LINK_SEED ^ (ingress as u64) << 20 ^ number;
            let (server_end, forwarding) = tcp_proxy::forward(stream, links.clone(), seed);
            connections.spawn(forwarding);
            let (list_service, endpoints) =
                (self.list_service.clone(), self.endpoints[ingress].clone());
            connections.spawn(async move {
                let _ = list_service
                    .serve(server_end, ingress, endpoints, number)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
        while connections.join_next().await.is_some() {}
    }
}

/// Accepts the connections of an ingress to one limit server and forwards them.
pub(super) async fn proxy_instance(
    listener: TcpListener,
    instance: Arc<Instance>,
    ingress: usize,
    links: LinkPair,
    seed: u64,
) {
    let mut connections = JoinSet::new();
    for number in 0u64.. {
        let Ok((stream, _)) = listener.accept().await else {
            break;
        };
        if links.to_server.condition().reset || !instance.running() {
            tcp_proxy::abort(stream);
            continue;
        }
        let (server_end, forwarding) = tcp_proxy::forward(stream, links.clone(), seed ^ number);
        connections.spawn(forwarding);
        connections.spawn(instance.clone().serve(server_end, ingress));
        while connections.try_join_next().is_some() {}
    }
    while connections.join_next().await.is_some() {}
}

/// Binds and starts the UDP proxy; returns the addresses at which peers reach each ingress.
pub(super) async fn forward_datagrams(
    trial: &Trial,
    addresses: &AddressPlan,
    network: &Network,
    journal: &Journal,
    tasks: &mut JoinSet<()>,
) -> io::Result<Vec<SocketAddr>> {
    let ingresses = 0..trial.trial.ingresses;
    let proxy = UdpProxy::bind(ingresses.clone().map(|number| addresses.proxy(number))).await?;
    let peers = proxy.addresses()?;
    let receivers = ingresses.map(|number| addresses.peer_listen(number));
    proxy.forward(
        receivers.collect(),
        network,
        MAX_DATAGRAMS_PER_SECOND,
        trial.trial.seed,
        journal,
        tasks,
    );
    Ok(peers)
}
