//! A fault as one line of a trial's file: when it begins, what it is, how long it lasts.
//!
//! `at 2s: link ingress:zone=0 <-> list silent for 3s`, `when 12 listed: kill ingress:0.7 and start after 200ms old`,
//! `at 1s: stop ingress:3 for 5s`, `at 0s: list turns away 0.9 for 4s`, `at 3s: restart instance:all`.
//!
//! This module holds the types, `parser` reads the line; `environment` carries faults out.

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
    /// So long after the start.
    At(Duration),
    /// Once so many ingresses have got a list.
    Listed(usize),
    /// Once so many requests have been served.
    Served(usize),
}

/// The list that an ingress starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialList {
    /// None.
    None,
    /// The list as it was at the trial's start.
    Old,
    /// The list as it is.
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
                expected: "none of none, old, current",
            }),
        }
    }
}

/// A fault of the list service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListServiceFault {
    /// Requests wait for a response.
    Silent,
    /// Rejects this fraction of the requests at once.
    Rejects(f64),
    /// Breaks the connection in the middle of this fraction of its responses.
    Truncates(f64),
    /// Its revisions go back, as after a restore from a backup.
    Restored,
}

/// A fault of limit servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceFault {
    /// They start again and have to warm up.
    Restart,
    /// They are replaced by new ones under other ids, which have to warm up.
    Replace,
    /// They stop for good; the list shows it.
    Remove,
    /// They answer 500 at once.
    FailRequests,
    /// They accept requests and never answer.
    NeverAnswer,
    /// The list shows that they drain; they stay up.
    Drain,
    /// They break off each answer in the middle of its body.
    BreakResponses,
}

/// A fault of the processes of ingresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IngressFault {
    /// SIGKILL; they are started again, or not at all.
    Kill(Option<Restart>),
    /// SIGTERM; they are started again once they have ended, or not at all.
    Terminate(Option<Restart>),
    /// As the platform ends processes: SIGTERM among further signals, clients that use what stays open, and SIGKILL at the
    /// earliest that is allowed; they are started again, or not at all.
    ShutDown(Option<Restart>),
    /// SIGHUP: they read their configuration again.
    Reload,
    /// SIGSTOP until the fault's end. No rule requires responses of suspended processes.
    Suspend,
    /// SIGSTOP for a moment, short enough that every rule still applies.
    Hold,
}

/// A system call that may fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `accept`
    Accept,
    /// `connect`
    Connect,
    /// `socket`
    Socket,
}

/// Restart of a process that was ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// Time after its end.
    pub after: Duration,
    /// The list that the new process starts with.
    pub list: InitialList,
}

/// What a fault does.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Sets a condition on the links between two sets.
    Link {
        /// Senders.
        from: ComponentSet,
        /// Receivers.
        to: ComponentSet,
        /// Applies to the opposite direction too.
        both: bool,
        /// The condition.
        condition: LinkCondition,
    },
    /// A fault of ingresses.
    Ingresses {
        /// The ingresses.
        targets: ComponentSet,
        /// What happens to their processes.
        fault: IngressFault,
    },
    /// Steps the wall clock of all ingresses and of the list service by so many milliseconds.
    StepWallClock(i64),
    /// A system call of all ingresses fails once in so many times.
    FailSystemCall {
        /// The call.
        call: SystemCall,
        /// One call in so many.
        one_in: u32,
    },
    /// A fault of the list service.
    ListService(ListServiceFault),
    /// A fault of limit servers.
    Instances {
        /// The limit servers.
        targets: ComponentSet,
        /// What happens to them.
        fault: InstanceFault,
    },
    /// Ingresses get datagrams from an address that is no peer's.
    ForeignDatagrams(ComponentSet),
}

/// One fault.
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
