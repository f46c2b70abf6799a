//! Limit servers of which some good answers are followed by a second copy some milliseconds later.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::agent::Agent;
use crate::daemon::{self, Launch};
use crate::http::Reader;
use crate::link;
use crate::record;
use crate::site::{self, Framing, Scratch, SecondAnswers, Server, Settings};

const CLIENTS: u64 = 16;
/// Pause of a client between two requests; together about 140 requests a second.
const PAUSE_US: (u64, u64) = (10_000, 80_000);

/// Plays the case for `length`; returns the number of requests that were served with another request's answer.
pub fn play(root: &Path, trouble: bool, length: Duration) -> std::io::Result<usize> {
    let scratch = Scratch::new()?;
    let mut servers = Vec::new();
    for number in 0..9 {
        let uid = format!("s-{number}");
        let server = Server {
            uid: uid.clone(),
            work: Duration::from_millis(60),
            second: trouble.then_some(SecondAnswers {
                one_in: 20,
                after_ms: (1, 10),
            }),
        };
        servers.push((
            uid,
            link::start(server.start()?, Duration::from_micros(600))?,
        ));
    }
    let agent = Agent::start(&servers)?;
    let nodes = site::nodes(3);
    let settings = Settings {
        idempotency: "retryable",
        nodes: 3,
    };
    let config = scratch.0.join("config.json");
    site::write_config(&config, &settings, 0, &nodes, &agent)?;
    let launch = Launch {
        root,
        tmp: &scratch.0,
        name: "n0",
        config: &config,
        listen: nodes[0].listen,
        discovery: agent.address,
        operator: None,
        socket: None,
        log: scratch.0.join("n0.log"),
    };
    let mut daemon = launch.start()?;
    if !daemon::wait_ready(nodes[0].listen, Duration::from_secs(30)) {
        record::say("the ingress was not ready within 30 s");
        return Err(std::io::ErrorKind::TimedOut.into());
    }
    let until = Instant::now() + length;
    let listen = nodes[0].listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| std::thread::spawn(move || client(number, listen, until)))
        .collect();
    let (mut answers, mut foreign) = (0, 0);
    for client in clients {
        let (served, wrong) = client.join().expect("a client")?;
        answers += served;
        foreign += wrong;
    }
    let state = daemon.ended().map_or("runs".to_string(), |status| status);
    record::say(&format!(
        "{answers} requests served; ingress at the end: {state}"
    ));
    Ok(foreign)
}

/// One client, with one request at a time on a kept connection; returns how many were served, and how many of them with
/// another request's answer.
fn client(number: u64, listen: SocketAddr, until: Instant) -> std::io::Result<(usize, usize)> {
    let (mut served, mut foreign) = (0, 0);
    let mut connection: Option<Reader> = None;
    while Instant::now() < until {
        let (least, most) = PAUSE_US;
        std::thread::sleep(Duration::from_micros(
            least + site::random() % (most - least),
        ));
        let mut reader = match connection.take() {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect(listen)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(Duration::from_millis(3_550)))?;
                Reader::new(stream)
            }
        };
        let id = site::new_id();
        record::line(&format!("client {number} sends {id}"));
        let bytes = site::request(&id, number + 1, 3, 3_000, Framing::None);
        if reader.stream.write_all(&bytes).is_err() {
            continue;
        }
        let Ok(Some(answer)) = reader.message() else {
            continue;
        };
        record::line(&format!("client {number} got {} for {id}", answer.status()));
        if answer.status() == 200 {
            served += 1;
        }
        if site::is_foreign(&id, &answer) {
            foreign += 1;
            let body = String::from_utf8_lossy(&answer.body).to_string();
            record::say(&format!("client {number}: {id} was served with '{body}'"));
        }
        if answer.header("connection") != Some("close") {
            connection = Some(reader);
        }
    }
    Ok((served, foreign))
}
