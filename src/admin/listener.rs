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

use applewall_admin::{Answer, Call, Ledger, Stage, LINE_MOST};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, LinesCodec, LinesCodecError};

use crate::lifecycle::process_role::{relay, OtherProcess, TransferredState};
use crate::lifecycle::shared_directory::SharedDirectory;
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
pub(crate) enum ControlMessage {
    /// What an operator wants of an instance.
    SetMaintenance(MaintenanceRequest),
    /// Hand all over that is the engine's.
    ExportState(oneshot::Sender<Result<TransferredState, String>>),
    /// The one that it was handed to has failed.
    ResumeOwnership,
}

/// What an operator wants of an instance.
pub(crate) struct MaintenanceRequest {
    pub id: String,
    /// Leave it out, or let it serve again.
    pub enter: bool,
    /// The other process knows the id, whatever this one's list says.
    pub known_to_other_process: bool,
    /// The answer, and the ledger as it is then.
    pub reply: oneshot::Sender<(Answer, Ledger)>,
}

/// What an operator wants of the drain, for the one who leads the stages.
pub(crate) struct DrainRequest {
    pub drain: bool,
    pub reply: oneshot::Sender<Answer>,
}

/// Where calls go.
#[derive(Clone)]
pub(crate) struct AdminHandle {
    pub control: mpsc::Sender<ControlMessage>,
    pub drain_requests: mpsc::Sender<DrainRequest>,
    pub phase: watch::Receiver<Stage>,
    /// True once this process can serve.
    pub ready: watch::Receiver<bool>,
    /// There is a list to decide from.
    pub has_endpoints: watch::Receiver<bool>,
    /// Where the ledger is kept, if it is.
    pub shared_directory: Option<SharedDirectory>,
    /// The way to the process before or after this one.
    pub other_process: OtherProcess,
    /// One call about instances at a time: what is written last is what was decided last.
    pub maintenance_lock: Arc<tokio::sync::Mutex<()>>,
}

/// The other ends of a desk's queues.
pub(crate) struct AdminReceivers {
    pub control: mpsc::Receiver<ControlMessage>,
    pub drain_requests: mpsc::Receiver<DrainRequest>,
}

/// The queues between the second address and those who carry out its calls.
pub(crate) fn channels() -> (
    mpsc::Sender<ControlMessage>,
    mpsc::Sender<DrainRequest>,
    AdminReceivers,
) {
    let (orders, orders_in) = mpsc::channel(QUEUE);
    let (drains, drains_in) = mpsc::channel(QUEUE);
    (
        orders,
        drains,
        AdminReceivers {
            control: orders_in,
            drain_requests: drains_in,
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
pub(crate) async fn serve(listener: TcpListener, desk: AdminHandle) {
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
async fn attend(mut stream: TcpStream, caller: &Caller, desk: &AdminHandle) {
    let _ = stream.set_nodelay(true);
    // Otherwise it left, or never said what it wants.
    let Ok(Some(line)) = timeout(PATIENCE, read(&mut stream)).await else {
        return;
    };
    caller.heard.store(true, Ordering::Relaxed);
    let answer = match line.and_then(|line| Call::read(&line)) {
        Ok(call) => desk.carry_out(call).await,
        Err(why) => Answer::Error(why),
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
        LinesCodec::new_with_max_length(LINE_MOST),
        BytesMut::with_capacity(LINE_MOST),
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
                return Some(Err(format!("the line is longer than {LINE_MOST} bytes")));
            }
            Err(LinesCodecError::Io(_)) => return Some(Err("the line is not UTF-8".to_string())),
        }
    }
}

impl AdminHandle {
    /// Carries a call out here, and then in the other process where there is one.
    async fn carry_out(&self, call: Call) -> Answer {
        let line = match &call {
            Call::Ready => None,
            Call::Disable(id) => Some(format!("DISABLE {id}")),
            Call::Enable(id) => Some(format!("ENABLE {id}")),
            Call::Drain => Some("DRAIN".to_string()),
            Call::Undrain => Some("UNDRAIN".to_string()),
        };
        let carried = timeout(OWED, async {
            let answer = self.carry_out_here(call, false).await;
            if let (Answer::Done(_), Some(line)) = (&answer, line) {
                relay(&self.other_process, line).await;
            }
            answer
        });
        let late = "not decided in time; it may still come into force, so ask again";
        carried
            .await
            .unwrap_or_else(|_| Answer::Error(late.to_string()))
    }

    /// Carries a call out in this process alone; `known`: the id is known to the other one.
    pub(crate) async fn carry_out_here(&self, call: Call, known: bool) -> Answer {
        match call {
            Call::Ready => self.ready(),
            Call::Disable(id) => self.order(id, true, known).await,
            Call::Enable(id) => self.order(id, false, known).await,
            Call::Drain => self.drain(true).await,
            Call::Undrain => self.drain(false).await,
        }
    }

    fn ready(&self) -> Answer {
        let stage = *self.phase.borrow();
        match (
            *self.ready.borrow() && *self.has_endpoints.borrow(),
            stage.stops(),
        ) {
            (_, true) => Answer::Error("this process was told to stop".to_string()),
            (false, _) => Answer::Error(
                "not yet: this process still takes over from the one before".to_string(),
            ),
            (true, _) => Answer::Done(stage.word().to_string()),
        }
    }

    async fn order(&self, id: String, withhold: bool, known: bool) -> Answer {
        let _turn = self.maintenance_lock.lock().await;
        let (reply, answer) = oneshot::channel();
        if self
            .control
            .send(ControlMessage::SetMaintenance(MaintenanceRequest {
                id,
                enter: withhold,
                known_to_other_process: known,
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
        match (answer, &self.shared_directory) {
            (Answer::Done(what), Some(place)) => match place.write_maintenance_set(&ledger) {
                Ok(()) => Answer::Done(what),
                // In force, and handed over at an upgrade; only a process that finds nobody would not know.
                Err(why) => {
                    tracing::warn!("state: {why}");
                    Answer::Done(format!("{what}; not written down: {why}"))
                }
            },
            (answer, _) => answer,
        }
    }

    async fn drain(&self, on: bool) -> Answer {
        let (reply, answer) = oneshot::channel();
        if self
            .drain_requests
            .send(DrainRequest { drain: on, reply })
            .await
            .is_err()
        {
            return stopped();
        }
        answer.await.unwrap_or_else(|_| stopped())
    }
}

fn stopped() -> Answer {
    Answer::Error("this process is about to end".to_string())
}
