//! Signals. SIGTERM: keep taking for a moment, say `Connection: close`, answer all taken, end. SIGHUP: read the
//! configuration again.

use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

use super::config::Source;

/// New connections keep coming for 0.2 to 0.4 s after SIGTERM; they are served for a little longer.
const LEAVING: Duration = Duration::from_millis(600);
/// After that, what was taken has the longest deadline to be answered; then the program ends in any case.
pub const CLOSING: Duration = Duration::from_millis(3_100);

/// How far the way out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// All as usual.
    Serving,
    /// Told to stop: takes and answers, and closes each connection with its next answer.
    Leaving,
    /// Closes what is idle and ends with the last answer.
    Closing,
}

/// The signals that have a meaning here.
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// From here on the signals no longer kill.
    pub fn new() -> Result<Self, String> {
        let handler = |kind| signal(kind).map_err(|e| format!("cannot handle signals: {e}"));
        Ok(Signals {
            term: handler(SignalKind::terminate())?,
            int: handler(SignalKind::interrupt())?,
            hup: handler(SignalKind::hangup())?,
        })
    }

    /// Reloads at each SIGHUP, until another signal leads through the stages.
    pub async fn lead(mut self, stage: watch::Sender<Stage>, mut source: Source) {
        loop {
            tokio::select! {
                _ = self.term.recv() => break,
                _ = self.int.recv() => break,
                _ = self.hup.recv() => source.reload(),
            }
        }
        tracing::info!("told to stop; answering what was taken");
        stage.send_replace(Stage::Leaving);
        tokio::time::sleep(LEAVING).await;
        stage.send_replace(Stage::Closing);
        // The stages end with their sender; it stays until the program does.
        std::future::pending::<()>().await;
    }
}
