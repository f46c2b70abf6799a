//! Discovery's agent: the whole list, and watches that answer when it changes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{self, Kind};

/// The agent, for as long as the runtime lives.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    list: watch::Sender<(u64, Vec<Value>)>,
}

/// An entry of the list.
pub fn target(uid: &str, endpoint: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "a", "model": "m", "pod_group": 0, "state": state,
           "capacity_hint": 1.0, "boot_ms": 0})
}

impl Discovery {
    /// Listens on a free port of loopback, with this list at revision 1.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn start(targets: Vec<Value>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (list, follower) = watch::channel((1, targets));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let follower = follower.clone();
                tokio::spawn(async move {
                    let _ = serve(stream, follower).await;
                });
            }
        });
        Ok(Discovery { address, list })
    }

    /// The list is this from now on, at the next revision.
    pub fn publish(&self, targets: Vec<Value>) {
        self.list.send_modify(|list| *list = (list.0 + 1, targets));
    }
}

async fn serve(
    mut stream: TcpStream,
    mut list: watch::Receiver<(u64, Vec<Value>)>,
) -> io::Result<()> {
    let mut rest = Vec::new();
    while let Some(request) = http::read(&mut stream, &mut rest, Kind::Request).await? {
        if let (Some(after), Some(wait)) = (request.query("after"), request.query("wait_ms")) {
            let newer = list.wait_for(|(rev, _)| *rev > after);
            let _ = tokio::time::timeout(Duration::from_millis(wait.min(60_000)), newer).await;
        }
        let (rev, targets) = list.borrow_and_update().clone();
        // A watch that ran out without news has nothing to tell.
        let news = request.query("after").is_none_or(|after| rev > after);
        let targets = if news { targets } else { Vec::new() };
        let body = json!({"rev": rev, "all": news, "targets": targets}).to_string();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}
