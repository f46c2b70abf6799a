//! The watch against a fake registry, with connections that are lost or stop responding. Each test waits for a state of
//! the list.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use applewall_etcd::{watch, Endpoints, Settings};
use applewall_fakes::etcd::EtcdServer;
use applewall_fakes::tcp_proxy::TcpProxy;
use applewall_membership::{MemberChange, MemberState, MergedMembership, SourceId, SourceInput};
use applewall_operator_config::{DurationSetting, EnabledFlag, Networks};
use tokio::task::JoinHandle;

/// How long a test waits for a state; long enough that it does not fail on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

const REGISTRY: SourceId = SourceId(0);

/// A watch of a fake registry, with a TCP proxy in front of each of its endpoints.
struct Fixture {
    registry: EtcdServer,
    proxies: Vec<TcpProxy>,
    membership: Arc<Mutex<MergedMembership>>,
    known: Arc<Mutex<Known>>,
    task: JoinHandle<()>,
}

/// The members as the reported changes add up to them.
#[derive(Default)]
struct Known {
    states: BTreeMap<String, MemberState>,
    new_incarnations: usize,
}

impl Known {
    fn apply(&mut self, change: MemberChange) {
        self.new_incarnations += usize::from(change.new_incarnation);
        if let Some(record) = change.record {
            self.states.insert(change.id, record.state);
        } else {
            let id = change.id;
            assert!(self.states.remove(&id).is_some(), "{id} removed twice");
        }
    }
}

fn settings(proxies: &[TcpProxy]) -> Settings {
    Settings {
        enabled: EnabledFlag(true),
        endpoints: Endpoints(proxies.iter().map(|proxy| proxy.address).collect()),
        prefix: "/m/".into(),
        backoff: DurationSetting::from_millis(50),
        spread: DurationSetting::from_millis(20),
        // Long enough that a registry on a busy machine does not time out; the test of silent watches sets a shorter
        // one.
        patience: DurationSetting::from_millis(5_000),
        ..Settings::default()
    }
}

async fn start(
    registry: EtcdServer,
    endpoints: usize,
    change: impl FnOnce(&mut Settings),
) -> Fixture {
    let mut proxies = Vec::new();
    for _ in 0..endpoints {
        proxies.push(
            TcpProxy::start(registry.listen().await.unwrap())
                .await
                .unwrap(),
        );
    }
    let mut settings = settings(&proxies);
    change(&mut settings);
    let membership = Arc::new(Mutex::new(MergedMembership::new(1, Duration::MAX)));
    let known = Arc::new(Mutex::new(Known::default()));
    let (task_membership, task_known) = (membership.clone(), known.clone());
    let task = tokio::spawn(async move {
        let on_report = |report: SourceInput| {
            let now = Instant::now();
            let mut membership = task_membership.lock().unwrap();
            let output = membership.source_mut(REGISTRY).handle(now, report);
            let mut known = task_known.lock().unwrap();
            for change in membership.take_changes(now) {
                known.apply(change);
            }
            output
        };
        watch(&settings, 1, None, on_report).await;
    });
    Fixture {
        registry,
        proxies,
        membership,
        known,
        task,
    }
}

