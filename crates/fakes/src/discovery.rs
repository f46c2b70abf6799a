//! A fake discovery agent: serves the full endpoint list, and watches that are answered when it changes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{self, Kind};
use crate::instance::Instance;

/// Maximum time that a watch waits for a change; longer waits in requests are shortened to it.
const MAX_WATCH_MS: u64 = 60_000;

#[derive(Clone)]
struct List {
    revision: u64,
    targets: Vec<Value>,
}

/// A discovery agent that runs until the runtime shuts down.
pub struct Discovery {
    /// Address on which it listens.
    pub address: SocketAddr,
    list: watch::Sender<List>,
}

/// An entry of the endpoint list, in the platform's JSON format.
pub fn target(id: &str, endpoint: SocketAddr, state: &str) -> Value {
    json!({"uid": id, "endpoint": endpoint.to_string(), "az": "a", "model": "m", "pod_group": 0, "state": state,
           "capacity_hint": 1.0, "boot_ms": 0})
}

/// Entries of these instances, all in service, with the ids `s-0`, `s-1` and so on.
pub fn in_service(instances: &[Instance]) -> Vec<Value> {
    let entry = |(number, instance): (usize, &Instance)| {
        target(&format!("s-{number}"), instance.address, "in_service")
    };
    instances.iter().enumerate().map(entry).collect()
}

impl Discovery {
    /// Starts an agent on a free loopback port, with this list at revision 1.
    ///
    /// # Errors
    ///
    /// Socket errors.
    pub async fn start(targets: Vec<Value>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let revision = 1;
        let (list, receiver) = watch::channel(List { revision, targets });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, receiver.clone()));
            }
        });
        Ok(Discovery { address, list })
    }

    /// Replaces the list and increments its revision.
    pub fn publish(&self, targets: Vec<Value>) {
        self.list.send_modify(|list| {
            list.revision += 1;
            list.targets = targets;
        });
    }
}

async fn serve(mut stream: TcpStream, mut list: watch::Receiver<List>) -> io::Result<()> {
    let mut unread = Vec::new();
    while let Some(request) = http::read(&mut stream, &mut unread, Kind::Request).await? {
        let after = request.query("after");
        if let (Some(after), Some(wait_ms)) = (after, request.query("wait_ms")) {
            let changed = list.wait_for(|list| list.revision > after);
            let wait = Duration::from_millis(wait_ms.min(MAX_WATCH_MS));
            let _ = tokio::time::timeout(wait, changed).await;
        }
        let List { revision, targets } = list.borrow_and_update().clone();
        // The response to a watch that times out without a change has no entries.
        let changed = after.is_none_or(|after| revision > after);
        let targets = if changed { targets } else { Vec::new() };
        let body = json!({"rev": revision, "all": changed, "targets": targets}).to_string();
        let length = body.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(response.as_bytes()).await?;
    }
    Ok(())
}
