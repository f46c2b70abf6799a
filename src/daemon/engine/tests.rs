use std::sync::{Arc, LazyLock, Weak};
use std::time::Duration;

use applewall::api::{
    Action, ClassId, Endpoint, EndpointState, EndpointUpdateKind, NodeSet, Outcome, PlanId,
    Request, RequestId,
};
use applewall_admin::MaintenanceSet;
use bytes::Bytes;
use hyper::{Method, StatusCode, Uri};
use tokio::sync::oneshot::{self, Receiver};
use tokio::sync::{mpsc, watch};

use super::pending_request::{InFlightAttempt, LAST_RESORT_MARGIN_NS};
use super::{ClockStall, Dependencies, Engine, InitialState, STALL_THRESHOLD_NS};
use crate::admin::handle::{ControlMessage, MaintenanceRequest};
use crate::admin::maintenance::{CommandOrigin, MaintenanceChange};
use crate::clock::Clock;
use crate::config::platform::PlatformConfig;
use crate::engine::message::{
    AttemptEnded, ClientDisconnected, ClientPresence, ClientRequest, EndpointEntry, EndpointUpdate,
    ForwardedHead, ForwardedRequest, Message,
};
use crate::resources::limits::ENGINE_QUEUE_CAPACITY;
use crate::server::response::{ClientResponse, ResponseBody, ServedResponse};
use crate::server::slow_peers;

/// The id of all requests in these tests.
const ID: RequestId = RequestId(7);
/// Time until the client's deadline.
const TIME_LEFT_NS: u64 = 1_000_000_000;

fn dependencies(queue: mpsc::Sender<Message>, initial_state: InitialState) -> Dependencies {
    Dependencies {
        clock: Clock::start(),
        peers: None,
        monitors: slow_peers::disabled(),
        queue,
        initial_state,
        zones: None,
        other_process: watch::channel(None).1,
    }
}

/// An engine and the queue to which its attempts report.
fn engine() -> (Engine, mpsc::Receiver<Message>) {
    let (queue, inbox) = mpsc::channel(8);
    (
        Engine::new(
            &PlatformConfig::sample(),
            dependencies(queue, InitialState::WithoutAdmin),
        ),
        inbox,
    )
}

/// Submits a request of a connected client. Its attempt is started, but the attempt's task does not run, since the test
/// does not await anything.
fn submit_request(engine: &mut Engine) -> Receiver<ClientResponse> {
    let response = submit_request_of(engine, Arc::downgrade(&CLIENT));
    assert!(engine.pending[&ID].in_flight.is_some());
    response
}

/// A client that stays connected.
static CLIENT: LazyLock<Arc<()>> = LazyLock::new(Arc::default);

/// Submits a request of a client that stays connected for as long as `client` is alive.
fn submit_request_of(engine: &mut Engine, client: Weak<()>) -> Receiver<ClientResponse> {
    let request = Request {
        id: ID,
        class: ClassId(0),
        plan: PlanId(0),
        customer: "c".into(),
        units: 1.0,
        time_left_ns: TIME_LEFT_NS,
        is_retry: false,
        nodes: NodeSet::first_nodes(1),
    };
    let forwarded = Arc::new(ForwardedRequest {
        head: ForwardedHead {
            method: Method::GET,
            target: Uri::from_static("/api"),
            host: None,
            correlation_id: "0000000000000007".parse().expect("a value"),
            content_type: None,
            idempotency_key: None,
        },
        body: Bytes::new(),
        _body_permit: None,
        client: ClientPresence::from_service(client),
    });
    let (responder, response) = oneshot::channel();
    let deadline = engine.clock.instant(engine.now + request.time_left_ns);
    engine.handle_message(Message::Request(ClientRequest {
        request,
        serial: 1,
        deadline,
        forwarded,
        responder,
    }));
    response
}

/// The message that reports the end of an attempt.
fn attempt_ended(number: u32, outcome: Outcome) -> Message {
    let response = (outcome == Outcome::Success).then(|| ServedResponse {
        body: ResponseBody::Buffered("body".into()),
        content_type: None,
    });
    Message::AttemptEnded(AttemptEnded {
        request: ID,
        attempt: number,
        endpoint: "s-1".into(),
        outcome,
        latency: Duration::from_millis(3),
        load_report: Vec::new(),
        response,
    })
}

#[tokio::test]
async fn request_that_the_policy_leaves_pending_gets_the_last_resort_response() {
    let (mut engine, _inbox) = engine();
    let mut response = submit_request(&mut engine);
    engine.now += TIME_LEFT_NS - LAST_RESORT_MARGIN_NS;
    engine.expire_timers();
    assert!(matches!(
        response.try_recv(),
        Ok(ClientResponse::Failed {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: _
        })
    ));
    assert_eq!(engine.statistics.last_resort, 1);
    // The attempt has been cancelled. The request is removed once the attempt has reported its end.
    assert!(matches!(
        engine.pending[&ID].in_flight,
        Some(InFlightAttempt {
            number: 0,
            cancel: None,
            ..
        })
    ));
    engine.handle_message(attempt_ended(0, Outcome::Cancelled));
    assert!(engine.pending.is_empty() && engine.timers.no_last_resorts());
}