fn value(port: u16, state: &str) -> String {
    format!(r#"{{"endpoint":"127.0.0.1:{port}","state":"{state}"}}"#)
}

impl Fixture {
    async fn wait_until(
        &self,
        what: &str,
        mut holds: impl FnMut(&BTreeMap<String, MemberState>) -> bool,
    ) {
        let wait = async {
            while !holds(&self.known.lock().unwrap().states) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let state = || self.known.lock().unwrap().states.clone();
        assert!(
            tokio::time::timeout(TEST_TIMEOUT, wait).await.is_ok(),
            "expected {what}, found {:?}",
            state()
        );
    }

    fn new_incarnations(&self) -> usize {
        self.known.lock().unwrap().new_incarnations
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[tokio::test]
async fn list_is_read_once_and_malformed_members_are_left_out() {
    let registry = EtcdServer::new(7, 0);
    registry.put("/m/a", &value(1, "in_service"));
    registry.put("/m/bad", "{}");
    registry.put("/other/x", &value(9, "in_service"));
    let fixture = start(registry, 1, |settings| {
        settings.allowed = Networks(vec!["127.0.0.0/8".parse().unwrap()]);
    })
    .await;
    fixture
        .wait_until("a", |list| list.len() == 1 && list.contains_key("a"))
        .await;
    fixture.registry.put("/m/b", &value(2, "terminating"));
    fixture
        .registry
        .put("/m/elsewhere", r#"{"endpoint":"192.0.2.1:80"}"#);
    fixture.registry.put("/m/bad", &value(3, "in_service"));
    fixture
        .wait_until("b and bad", |list| {
            list.len() == 3 && list.get("b") == Some(&MemberState::Terminating)
        })
        .await;
    // A member whose value becomes malformed is removed.
    fixture.registry.put("/m/a", "no JSON at all");
    fixture
        .wait_until("without a", |list| list.len() == 2)
        .await;
    assert_eq!(fixture.registry.calls.ranges.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn broken_watch_resumes_without_a_full_read_and_repeats_no_change() {
    let registry = EtcdServer::new(7, 0);
    registry.put("/m/a", &value(1, "in_service"));
    let fixture = start(registry, 2, |_| ()).await;
    fixture.wait_until("a", |list| list.len() == 1).await;
    for round in 0..20u16 {
        fixture.proxies.iter().for_each(TcpProxy::disconnect);
        // Deleted and created again while disconnected: one new incarnation, however it is reported.
        fixture.registry.delete("/m/a");
        fixture.registry.put("/m/a", &value(1, "in_service"));
        fixture
            .registry
            .put(&format!("/m/n{round}"), &value(100 + round, "in_service"));
        fixture
            .wait_until("the new member of this round", |list| {
                list.len() == 2 + usize::from(round)
            })
            .await;
    }
    // 20 new members, the first incarnation of a, and 20 further ones.
    assert_eq!(fixture.new_incarnations(), 41);
    assert_eq!(fixture.registry.calls.ranges.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn compacted_revision_leads_to_one_full_read() {
    let registry = EtcdServer::new(7, 0);
    registry.put("/m/a", &value(1, "in_service"));
    registry.put("/m/b", &value(2, "in_service"));
    let fixture = start(registry, 1, |_| ()).await;
    fixture.wait_until("both", |list| list.len() == 2).await;
    fixture.proxies[0].set_refusing(true);
    fixture.proxies[0].disconnect();
    fixture.registry.delete("/m/a");
    let last = fixture.registry.put("/m/c", &value(3, "in_service"));
    fixture.registry.compact(last);
    fixture.proxies[0].set_refusing(false);
    fixture
        .wait_until("c in place of a", |list| {
            list.len() == 2 && list.contains_key("c")
        })
        .await;
    assert_eq!(fixture.registry.calls.ranges.load(Ordering::Relaxed), 2);
    // The registry may have reported the compaction to the disconnected watch as well.
    assert!(fixture.registry.calls.compacted.load(Ordering::Relaxed) >= 1);
}

#[tokio::test]
async fn silent_watch_resumes_at_another_endpoint_without_a_full_read() {
    let registry = EtcdServer::new(7, 0);
    registry.put("/m/a", &value(1, "in_service"));
    let fixture = start(registry, 3, |settings| {
        settings.patience = DurationSetting::from_millis(150);
    })
    .await;
    fixture.wait_until("a", |list| list.len() == 1).await;
    for round in 0..6 {
        // Waits until the connection of the previous round is closed, so that only the connection in use is silenced.
        let in_use = |proxy: &&TcpProxy| proxy.connections.open() > 0;
        fixture
            .wait_until("one connection", |_| {
                fixture.proxies.iter().filter(in_use).count() == 1
            })
            .await;
        fixture
            .proxies
            .iter()
            .filter(in_use)
            .for_each(|proxy| proxy.set_silent(true));
        let (text, state) = if round % 2 == 0 {
            ("terminating", MemberState::Terminating)
        } else {
            ("in_service", MemberState::InService)
        };
        fixture.registry.put("/m/a", &value(1, text));
        fixture
            .wait_until(text, |list| list.get("a") == Some(&state))
            .await;
        fixture
            .proxies
            .iter()
            .for_each(|proxy| proxy.set_silent(false));
    }
    assert_eq!(
        (
            fixture.new_incarnations(),
            fixture.registry.calls.ranges.load(Ordering::Relaxed)
        ),
        (1, 1)
    );
}

#[tokio::test]
async fn registry_with_a_restarted_history_is_read_again_and_remaining_members_keep_their_incarnation(
) {
    let registry = EtcdServer::new(7, 0);
    for index in 0..40 {
        registry.put(&format!("/m/s-{index}"), &value(1 + index, "in_service"));
    }
    let fixture = start(registry, 1, |_| ()).await;
    fixture
        .wait_until("40 members", |list| list.len() == 40)
        .await;
    fixture.proxies[0].set_refusing(true);
    fixture.proxies[0].disconnect();
    fixture.registry.reset(8);
    fixture.registry.put("/m/s-1", &value(2, "in_service"));
    fixture.proxies[0].set_refusing(false);
    fixture.wait_until("only s-1", |list| list.len() == 1).await;
    assert_eq!(fixture.new_incarnations(), 40);
    fixture.registry.put("/m/s-2", &value(3, "in_service"));
    fixture
        .wait_until("s-1 and s-2", |list| list.len() == 2)
        .await;
    assert_eq!(
        fixture
            .membership
            .lock()
            .unwrap()
            .source_mut(REGISTRY)
            .position()
            .map(|position| position.cluster.0),
        Some(8)
    );
}

#[tokio::test]
async fn thousands_of_keys_are_read_in_pages_and_fragmented_answers_are_applied_as_one() {
    let registry = EtcdServer::new(7, 0);
    for index in 0..5_000u16 {
        registry.put(&format!("/m/s-{index}"), &value(1 + index, "in_service"));
    }
    let fixture = start(registry, 1, |_| ()).await;
    fixture
        .wait_until("5,000 members", |list| list.len() == 5_000)
        .await;
    assert_eq!(fixture.registry.calls.ranges.load(Ordering::Relaxed), 3);
    fixture.proxies[0].set_silent(true);
    for index in 0..1_000 {
        fixture.registry.delete(&format!("/m/s-{index}"));
    }
    fixture.proxies[0].set_silent(false);
    fixture
        .wait_until("4,000 members", |list| list.len() == 4_000)
        .await;
    assert_eq!(fixture.registry.calls.ranges.load(Ordering::Relaxed), 3);
}

#[tokio::test]
async fn list_read_in_pages_while_it_changes_is_of_one_revision() {
    let registry = EtcdServer::new(7, 0);
    for index in 0..5_000u16 {
        registry.put(&format!("/m/s-{index:04}"), &value(1 + index, "in_service"));
    }
    let writer = registry.clone();
    let fixture = start(registry, 1, |_| ()).await;
    // After the first page is read, a member on it is deleted, one on the last page is drained, and one is added.
    fixture
        .wait_until("the first page to be read", |_| {
            writer.calls.ranges.load(Ordering::Relaxed) >= 1
        })
        .await;
    writer.delete("/m/s-0000");
    writer.put("/m/s-4999", &value(5_000, "terminating"));
    writer.put("/m/t", &value(6_000, "in_service"));
    fixture
        .wait_until("all three changes", |list| {
            list.len() == 5_000
                && list.contains_key("t")
                && list.get("s-4999") == Some(&MemberState::Terminating)
        })
        .await;
    assert_eq!(fixture.new_incarnations(), 5_001);
}

#[tokio::test]
async fn token_is_sent_and_read_again_at_each_connection() {
    let registry = EtcdServer::new(7, 0);
    registry.require_token("s3cret");
    registry.put("/m/a", &value(1, "in_service"));
    let file = std::env::temp_dir().join(format!("applewall-token-{}", std::process::id()));
    std::fs::write(&file, "wrong\n").unwrap();
    let fixture = start(registry, 1, |settings| {
        settings.token_file = Some(file.to_str().unwrap().into());
    })
    .await;
    let attempted = || fixture.proxies[0].connections.accepted() > 2;
    fixture
        .wait_until("three connections", |list| list.is_empty() && attempted())
        .await;
    std::fs::write(&file, "s3cret\n").unwrap();
    fixture.wait_until("a", |list| list.len() == 1).await;
    std::fs::remove_file(&file).unwrap();
}
