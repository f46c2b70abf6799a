use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;

use super::ConnectionTable;

#[tokio::test]
async fn longest_idle_connection_is_evicted_first_and_one_with_a_request_stays() {
    let (table, permits) = (
        Arc::new(ConnectionTable::default()),
        Arc::new(Semaphore::new(5)),
    );
    let insert = || {
        table.insert(
            permits.clone().try_acquire_owned().unwrap(),
            Arc::default(),
            None,
        )
    };
    let [used_early, unused_early, busy, used_late, unused_late] = [(); 5].map(|()| insert());
    for connection in [&used_early, &used_late, &busy] {
        connection.begin_request();
    }
    used_early.await_request();
    used_late.await_request();
    let (none, long) = (Duration::ZERO, Duration::from_secs(3600));
    let evict = |grace| table.evict_idle(grace, 0);
    // With a long grace period, a new connection without a request outlasts one that had a request.
    for (connection, grace) in [
        (unused_early, none),
        (used_early, long),
        (unused_late, none),
        (used_late, long),
    ] {
        assert!(evict(grace));
        connection.evicted.notified().await;
    }
    assert!(!evict(long));
    assert_eq!(permits.available_permits(), 4);
    drop(busy);
    assert_eq!(permits.available_permits(), 5);
}

#[tokio::test]
async fn new_connection_is_not_evicted_in_its_grace_period_even_if_no_other_can_be() {
    let (table, permits) = (
        Arc::new(ConnectionTable::default()),
        Arc::new(Semaphore::new(1)),
    );
    let permit = permits.clone().try_acquire_owned().unwrap();
    let _connection = table.insert(permit, Arc::default(), None);
    assert!(!table.evict_idle(Duration::from_secs(3600), 0));
    assert!(table.evict_idle(Duration::ZERO, 0));
}

#[tokio::test]
async fn connection_that_has_its_rejection_is_evicted_at_any_time_and_before_all_others() {
    let (table, permits) = (
        Arc::new(ConnectionTable::default()),
        Arc::new(Semaphore::new(3)),
    );
    let insert = || {
        let permit = permits.clone().try_acquire_owned().unwrap();
        table.insert(permit, Arc::default(), None)
    };
    let [used, _unused, rejected] = [(); 3].map(|()| insert());
    used.begin_request();
    used.await_request();
    rejected.await_client_close();
    let long = Duration::from_secs(3600);
    for connection in [rejected, used] {
        assert!(table.evict_idle(long, 0));
        connection.evicted.notified().await;
    }
    // The third has just been accepted.
    assert!(!table.evict_idle(long, 0));
}

#[tokio::test]
async fn connection_that_lingers_after_an_error_is_in_the_table_once() {
    let (table, permits) = (
        Arc::new(ConnectionTable::default()),
        Arc::new(Semaphore::new(1)),
    );
    let permit = permits.clone().try_acquire_owned().unwrap();
    let connection = table.insert(permit, Arc::default(), None);
    connection.begin_request();
    connection.await_request();
    connection.await_client_close();
    assert_eq!(table.lock().connections.len(), 1);
    drop(connection);
    assert!(table.lock().connections.is_empty());
}

#[tokio::test]
async fn connection_is_write_blocked_for_a_time_only_without_progress() {
    let (table, permits) = (
        Arc::new(ConnectionTable::default()),
        Arc::new(Semaphore::new(1)),
    );
    let permit = permits.try_acquire_owned().unwrap();
    let connection = table.insert(permit, Arc::default(), None);
    let limit = Duration::from_millis(80);
    let blocked = connection.write_blocked_for(limit);
    tokio::pin!(blocked);
    let wait = 3 * limit;
    let never_blocked = tokio::time::timeout(wait, &mut blocked).await;
    assert!(never_blocked.is_err(), "no output is waiting");
    connection.set_write_blocked(true);
    // Progress ends the time, a further attempt without progress does not restart it.
    connection.set_write_blocked(false);
    let with_progress = tokio::time::timeout(wait, &mut blocked).await;
    assert!(with_progress.is_err(), "the client reads");
    let begin = Instant::now();
    connection.set_write_blocked(true);
    connection.set_write_blocked(true);
    blocked.await;
    assert!(begin.elapsed() >= limit, "after {:?}", begin.elapsed());
}
