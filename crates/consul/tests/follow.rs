//! The follower against the agent's stand-in. Each test waits for what has to happen.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use applewall_consul::{follow, Settings};
use applewall_fakes::consul::ConsulAgent;
use applewall_fakes::tcp_proxy::TcpProxy;
use applewall_membership::{Source, State};
use applewall_operator_config::{Span, Switch};

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

struct World {
    agent: ConsulAgent,
    wire: TcpProxy,
    source: Arc<Mutex<Source>>,
    task: tokio::task::JoinHandle<()>,
}

async fn world(wait: u64) -> World {
    let agent = ConsulAgent::start().await.unwrap();
    let wire = TcpProxy::start(agent.address).await.unwrap();
    let settings = Settings {
        enabled: Switch(true),
        agent: Some(wire.address),
        prefix: "m/".into(),
        wait: Span::millis(wait),
        patience: Span::millis(150),
        backoff: Span::millis(50),
        ..Settings::default()
    };
    let source = Arc::new(Mutex::new(Source::default()));
    let held = source.clone();
    let task = tokio::spawn(async move {
        follow(&settings, 1, |news| {
            held.lock()
                .unwrap()
                .full(0, 0, news.index, news.consistent, news.items);
        })
        .await;
    });
    World {
        agent,
        wire,
        source,
        task,
    }
}

impl World {
    fn list(&self) -> BTreeMap<String, State> {
        self.source
            .lock()
            .unwrap()
            .entries()
            .map(|(id, entry)| (id.to_string(), entry.state))
            .collect()
    }

    async fn until(&self, what: &str, holds: impl Fn(&BTreeMap<String, State>) -> bool) {
        let wait = async {
            while !holds(&self.list()) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        assert!(
            tokio::time::timeout(TEST_TIMEOUT, wait).await.is_ok(),
            "never: {what}: {:?}",
            self.list()
        );
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn value(state: &str) -> String {
    format!(r#"{{"endpoint":"127.0.0.1:1","state":"{state}"}}"#)
}

#[tokio::test]
async fn a_blocking_read_tells_at_once_and_costs_nothing_in_between() {
    let world = world(60_000).await;
    world.agent.put("m/a", Some(&value("in_service")));
    world.agent.put("m/bad", Some("{"));
    world.agent.put("x/other", Some(&value("in_service")));
    world.until("a", |list| list.len() == 1).await;
    world.agent.put("m/a", Some(&value("terminating")));
    world
        .until("it drains", |list| {
            list.get("a") == Some(&State::Terminating)
        })
        .await;
    world.agent.put("m/a", None);
    world.agent.put("m/bad", None);
    world.until("nobody", BTreeMap::is_empty).await;
    assert!(
        world.agent.reads.load(Ordering::Relaxed) <= 8,
        "one read for each change, no more"
    );
}

#[tokio::test]
async fn breaks_silence_lagging_agents_and_a_store_that_began_anew() {
    let world = world(100).await;
    world.agent.put("m/a", Some(&value("in_service")));
    world.until("a", |list| list.len() == 1).await;
    world.wire.disconnect();
    world.agent.put("m/b", Some(&value("in_service")));
    world.until("b after a cut", |list| list.len() == 2).await;
    world.wire.set_silent(true);
    let silent = world.wire.connections.accepted();
    world.agent.put("m/c", Some(&value("in_service")));
    let left = || world.wire.connections.accepted() > silent;
    world.until("it was left", |_| left()).await;
    world.wire.set_silent(false);
    world.until("c after silence", |list| list.len() == 3).await;
    // An agent that lags has nothing to tell, and what it tells is settled by a consistent read.
    world.agent.set_lagging(true);
    world.agent.put("m/a", None);
    world.agent.set_lagging(false);
    world.until("without a", |list| list.len() == 2).await;
    world.agent.set_leader_known(false);
    world.agent.put("m/d", Some(&value("in_service")));
    world.agent.set_leader_known(true);
    world
        .until("d once there is a leader", |list| list.len() == 3)
        .await;
    world.agent.reset();
    world.agent.put("m/z", Some(&value("in_service")));
    world
        .until("only what there is now", |list| {
            list.len() == 1 && list.contains_key("z")
        })
        .await;
}
