use super::*;

#[test]
fn at_the_limit_the_oldest_connection_without_a_command_is_evicted() {
    let open = OpenConnections::default();
    let admitted: Vec<_> = (0..MAX_CONNECTIONS).map(|_| open.admit()).collect();
    admitted[0].command_received.store(true, Ordering::Relaxed);
    let new_connection = open.admit();
    let remaining = open.lock();
    let is_open = |connection| remaining.iter().any(|open| Arc::ptr_eq(open, connection));
    assert_eq!(remaining.len(), MAX_CONNECTIONS);
    assert!(is_open(&admitted[0]) && is_open(&new_connection));
    assert!(!is_open(&admitted[1]) && is_open(&admitted[2]));
}

#[test]
fn connection_is_admitted_beyond_the_limit_if_all_others_have_sent_commands() {
    let open = OpenConnections::default();
    for _ in 0..MAX_CONNECTIONS {
        let connection = open.admit();
        connection.command_received.store(true, Ordering::Relaxed);
    }
    let new_connection = open.admit();
    assert_eq!(open.lock().len(), MAX_CONNECTIONS + 1);
    open.remove(&new_connection);
    assert_eq!(open.lock().len(), MAX_CONNECTIONS);
}
