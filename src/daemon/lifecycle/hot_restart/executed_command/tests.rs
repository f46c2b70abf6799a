use applewall_admin::AdminCommand;

use super::*;

#[test]
fn requests_are_parsed_from_their_commands() {
    let requests: Vec<_> = (0..=MAX_IDS as u64).map(RequestId).collect();
    let commands: Vec<_> = commands(&requests).collect();
    assert_eq!(commands.len(), 2);
    let parsed = commands.iter().filter_map(|command| parse(command));
    assert_eq!(parsed.flatten().collect::<Vec<_>>(), requests);
    assert_eq!(super::commands(&[]).count(), 0);
    for other in ["DRAIN", "EXECUTED", "EXECUTED x", "EXECUTED 1  2"] {
        assert_eq!(parse(other), None, "{other}");
    }
}

/// An older version executes what it can parse as an admin command.
#[test]
fn command_is_no_admin_command() {
    let command = commands(&[RequestId(7)]).next().expect("a command");
    assert_eq!(command, "EXECUTED 0000000000000007");
    assert!(command.parse::<AdminCommand>().is_err());
}
