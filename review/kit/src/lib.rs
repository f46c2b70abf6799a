//! What the cases of the review share: the record, the program under test, stand-ins for limit servers and for
//! discovery, and a client. The standard library only; every address is a loopback address.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Exit status of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit status of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Ends the case: it could not run.
pub fn not_run(record: &Record, why: impl Display) -> ! {
    record.line(format!("NOT RUN: {why}"));
    eprintln!("not run: {why}");
    std::process::exit(NOT_RUN)
}

/// The processes that were started and have not been waited for. `run.sh` ends those in the file, whatever happens.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn note_processes(folder: &Path, change: impl FnOnce(&mut Vec<u32>)) {
    let mut processes = lock(&PROCESSES);
    change(&mut processes);
    let text: String = processes.iter().map(|id| format!("{id}\n")).collect();
    let _ = std::fs::write(folder.join("processes"), text);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// `record.txt`: a line for each thing sent, answered or run, with milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|error| {
            eprintln!("record.txt: {error}");
            std::process::exit(NOT_RUN)
        });
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: impl Display) {
        let at = self.ms(Instant::now());
        let _ = writeln!(lock(&self.file), "{at:>10.1} {text}");
    }

    /// Milliseconds from the start of the case to `at`.
    pub fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64() * 1e3
    }
}

/// The folder of the case, the root of the project and whether the disruption is left out.
pub struct Case {
    pub folder: PathBuf,
    pub root: PathBuf,
    pub trouble: bool,
    pub record: Record,
    pub temporary: PathBuf,
}

impl Case {
    /// From the command line: the folder of the case, the root, and a temporary folder.
    pub fn from_arguments() -> Self {
        let mut arguments = std::env::args().skip(1).map(PathBuf::from);
        let (Some(folder), Some(root), Some(temporary)) =
            (arguments.next(), arguments.next(), arguments.next())
        else {
            eprintln!("usage: CASE-FOLDER ROOT TEMPORARY-FOLDER");
            std::process::exit(NOT_RUN)
        };
        let record = Record::create(&folder);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(format!("trouble: {trouble}"));
        Case {
            folder,
            root,
            trouble,
            record,
            temporary,
        }
    }

    /// The value of a key of the deploy file.
    pub fn deploy(&self, key: &str) -> String {
        let text =
            std::fs::read_to_string(self.root.join("deploy/balancer.toml")).unwrap_or_default();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&format!("{key} = \"")));
        match line.and_then(|rest| rest.strip_suffix('"')) {
            Some(value) => value.to_string(),
            None => not_run(&self.record, format!("the deploy file has no {key}")),
        }
    }

    /// Ends the case with its verdict.
    pub fn end(&self, broken: bool, words: impl Display) -> ! {
        let verdict = if broken { "BROKEN" } else { "HELD" };
        self.record.line(format!("{verdict}: {words}"));
        println!("{verdict}: {words}");
        std::process::exit(if broken { BROKEN } else { HELD })
    }
}

/// A process of the program under test, started by the deploy file's `run`. Killed when dropped.
pub struct Program {
    pub name: String,
    child: Child,
    record: Record,
    folder: PathBuf,
}

impl Program {
    /// Starts `run` by a shell from the root. `inherited` becomes descriptor 7 and is named in `GW_FD`.
    pub fn start(
        case: &Case,
        name: &str,
        config: &Path,
        inherited: Option<&TcpListener>,
        variables: &[(&str, String)],
    ) -> Self {
        let run = case.deploy("run");
        let log = File::create(case.temporary.join(format!("{name}.log")));
        let Ok(log) = log else {
            not_run(&case.record, "no log file")
        };
        let mut command = Command::new("/bin/sh");
        command
            .current_dir(&case.root)
            .env("GW_CONFIG", config)
            .env("TMPDIR", &case.temporary)
            .stdout(Stdio::null())
            .stderr(log);
        for (name, value) in variables {
            command.env(name, value);
        }
        match inherited {
            Some(listener) => {
                let Ok(copy) = listener.try_clone() else {
                    not_run(&case.record, "no descriptor")
                };
                command
                    .arg("-c")
                    .arg(format!("exec 7<&0 0</dev/null; {run}"))
                    .env("GW_FD", "7")
                    .stdin(OwnedFd::from(copy));
            }
            None => {
                command.arg("-c").arg(&run).stdin(Stdio::null());
            }
        }
        match command.spawn() {
            Ok(child) => {
                note_processes(&case.temporary, |processes| processes.push(child.id()));
                case.record
                    .line(format!("{name}: started, process {}, `{run}`", child.id()));
                Program {
                    name: name.to_string(),
                    child,
                    record: case.record.clone(),
                    folder: case.temporary.clone(),
                }
            }
            Err(error) => not_run(&case.record, format!("{name}: {error}")),
        }
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        self.record.line(format!("{}: SIG{signal}", self.name));
        let command = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("/bin/sh").arg("-c").arg(command).status();
    }

