//! The admin commands that a process executes while it hands its state over.
//!
//! The new process has the state of the moment in which it was exported. What operators change after that reaches the new
//! process as commands, with the confirmation of its takeover.

use applewall_admin::{AdminCommand, LifecyclePhase, MaintenanceSet};

/// The state that admin commands change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AdminState {
    /// Endpoints in maintenance.
    pub maintenance: MaintenanceSet,
    /// Whether the process is draining or drained.
    pub draining: bool,
}

impl AdminState {
    /// The commands that turn `exported` into this state, which is that of a process in `phase`.
    pub(super) fn changes_since(
        &self,
        exported: &AdminState,
        phase: LifecyclePhase,
    ) -> Vec<AdminCommand> {
        let mut commands = self.maintenance.changes_since(&exported.maintenance);
        // A process that is stopping has left its drain, but not by a command.
        if self.draining != exported.draining && !phase.is_stopping() {
            commands.push(match self.draining {
                true => AdminCommand::Drain,
                false => AdminCommand::Undrain,
            });
        }
        commands
    }
}

#[cfg(test)]
mod tests;
