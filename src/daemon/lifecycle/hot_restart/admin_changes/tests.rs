use super::*;

fn state(ids: &[&str], draining: bool) -> AdminState {
    let mut maintenance = MaintenanceSet::default();
    for id in ids {
        maintenance.disable(id, true).expect("not full");
    }
    AdminState {
        maintenance,
        draining,
    }
}

/// Guards against commands that only the old process hears of.
#[test]
fn changes_since_the_export_are_commands_in_both_directions() {
    let serving = LifecyclePhase::Serving;
    let exported = state(&["a", "b"], false);
    assert_eq!(exported.changes_since(&exported, serving), []);
    let disable = |id: &str| AdminCommand::Disable(id.to_string());
    let enable = |id: &str| AdminCommand::Enable(id.to_string());
    let later = state(&["b", "c", "d"], true);
    assert_eq!(
        later.changes_since(&exported, LifecyclePhase::Draining),
        [disable("c"), disable("d"), enable("a"), AdminCommand::Drain]
    );
    assert_eq!(
        exported.changes_since(&later, serving),
        [
            disable("a"),
            enable("c"),
            enable("d"),
            AdminCommand::Undrain
        ]
    );
}

#[test]
fn stop_of_a_drained_process_does_not_end_the_drain_of_the_new_one() {
    let (drained, stopping) = (state(&[], true), state(&[], false));
    assert_eq!(
        stopping.changes_since(&drained, LifecyclePhase::Terminating),
        []
    );
}