    /// The exit status, if the process has ended.
    fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the end of the process.
    pub fn wait_end(&mut self, limit: Duration) -> Option<(Instant, ExitStatus)> {
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.ended() {
                self.record
                    .line(format!("{}: ended by itself, {status}", self.name));
                return Some((Instant::now(), status));
            }
            if Instant::now() >= until {
                return None;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        note_processes(&self.folder, |processes| {
            processes.retain(|id| *id != self.child.id())
        });
    }
}

/// Copies the log of a program into the record.
pub fn record_log(case: &Case, name: &str, most: usize) {
    let text =
        std::fs::read_to_string(case.temporary.join(format!("{name}.log"))).unwrap_or_default();
    for line in text.lines().take(most) {
        case.record.line(format!("log of {name}: {line}"));
    }
}

/// Waits until `GET /healthz` answers 200.
pub fn wait_ready(case: &Case, address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if let Ok(mut client) = Client::connect(address) {
            let _ = client
                .send(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
            if let Ok(answer) = client.answer(Duration::from_secs(1)) {
                if answer.status == 200 {
                    case.record.line("healthz answers 200");
                    return;
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    not_run(&case.record, "the program is not ready after 10 s")
}

/// One call at the second address: a line out, a line back.
pub fn operator(record: &Record, address: SocketAddr, line: &str) -> String {
    let call = || -> io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.trim().to_string())
    };
    let answer = call().unwrap_or_else(|error| format!("no answer: {error}"));
    record.line(format!("operator to {address}: {line} -> {answer}"));
    answer
}

/// A message head with its body, as read from a socket.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 65536];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    fn fill(&mut self) -> io::Result<()> {
        if self.more()? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    fn head(&mut self) -> io::Result<(String, BTreeMap<String, String>)> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).to_string();
        self.buffer.drain(..end + 4);
        let mut lines = text.lines();
        let first = lines.next().unwrap_or_default().to_string();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        Ok((first, headers))
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn chunked(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                    break end;
                }
                self.fill()?;
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).to_string();
            self.buffer.drain(..end + 2);
            let size = line
                .split(';')
                .next()
                .unwrap_or_default()
                .trim()
                .to_string();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let data = self.take(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&data[..size]);
        }
    }

    /// Reads one message, whose body has a length or is chunked; an answer without either ends with its connection.
    pub fn message(&mut self) -> io::Result<Message> {
        let (first, headers) = self.head()?;
        let length = headers
            .get("content-length")
            .and_then(|length| length.parse().ok());
        let chunked = headers
            .get("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        let body = match length {
            Some(length) => self.take(length)?,
            None if chunked => self.chunked()?,
            None if first.starts_with("HTTP/") => {
                while self.more()? > 0 {}
                std::mem::take(&mut self.buffer)
            }
            None => Vec::new(),
        };
        Ok(Message {
            first,
            headers,
            body,
        })
    }
}

/// A request that has arrived whole at a limit server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: String,
    pub id: String,
    pub at: Instant,
}

thread_local! {
    /// Whether bytes behind the request in work have been read on this limit server's connection already.
    static READ_AHEAD: Cell<bool> = const { Cell::new(false) };
}

/// Whether a limit server has read bytes behind the request that its behaviour is working on.
pub fn has_read_ahead() -> bool {
    READ_AHEAD.get()
}

/// What a limit server does with a request: writes its answer, and says whether the connection goes on.
pub type Behaviour = dyn Fn(&str, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A limit server. It begins a request once its last byte has arrived.
#[derive(Clone)]
pub struct LimitServer {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl LimitServer {
    pub fn start(record: &Record, name: &str, behaviour: Arc<Behaviour>) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(record, error));
        let address = listener
            .local_addr()
            .unwrap_or_else(|error| not_run(record, error));
        let server = LimitServer {
            name: name.to_string(),
            address,
            arrivals: Arc::default(),
        };
        let (accepting, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record, behaviour) =
                    (accepting.clone(), record.clone(), behaviour.clone());
                thread::spawn(move || server.serve(&record, stream, &*behaviour));
            }
        });
        server
    }

    fn serve(&self, record: &Record, stream: TcpStream, behaviour: &Behaviour) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.message() {
            let id = request.header("x-correlation-id").to_string();
            lock(&self.arrivals).push(Arrival {
                server: self.name.clone(),
                id: id.clone(),
                at: Instant::now(),
            });
            record.line(format!(
                "{}: request {id} has arrived, x-time-left-ms {}",
                self.name,
                request.header("x-time-left-ms")
            ));
            READ_AHEAD.set(!reader.buffer.is_empty());
            match behaviour(&self.name, &request, &mut out) {
                Ok(true) => record.line(format!("{}: request {id} answered", self.name)),
                Ok(false) => {
                    record.line(format!("{}: request {id}: connection closed", self.name));
                    return;
                }
                Err(error) => {
                    record.line(format!(
                        "{}: request {id}: its answer could not be written whole: {error}",
                        self.name
                    ));
                    return;
                }
            }
        }
    }

    pub fn arrived(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }
}

