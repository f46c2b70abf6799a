//! The environment of a trial: its processes, its fakes, and the proxies between them.
//!
//! Built from a [`Trial`]; owned by the run of the trial and shared with the tasks of its faults. Invariants: processes, tasks
//! and sockets end with the environment; all addresses are on loopback, and no other trial on this machine uses them.

mod addresses;
mod faults;
mod processes;
mod proxies;
mod tasks;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use applewall_fault_shim::ControlFile;
use tokio::task::JoinSet;

use crate::clients::Clients;
use crate::instance::{Instance, StartTime};
use crate::journal::{Event, Journal};
use crate::list_service::{Endpoints, EntryState, ListService, Snapshot};
use crate::network::Network;
use crate::process::{IngressConfig, IngressProcess, WarmupSettings, CONTROL_FILE};
use crate::tcp_proxy;
use crate::topology::{Component, Topology};
use crate::trial::Trial;

use addresses::AddressPlan;
use proxies::{forward_datagrams, proxy_instance};
use tasks::Tasks;

/// The address of unreachable list entries, at which nothing listens: the port of the discard service.
const UNREACHABLE: ([u8; 4], u16) = ([127, 255, 255, 254], 9);

/// Everything that runs in a trial.
pub(crate) struct Environment {
    pub(crate) trial: Trial,
    pub(crate) topology: Topology,
    pub(crate) network: Network,
    pub(crate) journal: Journal,
    pub(crate) list_service: Arc<ListService>,
    instances: Mutex<Vec<Arc<Instance>>>,
    ingresses: Mutex<Vec<IngressProcess>>,
    /// Addresses of the instances, by ingress.
    pub(crate) endpoints: Vec<Endpoints>,
    /// The endpoint list at the trial's start, by ingress.
    pub(crate) initial_lists: Vec<Snapshot>,
    addresses: AddressPlan,
    /// Controls the faults of the library that is preloaded into the ingresses.
    pub(crate) system_faults: ControlFile,
    /// Ingresses that have been ready at least once.
    ready: Mutex<BTreeSet<usize>>,
    pub(crate) tasks: Tasks,
    /// The clients, once they have started.
    pub(crate) clients: OnceLock<Arc<Clients>>,
}

impl Environment {
    /// Builds the environment of a trial; the ingresses are not started yet.
    pub(crate) async fn build(
        trial: Trial,
        program: &Path,
        folder: &Path,
    ) -> io::Result<Arc<Self>> {
        let topology = trial.topology();
        let (network, journal) = (Network::default(), Journal::begin());
        let addresses = AddressPlan::next();
        let mut tasks = JoinSet::new();
        let peers = forward_datagrams(&trial, &addresses, &network, &journal, &mut tasks).await?;
        let list_service =
            ListService::new(trial.list_service_limits(), trial.trial.seed, &journal);
        let (mut ingresses, mut listeners) = (Vec::new(), Vec::new());
        for number in 0..topology.ingresses {
            let listener = tcp_proxy::listen(addresses.proxy(number)).await?;
            let config = ingress_config(&trial, number, &addresses, &peers, listener.local_addr()?);
            listeners.push(listener);
            ingresses.push(IngressProcess::new(config, program, folder));
        }
        let mut environment = Environment {
            topology,
            network,
            journal,
            list_service,
            instances: Mutex::default(),
            ingresses: Mutex::new(ingresses),
            endpoints: listeners.iter().map(|_| Endpoints::default()).collect(),
            initial_lists: Vec::new(),
            addresses,
            system_faults: ControlFile::create(&folder.join(CONTROL_FILE))?,
            ready: Mutex::default(),
            tasks: tasks.into(),
            clients: OnceLock::new(),
            trial,
        };
        environment.fill_list().await?;
        let environment = Arc::new(environment);
        for (ingress, listener) in listeners.into_iter().enumerate() {
            let proxy = environment.clone().proxy_list_service(ingress, listener);
            environment.tasks.spawn(proxy);
        }
        Ok(environment)
    }

