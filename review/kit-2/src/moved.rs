//! An upgrade after a new configuration has moved discovery.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::agent::Agent;
use crate::daemon::{self, Launch, SIGHUP, SIGTERM};
use crate::http::Reader;
use crate::record;
use crate::site::{self, Framing, Scratch, Server, Settings};
use crate::upgrade::wait_yes;

const CLIENTS: u64 = 8;
/// The old agent closes open connections this long after it takes no new ones.
const OLD_AGENT_CLOSES_AFTER: Duration = Duration::from_millis(1_500);
/// The latest moment of all that the pages name at which a change counts as told, the grace of drains and the slack of all
/// time limits on sockets.
const JUDGED_AFTER: Duration = Duration::from_millis(6_000 + 500 + 50);

/// Plays the case; returns how many requests came to a limit server long after its drain was told.
pub fn play(root: &Path, trouble: bool) -> std::io::Result<usize> {
    let scratch = Scratch::new()?;
    let heard = site::Heard::default();
    let mut servers = Vec::new();
    for number in 0..9 {
        let uid = format!("s-{number}");
        let server = Server {
            uid: uid.clone(),
            work: Duration::from_millis(60),
            heard: if number == 0 {
                heard.clone()
            } else {
                site::Heard::default()
            },
        };
        servers.push((uid, server.start()?));
    }
    let (old_agent, new_agent) = (Agent::start(&servers)?, Agent::start(&servers)?);
    let mut nodes = site::nodes(3);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    nodes[0].listen = listener.local_addr()?;
    let listen = nodes[0].listen;
    let settings = Settings {
        idempotency: "retryable",
        nodes: 3,
    };
    let config = scratch.0.join("config.json");
    site::write_config(&config, &settings, 0, &nodes, &old_agent)?;
    let launch = |name: &str, operator: SocketAddr| Launch {
        root,
        tmp: &scratch.0,
        name: "n0",
        config: &config,
        listen,
        discovery: old_agent.address,
        operator: Some(operator),
        socket: Some(daemon::descriptor(&listener)),
        log: scratch.0.join(format!("{name}.log")),
    };
    let operators = [daemon::free_tcp(), daemon::free_tcp()];
    let mut first = launch("first", operators[0]).start()?;
    if !wait_yes("first", &mut first, operators[0]) {
        return Err(std::io::ErrorKind::TimedOut.into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|customer| {
            let stop = stop.clone();
            std::thread::spawn(move || client(customer, listen, &stop))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_500));
    let agent = if trouble {
        let next = scratch.0.join("config.next");
        site::write_config(&next, &settings, 0, &nodes, &new_agent)?;
        std::fs::rename(&next, &config)?;
        record::line(&format!(
            "new configuration: discovery at {}, was at {}; SIGHUP to first",
            new_agent.address, old_agent.address
        ));
        first.signal(SIGHUP);
        old_agent.close(OLD_AGENT_CLOSES_AFTER);
        &new_agent
    } else {
        &old_agent
    };
    std::thread::sleep(Duration::from_secs(5));
    record::line("starting second, with a new second address and everything else the same");
    let mut second = launch("second", operators[1]).start()?;
    if !wait_yes("second", &mut second, operators[1]) {
        return Err(std::io::ErrorKind::TimedOut.into());
    }
    record::line("SIGTERM to first");
    first.signal(SIGTERM);
    std::thread::sleep(Duration::from_millis(3_700));
    first.kill();
    record::line("first has ended");
    std::thread::sleep(Duration::from_secs(1));
    agent.change("s-0", "terminating");
    let told = Instant::now();
    record::line("discovery tells that s-0 is terminating");
    std::thread::sleep(JUDGED_AFTER + Duration::from_secs(8));
    stop.store(true, Ordering::SeqCst);
    let mut answers = 0;
    for client in clients {
        answers += client.join().expect("a client");
    }
    for line in second.last_lines(40) {
        if line.contains("endpoint list") || line.contains("serving") {
            record::line(&format!("second log: {line}"));
        }
    }
    let heard = heard.lock().unwrap();
    let after = |limit: Duration| heard.iter().filter(|at| **at > told + limit).count();
    record::say(&format!(
        "{answers} answers; s-0 got {} requests later than 0.55 s after it was told, {} later than 6.55 s",
        after(Duration::from_millis(550)),
        after(JUDGED_AFTER)
    ));
    if heard.is_empty() || answers == 0 {
        return Err(std::io::Error::other("no traffic"));
    }
    Ok(after(JUDGED_AFTER))
}

/// One client, with one request at a time on a kept connection; returns the number of its answers.
pub fn client(customer: u64, listen: SocketAddr, stop: &AtomicBool) -> usize {
    let mut answers = 0;
    let mut connection: Option<Reader> = None;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_micros(20_000 + site::random() % 60_000));
        let open = || -> std::io::Result<Reader> {
            let stream = TcpStream::connect(listen)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_millis(3_550)))?;
            Ok(Reader::new(stream))
        };
        let Some(mut reader) = connection.take().or_else(|| open().ok()) else {
            continue;
        };
        let id = site::new_id();
        let bytes = site::request(&id, customer, 3, 3_000, Framing::None);
        if reader.stream.write_all(&bytes).is_err() {
            continue;
        }
        let Ok(Some(answer)) = reader.message() else {
            continue;
        };
        record::line(&format!(
            "client {customer} got {} for {id}",
            answer.status()
        ));
        answers += 1;
        if answer.header("connection") != Some("close") {
            connection = Some(reader);
        }
    }
    answers
}
