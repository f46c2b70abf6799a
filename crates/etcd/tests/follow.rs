//! The follower against the registry's stand-in, through wires that break. Each test waits for what has to happen.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use applewall_etcd::{follow, Endpoints, RegistryUpdate, Settings};
use applewall_fakes::etcd::Registry;
use applewall_fakes::wire::Wire;
use applewall_membership::{ApplyOutcome, MemberState, MergedMembership};
use applewall_operator_config::{DurationSetting, EnabledFlag, Networks};
use tokio::task::JoinHandle;

const PATIENCE: Duration = Duration::from_secs(60);

struct World {
    registry: Registry,
    wires: Vec<Wire>,
    roster: Arc<Mutex<MergedMembership>>,
    /// What somebody holds who hears of changes only, and how many births were told.
    heard: Arc<Mutex<(BTreeMap<String, MemberState>, usize)>>,
    task: JoinHandle<()>,
}

fn settings(wires: &[Wire]) -> Settings {
    Settings {
        enabled: EnabledFlag(true),
        endpoints: Endpoints(wires.iter().map(|wire| wire.address).collect()),
        prefix: "/m/".into(),
        backoff: DurationSetting::from_millis(50),
        spread: DurationSetting::from_millis(20),
        // Only silence is told by time: a machine that is busy must not look like it.
        patience: DurationSetting::from_millis(5_000),
        ..Settings::default()
    }
}

async fn world(registry: Registry, members: usize, change: impl FnOnce(&mut Settings)) -> World {
    let mut wires = Vec::new();
    for _ in 0..members {
        wires.push(Wire::to(registry.listen().await.unwrap()).await.unwrap());
    }
    let mut settings = settings(&wires);
    change(&mut settings);
    let roster = Arc::new(Mutex::new(MergedMembership::new(1, u64::MAX)));
    let heard = Arc::new(Mutex::new((BTreeMap::new(), 0)));
    let (held, told) = (roster.clone(), heard.clone());
    let task = tokio::spawn(async move {
        let take = |news: RegistryUpdate| {
            let mut roster = held.lock().unwrap();
            let took = match news {
                RegistryUpdate::FullList {
                    cluster,
                    revision,
                    items,
                } => roster
                    .source_mut(0)
                    .apply_full_list(0, cluster, revision, true, items),
                RegistryUpdate::Changes {
                    cluster,
                    revision,
                    items,
                } => roster
                    .source_mut(0)
                    .apply_changes(0, cluster, revision, items),
            };
            let mut told = told.lock().unwrap();
            for change in roster.take_changes(0) {
                told.1 += usize::from(change.new_incarnation);
                match change.record {
                    Some(entry) => drop(told.0.insert(change.id, entry.state)),
                    None => assert!(told.0.remove(&change.id).is_some(), "gone twice"),
                }
            }
            took != ApplyOutcome::Gap
        };
        follow(&settings, 1, None, take).await;
    });
    World {
        registry,
        wires,
        roster,
        heard,
        task,
    }
}