    /// Starts the limit servers, adds the unreachable entries, and stores the resulting list as the initial one.
    async fn fill_list(&mut self) -> io::Result<()> {
        for _ in 0..self.topology.instances {
            self.add_instance(self.trial.instance_start()).await?;
        }
        for _ in 0..self.trial.list.ballast {
            self.add_unreachable_entry();
        }
        let lists = self.endpoints.iter();
        self.initial_lists = lists
            .map(|endpoints| self.list_service.snapshot(endpoints))
            .collect();
        Ok(())
    }

    pub(crate) fn ingresses(&self) -> MutexGuard<'_, Vec<IngressProcess>> {
        self.ingresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn instances(&self) -> MutexGuard<'_, Vec<Arc<Instance>>> {
        self.instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an ingress is ready.
    pub(crate) fn set_ready(&self, ingress: usize) {
        self.journal.record(Event::IngressReady { ingress });
        self.ready().insert(ingress);
    }

    /// Number of ingresses that have been ready at least once.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready().len()
    }

    fn ready(&self) -> MutexGuard<'_, BTreeSet<usize>> {
        self.ready.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts another limit server, with a listener for each ingress, and adds it to the list.
    pub(crate) async fn add_instance(&self, start: StartTime) -> io::Result<usize> {
        let (instance, number) = {
            let mut instances = self.instances();
            let number = instances.len();
            let instance = Instance::start(number, self.trial.server_model(), start, &self.journal);
            instances.push(instance.clone());
            (instance, number)
        };
        for ingress in 0..self.topology.ingresses {
            let listener = tcp_proxy::listen(self.addresses.proxy(ingress)).await?;
            lock(&self.endpoints[ingress]).push(listener.local_addr()?);
            let seed = self.trial.trial.seed ^ (number as u64) << 40 ^ (ingress as u64) << 20;
            let links = self.links(ingress, Component::Instance(number));
            self.tasks.spawn(proxy_instance(
                listener,
                instance.clone(),
                ingress,
                links,
                seed,
            ));
        }
        self.list_service
            .add(number, number % self.topology.zones, start);
        Ok(number)
    }

    /// Stops a limit server permanently and removes it from the list.
    fn remove_instance(&self, number: usize) {
        self.list_service
            .set_entry_state(number, EntryState::Removed);
        let instance = self.instances()[number].clone();
        instance.stop();
    }

    /// Adds an unreachable entry to the list.
    fn add_unreachable_entry(&self) {
        let mut number = 0;
        for endpoints in &self.endpoints {
            let mut endpoints = lock(endpoints);
            number = endpoints.len();
            endpoints.push(SocketAddr::from(UNREACHABLE));
        }
        self.list_service
            .add(number, number % self.topology.zones, StartTime::LongAgo);
        self.list_service
            .set_entry_state(number, EntryState::Draining);
    }
}

fn lock(endpoints: &Endpoints) -> MutexGuard<'_, Vec<SocketAddr>> {
    endpoints.lock().unwrap_or_else(PoisonError::into_inner)
}

fn ingress_config(
    trial: &Trial,
    number: usize,
    addresses: &AddressPlan,
    peers: &[SocketAddr],
    discovery: SocketAddr,
) -> IngressConfig {
    let zones: Vec<String> = (0..trial.trial.zones)
        .map(|zone| format!("z{zone}"))
        .collect();
    let model = trial.server_model();
    IngressConfig {
        number,
        listen: addresses.listen(number),
        peer_listen: addresses.peer_listen(number),
        discovery,
        peers: peers.to_vec(),
        zone: zones[number % zones.len()].clone(),
        zones,
        operator_file: trial.operator_file(),
        deadline: trial.traffic.patience.0,
        quota_per_second: trial.traffic.quota,
        ceiling: trial.ceiling(),
        warmup: WarmupSettings {
            slow_start_fraction: model.slow_start_fraction,
            warmup_seconds: model.warmup_seconds,
            overload_multiple: model.overload_multiple,
            overload_window_seconds: model.overload_window_seconds,
        },
    }
}
