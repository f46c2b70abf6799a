use super::{CountedEvent, EventCounts, EVENTS};

#[test]
fn each_event_has_a_counter_of_its_own() {
    for (index, event) in EVENTS.iter().enumerate() {
        assert_eq!(*event as usize, index, "{event:?}");
    }
}

#[test]
fn count_of_an_event_that_did_not_occur_is_none() {
    let mut counts = EventCounts::default();
    assert!(counts.is_empty());
    counts.0[CountedEvent::ActionRefused as usize] = 2;
    assert!(!counts.is_empty());
    assert_eq!(counts.of(CountedEvent::ActionRefused), Some(2));
    assert_eq!(counts.of(CountedEvent::ConnectionEnded), None);
}
