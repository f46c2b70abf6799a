use super::*;

#[test]
fn faults_are_parsed_and_errors_name_the_token_that_does_not_fit() {
    let read = |text: &str| text.parse::<Fault>();
    let cut =
        read("at 2s: link ingress:zone=0 <-> list silent loss 0.3 delay 1s for 3s").expect("a cut");
    assert_eq!(
        (cut.trigger, cut.duration),
        (
            Trigger::At(Duration::from_secs(2)),
            Some(Duration::from_secs(3))
        )
    );
    let FaultKind::Link {
        both: true,
        condition,
        ..
    } = cut.kind
    else {
        panic!("{cut:?}")
    };
    assert!(condition.silent && condition.loss == 0.3 && condition.delay == Duration::from_secs(1));
    let kill = read("when 12 listed: kill ingress:0.7 and start after 200ms old").expect("a kill");
    assert_eq!(kill.trigger, Trigger::Listed(12));
    assert!(matches!(
        kill.kind,
        FaultKind::Ingresses {
            fault: IngressFault::Kill(Some(Restart {
                list: InitialList::Old,
                ..
            })),
            ..
        }
    ));
    for (wrong, why) in [
        ("kill ingress:1", "a fault has the form"),
        ("at two: kill ingress:1", "'two' is not a duration"),
        (
            "when 3 eaten: kill ingress:1",
            "'eaten' is not listed or served",
        ),
        ("at 1s: eat ingress:1", "'eat' is not a known fault"),
        ("at 1s: link list -> clients", "no condition"),
        ("at 1s: link list -> clients loss 2", "2 is not a fraction"),
        (
            "at 1s: list turns away 0.5 for ever",
            "'ever' is not a duration",
        ),
        ("at 1s: stop ingress:1 now", "unexpected 'now'"),
    ] {
        let error = read(wrong).expect_err(wrong);
        assert!(error.to_string().contains(why), "{wrong}: {error}");
    }
}
