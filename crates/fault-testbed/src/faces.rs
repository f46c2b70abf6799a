//! Datagrams through links: one face for each ingress, which is the address that its peers know it by.
//!
//! What ingress `i` sends to `j` comes in at `j`'s face and goes out from `i`'s: the receiver sees the sender that it
//! knows. An ingress takes in only so many a second; what is beyond is dropped here, as the platform does.

#![expect(
    clippy::excessive_nesting,
    reason = "deep nesting is flattened as the module is reworked"
)]
#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::missing_errors_doc,
    reason = "errors are documented as they are typed"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::journal::{Journal, What};
use crate::net::Net;
use crate::parts::Part;

/// What the platform lets a datagram have; a longer one would void a trial.
const MOST: usize = 256;

struct Intake {
    taken: AtomicU64,
    dropped: AtomicU64,
}

/// The faces of all ingresses.
pub struct Faces {
    sockets: Vec<Arc<UdpSocket>>,
}

impl Faces {
    /// Binds one on a free port of each of these addresses.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn bind(at: impl Iterator<Item = std::net::IpAddr>) -> io::Result<Self> {
        let mut sockets = Vec::new();
        for at in at {
            sockets.push(Arc::new(UdpSocket::bind(SocketAddr::new(at, 0)).await?));
        }
        Ok(Faces { sockets })
    }

    /// Their addresses, by ingress.
    pub fn addresses(&self) -> io::Result<Vec<SocketAddr>> {
        self.sockets.iter().map(|s| s.local_addr()).collect()
    }

    /// Leads datagrams between these real addresses for as long as the runtime lives.
    pub fn lead(self, real: Vec<SocketAddr>, net: &Net, per_s: f64, seed: u64, journal: &Journal) {
        let (sockets, real) = (Arc::new(self.sockets), Arc::new(real));
        for (to, socket) in sockets.iter().cloned().enumerate() {
            let intake = Arc::new(Intake {
                taken: AtomicU64::new(0),
                dropped: AtomicU64::new(0),
            });
            tokio::spawn(tell(to, intake.clone(), journal.clone()));
            let (sockets, real, net) = (sockets.clone(), real.clone(), net.clone());
            tokio::spawn(async move {
                let mut rng = SmallRng::seed_from_u64(seed ^ (to as u64) << 32);
                let links: Vec<_> = (0..real.len())
                    .map(|from| net.link(Part::Ingress(from), Part::Ingress(to)))
                    .collect();
                let (mut saved, mut at) = (per_s, Instant::now());
                let mut buffer = [0; 2048];
                loop {
                    let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                        continue;
                    };
                    let Some(from) = real.iter().position(|r| *r == sender) else {
                        continue;
                    };
                    let condition = links[from].now();
                    let copies = 1 + usize::from(rng.random_bool(condition.twice));
                    for _ in 0..copies {
                        if length > MOST || condition.silent || rng.random_bool(condition.loss) {
                            continue;
                        }
                        saved = (saved + at.elapsed().as_secs_f64() * per_s).min(per_s);
                        at = Instant::now();
                        if saved < 1.0 {
                            intake.dropped.fetch_add(1, Ordering::Relaxed);
                            continue;
                        }
                        saved -= 1.0;
                        intake.taken.fetch_add(1, Ordering::Relaxed);
                        let length = if rng.random_bool(condition.torn) {
                            length / 2
                        } else {
                            length
                        };
                        let late = condition.delay + condition.spread.mul_f64(rng.random());
                        let (face, text, to) =
                            (sockets[from].clone(), buffer[..length].to_vec(), real[to]);
                        if late.is_zero() {
                            let _ = face.try_send_to(&text, to);
                            continue;
                        }
                        tokio::spawn(async move {
                            tokio::time::sleep(late).await;
                            let _ = face.send_to(&text, to).await;
                        });
                    }
                }
            });
        }
    }
}

/// Writes down once a second what came in.
async fn tell(ingress: usize, intake: Arc<Intake>, journal: Journal) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let taken = intake.taken.swap(0, Ordering::Relaxed);
        let dropped = intake.dropped.swap(0, Ordering::Relaxed);
        if taken + dropped > 0 {
            journal.note(What::Mail {
                ingress,
                taken,
                dropped,
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::{Condition, Rule};

    #[tokio::test]
    async fn the_receiver_sees_the_senders_face_and_a_cut_way_loses_what_is_sent() {
        let net = Net::default();
        let local = || std::net::IpAddr::from([127, 0, 0, 1]);
        let faces = Faces::bind((0..2).map(|_| local())).await.expect("faces");
        let known = faces.addresses().expect("addresses");
        let a = UdpSocket::bind((local(), 0)).await.expect("a");
        let b = UdpSocket::bind((local(), 0)).await.expect("b");
        let real = vec![a.local_addr().expect("a"), b.local_addr().expect("b")];
        faces.lead(real, &net, 40.0, 1, &Journal::begin());
        let cut = Condition {
            silent: true,
            ..Condition::default()
        };
        let (from, to) = ([Part::Ingress(1)].into(), [Part::Ingress(0)].into());
        net.set(Rule {
            name: "cut".into(),
            from,
            to,
            both: false,
            condition: cut,
        });
        let mut buffer = [0; 16];
        b.send_to(b"lost", known[0]).await.expect("sent");
        a.send_to(b"hears", known[1]).await.expect("sent");
        let (length, sender) = b.recv_from(&mut buffer).await.expect("comes");
        assert_eq!((&buffer[..length], sender), (&b"hears"[..], known[0]));
        net.clear("cut");
        // In order on one socket: had the first been passed on, it would come before this one.
        b.send_to(b"again", known[0]).await.expect("sent");
        let (length, sender) = a.recv_from(&mut buffer).await.expect("comes");
        assert_eq!((&buffer[..length], sender), (&b"again"[..], known[1]));
    }
}
