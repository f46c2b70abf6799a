//! The limit servers of a trial: cores, a waiting room, connections that cost, a cold start that can push them over.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use applewall_fakes::http::{self, Kind};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::{watch, Semaphore};

use crate::capacity::{Life, Model};
use crate::journal::{Journal, What};

/// A life that began long before the trial.
const LONG_AGO: f64 = -1e6;

/// A limit server.
pub struct Instance {
    number: usize,
    model: Model,
    life: Mutex<Life>,
    /// Counts its lives; connections of an earlier one are over. None while it is down.
    lives: watch::Sender<Option<u64>>,
    cores: Semaphore,
    inside: AtomicUsize,
    connections: AtomicUsize,
    mute: AtomicBool,
    fails: AtomicBool,
    journal: Journal,
}

/// Counts down when it goes.
struct Counted<'a>(&'a AtomicUsize);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Notes the end of an attempt, however it ends.
struct Out<'a>(&'a Instance, u64, usize);

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.0.journal.note(What::Over {
            request: self.1,
            instance: self.0.number,
            ingress: self.2,
        });
    }
}

impl Instance {
    /// One that has just started, or long ago.
    pub fn start(number: usize, model: Model, cold: bool, journal: &Journal) -> Arc<Self> {
        let started = if cold { journal.now() } else { LONG_AGO };
        journal.note(What::Life {
            instance: number,
            cold,
        });
        Arc::new(Instance {
            number,
            model,
            life: Mutex::new(Life::new(model, started)),
            lives: watch::channel(Some(0)).0,
            cores: Semaphore::new(model.cores),
            inside: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            mute: AtomicBool::new(false),
            fails: AtomicBool::new(false),
            journal: journal.clone(),
        })
    }

    /// True while it takes connections.
    pub fn up(&self) -> bool {
        self.lives.borrow().is_some()
    }

    /// Begins a new life, cold.
    pub fn restart(&self) {
        *self.life() = Life::new(self.model, self.journal.now());
        self.journal.note(What::Life {
            instance: self.number,
            cold: true,
        });
        self.lives
            .send_modify(|life| *life = Some(life.map_or(0, |l| l + 1)));
    }

    /// Ends.
    pub fn end(&self) {
        if self.lives.send_replace(None).is_some() {
            self.journal.note(What::Died {
                instance: self.number,
            });
        }
    }

    /// Accepts and never answers, or answers again.
    pub fn mute(&self, mute: bool) {
        self.mute.store(mute, Ordering::Relaxed);
    }

    /// Answers 500 at once, or serves again.
    pub fn fails(&self, fails: bool) {
        self.fails.store(fails, Ordering::Relaxed);
    }

    fn life(&self) -> std::sync::MutexGuard<'_, Life> {
        self.life
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Work arrives; false where the server is over.
    fn arrives(&self, requests: f64) -> bool {
        let stands = self.life().arrive(self.journal.now(), requests);
        if !stands && self.up() {
            self.journal.note(What::Fell {
                instance: self.number,
            });
            self.lives.send_replace(None);
        }
        stands
    }

    /// Serves one connection of an ingress until either side ends it.
    pub async fn serve(self: Arc<Self>, mut stream: DuplexStream, ingress: usize) {
        let mut lives = self.lives.subscribe();
        let life = *lives.borrow_and_update();
        self.journal.note(What::Opened {
            instance: self.number,
            ingress,
        });
        self.connections.fetch_add(1, Ordering::Relaxed);
        let _counted = Counted(&self.connections);
        if life.is_none() || !self.arrives(self.model.dial / self.model.work) {
            return;
        }
        tokio::select! {
            _ = self.requests(&mut stream, ingress) => {}
            _ = lives.wait_for(|now| *now != life) => {}
        }
    }

    async fn requests(&self, stream: &mut DuplexStream, ingress: usize) -> io::Result<()> {
        let mut rest = Vec::new();
        let mut dial = self.model.dial;
        while let Some(request) = http::read(stream, &mut rest, Kind::Request).await? {
            let Some(id) = request
                .header("x-correlation-id")
                .and_then(|id| u64::from_str_radix(id, 16).ok())
            else {
                stream
                    .write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    .await?;
                continue;
            };
            self.journal.note(What::Attempt {
                request: id,
                instance: self.number,
                ingress,
            });
            let _out = Out(self, id, ingress);
            if !self.arrives(1.0) {
                return Ok(());
            }
            if self.fails.load(Ordering::Relaxed) {
                stream
                    .write_all(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
                    .await?;
                continue;
            }
            let full = self.connections.load(Ordering::Relaxed) > self.model.connections;
            if full || self.inside.load(Ordering::Relaxed) >= self.model.room {
                let no = b"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(no).await?;
                continue;
            }
            self.inside.fetch_add(1, Ordering::Relaxed);
            let _counted = Counted(&self.inside);
            // Work of a request that is given up on stops.
            let mut byte = [0];
            tokio::select! {
                () = self.work(dial) => {}
                _ = stream.read(&mut byte) => return Ok(()),
            }
            dial = 0.0;
            let busy = 1.0 - self.cores.available_permits() as f64 / self.model.cores as f64;
            let body = format!("{id:016x} by {}", self.number);
            let length = body.len();
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Backend-Load: util={busy:.2}\r\nContent-Length: {length}\r\n\r\n"
            );
            stream.write_all((head + &body).as_bytes()).await?;
        }
        Ok(())
    }

    async fn work(&self, dial: f64) {
        let Ok(_core) = self.cores.acquire().await else {
            return;
        };
        let takes = self.life().takes(self.journal.now()) * (1.0 + dial / self.model.work);
        tokio::time::sleep(Duration::from_secs_f64(takes)).await;
        if self.mute.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}
