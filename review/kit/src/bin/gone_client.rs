//! Clients send much at once and go. Do attempts for them begin after their close?

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_kit::{
    answer_ok, free_address, list, not_run, record_log, request, settings, target, wait_ready,
    write_config, Agent, Arrival, Case, Client, LimitServer, Program,
};

/// Clients, one after the other, and what each sends at once.
const CLIENTS: u64 = 4;
const REQUESTS: u64 = 45;
/// Work of a request at a limit server.
const WORK: Duration = Duration::from_millis(300);
/// The client goes this long after it has sent all.
const STAYS: Duration = Duration::from_millis(50);
/// An attempt may begin 0.1 s after the close, and every time limit on sockets is longer by 50 ms.
const GRACE: Duration = Duration::from_millis(150);

fn main() {
    let case = Case::from_arguments();
    let record = &case.record;
    let servers: Vec<LimitServer> = (0..4)
        .map(|index| {
            LimitServer::start(
                record,
                &format!("s-{index}"),
                Arc::new(|_, message, out| {
                    thread::sleep(WORK);
                    answer_ok(message.header("x-correlation-id"), out).map(|()| true)
                }),
            )
        })
        .collect();
    let targets: Vec<String> = servers
        .iter()
        .map(|server| target(&server.name, server.address, 0, "in_service"))
        .collect();
    let agent = Agent::start(record, 1, &targets);
    let classes = r#"{"name":"limit-check","deadline_ns":3000000000,"objective_ns":800000000,"worth":1.0,"late_worth":0.2,"idempotency":"retryable","key_scope":"all","dedup_window_ns":5000000000,"stream":false}"#;
    let plans = r#"{"name":"enterprise","refill":20.0,"peak_units":24.0,"pays":1.4,"open":0,"over_worth":0.0,"overrun_cost":0.5,"cap_rate":0.0,"never_over_depth":0.0,"hard_slack":0.0}"#;
    let listen = free_address(record);
    let config = write_config(
        &case,
        "config",
        listen,
        agent.address,
        None,
        &list(1, true, &targets),
        &settings(classes, plans, 500),
    );
    let program = Program::start(&case, "ingress", &config, None, &[]);
    wait_ready(&case, listen);
    let mut late = 0;
    for number in 0..CLIENTS {
        let first_id = 0x3000 + number * 0x100;
        let ids = first_id..first_id + REQUESTS;
        let bytes: Vec<u8> = ids
            .clone()
            .flat_map(|id| request(id, "limit-check", "enterprise", id, 3_000, 1, None, None))
            .collect();
        let mut client = Client::connect(listen).unwrap_or_else(|error| not_run(record, error));
        if let Err(error) = client.send(&bytes) {
            not_run(record, error);
        }
        record.line(format!(
            "client {number}: sent {REQUESTS} requests at once, {} bytes",
            bytes.len()
        ));
        if case.trouble {
            thread::sleep(STAYS);
        } else {
            // It stays until all is answered, or the ingress has closed the connection.
            for _ in ids.clone() {
                match client.answer(Duration::from_secs(5)) {
                    Ok(answer) => {
                        record.line(format!("client {number}: answered {}", answer.status))
                    }
                    Err(error) => {
                        record.line(format!("client {number}: {error}"));
                        break;
                    }
                }
            }
        }
        drop(client);
        let closed = Instant::now();
        record.line(format!("client {number}: closed its connection"));
        thread::sleep(Duration::from_secs(2));
        let is_late = |arrival: &Arrival| {
            arrival.at > closed + GRACE
                && u64::from_str_radix(&arrival.id, 16).is_ok_and(|id| ids.contains(&id))
        };
        for arrival in servers
            .iter()
            .flat_map(LimitServer::arrived)
            .filter(is_late)
        {
            late += 1;
            let after = (arrival.at - closed).as_secs_f64() * 1e3;
            record.line(format!(
                "BREAK: request {} came to {} {after:.0} ms after the close of client {number}",
                arrival.id, arrival.server
            ));
        }
    }
    record_log(&case, "ingress", 40);
    drop(program);
    case.end(late > 0, format!("{late} attempts for {CLIENTS} clients came to a limit server later than 150 ms after the client's close"));
}
