//! What a trial's processes live in: faces, stand-ins and the links between them.

#![expect(
    clippy::excessive_nesting,
    reason = "deep nesting is flattened as the module is reworked"
)]
#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;
use tokio::net::TcpListener;

use crate::capacity::Model;
use crate::faces::Faces;
use crate::instance::Instance;
use crate::journal::Journal;
use crate::list::{Bears, Endpoints, List};
use crate::net::Net;
use crate::parts::{Layout, Part};
use crate::pipe;
use crate::process::{Ingress, Seat};
use crate::run::model;
use crate::trial::Trial;

/// Where each ingress listens for clients and for datagrams, on an address of its own.
const CLIENTS: u16 = 8443;
const PEERS: u16 = 7946;

/// Everything that runs.
pub(crate) struct World {
    pub(crate) trial: Trial,
    pub(crate) layout: Layout,
    pub(crate) model: Model,
    pub(crate) net: Net,
    pub(crate) journal: Journal,
    pub(crate) list: Arc<List>,
    pub(crate) instances: Mutex<Vec<Arc<Instance>>>,
    pub(crate) ingresses: Mutex<Vec<Ingress>>,
    /// Where each instance listens, by ingress.
    pub(crate) endpoints: Vec<Endpoints>,
    /// The lists that ingresses begin with where theirs is old, by ingress.
    pub(crate) old: Vec<(u64, Vec<Value>)>,
    pub(crate) base: [u8; 2],
    /// Ingresses in the order of which they get ready for the first time, a line each.
    pub(crate) ready: Mutex<BTreeSet<usize>>,
}

impl World {
    pub(crate) async fn build(
        trial: Trial,
        program: &Path,
        folder: &Path,
    ) -> io::Result<Arc<Self>> {
        let sizes = &trial.trial;
        let layout = Layout {
            ingresses: sizes.ingresses,
            instances: sizes.instances,
            zones: sizes.zones,
        };
        let (net, journal) = (Net::default(), Journal::begin());
        // Addresses of loopback that no other rig on this machine uses at the same time.
        static PLAYED: AtomicU32 = AtomicU32::new(0);
        let id = std::process::id()
            .wrapping_mul(8)
            .wrapping_add(PLAYED.fetch_add(1, Ordering::Relaxed));
        let base = [64 + (id >> 6 & 63) as u8, (id & 63) as u8 * 4];
        let at =
            |i: usize| IpAddr::from([127, base[0], base[1] + (i / 250) as u8, (i % 250 + 1) as u8]);
        // The daemon's own addresses are apart from the faces: no listener of the rig takes a port there.
        let own = |i: usize, port| {
            (
                IpAddr::from([
                    127,
                    base[0],
                    base[1] + 2 + (i / 250) as u8,
                    (i % 250 + 1) as u8,
                ]),
                port,
            )
        };
        let faces = Faces::bind((0..layout.ingresses).map(at)).await?;
        let peers = faces.addresses()?;
        let real: Vec<SocketAddr> = (0..layout.ingresses)
            .map(|i| own(i, PEERS).into())
            .collect();
        faces.lead(real.clone(), &net, 40.0, sizes.seed, &journal);
        let servers = &trial.list;
        let span = |span: &Option<applewall_operator_config::DurationSetting>| {
            span.map_or(Duration::ZERO, |s| s.0)
        };
        let bears = Bears {
            calls_per_s: servers.calls_per_s,
            turned_after: span(&servers.turned_after),
            retry_after: span(&servers.retry_after),
        };
        let list = List::new(bears, sizes.seed, &journal);
        let model = model(&trial);
        let operator = trial.operator_file();
        let mut ingresses = Vec::new();
        let mut discovery = Vec::new();
        for i in 0..layout.ingresses {
            let listener = pipe::listen(at(i)).await?;
            let zones: Vec<String> = (0..layout.zones).map(|z| format!("z{z}")).collect();
            let ceiling = trial.traffic.ceiling;
            let seat = Seat {
                number: i,
                listen: own(i, CLIENTS).into(),
                peer_listen: real[i],
                discovery: listener.local_addr()?,
                peers: peers.clone(),
                zones: (zones[i % layout.zones].clone(), zones),
                operator: operator.clone(),
                quota: (trial.traffic.quota, 2.0 * trial.traffic.quota),
                ceiling: (
                    ceiling,
                    2.0 * ceiling,
                    if ceiling > 0.0 {
                        (0.2 * ceiling).max(1.0)
                    } else {
                        0.0
                    },
                ),
                cold: (model.cold_share, model.cold_time),
                fall: (model.fall_multiple, model.fall_window),
            };
            discovery.push(listener);
            ingresses.push(Ingress::new(seat, program, folder));
        }
        let endpoints: Vec<Endpoints> = (0..layout.ingresses)
            .map(|_| Endpoints::default())
            .collect();
        let mut world = World {
            layout,
            model,
            net,
            journal,
            list,
            instances: Mutex::default(),
            ingresses: Mutex::new(ingresses),
            endpoints,
            old: Vec::new(),
            base,
            ready: Mutex::default(),
            trial,
        };
        for _ in 0..layout.instances {
            world.add_instance(world.trial.instance.cold.0).await?;
        }
        let ballast = world.trial.list.ballast;
        for _ in 0..ballast {
            world.add_ballast();
        }
        world.old = world
            .endpoints
            .iter()
            .map(|e| world.list.whole(e))
            .collect();
        let world = Arc::new(world);
        for (ingress, listener) in discovery.into_iter().enumerate() {
            let this = world.clone();
            tokio::spawn(async move { this.lead_list(ingress, listener).await });
        }
        Ok(world)
    }

