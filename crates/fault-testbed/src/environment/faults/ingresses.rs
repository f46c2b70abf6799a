//! Faults of the daemon's processes: signals, kills, shutdowns and restarts.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{no_end, EndFault};
use crate::environment::Environment;
use crate::fault::{IngressFault, InitialList, Restart};
use crate::journal::Event;
use crate::run::POLL_INTERVAL;

/// Maximum time from SIGTERM to the exit of a process: the longest deadline of a request and the platform's allowance.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

/// Time that the platform adds to the longest deadline of a request before SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The longest deadline that the platform takes into account for that.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Time before SIGTERM at which the clients that use the ingress during its shutdown open their connections.
const CONNECTIONS_LEAD_TIME: Duration = Duration::from_millis(300);
/// The signals of a shutdown, with their times after the first one.
const SHUTDOWN_SIGNALS: [(Duration, i32); 5] = [
    (Duration::ZERO, libc::SIGTERM),
    (Duration::from_millis(50), libc::SIGHUP),
    (Duration::from_millis(120), libc::SIGTERM),
    (Duration::from_millis(300), libc::SIGHUP),
    (Duration::from_millis(900), libc::SIGTERM),
];

impl Environment {
    /// Begins a fault of these ingresses and returns the function that ends it.
    pub(super) async fn begin_ingress_fault(
        self: Arc<Self>,
        numbers: Vec<usize>,
        fault: IngressFault,
    ) -> EndFault {
        match fault {
            IngressFault::Kill(restart) => {
                self.kill(numbers, restart).await;
                no_end()
            }
            IngressFault::Terminate(restart) => {
                self.terminate(numbers, restart).await;
                no_end()
            }
            IngressFault::ShutDown(restart) => {
                let mut shutdowns = JoinSet::new();
                for number in numbers {
                    shutdowns.spawn(self.clone().shut_down(number, restart));
                }
                while shutdowns.join_next().await.is_some() {}
                no_end()
            }
            IngressFault::Reload => {
                for number in &numbers {
                    self.ingresses()[*number].reload();
                }
                no_end()
            }
            IngressFault::SuspendBriefly => {
                self.signal(&numbers, libc::SIGSTOP);
                Box::new(move || self.signal(&numbers, libc::SIGCONT))
            }
            IngressFault::Suspend => self.suspend(numbers),
        }
    }

    async fn kill(self: Arc<Self>, numbers: Vec<usize>, restart: Option<Restart>) {
        for number in &numbers {
            let mut ingresses = self.ingresses();
            let ingress = &mut ingresses[*number];
            if ingress.exists() {
                // Recorded before the kill: other tasks may record the ends of the pending requests immediately, and if the
                // kill came after them, the checkers would expect the responses of a running process.
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
            self.restart_ingress(ingress, list);
        }
    }

    fn signal(&self, numbers: &[usize], signal: i32) {
        for number in numbers {
            self.ingresses()[*number].signal(signal);
        }
    }

    /// Sends processes SIGTERM, waits for the exit of each, and restarts them if the fault says so.
    async fn terminate(self: Arc<Self>, numbers: Vec<usize>, restart: Option<Restart>) {
        let mut incarnations = Vec::new();
        for ingress in numbers {
            let mut ingresses = self.ingresses();
            let incarnation = ingresses[ingress].incarnation();
            if incarnation.is_some() {
                self.journal.record(Event::IngressTerminating { ingress });
                ingresses[ingress].signal(libc::SIGTERM);
            }
            incarnations.push((ingress, incarnation));
        }
        for (ingress, incarnation) in incarnations {
            // Another fault may end the process too and start the next one meanwhile.
            let still_runs = || {
                let present = self.ingresses()[ingress].incarnation();
                incarnation.is_some() && present == incarnation
            };
            let ended = async {
                while still_runs() {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            };
            if tokio::time::timeout(EXIT_TIMEOUT, ended).await.is_err() {
                let status = "did not exit in time after SIGTERM".to_string();
                self.journal
                    .record(Event::IngressExited { ingress, status });
                self.ingresses()[ingress].kill();
            }
            let Some(Restart { after, list }) = restart else {
                continue;
            };
            tokio::time::sleep(after).await;
            self.restart_ingress(ingress, list);
        }
    }

    /// Shuts a process down as the platform does: its clients keep using open connections and open new ones, it receives a
    /// series of signals, and it is killed at the earliest time at which the platform does that.
    async fn shut_down(self: Arc<Self>, ingress: usize, restart: Option<Restart>) {
        let Some(clients) = self.clients.get() else {
            return;
        };
        let seed = self.trial.trial.seed ^ (ingress as u64) << 24;
        let mut connections = clients.open_connections_before_shutdown(ingress, seed);
        tokio::time::sleep(CONNECTIONS_LEAD_TIME).await;
        // Another fault may end the process too and start the next one meanwhile.
        let Some(incarnation) = self.ingresses()[ingress].incarnation() else {
            return;
        };
        let still_runs = |this: &Self| this.ingresses()[ingress].incarnation() == Some(incarnation);
        self.journal.record(Event::IngressTerminating { ingress });
        let terminated = Instant::now();
        connections.spawn(
            clients
                .clone()
                .open_connections_during_shutdown(ingress, seed ^ 1),
        );
        for (after, signal) in SHUTDOWN_SIGNALS {
            tokio::time::sleep_until(terminated + after).await;
            if !still_runs(&self) {
                continue;
            }
            match signal {
                libc::SIGHUP => self.ingresses()[ingress].reload(),
                signal => self.ingresses()[ingress].signal(signal),
            }
        }
        let ended = async {
            while still_runs(&self) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let deadline = self.trial.traffic.patience.0.min(MAX_KILL_DEADLINE);
        let kill_at = terminated + deadline + KILL_MARGIN;
        if tokio::time::timeout_at(kill_at, ended).await.is_err() {
            // Recorded before the kill, for the same reason as in `kill`.
            self.journal.record(Event::ShutdownExpired { ingress });
            self.ingresses()[ingress].kill();
        }
        while connections.join_next().await.is_some() {}
        if let Some(Restart { after, list }) = restart {
            tokio::time::sleep(after).await;
            self.restart_ingress(ingress, list);
        }
    }

    /// Restarts an ingress, unless another fault has restarted it meanwhile.
    fn restart_ingress(self: &Arc<Self>, ingress: usize, list: InitialList) {
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
                // Recorded before the signal: requests that the process accepts after it need a response.
                self.record_suspension(*number, false);
                self.ingresses()[*number].signal(libc::SIGCONT);
            }
        })
    }

    fn record_suspension(&self, ingress: usize, suspended: bool) {
        self.journal
            .record(Event::IngressSuspended { ingress, suspended });
    }
}
