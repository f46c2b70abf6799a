//! Compares the bytes that two processes exchange in a hot restart with recorded ones (`tests/golden`).

use super::*;
use crate::lifecycle::command_relay::{OtherProcess, RelayedCommand, RelayedMessage};
use crate::lifecycle::process_role::ProcessRole;
use crate::lifecycle::process_role::TransferredState;
use applewall::api::{CellId, Endpoint, EndpointState, MachineTypeId, ZoneId};
use applewall_admin::{LifecyclePhase, MaintenanceSet};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::OwnedReadHalf;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::timeout;
use transfer::receive;

const RECORDED_STATE: &[u8] = include_bytes!("../../../../tests/golden/estate.bin");
const RECORDED_LINES: &str = include_str!("../../../../tests/golden/succession.txt");
const POLICY_STATE: &[u8] = b"\x00what the module keeps\xff";

type Fields<'a> = (
    &'a str,
    f64,
    Option<u64>,
    u32,
    i64,
    u32,
    EndpointState,
    &'a str,
);

const ENDPOINTS: [Fields<'_>; 3] = [
    (
        "s-1",
        1.5,
        Some(999_999_000_000_001),
        2,
        7,
        1,
        EndpointState::Ready,
        "10.1.0.18:8443",
    ),
    (
        "s \"2\"",
        0.0,
        None,
        u32::MAX - 1,
        -1,
        0,
        EndpointState::Draining,
        "[2001:db8::1]:80",
    ),
    (
        "s-3",
        1e6,
        Some(1),
        0,
        1_000_000,
        300,
        EndpointState::Removed,
        "127.0.0.1:65535",
    ),
];

fn transferred_state() -> TransferredState {
    let mut maintenance = MaintenanceSet::default();
    let _ = (
        maintenance.disable("s-1", true),
        maintenance.disable("s \"2\"", true),
    );
    let endpoints = ENDPOINTS.map(
        |(id, weight, started_at_ns, zone, cell, machine_type, state, address)| {
            let endpoint = Endpoint {
                id: id.into(),
                weight,
                started_at_ns,
                zone: ZoneId(zone),
                cell: CellId(cell),
                machine_type: MachineTypeId(machine_type),
                state,
            };
            (endpoint, address.parse().unwrap())
        },
    );
    let now = 1_000_000_123_456_789;
    TransferredState {
        now_ns: now,
        maintenance,
        draining: true,
        endpoints: endpoints.into(),
        policy_state: POLICY_STATE.into(),
    }
}

fn assert_complete(state: &TransferredState) {
    assert_eq!(
        (state.now_ns, state.draining, &state.policy_state[..]),
        (1_000_000_123_456_789, true, POLICY_STATE)
    );
    assert_eq!(
        state.maintenance.ids().map(|id| &**id).collect::<Vec<_>>(),
        ["s \"2\"", "s-1"]
    );
    assert_eq!(state.endpoints.len(), ENDPOINTS.len());
    for ((endpoint, address), expected) in state.endpoints.iter().zip(ENDPOINTS) {
        let address = address.to_string();
        assert_eq!(
            (
                &*endpoint.id,
                endpoint.weight,
                endpoint.started_at_ns,
                endpoint.zone.0,
                endpoint.cell.0,
                endpoint.machine_type.0,
                endpoint.state,
                &*address
            ),
            expected
        );
    }
}

/// A header with a format mark and a length, followed by `bytes`.
fn framed(mark: &[u8], length: usize, bytes: &[u8]) -> Vec<u8> {
    [mark, &(length as u32).to_be_bytes(), bytes].concat()
}

/// The receivers of a hot restart's channels, kept open during a test.
struct Receivers {
    control: mpsc::Receiver<ControlMessage>,
    _others: Box<dyn std::any::Any>,
}

