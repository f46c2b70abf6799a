//! Recorded exchanges (`tests/exchanges/*.txt`), played with the real program over loopback; what it sends and logs is
//! compared with the recorded snapshots. `exchange::script` describes the language.

mod exchange;

macro_rules! exchanges {
    ($($name:ident),* $(,)?) => {
        $(
            #[test]
            fn $name() {
                let name = stringify!($name);
                insta::assert_snapshot!(name, exchange::play(name));
            }
        )*
    };
}

exchanges! {
    served, malformed, turned_away, broken, unreachable, silent, client_left, idle, name_table, discovery_lost,
    discovery_busy, peers, stopping, crowded, large, reload, framing, slow_clients, maintenance, calls, drain,
    upgrade, upgrade_fails, upgrade_fails_stopping, upgrade_waits, heritage, nowhere, stopping_long, keyed,
    client_left_behind_bytes, late_connection, late_repeat, fragile, own_settings, reload_lost,
    stopping_body, stopping_behind, upgrade_drain, upgrade_changes,
}
