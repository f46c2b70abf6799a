//! Answers to `READY` while the process cannot serve yet.

use super::*;

/// A handle of a process with the given readiness and knowledge of an endpoint list.
pub(crate) fn handle(ready: bool, has_endpoints: bool) -> AdminHandle {
    AdminHandle {
        control: mpsc::channel(1).0,
        drain_requests: mpsc::channel(1).0,
        phase: watch::channel(LifecyclePhase::Serving).1,
        ready: watch::channel(ready).1,
        has_endpoints: watch::channel(has_endpoints).1,
        state_queue: None,
        other_process: watch::channel(None).1,
        change_lock: Arc::default(),
        open_commands: Arc::default(),
    }
}

/// Guards against an answer that blames a takeover when the process only lacks an endpoint list.
#[test]
fn ready_answer_says_why_the_process_is_not_ready() {
    let answer = |ready, has_endpoints| handle(ready, has_endpoints).ready().to_string();
    assert!(answer(false, true).contains("takes over"));
    assert!(answer(false, false).contains("takes over"));
    let without_list = answer(true, false);
    assert!(
        without_list.starts_with("error not yet") && without_list.contains("no endpoint list"),
        "{without_list}"
    );
    assert!(answer(true, true).starts_with("done"));
}
