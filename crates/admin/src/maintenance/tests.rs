//! Endpoints that are put into maintenance and returned to service.

use proptest::prelude::*;

use super::{MaintenanceError, MaintenanceSet, MAX_IDS_IN_MAINTENANCE};

#[test]
fn one_enable_undoes_two_disables_and_an_unlisted_id_is_rejected() {
    let mut set = MaintenanceSet::default();
    assert_eq!(set.disable("a", true), Ok(true));
    assert_eq!(set.disable("a", true), Ok(false));
    // The endpoint was removed from the list.
    assert_eq!(set.disable("a", false), Ok(false));
    assert_eq!(set.enable("a", false), Ok(true));
    assert_eq!(
        set.enable("a", false),
        Err(MaintenanceError::UnknownEndpoint)
    );
    assert_eq!(set.enable("a", true), Ok(false));
    assert_eq!(
        set.disable("b", false),
        Err(MaintenanceError::UnknownEndpoint)
    );
    assert!(set.is_empty());
}

#[test]
fn a_full_set_rejects_a_further_id_and_stays_unchanged() {
    let mut set = MaintenanceSet::default();
    for number in 0..MAX_IDS_IN_MAINTENANCE {
        assert_eq!(set.disable(&number.to_string(), true), Ok(true));
    }
    assert_eq!(set.disable("one more", true), Err(MaintenanceError::Full));
    assert_eq!(
        set.disable("one more", false),
        Err(MaintenanceError::UnknownEndpoint)
    );
    assert_eq!(
        (set.len(), set.contains("one more")),
        (MAX_IDS_IN_MAINTENANCE, false)
    );
}

proptest! {
    /// The set is compared with a model: one flag for each id, set by the last accepted command for that id.
    #[test]
    fn the_last_command_about_a_known_id_is_in_force(
        commands in proptest::collection::vec((0..4u8, any::<bool>(), any::<bool>()), 0..60)
    ) {
        let (mut set, mut model) = (MaintenanceSet::default(), [false; 4]);
        for (id, disable, listed) in commands {
            let (name, before) = (id.to_string(), model[usize::from(id)]);
            let known = before || listed;
            let changed = match disable {
                true => set.disable(&name, listed),
                false => set.enable(&name, listed),
            };
            if known {
                model[usize::from(id)] = disable;
                prop_assert_eq!(changed, Ok(before != disable));
            } else {
                prop_assert_eq!(changed, Err(MaintenanceError::UnknownEndpoint));
            }
            prop_assert_eq!(set.contains(&name), model[usize::from(id)]);
        }
    }
}
