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

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::target;
use applewall_fakes::http::{self, Kind};
use applewall_fakes::wait::wait_until;
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// What is new may go to a leaving server for so long after it counts as told.
const GRACE: Duration = Duration::from_millis(500);
/// What a silent watch misses counts as told so long after it fell silent.
const SILENCE: Duration = Duration::from_secs(6);
/// After SIGHUP, what the new agent has counts as told so much later.
const RELOAD: Duration = Duration::from_secs(4);

/// What an agent has, and how it behaves.
#[derive(Clone, Default)]
struct State {
    rev: u64,
    targets: Vec<Value>,
    /// Connections of an earlier round never hear anything again, or are cut.
    round: u64,
    cut: u64,
    /// No call is answered; connections are closed at once; none is taken, and the next one's does not come up.
    silent: bool,
    refuses: bool,
    hangs: bool,
    /// The list comes over many lines; half of it comes, and then nothing.
    indented: bool,
    half: bool,
}

struct Agent {
    address: SocketAddr,
    state: watch::Sender<State>,
    /// Watches that came, and answers of which half was written.
    seen: Arc<Mutex<(u64, u64)>>,
}

impl Agent {
    async fn start(state: State) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(4).unwrap();
        let address = listener.local_addr().unwrap();
        let (state, follower) = watch::channel(state);
        let seen = Arc::new(Mutex::new((0, 0)));
        let counts = seen.clone();
        tokio::spawn(async move {
            let mut hanging = follower.clone();
            loop {
                let _ = hanging.wait_for(|s| !s.hangs).await;
                let taken = tokio::select! {
                    biased;
                    _ = hanging.wait_for(|s| s.hangs) => continue,
                    taken = listener.accept() => taken,
                };
                let Ok((stream, _)) = taken else { return };
                let (follower, counts) = (follower.clone(), counts.clone());
                if follower.borrow().refuses {
                    continue;
                }
                tokio::spawn(async move {
                    let (round, mut ended) = (follower.borrow().round, follower.clone());
                    tokio::select! {
                        _ = serve(stream, follower, round, &counts) => {}
                        _ = ended.wait_for(|s| s.cut > round) => {}
                    }
                });
            }
        });
        Agent {
            address,
            state,
            seen,
        }
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
    }
}

