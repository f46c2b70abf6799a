//! Operators' commands to the two processes of an upgrade: a command that was answered with `done` is in force in the process
//! that serves afterwards, whichever process it was sent to and at whichever moment of the upgrade.

mod support;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use applewall_fakes::clients::{connect, request};
use applewall_fakes::daemon::{Daemon, ServiceClass};
use applewall_fakes::http::{self, Kind};
use applewall_fakes::instance::Script;
use applewall_fakes::wait::TEST_TIMEOUT;
use support::node::{admin_command, wait_for_log, Node};
use tokio::io::{copy, AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::oneshot;

/// First line of a new process, which asks for the state.
const GREETING: &[u8] = b"applewall succession 1\n";
/// Line of a new process that has the state and its sockets.
const TAKEN_OVER: &[u8] = b"taken over\n";
const SOCKET: &str = "applewall-n0.sock";
const ENDPOINTS: u64 = 3;
const REQUESTS: u64 = 60;
/// Long enough for a command to be executed by a process that does not wait with it, and shorter than the time in which a
/// command is answered.
const COMMAND_HEAD_START: Duration = Duration::from_millis(300);

/// Line of the old process that confirms the takeover.
const CONFIRMATION: &[u8] = b"yours\n";

/// What of the old process's lines reaches the new one.
#[derive(Clone, Copy, PartialEq)]
enum Forwarding {
    All,
    /// Nothing after the confirmation of the takeover, as from a version that sends no commands with it.
    UpToConfirmation,
}

/// Stands between the two processes and holds back the new one's report that it has taken over: the old process has
/// exported its state, and the new one does not serve yet.
struct TransferGate {
    reported: oneshot::Receiver<()>,
    open: oneshot::Sender<()>,
}

impl TransferGate {
    /// Takes the place of the running process's socket, for the next new process.
    fn place(node: &Node, forwarding: Forwarding) -> Self {
        let path = node.folder.path().join(SOCKET);
        let old_process = node.folder.path().join("old.sock");
        std::fs::rename(&path, &old_process).expect("renamed");
        let listener = UnixListener::bind(&path).expect("a listener");
        let (report, reported) = oneshot::channel();
        let (open, opened) = oneshot::channel();
        tokio::spawn(forward(listener, old_process, forwarding, report, opened));
        TransferGate { reported, open }
    }

    /// Waits until the new process has reported that it has taken over.
    async fn reported(&mut self) {
        (&mut self.reported).await.expect("reported");
    }

    /// Passes the report on to the old process.
    fn open(self) {
        self.open.send(()).expect("the gate is waiting");
    }
}

async fn forward(
    listener: UnixListener,
    old_process: PathBuf,
    forwarding: Forwarding,
    report: oneshot::Sender<()>,
    opened: oneshot::Receiver<()>,
) {
    let (new, _) = listener.accept().await.expect("a new process");
    let old = UnixStream::connect(old_process).await.expect("connected");
    let (mut from_new, mut to_new) = new.into_split();
    let (mut from_old, mut to_old) = old.into_split();
    let mut greeting = [0; GREETING.len()];
    from_new.read_exact(&mut greeting).await.expect("greeting");
    to_old.write_all(&greeting).await.expect("written");
    // The state: its length is in the last four of eight bytes.
    let mut head = [0; 8];
    from_old.read_exact(&mut head).await.expect("a head");
    let length = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
    let mut state = vec![0; length as usize];
    from_old.read_exact(&mut state).await.expect("the state");
    to_new.write_all(&head).await.expect("written");
    to_new.write_all(&state).await.expect("written");
    let mut line = [0; TAKEN_OVER.len()];
    from_new.read_exact(&mut line).await.expect("a report");
    assert_eq!(line, TAKEN_OVER);
    let _ = report.send(());
    let mut end = [0; 1];
    tokio::select! {
        _ = opened => {}
        // The new process has died; both connections close.
        _ = from_new.read(&mut end) => return,
    }
    to_old.write_all(&line).await.expect("written");
    let mut confirmation = [0; CONFIRMATION.len()];
    let confirmed = from_old.read_exact(&mut confirmation).await;
    confirmed.expect("a confirmation");
    to_new.write_all(&confirmation).await.expect("written");
    let back = async {
        match forwarding {
            Forwarding::All => copy(&mut from_old, &mut to_new).await,
            Forwarding::UpToConfirmation => copy(&mut from_old, &mut tokio::io::sink()).await,
        }
    };
    tokio::select! {
        _ = copy(&mut from_new, &mut to_old) => {}
        _ = back => {}
    }
}

/// An upgrade in the moment in which the new process has the state and waits for the confirmation.
struct Upgrade {
    node: Arc<Node>,
    old: Daemon,
    new: Daemon,
    gate: TransferGate,
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
        let mut gate = TransferGate::place(&node, forwarding);
        let starting = node.clone();
        let new = tokio::task::spawn_blocking(move || starting.start()).await;
        gate.reported().await;
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
    gate.open();
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
    gate.open();
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
    gate.open();
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
    gate.open();
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
