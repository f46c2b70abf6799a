//! The ejection time of a zone whose returns fail repeatedly.

use super::*;

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_seconds(seconds)
}

#[test]
fn ejection_time_doubles_with_each_failed_return_up_to_a_minute_and_is_reset_by_a_minute_in_use() {
    let mut state = ZoneState::new(at(0.0));
    state.eject(at(1.0));
    for ejection_time in [2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0] {
        state.begin_return(at(2.0), 0.5);
        assert_eq!(
            (state.phase, state.traffic_share),
            (ZonePhase::Returning, 0.5)
        );
        state.eject_again(at(3.0));
        assert_eq!(
            (state.phase, state.traffic_share),
            (ZonePhase::Ejected, 0.0)
        );
        assert_eq!(state.ejection_time().as_seconds(), ejection_time);
    }
    state.restore(at(10.0));
    assert!(state.is_in_use() && state.traffic_share == 1.0, "{state:?}");
    for (now, ejection_time) in [(70.0, 60.0), (70.1, 1.0)] {
        state.reset_ejection_time_if_stable(at(now));
        assert_eq!(
            state.ejection_time().as_seconds(),
            ejection_time,
            "at {now} s"
        );
    }
}
