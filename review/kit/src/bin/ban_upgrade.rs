//! Operators take limit servers out, one call after the other, while an upgrade in place goes on. Does every ban that
//! the ingress has said yes to hold in the process that serves afterwards?

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_kit::{
    answer_ok, free_address, list, not_run, operator, record_log, request, settings, target,
    wait_ready, write_config, Agent, Case, Client, LimitServer, Program,
};

/// Limit servers, as on the busiest days of the site; the first ones stay, the others are taken out.
const SERVERS: usize = 14;
const KEPT: usize = 4;
/// Operators, each with a call at a time: one for each hall.
const OPERATORS: usize = 3;
/// An operator's pause between two calls.
const PAUSE: Duration = Duration::from_millis(8);
/// Upgrades, one after the other, until one breaks the rule. After each all limit servers are given back.
const ROUNDS: usize = 6;
/// Customers that come once before the first upgrade, 500 a second.
const CUSTOMERS: u64 = 3_000;
const PACE: Duration = Duration::from_millis(2);
/// After the yes: the grace of the drain rule, and 50 ms as for every time limit on sockets.
const GRACE: Duration = Duration::from_millis(550);
/// After the new process's yes: what discovery has to tell binds from then on. The case judges nothing that comes earlier.
const SETTLED: Duration = Duration::from_millis(2_050);
/// Requests after each upgrade, which show where the ingress sends work.
const LAST_REQUESTS: u64 = 100;
const LAST_PACE: Duration = Duration::from_millis(15);
/// SIGKILL after SIGTERM: the longest deadline and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);

/// A ban, and when the ingress said yes.
struct Ban {
    server: usize,
    said_yes: Instant,
}

/// One operator takes every third of the limit servers out, one after the other: at the first address, and at the second
/// one as soon as the first no longer answers.
fn take_out(case: &Case, number: usize, addresses: &[SocketAddr]) -> Vec<Ban> {
    let mut bans = Vec::new();
    for server in (KEPT + number..SERVERS).step_by(OPERATORS) {
        let command = format!("DISABLE s-{server}");
        let mut answers = addresses
            .iter()
            .map(|address| operator(&case.record, *address, &command));
        if answers.any(|answer| answer.starts_with("done")) {
            let said_yes = Instant::now();
            bans.push(Ban { server, said_yes });
        }
        thread::sleep(PAUSE);
    }
    bans
}

/// Waits until the new process says yes; then SIGTERM, and SIGKILL if it comes to that, for the old one.
fn finish_upgrade(case: &Case, new_operator: SocketAddr, old: &mut Program) {
    let until = Instant::now() + Duration::from_secs(6);
    while !operator(&case.record, new_operator, "READY").starts_with("done") {
        if Instant::now() > until {
            not_run(&case.record, "the new process does not say yes within 6 s");
        }
        thread::sleep(Duration::from_millis(5));
    }
    old.signal("TERM");
    if old.wait_end(KILL_AFTER).is_none() {
        old.signal("KILL");
    }
}

/// Sends requests one after the other, each of another customer, and counts those that were served.
fn send_requests(
    case: &Case,
    listen: SocketAddr,
    ids: std::ops::Range<u64>,
    pace: Duration,
) -> u64 {
    let connect = || Client::connect(listen).unwrap_or_else(|error| not_run(&case.record, error));
    let (mut client, mut served, count) = (connect(), 0, ids.end - ids.start);
    for id in ids {
        let begun = Instant::now();
        let bytes = request(id, "limit-check", "enterprise", id, 3_000, 1, None, None);
        match client
            .send(&bytes)
            .and_then(|()| client.answer(Duration::from_millis(3_500)))
        {
            Ok(answer) => served += u64::from(answer.status == 200),
            Err(_) => client = connect(),
        }
        thread::sleep(pace.saturating_sub(begun.elapsed()));
    }
    let words = format!("{count} requests of {count} customers, {served} served");
    case.record.line(words);
    served
}

/// Counts the limit servers that got a request after the grace and after `from`, although they are in maintenance.
fn count_broken(case: &Case, servers: &[LimitServer], bans: &[Ban], from: Instant) -> usize {
    let mut broken = 0;
    for Ban { server, said_yes } in bans {
        let judged_from = from.max(*said_yes + GRACE);
        let arrivals = servers[*server].arrived();
        let mut late = arrivals.iter().filter(|arrival| arrival.at > judged_from);
        if let Some(first) = late.next() {
            broken += 1;
            let after = (first.at - *said_yes).as_secs_f64() * 1e3;
            let count = late.count() + 1;
            case.record.line(format!(
                "BREAK: s-{server} is in maintenance and got {count} requests, the first {after:.0} ms after the yes"
            ));
        }
    }
    broken
}

