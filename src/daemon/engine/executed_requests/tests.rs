use super::*;

#[test]
fn request_is_remembered_until_its_retention_ends() {
    let mut executed = ExecutedRequests::default();
    executed.record(0, RequestId(1));
    executed.record(RETENTION_NS - 1, RequestId(2));
    assert!(executed.contains(RequestId(1)));
    executed.record(RETENTION_NS, RequestId(3));
    assert!(!executed.contains(RequestId(1)));
    assert_eq!(
        executed.all().collect::<Vec<_>>(),
        [RequestId(2), RequestId(3)]
    );
}

#[test]
fn oldest_request_is_dropped_for_a_new_one_at_the_limit() {
    let mut executed = ExecutedRequests::default();
    for number in 0..=MAX_REQUESTS as u64 {
        executed.record(number, RequestId(number));
        executed.record(number, RequestId(number));
    }
    assert_eq!(executed.all().count(), MAX_REQUESTS);
    assert!(!executed.contains(RequestId(0)));
    assert!(executed.contains(RequestId(1)));
}
