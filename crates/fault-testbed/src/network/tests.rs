use super::*;

fn rule(name: &str, both: bool, condition: LinkCondition) -> LinkRule {
    let (from, to) = (
        [Component::Ingress(1)].into(),
        [Component::ListService, Component::Ingress(2)].into(),
    );
    LinkRule {
        name: name.to_string(),
        from,
        to,
        both,
        condition,
    }
}

#[test]
fn rules_apply_to_their_direction_only_and_combine_until_they_are_removed() {
    let network = Network::default();
    let (forward, backward) = (
        network.link(Component::Ingress(1), Component::ListService),
        network.link(Component::ListService, Component::Ingress(1)),
    );
    network.add_rule(rule(
        "delay",
        false,
        LinkCondition {
            delay: RETRANSMIT_DELAY,
            loss: 0.5,
            ..LinkCondition::default()
        },
    ));
    assert_eq!(
        (forward.condition().delay, backward.condition().delay),
        (RETRANSMIT_DELAY, Duration::ZERO)
    );
    network.add_rule(rule(
        "silence",
        true,
        LinkCondition {
            silent: true,
            loss: 0.5,
            ..LinkCondition::default()
        },
    ));
    assert!(
        forward.condition().silent
            && backward.condition().silent
            && forward.condition().loss == 0.75
    );
    network.remove_rules("delay");
    assert_eq!(
        (forward.condition().delay, forward.condition().silent),
        (Duration::ZERO, true)
    );
    network.remove_rules("silence");
    assert_eq!(backward.condition(), LinkCondition::default());
}
