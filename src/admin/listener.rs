//! The operators' second address: one line a connection, one line back, within a second whatever the load.
//!
//! Calls about instances go to the engine by a queue of their own, calls about the drain to the one who leads the
//! stages. Nothing here decides.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use applewall_admin::{
    AdminCommand, AdminResponse, CommandError, LifecyclePhase, MaintenanceSet,
    MAX_COMMAND_LINE_BYTES,
};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, LinesCodec, LinesCodecError};

use crate::lifecycle::process_role::{relay, Estate, Other};
use crate::lifecycle::shared_directory::Place;
use crate::server::acceptor;

/// Callers held at once; their descriptors are in what the budget keeps back.
const CALLERS: usize = 12;
/// Callers that the kernel holds beyond these.
const BACKLOG: u32 = 128;
/// A caller that sent no whole call goes after this.
const PATIENCE: Duration = Duration::from_secs(10);
/// An answer is owed in 1 s; what is not decided by then is told as that.
const OWED: Duration = Duration::from_millis(800);
/// A caller has this long to take its answer.
const TAKING: Duration = Duration::from_secs(2);
/// Wait after an error of `accept`, so that a lasting one does not spin.
const PAUSE: Duration = Duration::from_millis(20);
/// Calls that wait for the engine: it empties this queue first.
const QUEUE: usize = 16;

/// What the engine is to do before all else.
pub(crate) enum Order {
    /// What an operator wants of an instance.
    Instance(Instance),
    /// Hand all over that is the engine's.
    HandOver(oneshot::Sender<Result<Estate, String>>),
    /// The one that it was handed to has failed.
    TakeBack,
}

/// What an operator wants of an instance.
pub(crate) struct Instance {
    pub id: String,
    /// ShutdownMode it out, or let it serve again.
    pub withhold: bool,
    /// The other process knows the id, whatever this one's list says.
    pub known: bool,
    /// The answer, and the ledger as it is then.
    pub reply: oneshot::Sender<(AdminResponse, MaintenanceSet)>,
}

/// What an operator wants of the drain, for the one who leads the stages.
pub(crate) struct Drain {
    pub on: bool,
    pub reply: oneshot::Sender<AdminResponse>,
}

/// Where calls go.
#[derive(Clone)]
pub(crate) struct Desk {
    pub orders: mpsc::Sender<Order>,
    pub drains: mpsc::Sender<Drain>,
    pub stages: watch::Receiver<LifecyclePhase>,
    /// True once this process can serve.
    pub ready: watch::Receiver<bool>,
    /// There is a list to decide from.
    pub listed: watch::Receiver<bool>,
    /// Where the ledger is kept, if it is.
    pub place: Option<Place>,
    /// The way to the process before or after this one.
    pub other: Other,
    /// One call about instances at a time: what is written last is what was decided last.
    pub turn: Arc<tokio::sync::Mutex<()>>,
}

/// The other ends of a desk's queues.
pub(crate) struct Inboxes {
    pub orders: mpsc::Receiver<Order>,
    pub drains: mpsc::Receiver<Drain>,
}

/// The queues between the second address and those who carry out its calls.
pub(crate) fn queues() -> (mpsc::Sender<Order>, mpsc::Sender<Drain>, Inboxes) {
    let (orders, orders_in) = mpsc::channel(QUEUE);
    let (drains, drains_in) = mpsc::channel(QUEUE);
    (
        orders,
        drains,
        Inboxes {
            orders: orders_in,
            drains: drains_in,
        },
    )
}

/// Listens at the second address.
pub(crate) fn bind(address: &mut SocketAddr) -> Result<TcpListener, String> {
    acceptor::listen(address, BACKLOG)
        .map_err(|e| format!("operator: cannot listen on {address}: {e}"))
}

/// One caller, for as long as it has not said what it wants.
struct Caller {
    go: Notify,
    heard: AtomicBool,
}

/// Serves callers for as long as the program runs.
pub(crate) async fn serve(listener: TcpListener, desk: Desk) {
    let callers: Arc<Mutex<VecDeque<Arc<Caller>>>> = Arc::default();
    let mut failing = false;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Once a spell: a lasting error must not flood the log.
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!("operator: accept: {e}");
                }
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        failing = false;
        let caller = Arc::new(Caller {
            go: Notify::new(),
            heard: AtomicBool::new(false),
        });
        {
            let mut callers = lock(&callers);
            // Guards against callers that hold a place with half a line: the longest silent goes, and none whose
            // call is being carried out. Where all are, the newcomer waits no longer than their second.
            if callers.len() >= CALLERS {
                if let Some(i) = callers
                    .iter()
                    .position(|c| !c.heard.load(Ordering::Relaxed))
                {
                    callers
                        .remove(i)
                        .into_iter()
                        .for_each(|c| c.go.notify_one());
                }
            }
            callers.push_back(caller.clone());
        }
        let (desk, callers) = (desk.clone(), callers.clone());
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = caller.go.notified() => {}
                () = attend(stream, &caller, &desk) => {}
            }
            lock(&callers).retain(|c| !Arc::ptr_eq(c, &caller));
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // Nothing panics while it holds the lock; if it did, the state would still be whole.
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// One call, from its first byte to its answer.
async fn attend(mut stream: TcpStream, caller: &Caller, desk: &Desk) {
    let _ = stream.set_nodelay(true);
    // Otherwise it left, or never said what it wants.
    let Ok(Some(line)) = timeout(PATIENCE, read(&mut stream)).await else {
        return;
    };
    caller.heard.store(true, Ordering::Relaxed);
    let answer = match line.and_then(|line| line.parse().map_err(|e: CommandError| e.to_string())) {
        Ok(call) => desk.carry_out(call).await,
        Err(why) => AdminResponse::Error(why),
    };
    let take = async {
        stream.write_all(format!("{answer}\n").as_bytes()).await?;
        stream.shutdown().await?;
        // What came after the line is passed over: closing with it unread would take the answer along.
        let mut rest = [0; 512];
        while stream.read(&mut rest).await? > 0 {}
        Ok::<_, std::io::Error>(())
    };
    let _ = timeout(TAKING, take).await;
}

