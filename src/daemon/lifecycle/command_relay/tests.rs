use super::*;

#[tokio::test]
async fn command_is_relayed_to_the_other_process_and_waits_for_its_answer() {
    let (sender, mut commands) = mpsc::unbounded_channel();
    let (_link, other) = watch::channel(Some(sender));
    let pending = relay_command(&other, AdminCommand::Drain).unwrap();
    let other_process = async {
        let Some(RelayedMessage::Command(relayed)) = commands.recv().await else {
            panic!("no command was relayed")
        };
        assert_eq!(relayed.command, AdminCommand::Drain);
        relayed.done.send(()).unwrap();
    };
    tokio::join!(pending.executed(), other_process);
}

#[tokio::test]
async fn command_without_another_process_is_not_relayed() {
    let (_link, other) = watch::channel(None);
    assert!(relay_command(&other, AdminCommand::Drain).is_none());
}
