use std::sync::Arc;

use tokio::sync::Semaphore;

use super::*;

/// Guards against responses that wait for slow clients without counting against the memory.
#[test]
fn prefetched_bytes_count_against_the_limit_until_their_last_reference_is_dropped() {
    let permits = Arc::new(Semaphore::new(100));
    let permit = permits.clone().try_acquire_many_owned(100).ok();
    let body = count(Bytes::from_static(b"four"), permit);
    assert_eq!(body, "four");
    // The permits that were acquired for more bytes than have come are returned.
    assert_eq!(permits.available_permits(), 96);
    let being_written = body.slice(2..);
    drop(body);
    assert_eq!(permits.available_permits(), 96);
    drop(being_written);
    assert_eq!(permits.available_permits(), 100);
    let permit = permits.clone().try_acquire_many_owned(100).ok();
    assert!(count(Bytes::new(), permit).is_empty());
    assert_eq!(permits.available_permits(), 100);
}
