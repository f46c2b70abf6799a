//! Waiting for what has to happen, and for no time.

use std::time::Duration;

/// Far longer than anything in a test takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until it holds.
///
/// # Panics
///
/// Where it never does, with `what` in the message.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(
        tokio::time::timeout(TEST_TIMEOUT, wait).await.is_ok(),
        "never: {what}"
    );
}
