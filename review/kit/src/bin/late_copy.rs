//! Limit servers of which some answers come twice, the second some milliseconds late. Does a client get an answer that
//! was made for another request?

use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_kit::{
    answer_ok, free_address, has_read_ahead, list, not_run, record_log, request, settings, target,
    wait_ready, write_config, Agent, Case, Client, LimitServer, Links, Program, Record,
};

const SERVERS: usize = 4;
/// Customers, each with one connection and one request at a time.
const CLIENTS: u64 = 8;
const LASTS: Duration = Duration::from_secs(20);
/// Work of a request at a limit server.
const WORK: Duration = Duration::from_millis(20);
/// One way between two halls: the site names 0.42 to 0.78 ms.
const ONE_WAY: Duration = Duration::from_micros(500);
/// One answer in so many comes twice.
const SHARE: u64 = 10;

/// Counts over the whole case.
#[derive(Default)]
struct Counts {
    next_id: AtomicU64,
    copies: AtomicU64,
    served: AtomicU64,
    foreign: AtomicU64,
}

/// Sends a second copy of an answer 1 to 4 ms after the first, when nothing else waits on the connection: neither at the
/// limit server nor on the way to it.
fn send_copy(
    record: &Record,
    counts: &Counts,
    links: &Links,
    server: &str,
    id: &str,
    number: u64,
    out: &mut TcpStream,
) -> io::Result<()> {
    thread::sleep(Duration::from_millis(1 + number / SHARE % 4));
    if has_read_ahead() || links.has_under_way(out) {
        return Ok(());
    }
    out.set_nonblocking(true)?;
    let waiting = out.peek(&mut [0]);
    out.set_nonblocking(false)?;
    if waiting.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock) {
        answer_ok(id, out)?;
        counts.copies.fetch_add(1, Ordering::Relaxed);
        record.line(format!("{server}: a second copy of the answer to {id}"));
    }
    Ok(())
}

/// One customer: a request after the other until the time is over.
fn ask(record: &Record, counts: &Counts, listen: std::net::SocketAddr, customer: u64) {
    let connect = || Client::connect(listen).unwrap_or_else(|error| not_run(record, error));
    let mut client = connect();
    let until = Instant::now() + LASTS;
    while Instant::now() < until {
        let id = 0x10000 + counts.next_id.fetch_add(1, Ordering::Relaxed);
        let bytes = request(
            id,
            "limit-check",
            "enterprise",
            0x100 + customer,
            3_000,
            1,
            None,
            None,
        );
        record.line(format!("client {customer}: sends request {id:016x}"));
        let answer = client
            .send(&bytes)
            .and_then(|()| client.answer(Duration::from_millis(3_500)));
        match answer {
            Ok(answer) if answer.status == 200 => {
                let body = String::from_utf8_lossy(&answer.message.body).to_string();
                counts.served.fetch_add(1, Ordering::Relaxed);
                let is_own = body == format!("made for {id:016x}");
                let word = if is_own { "its own" } else { "FOREIGN" };
                record.line(format!(
                    "client {customer}: request {id:016x}: 200, '{body}', {word}"
                ));
                if !is_own {
                    counts.foreign.fetch_add(1, Ordering::Relaxed);
                }
            }
            Ok(answer) => record.line(format!(
                "client {customer}: request {id:016x}: {}",
                answer.status
            )),
            Err(error) => {
                record.line(format!("client {customer}: request {id:016x}: {error}"));
                client = connect();
            }
        }
        thread::sleep(Duration::from_millis(35 + id % 17));
    }
}

fn main() {
    let case = Case::from_arguments();
    let record = &case.record;
    let counts = Arc::new(Counts::default());
    let links = Links::default();
    let trouble = case.trouble;
    let servers: Vec<LimitServer> = (0..SERVERS)
        .map(|index| {
            let (counts, links, written) = (counts.clone(), links.clone(), record.clone());
            LimitServer::start(
                record,
                &format!("s-{index}"),
                Arc::new(move |server, message, out| {
                    let id = message.header("x-correlation-id");
                    let number = u64::from_str_radix(id, 16).unwrap_or(0);
                    thread::sleep(WORK);
                    answer_ok(id, out)?;
                    if trouble && number % SHARE == 3 {
                        send_copy(&written, &counts, &links, server, id, number, out)?;
                    }
                    Ok(true)
                }),
            )
        })
        .collect();
    let entry = |server: &LimitServer| {
        target(
            &server.name,
            links.open(record, server.address, ONE_WAY),
            0,
            "in_service",
        )
    };
    let targets: Vec<String> = servers.iter().map(entry).collect();
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|customer| {
            let (record, counts) = (record.clone(), counts.clone());
            thread::spawn(move || ask(&record, &counts, listen, customer))
        })
        .collect();
    for client in clients {
        if client.join().is_err() {
            not_run(record, "a client failed");
        }
    }
    record_log(&case, "ingress", 40);
    drop(program);
    let [copies, served, foreign] = [&counts.copies, &counts.served, &counts.foreign]
        .map(|count| count.load(Ordering::Relaxed));
    if served < 200 {
        not_run(
            record,
            format!("{served} requests were served, too few to judge"),
        );
    }
    case.end(foreign > 0, format!("{foreign} of {served} served requests got an answer made for another request; {copies} answers came twice"));
}
