//! Accounts for the memory of a response while it waits for its client to read it, if slow-peer protection is enabled.
//!
//! Owner: the request service, right before the response goes to hyper. Input: a response and the connection that it is
//! written to. Output: the response, or a short one where there is no memory for it. Invariant: a request gets one response,
//! with or without memory.

use hyper::StatusCode;

use crate::clock::Clock;
use crate::server::connection_table::ClientConnection;
use crate::server::response::{ClientResponse, ResponseBody, ServedResponse};

/// Registers a response with the connection's transfer monitor. Where there is no memory for it, and the monitor finds no
/// slow client to abort for it, the request gets a short failure at once instead.
pub(super) fn account_for(
    response: ClientResponse,
    connection: &ClientConnection,
    customer: Option<u64>,
    clock: Clock,
) -> ClientResponse {
    let Some(monitored) = &connection.monitored else {
        return response;
    };
    // A response that is forwarded while it is received holds a few pieces only, however slowly it is read.
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