fn main() {
    let case = Case::from_arguments();
    let record = &case.record;
    let behaviour = Arc::new(
        |_: &str, message: &review_kit::Message, out: &mut std::net::TcpStream| {
            answer_ok(message.header("x-correlation-id"), out).map(|()| true)
        },
    );
    let servers: Vec<LimitServer> = (0..SERVERS)
        .map(|index| LimitServer::start(record, &format!("s-{index}"), behaviour.clone()))
        .collect();
    let entry = |(index, server): (usize, &LimitServer)| {
        target(&server.name, server.address, index / 4, "in_service")
    };
    let targets: Vec<String> = servers.iter().enumerate().map(entry).collect();
    let agent = Agent::start(record, 1, &targets);
    let bound = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| Ok((listener.local_addr()?, listener)));
    let (listen, listener) = bound.unwrap_or_else(|error| not_run(record, error));
    let classes = r#"{"name":"limit-check","deadline_ns":3000000000,"objective_ns":800000000,"worth":1.0,"late_worth":0.2,"idempotency":"retryable","key_scope":"all","dedup_window_ns":5000000000,"stream":false}"#;
    let plans = r#"{"name":"enterprise","refill":20.0,"peak_units":24.0,"pays":1.4,"open":0,"over_worth":0.0,"overrun_cost":0.5,"cap_rate":45.0,"never_over_depth":55.0,"hard_slack":6.0}"#;
    let (known, settings) = (list(1, true, &targets), settings(classes, plans, 500));
    let config = write_config(
        &case,
        "config",
        listen,
        agent.address,
        None,
        &known,
        &settings,
    );
    let start = |name: &str, operator: SocketAddr| {
        let variables = [("GW_OPERATOR", operator.to_string())];
        Program::start(&case, name, &config, Some(&listener), &variables)
    };
    let mut address = free_address(record);
    let mut active = start("process-0", address);
    wait_ready(&case, listen);
    send_requests(&case, listen, 0x10_0000..0x10_0000 + CUSTOMERS, PACE);
    let (mut broken, mut count, mut rounds) = (0, 0, 0);
    while rounds < ROUNDS && broken == 0 {
        rounds += 1;
        record.line(format!("round {rounds}"));
        let new_address = free_address(record);
        let (new, bans) = thread::scope(|scope| {
            let new = case
                .trouble
                .then(|| start(&format!("process-{rounds}"), new_address));
            let addresses = if case.trouble {
                vec![address, new_address]
            } else {
                vec![address]
            };
            let taking_out: Vec<_> = (0..OPERATORS)
                .map(|number| {
                    let (case, addresses) = (&case, addresses.clone());
                    scope.spawn(move || take_out(case, number, &addresses))
                })
                .collect();
            if new.is_some() {
                finish_upgrade(&case, new_address, &mut active);
            }
            let bans = taking_out.into_iter().flat_map(|operator| {
                let bans = operator.join();
                bans.unwrap_or_else(|_| not_run(record, "an operator failed"))
            });
            (new, bans.collect::<Vec<_>>())
        });
        if let Some(new) = new {
            (active, address) = (new, new_address);
        }
        if bans.len() < SERVERS - KEPT {
            not_run(
                record,
                format!("the ingress said yes to {} bans only", bans.len()),
            );
        }
        thread::sleep(SETTLED);
        let (from, first_id) = (Instant::now(), 0x20_0000 + 0x1000 * rounds as u64);
        let served = send_requests(&case, listen, first_id..first_id + LAST_REQUESTS, LAST_PACE);
        if served < LAST_REQUESTS / 2 {
            not_run(
                record,
                format!("{served} served requests are too few to judge"),
            );
        }
        count = bans.len();
        broken = count_broken(&case, &servers, &bans, from);
        for server in KEPT..SERVERS {
            operator(record, address, &format!("ENABLE s-{server}"));
        }
    }
    for number in 0..=rounds {
        record_log(&case, &format!("process-{number}"), 60);
    }
    drop(active);
    case.end(
        broken > 0,
        format!("{broken} of {count} limit servers in maintenance got new requests after the grace, in round {rounds} of {ROUNDS} at most"),
    );
}
