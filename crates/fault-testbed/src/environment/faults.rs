//! Carries the faults of a trial out: waits for the trigger of each, begins it, and ends it.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use applewall_fault_shim::Fault as SystemFault;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::net::UdpSocket;

use super::Environment;
use crate::fault::{Fault, FaultKind, InitialList, InstanceFault, Restart, SystemCall, Trigger};
use crate::journal::{Entry, Event};
use crate::network::LinkRule;
use crate::run::POLL_INTERVAL;

/// What an address that is no peer's sends: messages of the startup scheduler as peers write them, of a service that is
/// busy and of a process that has just started; a truncated one, a useless one, bytes that are no text, one that is too
/// long.
const FOREIGN_DATAGRAMS: [&[u8]; 6] = [
    b"T1 6 0 99 500",
    b"T1 1 0 - 0",
    b"T1 6",
    b"\0\0",
    b"\xff\xfe\xfd",
    &[b'x'; 300],
];
/// Interval of foreign datagrams to one ingress: half of what an ingress accepts a second.
const FOREIGN_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time from SIGTERM to the end: the longest deadline, and what the platform adds.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);
const NANOS_PER_MILLISECOND: i64 = 1_000_000;

/// Ends a fault that has begun.
type EndFault = Box<dyn FnOnce() + Send>;

/// For faults that have no end.
fn no_end() -> EndFault {
    Box::new(|| {})
}

/// The setting of the preloaded library for a system call.
fn failing_call(call: SystemCall) -> SystemFault {
    match call {
        SystemCall::Accept => SystemFault::AcceptFailsOneIn,
        SystemCall::Connect => SystemFault::ConnectFailsOneIn,
        SystemCall::Socket => SystemFault::SocketFailsOneIn,
    }
}

