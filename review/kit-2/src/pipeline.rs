//! Clients that send many commands at once on one connection.

use std::collections::VecDeque;
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

/// How long a client waits for a reset after the end of a connection.
const RESET_WITHIN: Duration = Duration::from_secs(1);

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

/// A command of a client.
struct Command {
    id: String,
    bytes: Vec<u8>,
    /// Whether it has been sent once more on a new connection.
    repeated: bool,
}

/// How a connection ended before all commands on it had their answers.
enum End {
    /// Without a reset, also after it: the ingress has read everything.
    Clean,
    /// With a reset: the ingress may not have read what has no answer.
    Reset,
    TimedOut,
}

/// One client; returns how many of its commands were lost.
fn client(number: usize, listen: SocketAddr, plan: &Plan) -> std::io::Result<usize> {
    let mut left: VecDeque<Command> = VecDeque::new();
    for (index, framing) in plan.commands.iter().enumerate() {
        let id = site::new_id();
        let customer = (number * 100 + index) as u64 + 1;
        let bytes = site::request(&id, customer, 3, TIME_LEFT_MS, *framing);
        left.push_back(Command {
            id,
            bytes,
            repeated: false,
        });
    }
    let mut lost = 0;
    while !left.is_empty() {
        let sent = if plan.at_once { left.len() } else { 1 };
        let mut sent: VecDeque<Command> = left.drain(..sent).collect();
        let Some(end) = converse(number, listen, &mut sent, &mut lost) else {
            continue;
        };
        for mut command in sent {
            let id = &command.id;
            match end {
                // The page: a client sends what was not read once more on a new connection.
                End::Reset if !command.repeated => {
                    record::line(&format!("client {number}: reset, {id} goes once more"));
                    command.repeated = true;
                    left.push_back(command);
                    continue;
                }
                End::Reset => record::say(&format!("client {number}: {id} was reset twice")),
                End::Clean => record::say(&format!(
                    "client {number}: {id} was read, and its connection ended without an answer"
                )),
                End::TimedOut => {
                    record::say(&format!("client {number}: {id} had no answer in time"));
                }
            }
            lost += 1;
        }
    }
    Ok(lost)
}

/// Sends commands on a new connection and takes the answers; leaves those without one in `sent`. `None` if there are none.
fn converse(
    number: usize,
    listen: SocketAddr,
    sent: &mut VecDeque<Command>,
    lost: &mut usize,
) -> Option<End> {
    // A refusal says the same as a reset: nothing was read.
    let Ok(stream) = TcpStream::connect(listen) else {
        return Some(End::Reset);
    };
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    let bytes: Vec<u8> = sent
        .iter()
        .flat_map(|command| command.bytes.clone())
        .collect();
    let written = reader.stream.write_all(&bytes);
    let until = Instant::now() + Duration::from_millis(TIME_LEFT_MS) + GRACE;
    for Command { id, bytes, .. } in &*sent {
        let length = bytes.len();
        record::line(&format!(
            "client {number} sent {id} ({length} bytes): {written:?}"
        ));
    }
    while let Some(command) = sent.front() {
        let id = &command.id;
        let wait = until.saturating_duration_since(Instant::now());
        let wait = wait.max(Duration::from_millis(1));
        let _ = reader.stream.set_read_timeout(Some(wait));
        let answer = match reader.message() {
            Ok(Some(answer)) => answer,
            Ok(None) => return Some(end_of(&reader.stream)),
            Err(error) if site::is_timeout(&error) => return Some(End::TimedOut),
            Err(error) => {
                record::line(&format!("client {number}: {error}"));
                return Some(End::Reset);
            }
        };
        let (status, close) = (answer.status(), answer.header("connection").unwrap_or(""));
        record::line(&format!("client {number} got {status} for {id} {close}"));
        if site::is_foreign(id, &answer) {
            record::say(&format!("{id} was served with another body"));
            *lost += 1;
        }
        sent.pop_front();
    }
    None
}

/// Whether a connection that has ended is reset afterwards, as it is if it was closed over unread bytes.
fn end_of(stream: &TcpStream) -> End {
    std::thread::sleep(RESET_WITHIN);
    match stream.take_error() {
        Ok(None) => End::Clean,
        _ => End::Reset,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Read;
    use std::net::{Shutdown, TcpListener};

    /// How a connection ends for a client that has sent ten bytes, of which the server reads `read` before it ends its
    /// output and closes.
    fn end_after(read: usize) -> End {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        client.write_all(b"0123456789").unwrap();
        let (mut server, _) = listener.accept().unwrap();
        let mut bytes = vec![0; read];
        server.read_exact(&mut bytes).unwrap();
        server.shutdown(Shutdown::Write).unwrap();
        assert_eq!(client.read(&mut [0; 1]).unwrap(), 0);
        drop(server);
        end_of(&client)
    }

    #[test]
    fn a_close_over_unread_bytes_is_a_reset() {
        assert!(matches!(end_after(4), End::Reset));
    }

    #[test]
    fn a_close_after_all_bytes_were_read_is_clean() {
        assert!(matches!(end_after(10), End::Clean));
    }
}