/// Writes a whole answer with status 200 and a body that names the request.
pub fn answer_ok(id: &str, out: &mut TcpStream) -> io::Result<()> {
    let body = format!("made for {id}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Backend-Load: util=0.30\r\n\r\n{body}",
        body.len()
    );
    out.write_all(head.as_bytes())
}

/// Discovery's agent: the whole list, and watches that end when the list changes or their time is over.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    list: Arc<(Mutex<(u64, String)>, Condvar)>,
}

/// An entry of discovery's list.
pub fn target(uid: &str, address: SocketAddr, cell: usize, state: &str) -> String {
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"{address}\",\"az\":\"hall-a\",\"model\":\"std-2c\",\"pod_group\":{cell},\"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
    )
}

/// A list in discovery's form.
pub fn list(revision: u64, all: bool, targets: &[String]) -> String {
    format!(
        "{{\"rev\":{revision},\"all\":{all},\"targets\":[{}]}}",
        targets.join(",")
    )
}

impl Agent {
    pub fn start(record: &Record, revision: u64, targets: &[String]) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(record, error));
        let address = listener
            .local_addr()
            .unwrap_or_else(|error| not_run(record, error));
        let agent = Agent {
            address,
            list: Arc::new((Mutex::new((revision, targets.join(","))), Condvar::new())),
        };
        let accepting = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = accepting.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(call) = reader.message() {
            let path = call.first.split(' ').nth(1).unwrap_or_default().to_string();
            let value = |name: &str| -> Option<u64> {
                let (_, query) = path.split_once('?')?;
                query
                    .split('&')
                    .filter_map(|pair| pair.split_once('='))
                    .find(|(key, _)| *key == name)?
                    .1
                    .parse()
                    .ok()
            };
            let (mutex, changed) = &*self.list;
            let mut state = lock(mutex);
            let body = match value("after") {
                None => format!(
                    "{{\"rev\":{},\"all\":true,\"targets\":[{}]}}",
                    state.0, state.1
                ),
                Some(after) => {
                    let until = Instant::now()
                        + Duration::from_millis(value("wait_ms").unwrap_or(0).min(60_000));
                    while state.0 <= after {
                        let left = until.saturating_duration_since(Instant::now());
                        if left.is_zero() {
                            break;
                        }
                        state = changed
                            .wait_timeout(state, left)
                            .unwrap_or_else(std::sync::PoisonError::into_inner)
                            .0;
                    }
                    let all = state.0 > after;
                    let targets = if all { state.1.as_str() } else { "" };
                    format!(
                        "{{\"rev\":{},\"all\":{all},\"targets\":[{targets}]}}",
                        state.0
                    )
                }
            };
            drop(state);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if out.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Links that take `delay` one way, as a network between halls does. They know what is under way towards a limit server.
#[derive(Clone, Default)]
pub struct Links {
    /// Bytes that came from the ingress and bytes that were handed on, by the address of the link's far end.
    under_way: Arc<Mutex<BTreeMap<SocketAddr, Arc<UnderWay>>>>,
}

/// Bytes of one connection towards a limit server.
#[derive(Default)]
struct UnderWay {
    came: AtomicU64,
    handed_on: AtomicU64,
}

impl Links {
    /// A link to `to`. Returns its near end.
    pub fn open(&self, record: &Record, to: SocketAddr, delay: Duration) -> SocketAddr {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(record, error));
        let address = listener
            .local_addr()
            .unwrap_or_else(|error| not_run(record, error));
        let links = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let _ = links.carry_both(near, to, delay);
            }
        });
        address
    }

    fn carry_both(&self, near: TcpStream, to: SocketAddr, delay: Duration) -> io::Result<()> {
        let far = TcpStream::connect(to)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let forth = Arc::new(UnderWay::default());
        lock(&self.under_way).insert(far.local_addr()?, forth.clone());
        let (near_copy, far_copy) = (near.try_clone()?, far.try_clone()?);
        thread::spawn(move || carry(near, far, delay, &forth));
        thread::spawn(move || carry(far_copy, near_copy, delay, &Arc::default()));
        Ok(())
    }

    /// Whether the ingress has sent anything that has not been handed on to the limit server's connection `stream` yet.
    pub fn has_under_way(&self, stream: &TcpStream) -> bool {
        let links = lock(&self.under_way);
        let under_way = stream
            .peer_addr()
            .ok()
            .and_then(|far_end| links.get(&far_end));
        under_way.is_none_or(|bytes| {
            bytes.came.load(Ordering::SeqCst) != bytes.handed_on.load(Ordering::SeqCst)
        })
    }
}

