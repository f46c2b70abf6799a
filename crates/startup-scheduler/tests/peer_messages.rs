//! Incorrect messages of peers, and too many of them.

use applewall_startup_scheduler::{
    Input, ListState, Message, NodeId, Settings, Start, StartupScheduler, StatusMessage, TimeSpan,
    Timestamp,
};

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_seconds(seconds)
}

fn start(node: u32, fleet_size: u32, list: ListState) -> Start {
    Start {
        node: NodeId(node),
        fleet_size,
        list,
        seed: 3,
        now: Timestamp::from_seconds(0.0),
        unix_time_of_origin: TimeSpan::from_seconds(1.7e9),
    }
}

fn received(from: u32, status: StatusMessage) -> Input {
    Input::MessageReceived {
        from: NodeId(from),
        message: Message::Status(status),
    }
}

#[test]
fn peer_with_wrong_messages_delays_a_call_within_the_window_and_changes_nothing_else() {
    let settings = Settings {
        calls_per_s: 20.0,
        ..Settings::default()
    };
    let wrong = StatusMessage {
        wants_reply: false,
        age_deciseconds: 0,
        revision: Some(u64::MAX >> 11),
        confirmed: true,
        overloaded: true,
        starting_peers: u32::MAX,
    };
    let mut scheduler = StartupScheduler::new(&settings, start(7, 300, ListState::Restored(5)));
    scheduler.handle(at(0.0), Input::Started);
    for from in [0, 1, 2, 3, 4, 7, 300, u32::MAX] {
        let output = scheduler.handle(at(0.01), received(from, wrong));
        assert!(output.messages.is_empty(), "a reply to {from}");
    }
    // One fleet window, and a second one because the service is reported to be overloaded.
    let first_call_at = scheduler.first_call_at(at(0.1));
    assert!(
        first_call_at <= at(2.0 * 300.0 / 20.0),
        "first call at {first_call_at:?}"
    );
    assert_eq!(
        scheduler.list(),
        ListState::Restored(5),
        "a peer's revision is not adopted"
    );
}

#[test]
fn replies_are_rate_limited_however_many_peers_query() {
    let settings = Settings::default();
    let mut scheduler = StartupScheduler::new(&settings, start(0, 1000, ListState::Confirmed(5)));
    let query = StatusMessage {
        wants_reply: true,
        age_deciseconds: 0,
        revision: None,
        confirmed: false,
        overloaded: false,
        starting_peers: 0,
    };
    let replies = (1..1000)
        .filter(|from| {
            let now = f64::from(*from) / 1000.0;
            let output = scheduler.handle(at(now), received(*from, query));
            !output.messages.is_empty()
        })
        .count();
    assert!(replies <= 10, "{replies} replies in a second");
}