/// Number of ingresses that have got a list.
fn listed(entries: &[Entry]) -> usize {
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

/// Number of requests that were served.
fn served(entries: &[Entry]) -> usize {
    let served = |entry: &&Entry| {
        let status = match entry.event {
            Event::ResponseReceived { status, .. } => status,
            _ => None,
        };
        status == Some(200)
    };
    entries.iter().filter(served).count()
}

impl Environment {
    /// Carries out one fault of the trial.
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
            Trigger::Listed(count) => self.wait_for_count(listed, count).await,
            Trigger::Served(count) => self.wait_for_count(served, count).await,
        }
    }

    async fn wait_for_count(&self, counted: fn(&[Entry]) -> usize, count: usize) {
        while self.journal.inspect(counted) < count {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Begins a fault; what ends it is returned.
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
            FaultKind::Instances { targets, fault } => {
                let numbers = targets.instances(topology, rng);
                self.begin_instance_fault(numbers, *fault).await
            }
            FaultKind::ForeignDatagrams(targets) => {
                self.send_foreign_datagrams(&targets.ingresses(topology, rng))
            }
            FaultKind::StepWallClock(step_ms) => {
                self.list_service.step_clock(*step_ms);
                let offset_ns = step_ms * NANOS_PER_MILLISECOND;
                self.set_system_fault(SystemFault::WallClockOffsetNs, offset_ns)
            }
            FaultKind::FailSystemCall { call, one_in } => {
                self.set_system_fault(failing_call(*call), i64::from(*one_in))
            }
            FaultKind::Kill { targets, .. }
            | FaultKind::Terminate { targets, .. }
            | FaultKind::Reload(targets)
            | FaultKind::Suspend(targets)
            | FaultKind::Hold(targets) => {
                let numbers = targets.ingresses(topology, rng);
                self.begin_process_fault(kind, numbers).await
            }
        }
    }

    /// Begins a fault of processes.
    async fn begin_process_fault(
        self: Arc<Self>,
        kind: &FaultKind,
        numbers: Vec<usize>,
    ) -> EndFault {
        match kind {
            FaultKind::Kill { restart, .. } => {
                self.kill(numbers, *restart).await;
                no_end()
            }
            FaultKind::Terminate { restart, .. } => {
                self.terminate(numbers, *restart).await;
                no_end()
            }
            FaultKind::Reload(_) => {
                self.signal(&numbers, libc::SIGHUP);
                no_end()
            }
            FaultKind::Hold(_) => {
                self.signal(&numbers, libc::SIGSTOP);
                Box::new(move || self.signal(&numbers, libc::SIGCONT))
            }
            FaultKind::Suspend(_) => self.suspend(numbers),
            _ => no_end(),
        }
    }

    async fn begin_instance_fault(
        self: Arc<Self>,
        numbers: Vec<usize>,
        fault: InstanceFault,
    ) -> EndFault {
        match fault {
            InstanceFault::Restart => self.restart_instances(&numbers),
            InstanceFault::Replace => self.replace_instances(&numbers).await,
            InstanceFault::Remove => self.remove_instances(&numbers),
            InstanceFault::BreakResponses => {
                self.break_responses(&numbers, true);
                Box::new(move || self.break_responses(&numbers, false))
            }
            InstanceFault::Drain => {
                for number in numbers {
                    self.list_service.mark(number, true);
                }
                no_end()
            }
            InstanceFault::FailRequests => {
                self.fail_requests(&numbers, true);
                Box::new(move || self.fail_requests(&numbers, false))
            }
            InstanceFault::NeverAnswer => {
                self.never_answer(&numbers, true);
                Box::new(move || self.never_answer(&numbers, false))
            }
        }
    }

    fn set_link_rule(self: Arc<Self>, rule: LinkRule) -> EndFault {
        let name = rule.name.clone();
        self.network.add_rule(rule);
        Box::new(move || self.network.remove_rules(&name))
    }

    async fn kill(self: Arc<Self>, numbers: Vec<usize>, restart: Option<Restart>) {
        for number in &numbers {
            let mut ingresses = self.ingresses();
            let ingress = &mut ingresses[*number];
            if ingress.exists() {
                // Recorded first: other tasks observe at once that the pending requests end, and without the entry
                // these would look like responses that a running process owed.
                self.journal
                    .record(Event::IngressKilled { ingress: *number });
                ingress.kill();
            }
        }
        let Some(Restart { after, list }) = restart else {
            return;
        };
        tokio::time::sleep(after).await;
        for ingress in numbers {
            self.start_again(ingress, list);
        }
    }

    /// Puts a fault of the preloaded library in force; it stays where the wall clock was stepped.
    fn set_system_fault(self: Arc<Self>, fault: SystemFault, value: i64) -> EndFault {
        self.system_faults.set(fault, value);
        if fault == SystemFault::WallClockOffsetNs {
            return no_end();
        }
        Box::new(move || self.system_faults.set(fault, 0))
    }

    fn signal(&self, numbers: &[usize], signal: i32) {
        for number in numbers {
            self.ingresses()[*number].signal(signal);
        }
    }

    /// Tells processes to stop, waits for the end of each, and starts them again.
    async fn terminate(self: Arc<Self>, numbers: Vec<usize>, restart: Option<Restart>) {
        for ingress in &numbers {
            let mut ingresses = self.ingresses();
            if ingresses[*ingress].exists() {
                self.journal
                    .record(Event::IngressTerminating { ingress: *ingress });
                ingresses[*ingress].signal(libc::SIGTERM);
            }
        }
        for ingress in numbers {
            let ended = async {
                while self.ingresses()[ingress].exists() {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            };
            if tokio::time::timeout(EXIT_TIMEOUT, ended).await.is_err() {
                let status = "did not end in time".to_string();
                self.journal
                    .record(Event::IngressExited { ingress, status });
                self.ingresses()[ingress].kill();
            }
            let Some(Restart { after, list }) = restart else {
                continue;
            };
            tokio::time::sleep(after).await;
            self.start_again(ingress, list);
        }
    }

    /// Starts an ingress that does not run; another fault may have started it meanwhile.
    fn start_again(self: &Arc<Self>, ingress: usize, list: InitialList) {
        if self.ingresses()[ingress].exists() {
            return;
        }
        if let Err(error) = self.start_ingress(ingress, list) {
            let status = error.to_string();
            self.journal
                .record(Event::IngressExited { ingress, status });
        }
    }

    fn suspend(self: Arc<Self>, numbers: Vec<usize>) -> EndFault {
        for number in &numbers {
            self.ingresses()[*number].signal(libc::SIGSTOP);
            self.record_suspension(*number, true);
        }
        Box::new(move || {
            for number in &numbers {
                // Recorded first: what it accepts from then on has to be answered.
                self.record_suspension(*number, false);
                self.ingresses()[*number].signal(libc::SIGCONT);
            }
        })
    }

    fn record_suspension(&self, ingress: usize, suspended: bool) {
        self.journal
            .record(Event::IngressSuspended { ingress, suspended });
    }

    fn restart_instances(&self, numbers: &[usize]) -> EndFault {
        for number in numbers {
            let instance = self.instances()[*number].clone();
            instance.restart();
            self.list_service
                .add(*number, number % self.topology.zones, true);
        }
        no_end()
    }

    async fn replace_instances(&self, numbers: &[usize]) -> EndFault {
        for number in numbers {
            self.remove_instance(*number);
            let _ = self.add_instance(true).await;
        }
        no_end()
    }

    fn remove_instances(&self, numbers: &[usize]) -> EndFault {
        for number in numbers {
            self.remove_instance(*number);
        }
        no_end()
    }

    fn fail_requests(&self, numbers: &[usize], fails: bool) {
        for number in numbers {
            self.instances()[*number].set_fails_requests(fails);
        }
    }

    fn break_responses(&self, numbers: &[usize], breaks: bool) {
        for number in numbers {
            self.instances()[*number].set_breaks_responses(breaks);
        }
    }

    fn never_answer(&self, numbers: &[usize], never: bool) {
        for number in numbers {
            self.instances()[*number].set_never_answers(never);
        }
    }

    fn send_foreign_datagrams(&self, numbers: &[usize]) -> EndFault {
        let ingresses = self.ingresses();
        let receivers = numbers.iter();
        let receivers = receivers.map(|number| ingresses[*number].config.peer_listen);
        let sender = tokio::spawn(send_foreign_datagrams(receivers.collect()));
        Box::new(move || sender.abort())
    }
}

/// Sends foreign datagrams from an address that is no peer's, until it is aborted.
async fn send_foreign_datagrams(receivers: Vec<SocketAddr>) {
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
