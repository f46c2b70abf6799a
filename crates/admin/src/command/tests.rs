//! Parsing of command lines, and the text of commands and responses.

use proptest::prelude::*;

use super::{AdminCommand, AdminResponse};

fn parse(line: &str) -> Result<AdminCommand, super::CommandError> {
    line.parse()
}

#[test]
fn a_command_line_is_parsed_completely_or_rejected() {
    assert_eq!(parse("READY"), Ok(AdminCommand::Ready));
    assert_eq!(
        parse(" DISABLE  s-1 "),
        Ok(AdminCommand::Disable("s-1".into()))
    );
    assert_eq!(parse("ENABLE s-1"), Ok(AdminCommand::Enable("s-1".into())));
    assert_eq!(
        (parse("DRAIN"), parse("UNDRAIN")),
        (Ok(AdminCommand::Drain), Ok(AdminCommand::Undrain))
    );
    for (line, reason) in [
        ("", "line is empty"),
        (" \t", "line is empty"),
        ("DISABLE", "id is missing"),
        ("ENABLE s-1 s-2", "'s-2' is one word too many"),
        ("DRAIN now", "'now' is one word too many"),
        ("ready", "unknown call 'ready'"),
        ("DRAIN\u{1b}[2J", "unknown call 'DRAIN?[2J'"),
    ] {
        let error = parse(line).unwrap_err().to_string();
        assert!(error.contains(reason), "{line:?}: {error}");
    }
}

#[test]
fn a_command_is_written_as_the_line_that_parses_to_it() {
    for line in ["READY", "DISABLE s-1", "ENABLE s-1", "DRAIN", "UNDRAIN"] {
        assert_eq!(parse(line).unwrap().to_string(), line);
    }
}

proptest! {
    #[test]
    fn the_response_to_any_rejected_line_is_a_single_line(
        line in "\\PC{0,600}|[A-Z ]{0,20}[\\x00-\\x1f]{0,4}"
    ) {
        if let Err(error) = parse(&line) {
            let response = AdminResponse::Error(error.to_string()).to_string();
            prop_assert!(response.starts_with("error ") && !response.contains(['\n', '\r']));
        }
    }
}
