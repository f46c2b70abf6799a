//! Parses the line of a fault token by token; an error names the first token that is invalid.

use std::iter::Peekable;
use std::str::{FromStr, SplitWhitespace};
use std::time::Duration;

use super::{
    FaultKind, FaultSpec, IngressFault, InitialList, InstanceFault, ListServiceFault, Restart,
    SystemCall, Trigger,
};
use crate::network::LinkCondition;
use crate::topology::{ComponentSet, ComponentSetError};

/// Why a line cannot be parsed as a fault.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FaultError {
    /// The line has no trigger.
    #[error("a fault has the form 'at TIME: ...', 'when N listed: ...' or 'when N served: ...'")]
    NoTrigger,
    /// The line ends before the fault is complete.
    #[error("{0} is missing at the end")]
    Missing(String),
    /// Another token than the only one that is allowed there.
    #[error("found '{found}' where '{expected}' is expected")]
    Unexpected {
        /// The token that was found.
        found: String,
        /// The only token that is allowed there.
        expected: &'static str,
    },
    /// A token has none of the values that are allowed there.
    #[error("'{found}' is not {expected}")]
    Invalid {
        /// The token that was found.
        found: String,
        /// The values that are allowed there.
        expected: &'static str,
    },
    /// A fraction is out of range.
    #[error("{0} is not a fraction from 0 to 1")]
    Fraction(f64),
    /// A link fault has no condition.
    #[error("the link fault has no condition, such as silent, reset or loss 0.5")]
    NoCondition,
    /// A set of components is invalid.
    #[error(transparent)]
    Components(#[from] ComponentSetError),
    /// A token follows the end of the fault.
    #[error("unexpected '{0}' after the end of the fault")]
    Trailing(String),
}

fn invalid(found: &str, expected: &'static str) -> FaultError {
    FaultError::Invalid {
        found: found.to_string(),
        expected,
    }
}

/// The remaining tokens of a fault.
struct Tokens<'a>(Peekable<SplitWhitespace<'a>>);

impl<'a> Tokens<'a> {
    fn of(text: &'a str) -> Self {
        Tokens(text.split_whitespace().peekable())
    }