fn hot_restart() -> (HotRestart, Receivers) {
    let (control, control_receiver) = mpsc::channel(4);
    let (drain_requests, drain_receiver) = mpsc::channel(4);
    let (phase, phase_receiver) = watch::channel(LifecyclePhase::Draining);
    let (ready_sender, ready) = watch::channel(true);
    let (role, role_receiver) = RoleOwner::new();
    let (other_process, other_process_receiver) = watch::channel(None);
    let admin = AdminHandle {
        control: control.clone(),
        drain_requests,
        phase: phase_receiver,
        ready: ready.clone(),
        has_endpoints: ready,
        state_queue: None,
        other_process: other_process_receiver,
        change_lock: Arc::default(),
        open_commands: Arc::default(),
    };
    let name = format!("golden-{}", std::process::id());
    let hot_restart = HotRestart {
        shared_directory: SharedDirectory::new(&name),
        role,
        other_process,
        admin,
        control,
        peers: None,
    };
    let receivers = Receivers {
        control: control_receiver,
        _others: Box::new((drain_receiver, phase, ready_sender, role_receiver)),
    };
    (hot_restart, receivers)
}

#[test]
fn transferred_state_decodes_and_encodes_to_the_recorded_bytes() {
    assert_eq!(
        postcard::to_stdvec(&transferred_state()).unwrap(),
        RECORDED_STATE
    );
    assert_complete(&postcard::from_bytes(RECORDED_STATE).unwrap());
}

/// Plays the new process's side of the recorded lines against the old process.
struct NewProcess {
    reading: BufReader<OwnedReadHalf>,
    writing: OwnedWriteHalf,
}

impl NewProcess {
    /// Sends or expects one recorded line.
    async fn replay(&mut self, recorded: &str, other_process: &OtherProcess) {
        let (sender, line) = recorded.split_once(": ").unwrap();
        if sender == "new" {
            return self.send(line).await;
        }
        if line.starts_with("AWE1") {
            return self.expect_state(line).await;
        }
        if line.starts_with("call") {
            relay(other_process, line).await;
        }
        self.expect_line(line).await;
    }

    async fn send(&mut self, line: &str) {
        let bytes = format!("{line}\n");
        self.writing.write_all(bytes.as_bytes()).await.unwrap();
    }

    async fn expect_line(&mut self, line: &str) {
        let mut received = String::new();
        self.reading.read_line(&mut received).await.unwrap();
        assert_eq!(received, format!("{line}\n"));
    }

    async fn expect_state(&mut self, line: &str) {
        let mut bytes = vec![0; 8 + RECORDED_STATE.len()];
        self.reading.read_exact(&mut bytes).await.unwrap();
        assert_eq!(bytes, framed(b"AWE1", RECORDED_STATE.len(), RECORDED_STATE));
        assert_eq!(
            line,
            format!("AWE1 {:08x} estate.bin", RECORDED_STATE.len())
        );
    }
}

/// Has the old process relay the command of a recorded line.
async fn relay(other_process: &OtherProcess, line: &str) {
    let link = other_process.borrow().clone().unwrap();
    let command = line.splitn(3, ' ').last().unwrap().parse().unwrap();
    let done = oneshot::channel().0;
    link.send(RelayedMessage::Command(RelayedCommand { command, done }))
        .unwrap();
}

/// The old process sends each recorded line unchanged, and the state with its header.
#[tokio::test]
async fn old_process_sends_the_recorded_lines_and_state() {
    let (near, far) = UnixStream::pair().unwrap();
    let (hot_restart, mut receivers) = hot_restart();
    let other_process = hot_restart.admin.other_process.clone();
    let engine = async {
        let Some(ControlMessage::ExportState(reply)) = receivers.control.recv().await else {
            panic!("expected a request to export the state")
        };
        let _ = reply.send(Ok(TransferredState {
            draining: false,
            ..transferred_state()
        }));
        let Some(ControlMessage::ExportMaintenance(reply)) = receivers.control.recv().await else {
            panic!("expected a request to export the maintenance set")
        };
        let _ = reply.send(transferred_state().maintenance);
        let exported = receivers.control.recv().await;
        let Some(ControlMessage::ExportExecutedRequests(reply)) = exported else {
            panic!("expected a request to export the executed requests")
        };
        let _ = reply.send(Vec::new());
        std::future::pending::<()>().await;
    };
    let (reading, writing) = far.into_split();
    let mut new_process = NewProcess {
        reading: BufReader::new(reading),
        writing,
    };
    let recorded = async {
        for line in RECORDED_LINES.lines() {
            new_process.replay(line, &other_process).await;
        }
    };
    let exchange = timeout(Duration::from_secs(30), async {
        tokio::select! {
            ended = hot_restart.hand_over(near) => panic!("{ended:?}"),
            () = engine => {}
            () = recorded => {}
        }
    });
    exchange.await.expect("in time");
    assert_eq!(hot_restart.role.current(), ProcessRole::Superseded);
}

