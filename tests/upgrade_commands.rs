//! Operators' commands to the two processes of an upgrade: a command that was answered with `done` is in force in the process
//! that serves afterwards, whichever process it was sent to and at whichever moment of the upgrade.

mod support;

use std::sync::Arc;
use std::time::Duration;

use applewall_fakes::clients::{connect, request};
use applewall_fakes::daemon::{Daemon, ServiceClass};
use applewall_fakes::hot_restart_gate::{Forwarding, HotRestartGate};
use applewall_fakes::http::{self, Kind};
use applewall_fakes::instance::Script;
use applewall_fakes::wait::TEST_TIMEOUT;
use support::node::{admin_command, wait_for_log, Node};
use tokio::io::AsyncWriteExt;

const ENDPOINTS: u64 = 3;
const REQUESTS: u64 = 60;
/// Long enough for a command to be executed by a process that does not wait with it, and shorter than the time in which a
/// command is answered.
const COMMAND_HEAD_START: Duration = Duration::from_millis(300);

/// An upgrade in the moment in which the new process has the state and waits for the confirmation.
struct Upgrade {
    node: Arc<Node>,
    old: Daemon,
    new: Daemon,
    gate: HotRestartGate,
}

impl Upgrade {
    /// Starts an upgrade of a node whose endpoints `in_maintenance` are in maintenance before it.
    async fn begin(in_maintenance: &[&str], forwarding: Forwarding) -> Self {
        let script = Script {
            processing_time: Duration::from_millis(2)..=Duration::from_millis(4),
            ..Script::default()
        };
        let node = Node::new(ServiceClass::default(), script, ENDPOINTS).await;
        let node = Arc::new(node);
        let old = node.start();
        wait_until_ready(&old).await;
        for id in in_maintenance {
            expect_done(&old, &format!("DISABLE {id}")).await;
        }
        let gate = HotRestartGate::place(node.folder.path(), forwarding);
        let mut gate = gate.expect("the gate is in place");
        let starting = node.clone();
        let new = tokio::task::spawn_blocking(move || starting.start()).await;
        gate.reported().await.expect("reported");
        Upgrade {
            node,
            old,
            new: new.expect("started"),
            gate,
        }
    }
}

async fn wait_until_ready(daemon: &Daemon) {
    while !admin_command(daemon, "READY").await.starts_with("done") {
        tokio::task::yield_now().await;
    }
}

async fn expect_done(daemon: &Daemon, command: &str) {
    let answer = admin_command(daemon, command).await;
    assert!(answer.starts_with("done"), "{command}: {answer}");
}

/// How many endpoints are in maintenance in a process. `ENABLE` of one that is not changes nothing.
async fn count_in_maintenance(daemon: &Daemon, in_service: &str) -> String {
    admin_command(daemon, &format!("ENABLE {in_service}")).await
}

async fn wait_until_count(daemon: &Daemon, in_service: &str, count: usize) {
    let expected = format!("done given back; {count} withheld in all");
    let deadline = tokio::time::Instant::now() + TEST_TIMEOUT;
    loop {
        let answer = count_in_maintenance(daemon, in_service).await;
        if answer == expected {
            return;
        }
        assert!(tokio::time::Instant::now() < deadline, "{answer}");
    }
}

/// Sends requests one after the other, each on a connection of its own.
async fn send_requests(daemon: &Daemon) {
    for id in 1..=REQUESTS {
        let mut client = connect(daemon.address, [127, 0, 0, 1].into(), None)
            .await
            .expect("a connection");
        let text = request(id, id, Duration::from_secs(3), 0);
        client.write_all(text.as_bytes()).await.expect("written");
        let response = http::read(&mut client, &mut Vec::new(), Kind::Response).await;
        response.expect("no reset").expect("a response");
    }
}

/// Guards against commands that only the old process hears of: those that it executes after it has exported its state and
/// before its link to the new process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_at_the_old_process_during_the_transfer_hold_in_the_new_one() {
    let upgrade = Upgrade::begin(&["s-0"], Forwarding::All).await;
    let Upgrade {
        node,
        old,
        new,
        gate,
    } = upgrade;
    for command in ["DISABLE s-1", "ENABLE s-0", "DRAIN"] {
        expect_done(&old, command).await;
    }
    gate.open().expect("the new process waits");
    wait_until_ready(&new).await;
    let phase = admin_command(&new, "READY").await;
    assert!(phase.starts_with("done drain"), "{phase}");
    expect_done(&new, "UNDRAIN").await;
    assert_eq!(
        count_in_maintenance(&new, "s-2").await,
        "done given back; 1 withheld in all"
    );
    send_requests(&new).await;
    let requests = [0, 1].map(|instance| node.requests_at(instance));
    assert!(
        requests[0] > 0 && requests[1] == 0,
        "{requests:?} at s-0, which was returned to service, and s-1, which is in maintenance"
    );
}

