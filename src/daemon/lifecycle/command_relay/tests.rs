use super::*;

#[tokio::test]
async fn command_is_relayed_to_the_other_process_and_waits_for_its_answer() {
    let (sender, mut commands) = mpsc::channel(1);
    let (_link, other) = watch::channel(Some(sender));
    let other_process = async {
        let relayed: RelayedCommand = commands.recv().await.unwrap();
        assert_eq!(relayed.command, "DRAIN");
        relayed.done.send(()).unwrap();
    };
    tokio::join!(relay_command(&other, "DRAIN".to_string()), other_process);
}

#[tokio::test]
async fn command_without_another_process_is_not_relayed() {
    let (_link, other) = watch::channel(None);
    relay_command(&other, "DRAIN".to_string()).await;
}
