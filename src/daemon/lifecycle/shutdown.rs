//! Drives the lifecycle of the process by signals and drain requests.
//!
//! On SIGTERM and SIGINT the process keeps accepting connections for a moment, sends `Connection: close`, answers every
//! accepted request, and exits. On SIGHUP it reloads the configuration. Drain requests come from the admin address.
//!
//! The task of [`LifecycleDriver::run`] alone holds the state machine (`applewall_admin::Lifecycle`) and publishes its phase
//! in a watch channel. The times of the shutdown are set before the phase that begins the shutdown is published, and a drain
//! request is answered after its phase is published.

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

/// A signal handler could not be installed.
#[derive(Debug, thiserror::Error)]
#[error("cannot install signal handlers: {0}")]
pub(crate) struct SignalError(#[source] io::Error);

/// Handlers of the signals that the process reacts to.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

enum SignalAction {
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP.
    Reload,
}

impl Signals {
    /// Installs the handlers. From then on these signals do not kill the process.
    ///
    /// # Errors
    ///
    /// The operating system rejected a handler.
    pub(crate) fn new() -> Result<Self, SignalError> {
        let handler = |kind| signal(kind).map_err(SignalError);
        Ok(Signals {
            terminate: handler(SignalKind::terminate())?,
            interrupt: handler(SignalKind::interrupt())?,
            hangup: handler(SignalKind::hangup())?,
        })
    }

    async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}

/// Drains and shuts the process down on signals, drain requests and deadlines, and reloads the configuration on SIGHUP.
pub(crate) struct LifecycleDriver {
    /// Handlers of SIGTERM, SIGINT and SIGHUP, installed at the start of the process.
    pub signals: Signals,
    /// Publishes the phase.
    pub phase: watch::Sender<LifecyclePhase>,
    /// Drain requests from the admin address.
    pub drain_requests: mpsc::Receiver<DrainRequest>,
    /// Role of this process, and the cell for the times of its shutdown.
    pub status: ProcessStatus,
    /// How long each phase of the shutdown may take.
    pub deadlines: ShutdownDeadlines,
    /// Whether the old process was draining or drained; this process then drains too.
    pub is_draining: bool,
    /// Reloads the configuration on SIGHUP.
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
            let deadline = async move {
                match due {
                    Some(due) => sleep_until(origin + due).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                signal = self.signals.next() => match signal {
                    SignalAction::Stop => self.stop(&mut lifecycle, origin),
                    SignalAction::Reload => self.reloader.reload(),
                },
                Some(request) = self.drain_requests.recv() => self.drain(&mut lifecycle, origin, request),
                () = deadline => { let _ = lifecycle.handle(origin.elapsed(), LifecycleInput::Tick); }
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
        // Published before the answer, because the caller may rely on the phase being in effect.
        self.publish(lifecycle);
        let _ = request.reply.send(match changed {
            Ok(_) => AdminResponse::Done(phase.to_string()),
            Err(reason) => AdminResponse::Error(reason.to_string()),
        });
    }

    /// Begins the shutdown, unless it has already begun.
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
        // Set before the phase is published, because its readers expect the times to be set.
        let times = shutdown_times(self.deadlines, mode);
        let _ = self.status.shutdown_times.set(times);
        let _ = lifecycle.handle(origin.elapsed(), LifecycleInput::Stop(mode));
    }

    /// Publishes the current phase if it has changed.
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
        responses_due_at: now + deadlines.responses_due_after(),
    }
}
