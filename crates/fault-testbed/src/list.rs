//! The list service of a trial: whole lists and watches, so many calls a second, and what can go wrong with it.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use applewall_fakes::http::{self, Kind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::sync::watch;

use crate::fault::ListFault;
use crate::journal::{Journal, What};

/// What the service bears.
#[derive(Clone, Copy, Debug)]
pub struct Bears {
    /// Calls a second that it answers; 0: any number.
    pub calls_per_s: f64,
    /// How long one that is turned away waits for that.
    pub turned_after: Duration,
    /// What it tells those to wait, in its `Retry-After`; nothing where it is zero.
    pub retry_after: Duration,
}

/// Of an entry: an instance, where it stands, and what the service says of it.
#[derive(Clone, Debug)]
struct Entry {
    instance: usize,
    uid: String,
    zone: usize,
    boot_ms: u64,
    /// `None`: gone.
    state: Option<&'static str>,
    rev: u64,
}

#[derive(Clone, Debug, Default)]
struct State {
    rev: u64,
    entries: Vec<Entry>,
    faults: Vec<ListFault>,
    /// Counts restores.
    restored: u64,
}

/// The service.
pub struct List {
    state: watch::Sender<State>,
    bears: Bears,
    /// Calls that may come at once now, and when that was.
    saved: Mutex<(f64, f64)>,
    journal: Journal,
    seed: u64,
}

/// Where each instance listens for one ingress, by instance.
pub type Endpoints = Arc<Mutex<Vec<SocketAddr>>>;

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// The id that lists have for an instance.
pub fn uid(instance: usize) -> String {
    format!("s-{instance:04}")
}

fn target(entry: &Entry, endpoints: &Endpoints) -> Value {
    let endpoint = endpoints
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)[entry.instance];
    json!({"uid": entry.uid, "endpoint": endpoint.to_string(), "az": format!("z{}", entry.zone), "model": "m",
        "pod_group": 0, "state": entry.state.unwrap_or("terminated"), "capacity_hint": 1.0, "boot_ms": entry.boot_ms})
}

impl List {
    /// One with nothing on its list.
    pub fn new(bears: Bears, seed: u64, journal: &Journal) -> Arc<Self> {
        let saved = Mutex::new((List::at_once(bears), 0.0));
        Arc::new(List {
            state: watch::channel(State::default()).0,
            bears,
            saved,
            journal: journal.clone(),
            seed,
        })
    }

    /// A tenth of a second's calls are served though they come at once.
    fn at_once(bears: Bears) -> f64 {
        (bears.calls_per_s / 10.0).max(1.0)
    }

    /// An instance is there, since long ago or from now on; once more where it was there before.
    pub fn add(&self, instance: usize, zone: usize, cold: bool) {
        self.state.send_modify(|state| {
            state.rev += 1;
            let boot_ms = if cold { unix_ms() } else { 0 };
            let entry = Entry {
                instance,
                uid: uid(instance),
                zone,
                boot_ms,
                state: Some("in_service"),
                rev: state.rev,
            };
            state.entries.retain(|e| e.instance != instance);
            state.entries.push(entry);
        });
    }

    /// An instance drains (`terminating`) or is gone.
    pub fn mark(&self, instance: usize, draining: bool) {
        self.state.send_modify(|state| {
            state.rev += 1;
            let rev = state.rev;
            for entry in state.entries.iter_mut().filter(|e| e.instance == instance) {
                (entry.state, entry.rev) = (draining.then_some("terminating"), rev);
            }
        });
    }

    /// A fault begins or ends.
    pub fn fault(&self, fault: ListFault, on: bool) {
        self.state.send_modify(|state| {
            state.faults.retain(|f| *f != fault);
            if on {
                state.faults.push(fault);
                if fault == ListFault::GoesBack {
                    (state.rev, state.restored) = (1, state.restored + 1);
                    state.entries.iter_mut().for_each(|e| e.rev = 1);
                }
            }
        });
    }

    /// The whole list as one ingress would get it now, with its revision.
    pub fn whole(&self, endpoints: &Endpoints) -> (u64, Vec<Value>) {
        let state = self.state.borrow();
        let there = state.entries.iter().filter(|e| e.state.is_some());
        (state.rev, there.map(|e| target(e, endpoints)).collect())
    }

