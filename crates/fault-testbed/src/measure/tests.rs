use super::*;

#[test]
fn arguments_are_read_and_wrong_ones_are_rejected() {
    let read = |args: &[&str]| {
        let parser = lexopt::Parser::from_args(args.iter().copied());
        Arguments::parse(parser, &[24])
    };
    let arguments =
        read(&["--seeds", "3", "--sizes", "24,100", "--before", "old"]).expect("arguments");
    assert_eq!(
        (arguments.seeds, arguments.sizes, arguments.before),
        (3, vec![24, 100], Some("old".into()))
    );
    assert_eq!(read(&[]).expect("defaults").sizes, [24]);
    for wrong in [
        &["--sizes", "24,x"][..],
        &["--seeds", "x"],
        &["--seed", "3"],
        &["--before"],
    ] {
        assert!(read(wrong).is_err(), "{wrong:?}");
    }
}
