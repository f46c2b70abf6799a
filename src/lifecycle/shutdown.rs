//! Signals and drain requests: drives the phases of drain and shutdown.
//!
//! Owner: the task that [`LifecycleDriver::run`] becomes; it alone holds the state machine (`applewall_admin::Stages`).
//! Input: SIGTERM, SIGINT, SIGHUP, drain requests of the admin address, the role of this process, time. Output: the phase
//! in a watch channel, and the instants of the shutdown. Invariants: the instants are set before the phase that begins the
//! shutdown is seen; a drain request is answered once its phase is in force. SIGTERM: accept for a moment, send
//! `Connection: close`, answer all that was accepted, exit. SIGHUP: read the configuration again.

use std::future::pending;
use std::io;

use applewall_admin::{Answer, Leave, Stage, Stages, Termination};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

use crate::admin::handle::DrainRequest;
use crate::config::reload::ConfigReloader;
use crate::lifecycle::process_role::{ProcessRole, ProcessStatus, ShutdownTimes};

/// The signals could not be taken.
#[derive(Debug, thiserror::Error)]
#[error("cannot handle signals: {0}")]
pub(crate) struct SignalError(#[source] io::Error);

/// The signals that have a meaning here.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// One signal that came.
enum SignalReceived {
    Stop,
    Reload,
}

impl Signals {
    /// From here on the signals no longer kill.
    pub(crate) fn new() -> Result<Self, SignalError> {
        let handler = |kind| signal(kind).map_err(SignalError);
        Ok(Signals {
            terminate: handler(SignalKind::terminate())?,
            interrupt: handler(SignalKind::interrupt())?,
            hangup: handler(SignalKind::hangup())?,
        })
    }

    async fn next(&mut self) -> SignalReceived {
        tokio::select! {
            _ = self.terminate.recv() => SignalReceived::Stop,
            _ = self.interrupt.recv() => SignalReceived::Stop,
            _ = self.hangup.recv() => SignalReceived::Reload,
        }
    }
}

/// What drives the phases, and what they are told to.
pub(crate) struct LifecycleDriver {
    /// Signals of the process.
    pub signals: Signals,
    /// The phase, for all who follow it.
    pub phase: watch::Sender<Stage>,
    /// Drain requests of the admin address.
    pub drain_requests: mpsc::Receiver<DrainRequest>,
    /// The role, and the cell for the instants of the shutdown.
    pub status: ProcessStatus,
    /// How long each phase of the shutdown may take.
    pub termination: Termination,
    /// The process before was draining or drained.
    pub draining: bool,
    /// Reads the configuration again at SIGHUP.
    pub reloader: ConfigReloader,
}

impl LifecycleDriver {
    /// Reloads at each SIGHUP, and drives the phases for as long as the program runs.
    pub(crate) async fn run(mut self) {
        let (mut stages, origin) = (Stages::new(self.termination), Instant::now());
        if self.draining {
            // As the process before was.
            let _ = stages.drain(origin.elapsed());
            self.publish(&stages);
        }
        loop {
            let due = stages.due();
            let next = async move {
                match due {
                    Some(due) => sleep_until(origin + due).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                signal = self.signals.next() => match signal {
                    SignalReceived::Stop => self.stop(&mut stages, origin),
                    SignalReceived::Reload => self.reloader.reload(),
                },
                Some(request) = self.drain_requests.recv() => self.drain(&mut stages, origin, request),
                () = next => { stages.step(origin.elapsed()); }
            }
            self.publish(&stages);
        }
    }

    fn drain(&self, stages: &mut Stages, origin: Instant, request: DrainRequest) {
        let changed = if request.drain {
            stages.drain(origin.elapsed())
        } else {
            stages.undrain()
        };
        let phase = stages.stage().word();
        // Once it is in force: an answer that overtook it would be a promise only.
        self.publish(stages);
        let _ = request.reply.send(match changed {
            Ok(()) => Answer::Done(phase.to_string()),
            Err(reason) => Answer::Error(reason.to_string()),
        });
    }

    fn stop(&self, stages: &mut Stages, origin: Instant) {
        if stages.stage().stops() {
            return;
        }
        tracing::info!("shutting down; answering what was accepted");
        let superseded = *self.status.role.borrow() == ProcessRole::Superseded;
        let how = if superseded {
            Leave::Succeeded
        } else {
            Leave::Alone
        };
        // Before the phase is published: whoever sees it finds the instants.
        let times = shutdown_times(self.termination, how);
        let _ = self.status.shutdown_times.set(times);
        stages.stop(origin.elapsed(), how);
    }

    /// Puts the present phase in force where it is new.
    fn publish(&self, stages: &Stages) {
        let now = stages.stage();
        self.phase.send_if_modified(|before| {
            let changed = *before != now;
            if changed && !now.stops() {
                tracing::info!("operator: {}", now.word());
            }
            *before = now;
            changed
        });
    }
}

/// The instants of a shutdown that begins now.
fn shutdown_times(termination: Termination, how: Leave) -> ShutdownTimes {
    let (now, (from, by)) = (std::time::Instant::now(), termination.late(how));
    ShutdownTimes {
        late_from: now + from,
        late_answered_by: now + by,
        exit_at: now + termination.ends(how),
    }
}
