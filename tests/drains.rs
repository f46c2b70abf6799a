//! A draining endpoint gets no new requests, whatever happens to the watch that reports the drain. The daemon runs with a
//! scripted discovery agent, two endpoints and clients that send continuously. The platform sets the bound: the endpoint may
//! get new requests for 500 ms after its drain counts as reported.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use applewall_fakes::clients::{connect, request};
use applewall_fakes::daemon::{Daemon, DaemonSettings};
use applewall_fakes::discovery::target;
use applewall_fakes::http::{self, Kind};
use applewall_fakes::instance::{Instance, Script};
use applewall_fakes::wait::wait_until;
use serde_json::Value;
use support::daemon::{small_daemon, start_daemon, TIME_LEFT};
use support::discovery_agent::{AgentState, DiscoveryAgent};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A draining endpoint may get new requests for this long after its drain counts as reported.
const GRACE_PERIOD: Duration = Duration::from_millis(500);
/// A drain that a silent watch misses counts as reported this long after the watch fell silent.
const SILENT_WATCH_LIMIT: Duration = Duration::from_secs(6);
/// A drain in the list of a new agent counts as reported this long after SIGHUP.
const RELOAD_LIMIT: Duration = Duration::from_secs(4);
/// Requests are observed for this long after the drain counts as reported.
const OBSERVATION: Duration = Duration::from_secs(2);
/// How long an agent is out of reach: longer than [`SILENT_WATCH_LIMIT`].
const OUTAGE: Duration = Duration::from_secs(8);
/// A connection that is not established after this time is blocked by the full backlog.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

const CLIENTS: u64 = 4;
const REQUESTS_PER_CONNECTION: u64 = 100;
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// An endpoint counts as in use after more requests than this.
const MIN_REQUESTS_IN_USE: u64 = 50;

