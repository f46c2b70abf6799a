//! SIGTERM: keep taking for a moment, say `Connection: close`, answer all taken, end.

use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

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

/// The signals that end the program in an orderly way.
pub struct Signals {
    term: Signal,
    int: Signal,
}

impl Signals {
    /// From here on the signals no longer kill.
    pub fn new() -> Result<Self, String> {
        let handler = |kind| signal(kind).map_err(|e| format!("cannot handle signals: {e}"));
        Ok(Signals { term: handler(SignalKind::terminate())?, int: handler(SignalKind::interrupt())? })
    }

    /// Waits for a signal, then leads through the stages.
    pub async fn lead(mut self, stage: watch::Sender<Stage>) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
        super::log(format_args!("told to stop; answering what was taken"));
        stage.send_replace(Stage::Leaving);
        tokio::time::sleep(LEAVING).await;
        stage.send_replace(Stage::Closing);
        // The stages end with their sender; it stays until the program does.
        std::future::pending::<()>().await;
    }
}
