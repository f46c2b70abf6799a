//! Conversion of discovery's answers to events, and of errors to kinds of failure.

use super::*;

fn list(revision: u64, complete: bool) -> EndpointList {
    EndpointList {
        revision,
        complete,
        ..EndpointList::default()
    }
}

#[test]
fn full_list_is_a_snapshot_for_any_known_revision() {
    for known in [None, Some(1), Some(9)] {
        let event = classify_answer(known, list(5, true));
        assert!(matches!(event, Ok(WatchEvent::Snapshot(list)) if list.revision == 5));
    }
}

#[test]
fn changes_that_follow_on_the_known_revision_are_a_delta() {
    for known in [4, 5] {
        let event = classify_answer(Some(known), list(5, false));
        assert!(matches!(event, Ok(WatchEvent::Delta(list)) if list.revision == 5));
    }
}

#[test]
fn lower_revision_shows_that_discovery_restarted_its_revisions() {
    let event = classify_answer(Some(6), list(5, false));
    assert!(matches!(event, Ok(WatchEvent::RevisionsRestarted)));
}

#[test]
fn changes_to_an_unknown_list_break_the_connection() {
    let error = classify_answer(None, list(5, false)).unwrap_err();
    assert!(matches!(error, WatchError::NotSnapshot { revision: 5 }));
    assert_eq!(error.failure(), CallFailure::ConnectionLost);
}

#[test]
fn rejection_has_its_status_and_retry_after() {
    let error = WatchError::Rejected {
        status: StatusCode::SERVICE_UNAVAILABLE,
        retry_after_seconds: Some(1.5),
    };
    assert_eq!(error.to_string(), "status 503 Service Unavailable");
    assert_eq!(
        error.failure(),
        CallFailure::Rejected {
            retry_after_seconds: Some(1.5)
        }
    );
}
