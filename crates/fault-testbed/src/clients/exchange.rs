//! A single request and its response, under the condition of the links between clients and ingresses.

use std::io;
use std::sync::atomic::Ordering;
use std::sync::{MutexGuard, PoisonError};

use applewall_fakes::http::{self, Kind, Message};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::{Clients, Customer};
use crate::journal::Event;
use crate::topology::Component;

/// A request as it is sent.
pub(super) struct Request {
    pub(super) id: u64,
    customer: u64,
    ingress: usize,
    pub(super) text: String,
}

impl Clients {
    /// A request of a customer with a new id.
    pub(super) fn next_request(&self, ingress: usize, customer: Customer) -> Request {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let text = format!(
            "GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
             X-Service-Class: limit-check\r\nX-Contract: shop\r\nX-Client-Id: {:016x}\r\n\
             X-Time-Left-Ms: {}\r\nX-Metering: units=1,spread={},first={}\r\n\r\n",
            customer.id,
            self.behavior.timeout.as_millis(),
            customer.ingresses,
            customer.first_ingress,
        );
        Request {
            id,
            customer: customer.id,
            ingress,
            text,
        }
    }

    /// Sends a request over the link to its ingress and reads the response. `sent` is true once the request is written to a
    /// connection that the ingress had not closed.
    pub(super) async fn exchange(&self, request: &Request, sent: &mut bool) -> io::Result<Message> {
        let ingress = request.ingress;
        let mut to_ingress = self
            .network
            .link(Component::Client, Component::Ingress(ingress));
        let mut to_client = self
            .network
            .link(Component::Ingress(ingress), Component::Client);
        to_ingress.wait_until(|condition| !condition.silent).await;
        tokio::time::sleep(to_ingress.condition().delay).await;
        if to_ingress.condition().reset {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let idle = self.idle(ingress).pop();
        let (stream, response) = match idle {
            None => self.exchange_on_new_connection(request, sent).await?,
            Some(mut stream) => match self.exchange_on(&mut stream, request, sent).await {
                Ok(Some(response)) => (stream, response),
                // The ingress may close an idle connection while a request is in transit; the client sends it again then.
                Ok(None) | Err(_) => {
                    *sent = false;
                    self.exchange_on_new_connection(request, sent).await?
                }
            },
        };
        to_client.wait_until(|condition| !condition.silent).await;
        tokio::time::sleep(to_client.condition().delay).await;
        if !response.closes() {
            self.idle(ingress).push(stream);
        }
        Ok(response)
    }

    async fn exchange_on_new_connection(
        &self,
        request: &Request,
        sent: &mut bool,
    ) -> io::Result<(TcpStream, Message)> {
        let mut stream = TcpStream::connect(self.addresses[request.ingress]).await?;
        match self.exchange_on(&mut stream, request, sent).await? {
            Some(response) => Ok((stream, response)),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    /// Writes a request and reads its response; `None` if the connection is closed before the first byte of the response.
    pub(super) async fn exchange_on(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        sent: &mut bool,
    ) -> io::Result<Option<Message>> {
        let _ = stream.set_nodelay(true);
        stream.write_all(request.text.as_bytes()).await?;
        if !std::mem::replace(sent, true) {
            self.journal.record(Event::RequestSent {
                request: request.id,
                ingress: request.ingress,
                customer: request.customer,
            });
        }
        http::read(stream, &mut Vec::new(), Kind::Response).await
    }

    fn idle(&self, ingress: usize) -> MutexGuard<'_, Vec<TcpStream>> {
        self.idle_connections[ingress]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
