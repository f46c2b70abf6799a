use super::*;

#[test]
fn the_snapshot_is_where_it_was() {
    assert_eq!(
        path("/var/lib/applewall"),
        Path::new("/var/lib/applewall/roster.snapshot")
    );
}
