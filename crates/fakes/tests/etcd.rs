//! Checks with a third-party client library that the fake etcd server implements the protocol.

use applewall_fakes::etcd::EtcdServer;
use applewall_fakes::tcp_proxy::TcpProxy;
use etcd_client::{Client, EventType, GetOptions, WatchOptions};

/// A server with five keys, at revision 6, and a client of it.
async fn server_with_five_keys() -> (EtcdServer, Client) {
    let server = EtcdServer::new(7, 0);
    let address = server.listen().await.expect("a listener");
    let client = Client::connect([address.to_string()], None).await;
    let mut client = client.expect("a connection");
    for number in 0..5 {
        client
            .put(format!("/m/s-{number}"), "{}", None)
            .await
            .expect("a key is written");
    }
    (server, client)
}

#[tokio::test]
async fn keys_are_written_and_read_at_once_or_by_page() {
    let (_server, mut client) = server_with_five_keys().await;
    let prefix = || GetOptions::new().with_prefix();
    let list = client.get("/m/", Some(prefix())).await.unwrap();
    let header = list.header().unwrap();
    assert_eq!(
        (list.count(), header.cluster_id(), header.revision()),
        (5, 7, 6)
    );
    let page = client.get("/m/", Some(prefix().with_limit(2))).await;
    let page = page.unwrap();
    assert_eq!((page.kvs().len(), page.more(), page.count()), (2, true, 5));
}

#[tokio::test]
async fn a_watch_from_an_earlier_revision_gets_the_history_first_and_answers_progress_requests() {
    let (_server, mut client) = server_with_five_keys().await;
    let options = WatchOptions::new()
        .with_prefix()
        .with_start_revision(5)
        .with_fragment();
    let mut stream = client.watch("/m/", Some(options)).await.unwrap();
    client.delete("/m/s-0", None).await.unwrap();
    let mut seen = Vec::new();
    while seen.len() < 3 {
        let response = stream.message().await.unwrap().unwrap();
        for event in response.events() {
            let changed = event.kv().unwrap();
            seen.push((changed.mod_revision(), event.event_type() == EventType::Put));
        }
    }
    assert_eq!(seen, [(5, true), (6, true), (7, false)]);
    stream.request_progress().await.unwrap();
    let progress = stream.message().await.unwrap().unwrap();
    assert!(progress.events().is_empty() && progress.header().unwrap().revision() == 7);
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_is_canceled_with_the_lowest_revision() {
    let (_server, mut client) = server_with_five_keys().await;
    client.delete("/m/s-0", None).await.unwrap();
    client.compact(6, None).await.unwrap();
    let options = WatchOptions::new().with_prefix().with_start_revision(2);
    let mut late = client.watch("/m/", Some(options)).await.unwrap();
    let canceled = loop {
        let response = late.message().await.unwrap().unwrap();
        if response.canceled() {
            break response;
        }
    };
    assert_eq!(canceled.compact_revision(), 6);
}

#[tokio::test]
async fn a_disconnected_proxy_ends_a_watch_and_a_silent_one_delays_it() {
    let server = EtcdServer::new(7, 0);
    let proxy = TcpProxy::start(server.listen().await.unwrap())
        .await
        .unwrap();
    let mut client = Client::connect([proxy.address.to_string()], None)
        .await
        .unwrap();
    let mut stream = client
        .watch("/m/", Some(WatchOptions::new().with_prefix()))
        .await
        .unwrap();
    server.put("/m/a", "1");
    while stream.message().await.unwrap().unwrap().events().is_empty() {}
    proxy.set_silent(true);
    let revision = server.put("/m/a", "2");
    // A change that is written while the proxy is silent arrives afterwards.
    proxy.set_silent(false);
    let late = stream.message().await.unwrap().unwrap();
    assert_eq!(late.events()[0].kv().unwrap().mod_revision(), revision);
    proxy.disconnect();
    assert!(!matches!(stream.message().await, Ok(Some(_))));
}
