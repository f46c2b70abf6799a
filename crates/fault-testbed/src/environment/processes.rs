//! The processes of a trial: start, readiness and exits.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Environment;
use crate::fault::InitialList;
use crate::journal::Event;
use crate::list_service::Snapshot;
use crate::run::POLL_INTERVAL;

/// Timeout of one health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

impl Environment {
    /// Starts a process of an ingress, and a task that polls its health check until it is ready.
    pub(crate) fn start_ingress(
        self: &Arc<Self>,
        ingress: usize,
        list: InitialList,
    ) -> io::Result<()> {
        let snapshot = match list {
            InitialList::None => Snapshot::default(),
            InitialList::Old => self.initial_lists[ingress].clone(),
            InitialList::Current => self.list_service.snapshot(&self.endpoints[ingress]),
        };
        let mut ingresses = self.ingresses();
        ingresses[ingress].start(&snapshot)?;
        let known = (list != InitialList::None).then_some(snapshot.revision);
        self.journal
            .record(Event::IngressStarted { ingress, known });
        let (environment, address) = (self.clone(), ingresses[ingress].config.listen);
        self.tasks.spawn(async move {
            while !is_ready(address).await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            environment.set_ready(ingress);
        });
        Ok(())
    }

    /// Polls all processes and records their exits.
    pub(crate) async fn record_exits(self: Arc<Self>) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            for process in self.ingresses().iter_mut() {
                if let Some(status) = process.take_exit() {
                    self.journal.record(Event::IngressExited {
                        ingress: process.config.number,
                        status: status.to_string(),
                    });
                }
            }
        }
    }
}

/// Whether an ingress answers `GET /healthz` with 200.
async fn is_ready(address: SocketAddr) -> bool {
    let health_check = async {
        let mut stream = TcpStream::connect(address).await?;
        stream
            .write_all(b"GET /healthz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            .await?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await?;
        Ok::<_, io::Error>(&head == b"HTTP/1.1 200")
    };
    let result = tokio::time::timeout(HEALTH_CHECK_TIMEOUT, health_check).await;
    matches!(result, Ok(Ok(true)))
}
