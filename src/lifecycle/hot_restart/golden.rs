//! What passes between two processes, byte for byte (`tests/golden`).

#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use super::*;
use applewall::api::{Endpoint, EndpointState};
use applewall_admin::{Ledger, Stage};

const ESTATE: &[u8] = include_bytes!("../../../tests/golden/estate.bin");
const LINES: &str = include_str!("../../../tests/golden/succession.txt");
const MODULE: &[u8] = b"\x00what the module keeps\xff";

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

const LISTED: [Fields<'_>; 3] = [
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

fn estate() -> TransferredState {
    let mut withheld = Ledger::default();
    let _ = (
        withheld.withhold("s-1", true),
        withheld.withhold("s \"2\"", true),
    );
    let listed = LISTED.map(|(backend, scale, started, zone, cell, kind, state, at)| {
        let backend = backend.into();
        (
            Endpoint {
                id: backend,
                weight: scale,
                started_at_ns: started,
                zone,
                cell,
                machine_type: kind,
                state,
            },
            at.parse().unwrap(),
        )
    });
    let now = 1_000_000_123_456_789;
    TransferredState {
        now_ns: now,
        maintenance: withheld,
        draining: true,
        endpoints: listed.into(),
        policy_state: MODULE.into(),
    }
}

fn is_whole(estate: &TransferredState) {
    assert_eq!(
        (estate.now_ns, estate.draining, &estate.policy_state[..]),
        (1_000_000_123_456_789, true, MODULE)
    );
    assert_eq!(
        estate.maintenance.ids().map(|id| &**id).collect::<Vec<_>>(),
        ["s \"2\"", "s-1"]
    );
    assert_eq!(estate.endpoints.len(), LISTED.len());
    for ((m, at), meant) in estate.endpoints.iter().zip(LISTED) {
        let at = at.to_string();
        assert_eq!(
            (
                &*m.id,
                m.weight,
                m.started_at_ns,
                m.zone,
                m.cell,
                m.machine_type,
                m.state,
                &*at
            ),
            meant
        );
    }
}

/// The head, and then these bytes.
fn framed(mark: &[u8], length: usize, bytes: &[u8]) -> Vec<u8> {
    [mark, &(length as u32).to_be_bytes(), bytes].concat()
}

fn succession() -> (
    HotRestart,
    mpsc::Receiver<ControlMessage>,
    Vec<Box<dyn std::any::Any>>,
) {
    let (orders, inbox) = mpsc::channel(4);
    let (drains, drains_in) = mpsc::channel(4);
    let (stage, stages) = watch::channel(Stage::Draining);
    let (yes, ready) = watch::channel(true);
    let (role, roles) = watch::channel(ProcessRole::Active);
    let (other, others) = watch::channel(None);
    let desk = AdminHandle {
        control: orders.clone(),
        drain_requests: drains,
        phase: stages,
        ready: ready.clone(),
        has_endpoints: ready,
        shared_directory: None,
        other_process: others,
        maintenance_lock: Arc::default(),
    };
    let place = SharedDirectory::new(&format!("golden-{}", std::process::id()));
    let held: Vec<Box<dyn std::any::Any>> = vec![Box::new((drains_in, stage, yes, roles))];
    (
        HotRestart {
            shared_directory: place,
            role,
            other_process: other,
            admin: desk,
            control: orders,
            peers: None,
        },
        inbox,
        held,
    )
}

#[test]
fn the_estate_is_read_and_written_again_to_the_same_bytes() {
    assert_eq!(postcard::to_stdvec(&estate()).unwrap(), ESTATE);
    is_whole(&postcard::from_bytes(ESTATE).unwrap());
}

/// The older process's side: each line as it was, the estate in its frame.
#[tokio::test]
async fn a_new_process_is_handed_the_estate_in_the_same_lines() {
    let (near, far) = UnixStream::pair().unwrap();
    let (succession, mut orders, _held) = succession();
    let other = succession.admin.other_process.clone();
    let handing = async {
        let Some(ControlMessage::ExportState(reply)) = orders.recv().await else {
            panic!("not asked")
        };
        let _ = reply.send(Ok(TransferredState {
            draining: false,
            ..estate()
        }));
        std::future::pending::<()>().await;
    };
    let (reading, mut writing) = far.into_split();
    let mut reading = BufReader::new(reading);
    let speaking = async {
        for line in LINES.lines() {
            let (who, line) = line.split_once(": ").unwrap();
            if who == "new" {
                writing
                    .write_all(format!("{line}\n").as_bytes())
                    .await
                    .unwrap();
                continue;
            }
            if line.starts_with("AWE1") {
                let mut bytes = vec![0; 8 + ESTATE.len()];
                reading.read_exact(&mut bytes).await.unwrap();
                assert_eq!(bytes, framed(b"AWE1", ESTATE.len(), ESTATE));
                assert_eq!(line, format!("AWE1 {:08x} estate.bin", ESTATE.len()));
                continue;
            }
            if line.starts_with("call") {
                let link = other.borrow().clone().unwrap();
                let call = line.splitn(3, ' ').last().unwrap().to_string();
                link.send(RelayedCommand {
                    command: call,
                    done: oneshot::channel().0,
                })
                .await
                .unwrap();
            }
            let mut got = String::new();
            reading.read_line(&mut got).await.unwrap();
            assert_eq!(got, format!("{line}\n"));
        }
    };
    let whole = timeout(Duration::from_secs(30), async {
        tokio::select! {
            ended = succession.hand_over(near) => panic!("{ended:?}"),
            () = handing => {}
            () = speaking => {}
        }
    });
    whole.await.expect("in time");
    assert_eq!(*succession.role.borrow(), ProcessRole::Superseded);
}

/// The new process's side: what it says first, and what it makes of the answer.
#[tokio::test]
async fn an_estate_in_its_frame_is_taken_and_any_other_refused_in_one_line() {
    let length = ESTATE.len();
    let other = "the other process speaks another version";
    let cases = [
        (framed(b"AWE1", length, ESTATE), ""),
        (framed(b"AWE0", length, ESTATE), other),
        (framed(b"AWE2", length, ESTATE), other),
        (framed(b"AWE1", (64 << 20) + 1, ESTATE), other),
        (
            framed(b"AWE1", length, ESTATE)[..7].into(),
            "the other process hung up",
        ),
        (framed(b"AWE1", length, &ESTATE[1..]), "early eof"),
        (
            framed(b"AWE1", length - 1, ESTATE),
            "the estate is not of this form: Hit the end of buffer, expected more data",
        ),
        (
            framed(b"AWE1", 0, b""),
            "the estate is not of this form: Hit the end of buffer, expected more data",
        ),
    ];
    for (bytes, why) in cases {
        let (near, mut far) = UnixStream::pair().unwrap();
        let speaking = async {
            let mut hello = [0; 23];
            far.read_exact(&mut hello).await.unwrap();
            assert_eq!(&hello, b"applewall succession 1\n");
            far.write_all(&bytes).await.unwrap();
            drop(far);
        };
        match tokio::join!(receive(near), speaking).0 {
            Ok(heritage) => is_whole(
                &heritage
                    .into_parts()
                    .0
                    .filter(|_| why.is_empty())
                    .expect("refused"),
            ),
            Err(told) => assert_eq!(told, why),
        }
    }
}

#[tokio::test]
async fn a_process_of_another_version_is_handed_nothing() {
    for hello in [
        "applewall succession 2\n",
        "applewall succession 0\n",
        "applewall succession 11",
        "READY\n",
    ] {
        let (near, mut far) = UnixStream::pair().unwrap();
        let (succession, mut orders, _held) = succession();
        far.write_all(hello.as_bytes()).await.unwrap();
        far.shutdown().await.unwrap();
        let told = succession.hand_over(near).await.unwrap_err();
        let short = hello.len() < 23;
        assert_eq!(
            told,
            if short {
                "early eof"
            } else {
                "it speaks another version"
            },
            "{hello:?}"
        );
        assert!(orders.try_recv().is_err() && *succession.role.borrow() == ProcessRole::Active);
    }
}

#[tokio::test]
async fn one_that_finds_another_version_starts_with_nothing() {
    let place = succession().0.shared_directory;
    let listener = UnixListener::bind(place.hot_restart_socket()).unwrap();
    let answer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream
            .write_all(&framed(b"AWE0", ESTATE.len(), ESTATE))
            .await
            .unwrap();
        let _ = stream.read_to_end(&mut Vec::new()).await;
    };
    let (joined, ()) = tokio::join!(take_over(&place), answer);
    std::fs::remove_file(place.hot_restart_socket()).unwrap();
    assert!(joined.is_none());
}
