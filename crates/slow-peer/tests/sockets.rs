//! The thin side on real sockets, in virtual time: the kernel holds the bytes, the test says what time it is.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use applewall_operator_config::{DurationSetting, EnabledFlag, Size};
use applewall_slow_peer::socket::{
    borrow_descriptor, kernel, MonitoredConnection, TransferMonitor,
};
use applewall_slow_peer::{BulkheadSettings, LimitExceeded, ResourceOwner, Settings};
use socket2::SockRef;

const MS: u64 = 1_000_000;
const START: u64 = 1_000_000 * MS;

struct Door {
    listener: TcpListener,
    pacer: Arc<TransferMonitor>,
}

/// A connection with both its ends.
struct Both {
    ticket: MonitoredConnection,
    ours: TcpStream,
    theirs: TcpStream,
    cuts: Arc<AtomicUsize>,
}

fn door(settings: Settings, bulkheads: BulkheadSettings) -> Door {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let settings = Settings {
        enabled: EnabledFlag(true),
        ..settings
    };
    kernel::bound(
        &listener,
        settings.send_buffer.0 as usize,
        settings.not_sent.0 as u32,
    )
    .unwrap();
    Door {
        listener,
        pacer: TransferMonitor::new(&settings, &bulkheads, (8, 6 << 20), START),
    }
}

impl Door {
    fn connect(&self, now: u64) -> Both {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        socket
            .connect(&self.listener.local_addr().unwrap().into())
            .unwrap();
        let (ours, address) = self.listener.accept().unwrap();
        ours.set_nonblocking(true).unwrap();
        let (cuts, told) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let count = told.clone();
        drop(cuts);
        // SAFETY: the ticket is dropped before the stream, as the fields of `Both` are declared.
        let socket_of = unsafe { borrow_descriptor(&ours) };
        let ticket = self.pacer.register(now, address.ip(), socket_of, move || {
            let _ = count.fetch_add(1, Ordering::Relaxed);
        });
        Both {
            ticket,
            ours,
            theirs: socket.into(),
            cuts: told,
        }
    }
}

impl Both {
    /// Writes what the kernel takes.
    fn write(&mut self, bytes: usize) -> usize {
        let (all, mut written) = (vec![b'.'; bytes], 0);
        while written < bytes {
            match self.ours.write(&all[written..]) {
                Ok(n) => written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => panic!("{e}"),
            }
        }
        self.ticket.record_written(written);
        written
    }

    fn begin(
        &mut self,
        door: &Door,
        now: u64,
        customer: u64,
        bytes: usize,
    ) -> Result<usize, LimitExceeded> {
        let holder = ResourceOwner {
            customer: Some(customer),
            peer_network: self.ticket.peer_network(),
        };
        door.pacer
            .begin_response(now, self.ticket.id(), holder, bytes as u64)?;
        Ok(self.write(bytes))
    }

    fn cut(&self) -> usize {
        self.cuts.load(Ordering::Relaxed)
    }
}

#[test]
fn what_the_kernel_holds_is_bounded_for_all_that_the_listener_accepts() {
    let door = door(Settings::default(), BulkheadSettings::default());
    let mut both = door.connect(START);
    assert_eq!(
        SockRef::from(&both.ours).tcp_notsent_lowat().unwrap(),
        8 << 10
    );
    // The kernel doubles what it is asked for.
    assert_eq!(
        SockRef::from(&both.ours).send_buffer_size().unwrap(),
        32 << 10
    );
    let taken = both.write(1 << 20);
    assert!(taken < 64 << 10, "{taken} bytes in the kernel");
    use std::os::fd::AsFd;
    assert!(kernel::unacknowledged(both.ours.as_fd()).unwrap() > 0);
}

#[test]
fn a_reader_that_stops_is_cut_with_a_reset_and_one_that_reads_is_not() {
    let door = door(Settings::default(), BulkheadSettings::default());
    let (mut stops, mut reads) = (door.connect(START), door.connect(START));
    stops.begin(&door, START, 1, 60_000).unwrap();
    let mut left = 60_000 - reads.begin(&door, START, 2, 60_000).unwrap();
    let mut got = 0;
    for tick in 1..=100 {
        let now = START + tick * 50 * MS;
        // Reads whatever is there; the rest goes out as room comes up.
        let mut piece = [0; 1_024];
        if got < 60_000 {
            got += reads.theirs.read(&mut piece).unwrap();
        }
        left -= reads.write(left);
        door.pacer.tick(now, 0.0);
    }
    assert_eq!((stops.cut(), reads.cut()), (1, 0));
    // Its owner closes it, and the other side sees that the answer is not whole: a reset, not an end.
    let Both {
        ticket,
        ours,
        mut theirs,
        ..
    } = stops;
    drop(ticket);
    drop(ours);
    let mut rest = Vec::new();
    assert_eq!(
        theirs.read_to_end(&mut rest).unwrap_err().kind(),
        ErrorKind::ConnectionReset
    );
    let (counts, rows, waiting, most) = door.pacer.take_report(5);
    assert_eq!(
        (counts.aborted_stalled, rows.len(), rows[0].owner.customer),
        (1, 1, Some(1))
    );
    assert!(waiting < 60_000 && most <= 120_000, "{waiting} {most}");
}

