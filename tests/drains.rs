//! Drains are kept whatever happens to the watch that should tell of them: the real program between a scripted agent, two
//! limit servers and service clients that never rest. The bound is the rule's own: from the moment a drain counts as told,
//! the leaving server may get new requests for 500 ms.

#![expect(
    clippy::excessive_nesting,
    reason = "deep nesting is flattened as the module is reworked"
)]
#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::target;
use applewall_fakes::http::{self, Kind};
use applewall_fakes::wait::wait_until;
use serde_json::Value;
use support::discovery_agent::{AgentState, DiscoveryAgent};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// What is new may go to a leaving server for so long after it counts as told.
const GRACE: Duration = Duration::from_millis(500);

/// What a silent watch misses counts as told so long after it fell silent.
const SILENCE: Duration = Duration::from_secs(6);

/// After SIGHUP, what the new agent has counts as told so much later.
const RELOAD: Duration = Duration::from_secs(4);

/// A limit server that answers at once, and when each request had wholly come.
struct Server {
    address: SocketAddr,
    came: Arc<Mutex<Vec<Instant>>>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let came = Arc::new(Mutex::new(Vec::new()));
        let times = came.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let times = times.clone();
                tokio::spawn(async move {
                    let mut rest = Vec::new();
                    while let Ok(Some(_)) = http::read(&mut stream, &mut rest, Kind::Request).await
                    {
                        times.lock().unwrap().push(Instant::now());
                        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";
                        if stream.write_all(answer).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Server { address, came }
    }

    fn many(&self) -> usize {
        self.came.lock().unwrap().len()
    }

    fn last(&self) -> Option<Instant> {
        self.came.lock().unwrap().last().copied()
    }
}

/// A service client that asks again as soon as it has an answer.
async fn ask(to: SocketAddr, client: u64) {
    for round in 0u64.. {
        let Ok(mut stream) = TcpStream::connect(to).await else {
            return;
        };
        let mut rest = Vec::new();
        for number in 0u64..100 {
            let id = client << 48 | round << 16 | number;
            let head = format!(
                "GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
                 X-Service-Class: limit-check\r\nX-Contract: shop\r\nX-Client-Id: {client:016x}\r\n\
                 X-Time-Left-Ms: 3000\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n"
            );
            if stream.write_all(head.as_bytes()).await.is_err() {
                break;
            }
            match http::read(&mut stream, &mut rest, Kind::Response).await {
                Ok(Some(_)) => sleep(Duration::from_millis(5)).await,
                _ => break,
            }
        }
    }
}

/// Both servers in service, and one of them leaving.
struct Scene {
    agent: DiscoveryAgent,
    leaving: Server,
    staying: Server,
    folder: tempfile::TempDir,
    daemon: Option<Daemon>,
}

impl Scene {
    /// Servers and an agent; nothing runs yet.
    async fn set() -> Self {
        let (leaving, staying) = (Server::start().await, Server::start().await);
        let agent = DiscoveryAgent::start(AgentState {
            revision: 5,
            ..AgentState::default()
        })
        .await;
        let scene = Scene {
            agent,
            leaving,
            staying,
            folder: tempfile::tempdir().unwrap(),
            daemon: None,
        };
        let list = scene.list("in_service");
        scene.agent.change(|s| s.targets = list);
        scene
    }

    fn list(&self, state: &str) -> Vec<Value> {
        vec![
            target("s-1", self.leaving.address, state),
            target("s-2", self.staying.address, "in_service"),
        ]
    }

    /// Starts the program with a known list in which both are in service, and its service clients.
    fn start(&mut self) {
        let setting = DaemonSettings {
            max_descriptors: 256,
            memory_mb: 64,
            operator_file: None,
            discovery: self.agent.address,
            known_targets: self.list("in_service"),
            quota_per_second: 100_000.0,
        };
        let program = Path::new(env!("CARGO_BIN_EXE_applewall"));
        let daemon = Daemon::start(program, self.folder.path(), "n0", &setting).unwrap();
        (1..=4).for_each(|client| drop(tokio::spawn(ask(daemon.address, client))));
        self.daemon = Some(daemon);
    }

    /// The same, until both serve and a watch waits.
    async fn run() -> Self {
        let mut scene = Scene::set().await;
        scene.start();
        wait_until("both serve and a watch waits", || {
            scene.leaving.many() > 50
                && scene.staying.many() > 50
                && scene.agent.counts().watches > 0
        })
        .await;
        scene
    }

    /// Looks on for a while after a drain counted as told.
    async fn retained(&self, reported: Instant) {
        sleep_until(reported + Duration::from_secs(2)).await;
        let last = self.leaving.last().expect("it was in use");
        let late = last.saturating_duration_since(reported);
        assert!(
            late <= GRACE,
            "the leaving server got a request {late:?} after it counted as told"
        );
        let last = self.staying.last().expect("it was in use");
        assert!(last > reported + GRACE, "no request came at all any more");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_a_watch_response_shows_it_also_over_many_lines() {
    let scene = Scene::run().await;
    scene.agent.change(|s| s.indented = true);
    let (reported, list) = (Instant::now(), scene.list("terminating"));
    scene.agent.change(|s| (s.revision, s.targets) = (6, list));
    scene.retained(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_a_full_list_omits_the_instance() {
    let scene = Scene::run().await;
    let reported = Instant::now();
    scene.agent.change(|s| {
        s.revision = 6;
        s.targets.remove(0);
    });
    scene.retained(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_the_watch_is_reset() {
    let scene = Scene::run().await;
    // What the agent has counts as told, whether a watch is open or not.
    let (reported, list) = (Instant::now(), scene.list("terminating"));
    scene
        .agent
        .change(|s| (s.revision, s.targets, s.generation, s.closed_before) = (6, list, 1, 1));
    scene.retained(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_the_watch_stays_silent() {
    let scene = Scene::run().await;
    let (fell_silent, list) = (Instant::now(), scene.list("terminating"));
    scene
        .agent
        .change(|s| (s.revision, s.targets, s.generation) = (6, list, 1));
    scene.retained(fell_silent + SILENCE).await;
    assert!(
        scene.leaving.last().unwrap() > fell_silent,
        "it was told before its watch fell silent"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_a_watch_response_stops_halfway() {
    let scene = Scene::run().await;
    let (fell_silent, list) = (Instant::now(), scene.list("terminating"));
    scene
        .agent
        .change(|s| (s.revision, s.targets, s.truncates) = (6, list, true));
    wait_until("the watch has half an answer", || {
        scene.agent.counts().truncated > 0
    })
    .await;
    // Connections from now on hear all of it.
    scene
        .agent
        .change(|s| (s.generation, s.truncates) = (1, false));
    scene.retained(fell_silent + SILENCE).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_the_agent_is_gone_for_eight_seconds() {
    let scene = Scene::run().await;
    let list = scene.list("terminating");
    scene.agent.change(|s| {
        (
            s.revision,
            s.targets,
            s.generation,
            s.closed_before,
            s.refuses,
        ) = (6, list, 1, 1, true);
    });
    sleep(Duration::from_secs(8)).await;
    let reported = Instant::now();
    scene.agent.change(|s| s.refuses = false);
    scene.retained(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_the_agent_is_silent_for_eight_seconds() {
    let scene = Scene::run().await;
    let list = scene.list("terminating");
    scene
        .agent
        .change(|s| (s.revision, s.targets, s.silent) = (6, list, true));
    sleep(Duration::from_secs(8)).await;
    // What was called before stays without an answer.
    let reported = Instant::now();
    scene
        .agent
        .change(|s| (s.silent, s.generation) = (false, 1));
    scene.retained(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_no_connection_to_the_agent_is_established_for_eight_seconds() {
    let scene = Scene::run().await;
    let list = scene.list("terminating");
    scene.agent.change(|s| {
        (
            s.revision,
            s.targets,
            s.generation,
            s.closed_before,
            s.accepts_none,
        ) = (6, list, 1, 1, true);
    });
    let mut fillers = Vec::new();
    while let Ok(filler) = timeout(
        Duration::from_millis(200),
        TcpStream::connect(scene.agent.address),
    )
    .await
    {
        fillers.push(filler.unwrap());
    }
    sleep(Duration::from_secs(8)).await;
    drop(fillers);
    let reported = Instant::now();
    scene.agent.change(|s| s.accepts_none = false);
    scene.retained(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_after_a_reload_to_an_agent_that_is_silent_at_first() {
    let scene = Scene::run().await;
    let list = scene.list("terminating");
    let next = DiscoveryAgent::start(AgentState {
        revision: 9,
        targets: list,
        silent: true,
        ..AgentState::default()
    })
    .await;
    let file = scene.folder.path().join("n0.json");
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).unwrap();
    config["discovery"] = next.address.to_string().into();
    std::fs::write(&file, config.to_string()).unwrap();
    let reported = Instant::now() + RELOAD;
    scene.daemon.as_ref().unwrap().signal(1);
    sleep(Duration::from_secs(3)).await;
    next.change(|s| s.silent = false);
    scene.retained(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_by_a_restarted_process_with_an_old_known_list() {
    let mut scene = Scene::set().await;
    let list = scene.list("terminating");
    scene.agent.change(|s| (s.revision, s.targets) = (6, list));
    scene.start();
    let reported = Instant::now();
    sleep_until(reported + Duration::from_secs(2)).await;
    if let Some(last) = scene.leaving.last() {
        assert!(
            last <= reported + GRACE,
            "{:?} after the start",
            last - reported
        );
    }
    assert!(scene.staying.last().unwrap() > reported + GRACE);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_the_revision_goes_back() {
    let scene = Scene::run().await;
    let (reported, list) = (Instant::now(), scene.list("terminating"));
    scene
        .agent
        .change(|s| (s.revision, s.targets, s.generation, s.closed_before) = (2, list, 1, 1));
    scene.retained(reported).await;
}
