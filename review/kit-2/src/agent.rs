//! A stand-in for discovery's agent: the whole list, and watches that are answered when the list changes.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::record;

/// An entry of the list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub state: &'static str,
    pub boot_ms: u64,
    /// The version at which it changed last.
    pub revision: u64,
}

impl Target {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"hall-a","model":"std-2c","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
            self.uid, self.endpoint, self.state, self.boot_ms
        )
    }
}

struct Shared {
    list: Mutex<(u64, Vec<Target>)>,
    changed: Condvar,
}

/// The agent, which serves until the program ends.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Agent {
    /// Starts an agent that has these limit servers in service.
    pub fn start(servers: &[(String, SocketAddr)]) -> std::io::Result<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let targets = servers.iter().map(|(uid, endpoint)| Target {
            uid: uid.clone(),
            endpoint: *endpoint,
            state: "in_service",
            boot_ms: 0,
            revision: 1,
        });
        let shared = Arc::new(Shared {
            list: Mutex::new((1, targets.collect())),
            changed: Condvar::new(),
        });
        let agent = Agent { address, shared };
        let serving = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = serving.shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(agent)
    }

    /// The list in the form of the configuration's `known`.
    pub fn known(&self) -> String {
        let list = self.shared.list.lock().unwrap();
        body(list.0, true, list.1.iter())
    }
}

fn body<'a>(revision: u64, all: bool, targets: impl Iterator<Item = &'a Target>) -> String {
    let targets: Vec<String> = targets.map(Target::json).collect();
    format!(
        r#"{{"rev":{revision},"all":{all},"targets":[{}]}}"#,
        targets.join(",")
    )
}

fn parameter(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

fn serve(stream: TcpStream, shared: &Shared) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.message() {
        let target = request.target().to_string();
        let after = parameter(&target, "after");
        let wait = Duration::from_millis(parameter(&target, "wait_ms").unwrap_or(0).min(60_000));
        let until = Instant::now() + wait;
        let mut list = shared.list.lock().unwrap();
        while after.is_some_and(|after| list.0 <= after) && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            list = shared.changed.wait_timeout(list, left).unwrap().0;
        }
        let text = match after {
            None => body(list.0, true, list.1.iter()),
            Some(after) => body(
                list.0,
                false,
                list.1.iter().filter(|entry| entry.revision > after),
            ),
        };
        drop(list);
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if writer.write_all(response.as_bytes()).is_err() {
            record::line("agent: a caller closed its connection");
            return;
        }
    }
}
