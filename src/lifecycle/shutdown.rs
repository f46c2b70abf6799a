//! Signals and the operators' drain: the one who leads through the stages (`applewall_admin::Stages`). SIGTERM: keep
//! taking for a moment, say `Connection: close`, answer all taken, end. SIGHUP: read the configuration again.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::future::pending;

use applewall_admin::{Answer, Leave, Stage, Stages, Termination};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

use crate::admin::listener::DrainRequest;
use crate::config::platform::ConfigReloader;
use crate::lifecycle::process_role::{ProcessRole, ProcessStatus, ShutdownTimes};

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
    pub(crate) async fn run(
        mut self,
        stage: watch::Sender<Stage>,
        mut drains: mpsc::Receiver<DrainRequest>,
        (successor, termination): (ProcessStatus, Termination),
        drained: bool,
        mut source: ConfigReloader,
    ) {
        let (mut stages, origin) = (Stages::new(termination), Instant::now());
        if drained {
            // As the process before was.
            let _ = stages.drain(origin.elapsed());
            tell(&stage, &stages);
        }
        loop {
            let due = stages.due();
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
                Some(DrainRequest { drain: on, reply }) = drains.recv() => {
                    let now = origin.elapsed();
                    let done = if on { stages.drain(now) } else { stages.undrain() };
                    let word = stages.stage().word();
                    // Once it is in force: an answer that overtook it would be a promise only.
                    tell(&stage, &stages);
                    let _ = reply.send(match done {
                        Ok(()) => Answer::Done(word.to_string()),
                        Err(why) => Answer::Error(why.to_string()),
                    });
                }
                () = next => { stages.step(origin.elapsed()); }
            }
            if stop && !stages.stage().stops() {
                tracing::info!("told to stop; answering what was taken");
                let succeeded = *successor.role.borrow() == ProcessRole::Superseded;
                let how = if succeeded {
                    Leave::Succeeded
                } else {
                    Leave::Alone
                };
                // Before the stage is told: whoever sees it finds the times.
                let _ = successor
                    .shutdown_times
                    .set(shutdown_times(termination, how));
                stages.stop(origin.elapsed(), how);
            }
            tell(&stage, &stages);
        }
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

/// Puts the present stage in force where it is new.
fn tell(stage: &watch::Sender<Stage>, stages: &Stages) {
    let now = stages.stage();
    stage.send_if_modified(|before| {
        let changed = *before != now;
        if changed && !now.stops() {
            tracing::info!("operator: {}", now.word());
        }
        *before = now;
        changed
    });
}
