use super::*;
use tokio::sync::Semaphore;

#[tokio::test]
async fn the_longest_silent_go_first_and_those_that_ask_stay() {
    let (seats, places) = (Arc::new(Seats::default()), Arc::new(Semaphore::new(5)));
    let sit = || {
        seats.sit(
            places.clone().try_acquire_owned().unwrap(),
            Arc::default(),
            None,
        )
    };
    let [asked_early, silent_early, asks, asked_late, silent_late] = [(); 5].map(|()| sit());
    for seat in [&asked_early, &asked_late, &asks] {
        seat.begin();
    }
    asked_early.wait();
    asked_late.wait();
    let (none, long) = (Duration::ZERO, Duration::from_secs(3600));
    // In the end, a new one that has not asked stays for longer than one that has.
    for (seat, grace) in [
        (silent_early, none),
        (asked_early, long),
        (silent_late, none),
        (asked_late, long),
    ] {
        assert!(seats.make_room(grace, 0));
        seat.go.notified().await;
    }
    assert!(!seats.make_room(long, 0));
    assert_eq!(places.available_permits(), 4);
    drop(asks);
    assert_eq!(places.available_permits(), 5);
}