fn value(port: u16, state: &str) -> String {
    format!(r#"{{"endpoint":"127.0.0.1:{port}","state":"{state}"}}"#)
}

impl World {
    async fn until(
        &self,
        what: &str,
        mut holds: impl FnMut(&BTreeMap<String, MemberState>) -> bool,
    ) {
        let wait = async {
            while !holds(&self.heard.lock().unwrap().0) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let state = || self.heard.lock().unwrap().0.clone();
        assert!(
            tokio::time::timeout(PATIENCE, wait).await.is_ok(),
            "never: {what}: {:?}",
            state()
        );
    }

    fn births(&self) -> usize {
        self.heard.lock().unwrap().1
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[tokio::test]
async fn it_reads_once_and_then_follows_with_bad_entries_left_out() {
    let registry = Registry::new(7, 0);
    registry.put("/m/a", &value(1, "in_service"));
    registry.put("/m/bad", "{}");
    registry.put("/other/x", &value(9, "in_service"));
    let world = world(registry, 1, |s| {
        s.allowed = Networks(vec!["127.0.0.0/8".parse().unwrap()]);
    })
    .await;
    world
        .until("a", |list| list.len() == 1 && list.contains_key("a"))
        .await;
    world.registry.put("/m/b", &value(2, "terminating"));
    world
        .registry
        .put("/m/elsewhere", r#"{"endpoint":"192.0.2.1:80"}"#);
    world.registry.put("/m/bad", &value(3, "in_service"));
    world
        .until("b and bad", |list| {
            list.len() == 3 && list.get("b") == Some(&MemberState::Terminating)
        })
        .await;
    // One that is there and turns bad is left out, and comes back when it is mended.
    world.registry.put("/m/a", "no JSON at all");
    world.until("without a", |list| list.len() == 2).await;
    assert_eq!(world.registry.calls.ranges.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_break_is_resumed_without_a_read_and_without_telling_anything_twice() {
    let registry = Registry::new(7, 0);
    registry.put("/m/a", &value(1, "in_service"));
    let world = world(registry, 2, |_| ()).await;
    world.until("a", |list| list.len() == 1).await;
    for round in 0..20u16 {
        world.wires.iter().for_each(Wire::cut);
        // Removed and added again while nobody looks: one more life, however the news comes.
        world.registry.delete("/m/a");
        world.registry.put("/m/a", &value(1, "in_service"));
        world
            .registry
            .put(&format!("/m/n{round}"), &value(100 + round, "in_service"));
        world
            .until("the next", |list| list.len() == 2 + usize::from(round))
            .await;
    }
    // 20 new ones, 20 lives more of a, and its first.
    assert_eq!(world.births(), 41);
    assert_eq!(world.registry.calls.ranges.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_revision_that_is_compacted_meanwhile_leads_to_one_read() {
    let registry = Registry::new(7, 0);
    registry.put("/m/a", &value(1, "in_service"));
    registry.put("/m/b", &value(2, "in_service"));
    let world = world(registry, 1, |_| ()).await;
    world.until("both", |list| list.len() == 2).await;
    world.wires[0].refuse(true);
    world.wires[0].cut();
    world.registry.delete("/m/a");
    let last = world.registry.put("/m/c", &value(3, "in_service"));
    world.registry.compact(last);
    world.wires[0].refuse(false);
    world
        .until("c in place of a", |list| {
            list.len() == 2 && list.contains_key("c")
        })
        .await;
    assert_eq!(world.registry.calls.ranges.load(Ordering::Relaxed), 2);
    // The registry may also have told the watch that was cut, which nobody heard.
    assert!(world.registry.calls.compacted.load(Ordering::Relaxed) >= 1);
}

#[tokio::test]
async fn a_watch_that_falls_silent_is_left_for_another_member() {
    let registry = Registry::new(7, 0);
    registry.put("/m/a", &value(1, "in_service"));
    let world = world(registry, 3, |s| {
        s.patience = DurationSetting::from_millis(150);
    })
    .await;
    world.until("a", |list| list.len() == 1).await;
    for round in 0..6 {
        // What was left in the round before is closed by now: only the one in use falls silent.
        let up = |wire: &&Wire| wire.connections.1.load(Ordering::Relaxed) > 0;
        world
            .until("one is in use", |_| {
                world.wires.iter().filter(up).count() == 1
            })
            .await;
        world
            .wires
            .iter()
            .filter(up)
            .for_each(|wire| wire.silence(true));
        let state = if round % 2 == 0 {
            "terminating"
        } else {
            "in_service"
        };
        world.registry.put("/m/a", &value(1, state));
        let wanted = if round % 2 == 0 {
            MemberState::Terminating
        } else {
            MemberState::InService
        };
        world
            .until(state, |list| list.get("a") == Some(&wanted))
            .await;
        world.wires.iter().for_each(|wire| wire.silence(false));
    }
    assert_eq!(
        (
            world.births(),
            world.registry.calls.ranges.load(Ordering::Relaxed)
        ),
        (1, 1)
    );
}

#[tokio::test]
async fn a_registry_that_began_anew_is_read_anew_and_who_stayed_is_no_newcomer() {
    let registry = Registry::new(7, 0);
    for i in 0..40 {
        registry.put(&format!("/m/s-{i}"), &value(1 + i, "in_service"));
    }
    let world = world(registry, 1, |_| ()).await;
    world.until("40", |list| list.len() == 40).await;
    world.wires[0].refuse(true);
    world.wires[0].cut();
    world.registry.begin_anew(8);
    world.registry.put("/m/s-1", &value(2, "in_service"));
    world.wires[0].refuse(false);
    world.until("one", |list| list.len() == 1).await;
    assert_eq!(world.births(), 40);
    world.registry.put("/m/s-2", &value(3, "in_service"));
    world.until("two", |list| list.len() == 2).await;
    assert_eq!(
        world
            .roster
            .lock()
            .unwrap()
            .source_mut(0)
            .position()
            .map(|p| p.0),
        Some(8)
    );
}

#[tokio::test]
async fn thousands_of_keys_come_page_by_page_and_split_answers_as_one() {
    let registry = Registry::new(7, 0);
    for i in 0..5_000u16 {
        registry.put(&format!("/m/s-{i}"), &value(1 + i, "in_service"));
    }
    let world = world(registry, 1, |_| ()).await;
    world.until("5,000", |list| list.len() == 5_000).await;
    assert_eq!(world.registry.calls.ranges.load(Ordering::Relaxed), 3);
    world.wires[0].silence(true);
    for i in 0..1_000 {
        world.registry.delete(&format!("/m/s-{i}"));
    }
    world.wires[0].silence(false);
    world.until("4,000", |list| list.len() == 4_000).await;
    assert_eq!(world.registry.calls.ranges.load(Ordering::Relaxed), 3);
}

#[tokio::test]
async fn a_list_that_is_read_page_by_page_while_it_changes_is_of_one_revision() {
    let registry = Registry::new(7, 0);
    for i in 0..5_000u16 {
        registry.put(&format!("/m/s-{i:04}"), &value(1 + i, "in_service"));
    }
    let writer = registry.clone();
    let world = world(registry, 1, |_| ()).await;
    // After the first page: one of the first goes, one of the last comes to be drained, and one is new.
    world
        .until("reading", |_| {
            writer.calls.ranges.load(Ordering::Relaxed) >= 1
        })
        .await;
    writer.delete("/m/s-0000");
    writer.put("/m/s-4999", &value(5_000, "terminating"));
    writer.put("/m/t", &value(6_000, "in_service"));
    world
        .until("all three", |list| {
            list.len() == 5_000
                && list.contains_key("t")
                && list.get("s-4999") == Some(&MemberState::Terminating)
        })
        .await;
    assert_eq!(world.births(), 5_001);
}

#[tokio::test]
async fn a_token_goes_with_each_call() {
    let registry = Registry::new(7, 0);
    registry.require("s3cret");
    registry.put("/m/a", &value(1, "in_service"));
    let file = std::env::temp_dir().join(format!("applewall-token-{}", std::process::id()));
    std::fs::write(&file, "wrong\n").unwrap();
    let world = world(registry, 1, |s| {
        s.token_file = Some(file.to_str().unwrap().into());
    })
    .await;
    let tried = || world.wires[0].connections.0.load(Ordering::Relaxed) > 2;
    world
        .until("three tries", |list| list.is_empty() && tried())
        .await;
    // The file is read again at each connection.
    std::fs::write(&file, "s3cret\n").unwrap();
    world.until("a", |list| list.len() == 1).await;
    std::fs::remove_file(&file).unwrap();
}
