//! Faults of the daemon's processes: signals, ends and restarts.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{no_end, EndFault};
use crate::environment::Environment;
use crate::fault::{IngressFault, InitialList, Restart};
use crate::journal::Event;
use crate::run::POLL_INTERVAL;

/// Longest time from SIGTERM to the end of a process: the longest deadline of a request, and what the platform adds.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

/// Time from SIGTERM to the earliest SIGKILL of the platform: the longest deadline, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// Time before SIGTERM at which the clients of a shutdown open their connections.
const CONNECTIONS_LEAD_TIME: Duration = Duration::from_millis(300);
/// The signals of a shutdown, by the time from its beginning.
const SHUTDOWN_SIGNALS: [(Duration, i32); 5] = [
    (Duration::ZERO, libc::SIGTERM),
    (Duration::from_millis(50), libc::SIGHUP),
    (Duration::from_millis(120), libc::SIGTERM),
    (Duration::from_millis(300), libc::SIGHUP),
    (Duration::from_millis(900), libc::SIGTERM),
];

impl Environment {
    /// Begins a fault of these ingresses; what ends it is returned.
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
                self.signal(&numbers, libc::SIGHUP);
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
                // Recorded before the kill: other tasks observe at once that the pending requests end, and without the
                // entry the checkers would expect a response of a running process to each of them.
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

    fn signal(&self, numbers: &[usize], signal: i32) {
        for number in numbers {
            self.ingresses()[*number].signal(signal);
        }
    }

    /// Sends processes SIGTERM, waits for the end of each, and starts them again.
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
            // Another fault may end the process too, and start the next one meanwhile.
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

    /// Ends a process as the platform does: its clients use what stays open, signals come in series, and it is killed at the
    /// earliest that is allowed.
    async fn shut_down(self: Arc<Self>, ingress: usize, restart: Option<Restart>) {
        let Some(clients) = self.clients.get() else {
            return;
        };
        let seed = self.trial.trial.seed ^ (ingress as u64) << 24;
        let mut connections = clients.use_until_closed(ingress, seed);
        tokio::time::sleep(CONNECTIONS_LEAD_TIME).await;
        // Another fault may end the process too, and start the next one meanwhile.
        let Some(incarnation) = self.ingresses()[ingress].incarnation() else {
            return;
        };
        let still_runs = |this: &Self| this.ingresses()[ingress].incarnation() == Some(incarnation);
        self.journal.record(Event::IngressTerminating { ingress });
        let terminated = Instant::now();
        connections.spawn(clients.clone().come_during_shutdown(ingress, seed ^ 1));
        for (after, signal) in SHUTDOWN_SIGNALS {
            tokio::time::sleep_until(terminated + after).await;
            if still_runs(&self) {
                self.ingresses()[ingress].signal(signal);
            }
        }
        let ended = async {
            while still_runs(&self) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let kill_at = terminated + EARLIEST_KILL;
        if tokio::time::timeout_at(kill_at, ended).await.is_err() {
            // Recorded before the kill, as with every other.
            self.journal.record(Event::ShutdownExpired { ingress });
            self.ingresses()[ingress].kill();
        }
        while connections.join_next().await.is_some() {}
        if let Some(Restart { after, list }) = restart {
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
                // Recorded before the signal: what the process accepts from then on has to be answered.
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