/// The new process sends its greeting, and accepts or rejects the old process's answer.
#[tokio::test]
async fn valid_state_is_received_and_any_other_is_rejected_with_an_error() {
    let length = RECORDED_STATE.len();
    let other_version = "the old process speaks another protocol version";
    let truncated =
        "the state of the old process cannot be decoded: Hit the end of buffer, expected more data";
    let cases = [
        (framed(b"AWE1", length, RECORDED_STATE), ""),
        (framed(b"AWE0", length, RECORDED_STATE), other_version),
        (framed(b"AWE2", length, RECORDED_STATE), other_version),
        (
            framed(b"AWE1", (64 << 20) + 1, RECORDED_STATE),
            other_version,
        ),
        (
            framed(b"AWE1", length, RECORDED_STATE)[..7].into(),
            "the old process closed the connection before it sent its state",
        ),
        (
            framed(b"AWE1", length, &RECORDED_STATE[1..]),
            "the connection to the old process failed: early eof",
        ),
        (framed(b"AWE1", length - 1, RECORDED_STATE), truncated),
        (framed(b"AWE1", 0, b""), truncated),
    ];
    for (bytes, reason) in cases {
        let (near, mut far) = UnixStream::pair().unwrap();
        let old_process = async {
            let mut greeting = [0; 23];
            far.read_exact(&mut greeting).await.unwrap();
            assert_eq!(&greeting, b"applewall succession 1\n");
            far.write_all(&bytes).await.unwrap();
            drop(far);
        };
        match tokio::join!(receive(near, None), old_process).0 {
            Ok(received) => {
                assert_eq!(reason, "", "received a state that should be rejected");
                assert_complete(&received.state);
            }
            Err(error) => assert_eq!(error.to_string(), reason),
        }
    }
}

#[tokio::test]
async fn new_process_of_another_version_receives_nothing() {
    for greeting in [
        "applewall succession 2\n",
        "applewall succession 0\n",
        "applewall succession 11",
        "READY\n",
    ] {
        let (near, mut far) = UnixStream::pair().unwrap();
        let (hot_restart, mut receivers) = hot_restart();
        far.write_all(greeting.as_bytes()).await.unwrap();
        far.shutdown().await.unwrap();
        let error = hot_restart.hand_over(near).await.unwrap_err();
        let is_short = greeting.len() < 23;
        assert_eq!(
            error.to_string(),
            if is_short {
                "the connection to the new process failed: early eof"
            } else {
                "the new process speaks another protocol version"
            },
            "{greeting:?}"
        );
        assert!(receivers.control.try_recv().is_err());
        assert_eq!(hot_restart.role.current(), ProcessRole::Active);
    }
}

#[tokio::test]
async fn new_process_starts_without_state_if_the_old_one_has_another_version() {
    let directory = hot_restart().0.shared_directory;
    let listener = UnixListener::bind(directory.hot_restart_socket()).unwrap();
    let answer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream
            .write_all(&framed(b"AWE0", RECORDED_STATE.len(), RECORDED_STATE))
            .await
            .unwrap();
        let _ = stream.read_to_end(&mut Vec::new()).await;
    };
    let (received, ()) = tokio::join!(receive_transfer(&directory), answer);
    std::fs::remove_file(directory.hot_restart_socket()).unwrap();
    assert!(received.is_none());
}
