use super::*;
use crate::admin::listener;
use crate::server::response::{ResponseBody, ServedResponse};
use applewall::api::Request;
use hyper::{Method, Uri};
use tokio::sync::oneshot::Receiver;

const ID: RequestId = RequestId(7);

fn engine() -> (Engine, mpsc::Receiver<Message>) {
    let (queue, inbox) = mpsc::channel(8);
    (
        Engine::new(
            &Config::sample(),
            Clock::start(),
            None,
            slow_peers::none(),
            queue,
            (Before::Nothing, None),
        ),
        inbox,
    )
}

/// Takes a command in; its attempt is started, but its task never runs: nothing is awaited here.
fn command(engine: &mut Engine) -> Receiver<ClientResponse> {
    let answer = command_of(engine, Arc::downgrade(&ASKER));
    assert!(engine.open[&ID].out.is_some());
    answer
}

/// One that stays.
static ASKER: std::sync::LazyLock<Arc<()>> = std::sync::LazyLock::new(Arc::default);

fn command_of(engine: &mut Engine, client: std::sync::Weak<()>) -> Receiver<ClientResponse> {
    let request = Request {
        id: ID,
        class: 0,
        plan: 0,
        customer: "c".into(),
        units: 1.0,
        time_left_ns: 1_000_000_000,
        is_retry: false,
        node_set_size: 1,
        first_node: 0,
    };
    let passed = Arc::new(ForwardedRequest {
        method: Method::GET,
        target: Uri::from_static("/api"),
        host: None,
        correlation_id: "0000000000000007".parse().expect("a value"),
        content_type: None,
        idempotency_key: None,
        body: Default::default(),
        _body_permit: None,
        client,
    });
    let (reply, answer) = oneshot::channel();
    let deadline = engine.clock.instant(engine.now + request.time_left_ns);
    engine.take(Message::Request(ClientRequest {
        request,
        serial: 1,
        deadline,
        forwarded: passed,
        responder: reply,
    }));
    answer
}

fn ended(number: u32, outcome: Outcome) -> Message {
    let response = (outcome == Outcome::Success).then(|| ServedResponse {
        body: ResponseBody::Buffered("body".into()),
        content_type: None,
    });
    let (endpoint, latency) = ("s-1".into(), Duration::from_millis(3));
    Message::AttemptEnded(AttemptEnded {
        request: ID,
        attempt: number,
        endpoint,
        outcome,
        latency,
        load_report: Vec::new(),
        response,
    })
}

#[tokio::test]
async fn a_command_that_the_module_leaves_open_gets_the_last_resort_answer() {
    let (mut engine, _inbox) = engine();
    let mut answer = command(&mut engine);
    engine.now += 1_000_000_000 - LAST_MARGIN;
    engine.fall_due();
    assert!(matches!(
        answer.try_recv(),
        Ok(ClientResponse::Failed {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: _
        })
    ));
    assert_eq!(engine.figures.last_resort, 1);
    // Its attempt is called off, and once that is told nothing is left of it.
    assert!(matches!(engine.open[&ID].out, Some((0, None))));
    engine.take(ended(0, Outcome::Cancelled));
    assert!(engine.open.is_empty() && engine.last_resorts.is_empty());
}

#[tokio::test]
async fn time_that_the_program_stood_still_comes_off_a_command_taken_after_it() {
    let (mut engine, _inbox) = engine();
    let (before, due) = (engine.now, engine.now + 60_000_000);
    engine.wake(due + STALL, due);
    assert_eq!(engine.stall, (0, 0));
    engine.wake(before + 500_000_000, due);
    let _answer = command(&mut engine);
    assert_eq!(
        engine.open[&ID].deadline,
        engine.now + 1_000_000_000 - (440_000_000 - STALL)
    );
}

#[tokio::test]
async fn a_late_result_of_an_ended_attempt_is_dropped() {
    let (mut engine, _inbox) = engine();
    let mut answer = command(&mut engine);
    engine.take(ended(0, Outcome::TimedOut));
    assert!(matches!(engine.open[&ID].out, Some((1, Some(_)))));
    engine.take(ended(0, Outcome::Success));
    assert!(answer.try_recv().is_err());
    engine.take(ended(1, Outcome::Success));
    assert!(matches!(answer.try_recv(), Ok(ClientResponse::Served(..))));
    assert!(engine.open.is_empty() && engine.last_resorts.is_empty());
}

#[tokio::test]
async fn a_command_never_has_two_attempts_out() {
    let (mut engine, _inbox) = engine();
    let _answer = command(&mut engine);
    engine.act(Action::StartAttempt {
        request: ID,
        endpoint: "s-1".into(),
        timeout_ns: 0,
    });
    assert!(matches!(engine.open[&ID].out, Some((0, Some(_)))));
    assert_eq!(engine.figures.attempts, 1);
}