    /// True where one more call is within what the service bears.
    fn bears(&self) -> bool {
        if self.bears.calls_per_s <= 0.0 {
            return true;
        }
        let mut saved = self
            .saved
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let now = self.journal.now();
        let most = List::at_once(self.bears);
        *saved = (
            (saved.0 + (now - saved.1) * self.bears.calls_per_s).min(most),
            now,
        );
        let may = saved.0 >= 1.0;
        saved.0 -= f64::from(u8::from(may));
        may
    }

    /// Serves one connection of an ingress.
    ///
    /// # Errors
    ///
    /// What the stream says.
    pub async fn serve(
        self: Arc<Self>,
        mut stream: DuplexStream,
        ingress: usize,
        endpoints: Endpoints,
        number: u64,
    ) -> io::Result<()> {
        let mut rest = Vec::new();
        let mut rng = SmallRng::seed_from_u64(self.seed ^ (ingress as u64) << 32 ^ number);
        let mut state = self.state.subscribe();
        while let Some(request) = http::read(&mut stream, &mut rest, Kind::Request).await? {
            let after = request.query("after");
            self.journal.note(What::Call {
                ingress,
                whole: after.is_none(),
            });
            let _ = state
                .wait_for(|s| !s.faults.contains(&ListFault::Silent))
                .await;
            let faults = state.borrow().faults.clone();
            let share = |of: fn(&ListFault) -> f64| faults.iter().map(of).fold(0.0, f64::max);
            let away = share(|f| {
                if let ListFault::TurnsAway(share) = f {
                    *share
                } else {
                    0.0
                }
            });
            let breaks = share(|f| {
                if let ListFault::Breaks(share) = f {
                    *share
                } else {
                    0.0
                }
            });
            if !self.bears() || rng.random_bool(away) {
                tokio::time::sleep(self.bears.turned_after).await;
                let listed = What::Listed {
                    ingress,
                    whole: after.is_none(),
                    status: 503,
                    bytes: 0,
                    rev: 0,
                };
                self.journal.note(listed);
                let retry = match self.bears.retry_after {
                    Duration::ZERO => String::new(),
                    wait => format!("Retry-After: {}\r\n", wait.as_secs_f64().ceil()),
                };
                let no = format!("HTTP/1.1 503 Busy\r\n{retry}Content-Length: 0\r\n\r\n");
                stream.write_all(no.as_bytes()).await?;
                continue;
            }
            let restored = state.borrow().restored;
            if let (Some(after), Some(wait)) = (after, request.query("wait_ms")) {
                let newer = state.wait_for(|s| s.rev > after || s.restored != restored);
                let _ = tokio::time::timeout(Duration::from_millis(wait.min(60_000)), newer).await;
                // What is silent by now says nothing of what it knows.
                let _ = state
                    .wait_for(|s| !s.faults.contains(&ListFault::Silent))
                    .await;
            }
            let now = state.borrow_and_update().clone();
            let whole = after.is_none_or(|after| after > now.rev || now.restored != restored);
            let after = after.filter(|_| !whole).unwrap_or(0);
            let news = |e: &&Entry| {
                if whole {
                    e.state.is_some()
                } else {
                    e.rev > after
                }
            };
            let targets: Vec<Value> = now
                .entries
                .iter()
                .filter(news)
                .map(|e| target(e, &endpoints))
                .collect();
            let body = json!({"rev": now.rev, "all": whole, "targets": targets}).to_string();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if rng.random_bool(breaks) {
                stream
                    .write_all(&answer.as_bytes()[..answer.len() / 2])
                    .await?;
                return Ok(());
            }
            stream.write_all(answer.as_bytes()).await?;
            self.told(ingress, &now, whole, after, body.len());
        }
        Ok(())
    }

    fn told(&self, ingress: usize, now: &State, whole: bool, after: u64, bytes: usize) {
        self.journal.note(What::Listed {
            ingress,
            whole,
            status: 200,
            bytes,
            rev: now.rev,
        });
        let news = now.entries.iter().filter(|e| whole || e.rev > after);
        for entry in news.filter(|e| e.state != Some("in_service")) {
            self.journal.note(What::Told {
                ingress,
                instance: entry.instance,
            });
        }
    }
}
