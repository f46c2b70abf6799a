//! Faults of a trial. Each is one line of the trial file: when it begins, what it does, how long it lasts.
//!
//! `at 2s: link ingress:zone=0 <-> list silent for 3s`, `when 12 listed: kill ingress:0.7 and start after 200ms old`,
//! `at 1s: stop ingress:3 for 5s`, `at 0s: list turns away 0.9 for 4s`, `at 3s: restart instance:all`.
//!
//! This module defines the types, `parser` parses the line, and `environment` injects the faults.

mod parser;

use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::de::Error;
use serde::{Deserialize, Deserializer};

use crate::network::LinkCondition;
use crate::topology::ComponentSet;

pub use parser::FaultError;

/// When a fault begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trigger {
    /// This time after the start of the trial.
    At(Duration),
    /// Once this number of ingresses have received a list.
    Listed(usize),
    /// Once this number of requests have been served.
    Served(usize),
}

/// The endpoint list that an ingress starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialList {
    /// No list.
    None,
    /// The list of the trial's start.
    Old,
    /// The list at the time of the ingress's start.
    Current,
}

impl FromStr for InitialList {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Self, FaultError> {
        match text {
            "none" => Ok(InitialList::None),
            "old" => Ok(InitialList::Old),
            "current" => Ok(InitialList::Current),
            found => Err(FaultError::Invalid {
                found: found.to_string(),
                expected: "one of none, old, current",
            }),
        }
    }
}

/// A fault of the list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListServiceFault {
    /// Sends no responses until the fault ends.
    Silent,
    /// Rejects this fraction of the requests.
    Rejects(f64),
    /// Closes the connection in the middle of this fraction of its responses.
    Truncates(f64),
    /// Resets its revisions to a lower one, as after a restore from a backup.
    Restored,
}

/// A fault of limit servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceFault {
    /// They restart and have to warm up.
    Restart,
    /// They are replaced by new ones with other ids, which have to warm up.
    Replace,
    /// They stop permanently and are removed from the list.
    Remove,
    /// They respond to every request with 500 immediately.
    FailRequests,
    /// They accept requests and never respond.
    NeverRespond,
    /// The list reports them as draining; they keep running.
    Drain,
    /// They close the connection in the middle of the body of each response.
    TruncateResponses,
}

/// A fault of the processes of ingresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IngressFault {
    /// SIGKILL, followed by a restart if there is one.
    Kill(Option<Restart>),
    /// SIGTERM, followed by a restart after the exit if there is one.
    Terminate(Option<Restart>),
    /// A shutdown as the platform performs it: repeated SIGTERM and SIGHUP, clients that keep using the connections that the
    /// ingress leaves open, and SIGKILL at the earliest time at which the platform sends it; followed by a restart if there is
    /// one.
    ShutDown(Option<Restart>),
    /// SIGHUP: they reload their configuration.
    Reload,
    /// SIGSTOP until the fault's end. The rules on responses do not apply to suspended processes.
    Suspend,
    /// SIGSTOP until the fault's end, short enough that all rules still apply.
    SuspendBriefly,
}

/// A system call that a fault can make fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `accept`
    Accept,
    /// `connect`
    Connect,
    /// `socket`
    Socket,
}

/// Restart of a process after a fault has ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// Time from its end to the restart.
    pub after: Duration,
    /// The list that the new process starts with.
    pub list: InitialList,
}

/// What a fault does.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Sets a condition on the links between two sets of components.
    Link {
        /// Senders.
        from: ComponentSet,
        /// Receivers.
        to: ComponentSet,
        /// True where it applies to the opposite direction too.
        both: bool,
        /// The condition.
        condition: LinkCondition,
    },
    /// A fault of ingresses.
    Ingresses {
        /// The ingresses.
        targets: ComponentSet,
        /// The fault of their processes.
        fault: IngressFault,
    },
    /// Steps the wall clock of all ingresses and of the list service by this number of milliseconds.
    StepWallClock(i64),
    /// Makes every Nth call of a system call fail, in all ingresses.
    FailSystemCall {
        /// The call.
        call: SystemCall,
        /// The N of every Nth call.
        one_in: u32,
    },
    /// A fault of the list service.
    ListService(ListServiceFault),
    /// A fault of limit servers.
    Instances {
        /// The limit servers.
        targets: ComponentSet,
        /// The fault.
        fault: InstanceFault,
    },
    /// More bad clients than the ingresses have descriptors for.
    Crowd(ComponentSet),
    /// Sends ingresses datagrams from an address that belongs to no peer.
    ForeignDatagrams(ComponentSet),
}

/// A fault of a trial, as the trial file has it.
#[derive(Clone, Debug, PartialEq, JsonSchema)]
#[schemars(transparent)]
pub struct Fault {
    #[schemars(with = "String")]
    spec: FaultSpec,
}

/// The parsed form of a [`Fault`].
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSpec {
    /// When it begins.
    pub trigger: Trigger,
    /// What it does.
    pub kind: FaultKind,
    /// How long it lasts; `None`: until the trial ends.
    pub duration: Option<Duration>,
}

impl std::ops::Deref for Fault {
    type Target = FaultSpec;

    fn deref(&self) -> &FaultSpec {
        &self.spec
    }
}

impl FromStr for Fault {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Self, FaultError> {
        parser::parse(text).map(|spec| Fault { spec })
    }
}

impl<'de> Deserialize<'de> for Fault {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        String::deserialize(from)?.parse().map_err(D::Error::custom)
    }
}

#[cfg(test)]
mod tests;