#[test]
fn a_program_that_stood_still_for_two_seconds_cuts_nobody() {
    let door = door(Settings::default(), BulkheadSettings::default());
    let mut both = door.connect(START);
    both.begin(&door, START, 1, 60_000).unwrap();
    door.pacer.tick(START + 50 * MS, 1.0);
    door.pacer.tick(START + 2_050 * MS, 1.0);
    door.pacer.tick(START + 2_100 * MS, 1.0);
    assert_eq!(
        both.cut(),
        0,
        "the time in which nothing ran was held against it"
    );
    // It does stand still: found in the time that did run.
    (43..80).for_each(|tick| door.pacer.tick(START + tick * 50 * MS, 1.0));
    assert_eq!(both.cut(), 1);
}

#[test]
fn an_answer_that_was_not_begun_and_a_command_that_is_owed_are_never_cut() {
    let door = door(Settings::default(), BulkheadSettings::default());
    let (mut fresh, mut ahead) = (door.connect(START), door.connect(START));
    let holder = ResourceOwner {
        customer: Some(1),
        peer_network: None,
    };
    door.pacer
        .begin_response(START, fresh.ticket.id(), holder, 60_000)
        .unwrap();
    ahead.begin(&door, START, 2, 60_000).unwrap();
    door.pacer.request_started(ahead.ticket.id());
    (1..200).for_each(|tick| door.pacer.tick(START + tick * 50 * MS, 1.0));
    assert!(!door
        .pacer
        .abort_one_for_connection_slot(START + 10_000 * MS));
    assert_eq!((fresh.cut(), ahead.cut()), (0, 0));
    fresh.write(1);
    (200..220).for_each(|tick| door.pacer.tick(START + tick * 50 * MS, 1.0));
    assert_eq!((fresh.cut(), ahead.cut()), (1, 0));
}

#[test]
fn an_answer_without_room_takes_the_place_of_the_worst_or_is_told_no() {
    let settings = Settings {
        waiting: Some(Size(128 << 10)),
        ..Settings::default()
    };
    let door = door(settings, BulkheadSettings::default());
    let (mut a, mut b, mut c) = (
        door.connect(START),
        door.connect(START),
        door.connect(START),
    );
    a.begin(&door, START, 1, 60_000).unwrap();
    b.begin(&door, START + 10 * MS, 2, 60_000).unwrap();
    // Nobody is to blame yet.
    assert_eq!(
        c.begin(&door, START + 20 * MS, 3, 60_000),
        Err(LimitExceeded::Total)
    );
    door.pacer.tick(START + 50 * MS, 0.0);
    door.pacer.tick(START + 100 * MS, 0.0);
    c.begin(&door, START + 110 * MS, 3, 60_000).unwrap();
    assert_eq!((a.cut(), b.cut(), c.cut()), (1, 0, 0));
    let (counts, _, waiting, most) = door.pacer.take_report(5);
    assert_eq!(
        (counts.aborted_for_resources, counts.responses_replaced),
        (1, 1)
    );
    assert!(waiting <= 128 << 10 && most <= 128 << 10);
}

#[test]
fn one_set_of_addresses_holds_its_share_and_less_after_cuts() {
    let bulkheads = BulkheadSettings {
        enabled: EnabledFlag(true),
        distrust: DurationSetting::from_millis(5_000),
        ..Default::default()
    };
    let door = door(Settings::default(), bulkheads);
    let mut all: Vec<Both> = (0..5).map(|_| door.connect(START)).collect();
    let placed: Vec<bool> = all.iter().map(|both| both.ticket.has_slot()).collect();
    assert_eq!(placed, [true, true, true, true, false]);
    // Two stop reading and are cut; the places that they leave are not given to the same set again at once.
    for both in &mut all[..2] {
        both.begin(&door, START, 1, 40_000).unwrap();
    }
    (1..60).for_each(|tick| door.pacer.tick(START + tick * 50 * MS, 0.0));
    assert_eq!(all.iter().map(Both::cut).sum::<usize>(), 2);
    all.drain(..2);
    assert!(!door.connect(START + 3_000 * MS).ticket.has_slot());
    (60..180).for_each(|tick| door.pacer.tick(START + tick * 50 * MS, 0.0));
    assert!(door.connect(START + 9_000 * MS).ticket.has_slot());
}
