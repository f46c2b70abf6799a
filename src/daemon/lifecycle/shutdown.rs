//! Drives the lifecycle of the process by signals and drain requests.
//!
//! Owner: the task that [`LifecycleDriver::run`] becomes; it alone holds the state machine (`applewall_admin::Lifecycle`).
//! Input: SIGTERM, SIGINT, SIGHUP, drain requests of the admin address, the role of this process, time. Output: the phase
//! in a watch channel, and the times of the shutdown. Invariants: the times are set before the phase that begins the
//! shutdown is published; a drain request is answered after its phase is published. SIGTERM and SIGINT: accept for a
//! moment, send `Connection: close`, answer every accepted request, exit. SIGHUP: read the configuration again.

use std::future::pending;
use std::io;

use applewall_admin::{
    AdminResponse, Lifecycle, LifecycleInput, LifecyclePhase, ShutdownDeadlines, ShutdownMode,
};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

use crate::admin::handle::{DrainChange, DrainRequest};
use crate::config::reload::ConfigReloader;
use crate::lifecycle::process_role::{ProcessRole, ProcessStatus, ShutdownTimes};

/// The signal handlers could not be installed.
#[derive(Debug, thiserror::Error)]
#[error("cannot handle signals: {0}")]
pub(crate) struct SignalError(#[source] io::Error);

/// The handlers of the signals that the process reacts to.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a received signal asks for.
enum SignalReceived {
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP.
    Reload,
}

impl Signals {
    /// Installs the handlers; from here on these signals no longer kill the process.
    ///
    /// # Errors
    ///
    /// The system rejected a handler.
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

/// Drives the phases of drain and shutdown.
pub(crate) struct LifecycleDriver {
    /// The process's signals.
    pub signals: Signals,
    /// Publishes the phase.
    pub phase: watch::Sender<LifecyclePhase>,
    /// Drain requests of the admin address.
    pub drain_requests: mpsc::Receiver<DrainRequest>,
    /// The role, and the cell for the times of the shutdown.
    pub status: ProcessStatus,
    /// How long each phase of the shutdown may take.
    pub deadlines: ShutdownDeadlines,
    /// Whether the old process was draining or drained, so that this one drains too.
    pub is_draining: bool,
    /// Reads the configuration again at SIGHUP.
    pub reloader: ConfigReloader,
}

impl LifecycleDriver {
    /// Handles signals, drain requests and deadlines for as long as the program runs.
    pub(crate) async fn run(mut self) {
        let (mut lifecycle, origin) = (Lifecycle::new(self.deadlines), Instant::now());
        if self.is_draining {
            let _ = lifecycle.handle(origin.elapsed(), LifecycleInput::Drain);
            self.publish(&lifecycle);
        }
        loop {
            let due = lifecycle.next_deadline();
            let next = async move {
                match due {
                    Some(due) => sleep_until(origin + due).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                signal = self.signals.next() => match signal {
                    SignalReceived::Stop => self.stop(&mut lifecycle, origin),
                    SignalReceived::Reload => self.reloader.reload(),
                },
                Some(request) = self.drain_requests.recv() => self.drain(&mut lifecycle, origin, request),
                () = next => { let _ = lifecycle.handle(origin.elapsed(), LifecycleInput::Tick); }
            }
            self.publish(&lifecycle);
        }
    }

    /// Begins or ends a drain, and answers the request.
    fn drain(&self, lifecycle: &mut Lifecycle, origin: Instant, request: DrainRequest) {
        let input = match request.change {
            DrainChange::Begin => LifecycleInput::Drain,
            DrainChange::End => LifecycleInput::Undrain,
        };
        let changed = lifecycle.handle(origin.elapsed(), input);
        let phase = lifecycle.phase().as_str();
        // Before the answer: the caller may rely on the phase being in force.
        self.publish(lifecycle);
        let _ = request.reply.send(match changed {
            Ok(_) => AdminResponse::Done(phase.to_string()),
            Err(reason) => AdminResponse::Error(reason.to_string()),
        });
    }

    /// Begins the shutdown, unless it has begun.
    fn stop(&self, lifecycle: &mut Lifecycle, origin: Instant) {
        if lifecycle.phase().is_stopping() {
            return;
        }
        tracing::info!("shutdown started");
        let superseded = *self.status.role.borrow() == ProcessRole::Superseded;
        let mode = if superseded {
            ShutdownMode::Replaced
        } else {
            ShutdownMode::Standalone
        };
        // Before the phase is published: its readers expect the times to be set.
        let times = shutdown_times(self.deadlines, mode);
        let _ = self.status.shutdown_times.set(times);
        let _ = lifecycle.handle(origin.elapsed(), LifecycleInput::Stop(mode));
    }

    /// Publishes the present phase if it has changed.
    fn publish(&self, lifecycle: &Lifecycle) {
        let phase = lifecycle.phase();
        self.phase.send_if_modified(|published| {
            let changed = *published != phase;
            if changed && !phase.is_stopping() {
                tracing::info!(phase = phase.as_str(), "drain phase changed");
            }
            *published = phase;
            changed
        });
    }
}

/// The times of a shutdown that begins now.
fn shutdown_times(deadlines: ShutdownDeadlines, mode: ShutdownMode) -> ShutdownTimes {
    let (now, late) = (std::time::Instant::now(), deadlines.late_requests(mode));
    ShutdownTimes {
        late_from: now + late.begins_after,
        late_answered_by: now + late.respond_within,
        exit_at: now + deadlines.exit_after(mode),
    }
}
