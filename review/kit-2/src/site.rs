//! A small deployment in the manner of accra-east-campus: settings, configuration, limit servers and requests.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::agent::Agent;
use crate::daemon;
use crate::http::{Message, Reader};
use crate::record;

/// What differs between the cases' deployments.
pub struct Settings {
    /// `retryable` (GET) or `fragile` (POST with no key).
    pub idempotency: &'static str,
    pub nodes: u32,
}

impl Settings {
    /// The settings of the ingress with number `me`, as nested JSON. The figures are those of the site file.
    pub fn json(&self, me: u32) -> String {
        let Settings { idempotency, nodes } = self;
        format!(
            r#"{{"areas":["hall-a","hall-b","hall-c"],"zone":"hall-a","me":{me},"peers_total":{nodes},"discovery":"automatic",
"callers":{{"marks_retry":false}},"domain_type":"gate","tier":0,"tiers":["limit-check"],"weights":"none","period_ns":4000000,
"classes":[{{"name":"limit-check","deadline_ns":3000000000,"objective_ns":800000000,"worth":1.0,"late_worth":0.2,
"idempotency":"{idempotency}","key_scope":"all","dedup_window_ns":0,"stream":false}}],
"host_types":["std-2c","wide-3c"],"load_info":{{"names":["utilization"],"via":"answers"}},
"goal":{{"whole":0.5,"worst_class":0.0,"worst_tenant":0.25,"worst_window":0.25}},
"penalties":{{"connection":0.0,"cross_zone":0.0036,"discovery":0.0,"handshake":0.0,"late_fail":0.05,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.0088,"waste":0.03}},
"tariffs":[{{"name":"shop","refill":0.0,"peak_units":0.0,"pays":0.8,"open":0,"over_worth":0.3,"overrun_cost":0.0,"cap_rate":0.0,"hard_slack":0.0,"never_over_depth":0.0}}],
"obligations":{{"answer_slack_ns":16000000,"ask_every_ns":10000000000,"cold_ns":15000000000,"cold_share":0.19,"fall_ns":3000000000,"overload_factor":2.5,"stop_sending_within_ns":500000000}},
"permissions":{{"max_attempts":3,"max_retry_after_ns":500000000,"may_cancel":true,"peer_messages":true,"probing":true,"retry_after":true,"second_copies":false,"conn_idle_ns":15000000000,"dial_timeout_ns":250000000,"max_open":20000,"max_streams":32,"cpu_us_per_request":0.0,"cpu_us_per_s":400000}},
"specifics":{{"mail_per_s":40.0,"most_units":1,"cost_after":false,"count_limit_ns":0,"counter_price":0.0,"has_counter":false,"meter_period_ns":0}}}}"#
        )
    }
}

/// The addresses of one ingress.
pub struct Node {
    pub listen: SocketAddr,
    pub peer_listen: SocketAddr,
}

/// Writes the configuration of the ingress with number `me`.
pub fn write_config(
    path: &Path,
    settings: &Settings,
    me: u32,
    nodes: &[Node],
    agent: &Agent,
) -> std::io::Result<()> {
    let node = &nodes[me as usize];
    let peers: Vec<String> = nodes
        .iter()
        .map(|node| format!("\"{}\"", node.peer_listen))
        .collect();
    let text = format!(
        r#"{{"name":"n{me}","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"peer_listen":"{}","peers":[{}],
"known":{},"settings":{}}}"#,
        node.listen,
        agent.address,
        node.peer_listen,
        peers.join(","),
        agent.known(),
        settings.json(me)
    );
    std::fs::write(path, text)
}

/// A limit server.
#[derive(Clone)]
pub struct Server {
    pub uid: String,
    /// How long it works on a request.
    pub work: Duration,
}

impl Server {
    /// Serves on a new address until the program ends.
    pub fn start(self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = self.clone();
                std::thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(address)
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message()? {
            let Some(id) = request.header("x-correlation-id").map(str::to_string) else {
                writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            record::line(&format!("server {} runs {id}", self.uid));
            std::thread::sleep(self.work);
            let answer = answer_of(&id);
            writer.write_all(&answer)?;
        }
        Ok(())
    }
}

pub fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}

/// The body of the answer to a request.
pub fn body_of(id: &str) -> String {
    format!("limit for {id}")
}

fn answer_of(id: &str) -> Vec<u8> {
    let body = body_of(id);
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Backend-Load: util=0.40\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// How a request carries its body.
#[derive(Clone, Copy, PartialEq)]
pub enum Framing {
    /// GET, no body.
    None,
    /// POST with a Content-Length.
    Length(usize),
    /// POST with a chunked body.
    Chunked(usize),
}

/// A client's request.
pub fn request(
    id: &str,
    customer: u64,
    nodes: u32,
    time_left_ms: u64,
    framing: Framing,
) -> Vec<u8> {
    let method = if framing == Framing::None {
        "GET"
    } else {
        "POST"
    };
    let mut bytes = format!(
        "{method} /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: limit-check\r\n\
         X-Contract: shop\r\nX-Client-Id: {customer:016x}\r\nX-Time-Left-Ms: {time_left_ms}\r\n\
         X-Metering: units=1,spread={nodes},first=0\r\n"
    )
    .into_bytes();
    match framing {
        Framing::None => bytes.extend_from_slice(b"\r\n"),
        Framing::Length(length) => {
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes());
            bytes.resize(bytes.len() + length, b'p');
        }
        Framing::Chunked(length) => {
            let head = format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n");
            bytes.extend_from_slice(head.as_bytes());
            bytes.resize(bytes.len() + length, b'p');
            bytes.extend_from_slice(b"\r\n0\r\n\r\n");
        }
    }
    bytes
}

/// A new id.
pub fn new_id() -> String {
    format!("{:016x}", random())
}

/// A pseudo-random number (splitmix64).
pub fn random() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static STATE: AtomicU64 = AtomicU64::new(0);
    if STATE.load(Ordering::Relaxed) == 0 {
        let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let seed = time.map_or(1, |time| time.as_nanos() as u64);
        STATE.store(seed | 1, Ordering::Relaxed);
    }
    let mut value = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Whether a response answers the request with this id: 200 has to carry the body that was made for it.
pub fn is_foreign(id: &str, response: &Message) -> bool {
    response.status() == 200 && response.body != body_of(id).as_bytes()
}

/// A private folder for the processes, removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> std::io::Result<Self> {
        let path =
            std::env::temp_dir().join(format!("review-{}-{:x}", std::process::id(), random()));
        std::fs::create_dir_all(&path)?;
        Ok(Scratch(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// New addresses for `count` ingresses.
pub fn nodes(count: u32) -> Vec<Node> {
    (0..count)
        .map(|_| Node {
            listen: daemon::free_tcp(),
            peer_listen: daemon::free_udp(),
        })
        .collect()
}
