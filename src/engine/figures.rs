//! What the engine counts, and the line of figures in the log.

use super::Engine;

/// Counts since the last line of figures.
#[derive(Default)]
pub(super) struct Figures {
    pub commands: u64,
    pub served: u64,
    pub nacks: u64,
    pub failed: u64,
    pub left: u64,
    pub attempts: u64,
    pub last_resort: u64,
}

impl Engine {
    pub(super) fn tell_figures(&mut self) {
        let Figures {
            commands,
            served,
            nacks,
            failed,
            left,
            attempts,
            last_resort,
        } = std::mem::take(&mut self.figures);
        if commands + last_resort > 0 {
            let (open, idle) = (self.open.len(), self.fleet.idle());
            tracing::info!(
                commands,
                served,
                nacks,
                failed,
                left,
                attempts,
                last_resort,
                open,
                idle,
                "figures"
            );
        }
    }
}
