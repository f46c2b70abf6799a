//! Faults as they come: what each waits for, what it does, and what ends it.

#![expect(
    clippy::excessive_nesting,
    reason = "deep nesting is flattened as the module is reworked"
)]
#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::net::UdpSocket;

use crate::fault::{Fault, Kind, When};
use crate::journal::{Line, What};
use crate::net::Rule;
use crate::parts::{Part, Set};
use crate::run::LOOK;
use crate::world::World;

/// What strangers send: words as peers write them, of a service that is busy and of one just started that asks; one cut
/// short, one of no use, bytes that are no text, one too long.
const FOREIGN: [&[u8]; 6] = [
    b"T1 6 0 99 500",
    b"T1 1 0 - 0",
    b"T1 6",
    b"\0\0",
    b"\xff\xfe\xfd",
    &[b'x'; 300],
];
/// Between a stranger's datagrams to one ingress.
const FOREIGN_EVERY: Duration = Duration::from_millis(50);

impl World {
    async fn when(&self, when: When) {
        let distinct = |lines: &[Line]| {
            let listed = lines.iter().filter_map(|l| match l.what {
                What::Listed {
                    ingress,
                    status: 200,
                    ..
                } => Some(ingress),
                _ => None,
            });
            listed.collect::<BTreeSet<_>>().len()
        };
        let served = |l: &&Line| {
            matches!(
                l.what,
                What::Final {
                    status: Some(200),
                    ..
                }
            )
        };
        match when {
            When::At(at) => {
                tokio::time::sleep(at.saturating_sub(Duration::from_secs_f64(self.journal.now())))
                    .await;
            }
            When::Listed(many) => {
                while self.journal.look(distinct) < many {
                    tokio::time::sleep(LOOK).await;
                }
            }
            When::Served(many) => {
                while self
                    .journal
                    .look(|lines| lines.iter().filter(served).count())
                    < many
                {
                    tokio::time::sleep(LOOK).await;
                }
            }
        }
    }

    pub(crate) async fn fault(self: Arc<Self>, name: String, seed: u64) {
        let fault: Fault = self.trial.faults[&name].clone();
        let mut rng = SmallRng::seed_from_u64(seed);
        self.when(fault.when).await;
        self.journal.note(What::Fault {
            name: name.clone(),
            on: true,
        });
        let end = self.clone().set(&name, &fault.kind, &mut rng).await;
        if let Some(lasts) = fault.lasts {
            tokio::time::sleep(lasts).await;
            end();
            self.journal.note(What::Fault { name, on: false });
        }
    }

    /// Sets a fault; what ends it is returned.
    async fn set(
        self: Arc<Self>,
        name: &str,
        kind: &Kind,
        rng: &mut SmallRng,
    ) -> Box<dyn FnOnce() + Send> {
        let this = self.clone();
        let ingresses = |set: &Set, rng: &mut SmallRng| -> Vec<usize> {
            let parts = set.draw(self.layout, rng).into_iter();
            parts
                .filter_map(|p| {
                    if let Part::Ingress(i) = p {
                        Some(i)
                    } else {
                        None
                    }
                })
                .collect()
        };
        let instances = |set: &Set, rng: &mut SmallRng| -> Vec<usize> {
            let parts = set.draw(self.layout, rng).into_iter();
            parts
                .filter_map(|p| {
                    if let Part::Instance(i) = p {
                        Some(i)
                    } else {
                        None
                    }
                })
                .collect()
        };
        match kind {
            Kind::Link {
                from,
                to,
                both,
                condition,
            } => {
                let (from, to) = (from.draw(self.layout, rng), to.draw(self.layout, rng));
                let rule = Rule {
                    name: name.to_string(),
                    from,
                    to,
                    both: *both,
                    condition: *condition,
                };
                self.net.set(rule);
                let name = name.to_string();
                Box::new(move || this.net.clear(&name))
            }
            Kind::Kill { who, again } => {
                let who = ingresses(who, rng);
                for i in &who {
                    let mut all = self.lock_ingresses();
                    if all[*i].there() {
                        // Written down first: what waits there ends with it, seen by others at once, and would look
                        // like an answer that a living process owed.
                        self.journal.note(What::Killed { ingress: *i });
                        all[*i].kill();
                    }
                }
                if let Some((after, known)) = again {
                    tokio::time::sleep(*after).await;
                    for i in who {
                        if let Err(e) = self.start_ingress(i, *known) {
                            self.journal.note(What::Crashed {
                                ingress: i,
                                status: e.to_string(),
                            });
                        }
                    }
                }
                Box::new(|| {})
            }
            Kind::Stop { who } => {
                let who = ingresses(who, rng);
                for i in &who {
                    self.lock_ingresses()[*i].signal(libc::SIGSTOP);
                    self.journal.note(What::Stopped {
                        ingress: *i,
                        on: true,
                    });
                }
                Box::new(move || {
                    for i in &who {
                        // Told first: what it answers from then on is owed.
                        this.journal.note(What::Stopped {
                            ingress: *i,
                            on: false,
                        });
                        this.lock_ingresses()[*i].signal(libc::SIGCONT);
                    }
                })
            }
            Kind::List(fault) => {
                let fault = *fault;
                self.list.fault(fault, true);
                Box::new(move || this.list.fault(fault, false))
            }
            Kind::Restart { who } => {
                for i in instances(who, rng) {
                    let instance = self.lock_instances()[i].clone();
                    instance.restart();
                    self.list.add(i, i % self.layout.zones, true);
                }
                Box::new(|| {})
            }
            Kind::Replace { who } => {
                for i in instances(who, rng) {
                    self.remove(i);
                    let _ = self.add_instance(true).await;
                }
                Box::new(|| {})
            }
            Kind::Remove { who } => {
                instances(who, rng).into_iter().for_each(|i| self.remove(i));
                Box::new(|| {})
            }
            Kind::Fails { who } => {
                let who = instances(who, rng);
                let set = move |world: &World, fails| {
                    who.iter()
                        .for_each(|i| world.lock_instances()[*i].fails(fails));
                };
                set(&self, true);
                Box::new(move || set(&this, false))
            }
            Kind::Foreign { who } => {
                let doors: Vec<SocketAddr> = ingresses(who, rng)
                    .iter()
                    .map(|i| self.lock_ingresses()[*i].seat.peer_listen)
                    .collect();
                let stranger = tokio::spawn(foreign(doors));
                Box::new(move || stranger.abort())
            }
            Kind::Mute { who } => {
                let who = instances(who, rng);
                let set = move |world: &World, mute| {
                    who.iter()
                        .for_each(|i| world.lock_instances()[*i].mute(mute));
                };
                set(&self, true);
                Box::new(move || set(&this, false))
            }
        }
    }

    fn remove(&self, instance: usize) {
        self.list.mark(instance, false);
        let instance = self.lock_instances()[instance].clone();
        instance.end();
    }
}

/// Sends these doors what no peer sent, from an address that is no peer's, until it is ended.
async fn foreign(doors: Vec<SocketAddr>) {
    let Ok(socket) = UdpSocket::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await else {
        return;
    };
    for text in FOREIGN.iter().cycle() {
        for door in &doors {
            let _ = socket.send_to(text, door).await;
        }
        tokio::time::sleep(FOREIGN_EVERY).await;
    }
}
