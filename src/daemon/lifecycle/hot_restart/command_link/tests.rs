use super::*;

#[test]
fn lines_of_the_other_process_are_parsed_or_rejected() {
    let command = "DISABLE s-1";
    assert_eq!(
        Line::parse("call 7 DISABLE s-1"),
        Some(Line::Command { number: 7, command })
    );
    // The text of the answer is ignored, because this process answers the caller.
    for line in ["answer 7 done withheld", "answer 7 error no", "answer 7"] {
        assert_eq!(
            Line::parse(line),
            Some(Line::Answer { number: 7 }),
            "{line}"
        );
    }
    for line in [
        "",
        "call",
        "call 7",
        "call x DRAIN",
        "answer",
        "answer -1",
        "DRAIN 1 2",
    ] {
        assert_eq!(Line::parse(line), None, "{line:?}");
    }
}
