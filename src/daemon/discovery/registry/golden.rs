use super::snapshot_file::path;
use std::path::Path;

#[test]
fn snapshot_is_at_the_recorded_path() {
    assert_eq!(
        path("/var/lib/applewall"),
        Path::new("/var/lib/applewall/roster.snapshot")
    );
}