/// Every place of the ordinary queue is taken before the engine runs at all; an order still comes first.
#[tokio::test]
async fn an_order_goes_before_a_full_queue() {
    let (queue, inbox) = mpsc::channel(crate::limits::ENGINE_QUEUE_CAPACITY);
    let config = Config::sample();
    let engine = Engine::new(
        &config,
        Clock::start(),
        None,
        slow_peers::none(),
        queue.clone(),
        (Before::Ledger(Ledger::default()), None),
    );
    let told = |i: usize| {
        let (id, state) = (
            format!("s-{}", i + 2).into(),
            applewall::api::EndpointState::Ready,
        );
        let member = applewall::api::Endpoint {
            id,
            state,
            ..Default::default()
        };
        Message::EndpointUpdate(EndpointUpdate {
            kind: EndpointUpdateKind::Delta,
            entries: vec![EndpointEntry {
                endpoint: member,
                address: config.listen,
            }],
        })
    };
    (0..crate::limits::ENGINE_QUEUE_CAPACITY)
        .for_each(|i| assert!(queue.try_send(told(i)).is_ok()));
    let (orders, orders_in) = mpsc::channel(1);
    // Listed by the last message only: unknown while that still waits.
    let (reply, answer) = oneshot::channel();
    let id = format!("s-{}", crate::limits::ENGINE_QUEUE_CAPACITY + 1);
    let order = listener::Instance {
        id,
        withhold: true,
        known: false,
        reply,
    };
    assert!(orders.try_send(Order::Instance(order)).is_ok());
    tokio::select! {
        biased;
        () = engine.run(inbox, orders_in) => panic!("the queue has senders"),
        answer = answer => {
            let answer = answer.expect("an answer").0.to_string();
            assert!(answer.starts_with("error no instance"), "{answer}");
        }
    }
}

#[tokio::test]
async fn only_the_service_client_of_that_command_can_leave_it() {
    let (mut engine, _inbox) = engine();
    let _answer = command(&mut engine);
    engine.take(Message::ClientDisconnected(ClientDisconnected {
        request: ID,
        serial: 2,
    }));
    assert!(engine.open[&ID].reply.is_some());
    engine.take(Message::ClientDisconnected(ClientDisconnected {
        request: ID,
        serial: 1,
    }));
    assert!(engine.open[&ID].reply.is_none());
    assert_eq!(engine.figures.left, 1);
}

/// The word of it was lost, as where the queue was full: nothing but the state itself tells.
#[tokio::test]
async fn a_command_whose_service_client_left_in_the_queue_is_not_sent_on() {
    let (mut engine, _inbox) = engine();
    let asker = Arc::new(());
    let told = Arc::downgrade(&asker);
    drop(asker);
    let _answer = command_of(&mut engine, told);
    assert!(engine.open.is_empty() && engine.last_resorts.is_empty());
    assert_eq!((engine.figures.attempts, engine.figures.left), (0, 1));
    // Neither its quota nor its id is held.
    let _answer = command(&mut engine);
    assert_eq!(engine.figures.attempts, 1);
}

#[tokio::test]
async fn no_further_attempt_is_made_for_a_service_client_that_left_unheard() {
    let (mut engine, _inbox) = engine();
    let asker = Arc::new(());
    let _answer = command_of(&mut engine, Arc::downgrade(&asker));
    assert_eq!(engine.figures.attempts, 1);
    drop(asker);
    // It never ran, so another attempt would be made for one who waits.
    engine.take(ended(0, Outcome::ConnectFailed));
    assert_eq!((engine.figures.attempts, engine.figures.left), (1, 1));
    assert!(engine.open.is_empty() && engine.last_resorts.is_empty());
    // Its word, late: nothing is left to take back.
    engine.take(Message::ClientDisconnected(ClientDisconnected {
        request: ID,
        serial: 1,
    }));
    assert_eq!(engine.figures.left, 1);
}

/// Attempts are numbered from 0 for each command: a result of the one that had the id before must not be taken for its own.
#[tokio::test]
async fn an_id_is_free_again_only_once_nothing_of_its_former_command_can_come() {
    let (mut engine, _inbox) = engine();
    let _answer = command(&mut engine);
    engine.take(Message::ClientDisconnected(ClientDisconnected {
        request: ID,
        serial: 1,
    }));
    // Its attempt is called off and has not ended.
    let mut again = command_of(&mut engine, Arc::downgrade(&ASKER));
    assert!(matches!(
        again.try_recv(),
        Ok(ClientResponse::Failed {
            status: StatusCode::CONFLICT,
            reason: _
        })
    ));
    engine.take(ended(0, Outcome::Success));
    assert!(engine.open.is_empty());
    let mut again = command(&mut engine);
    assert!(
        again.try_recv().is_err(),
        "the former one's answer is nobody's"
    );
    engine.take(ended(0, Outcome::Success));
    assert!(matches!(again.try_recv(), Ok(ClientResponse::Served(..))));
}
