//! Rules on process exits.

use super::*;

#[test]
fn an_exited_process_and_a_failed_instance_are_violations() {
    let journal = Scenario::valid()
        .at(1.0, ingress_exited("exit status: 1"))
        .at(1.0, Event::InstanceOverloaded { instance: 2 });
    let found = journal.violations();
    assert_eq!(found.len(), 2, "{found:?}");
}

#[test]
fn process_that_received_sigterm_may_only_exit_with_success() {
    let exit = |status: &str| {
        let terminating = Event::IngressTerminating { ingress: 0 };
        let journal = Scenario::default().at(1.0, terminating);
        process_exits(&journal.at(2.0, ingress_exited(status)).0)
    };
    assert_eq!(exit("exit status: 0"), NONE);
    assert_eq!(exit("exit status: 1").len(), 1);
    assert_eq!(exit("did not exit in time after SIGTERM").len(), 1);
}

#[test]
fn sigterm_of_a_killed_process_does_not_excuse_an_exit_of_the_next_one() {
    for killed in [
        Event::ShutdownExpired { ingress: 0 },
        Event::IngressKilled { ingress: 0 },
    ] {
        let journal = Scenario::default()
            .at(1.0, Event::IngressTerminating { ingress: 0 })
            .at(2.0, killed)
            .at(2.1, ingress_started())
            .at(3.0, ingress_exited("exit status: 0"));
        assert_eq!(process_exits(&journal.0).len(), 1);
    }
}
