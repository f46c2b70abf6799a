use super::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;

const TOPOLOGY: Topology = Topology {
    ingresses: 10,
    instances: 6,
    zones: 3,
};

#[test]
fn sets_select_the_named_components_and_random_selections_follow_the_seed() {
    let draw = |text: &str, seed| {
        text.parse::<ComponentSet>()
            .expect("a set")
            .resolve(TOPOLOGY, &mut SmallRng::seed_from_u64(seed))
    };
    assert_eq!(
        draw("instance:zone=1", 1),
        [1, 4].map(Component::Instance).into()
    );
    assert_eq!(
        draw("ingress:8-20+list", 1),
        [
            Component::Ingress(8),
            Component::Ingress(9),
            Component::ListService
        ]
        .into()
    );
    assert_eq!(draw("ingress:0.7", 1).len(), 7);
    assert_eq!(draw("ingress:0.7", 1), draw("ingress:0.7", 1));
    assert!((2..9).any(|seed| draw("ingress:0.7", seed) != draw("ingress:0.7", 1)));
    for wrong in [
        "",
        "ingresses",
        "ingress:x",
        "instance:1.5",
        "ingress:zone=a",
    ] {
        assert!(wrong.parse::<ComponentSet>().is_err(), "{wrong}");
    }
}
