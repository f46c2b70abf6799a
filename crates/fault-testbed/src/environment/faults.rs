//! Injects the faults of a trial: waits for the trigger of each, begins it, and ends it.
//!
//! Input: the faults of the trial. Output: journal entries at the beginning and end of each, and its effects on links, fakes
//! and processes. Faults of ingresses and of limit servers are in submodules.

mod crowd;
mod foreign_datagrams;
mod ingresses;
mod instances;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use applewall_fault_shim::Fault as SystemFault;
use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::Environment;
use crate::fault::{Fault, FaultKind, SystemCall, Trigger};
use crate::journal::{Entry, Event};
use crate::network::LinkRule;
use crate::run::POLL_INTERVAL;

const NANOS_PER_MILLISECOND: i64 = 1_000_000;

/// Ends an active fault.
type EndFault = Box<dyn FnOnce() + Send>;

/// The end of a fault whose effect is not undone.
fn no_end() -> EndFault {
    Box::new(|| {})
}

/// The fault of the preloaded library that makes this system call fail.
fn system_call_fault(call: SystemCall) -> SystemFault {
    match call {
        SystemCall::Accept => SystemFault::AcceptFailsOneIn,
        SystemCall::Connect => SystemFault::ConnectFailsOneIn,
        SystemCall::Socket => SystemFault::SocketFailsOneIn,
    }
}

/// Number of ingresses that have received a list.
fn listed_ingresses(entries: &[Entry]) -> usize {
    let listed = entries.iter().filter_map(|entry| match entry.event {
        Event::ListResponse {
            ingress,
            status: 200,
            ..
        } => Some(ingress),
        _ => None,
    });
    listed.collect::<BTreeSet<_>>().len()
}

/// Number of requests that have been served.
fn served_requests(entries: &[Entry]) -> usize {
    let served = |entry: &&Entry| entry.event.response_status() == Some(200);
    entries.iter().filter(served).count()
}

impl Environment {
    /// Waits for the trigger of a fault, begins it, and ends it after its duration.
    pub(crate) async fn run_fault(self: Arc<Self>, name: String, seed: u64) {
        let fault: Fault = self.trial.faults[&name].clone();
        let mut rng = SmallRng::seed_from_u64(seed);
        self.wait_for(fault.trigger).await;
        self.record_fault(&name, true);
        let end = self.clone().begin_fault(&name, &fault.kind, &mut rng).await;
        if let Some(duration) = fault.duration {
            tokio::time::sleep(duration).await;
            end();
            self.record_fault(&name, false);
        }
    }

    fn record_fault(&self, name: &str, active: bool) {
        self.journal.record(Event::FaultChanged {
            name: name.to_string(),
            active,
        });
    }

    async fn wait_for(&self, trigger: Trigger) {
        match trigger {
            Trigger::At(at) => {
                let elapsed = Duration::from_secs_f64(self.journal.now());
                tokio::time::sleep(at.saturating_sub(elapsed)).await;
            }
            Trigger::Listed(count) => self.wait_for_count(listed_ingresses, count).await,
            Trigger::Served(count) => self.wait_for_count(served_requests, count).await,
        }
    }

    async fn wait_for_count(&self, counted: fn(&[Entry]) -> usize, count: usize) {
        while self.journal.inspect(counted) < count {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Begins a fault and returns the function that ends it.
    async fn begin_fault(
        self: Arc<Self>,
        name: &str,
        kind: &FaultKind,
        rng: &mut SmallRng,
    ) -> EndFault {
        let topology = self.topology;
        match kind {
            FaultKind::Link {
                from,
                to,
                both,
                condition,
            } => self.set_link_rule(LinkRule {
                name: name.to_string(),
                from: from.resolve(topology, rng),
                to: to.resolve(topology, rng),
                both: *both,
                condition: *condition,
            }),
            FaultKind::ListService(fault) => {
                let fault = *fault;
                self.list_service.begin_fault(fault);
                Box::new(move || self.list_service.end_fault(fault))
            }
            FaultKind::Ingresses { targets, fault } => {
                let numbers = targets.ingresses(topology, rng);
                self.begin_ingress_fault(numbers, *fault).await
            }
            FaultKind::Instances { targets, fault } => {
                let numbers = targets.instances(topology, rng);
                self.begin_instance_fault(numbers, *fault).await
            }
            FaultKind::ForeignDatagrams(targets) => {
                self.send_foreign_datagrams(&targets.ingresses(topology, rng))
            }
            FaultKind::Crowd(targets) => self.send_crowd(&targets.ingresses(topology, rng)),
            FaultKind::StepWallClock(step_ms) => {
                self.list_service.step_clock(*step_ms);
                let offset_ns = step_ms * NANOS_PER_MILLISECOND;
                self.set_system_fault(SystemFault::WallClockOffsetNs, offset_ns)
            }
            FaultKind::FailSystemCall { call, one_in } => {
                self.set_system_fault(system_call_fault(*call), i64::from(*one_in))
            }
        }
    }

    fn set_link_rule(self: Arc<Self>, rule: LinkRule) -> EndFault {
        let name = rule.name.clone();
        self.network.add_rule(rule);
        Box::new(move || self.network.remove_rules(&name))
    }

    /// Activates a fault of the preloaded library. A step of the wall clock is not undone.
    fn set_system_fault(self: Arc<Self>, fault: SystemFault, value: i64) -> EndFault {
        self.system_faults.set(fault, value);
        if fault == SystemFault::WallClockOffsetNs {
            return no_end();
        }
        Box::new(move || self.system_faults.set(fault, 0))
    }

    fn send_crowd(&self, numbers: &[usize]) -> EndFault {
        let ingresses = self.ingresses();
        let addresses = numbers.iter();
        let addresses = addresses.map(|number| ingresses[*number].config.listen);
        let crowd = self.tasks.spawn(crowd::run(addresses.collect()));
        Box::new(move || crowd.abort())
    }

    fn send_foreign_datagrams(&self, numbers: &[usize]) -> EndFault {
        let ingresses = self.ingresses();
        let receivers = numbers.iter();
        let receivers = receivers.map(|number| ingresses[*number].config.peer_listen);
        let sender = self
            .tasks
            .spawn(foreign_datagrams::send(receivers.collect()));
        Box::new(move || sender.abort())
    }
}