/// The one line of a caller; none where it left without one.
async fn read(stream: &mut TcpStream) -> Option<Result<String, String>> {
    let (mut codec, mut bytes) = (
        LinesCodec::new_with_max_length(MAX_COMMAND_LINE_BYTES),
        BytesMut::with_capacity(MAX_COMMAND_LINE_BYTES),
    );
    loop {
        let ended = stream.read_buf(&mut bytes).await.ok()? == 0;
        let line = if ended {
            codec.decode_eof(&mut bytes)
        } else {
            codec.decode(&mut bytes)
        };
        match line {
            Ok(Some(line)) => return Some(Ok(line)),
            Ok(None) if ended => return None,
            Ok(None) => {}
            Err(LinesCodecError::MaxLineLengthExceeded) => {
                return Some(Err(format!(
                    "the line is longer than {MAX_COMMAND_LINE_BYTES} bytes"
                )));
            }
            Err(LinesCodecError::Io(_)) => return Some(Err("the line is not UTF-8".to_string())),
        }
    }
}

impl Desk {
    /// Carries a call out here, and then in the other process where there is one.
    async fn carry_out(&self, call: AdminCommand) -> AdminResponse {
        let line = match &call {
            AdminCommand::Ready => None,
            AdminCommand::Disable(id) => Some(format!("DISABLE {id}")),
            AdminCommand::Enable(id) => Some(format!("ENABLE {id}")),
            AdminCommand::Drain => Some("DRAIN".to_string()),
            AdminCommand::Undrain => Some("UNDRAIN".to_string()),
        };
        let carried = timeout(OWED, async {
            let answer = self.carry_out_here(call, false).await;
            if let (AdminResponse::Done(_), Some(line)) = (&answer, line) {
                relay(&self.other, line).await;
            }
            answer
        });
        let late = "not decided in time; it may still come into force, so ask again";
        carried
            .await
            .unwrap_or_else(|_| AdminResponse::Error(late.to_string()))
    }

    /// Carries a call out in this process alone; `known`: the id is known to the other one.
    pub(crate) async fn carry_out_here(&self, call: AdminCommand, known: bool) -> AdminResponse {
        match call {
            AdminCommand::Ready => self.ready(),
            AdminCommand::Disable(id) => self.order(id, true, known).await,
            AdminCommand::Enable(id) => self.order(id, false, known).await,
            AdminCommand::Drain => self.drain(true).await,
            AdminCommand::Undrain => self.drain(false).await,
        }
    }

    fn ready(&self) -> AdminResponse {
        let stage = *self.stages.borrow();
        match (
            *self.ready.borrow() && *self.listed.borrow(),
            stage.is_stopping(),
        ) {
            (_, true) => AdminResponse::Error("this process was told to stop".to_string()),
            (false, _) => AdminResponse::Error(
                "not yet: this process still takes over from the one before".to_string(),
            ),
            (true, _) => AdminResponse::Done(stage.as_str().to_string()),
        }
    }

    async fn order(&self, id: String, withhold: bool, known: bool) -> AdminResponse {
        let _turn = self.turn.lock().await;
        let (reply, answer) = oneshot::channel();
        if self
            .orders
            .send(Order::Instance(Instance {
                id,
                withhold,
                known,
                reply,
            }))
            .await
            .is_err()
        {
            return stopped();
        }
        let Ok((answer, ledger)) = answer.await else {
            return stopped();
        };
        match (answer, &self.place) {
            (AdminResponse::Done(what), Some(place)) => match place.write(&ledger) {
                Ok(()) => AdminResponse::Done(what),
                // In force, and handed over at an upgrade; only a process that finds nobody would not know.
                Err(why) => {
                    tracing::warn!("state: {why}");
                    AdminResponse::Done(format!("{what}; not written down: {why}"))
                }
            },
            (answer, _) => answer,
        }
    }

    async fn drain(&self, on: bool) -> AdminResponse {
        let (reply, answer) = oneshot::channel();
        if self.drains.send(Drain { on, reply }).await.is_err() {
            return stopped();
        }
        answer.await.unwrap_or_else(|_| stopped())
    }
}

fn stopped() -> AdminResponse {
    AdminResponse::Error("this process is about to end".to_string())
}
