//! Recorded exchanges, played against the real program over loopback; what it says is compared.
//!
//! An exchange is a text file of steps, one a line, done in order:
//!
//! - `set KEY VALUE`: changes the configuration (`tests/exchanges/config.json`), by a JSON pointer;
//! - `start`: starts the program; `known` names instance `s1`, which listens already;
//! - `deaf NAME`: that party no longer listens;
//! - `NAME accept FROM`: NAME is the next connection that comes in at FROM (`s1`, `discovery`, `discovery2`);
//! - `NAME fills`: so many connect to NAME that the next one's does not come up; `NAME dialled`: somebody's waits for
//!   that; `NAME frees`: those are taken and closed, so that the next one comes up once it is tried again;
//! - `NAME connect`: NAME is a new connection of a service client;
//! - `NAME asks ID`: a usual request with that id goes out; `NAME asks ID HEADER: VALUE`: with that header in place
//!   of its own, or besides;
//! - `NAME*N STEP`: for each of NAME0 to NAME(N-1);
//! - `NAME sends`: the lines below that start with `| ` go out, each with CRLF (`|=TEXT` is a body
//!   with its length before it, `|*N TEXT` one of N times TEXT; @NAME stands for an address);
//! - `NAME gets`: one whole message, or the end of the connection, is read and noted;
//! - `NAME ends`: the connection is closed from here; `NAME resets`: it is reset; `NAME shuts`: only what goes out ends;
//! - `NAME throws TEXT`, `NAME catches`: a datagram from `peer0`, `peer1` or `stranger`, or to them;
//! - `log TEXT`: reads the log up to a line with that in it; `exit`: notes how it ended;
//! - `operator LINE`: one call at the second address, and its answer; `operator-raw BYTES`: these bytes, with \r, \n,
//!   \xHH and `*N TEXT` for N times TEXT; `operator-bytes`: one at a time; `NAME holds TEXT`: a caller that says so
//!   much and stays; `NAME leaves BYTES`: one that is gone before its answer;
//! - `inherit`: the clients' listening socket is held here, and each program started from now on inherits it as
//!   descriptor 7 (`GW_FD`), with one folder for their `$TMPDIR`;
//! - `nowhere`: that folder is gone;
//! - `upgrade`: starts one more program beside the one that runs, which is `old` from now on: `old term`, `old log TEXT`,
//!   `old exit`, `old operator LINE`; `kill`: SIGKILL;
//! - `NAME takes`: a connection to the Unix socket there that says what a new process says, and is handed the estate;
//!   `NAME says TEXT`: a line on a connection;
//! - `state TEXT`: the ledger's file; `ledger`: notes what is in it; `stale`: a Unix socket that nobody listens at;
//! - `term`: SIGTERM; `hup`: the configuration as set by now replaces the file, then SIGHUP; `hup TEXT`: the file
//!   holds that text instead.
//!
//! Nothing waits for a time: each step waits for bytes, and gives up after far longer than any step takes.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]
#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use serde_json::Value;

const PATIENCE: Duration = Duration::from_secs(30);
const USUAL: &str = "GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: @id\r\n\
    X-Service-Class: limit-check\r\nX-Contract: shop\r\nX-Client-Id: 00000000b4d65521\r\n\
    X-Time-Left-Ms: 3000\r\nX-Metering: units=1,spread=2,first=0\r\n";
const DATAGRAMS: [&str; 3] = ["peer0", "peer1", "stranger"];

#[derive(Default)]
struct Stage {
    listeners: HashMap<String, TcpListener>,
    streams: HashMap<String, BufReader<TcpStream>>,
    sockets: HashMap<String, UdpSocket>,
    addresses: HashMap<String, SocketAddr>,
    config: Value,
    program: Option<(Child, Receiver<String>)>,
    old: Option<(Child, Receiver<String>)>,
    /// What each program inherits: the listening socket, and a folder.
    inherited: Option<(TcpListener, std::path::PathBuf)>,
    handed: HashMap<String, std::os::unix::net::UnixStream>,
    /// Connections that fill a listener.
    fillers: Vec<TcpStream>,
    notes: String,
}

