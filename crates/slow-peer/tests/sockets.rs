//! Tests of the transfer monitor with real sockets and virtual time.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use applewall_operator_config::{DurationSetting, EnabledFlag, Size};
use applewall_slow_peer::socket::{
    borrow_descriptor, kernel, Capacity, MonitoredConnection, TransferMonitor,
};
use applewall_slow_peer::{BulkheadSettings, LimitExceeded, ResourceOwner, Settings};
use socket2::SockRef;

const MS: u64 = 1_000_000;
const START: u64 = 1_000_000 * MS;
const CAPACITY: Capacity = Capacity {
    connections: 8,
    memory_bytes: 6 << 20,
};

/// A listener and the monitor of the connections that it accepts.
struct Server {
    listener: TcpListener,
    monitor: Arc<TransferMonitor>,
}

/// Both ends of a monitored connection.
struct ConnectionPair {
    monitored: MonitoredConnection,
    server_end: TcpStream,
    client_end: TcpStream,
    abort_count: Arc<AtomicUsize>,
}

fn server(settings: Settings, bulkheads: BulkheadSettings) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let settings = Settings {
        enabled: EnabledFlag(true),
        ..settings
    };
    kernel::limit_send_buffer(
        &listener,
        settings.send_buffer.0 as usize,
        settings.not_sent.0 as u32,
    )
    .unwrap();
    Server {
        listener,
        monitor: TransferMonitor::new(&settings, &bulkheads, CAPACITY, START),
    }
}

impl Server {
    fn connect(&self, now: u64) -> ConnectionPair {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        socket
            .connect(&self.listener.local_addr().unwrap().into())
            .unwrap();
        let (server_end, address) = self.listener.accept().unwrap();
        server_end.set_nonblocking(true).unwrap();
        let abort_count = Arc::new(AtomicUsize::new(0));
        let count = abort_count.clone();
        // SAFETY: the monitored connection is dropped before the stream, as the fields of `ConnectionPair` are declared.
        let socket_of = unsafe { borrow_descriptor(&server_end) };
        let monitored = self
            .monitor
            .register(now, address.ip(), socket_of, move || {
                let _ = count.fetch_add(1, Ordering::Relaxed);
            });
        ConnectionPair {
            monitored,
            server_end,
            client_end: socket.into(),
            abort_count,
        }
    }
}

impl ConnectionPair {
    /// Writes as many of the bytes as the kernel accepts, and returns their number.
    fn write(&mut self, bytes: usize) -> usize {
        let (data, mut written) = (vec![b'.'; bytes], 0);
        while written < bytes {
            match self.server_end.write(&data[written..]) {
                Ok(accepted) => written += accepted,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("{error}"),
            }
        }
        self.monitored.record_written(written);
        written
    }

    /// Begins a response, and writes as many of its bytes as the kernel accepts.
    fn begin(
        &mut self,
        server: &Server,
        now: u64,
        customer: u64,
        bytes: usize,
    ) -> Result<usize, LimitExceeded> {
        let owner = ResourceOwner {
            customer: Some(customer),
            peer_network: self.monitored.peer_network(),
        };
        server
            .monitor
            .begin_response(now, self.monitored.id(), owner, bytes as u64)?;
        Ok(self.write(bytes))
    }

    fn aborts(&self) -> usize {
        self.abort_count.load(Ordering::Relaxed)
    }
}

#[test]
fn limits_on_the_send_buffer_of_a_listener_apply_to_accepted_connections() {
    let server = server(Settings::default(), BulkheadSettings::default());
    let mut pair = server.connect(START);
    assert_eq!(
        SockRef::from(&pair.server_end).tcp_notsent_lowat().unwrap(),
        8 << 10
    );
    // The kernel doubles the requested size.
    assert_eq!(
        SockRef::from(&pair.server_end).send_buffer_size().unwrap(),
        32 << 10
    );
    let accepted = pair.write(1 << 20);
    assert!(accepted < 64 << 10, "{accepted} bytes in the kernel");
    use std::os::fd::AsFd;
    assert!(kernel::unacknowledged(pair.server_end.as_fd()).unwrap() > 0);
}

#[test]
fn client_that_stops_reading_is_reset_and_one_that_reads_is_not() {
    let server = server(Settings::default(), BulkheadSettings::default());
    let (mut stalled, mut reading) = (server.connect(START), server.connect(START));
    stalled.begin(&server, START, 1, 60_000).unwrap();
    let mut unwritten = 60_000 - reading.begin(&server, START, 2, 60_000).unwrap();
    let mut received = 0;
    for tick in 1..=100 {
        let now = START + tick * 50 * MS;
        // The client reads what has arrived; more is written as the kernel's buffer empties.
        let mut buffer = [0; 1_024];
        if received < 60_000 {
            received += reading.client_end.read(&mut buffer).unwrap();
        }
        unwritten -= reading.write(unwritten);
        server.monitor.tick(now, 0.0);
    }
    assert_eq!(
        (stalled.aborts(), reading.aborts()),
        (1, 0),
        "aborts of the client that stops reading, and of the other"
    );
    // After the owner has closed the connection, the client gets a reset and not an end of the stream, and so can detect
    // that the response is incomplete.
    let ConnectionPair {
        monitored,
        server_end,
        mut client_end,
        ..
    } = stalled;
    drop(monitored);
    drop(server_end);
    let mut rest = Vec::new();
    assert_eq!(
        client_end.read_to_end(&mut rest).unwrap_err().kind(),
        ErrorKind::ConnectionReset
    );
    let report = server.monitor.take_report(5);
    assert_eq!(
        (
            report.counts.aborted_stalled,
            report.owners.len(),
            report.owners[0].owner.customer
        ),
        (1, 1, Some(1))
    );
    assert!(
        report.unsent_bytes < 60_000 && report.max_unsent_bytes <= 120_000,
        "{report:?}"
    );
}

