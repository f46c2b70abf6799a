//! An upgrade in place: the old process gets SIGTERM while limit servers hang. Is what it has taken answered before it
//! ends by itself?

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_kit::{
    answer_ok, free_address, list, not_run, operator, record_log, request, settings, target,
    wait_ready, write_config, Agent, Case, Client, LimitServer, Program,
};

/// The class's deadline and the time that clients give: 4 s, as `lecture-ferme` has it in the second deployment.
const DEADLINE_MS: u64 = 4_000;
const CLIENTS: u64 = 12;
/// Limit servers; half of them hang.
const SERVERS: usize = 4;
/// SIGKILL after SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// A final answer counts up to half a second after its time.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// How a request ended for its client.
struct Ended {
    id: u64,
    at: Instant,
    status: Option<u16>,
    words: String,
}

fn main() {
    let case = Case::from_arguments();
    let record = &case.record;
    let hang = Arc::new(AtomicBool::new(false));
    let servers: Vec<LimitServer> = (0..SERVERS)
        .map(|index| {
            let hang = hang.clone();
            LimitServer::start(
                record,
                &format!("s-{index}"),
                Arc::new(move |_, message, out| {
                    if hang.load(Ordering::Relaxed) && index < SERVERS / 2 {
                        // It hangs: open, and silent.
                        thread::sleep(Duration::from_secs(60));
                    }
                    thread::sleep(Duration::from_millis(140));
                    answer_ok(message.header("x-correlation-id"), out).map(|()| true)
                }),
            )
        })
        .collect();
    let targets: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| target(&server.name, server.address, index / 2, "in_service"))
        .collect();
    let agent = Agent::start(record, 1, &targets);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(record, error));
    let listen = listener
        .local_addr()
        .unwrap_or_else(|error| not_run(record, error));
    // The classes of the second deployment; `lecture-ferme` is unsafe to repeat here.
    let classes = r#"{"name":"lecture-ferme","deadline_ns":4000000000,"objective_ns":1500000000,"worth":1.0,"late_worth":0.2,"idempotency":"fragile","key_scope":"all","dedup_window_ns":0,"stream":false},
 {"name":"vente-recolte","deadline_ns":3000000000,"objective_ns":1200000000,"worth":2.0,"late_worth":0.0,"idempotency":"dedup","key_scope":"cell","dedup_window_ns":3000000000,"stream":false}"#;
    let plans = r#"{"name":"grande-ferme","refill":60.0,"peak_units":120.0,"pays":1.8,"open":0,"over_worth":0.0,"overrun_cost":1.0,"cap_rate":0.0,"never_over_depth":0.0,"hard_slack":0.0}"#;
    let settings = settings(classes, plans, 250);
    let known = list(1, true, &targets);
    let (old_operator, new_operator) = (free_address(record), free_address(record));
    let config = write_config(
        &case,
        "config",
        listen,
        agent.address,
        None,
        &known,
        &settings,
    );
    let mut old = Program::start(
        &case,
        "old",
        &config,
        Some(&listener),
        &[("GW_OPERATOR", old_operator.to_string())],
    );
    wait_ready(&case, listen);
    let mut clients: Vec<Client> = (0..CLIENTS)
        .map(|_| Client::connect(listen).unwrap_or_else(|error| not_run(record, error)))
        .collect();
    for (index, client) in clients.iter_mut().enumerate() {
        let first = request(
            0x1000 + index as u64,
            "lecture-ferme",
            "grande-ferme",
            0x100 + index as u64,
            DEADLINE_MS,
            1,
            None,
            Some(b"{\"plot\":1}"),
        );
        let answered = client
            .send(&first)
            .and_then(|()| client.answer(Duration::from_secs(5)));
        match answered {
            Ok(answer) => record.line(format!(
                "client {index}: its first request, answered {}",
                answer.status
            )),
            Err(error) => not_run(
                record,
                format!("the first request of client {index}: {error}"),
            ),
        }
    }
    // The platform starts `run` once more; the new process says yes.
    let new = Program::start(
        &case,
        "new",
        &config,
        Some(&listener),
        &[("GW_OPERATOR", new_operator.to_string())],
    );
    let until = Instant::now() + Duration::from_secs(6);
    while !operator(record, new_operator, "READY").starts_with("done") {
        if Instant::now() > until {
            not_run(record, "the new process does not say yes within 6 s");
        }
        thread::sleep(Duration::from_millis(10));
    }
    hang.store(true, Ordering::Relaxed);
    record.line("half of the limit servers hang from now on");
    // Requests on the kept connections, in the moment before SIGTERM.
    let waiting: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(index, mut client)| {
            let id = 0x2000 + index as u64;
            let bytes = request(
                id,
                "lecture-ferme",
                "grande-ferme",
                0x100 + index as u64,
                DEADLINE_MS,
                1,
                None,
                Some(b"{\"plot\":7}"),
            );
            if let Err(error) = client.send(&bytes) {
                not_run(record, error);
            }
            record.line(format!(
                "client {index}: sent request {id:016x} with {DEADLINE_MS} ms"
            ));
            let sent = Instant::now();
            let record = record.clone();
            thread::spawn(move || {
                let answer = client.answer(Duration::from_millis(DEADLINE_MS) + ANSWER_SLACK);
                let at = Instant::now();
                let (status, words) = match answer {
                    Ok(answer) => (Some(answer.status), format!("answered {}", answer.status)),
                    Err(error) => (None, format!("no answer: {error}")),
                };
                record.line(format!(
                    "client {index}: request {id:016x}: {words}, {:.0} ms after it was sent",
                    (at - sent).as_secs_f64() * 1e3
                ));
                Ended {
                    id,
                    at,
                    status,
                    words,
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    let mut killed_at = None;
    if case.trouble {
        let term = Instant::now();
        old.signal("TERM");
        if old.wait_end(KILL_AFTER).is_none() {
            old.signal("KILL");
            killed_at = Some(Instant::now());
        } else {
            record.line(format!(
                "old: ended {:.0} ms after SIGTERM; SIGKILL would come after 3700 ms",
                term.elapsed().as_secs_f64() * 1e3
            ));
        }
    }
    let mut lost = 0;
    for waiting in waiting {
        let Ok(ended) = waiting.join() else {
            not_run(record, "a client failed")
        };
        // What SIGKILL finds without an answer is excused: it came before 0.7 s after SIGTERM.
        let excused = killed_at.is_some_and(|killed_at| ended.at >= killed_at);
        if ended.status.is_none() && !excused {
            lost += 1;
            record.line(format!(
                "request {:016x} is lost: {}",
                ended.id, ended.words
            ));
        }
    }
    record_log(&case, "old", 40);
    record_log(&case, "new", 40);
    drop(new);
    drop(old);
    case.end(lost > 0, format!("{lost} of {CLIENTS} requests that the old process had taken got no answer, and it ended before SIGKILL was due"));
}