    /// The next token; `description` describes it in the error if it is missing.
    fn next(&mut self, description: &str) -> Result<&'a str, FaultError> {
        self.0
            .next()
            .ok_or_else(|| FaultError::Missing(description.to_string()))
    }

    fn expect(&mut self, expected: &'static str) -> Result<(), FaultError> {
        match self.next(&format!("'{expected}'"))? {
            found if found == expected => Ok(()),
            found => Err(FaultError::Unexpected {
                found: found.to_string(),
                expected,
            }),
        }
    }

    fn number<T: FromStr>(
        &mut self,
        description: &str,
        expected: &'static str,
    ) -> Result<T, FaultError> {
        let token = self.next(description)?;
        token.parse().map_err(|_| invalid(token, expected))
    }

    fn components(&mut self) -> Result<ComponentSet, FaultError> {
        Ok(self.next("a set of components")?.parse()?)
    }

    fn duration(&mut self) -> Result<Duration, FaultError> {
        let token = self.next("a duration")?;
        humantime::parse_duration(token)
            .map_err(|_| invalid(token, "a duration such as 250ms or 2s"))
    }

    fn fraction(&mut self) -> Result<f64, FaultError> {
        let fraction: f64 = self.number("a fraction", "a fraction from 0 to 1")?;
        if (0.0..=1.0).contains(&fraction) {
            Ok(fraction)
        } else {
            Err(FaultError::Fraction(fraction))
        }
    }

    fn condition(&mut self) -> Result<LinkCondition, FaultError> {
        let mut condition = LinkCondition::default();
        while let Some(token) = self.0.next_if(|token| *token != "for") {
            match token {
                "silent" => condition.silent = true,
                "reset" => condition.reset = true,
                "loss" => condition.loss = self.fraction()?,
                "twice" => condition.duplication = self.fraction()?,
                "torn" => condition.truncation = self.fraction()?,
                "delay" => condition.delay = self.duration()?,
                "spread" => condition.jitter = self.duration()?,
                "rate" => {
                    let rate =
                        self.number("a rate in bytes per second", "a rate in bytes per second")?;
                    condition.bytes_per_second = Some(rate);
                }
                found => return Err(invalid(found, "a condition of a link")),
            }
        }
        if condition == LinkCondition::default() {
            return Err(FaultError::NoCondition);
        }
        Ok(condition)
    }

    fn link(&mut self) -> Result<FaultKind, FaultError> {
        let from = self.components()?;
        let both = match self.next("-> or <->")? {
            "->" => false,
            "<->" => true,
            found => return Err(invalid(found, "-> or <->")),
        };
        Ok(FaultKind::Link {
            from,
            to: self.components()?,
            both,
            condition: self.condition()?,
        })
    }

    fn ingresses(&mut self, fault: IngressFault) -> Result<FaultKind, FaultError> {
        let targets = self.components()?;
        Ok(FaultKind::Ingresses { targets, fault })
    }

    /// A fault that ends processes, with an optional restart.
    fn ingresses_with_restart(
        &mut self,
        fault: fn(Option<Restart>) -> IngressFault,
    ) -> Result<FaultKind, FaultError> {
        let targets = self.components()?;
        let fault = fault(self.restart()?);
        Ok(FaultKind::Ingresses { targets, fault })
    }

    fn restart(&mut self) -> Result<Option<Restart>, FaultError> {
        if self.0.next_if_eq(&"and").is_none() {
            return Ok(None);
        }
        self.expect("start")?;
        self.expect("after")?;
        let after = self.duration()?;
        let list: InitialList = self
            .next("the initial list (none, old or current)")?
            .parse()?;
        Ok(Some(Restart { after, list }))
    }

    fn clock_step(&mut self) -> Result<FaultKind, FaultError> {
        let direction = match self.next("ahead or back")? {
            "ahead" => 1,
            "back" => -1,
            found => return Err(invalid(found, "ahead or back")),
        };
        let step_ms = self.duration()?.as_millis() as i64;
        Ok(FaultKind::StepWallClock(direction * step_ms))
    }

    fn failing_call(&mut self) -> Result<FaultKind, FaultError> {
        let call = match self.next("a system call")? {
            "accept" => SystemCall::Accept,
            "connect" => SystemCall::Connect,
            "socket" => SystemCall::Socket,
            found => return Err(invalid(found, "one of accept, connect, socket")),
        };
        let one_in = self.number("the number of calls of which one fails", "a number")?;
        Ok(FaultKind::FailSystemCall { call, one_in })
    }

    fn instances(&mut self, fault: InstanceFault) -> Result<FaultKind, FaultError> {
        let targets = self.components()?;
        Ok(FaultKind::Instances { targets, fault })
    }

    fn list_service(&mut self) -> Result<ListServiceFault, FaultError> {
        match self.next("a fault of the list service")? {
            "silent" => Ok(ListServiceFault::Silent),
            "breaks" => Ok(ListServiceFault::Truncates(self.fraction()?)),
            "goes" => self.expect("back").map(|()| ListServiceFault::Restored),
            "turns" => {
                self.expect("away")?;
                Ok(ListServiceFault::Rejects(self.fraction()?))
            }
            found => Err(invalid(found, "a fault of the list service")),
        }
    }

    fn kind(&mut self) -> Result<FaultKind, FaultError> {
        match self.next("the kind of the fault")? {
            "link" => self.link(),
            "kill" => self.ingresses_with_restart(IngressFault::Kill),
            "term" => self.ingresses_with_restart(IngressFault::Terminate),
            "shutdown" => self.ingresses_with_restart(IngressFault::ShutDown),
            "reload" => self.ingresses(IngressFault::Reload),
            "hold" => self.ingresses(IngressFault::SuspendBriefly),
            "clock" => self.clock_step(),
            "calls" => self.failing_call(),
            "spoil" => self.instances(InstanceFault::TruncateResponses),
            "drain" => self.instances(InstanceFault::Drain),
            "list" => self.list_service().map(FaultKind::ListService),
            "stop" => self.ingresses(IngressFault::Suspend),
            "restart" => self.instances(InstanceFault::Restart),
            "replace" => self.instances(InstanceFault::Replace),
            "remove" => self.instances(InstanceFault::Remove),
            "fails" => self.instances(InstanceFault::FailRequests),
            "crowd" => self.components().map(FaultKind::Crowd),
            "foreign" => self.components().map(FaultKind::ForeignDatagrams),
            "mute" => self.instances(InstanceFault::NeverRespond),
            found => Err(invalid(found, "a known fault")),
        }
    }

    fn trigger(&mut self) -> Result<Trigger, FaultError> {
        match self.next("the trigger")? {
            "at" => self.duration().map(Trigger::At),
            "when" => {
                let count = self.number("a number", "a number")?;
                match self.next("listed or served")? {
                    "listed" => Ok(Trigger::Listed(count)),
                    "served" => Ok(Trigger::Served(count)),
                    found => Err(invalid(found, "listed or served")),
                }
            }
            found => Err(invalid(found, "at or when")),
        }
    }
}

/// Parses the line of a fault.
pub(super) fn parse(text: &str) -> Result<FaultSpec, FaultError> {
    let (trigger, effect) = text.split_once(": ").ok_or(FaultError::NoTrigger)?;
    let trigger = Tokens::of(trigger).trigger()?;
    let mut tokens = Tokens::of(effect);
    let kind = tokens.kind()?;
    let duration = match tokens.0.next_if_eq(&"for") {
        Some(_) => Some(tokens.duration()?),
        None => None,
    };
    match tokens.0.next() {
        Some(token) => Err(FaultError::Trailing(token.to_string())),
        None => Ok(FaultSpec {
            trigger,
            kind,
            duration,
        }),
    }
}
