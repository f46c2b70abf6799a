//! What passes between two processes, byte for byte (`tests/golden`).

#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use super::*;
use applewall::api::{Endpoint, EndpointState};
use applewall_admin::{LifecyclePhase, MaintenanceSet};

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

fn estate() -> Estate {
    let mut withheld = MaintenanceSet::default();
    let _ = (
        withheld.disable("s-1", true),
        withheld.disable("s \"2\"", true),
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
    Estate {
        now,
        withheld,
        drained: true,
        listed: listed.into(),
        module: MODULE.into(),
    }
}

fn is_whole(estate: &Estate) {
    assert_eq!(
        (estate.now, estate.drained, &estate.module[..]),
        (1_000_000_123_456_789, true, MODULE)
    );
    assert_eq!(
        estate.withheld.ids().map(|id| &**id).collect::<Vec<_>>(),
        ["s \"2\"", "s-1"]
    );
    assert_eq!(estate.listed.len(), LISTED.len());
    for ((m, at), meant) in estate.listed.iter().zip(LISTED) {
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
    Succession,
    mpsc::Receiver<Order>,
    Vec<Box<dyn std::any::Any>>,
) {
    let (orders, inbox) = mpsc::channel(4);
    let (drains, drains_in) = mpsc::channel(4);
    let (stage, stages) = watch::channel(LifecyclePhase::Draining);
    let (yes, ready) = watch::channel(true);
    let (role, roles) = watch::channel(Role::Sole);
    let (other, others) = watch::channel(None);
    let desk = Desk {
        orders: orders.clone(),
        drains,
        stages,
        ready: ready.clone(),
        listed: ready,
        place: None,
        other: others,
        turn: Arc::default(),
    };
    let place = Place::new(&format!("golden-{}", std::process::id()));
    let held: Vec<Box<dyn std::any::Any>> = vec![Box::new((drains_in, stage, yes, roles))];
    (
        Succession {
            place,
            role,
            other,
            desk,
            orders,
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
    let other = succession.desk.other.clone();
    let handing = async {
        let Some(Order::HandOver(reply)) = orders.recv().await else {
            panic!("not asked")
        };
        let _ = reply.send(Ok(Estate {
            drained: false,
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
                link.send(Relayed {
                    call,
                    reply: oneshot::channel().0,
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
    assert_eq!(*succession.role.borrow(), Role::Succeeded);
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
                    .parts()
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
        assert!(orders.try_recv().is_err() && *succession.role.borrow() == Role::Sole);
    }
}

#[tokio::test]
async fn one_that_finds_another_version_starts_with_nothing() {
    let place = succession().0.place;
    let listener = UnixListener::bind(place.socket()).unwrap();
    let answer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream
            .write_all(&framed(b"AWE0", ESTATE.len(), ESTATE))
            .await
            .unwrap();
        let _ = stream.read_to_end(&mut Vec::new()).await;
    };
    let (joined, ()) = tokio::join!(join(&place), answer);
    std::fs::remove_file(place.socket()).unwrap();
    assert!(joined.is_none());
}