async fn serve(
    mut stream: TcpStream,
    mut state: watch::Receiver<State>,
    round: u64,
    seen: &Mutex<(u64, u64)>,
) -> std::io::Result<()> {
    let mut rest = Vec::new();
    while let Some(request) = http::read(&mut stream, &mut rest, Kind::Request).await? {
        let after = request.query("after");
        let wait = Duration::from_millis(request.query("wait_ms").unwrap_or(0));
        if !wait.is_zero() {
            seen.lock().unwrap().0 += 1;
        }
        let news = |s: &State| after.is_none_or(|after| s.rev > after);
        let _ = timeout(
            wait,
            state.wait_for(|s| s.round == round && !s.silent && news(s)),
        )
        .await;
        // A connection of an earlier round, and a silent agent, say nothing more.
        let _ = state.wait_for(|s| s.round == round && !s.silent).await;
        let now = state.borrow_and_update().clone();
        let targets = if news(&now) {
            now.targets.clone()
        } else {
            Vec::new()
        };
        let list = json!({"rev": now.rev, "all": news(&now), "targets": targets});
        let body = if now.indented {
            serde_json::to_string_pretty(&list).unwrap()
        } else {
            list.to_string()
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if now.half && news(&now) {
            stream
                .write_all(&answer.as_bytes()[..answer.len() / 2])
                .await?;
            seen.lock().unwrap().1 += 1;
            std::future::pending::<()>().await;
        }
        stream.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}

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
    agent: Agent,
    leaving: Server,
    staying: Server,
    folder: tempfile::TempDir,
    daemon: Option<Daemon>,
}

impl Scene {
    /// Servers and an agent; nothing runs yet.
    async fn set() -> Self {
        let (leaving, staying) = (Server::start().await, Server::start().await);
        let agent = Agent::start(State {
            rev: 5,
            ..State::default()
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
                && scene.agent.seen.lock().unwrap().0 > 0
        })
        .await;
        scene
    }

    /// Looks on for a while after a drain counted as told.
    async fn kept(&self, told: Instant) {
        sleep_until(told + Duration::from_secs(2)).await;
        let last = self.leaving.last().expect("it was in use");
        let late = last.saturating_duration_since(told);
        assert!(
            late <= GRACE,
            "the leaving server got a request {late:?} after it counted as told"
        );
        let last = self.staying.last().expect("it was in use");
        assert!(last > told + GRACE, "no request came at all any more");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_a_watch_response_shows_it_also_over_many_lines() {
    let scene = Scene::run().await;
    scene.agent.change(|s| s.indented = true);
    let (told, list) = (Instant::now(), scene.list("terminating"));
    scene.agent.change(|s| (s.rev, s.targets) = (6, list));
    scene.kept(told).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_a_full_list_omits_the_instance() {
    let scene = Scene::run().await;
    let told = Instant::now();
    scene.agent.change(|s| {
        s.rev = 6;
        s.targets.remove(0);
    });
    scene.kept(told).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_the_watch_is_reset() {
    let scene = Scene::run().await;
    // What the agent has counts as told, whether a watch is open or not.
    let (told, list) = (Instant::now(), scene.list("terminating"));
    scene
        .agent
        .change(|s| (s.rev, s.targets, s.round, s.cut) = (6, list, 1, 1));
    scene.kept(told).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_the_watch_stays_silent() {
    let scene = Scene::run().await;
    let (fell_silent, list) = (Instant::now(), scene.list("terminating"));
    scene
        .agent
        .change(|s| (s.rev, s.targets, s.round) = (6, list, 1));
    scene.kept(fell_silent + SILENCE).await;
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
        .change(|s| (s.rev, s.targets, s.half) = (6, list, true));
    wait_until("the watch has half an answer", || {
        scene.agent.seen.lock().unwrap().1 > 0
    })
    .await;
    // Connections from now on hear all of it.
    scene.agent.change(|s| (s.round, s.half) = (1, false));
    scene.kept(fell_silent + SILENCE).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_the_agent_is_gone_for_eight_seconds() {
    let scene = Scene::run().await;
    let list = scene.list("terminating");
    scene
        .agent
        .change(|s| (s.rev, s.targets, s.round, s.cut, s.refuses) = (6, list, 1, 1, true));
    sleep(Duration::from_secs(8)).await;
    let told = Instant::now();
    scene.agent.change(|s| s.refuses = false);
    scene.kept(told).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_the_agent_is_silent_for_eight_seconds() {
    let scene = Scene::run().await;
    let list = scene.list("terminating");
    scene
        .agent
        .change(|s| (s.rev, s.targets, s.silent) = (6, list, true));
    sleep(Duration::from_secs(8)).await;
    // What was called before stays without an answer.
    let told = Instant::now();
    scene.agent.change(|s| (s.silent, s.round) = (false, 1));
    scene.kept(told).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_no_connection_to_the_agent_is_established_for_eight_seconds() {
    let scene = Scene::run().await;
    let list = scene.list("terminating");
    scene
        .agent
        .change(|s| (s.rev, s.targets, s.round, s.cut, s.hangs) = (6, list, 1, 1, true));
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
    let told = Instant::now();
    scene.agent.change(|s| s.hangs = false);
    scene.kept(told).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_after_a_reload_to_an_agent_that_is_silent_at_first() {
    let scene = Scene::run().await;
    let list = scene.list("terminating");
    let next = Agent::start(State {
        rev: 9,
        targets: list,
        silent: true,
        ..State::default()
    })
    .await;
    let file = scene.folder.path().join("n0.json");
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).unwrap();
    config["discovery"] = next.address.to_string().into();
    std::fs::write(&file, config.to_string()).unwrap();
    let told = Instant::now() + RELOAD;
    scene.daemon.as_ref().unwrap().signal(1);
    sleep(Duration::from_secs(3)).await;
    next.change(|s| s.silent = false);
    scene.kept(told).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_by_a_restarted_process_with_an_old_known_list() {
    let mut scene = Scene::set().await;
    let list = scene.list("terminating");
    scene.agent.change(|s| (s.rev, s.targets) = (6, list));
    scene.start();
    let told = Instant::now();
    sleep_until(told + Duration::from_secs(2)).await;
    if let Some(last) = scene.leaving.last() {
        assert!(last <= told + GRACE, "{:?} after the start", last - told);
    }
    assert!(scene.staying.last().unwrap() > told + GRACE);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_kept_when_the_revision_goes_back() {
    let scene = Scene::run().await;
    let (told, list) = (Instant::now(), scene.list("terminating"));
    scene
        .agent
        .change(|s| (s.rev, s.targets, s.round, s.cut) = (2, list, 1, 1));
    scene.kept(told).await;
}
