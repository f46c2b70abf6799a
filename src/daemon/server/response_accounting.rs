//! Accounts for the memory of responses that wait for their clients to read them, if slow-peer protection is enabled.
//!
//! A request gets exactly one response, whether or not there is memory for it.

use hyper::StatusCode;

use crate::clock::Clock;
use crate::server::connection_table::ClientConnection;
use crate::server::response::{ClientResponse, ResponseBody, ServedResponse};

/// Registers a response with the connection's transfer monitor. If the response exceeds a memory limit and the monitor
/// finds no slow client to abort, returns a short failure instead.
pub(super) fn account_for(
    response: ClientResponse,
    connection: &ClientConnection,
    customer: Option<u64>,
    clock: Clock,
) -> ClientResponse {
    let Some(monitored) = &connection.monitored else {
        return response;
    };
    // A streamed response holds only a few chunks in memory, however slowly it is read.
    let ClientResponse::Served(ServedResponse {
        body: ResponseBody::Buffered(body),
        ..
    }) = &response
    else {
        monitored.monitor.response_needs_no_monitoring(monitored.id);
        return response;
    };
    let begun = monitored.monitor.begin_response(
        clock.now(),
        monitored.id,
        monitored.owner(customer),
        body.len() as u64,
    );
    if begun.is_ok() {
        return response;
    }
    monitored.monitor.response_needs_no_monitoring(monitored.id);
    ClientResponse::Failed {
        status: StatusCode::INSUFFICIENT_STORAGE,
        reason: "no room for the answer",
    }
}
