//! The sockets of an exchange outside the program: those of endpoints, discovery, clients and peers.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::channel;
use std::time::Duration;

use super::message;
use super::redaction::Addresses;
use super::STEP_TIMEOUT;

const LISTENERS: [&str; 3] = ["s1", "discovery", "discovery2"];
const DATAGRAM_SOCKETS: [&str; 3] = ["peer0", "peer1", "stranger"];
/// After this time, a connection attempt has found a full backlog.
const FULL_BACKLOG_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval of reading the kernel's list of connections.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// State in `/proc/net/tcp` of a connection that is not established yet.
const SYN_SENT: &str = "02";
/// Longest datagram that the program sends.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Sockets by name.
#[derive(Default)]
pub(crate) struct Connections {
    listeners: HashMap<String, TcpListener>,
    streams: HashMap<String, BufReader<TcpStream>>,
    datagram_sockets: HashMap<String, UdpSocket>,
    /// Connections that fill the backlog of a listener.
    fillers: Vec<TcpStream>,
}

impl Connections {
    /// Opens all listeners and datagram sockets, and adds their addresses.
    pub(crate) fn open(addresses: &mut Addresses) -> Self {
        let mut connections = Connections::default();
        for name in LISTENERS {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
            addresses.insert(name, listener.local_addr().expect("its address"));
            connections.listeners.insert(name.into(), listener);
        }
        for name in DATAGRAM_SOCKETS {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a datagram socket");
            let timeout = socket.set_read_timeout(Some(STEP_TIMEOUT));
            timeout.expect("a read timeout");
            addresses.insert(name, socket.local_addr().expect("its address"));
            connections.datagram_sockets.insert(name.into(), socket);
        }
        connections
    }

    pub(crate) fn stop_listening(&mut self, name: &str) {
        self.listeners.remove(name);
    }

    pub(crate) fn accept(&mut self, name: &str, from: &str) {
        let listener = self.listeners[from].try_clone().expect("a copy");
        let (sender, accepted) = channel();
        // In a thread, since `accept` has no timeout.
        std::thread::spawn(move || sender.send(listener.accept().expect("accepted").0));
        let stream = accepted.recv_timeout(STEP_TIMEOUT);
        let stream = stream.unwrap_or_else(|_| {
            let received = self.unread();
            panic!("expected connection {name} at {from}; unread on the others: {received:?}")
        });
        self.insert(name, stream);
    }

    /// Bytes received on each connection that no step has read.
    fn unread(&mut self) -> BTreeMap<String, String> {
        let unread = |(name, stream): (&String, &mut BufReader<TcpStream>)| {
            let _ = stream.get_ref().set_nonblocking(true);
            let bytes = stream.fill_buf().unwrap_or_default();
            (name.clone(), String::from_utf8_lossy(bytes).into_owned())
        };
        let unread = self.streams.iter_mut().map(unread);
        unread.filter(|(_, text)| !text.is_empty()).collect()
    }

    pub(crate) fn connect(&mut self, name: &str, address: SocketAddr) {
        let stream = TcpStream::connect(address).expect("a connection to the program");
        self.insert(name, stream);
    }

    fn insert(&mut self, name: &str, stream: TcpStream) {
        let timeout = stream.set_read_timeout(Some(STEP_TIMEOUT));
        timeout.expect("a read timeout");
        stream.set_nodelay(true).expect("no delay");
        self.streams.insert(name.into(), BufReader::new(stream));
    }

    /// Connects to an address until its backlog is full.
    pub(crate) fn fill_backlog(&mut self, address: SocketAddr) {
        let connect = || TcpStream::connect_timeout(&address, FULL_BACKLOG_TIMEOUT).ok();
        self.fillers.extend(std::iter::from_fn(connect));
    }

    /// Accepts and closes the connections that fill a backlog.
    pub(crate) fn free_backlog(&mut self, name: &str) {
        for filler in self.fillers.drain(..) {
            let (_, from) = self.listeners[name].accept().expect("accepted");
            let expected = filler.local_addr().expect("its address");
            assert_eq!(
                from, expected,
                "a connection in the backlog of {name} that was not made to fill it"
            );
        }
    }

    pub(crate) fn send(&mut self, name: &str, text: &str) {
        let written = self.stream(name).get_mut().write_all(text.as_bytes());
        written.unwrap_or_else(|error| panic!("cannot write to {name}: {error}"));
    }

    pub(crate) fn receive(&mut self, name: &str) -> String {
        message::read(name, self.stream(name))
    }

    pub(crate) fn close(&mut self, name: &str) {
        self.streams.remove(name);
    }

    pub(crate) fn reset(&mut self, name: &str) {
        let stream = self.streams.remove(name).expect("a connection");
        let linger = socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
        linger.expect("a reset when it is closed");
    }

    pub(crate) fn shut_down_sending(&mut self, name: &str) {
        let stream = self.stream(name).get_ref();
        stream.shutdown(Shutdown::Write).expect("shut down");
    }

    fn stream(&mut self, name: &str) -> &mut BufReader<TcpStream> {
        let stream = self.streams.get_mut(name);
        stream.unwrap_or_else(|| panic!("no connection {name}"))
    }

    pub(crate) fn send_datagram(&self, name: &str, text: &str, to: SocketAddr) {
        let sent = self.datagram_sockets[name].send_to(text.as_bytes(), to);
        sent.expect("a datagram is sent");
    }

    pub(crate) fn receive_datagram(&self, name: &str, program: SocketAddr) {
        let mut buffer = [0; 2048];
        let received = self.datagram_sockets[name].recv_from(&mut buffer);
        let (length, from) = received.unwrap_or_else(|error| panic!("no datagram: {error}"));
        assert!(
            length <= MAX_DATAGRAM_BYTES && from == program,
            "expected at most {MAX_DATAGRAM_BYTES} bytes from {program}, got {length} from {from}"
        );
    }
}

/// Waits for a connection attempt to this address that the full backlog blocks.
pub(crate) fn await_blocked_connect(address: SocketAddr) {
    let port = format!(":{:04X}", address.port());
    let is_blocked = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 3 && fields[2].ends_with(&port) && fields[3] == SYN_SENT
    };
    let connections = || std::fs::read_to_string("/proc/net/tcp").expect("the kernel's list");
    while !connections().lines().any(is_blocked) {
        std::thread::sleep(POLL_INTERVAL);
    }
}
