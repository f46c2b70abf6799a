//! Helper shared by the golden tests of the configuration.

/// Fails at the first line that differs.
pub(super) fn compare(actual: &str, recorded: &str) {
    actual
        .lines()
        .zip(recorded.lines())
        .for_each(|(actual, recorded)| assert_eq!(actual, recorded));
    assert!(
        actual == recorded,
        "{} lines, expected {}",
        actual.lines().count(),
        recorded.lines().count()
    );
}