/// Guards against a new process that executes a command before it has heard of earlier ones at the old process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_at_the_new_process_during_the_transfer_comes_after_those_at_the_old_one() {
    let upgrade = Upgrade::begin(&[], Forwarding::All).await;
    let Upgrade { old, new, gate, .. } = upgrade;
    expect_done(&old, "DISABLE s-0").await;
    let later = tokio::spawn(async move {
        // On a slow machine the answer may come too late; the command is executed all the same.
        admin_command(&new, "ENABLE s-0").await;
        new
    });
    tokio::time::sleep(COMMAND_HEAD_START).await;
    gate.open().expect("the new process waits");
    let new = later.await.expect("answered");
    wait_until_ready(&new).await;
    wait_until_count(&new, "s-2", 0).await;
    wait_until_count(&old, "s-2", 0).await;
}

/// Guards against a command that ends with the wait for its answer: it says that it may still come into force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_whose_answer_came_too_late_holds_in_both_processes() {
    let upgrade = Upgrade::begin(&[], Forwarding::All).await;
    let Upgrade { old, new, gate, .. } = upgrade;
    let answer = admin_command(&new, "DISABLE s-0").await;
    assert!(answer.starts_with("error not decided in time"), "{answer}");
    gate.open().expect("the new process waits");
    wait_until_count(&new, "s-2", 1).await;
    wait_until_count(&old, "s-2", 1).await;
}

/// Guards against a failed upgrade that costs commands: those during the transfer stay in force and reach the next process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_stay_in_force_if_the_new_process_dies_during_the_transfer() {
    let upgrade = Upgrade::begin(&["s-0"], Forwarding::All).await;
    let Upgrade { node, old, new, .. } = upgrade;
    expect_done(&old, "DISABLE s-1").await;
    drop(new);
    wait_for_log(&old, "new process failed").await;
    assert_eq!(
        count_in_maintenance(&old, "s-2").await,
        "done given back; 2 withheld in all"
    );
    let next = node.upgrade(&old).await;
    wait_until_ready(&next).await;
    assert_eq!(
        count_in_maintenance(&next, "s-2").await,
        "done given back; 2 withheld in all"
    );
}

/// Guards against commands that are lost because the old process says nothing of them: a version before this one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_that_an_earlier_version_executed_during_the_transfer_hold_in_the_new_process() {
    let upgrade = Upgrade::begin(&["s-0"], Forwarding::UpToConfirmation).await;
    let Upgrade { old, new, gate, .. } = upgrade;
    for command in ["DISABLE s-1", "ENABLE s-0"] {
        expect_done(&old, command).await;
    }
    gate.open().expect("the new process waits");
    wait_until_ready(&new).await;
    assert_eq!(
        count_in_maintenance(&new, "s-2").await,
        "done given back; 1 withheld in all"
    );
    assert_eq!(
        count_in_maintenance(&new, "s-0").await,
        "done given back; 1 withheld in all"
    );
}

/// Guards against commands that are lost with the old process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_hold_in_the_new_process_if_the_old_one_dies_during_the_transfer() {
    let upgrade = Upgrade::begin(&["s-0"], Forwarding::All).await;
    let Upgrade { old, new, .. } = upgrade;
    expect_done(&old, "DISABLE s-1").await;
    drop(old);
    wait_until_ready(&new).await;
    assert_eq!(
        count_in_maintenance(&new, "s-2").await,
        "done given back; 2 withheld in all"
    );
}

/// Guards against a process that exits while it executes a command, which the other process may not hear of then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn command_is_answered_before_the_old_process_exits_and_holds_in_the_new_one() {
    let upgrade = Upgrade::begin(&[], Forwarding::All).await;
    let Upgrade { old, new, gate, .. } = upgrade;
    gate.open().expect("the new process waits");
    wait_until_ready(&new).await;
    // The old process waits for the new one's answer to the command, and has no client.
    new.pause();
    let stopped = async {
        wait_for_log(&old, "endpoint in maintenance").await;
        old.terminate();
    };
    let (answer, ()) = tokio::join!(old.admin_command("DISABLE s-0"), stopped);
    let answer = answer.expect("answered");
    assert!(answer.starts_with("done"), "{answer}");
    new.resume();
    wait_until_count(&new, "s-2", 1).await;
}
