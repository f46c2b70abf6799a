//! The events of a journal. Their names in the JSON form are fixed (`serde(rename)`), so that journals of earlier versions
//! can be read.

use serde::{Deserialize, Serialize};

/// One observed event. `ingress` and `instance` are numbers from 0; `request` is the id that the client drew.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client has written a request to an ingress.
    #[serde(rename = "Asked")]
    RequestSent {
        /// The request's id.
        request: u64,
        /// The ingress that it was written to.
        ingress: usize,
        /// The customer that it is made for.
        customer: u64,
    },
    /// The client has the final response, or none by its deadline.
    #[serde(rename = "Final")]
    ResponseReceived {
        /// The request's id.
        request: u64,
        /// Status of the response; `None`: no response by the deadline.
        status: Option<u16>,
    },
    /// The client could not reach the ingress: no request was accepted.
    #[serde(rename = "Unreached")]
    ConnectFailed {
        /// The request's id.
        request: u64,
        /// The ingress that could not be reached.
        ingress: usize,
    },
    /// A request has arrived completely at a limit server.
    #[serde(rename = "Attempt")]
    AttemptArrived {
        /// The request's id.
        request: u64,
        /// The limit server.
        instance: usize,
        /// The ingress that sent it.
        ingress: usize,
    },
    /// Time left to the request of an attempt that has just arrived, from its `X-Time-Left-Ms`.
    #[serde(rename = "DeadlineTold")]
    DeadlineForwarded {
        /// The request's id.
        request: u64,
        /// Milliseconds that the ingress goes on waiting.
        time_left_ms: u64,
    },
    /// A client has closed its connection before its response.
    #[serde(rename = "Left")]
    ClientLeft {
        /// The request's id.
        request: u64,
    },
    /// A client that sent half a request and stayed has its response, or the end of its connection.
    #[serde(rename = "HalfEnded")]
    HalfRequestEnded {
        /// The ingress.
        ingress: usize,
        /// Seconds since the half request was sent.
        seconds: f64,
    },
    /// That attempt has ended: its response was written, or its connection ended.
    #[serde(rename = "Over")]
    AttemptEnded {
        /// The request's id.
        request: u64,
        /// The limit server.
        instance: usize,
        /// The ingress that sent it.
        ingress: usize,
    },
    /// An ingress opened a connection to a limit server.
    #[serde(rename = "Opened")]
    ConnectionOpened {
        /// The limit server.
        instance: usize,
        /// The ingress.
        ingress: usize,
    },
    /// A limit server has started.
    #[serde(rename = "Life")]
    InstanceStarted {
        /// The limit server.
        instance: usize,
        /// True where it has to warm up; false where it counts as running since long ago.
        #[serde(rename = "cold")]
        warming_up: bool,
    },
    /// A limit server has stopped for good.
    #[serde(rename = "Died")]
    InstanceStopped {
        /// The limit server.
        instance: usize,
    },
    /// A limit server that was warming up got more than it can take and failed.
    #[serde(rename = "Fell")]
    InstanceOverloaded {
        /// The limit server.
        instance: usize,
    },
    /// The list service got a request.
    #[serde(rename = "Call")]
    ListRequested {
        /// The ingress that sent it.
        ingress: usize,
        /// True for the full list, false for a watch of changes.
        #[serde(rename = "whole")]
        full: bool,
    },
    /// The list service responded; a status other than 200 rejects the request.
    #[serde(rename = "Listed")]
    ListResponse {
        /// The ingress that asked.
        ingress: usize,
        /// True where the response is a full list.
        #[serde(rename = "whole")]
        full: bool,
        /// Status of the response.
        status: u16,
        /// Length of the body.
        bytes: usize,
        /// Revision of the list.
        #[serde(rename = "rev")]
        revision: u64,
    },
    /// A list response showed an ingress that an instance drains or is removed.
    #[serde(rename = "Told")]
    RemovalListed {
        /// The ingress that got the response.
        ingress: usize,
        /// The limit server that drains or is removed.
        instance: usize,
    },
    /// A process of an ingress was started.
    #[serde(rename = "Started")]
    IngressStarted {
        /// The ingress.
        ingress: usize,
        /// Revision of the list that it starts with, if it has one.
        known: Option<u64>,
    },
    /// An ingress answered `GET /healthz` with 200 for the first time.
    #[serde(rename = "Ready")]
    IngressReady {
        /// The ingress.
        ingress: usize,
    },
    /// A process was suspended (SIGSTOP) or continued.
    #[serde(rename = "Stopped")]
    IngressSuspended {
        /// The ingress.
        ingress: usize,
        /// True: suspended; false: continued.
        #[serde(rename = "on")]
        suspended: bool,
    },
    /// The trial sent a process SIGTERM.
    #[serde(rename = "Leaving")]
    IngressTerminating {
        /// The ingress.
        ingress: usize,
    },
    /// The trial is about to kill a process that was told to end, at the earliest time that the platform does.
    #[serde(rename = "Overdue")]
    ShutdownExpired {
        /// The ingress.
        ingress: usize,
    },
    /// A process was killed by the trial.
    #[serde(rename = "Killed")]
    IngressKilled {
        /// The ingress.
        ingress: usize,
    },
    /// A process exited by itself, or could not be started.
    #[serde(rename = "Crashed")]
    IngressExited {
        /// The ingress.
        ingress: usize,
        /// Its exit status, or why it could not be started.
        status: String,
    },
    /// A fault begins or ends.
    #[serde(rename = "Fault")]
    FaultChanged {
        /// Name of the fault in the trial's file.
        name: String,
        /// True: begins; false: ends.
        #[serde(rename = "on")]
        active: bool,
    },
    /// Datagrams for an ingress in the last second.
    #[serde(rename = "Mail")]
    DatagramsReceived {
        /// The ingress.
        ingress: usize,
        /// Datagrams within the platform's limit.
        #[serde(rename = "taken")]
        accepted: u64,
        /// Datagrams beyond it, which were dropped.
        dropped: u64,
    },
    /// The testbed itself was scheduled late.
    #[serde(rename = "Late")]
    SchedulingDelay {
        /// By how many milliseconds.
        ms: u64,
    },
}

impl Event {
    /// Status of the final response that a client got; `None` for all other events.
    pub fn response_status(&self) -> Option<u16> {
        match self {
            Event::ResponseReceived { status, .. } => *status,
            _ => None,
        }
    }
}