/// Carries the bytes of one direction, each `delay` after it came, and then the end.
fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration, under_way: &Arc<UnderWay>) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    let handing_on = under_way.clone();
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
            handing_on
                .handed_on
                .fetch_add(bytes.len() as u64, Ordering::SeqCst);
        }
        let _ = to.shutdown(Shutdown::Write);
    });
    let mut chunk = [0; 65536];
    while let Ok(read) = from.read(&mut chunk) {
        under_way.came.fetch_add(read as u64, Ordering::SeqCst);
        let due = Instant::now() + delay;
        if read == 0 || sender.send((due, chunk[..read].to_vec())).is_err() {
            break;
        }
    }
}

/// An answer to a client.
pub struct Answer {
    pub status: u16,
    pub message: Message,
}

/// A client with one connection.
pub struct Client {
    pub stream: TcpStream,
    reader: Reader,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let reader = Reader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one whole answer.
    pub fn answer(&mut self, limit: Duration) -> io::Result<Answer> {
        self.stream.set_read_timeout(Some(limit))?;
        let message = self.reader.message()?;
        let status = message
            .first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        Ok(Answer { status, message })
    }
}

/// A client's request as the protocol page has it. `body` of `None`: `GET`.
pub fn request(
    id: u64,
    class: &str,
    plan: &str,
    customer: u64,
    left_ms: u64,
    spread: u32,
    key: Option<&str>,
    body: Option<&[u8]>,
) -> Vec<u8> {
    let method = if body.is_some() { "POST" } else { "GET" };
    let mut text = format!(
        "{method} /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\nX-Service-Class: {class}\r\nX-Contract: {plan}\r\nX-Client-Id: {customer:016x}\r\nX-Time-Left-Ms: {left_ms}\r\nX-Metering: units=1,spread={spread},first=0\r\n"
    );
    if let Some(key) = key {
        text.push_str(&format!("Idempotency-Key: {key}\r\n"));
    }
    if let Some(body) = body {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body.unwrap_or_default());
    bytes
}

/// The settings of a small deployment, as JSON. `classes` and `plans` are the members of their lists.
pub fn settings(classes: &str, plans: &str, drain_ms: u64) -> String {
    format!(
        r#"{{"areas":["hall-a"],"zone":"hall-a","host_types":["std-2c"],"me":0,"peers_total":1,"tier":0,"tiers":["limit-check"],"discovery":"automatic","weights":"none",
 "callers":{{"marks_retry":false}},
 "classes":[{classes}],
 "tariffs":[{plans}],
 "goal":{{"whole":0.5,"worst_class":0.0,"worst_tenant":0.25,"worst_window":0.25}},
 "load_info":{{"names":["utilization"],"via":"answers"}},
 "obligations":{{"answer_slack_ns":16000000,"ask_every_ns":10000000000,"cold_ns":15000000000,"cold_share":0.19,"fall_ns":3000000000,"overload_factor":2.5,"stop_sending_within_ns":{drain_ns}}},
 "penalties":{{"cross_zone":0.0036,"late_fail":0.05,"peer":0.01,"probe":0.0088,"waste":0.03}},
 "period_ns":4000000,
 "permissions":{{"conn_idle_ns":15000000000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"dial_timeout_ns":250000000,"max_attempts":3,"max_open":20000,"max_retry_after_ns":500000000,"max_streams":32,"may_cancel":true,"peer_messages":false,"probing":false,"retry_after":true,"second_copies":false}},
 "specifics":{{"cost_after":false,"count_limit_ns":0,"counter_price":0.0,"has_counter":false,"mail_per_s":40.0,"meter_period_ns":0,"most_units":1}}}}"#,
        drain_ns = drain_ms * 1_000_000
    )
}

/// Writes a configuration file and returns its path.
pub fn write_config(
    case: &Case,
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    operator: Option<SocketAddr>,
    known: &str,
    settings: &str,
) -> PathBuf {
    let operator = operator.map_or(String::new(), |address| {
        format!("\"operator\":\"{address}\",")
    });
    let text = format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",{operator}\"seed\":\"8c1f30d27a5be964\",\n\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"peers\":[],\n\"known\":{known},\n\"settings\":{settings}}}\n"
    );
    let path = case.temporary.join(format!("{name}.json"));
    if let Err(error) = std::fs::write(&path, text) {
        not_run(&case.record, error);
    }
    path
}

/// A free loopback address: the port was free a moment ago.
pub fn free_address(record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(record, error));
    listener
        .local_addr()
        .unwrap_or_else(|error| not_run(record, error))
}