#[test]
fn stall_of_the_process_for_two_seconds_aborts_no_connection() {
    let server = server(Settings::default(), BulkheadSettings::default());
    let mut pair = server.connect(START);
    pair.begin(&server, START, 1, 60_000).unwrap();
    server.monitor.tick(START + 50 * MS, 1.0);
    server.monitor.tick(START + 2_050 * MS, 1.0);
    server.monitor.tick(START + 2_100 * MS, 1.0);
    assert_eq!(pair.aborts(), 0, "aborts after a stall of the process");
    // The connection is stalled, which is detected after the stall of the process.
    (43..80).for_each(|tick| server.monitor.tick(START + tick * 50 * MS, 1.0));
    assert_eq!(pair.aborts(), 1);
}

#[test]
fn connections_with_an_unwritten_response_or_a_pending_request_are_never_aborted() {
    let server = server(Settings::default(), BulkheadSettings::default());
    let (mut unwritten, mut pipelining) = (server.connect(START), server.connect(START));
    let owner = ResourceOwner {
        customer: Some(1),
        peer_network: None,
    };
    server
        .monitor
        .begin_response(START, unwritten.monitored.id(), owner, 60_000)
        .unwrap();
    pipelining.begin(&server, START, 2, 60_000).unwrap();
    server.monitor.request_started(pipelining.monitored.id());
    (1..200).for_each(|tick| server.monitor.tick(START + tick * 50 * MS, 1.0));
    assert!(!server
        .monitor
        .abort_one_for_connection_slot(START + 10_000 * MS));
    assert_eq!((unwritten.aborts(), pipelining.aborts()), (0, 0));
    unwritten.write(1);
    (200..220).for_each(|tick| server.monitor.tick(START + tick * 50 * MS, 1.0));
    assert_eq!((unwritten.aborts(), pipelining.aborts()), (1, 0));
}

#[test]
fn response_beyond_the_limit_aborts_the_worst_connection_or_is_rejected() {
    let settings = Settings {
        waiting: Some(Size(128 << 10)),
        ..Settings::default()
    };
    let server = server(settings, BulkheadSettings::default());
    let (mut first, mut second, mut third) = (
        server.connect(START),
        server.connect(START),
        server.connect(START),
    );
    first.begin(&server, START, 1, 60_000).unwrap();
    second.begin(&server, START + 10 * MS, 2, 60_000).unwrap();
    // No connection is slow yet.
    assert_eq!(
        third.begin(&server, START + 20 * MS, 3, 60_000),
        Err(LimitExceeded::Total)
    );
    server.monitor.tick(START + 50 * MS, 0.0);
    server.monitor.tick(START + 100 * MS, 0.0);
    third.begin(&server, START + 110 * MS, 3, 60_000).unwrap();
    assert_eq!((first.aborts(), second.aborts(), third.aborts()), (1, 0, 0));
    let report = server.monitor.take_report(5);
    assert_eq!(
        (
            report.counts.aborted_for_resources,
            report.counts.responses_replaced
        ),
        (1, 1)
    );
    assert!(report.unsent_bytes <= 128 << 10 && report.max_unsent_bytes <= 128 << 10);
}

#[test]
fn network_uses_its_fraction_of_slots_and_fewer_after_aborts() {
    let bulkheads = BulkheadSettings {
        enabled: EnabledFlag(true),
        distrust: DurationSetting::from_millis(5_000),
        ..Default::default()
    };
    let server = server(Settings::default(), bulkheads);
    let mut pairs: Vec<ConnectionPair> = (0..5).map(|_| server.connect(START)).collect();
    let has_slot: Vec<bool> = pairs.iter().map(|pair| pair.monitored.has_slot()).collect();
    assert_eq!(has_slot, [true, true, true, true, false]);
    // Two clients stop reading and are aborted. Their slots are withheld from the network for the penalty time.
    for pair in &mut pairs[..2] {
        pair.begin(&server, START, 1, 40_000).unwrap();
    }
    (1..60).for_each(|tick| server.monitor.tick(START + tick * 50 * MS, 0.0));
    assert_eq!(pairs.iter().map(ConnectionPair::aborts).sum::<usize>(), 2);
    pairs.drain(..2);
    assert!(!server.connect(START + 3_000 * MS).monitored.has_slot());
    (60..180).for_each(|tick| server.monitor.tick(START + tick * 50 * MS, 0.0));
    assert!(server.connect(START + 9_000 * MS).monitored.has_slot());
}