#[tokio::test]
async fn time_of_a_stall_is_taken_off_the_deadline_of_a_request_read_after_it() {
    let (mut engine, _inbox) = engine();
    let before = engine.now;
    let due = engine.now + 60_000_000;
    engine.advance_to(due + STALL_THRESHOLD_NS, due);
    assert_eq!(engine.stall, ClockStall::default());
    engine.advance_to(before + 500_000_000, due);
    let _response = submit_request(&mut engine);
    assert_eq!(
        engine.pending[&ID].deadline_ns,
        engine.now + TIME_LEFT_NS - (440_000_000 - STALL_THRESHOLD_NS)
    );
}

#[tokio::test]
async fn late_result_of_an_ended_attempt_is_dropped() {
    let (mut engine, _inbox) = engine();
    let mut response = submit_request(&mut engine);
    engine.handle_message(attempt_ended(0, Outcome::TimedOut));
    assert!(matches!(
        engine.pending[&ID].in_flight,
        Some(InFlightAttempt {
            number: 1,
            cancel: Some(_),
            ..
        })
    ));
    engine.handle_message(attempt_ended(0, Outcome::Success));
    assert!(response.try_recv().is_err());
    engine.handle_message(attempt_ended(1, Outcome::Success));
    assert!(matches!(
        response.try_recv(),
        Ok(ClientResponse::Served(..))
    ));
    assert!(engine.pending.is_empty() && engine.timers.no_last_resorts());
}

#[tokio::test]
async fn request_never_has_two_attempts_in_flight() {
    let (mut engine, _inbox) = engine();
    let _response = submit_request(&mut engine);
    engine.perform(Action::StartAttempt {
        request: ID,
        endpoint: "s-1".into(),
        timeout_ns: None,
    });
    assert!(matches!(
        engine.pending[&ID].in_flight,
        Some(InFlightAttempt {
            number: 0,
            cancel: Some(_),
            ..
        })
    ));
    assert_eq!(engine.statistics.attempts, 1);
}

/// Guards against admin commands that wait behind a full message queue: the queue is full before the engine runs at
/// all.
#[tokio::test]
async fn admin_command_is_handled_before_a_full_message_queue() {
    let (queue, inbox) = mpsc::channel(ENGINE_QUEUE_CAPACITY);
    let config = PlatformConfig::sample();
    let engine = Engine::new(
        &config,
        dependencies(
            queue.clone(),
            InitialState::Maintenance(MaintenanceSet::default()),
        ),
    );
    // Each message adds one endpoint: s-2, s-3 and so on.
    let update = |index: usize| {
        let endpoint = Endpoint {
            id: format!("s-{}", index + 2).into(),
            state: EndpointState::Ready,
            ..Default::default()
        };
        Message::EndpointUpdate(EndpointUpdate {
            kind: EndpointUpdateKind::Delta,
            entries: vec![EndpointEntry {
                endpoint,
                address: config.listen,
            }],
        })
    };
    (0..ENGINE_QUEUE_CAPACITY).for_each(|index| assert!(queue.try_send(update(index)).is_ok()));
    let (commands, commands_in) = mpsc::channel(1);
    // The last message adds this endpoint, so the command fails if it is handled before that message.
    let (reply, response) = oneshot::channel();
    let id = format!("s-{}", ENGINE_QUEUE_CAPACITY + 1);
    let command = MaintenanceRequest {
        id,
        change: MaintenanceChange::Enter,
        origin: CommandOrigin::AdminAddress,
        reply,
    };
    assert!(commands
        .try_send(ControlMessage::SetMaintenance(command))
        .is_ok());
    tokio::select! {
        biased;
        () = engine.run(inbox, commands_in) => panic!("the engine stopped although its queue has senders"),
        response = response => {
            let response = response.expect("an answer").0.to_string();
            assert!(response.starts_with("error no instance"), "{response}");
        }
    }
}

#[tokio::test]
async fn disconnect_of_another_request_with_the_same_id_is_ignored() {
    let (mut engine, _inbox) = engine();
    let _response = submit_request(&mut engine);
    engine.handle_message(Message::ClientDisconnected(ClientDisconnected {
        request: ID,
        serial: 2,
    }));
    assert!(engine.pending[&ID].responder.is_some());
    engine.handle_message(Message::ClientDisconnected(ClientDisconnected {
        request: ID,
        serial: 1,
    }));
    assert!(engine.pending[&ID].responder.is_none());
    assert_eq!(engine.statistics.disconnected, 1);
}

