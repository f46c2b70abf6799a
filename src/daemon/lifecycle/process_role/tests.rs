use std::time::Duration;

use super::*;

#[test]
fn role_is_superseded_by_a_completed_transfer_and_active_again_after_a_failure() {
    let (owner, role) = RoleOwner::new();
    assert_eq!(*role.borrow(), ProcessRole::Active);
    assert!(!owner.resume(), "the process is already active");
    let pending = owner.begin_transfer();
    assert_eq!(*role.borrow(), ProcessRole::TransferPending);
    pending.complete();
    assert_eq!(*role.borrow(), ProcessRole::Superseded);
    assert!(owner.resume());
    assert_eq!(*role.borrow(), ProcessRole::Active);
    // The new process failed before it had taken over.
    let _failed = owner.begin_transfer();
    assert!(owner.resume() && *role.borrow() == ProcessRole::Active);
}

#[test]
fn shutdown_limits_only_answers_to_late_requests() {
    let begin = Instant::now();
    let after = |millis| begin + Duration::from_millis(millis);
    let times = ShutdownTimes {
        late_from: after(600),
        late_answered_by: after(3600),
        responses_due_at: after(3900),
    };
    assert_eq!(times.answer_limit(begin), None);
    assert_eq!(times.answer_limit(after(599)), None);
    assert_eq!(times.answer_limit(after(600)), Some(after(3600)));
}
