//! The watch of a Consul-style store against a fake agent. Each test waits for a state of the list.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use applewall_consul::{watch, Settings};
use applewall_fakes::consul::ConsulAgent;
use applewall_fakes::tcp_proxy::TcpProxy;
use applewall_membership::{MemberState, Source};
use applewall_operator_config::{DurationSetting, EnabledFlag};

/// How long a test waits for a state; long enough that it does not fail on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A watch of a fake agent through a TCP proxy.
struct Fixture {
    agent: ConsulAgent,
    proxy: TcpProxy,
    source: Arc<Mutex<Source>>,
    task: tokio::task::JoinHandle<()>,
}

async fn start(wait_ms: u64) -> Fixture {
    let agent = ConsulAgent::start().await.unwrap();
    let proxy = TcpProxy::start(agent.address).await.unwrap();
    let settings = Settings {
        enabled: EnabledFlag(true),
        agent: Some(proxy.address),
        prefix: "m/".into(),
        wait: DurationSetting::from_millis(wait_ms),
        patience: DurationSetting::from_millis(150),
        backoff: DurationSetting::from_millis(50),
        ..Settings::default()
    };
    let source = Arc::new(Mutex::new(Source::default()));
    let task_source = source.clone();
    let task = tokio::spawn(async move {
        watch(&settings, 1, |report| {
            task_source.lock().unwrap().handle(Instant::now(), report);
        })
        .await;
    });
    Fixture {
        agent,
        proxy,
        source,
        task,
    }
}

impl Fixture {
    fn list(&self) -> BTreeMap<String, MemberState> {
        self.source
            .lock()
            .unwrap()
            .records()
            .map(|(id, record)| (id.to_string(), record.state))
            .collect()
    }

    async fn wait_until(&self, what: &str, holds: impl Fn(&BTreeMap<String, MemberState>) -> bool) {
        let wait = async {
            while !holds(&self.list()) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        assert!(
            tokio::time::timeout(TEST_TIMEOUT, wait).await.is_ok(),
            "expected {what}, found {:?}",
            self.list()
        );
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn value(state: &str) -> String {
    format!(r#"{{"endpoint":"127.0.0.1:1","state":"{state}"}}"#)
}

#[tokio::test]
async fn blocking_query_reports_each_change_at_once_and_nothing_in_between() {
    let fixture = start(60_000).await;
    fixture.agent.put("m/a", Some(&value("in_service")));
    fixture.agent.put("m/bad", Some("{"));
    fixture.agent.put("x/other", Some(&value("in_service")));
    fixture.wait_until("a", |list| list.len() == 1).await;
    fixture.agent.put("m/a", Some(&value("terminating")));
    fixture
        .wait_until("a draining", |list| {
            list.get("a") == Some(&MemberState::Terminating)
        })
        .await;
    fixture.agent.put("m/a", None);
    fixture.agent.put("m/bad", None);
    fixture.wait_until("no members", BTreeMap::is_empty).await;
    assert!(
        fixture.agent.reads.load(Ordering::Relaxed) <= 8,
        "more than one read for each change: {}",
        fixture.agent.reads.load(Ordering::Relaxed)
    );
}

#[tokio::test]
async fn list_survives_breaks_silence_lagging_agents_and_a_restarted_history() {
    let fixture = start(100).await;
    fixture.agent.put("m/a", Some(&value("in_service")));
    fixture.wait_until("a", |list| list.len() == 1).await;
    fixture.proxy.disconnect();
    fixture.agent.put("m/b", Some(&value("in_service")));
    fixture
        .wait_until("b after a lost connection", |list| list.len() == 2)
        .await;
    fixture.proxy.set_silent(true);
    let accepted = fixture.proxy.connections.accepted();
    fixture.agent.put("m/c", Some(&value("in_service")));
    let reconnected = || fixture.proxy.connections.accepted() > accepted;
    fixture
        .wait_until("another connection", |_| reconnected())
        .await;
    fixture.proxy.set_silent(false);
    fixture
        .wait_until("c after the agent responds again", |list| list.len() == 3)
        .await;
    // A consistent query resolves the response of a lagging agent.
    fixture.agent.set_lagging(true);
    fixture.agent.put("m/a", None);
    fixture.agent.set_lagging(false);
    fixture
        .wait_until("without a", |list| list.len() == 2)
        .await;
    fixture.agent.set_leader_known(false);
    fixture.agent.put("m/d", Some(&value("in_service")));
    fixture.agent.set_leader_known(true);
    fixture
        .wait_until("d once there is a leader", |list| list.len() == 3)
        .await;
    fixture.agent.reset();
    fixture.agent.put("m/z", Some(&value("in_service")));
    fixture
        .wait_until("only the member that was written after the reset", |list| {
            list.len() == 1 && list.contains_key("z")
        })
        .await;
}
