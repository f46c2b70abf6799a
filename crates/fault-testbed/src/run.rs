//! Plays a trial: builds its world, starts the processes, lets the faults come, and gathers the journal.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::capacity::Model;
use crate::check::{self, Figures, Rules};
use crate::clients::{Clients, Habits};
use crate::fault::Known;
use crate::journal::{Journal, Line, What};
use crate::parts::Layout;
use crate::process::Ingress;
use crate::trial::Trial;
use crate::world::World;

/// Between looks at processes, faults that wait for something, and the rig's own lateness.
pub(crate) const LOOK: Duration = Duration::from_millis(20);
/// By which the rig may wake up late before its trial says nothing.
const LATE_MS: u64 = 150;

/// What became of a trial.
pub struct Played {
    /// The journal.
    pub lines: Vec<Line>,
    /// What broke, by rule.
    pub broken: Vec<String>,
    /// Its figures.
    pub figures: Figures,
    /// By how many milliseconds the rig itself was late at the worst.
    pub late_ms: u64,
    /// What the checkers went by.
    pub rules: Rules,
    /// Sizes.
    pub layout: Layout,
    /// Each ingress's log.
    pub logs: Vec<String>,
    /// Processor seconds of all ingresses that ran at the end, and the highest peak of memory in bytes.
    pub cost: (f64, u64),
}

impl Played {
    /// True where the machine could play the trial: only then it says anything.
    pub fn valid(&self) -> bool {
        self.late_ms <= self.rules.late_ms
    }
}

/// What a trial's limit servers are like.
pub fn model(trial: &Trial) -> Model {
    let servers = &trial.instance;
    Model {
        cores: servers.cores,
        room: servers.room,
        work: servers.work.0.as_secs_f64(),
        dial: servers.dial.0.as_secs_f64(),
        connections: servers.connections,
        cold_share: servers.cold_share,
        cold_time: servers.cold_time.0.as_secs_f64(),
        fall_multiple: 2.5,
        fall_window: 3.0,
    }
}

/// What the checkers go by.
pub fn rules(trial: &Trial) -> Rules {
    let ceiling = trial.traffic.ceiling;
    Rules {
        model: model(trial),
        drain: 0.5 + check::GRACE,
        ceiling: (ceiling, 2.0 * ceiling, (0.2 * ceiling).max(1.0)),
        wanted: trial.traffic.wanted.0.as_secs_f64(),
        late_ms: LATE_MS,
    }
}

/// Plays it with this program; files go into `folder`.
///
/// # Errors
///
/// What the system says: then nothing was played.
pub async fn play(trial: Trial, program: &Path, folder: &Path) -> io::Result<Played> {
    let world = World::build(trial, program, folder).await?;
    world.clone().begin()?;
    let asking = {
        let (trial, ready) = (
            &world.trial,
            (world.trial.trial.ready * world.layout.ingresses as f64) as usize,
        );
        let wait = async {
            while world.lock_ready().len() < ready {
                tokio::time::sleep(LOOK).await;
            }
        };
        let _ = tokio::time::timeout(Duration::from_secs(30), wait).await;
        let habits = Habits {
            rate: trial.traffic.rate,
            customers: trial.traffic.customers,
            spread: trial.traffic.spread,
            again: trial.traffic.again,
            patience: trial.traffic.patience.0,
        };
        let doors = world
            .lock_ingresses()
            .iter()
            .map(|i| i.seat.listen)
            .collect();
        let clients = Clients::new(habits, doors, &world.net, &world.journal);
        tokio::spawn(clients.play(trial.trial.time.0, trial.trial.seed ^ 0xc11e))
    };
    asking.await.map_err(io::Error::other)?;
    Ok(world.end())
}

/// Reads a trial and plays it on a runtime of its own, in a folder that goes with it.
///
/// # Errors
///
/// What is wrong with the trial, or what the system says.
pub fn play_text(text: &str, program: &Path) -> Result<Played, String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    runtime
        .block_on(play(Trial::read(text)?, program, folder.path()))
        .map_err(|e| e.to_string())
}