/// Guards against an attempt for a client whose disconnect message was lost in a full queue: only the shared state
/// shows the disconnect.
#[tokio::test]
async fn request_is_not_forwarded_if_its_client_disconnected_in_the_queue() {
    let (mut engine, _inbox) = engine();
    let client = Arc::new(());
    let disconnected = Arc::downgrade(&client);
    drop(client);
    let _response = submit_request_of(&mut engine, disconnected);
    assert!(engine.pending.is_empty() && engine.timers.no_last_resorts());
    assert_eq!(
        (engine.statistics.attempts, engine.statistics.disconnected),
        (0, 1)
    );
    // Neither the quota nor the id of the first request is still in use.
    let _response = submit_request(&mut engine);
    assert_eq!(engine.statistics.attempts, 1);
}

#[tokio::test]
async fn no_retry_is_made_if_the_disconnect_message_was_lost() {
    let (mut engine, _inbox) = engine();
    let client = Arc::new(());
    let _response = submit_request_of(&mut engine, Arc::downgrade(&client));
    assert_eq!(engine.statistics.attempts, 1);
    drop(client);
    // The request was never executed, so it would be retried if the client were still connected.
    engine.handle_message(attempt_ended(0, Outcome::ConnectFailed));
    assert_eq!(
        (engine.statistics.attempts, engine.statistics.disconnected),
        (1, 1)
    );
    assert!(engine.pending.is_empty() && engine.timers.no_last_resorts());
    // A late disconnect message has no effect.
    engine.handle_message(Message::ClientDisconnected(ClientDisconnected {
        request: ID,
        serial: 1,
    }));
    assert_eq!(engine.statistics.disconnected, 1);
}

/// Guards against attributing the result of an attempt to a later request with the same id: attempts are numbered from
/// 0 for each request.
#[tokio::test]
async fn request_id_is_reusable_only_after_its_former_attempt_ended() {
    let (mut engine, _inbox) = engine();
    let _response = submit_request(&mut engine);
    engine.handle_message(Message::ClientDisconnected(ClientDisconnected {
        request: ID,
        serial: 1,
    }));
    // The attempt has been cancelled but has not ended.
    let mut again = submit_request_of(&mut engine, Arc::downgrade(&CLIENT));
    assert!(matches!(
        again.try_recv(),
        Ok(ClientResponse::Failed {
            status: StatusCode::CONFLICT,
            reason: _
        })
    ));
    engine.handle_message(attempt_ended(0, Outcome::Success));
    assert!(engine.pending.is_empty());
    let mut again = submit_request(&mut engine);
    assert!(
        again.try_recv().is_err(),
        "the response to the first request reached the second one"
    );
    engine.handle_message(attempt_ended(0, Outcome::Success));
    assert!(matches!(again.try_recv(), Ok(ClientResponse::Served(..))));
}

/// Blocks the process until a request's deadline, so that both its attempt's timeout and its last-resort response are
/// overdue.
async fn stall_beyond(deadline: std::time::Instant) {
    let stall = Duration::from_millis(50);
    tokio::time::sleep_until((deadline - stall).into()).await;
    std::thread::sleep(deadline.saturating_duration_since(std::time::Instant::now()));
}

/// Guards against a last-resort response that is sent after a stall although the attempt timed out first.
#[tokio::test]
async fn attempt_that_times_out_during_a_stall_ends_before_the_last_resort() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let (queue, inbox) = mpsc::channel(8);
    let mut engine = Engine::new(
        &PlatformConfig::sample(),
        dependencies(queue.clone(), InitialState::WithoutAdmin),
    );
    let update = || {
        Message::EndpointUpdate(EndpointUpdate {
            kind: EndpointUpdateKind::Delta,
            entries: vec![EndpointEntry {
                endpoint: Endpoint {
                    id: "s-1".into(),
                    state: EndpointState::Ready,
                    ..Default::default()
                },
                address: silent.local_addr().expect("its address"),
            }],
        })
    };
    engine.handle_message(update());
    let response = submit_request(&mut engine);
    let deadline = engine.clock.instant(engine.now + TIME_LEFT_NS);
    let (_commands, commands_in) = mpsc::channel(1);
    let engine = tokio::spawn(engine.run(inbox, commands_in));
    stall_beyond(deadline).await;
    // Wakes the engine before the attempt's timer expires.
    assert!(queue.try_send(update()).is_ok());
    let response = response.await.expect("a response");
    engine.abort();
    // The policy's response: a rejection that allows a retry, rather than 504.
    assert!(
        matches!(response, ClientResponse::Rejected { .. }),
        "{}",
        response.summary()
    );
}