    fn address(&self, ingress: usize) -> IpAddr {
        let part = (ingress / 250) as u8;
        IpAddr::from([
            127,
            self.base[0],
            self.base[1] + part,
            (ingress % 250 + 1) as u8,
        ])
    }

    pub(crate) fn lock_ingresses(&self) -> std::sync::MutexGuard<'_, Vec<Ingress>> {
        self.ingresses
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub(crate) fn lock_instances(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Instance>>> {
        self.instances
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub(crate) fn lock_ready(&self) -> std::sync::MutexGuard<'_, BTreeSet<usize>> {
        self.ready
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// One more limit server, with a listener for each ingress; the list names it.
    pub(crate) async fn add_instance(&self, cold: bool) -> io::Result<usize> {
        let instance = {
            let mut all = self.lock_instances();
            let instance = Instance::start(all.len(), self.model, cold, &self.journal);
            all.push(instance.clone());
            instance
        };
        let number = self.lock_instances().len() - 1;
        for ingress in 0..self.layout.ingresses {
            let listener = pipe::listen(self.address(ingress)).await?;
            let address = listener.local_addr()?;
            self.endpoints[ingress]
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .push(address);
            let (instance, net) = (instance.clone(), self.net.clone());
            let seed = self.trial.trial.seed ^ (number as u64) << 40 ^ (ingress as u64) << 20;
            tokio::spawn(async move {
                for turn in 0u64.. {
                    let Ok((stream, _)) = listener.accept().await else {
                        return;
                    };
                    let (there, back) = (
                        net.link(Part::Ingress(ingress), Part::Instance(number)),
                        net.link(Part::Instance(number), Part::Ingress(ingress)),
                    );
                    if there.now().reset || !instance.up() {
                        pipe::abort(stream);
                        continue;
                    }
                    let end = pipe::to_server(stream, there, back, seed ^ turn);
                    tokio::spawn(instance.clone().serve(end, ingress));
                }
            });
        }
        self.list.add(number, number % self.layout.zones, cold);
        Ok(number)
    }

    /// An entry of the list at an address where nobody listens.
    fn add_ballast(&self) {
        let number = {
            let mut first = 0;
            for endpoints in &self.endpoints {
                let mut endpoints = endpoints
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                first = endpoints.len();
                endpoints.push(SocketAddr::from(([127, 255, 255, 254], 9)));
            }
            first
        };
        self.list.add(number, number % self.layout.zones, false);
        self.list.mark(number, true);
    }

    async fn lead_list(self: Arc<Self>, ingress: usize, listener: TcpListener) {
        for turn in 0u64.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let (there, back) = (
                self.net.link(Part::Ingress(ingress), Part::List),
                self.net.link(Part::List, Part::Ingress(ingress)),
            );
            if there.now().reset {
                pipe::abort(stream);
                continue;
            }
            let seed = self.trial.trial.seed ^ 0x115f ^ (ingress as u64) << 20 ^ turn;
            let end = pipe::to_server(stream, there, back, seed);
            let (list, endpoints) = (self.list.clone(), self.endpoints[ingress].clone());
            tokio::spawn(async move {
                let _ = list.serve(end, ingress, endpoints, turn).await;
            });
        }
    }
}