impl World {
    /// Starts all processes and what watches them.
    fn begin(self: Arc<Self>) -> io::Result<()> {
        let known: Known = self.trial.ingress.known.parse().map_err(io::Error::other)?;
        (0..self.layout.ingresses).try_for_each(|i| self.start_ingress(i, known))?;
        let names: Vec<String> = self.trial.faults.keys().cloned().collect();
        for (i, name) in names.into_iter().enumerate() {
            let (this, seed) = (self.clone(), self.trial.trial.seed ^ (i as u64 + 1) << 8);
            tokio::spawn(async move { this.fault(name, seed).await });
        }
        tokio::spawn(self.clone().watch());
        // A thread of its own: what is late is the machine, not the runtime's other work.
        tokio::spawn(lateness(self.journal.clone()));
        Ok(())
    }

    pub(crate) fn start_ingress(self: &Arc<Self>, i: usize, known: Known) -> io::Result<()> {
        let (rev, targets) = match known {
            Known::None => (0, Vec::new()),
            Known::Old => self.old[i].clone(),
            Known::Current => self.list.whole(&self.endpoints[i]),
        };
        let mut all = self.lock_ingresses();
        all[i].start(rev, &targets)?;
        let known = (known != Known::None).then_some(rev);
        self.journal.note(What::Started { ingress: i, known });
        let (this, door) = (self.clone(), all[i].seat.listen);
        tokio::spawn(async move {
            while !healthy(door).await {
                tokio::time::sleep(LOOK).await;
            }
            this.journal.note(What::Ready { ingress: i });
            this.lock_ready().insert(i);
        });
        Ok(())
    }

    /// Tells of processes that end by themselves.
    async fn watch(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            let mut all = self.lock_ingresses();
            for (ingress, status) in all
                .iter_mut()
                .filter_map(|i| Some((i.seat.number, i.ended()?)))
            {
                self.journal.note(What::Crashed {
                    ingress,
                    status: status.to_string(),
                });
            }
        }
    }

    /// Ends the processes and judges the journal.
    fn end(&self) -> Played {
        let mut ingresses = self.lock_ingresses();
        let cost = ingresses.iter().filter_map(Ingress::cost);
        let cost = cost.fold((0.0, 0), |(cpu, peak), (c, p)| (cpu + c, u64::max(peak, p)));
        let lines = self.journal.lines();
        for ingress in ingresses.iter_mut() {
            ingress.kill();
        }
        let rules = rules(&self.trial);
        Played {
            broken: check::rules(&lines, &rules),
            figures: check::figures(&lines, &rules),
            late_ms: check::lateness(&lines),
            rules,
            layout: self.layout,
            logs: ingresses.iter().map(Ingress::log).collect(),
            cost,
            lines,
        }
    }
}

/// Asks an ingress whether it is ready.
async fn healthy(door: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(door).await?;
        stream
            .write_all(b"GET /healthz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            .await?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await?;
        Ok::<_, io::Error>(&head == b"HTTP/1.1 200")
    };
    matches!(
        tokio::time::timeout(Duration::from_secs(1), ask).await,
        Ok(Ok(true))
    )
}

/// Writes down by how much a sleep of the rig ends late, where that is worth a line.
async fn lateness(journal: Journal) {
    let mut told = 5;
    loop {
        let before = tokio::time::Instant::now();
        tokio::time::sleep(LOOK).await;
        let ms = before.elapsed().saturating_sub(LOOK).as_millis() as u64;
        if ms > told {
            told = ms;
            journal.note(What::Late { ms });
        }
    }
}

/// Where the daemon's program lies beside this one, as cargo lays them.
///
/// # Errors
///
/// There is none.
pub fn program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join("applewall"))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        format!(
            "no program 'applewall' beside {}; build it first: make build",
            own.display()
        )
    })
}
