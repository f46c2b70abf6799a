//! Two upgrades of one ingress, the second while the process that the first one replaced is still ending.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::agent::Agent;
use crate::daemon::{self, Daemon, Launch, SIGTERM};
use crate::http::Reader;
use crate::record;
use crate::site::{self, Framing, Scratch, Server, Settings};

/// The new process has to say yes within this time, in which SIGTERM reaches the old one.
const YES_WITHIN: Duration = Duration::from_secs(6);
/// Every call of the second address is answered within this time.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Clients that have asked once and rest on their connections.
const RESTING_CLIENTS: u64 = 4;

/// Asks `READY` until the answer is yes; returns whether it was, before the process ended or the time was over.
pub fn wait_yes(name: &str, process: &mut Daemon, operator: SocketAddr) -> bool {
    let until = Instant::now() + YES_WITHIN;
    let mut last = String::new();
    while Instant::now() < until {
        if let Some(status) = process.ended() {
            record::say(&format!("{name} ended by itself: {status}"));
            for line in process.last_lines(4) {
                record::say(&format!("{name} log: {line}"));
            }
            return false;
        }
        let answer = daemon::call(operator, "READY", CALL_LIMIT);
        let text = match &answer {
            Ok(text) => text.clone(),
            Err(error) => format!("no answer: {error}"),
        };
        if text != last {
            record::line(&format!("{name} READY: {text}"));
            last.clone_from(&text);
        }
        if text.starts_with("done") {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record::say(&format!("{name} did not say yes within 6 s"));
    false
}

/// A client that asks once and rests; returns its connection.
fn rest(listen: SocketAddr, customer: u64) -> std::io::Result<Reader> {
    let stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(Duration::from_millis(3_550)))?;
    let mut reader = Reader::new(stream);
    let id = site::new_id();
    let bytes = site::request(&id, customer, 3, 3_000, Framing::None);
    reader.stream.write_all(&bytes)?;
    let answer = reader.message()?;
    let status = answer.map_or(0, |answer| answer.status());
    record::line(&format!("client {customer} got {status} for {id}, rests"));
    Ok(reader)
}

/// Plays the case; returns 1 if a new process ended by itself or never said yes.
pub fn play(root: &Path, trouble: bool) -> std::io::Result<usize> {
    let scratch = Scratch::new()?;
    let mut servers = Vec::new();
    for number in 0..9 {
        let uid = format!("s-{number}");
        let server = Server {
            uid: uid.clone(),
            work: Duration::from_millis(60),
            heard: site::Heard::default(),
        };
        servers.push((uid, server.start()?));
    }
    let agent = Agent::start(&servers)?;
    let mut nodes = site::nodes(3);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    nodes[0].listen = listener.local_addr()?;
    let listen = nodes[0].listen;
    let settings = Settings {
        idempotency: "retryable",
        nodes: 3,
    };
    let config = scratch.0.join("config.json");
    site::write_config(&config, &settings, 0, &nodes, &agent)?;
    let start = |name: &str, operator: SocketAddr| {
        record::line(&format!("starting {name}, second address {operator}"));
        let launch = Launch {
            root,
            tmp: &scratch.0,
            name: "n0",
            config: &config,
            listen,
            discovery: agent.address,
            operator: Some(operator),
            socket: Some(daemon::descriptor(&listener)),
            log: scratch.0.join(format!("{name}.log")),
        };
        launch.start()
    };
    let operators = [daemon::free_tcp(), daemon::free_tcp(), daemon::free_tcp()];
    let mut first = start("first", operators[0])?;
    if !wait_yes("first", &mut first, operators[0]) {
        return Err(std::io::ErrorKind::TimedOut.into());
    }
    std::thread::sleep(Duration::from_secs(1));
    let resting: Vec<Reader> = (1..=RESTING_CLIENTS)
        .map(|customer| rest(listen, customer))
        .collect::<Result<_, _>>()?;
    let mut second = start("second", operators[1])?;
    if !wait_yes("second", &mut second, operators[1]) {
        return Ok(1);
    }
    record::line("SIGTERM to first");
    first.signal(SIGTERM);
    let told = Instant::now();
    if trouble {
        std::thread::sleep(Duration::from_millis(200));
    } else {
        while first.ended().is_none() && told.elapsed() < Duration::from_millis(3_700) {
            std::thread::sleep(Duration::from_millis(20));
        }
        first.kill();
        record::line("first has ended");
    }
    let mut third = start("third", operators[2])?;
    let said_yes = wait_yes("third", &mut third, operators[2]);
    let first_state = first.ended().map_or("runs".to_string(), |status| status);
    record::line(&format!(
        "first: {first_state}, {:?} after its SIGTERM",
        told.elapsed()
    ));
    drop(resting);
    Ok(usize::from(!said_yes))
}