/// Sends requests until the daemon has ended, each shortly after the response to the last one.
async fn send_requests_continuously(daemon: SocketAddr, customer: u64) {
    let mut sent = 0;
    while let Ok(mut stream) = connect(daemon, [127, 0, 0, 1].into(), None).await {
        for _ in 0..REQUESTS_PER_CONNECTION {
            sent += 1;
            let head = request(customer << 48 | sent, customer, TIME_LEFT, 0);
            if stream.write_all(head.as_bytes()).await.is_err() {
                break;
            }
            let response = http::read(&mut stream, &mut Vec::new(), Kind::Response).await;
            if !matches!(response, Ok(Some(_))) {
                break;
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }
}

/// An agent that lists two endpoints, one of which drains later, and a daemon that knows both as in service.
struct Fleet {
    name: &'static str,
    agent: DiscoveryAgent,
    draining: Instance,
    staying: Instance,
    daemon: Option<Daemon>,
}

impl Fleet {
    /// A fleet whose daemon is not started; the names of its files begin with `name`.
    async fn without_daemon(name: &'static str) -> Self {
        let script = Script {
            processing_time: Duration::ZERO..=Duration::ZERO,
            ..Script::default()
        };
        let draining = Instance::start(script.clone()).await;
        let staying = Instance::start(script).await;
        let state = AgentState {
            revision: 5,
            ..AgentState::default()
        };
        let fleet = Fleet {
            name,
            agent: DiscoveryAgent::start(state).await,
            draining: draining.expect("an endpoint"),
            staying: staying.expect("an endpoint"),
            daemon: None,
        };
        let list = fleet.list("in_service");
        fleet.agent.change(|agent| agent.targets = list);
        fleet
    }

    /// A fleet in which both endpoints get requests and the daemon's watch is open.
    async fn in_service(name: &'static str) -> Self {
        let mut fleet = Fleet::without_daemon(name).await;
        fleet.start_daemon();
        let is_in_use = |endpoint: &Instance| {
            endpoint.recorded.requests.load(Ordering::Relaxed) > MIN_REQUESTS_IN_USE
        };
        wait_until("both endpoints are in use and a watch is open", || {
            is_in_use(&fleet.draining)
                && is_in_use(&fleet.staying)
                && fleet.agent.counts().watches > 0
        })
        .await;
        fleet
    }

    fn list(&self, state: &str) -> Vec<Value> {
        vec![
            target("s-1", self.draining.address, state),
            target("s-2", self.staying.address, "in_service"),
        ]
    }

    /// Starts the daemon and its clients.
    fn start_daemon(&mut self) {
        let settings = DaemonSettings {
            memory_mb: 64,
            quota_per_second: 100_000.0,
            ..small_daemon(self.agent.address, self.list("in_service"))
        };
        let daemon = start_daemon(self.name, &settings);
        for customer in 1..=CLIENTS {
            tokio::spawn(send_requests_continuously(daemon.address, customer));
        }
        self.daemon = Some(daemon);
    }

    /// Lists the endpoint as draining at the next revision, together with a further change of the agent; returns when.
    fn drain(&self, change: impl FnOnce(&mut AgentState)) -> Instant {
        let (drained_at, list) = (Instant::now(), self.list("terminating"));
        self.agent.change(|agent| {
            agent.revision = 6;
            agent.targets = list;
            change(agent);
        });
        drained_at
    }

    /// Makes the agent reachable again, from when on the drains that it lists count as reported; returns when.
    fn end_outage(&self, change: impl FnOnce(&mut AgentState)) -> Instant {
        let reported = Instant::now();
        self.agent.change(change);
        reported
    }

    /// Replaces the agent's address in the daemon's configuration, and reloads it.
    fn reload_with(&self, agent: &DiscoveryAgent) {
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}.json", self.name));
        let text = std::fs::read_to_string(&file).expect("the configuration");
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        config["discovery"] = agent.address.to_string().into();
        std::fs::write(&file, config.to_string()).expect("written");
        self.daemon.as_ref().expect("started").reload();
    }

    /// Checks that only the other endpoint gets new requests later than the grace period after the report.
    async fn assert_drained(&self, reported: Instant) {
        sleep_until(reported + OBSERVATION).await;
        if let Some(last) = self.draining.recorded.last_request_at() {
            let late = last.saturating_duration_since(reported);
            assert!(
                late <= GRACE_PERIOD,
                "the draining endpoint got a request {late:?} after its drain was reported, {GRACE_PERIOD:?} allowed"
            );
        }
        let last = self.staying.recorded.last_request_at();
        assert!(last.is_some(), "the other endpoint got no request at all");
        assert!(
            last > Some(reported + GRACE_PERIOD),
            "the other endpoint got no request after the drain"
        );
    }

    /// As [`Fleet::assert_drained`], for an endpoint that was in use.
    async fn assert_drained_after_use(&self, reported: Instant) {
        assert!(
            self.draining.recorded.last_request_at().is_some(),
            "the endpoint got no request before its drain"
        );
        self.assert_drained(reported).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_takes_effect_when_a_watch_response_over_many_lines_lists_it() {
    let fleet = Fleet::in_service("drains-indented").await;
    let reported = fleet.drain(|agent| agent.indented = true);
    fleet.assert_drained_after_use(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_takes_effect_when_a_full_list_omits_the_endpoint() {
    let fleet = Fleet::in_service("drains-omitted").await;
    let reported = fleet.drain(|agent| drop(agent.targets.remove(0)));
    fleet.assert_drained_after_use(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_takes_effect_when_the_watch_is_closed() {
    let fleet = Fleet::in_service("drains-closed").await;
    // A drain counts as reported once the agent lists it, even if no watch is open.
    let reported = fleet.drain(AgentState::close_connections);
    fleet.assert_drained_after_use(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_takes_effect_when_the_watch_falls_silent() {
    let fleet = Fleet::in_service("drains-silent-watch").await;
    let silent_since = fleet.drain(AgentState::silence_connections);
    fleet
        .assert_drained_after_use(silent_since + SILENT_WATCH_LIMIT)
        .await;
    assert!(
        fleet.draining.recorded.last_request_at() > Some(silent_since),
        "the drain was known before the watch fell silent"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_takes_effect_when_a_watch_response_stops_halfway() {
    let fleet = Fleet::in_service("drains-truncated").await;
    let silent_since = fleet.drain(|agent| agent.truncates = true);
    wait_until("half of a watch response is sent", || {
        fleet.agent.counts().truncated > 0
    })
    .await;
    // New connections get complete responses.
    fleet.agent.change(|agent| {
        agent.silence_connections();
        agent.truncates = false;
    });
    fleet
        .assert_drained_after_use(silent_since + SILENT_WATCH_LIMIT)
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_takes_effect_when_the_agent_closes_all_connections_for_a_while() {
    let fleet = Fleet::in_service("drains-refused").await;
    fleet.drain(|agent| {
        agent.close_connections();
        agent.refuses = true;
    });
    sleep(OUTAGE).await;
    let reported = fleet.end_outage(|agent| agent.refuses = false);
    fleet.assert_drained_after_use(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_takes_effect_when_the_agent_is_silent_for_a_while() {
    let fleet = Fleet::in_service("drains-silent-agent").await;
    fleet.drain(|agent| agent.silent = true);
    sleep(OUTAGE).await;
    // Requests sent during the outage get no response.
    let reported = fleet.end_outage(|agent| {
        agent.silence_connections();
        agent.silent = false;
    });
    fleet.assert_drained_after_use(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_takes_effect_when_no_connection_to_the_agent_is_established_for_a_while() {
    let fleet = Fleet::in_service("drains-not-accepted").await;
    fleet.drain(|agent| {
        agent.close_connections();
        agent.accepts_none = true;
    });
    let mut fillers = Vec::new();
    let connect = || timeout(CONNECT_TIMEOUT, TcpStream::connect(fleet.agent.address));
    while let Ok(filler) = connect().await {
        fillers.push(filler.expect("a connection in the agent's backlog"));
    }
    sleep(OUTAGE).await;
    drop(fillers);
    let reported = fleet.end_outage(|agent| agent.accepts_none = false);
    fleet.assert_drained_after_use(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_takes_effect_after_a_reload_to_an_agent_that_is_silent_at_first() {
    let fleet = Fleet::in_service("drains-reload").await;
    let next_agent = DiscoveryAgent::start(AgentState {
        revision: 9,
        targets: fleet.list("terminating"),
        silent: true,
        ..AgentState::default()
    })
    .await;
    let reported = Instant::now() + RELOAD_LIMIT;
    fleet.reload_with(&next_agent);
    sleep(Duration::from_secs(3)).await;
    next_agent.change(|agent| agent.silent = false);
    fleet.assert_drained_after_use(reported).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_takes_effect_in_a_restarted_process_with_an_outdated_list() {
    let mut fleet = Fleet::without_daemon("drains-restart").await;
    fleet.drain(|_| {});
    fleet.start_daemon();
    fleet.assert_drained(Instant::now()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_takes_effect_when_the_revision_goes_back() {
    let fleet = Fleet::in_service("drains-revision").await;
    let reported = fleet.drain(|agent| {
        agent.revision = 2;
        agent.close_connections();
    });
    fleet.assert_drained_after_use(reported).await;
}
