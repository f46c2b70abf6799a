use super::*;
use crate::network::{LinkCondition, LinkRule, Network};
use crate::topology::Component;

fn rule(condition: LinkCondition) -> LinkRule {
    let (from, to) = (
        [Component::Ingress(0)].into(),
        [Component::ListService].into(),
    );
    LinkRule {
        name: "fault".into(),
        from,
        to,
        both: true,
        condition,
    }
}

async fn pair(network: &Network) -> (TcpStream, DuplexStream) {
    let listener = listen([127, 0, 0, 1].into()).await.expect("a listener");
    let client = TcpStream::connect(listener.local_addr().expect("an address"))
        .await
        .expect("connects");
    let (stream, _) = listener.accept().await.expect("accepts");
    let links = LinkPair {
        to_server: network.link(Component::Ingress(0), Component::ListService),
        to_ingress: network.link(Component::ListService, Component::Ingress(0)),
    };
    let (server, forwarding) = forward(stream, links, 3);
    tokio::spawn(forwarding);
    (client, server)
}

#[tokio::test]
async fn a_silent_link_delays_a_stream_and_a_reset_aborts_it() {
    let network = Network::default();
    let (mut client, mut server) = pair(&network).await;
    let mut byte = [0; 1];
    client.write_all(b"a").await.expect("written");
    server.read_exact(&mut byte).await.expect("passes");
    network.add_rule(rule(LinkCondition {
        silent: true,
        ..LinkCondition::default()
    }));
    client.write_all(b"b").await.expect("written");
    tokio::select! {
        biased;
        _ = server.read_exact(&mut byte) => panic!("passed over a silent link"),
        () = tokio::task::yield_now() => {}
    }
    network.remove_rules("fault");
    server.read_exact(&mut byte).await.expect("passes later");
    assert_eq!(&byte, b"b");
    network.add_rule(rule(LinkCondition {
        reset: true,
        ..LinkCondition::default()
    }));
    let end = client.read(&mut byte).await;
    assert!(end.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionReset));
}
