//! A scripted discovery agent with the failures despite which a drain has to take effect.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use applewall_fakes::http::{self, Kind};
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// Short, so that a few unaccepted connections fill it and the next one is not established.
const BACKLOG: u32 = 4;

/// The agent's list, and how it behaves.
#[derive(Clone, Default)]
pub(crate) struct AgentState {
    pub(crate) revision: u64,
    pub(crate) targets: Vec<Value>,
    /// Connections of an earlier generation get no more responses.
    pub(crate) generation: u64,
    /// Connections of generations before this one are closed.
    pub(crate) closed_before: u64,
    /// No request is answered.
    pub(crate) silent: bool,
    /// New connections are closed at once.
    pub(crate) refuses: bool,
    /// No connection is accepted; once the backlog is full, further ones are not established.
    pub(crate) accepts_none: bool,
    /// The list is sent as JSON over many lines.
    pub(crate) indented: bool,
    /// Only the first half of a changed list is sent.
    pub(crate) truncates: bool,
}

impl AgentState {
    /// Sends no more responses on open connections.
    pub(crate) fn silence_connections(&mut self) {
        self.generation += 1;
    }

    /// Closes open connections.
    pub(crate) fn close_connections(&mut self) {
        self.generation += 1;
        self.closed_before = self.generation;
    }

    fn changed(&self, after: Option<u64>) -> bool {
        after.is_none_or(|after| self.revision > after)
    }

    fn answers(&self, generation: u64) -> bool {
        self.generation == generation && !self.silent
    }

    /// The response to a client that has the list of revision `after`.
    fn response(&self, after: Option<u64>) -> String {
        let changed = self.changed(after);
        let targets = if changed { &self.targets[..] } else { &[] };
        let list = json!({"rev": self.revision, "all": changed, "targets": targets});
        let body = match self.indented {
            true => serde_json::to_string_pretty(&list).expect("JSON"),
            false => list.to_string(),
        };
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
    }
}

/// Counts of what an agent has done.
#[derive(Clone, Copy, Default)]
pub(crate) struct AgentCounts {
    /// Watch requests received.
    pub(crate) watches: u64,
    /// Responses that were cut off halfway.
    pub(crate) truncated: u64,
}

/// A running agent; it stops with the runtime.
pub(crate) struct DiscoveryAgent {
    pub(crate) address: SocketAddr,
    /// Changes apply to open connections as well.
    pub(crate) state: watch::Sender<AgentState>,
    counts: Arc<Mutex<AgentCounts>>,
}

struct Connection {
    state: watch::Receiver<AgentState>,
    generation: u64,
    counts: Arc<Mutex<AgentCounts>>,
}

fn lock(counts: &Mutex<AgentCounts>) -> MutexGuard<'_, AgentCounts> {
    counts.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DiscoveryAgent {
    /// Starts an agent on a free port of loopback.
    pub(crate) async fn start(state: AgentState) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any_port).expect("a free port");
        let listener = socket.listen(BACKLOG).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (state, follower) = watch::channel(state);
        let counts = Arc::<Mutex<AgentCounts>>::default();
        tokio::spawn(accept(listener, follower, counts.clone()));
        DiscoveryAgent {
            address,
            state,
            counts,
        }
    }

    pub(crate) fn change(&self, change: impl FnOnce(&mut AgentState)) {
        self.state.send_modify(change);
    }

    pub(crate) fn counts(&self) -> AgentCounts {
        *lock(&self.counts)
    }
}

async fn accept(
    listener: TcpListener,
    mut state: watch::Receiver<AgentState>,
    counts: Arc<Mutex<AgentCounts>>,
) {
    loop {
        let _ = state.wait_for(|state| !state.accepts_none).await;
        let accepted = tokio::select! {
            biased;
            _ = state.wait_for(|state| state.accepts_none) => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { return };
        if state.borrow().refuses {
            continue;
        }
        let generation = state.borrow().generation;
        let connection = Connection {
            state: state.clone(),
            generation,
            counts: counts.clone(),
        };
        let mut closing = state.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = connection.serve(stream) => {}
                _ = closing.wait_for(|state| state.closed_before > generation) => {}
            }
        });
    }
}

impl Connection {
    async fn serve(mut self, mut stream: TcpStream) -> std::io::Result<()> {
        let generation = self.generation;
        let mut unread = Vec::new();
        while let Some(request) = http::read(&mut stream, &mut unread, Kind::Request).await? {
            let after = request.query("after");
            let wait = Duration::from_millis(request.query("wait_ms").unwrap_or(0));
            if !wait.is_zero() {
                lock(&self.counts).watches += 1;
            }
            let changed = self
                .state
                .wait_for(|state| state.answers(generation) && state.changed(after));
            let _ = timeout(wait, changed).await;
            // Waits for as long as the agent is silent, or for ever on a connection of an earlier generation.
            let _ = self.state.wait_for(|state| state.answers(generation)).await;
            let now = self.state.borrow_and_update().clone();
            let response = now.response(after);
            if now.truncates && now.changed(after) {
                stream
                    .write_all(&response.as_bytes()[..response.len() / 2])
                    .await?;
                lock(&self.counts).truncated += 1;
                std::future::pending::<()>().await;
            }
            stream.write_all(response.as_bytes()).await?;
        }
        Ok(())
    }
}
