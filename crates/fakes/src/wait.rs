//! Waits for conditions, so that tests need no sleeps of a fixed length.

use std::time::Duration;

/// Time after which a wait fails; much longer than anything that a test waits for.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is polled; short compared to the times that tests measure.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds.
///
/// # Panics
///
/// If it does not hold within [`TEST_TIMEOUT`]; the message contains `description`.
pub async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(
        tokio::time::timeout(TEST_TIMEOUT, wait).await.is_ok(),
        "timed out after {} s waiting for: {description}",
        TEST_TIMEOUT.as_secs()
    );
}
