//! Clients that send many commands at once on one connection.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::agent::Agent;
use crate::daemon::{self, Launch, SIGTERM};
use crate::http::Reader;
use crate::record;
use crate::site::{self, Framing, Scratch, Server, Settings};

/// The time that a client states.
const TIME_LEFT_MS: u64 = 3_000;
/// Half a second after its time an answer only earns nothing; 50 ms are the slack of all time limits on sockets.
const GRACE: Duration = Duration::from_millis(550);

/// What a case does.
#[derive(Clone)]
pub struct Plan {
    /// How each command of a connection carries its body.
    pub commands: Vec<Framing>,
    pub connections: usize,
    pub work: Duration,
    pub at_once: bool,
    /// SIGTERM comes this long after the commands were sent.
    pub terminate_after: Option<Duration>,
    pub idempotency: &'static str,
}

/// Plays a plan; returns the number of commands that were lost.
pub fn play(root: &Path, plan: &Plan) -> std::io::Result<usize> {
    let scratch = Scratch::new()?;
    let mut servers = Vec::new();
    for number in 0..9 {
        let uid = format!("s-{number}");
        let server = Server {
            uid: uid.clone(),
            work: plan.work,
            heard: site::Heard::default(),
        };
        servers.push((uid, server.start()?));
    }
    let agent = Agent::start(&servers)?;
    let nodes = site::nodes(3);
    let settings = Settings {
        idempotency: plan.idempotency,
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
    let plan = Arc::new(plan.clone());
    let clients: Vec<_> = (0..plan.connections)
        .map(|number| {
            let (plan, listen) = (plan.clone(), nodes[0].listen);
            std::thread::spawn(move || client(number, listen, &plan))
        })
        .collect();
    if let Some(after) = plan.terminate_after {
        std::thread::sleep(after);
        record::line("SIGTERM to the ingress");
        daemon.signal(SIGTERM);
    }
    let mut lost = 0;
    for client in clients {
        lost += client.join().expect("a client")?;
    }
    let state = daemon.ended().map_or("runs".to_string(), |status| status);
    record::line(&format!("ingress at the end: {state}"));
    Ok(lost)
}

/// One client; returns how many of its commands were lost.
fn client(number: usize, listen: SocketAddr, plan: &Plan) -> std::io::Result<usize> {
    let commands: Vec<(String, Vec<u8>)> = plan
        .commands
        .iter()
        .enumerate()
        .map(|(index, framing)| {
            let id = site::new_id();
            let customer = (number * 100 + index) as u64 + 1;
            let bytes = site::request(&id, customer, 3, TIME_LEFT_MS, *framing);
            (id, bytes)
        })
        .collect();
    let mut left: &[(String, Vec<u8>)] = &commands;
    let mut lost = 0;
    while !left.is_empty() {
        let stream = TcpStream::connect(listen)?;
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        let sent = if plan.at_once { left.len() } else { 1 };
        let bytes: Vec<u8> = left[..sent]
            .iter()
            .flat_map(|(_, bytes)| bytes.clone())
            .collect();
        let written = writer.write_all(&bytes);
        let sent_at = Instant::now();
        for (id, bytes) in &left[..sent] {
            record::line(&format!(
                "client {number} sent {id} ({} bytes): {written:?}",
                bytes.len()
            ));
        }
        for index in 0..sent {
            let id = &left[index].0;
            let until = sent_at + Duration::from_millis(TIME_LEFT_MS) + GRACE;
            let wait = until.saturating_duration_since(Instant::now());
            reader
                .stream
                .set_read_timeout(Some(wait.max(Duration::from_millis(1))))?;
            match reader.message() {
                Ok(Some(answer)) => {
                    let close = answer.header("connection").unwrap_or("");
                    record::line(&format!(
                        "client {number} got {} for {id} {close}",
                        answer.status()
                    ));
                    if site::is_foreign(id, &answer) {
                        record::say(&format!("{id} was served with another body"));
                        lost += 1;
                    }
                }
                // The clean end of a connection whose bytes the ingress has all read.
                Ok(None) => {
                    for (id, _) in &left[index..sent] {
                        record::say(&format!(
                            "client {number}: {id} was read, and its connection ended without an answer"
                        ));
                    }
                    return Ok(lost + sent - index);
                }
                Err(error) if site::is_timeout(&error) => {
                    for (id, _) in &left[index..sent] {
                        record::say(&format!("client {number}: {id} had no answer in time"));
                    }
                    return Ok(lost + sent - index);
                }
                // A reset: the ingress may not have read them. The client would send them once more.
                Err(error) => {
                    record::line(&format!("client {number}: {error}, rest not judged"));
                    return Ok(lost);
                }
            }
        }
        left = &left[sent..];
    }
    Ok(lost)
}
