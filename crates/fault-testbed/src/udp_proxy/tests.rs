use super::*;
use crate::network::LinkRule;

#[tokio::test]
async fn a_datagram_arrives_from_the_proxy_address_of_its_sender_and_a_silent_link_drops_it() {
    let network = Network::default();
    let local = || std::net::IpAddr::from([127, 0, 0, 1]);
    let udp_proxy = UdpProxy::bind((0..2).map(|_| local()))
        .await
        .expect("sockets");
    let proxied = udp_proxy.addresses().expect("addresses");
    let first = UdpSocket::bind((local(), 0)).await.expect("a");
    let second = UdpSocket::bind((local(), 0)).await.expect("b");
    let direct = vec![
        first.local_addr().expect("a"),
        second.local_addr().expect("b"),
    ];
    let mut tasks = JoinSet::new();
    udp_proxy.forward(direct, &network, 40.0, 1, &Journal::begin(), &mut tasks);
    let silent = LinkCondition {
        silent: true,
        ..LinkCondition::default()
    };
    let (from, to) = (
        [Component::Ingress(1)].into(),
        [Component::Ingress(0)].into(),
    );
    network.add_rule(LinkRule {
        name: "silence".into(),
        from,
        to,
        both: false,
        condition: silent,
    });
    let mut buffer = [0; 16];
    second.send_to(b"lost", proxied[0]).await.expect("sent");
    first.send_to(b"first", proxied[1]).await.expect("sent");
    let (length, sender) = second.recv_from(&mut buffer).await.expect("received");
    assert_eq!((&buffer[..length], sender), (&b"first"[..], proxied[0]));
    network.remove_rules("silence");
    // The datagrams of one socket are delivered in order: if the lost one had been forwarded, it would arrive first.
    second.send_to(b"second", proxied[0]).await.expect("sent");
    let (length, sender) = first.recv_from(&mut buffer).await.expect("received");
    assert_eq!((&buffer[..length], sender), (&b"second"[..], proxied[1]));
}
