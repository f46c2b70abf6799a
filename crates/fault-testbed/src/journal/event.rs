//! The events of a journal. Their JSON names are fixed (`serde(rename)`), so that journals of earlier versions stay readable.

use serde::{Deserialize, Serialize};

/// One observed event. `ingress` and `instance` are numbers from 0; `request` is the id that the client generated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client has written a request to an ingress.
    #[serde(rename = "Asked")]
    RequestSent {
        /// The request's id.
        request: u64,
        /// The ingress that it was written to.
        ingress: usize,
        /// The customer that sends it.
        customer: u64,
    },
    /// The client has received its final response, or none by its deadline.
    #[serde(rename = "Final")]
    ResponseReceived {
        /// The request's id.
        request: u64,
        /// Status of the response; `None`: no response by the deadline.
        status: Option<u16>,
    },
    /// The client could not connect, or its connection was closed without a response: the request counts as not accepted.
    #[serde(rename = "Unreached")]
    ConnectFailed {
        /// The request's id.
        request: u64,
        /// The ingress that could not be reached.
        ingress: usize,
    },
    /// A complete request has arrived at a limit server.
    #[serde(rename = "Attempt")]
    AttemptArrived {
        /// The request's id.
        request: u64,
        /// The limit server.
        instance: usize,
        /// The ingress that sent it.
        ingress: usize,
    },
    /// The deadline that an attempt which has just arrived states in its `X-Time-Left-Ms`.
    #[serde(rename = "DeadlineTold")]
    DeadlineForwarded {
        /// The request's id.
        request: u64,
        /// Remaining time in milliseconds.
        time_left_ms: u64,
    },
    /// A client has closed its connection before it received a response.
    #[serde(rename = "Left")]
    ClientLeft {
        /// The request's id.
        request: u64,
    },
    /// The connection of a client that sent half a request and kept it open has ended.
    #[serde(rename = "HalfEnded")]
    HalfRequestEnded {
        /// The ingress.
        ingress: usize,
        /// Seconds since the half request was sent.
        seconds: f64,
    },
    /// An attempt has ended: its response was written, or its connection was closed.
    #[serde(rename = "Over")]
    AttemptEnded {
        /// The request's id.
        request: u64,
        /// The limit server.
        instance: usize,
        /// The ingress that sent it.
        ingress: usize,
    },
    /// An ingress has opened a connection to a limit server.
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
        /// True if it has to warm up; false if it counts as warmed up before the trial.
        #[serde(rename = "cold")]
        warming_up: bool,
    },
    /// A limit server has stopped permanently.
    #[serde(rename = "Died")]
    InstanceStopped {
        /// The limit server.
        instance: usize,
    },
    /// A limit server that was warming up was overloaded and failed.
    #[serde(rename = "Fell")]
    InstanceOverloaded {
        /// The limit server.
        instance: usize,
    },
    /// The list service has received a request.
    #[serde(rename = "Call")]
    ListRequested {
        /// The ingress that sent it.
        ingress: usize,
        /// True for the full list, false for a watch of changes.
        #[serde(rename = "whole")]
        full: bool,
    },
    /// The list service has responded; a status other than 200 rejects the request.
    #[serde(rename = "Listed")]
    ListResponse {
        /// The ingress that sent the request.
        ingress: usize,
        /// True if the response is a full list.
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
    /// A list response notified an ingress that an instance is draining or removed.
    #[serde(rename = "Told")]
    RemovalListed {
        /// The ingress that got the response.
        ingress: usize,
        /// The limit server that is draining or removed.
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
    /// An ingress has responded to `GET /healthz` with 200 for the first time since its start.
    #[serde(rename = "Ready")]
    IngressReady {
        /// The ingress.
        ingress: usize,
    },
    /// A process was suspended (SIGSTOP) or resumed (SIGCONT).
    #[serde(rename = "Stopped")]
    IngressSuspended {
        /// The ingress.
        ingress: usize,
        /// True: suspended; false: resumed.
        #[serde(rename = "on")]
        suspended: bool,
    },
    /// The testbed has sent a process SIGTERM.
    #[serde(rename = "Leaving")]
    IngressTerminating {
        /// The ingress.
        ingress: usize,
    },
    /// The testbed is about to kill a process that has not exited after SIGTERM, at the earliest time that the platform would.
    #[serde(rename = "Overdue")]
    ShutdownExpired {
        /// The ingress.
        ingress: usize,
    },
    /// The testbed is about to kill a process as a fault.
    #[serde(rename = "Killed")]
    IngressKilled {
        /// The ingress.
        ingress: usize,
    },
    /// A process has exited without being killed, or could not be started.
    #[serde(rename = "Crashed")]
    IngressExited {
        /// The ingress.
        ingress: usize,
        /// Its exit status, or the error of its start.
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
    /// Datagrams to an ingress in the last second.
    #[serde(rename = "Mail")]
    DatagramsReceived {
        /// The ingress.
        ingress: usize,
        /// Datagrams within the platform's limit.
        #[serde(rename = "taken")]
        accepted: u64,
        /// Datagrams beyond the limit, which were dropped.
        dropped: u64,
    },
    /// A timer of the testbed itself fired late.
    #[serde(rename = "Late")]
    SchedulingDelay {
        /// Delay in milliseconds.
        ms: u64,
    },
}

impl Event {
    /// Status of the final response that a client received; `None` for all other events.
    pub fn response_status(&self) -> Option<u16> {
        match self {
            Event::ResponseReceived { status, .. } => *status,
            _ => None,
        }
    }
}