impl Drop for Stage {
    fn drop(&mut self) {
        for (child, _) in [&mut self.program, &mut self.old].into_iter().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if let Some((_, folder)) = &self.inherited {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}

impl Stage {
    fn new() -> Self {
        let mut stage = Stage::default();
        for name in ["s1", "discovery", "discovery2"] {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            stage
                .addresses
                .insert(name.into(), listener.local_addr().unwrap());
            stage.listeners.insert(name.into(), listener);
        }
        for name in DATAGRAMS {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            socket.set_read_timeout(Some(PATIENCE)).unwrap();
            stage
                .addresses
                .insert(name.into(), socket.local_addr().unwrap());
            stage.sockets.insert(name.into(), socket);
        }
        stage.config = serde_json::from_str(include_str!("exchanges/config.json")).unwrap();
        stage
    }

    fn with_addresses(&self, text: &str) -> String {
        // The longest names first: one may begin with another.
        let mut names: Vec<_> = self.addresses.iter().collect();
        names.sort_by_key(|(name, _)| std::cmp::Reverse(name.len()));
        names.into_iter().fold(text.to_string(), |t, (name, a)| {
            t.replace(&format!("@{name}"), &a.to_string())
        })
    }

    fn without_addresses(&self, text: String) -> String {
        let names = self.addresses.iter();
        names.fold(text, |t, (name, a)| {
            t.replace(&a.to_string(), &format!("@{name}"))
        })
    }

    /// Writes the configuration file, and says where.
    fn write(&self, text: &str) -> std::path::PathBuf {
        let name = std::thread::current().name().unwrap().replace(':', "-");
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        std::fs::write(&path, text).unwrap();
        path
    }

    fn signal(&self, signal: &str) {
        Self::signal_to(self.program.as_ref().unwrap(), signal);
    }

    fn signal_to((child, _): &(Child, Receiver<String>), signal: &str) {
        let id = child.id().to_string();
        assert!(Command::new("kill")
            .args([signal, &id])
            .status()
            .unwrap()
            .success());
    }

    fn start(&mut self) {
        let path = self.write(&self.with_addresses(&self.config.to_string()));
        let program = env!("CARGO_BIN_EXE_applewall");
        let mut command = match &self.inherited {
            None => Command::new(program),
            Some((listener, folder)) => {
                // The shell moves what it has as its input to the descriptor.
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", "exec \"$0\" \"$@\" 7<&0 0</dev/null", program]);
                shell.stdin(std::os::fd::OwnedFd::from(listener.try_clone().unwrap()));
                shell.env("GW_FD", "7").env("TMPDIR", folder);
                shell
            }
        };
        if self.inherited.is_none() {
            command.env_clear();
        }
        let mut child = command
            .arg("serve")
            .env("GW_CONFIG", path)
            .env("GW_DISCOVERY", self.addresses["discovery"].to_string())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (line, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        // By a thread, since a pipe has no time-out.
        std::thread::spawn(move || lines.map_while(Result::ok).all(|l| line.send(l).is_ok()));
        self.program = Some((child, log));
        let line = self.log("serving n0 on ");
        let address = |key: &str| {
            let (_, rest) = line.split_once(key).unwrap();
            rest.split([',', ' ']).next().unwrap().parse().unwrap()
        };
        self.addresses.insert("ingress".into(), address("n0 on "));
        self.addresses
            .insert("peer_listen".into(), address("datagrams on "));
        if line.contains("operators on ") {
            self.addresses
                .insert("operator".into(), address("operators on "));
        }
    }

    fn log(&mut self, text: &str) -> String {
        Self::log_of(self.program.as_mut().unwrap(), text)
    }

    fn log_of((_, log): &mut (Child, Receiver<String>), text: &str) -> String {
        let next = || log.recv_timeout(PATIENCE).ok();
        std::iter::from_fn(next)
            .find(|l| l.contains(text))
            .unwrap_or_else(|| panic!("no '{text}' in the log"))
    }

    fn connected(&mut self, name: &str, stream: TcpStream) {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        self.streams.insert(name.into(), BufReader::new(stream));
    }

    /// One message, its body after its head; what changes from run to run is masked.
    fn get(&mut self, name: &str) -> String {
        let stream = self
            .streams
            .get_mut(name)
            .unwrap_or_else(|| panic!("no {name}"));
        let (mut text, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            match stream.read_line(&mut line) {
                Ok(0) => return "  (end)\n".into(),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => {
                    return "  (end)\n".into()
                }
                Err(e) => panic!("{name}: {e}"),
                Ok(_) => {}
            }
            let line = line.trim_end();
            let (header, value) = line.split_once(": ").unwrap_or_default();
            match header {
                "" if line.is_empty() => break,
                "content-length" => length = value.parse().unwrap(),
                _ => {}
            }
            match header {
                "date" | "x-time-left-ms" => writeln!(text, "  {header}: (masked)").unwrap(),
                _ => writeln!(text, "  {line}").unwrap(),
            }
        }
        let mut body = Vec::new();
        stream.take(length as u64).read_to_end(&mut body).unwrap();
        if body.len() < length {
            writeln!(text, "\n  (cut off after {} bytes)", body.len()).unwrap();
            return text;
        }
        match length {
            0 => {}
            1..200 => writeln!(text, "\n  {}", String::from_utf8(body).unwrap()).unwrap(),
            _ => writeln!(text, "\n  (a body of {length} bytes)").unwrap(),
        }
        text
    }

    fn send(&mut self, name: &str, text: &str) {
        self.streams
            .get_mut(name)
            .unwrap()
            .get_mut()
            .write_all(text.as_bytes())
            .unwrap();
    }

    /// One call, with its answer up to the end of the connection.
    fn call(&mut self, step: &str, bytes: &[u8], one_by_one: bool) {
        let to = if step.starts_with("old ") {
            "operator-old"
        } else {
            "operator"
        };
        let mut stream = TcpStream::connect(self.addresses[to]).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        let pieces = if one_by_one { 1 } else { bytes.len().max(1) };
        bytes
            .chunks(pieces)
            .for_each(|piece| stream.write_all(piece).unwrap());
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        if let Some((_, folder)) = &self.inherited {
            answer = answer.replace(folder.to_str().unwrap(), "@folder");
        }
        writeln!(self.notes, "{step}\n  {}\n", answer.trim_end_matches('\n')).unwrap();
    }

    fn step(&mut self, step: &str, lines: &[&str]) {
        if let Some((name, rest)) = step.split_once('*').filter(|(name, _)| !name.contains(' ')) {
            let (many, rest) = rest.split_once(' ').unwrap();
            return (0..many.parse().unwrap())
                .for_each(|i: u32| self.step(&format!("{name}{i} {rest}"), lines));
        }
        let words: Vec<&str> = step.split(' ').collect();
        match words[..] {
            ["set", pointer, ..] => {
                let value = self.with_addresses(&words[2..].join(" "));
                let value = serde_json::from_str(&value).unwrap();
                match self.config.pointer_mut(pointer) {
                    Some(reported) => *reported = value,
                    // At the top only.
                    None => self.config[pointer.trim_start_matches('/')] = value,
                }
            }
            ["start"] => self.start(),
            ["deaf", name] => drop(self.listeners.remove(name)),
            [name, "accept", from] => {
                let (listener, (came, accepted)) =
                    (self.listeners[from].try_clone().unwrap(), channel());
                // By a thread, since accepting has no time-out.
                std::thread::spawn(move || came.send(listener.accept().unwrap().0));
                let stream = accepted.recv_timeout(PATIENCE);
                self.connected(
                    name,
                    stream.unwrap_or_else(|_| panic!("nothing came in for {name}")),
                );
            }
            [name, "fills"] => {
                let connect = || {
                    TcpStream::connect_timeout(&self.addresses[name], Duration::from_millis(200))
                        .ok()
                };
                self.fillers.extend(std::iter::from_fn(connect));
            }
            [name, "dialled"] => {
                let port = format!("{:04X}", self.addresses[name].port());
                let waits = |line: &str| {
                    let fields: Vec<&str> = line.split_whitespace().collect();
                    fields.len() > 3
                        && fields[2].ends_with(&format!(":{port}"))
                        && fields[3] == "02"
                };
                while !std::fs::read_to_string("/proc/net/tcp")
                    .unwrap()
                    .lines()
                    .any(waits)
                {
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
            [name, "frees"] => {
                for filler in self.fillers.drain(..) {
                    let (_, from) = self.listeners[name].accept().unwrap();
                    assert_eq!(
                        from,
                        filler.local_addr().unwrap(),
                        "one that was not there to fill"
                    );
                }
            }
            [name, "connect"] => {
                let stream = TcpStream::connect(self.addresses["ingress"]).unwrap();
                self.connected(name, stream);
            }
            [name, "sends"] => {
                let mut text = String::new();
                for line in lines.iter().map(|line| self.with_addresses(line)) {
                    let many = line.strip_prefix("|*").and_then(|l| l.split_once(' '));
                    let many = many.map(|(n, part)| part.repeat(n.parse().unwrap()));
                    match many.as_deref().or(line.strip_prefix("|=")) {
                        Some(body) => {
                            text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
                        }
                        None => {
                            text += &format!("{}\r\n", line.strip_prefix("| ").unwrap_or_default());
                        }
                    }
                }
                self.send(name, &text);
            }
            [name, "asks", id, ..] => {
                let changed = words[3..].join(" ");
                let mut head = USUAL.replace("@id", id);
                if let Some((header, _)) = changed.split_once(": ") {
                    let retained = head
                        .lines()
                        .filter(|l| !l.starts_with(&format!("{header}: ")));
                    head = retained.map(|l| format!("{l}\r\n")).collect::<String>()
                        + &changed
                        + "\r\n";
                }
                self.send(name, &(head + "\r\n"));
            }
            [name, "gets"] => {
                let got = self.get(name);
                let got = self.without_addresses(got);
                writeln!(self.notes, "{name} gets\n{got}").unwrap();
            }
            [name, "ends"] => {
                self.handed.remove(name);
                drop(self.streams.remove(name));
            }
            [name, "resets"] => {
                let stream = self.streams.remove(name).unwrap().into_inner();
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
            }
            [name, "shuts"] => {
                self.streams[name]
                    .get_ref()
                    .shutdown(std::net::Shutdown::Write)
                    .unwrap();
            }
            [name, "throws", ..] => {
                let to = self.addresses["peer_listen"];
                self.sockets[name]
                    .send_to(words[2..].join(" ").as_bytes(), to)
                    .unwrap();
            }
            [name, "catches"] => {
                let mut buffer = [0; 2048];
                let (length, from) = self.sockets[name].recv_from(&mut buffer).unwrap();
                assert!(length <= 256 && from == self.addresses["peer_listen"]);
                writeln!(self.notes, "{name} catches a datagram\n").unwrap();
            }
            ["log", ..] => {
                let line = self.log(&words[1..].join(" "));
                let mut masked = self
                    .without_addresses(line)
                    .replace(env!("CARGO_TARGET_TMPDIR"), "@files");
                if let Some((_, folder)) = &self.inherited {
                    masked = masked.replace(folder.to_str().unwrap(), "@folder");
                }
                writeln!(self.notes, "log\n  {masked}\n").unwrap();
            }
            ["operator", ..] => {
                let line = format!("{}\n", words[1..].join(" "));
                self.call(step, line.as_bytes(), false);
            }
            ["operator-raw" | "operator-bytes", ..] => {
                let bytes = raw(&words[1..].join(" "));
                self.call(step, &bytes, words[0] == "operator-bytes");
            }
            [name, "holds", ..] => {
                let mut stream = TcpStream::connect(self.addresses["operator"]).unwrap();
                stream.write_all(words[2..].join(" ").as_bytes()).unwrap();
                self.connected(name, stream);
            }
            [_, "leaves", ..] => {
                let mut stream = TcpStream::connect(self.addresses["operator"]).unwrap();
                stream.write_all(&raw(&words[2..].join(" "))).unwrap();
            }
            ["inherit"] => {
                let folder = std::env::temp_dir().join(format!(
                    "applewall-{}-{}",
                    std::process::id(),
                    stem(&self.write("{}"))
                ));
                std::fs::create_dir_all(&folder).unwrap();
                self.inherited = Some((TcpListener::bind("127.0.0.1:0").unwrap(), folder));
            }
            ["nowhere"] => std::fs::remove_dir_all(&self.inherited.as_ref().unwrap().1).unwrap(),
            ["upgrade"] => {
                self.old = self.program.take();
                let before = self.addresses["operator"];
                self.addresses.insert("operator-old".into(), before);
                self.start();
            }
            ["kill"] => {
                let (mut child, _) = self.program.take().unwrap();
                child.kill().unwrap();
                child.wait().unwrap();
            }
            ["old", "term"] => Self::signal_to(self.old.as_ref().unwrap(), "-TERM"),
            ["old", "exit"] => {
                let status = self.old.as_mut().unwrap().0.wait().unwrap();
                writeln!(self.notes, "old exit\n  {status}\n").unwrap();
            }
            ["old", "log", ..] => {
                let line = Self::log_of(self.old.as_mut().unwrap(), &words[2..].join(" "));
                writeln!(self.notes, "old log\n  {line}\n").unwrap();
            }
            ["old", "operator", ..] => {
                let line = format!("{}\n", words[2..].join(" "));
                self.call(step, line.as_bytes(), false);
            }
            [name, "takes"] => {
                let path = self.inherited.as_ref().unwrap().1.join("applewall-n0.sock");
                let mut stream = std::os::unix::net::UnixStream::connect(path).unwrap();
                stream.write_all(b"applewall succession 1\n").unwrap();
                let mut head = [0; 8];
                stream.read_exact(&mut head).unwrap();
                assert_eq!(&head[..4], b"AWE1");
                let length = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
                stream.read_exact(&mut vec![0; length as usize]).unwrap();
                self.handed.insert(name.into(), stream);
            }
            [name, "says", ..] => {
                let line = format!("{}\n", words[2..].join(" "));
                self.handed
                    .get_mut(name)
                    .unwrap()
                    .write_all(line.as_bytes())
                    .unwrap();
            }
            ["state", ..] => {
                let path = self
                    .inherited
                    .as_ref()
                    .unwrap()
                    .1
                    .join("applewall-n0.state");
                std::fs::write(path, words[1..].join(" ")).unwrap();
            }
            ["ledger"] => {
                let path = self
                    .inherited
                    .as_ref()
                    .unwrap()
                    .1
                    .join("applewall-n0.state");
                let text = std::fs::read_to_string(path).unwrap();
                writeln!(self.notes, "ledger\n  {text}\n").unwrap();
            }
            ["stale"] => {
                let path = self.inherited.as_ref().unwrap().1.join("applewall-n0.sock");
                drop(std::os::unix::net::UnixListener::bind(path).unwrap());
            }
            ["term"] => self.signal("-TERM"),
            ["hup", ..] => {
                self.write(&match words.len() {
                    1 => self.with_addresses(&self.config.to_string()),
                    _ => words[1..].join(" "),
                });
                self.signal("-HUP");
            }
            ["exit"] => {
                let status = self.program.as_mut().unwrap().0.wait().unwrap();
                writeln!(self.notes, "exit\n  {status}\n").unwrap();
            }
            _ => panic!("unknown step '{step}'"),
        }
    }
}

/// A name of its own for a test, by its file.
fn stem(path: &std::path::Path) -> String {
    path.file_stem().unwrap().to_str().unwrap().to_string()
}

/// Bytes as an exchange writes them.
fn raw(text: &str) -> Vec<u8> {
    let many = text
        .split_once('*')
        .and_then(|(before, n)| Some((before, n.split_once(' ')?)));
    let text = match many {
        Some((before, (n, part))) => {
            let (part, end) = part.split_at(part.find('\\').unwrap_or(part.len()));
            format!("{before}{}{end}", part.repeat(n.parse().unwrap()))
        }
        None => text.to_string(),
    };
    let (mut bytes, mut chars) = (Vec::new(), text.chars());
    while let Some(c) = chars.next() {
        match (c, if c == '\\' { chars.next() } else { None }) {
            ('\\', Some('r')) => bytes.push(b'\r'),
            ('\\', Some('n')) => bytes.push(b'\n'),
            ('\\', Some('x')) => {
                let hex: String = chars.by_ref().take(2).collect();
                bytes.push(u8::from_str_radix(&hex, 16).unwrap());
            }
            _ => bytes.extend(c.to_string().bytes()),
        }
    }
    bytes
}

fn play(name: &str) {
    let path = format!("{}/tests/exchanges/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    let lines: Vec<&str> = text
        .lines()
        .filter(|l| !l.starts_with('#') && !l.is_empty())
        .collect();
    let mut stage = Stage::new();
    let steps = (0..lines.len()).filter(|i| !lines[*i].starts_with('|'));
    for i in steps {
        let more = lines[i + 1..]
            .iter()
            .take_while(|l| l.starts_with('|'))
            .count();
        stage.step(lines[i], &lines[i + 1..][..more]);
    }
    insta::assert_snapshot!(name, stage.notes);
}

macro_rules! exchanges {
    ($($name:ident),* $(,)?) => { $(#[test] fn $name() { play(stringify!($name)); })* };
}

exchanges! {
    served, malformed, turned_away, broken, unreachable, silent, client_left, idle, name_table, discovery_lost,
    discovery_busy, peers, stopping, crowded, large, reload, framing, slow_clients, maintenance, calls, drain,
    upgrade, upgrade_fails, heritage, nowhere, stopping_long, keyed,
    client_left_behind_bytes, late_connection, late_repeat, fragile, own_settings,
    stopping_body, stopping_behind, upgrade_drain,
}
