//! Signals and the operators' drain: the one who leads through the stages (`applewall_admin::Lifecycle`). SIGTERM: keep
//! taking for a moment, say `Connection: close`, answer all taken, end. SIGHUP: read the configuration again.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::future::pending;

use applewall_admin::{
    AdminResponse, Lifecycle, LifecycleInput, LifecyclePhase, ShutdownDeadlines, ShutdownMode,
};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

use crate::admin::listener::Drain;
use crate::config::platform::Source;
use crate::lifecycle::process_role::{Role, Stopping, Successor};

/// The signals that have a meaning here.
pub(crate) struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// From here on the signals no longer kill.
    pub(crate) fn new() -> Result<Self, String> {
        let handler = |kind| signal(kind).map_err(|e| format!("cannot handle signals: {e}"));
        Ok(Signals {
            term: handler(SignalKind::terminate())?,
            int: handler(SignalKind::interrupt())?,
            hup: handler(SignalKind::hangup())?,
        })
    }

    /// Reloads at each SIGHUP, and leads through the stages for as long as the program runs.
    pub(crate) async fn lead(
        mut self,
        stage: watch::Sender<LifecyclePhase>,
        mut drains: mpsc::Receiver<Drain>,
        (successor, termination): (Successor, ShutdownDeadlines),
        drained: bool,
        mut source: Source,
    ) {
        let (mut stages, origin) = (Lifecycle::new(termination), Instant::now());
        if drained {
            // As the process before was.
            let _ = stages.handle(origin.elapsed(), LifecycleInput::Drain);
            tell(&stage, &stages);
        }
        loop {
            let due = stages.next_deadline();
            let next = async move {
                match due {
                    Some(due) => sleep_until(origin + due).await,
                    None => pending().await,
                }
            };
            let mut stop = false;
            tokio::select! {
                _ = self.term.recv() => stop = true,
                _ = self.int.recv() => stop = true,
                _ = self.hup.recv() => source.reload(),
                Some(Drain { on, reply }) = drains.recv() => {
                    let now = origin.elapsed();
                    let done = stages.handle(now, drain_input(on));
                    let word = stages.phase().as_str();
                    // Once it is in force: an answer that overtook it would be a promise only.
                    tell(&stage, &stages);
                    let _ = reply.send(match done {
                        Ok(_) => AdminResponse::Done(word.to_string()),
                        Err(why) => AdminResponse::Error(why.to_string()),
                    });
                }
                () = next => { let _ = stages.handle(origin.elapsed(), LifecycleInput::Tick); }
            }
            if stop && !stages.phase().is_stopping() {
                tracing::info!("told to stop; answering what was taken");
                let succeeded = *successor.role.borrow() == Role::Succeeded;
                let how = if succeeded {
                    ShutdownMode::Replaced
                } else {
                    ShutdownMode::Standalone
                };
                let (now, late) = (std::time::Instant::now(), termination.late_requests(how));
                let times = Stopping {
                    late: (now + late.begins_after, now + late.answer_within),
                    ends: now + termination.exit_after(how),
                };
                // Before the stage is told: whoever sees it finds the times.
                let _ = successor.stopping.set(times);
                let _ = stages.handle(origin.elapsed(), LifecycleInput::Stop(how));
            }
            tell(&stage, &stages);
        }
    }
}

fn drain_input(on: bool) -> LifecycleInput {
    if on {
        LifecycleInput::Drain
    } else {
        LifecycleInput::Undrain
    }
}

/// Puts the present stage in force where it is new.
fn tell(stage: &watch::Sender<LifecyclePhase>, stages: &Lifecycle) {
    let now = stages.phase();
    stage.send_if_modified(|before| {
        let changed = *before != now;
        if changed && !now.is_stopping() {
            tracing::info!("operator: {}", now.as_str());
        }
        *before = now;
        changed
    });
}
