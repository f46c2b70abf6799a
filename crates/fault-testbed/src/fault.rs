//! A fault as one line of a trial's file: when it comes, what it is, how long it lasts.
//!
//! `at 2s: link ingress:zone=0 <-> list silent for 3s`, `when 12 listed: kill ingress:0.7 and start after 200ms old`,
//! `at 1s: stop ingress:3 for 5s`, `at 0s: list turns away 0.9 for 4s`, `at 3s: restart instance:all`.

#![expect(
    missing_docs,
    reason = "fields are documented as the module is reworked"
)]

use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::de::Error;
use serde::{Deserialize, Deserializer};

use crate::net::Condition;
use crate::parts::Set;

/// When a fault comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum When {
    /// So long after the start.
    At(Duration),
    /// Once so many ingresses have been answered by the list service.
    Listed(usize),
    /// Once so many requests have been served.
    Served(usize),
}

/// What an ingress that starts again knows of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// Nothing.
    None,
    /// The list as it was at the trial's start.
    Old,
    /// The list as it is.
    Current,
}

impl FromStr for Known {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Known::None),
            "old" => Ok(Known::Old),
            "current" => Ok(Known::Current),
            _ => Err(format!("'{text}' is none of none, old, current")),
        }
    }
}

/// What the list service does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListFault {
    /// Says nothing: calls wait.
    Silent,
    /// Turns this share of the calls away at once.
    TurnsAway(f64),
    /// Breaks off in the middle of this share of its answers.
    Breaks(f64),
    /// Its revisions go back, as after a restore.
    GoesBack,
}

/// What a fault is.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Links between two sets, one way or both.
    Link {
        from: Set,
        to: Set,
        both: bool,
        condition: Condition,
    },
    /// Processes killed; started again after a while with what they know, or not at all.
    Kill {
        who: Set,
        again: Option<(Duration, Known)>,
    },
    /// Processes stopped, and continued at the fault's end.
    Stop { who: Set },
    /// Something of the list service.
    List(ListFault),
    /// Limit servers start again, cold.
    Restart { who: Set },
    /// Limit servers are replaced by new ones under other ids, cold.
    Replace { who: Set },
    /// Limit servers end and do not come back; the list is told.
    Remove { who: Set },
    /// Limit servers answer 500 at once.
    Fails { who: Set },
    /// A stranger sends them datagrams.
    Foreign { who: Set },
    /// Limit servers accept and never answer.
    Mute { who: Set },
}

/// One fault.
#[derive(Clone, Debug, PartialEq, JsonSchema)]
#[schemars(transparent)]
pub struct Fault {
    #[schemars(with = "String")]
    raw: Raw,
}

/// A fault's parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Raw {
    /// When it comes.
    pub when: When,
    /// What it is.
    pub kind: Kind,
    /// How long it lasts; none: for ever.
    pub lasts: Option<Duration>,
}

impl std::ops::Deref for Fault {
    type Target = Raw;

    fn deref(&self) -> &Raw {
        &self.raw
    }
}

impl<'de> Deserialize<'de> for Fault {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        String::deserialize(from)?.parse().map_err(D::Error::custom)
    }
}

/// The words of a fault, one after the other.
struct Words<'a>(std::iter::Peekable<std::str::SplitWhitespace<'a>>);

impl<'a> Words<'a> {
    fn next(&mut self, what: &str) -> Result<&'a str, String> {
        self.0
            .next()
            .ok_or_else(|| format!("{what} is missing at the end"))
    }

    fn expect(&mut self, word: &str) -> Result<(), String> {
        match self.next(&format!("'{word}'"))? {
            found if found == word => Ok(()),
            found => Err(format!("'{found}' stands where '{word}' should")),
        }
    }

    fn read<T: FromStr>(&mut self, what: &str) -> Result<T, String> {
        let word = self.next(what)?;
        word.parse().map_err(|_| format!("'{word}' is no {what}"))
    }

    fn set(&mut self) -> Result<Set, String> {
        self.next("a set of parts")?.parse()
    }

    fn span(&mut self) -> Result<Duration, String> {
        let word = self.next("a time")?;
        humantime::parse_duration(word)
            .map_err(|_| format!("'{word}' is no time such as 250ms or 2s"))
    }

    fn share(&mut self) -> Result<f64, String> {
        let share: f64 = self.read("share")?;
        if (0.0..=1.0).contains(&share) {
            Ok(share)
        } else {
            Err(format!("{share} is no share from 0 to 1"))
        }
    }

    fn condition(&mut self) -> Result<Condition, String> {
        let mut condition = Condition::default();
        while let Some(word) = self.0.next_if(|w| *w != "for") {
            match word {
                "silent" => condition.silent = true,
                "reset" => condition.reset = true,
                "loss" => condition.loss = self.share()?,
                "twice" => condition.twice = self.share()?,
                "torn" => condition.torn = self.share()?,
                "delay" => condition.delay = self.span()?,
                "spread" => condition.spread = self.span()?,
                "rate" => condition.rate = Some(self.read("rate in bytes a second")?),
                other => return Err(format!("'{other}' is nothing that a link does")),
            }
        }
        match condition == Condition::default() {
            true => Err("it says nothing of what the link does".to_string()),
            false => Ok(condition),
        }
    }

    fn kind(&mut self) -> Result<Kind, String> {
        match self.next("what it is")? {
            "link" => {
                let from = self.set()?;
                let both = match self.next("-> or <->")? {
                    "->" => false,
                    "<->" => true,
                    other => return Err(format!("'{other}' is neither -> nor <->")),
                };
                Ok(Kind::Link {
                    from,
                    to: self.set()?,
                    both,
                    condition: self.condition()?,
                })
            }
            "kill" => {
                let who = self.set()?;
                let again = match self.0.next_if_eq(&"and") {
                    None => None,
                    Some(_) => {
                        self.expect("start")?;
                        self.expect("after")?;
                        Some((self.span()?, self.next("what it knows")?.parse()?))
                    }
                };
                Ok(Kind::Kill { who, again })
            }
            "stop" => Ok(Kind::Stop { who: self.set()? }),
            "restart" => Ok(Kind::Restart { who: self.set()? }),
            "replace" => Ok(Kind::Replace { who: self.set()? }),
            "remove" => Ok(Kind::Remove { who: self.set()? }),
            "fails" => Ok(Kind::Fails { who: self.set()? }),
            "foreign" => Ok(Kind::Foreign { who: self.set()? }),
            "mute" => Ok(Kind::Mute { who: self.set()? }),
            "list" => match self.next("what the list service does")? {
                "silent" => Ok(Kind::List(ListFault::Silent)),
                "breaks" => Ok(Kind::List(ListFault::Breaks(self.share()?))),
                "goes" => self
                    .expect("back")
                    .map(|()| Kind::List(ListFault::GoesBack)),
                "turns" => {
                    self.expect("away")?;
                    Ok(Kind::List(ListFault::TurnsAway(self.share()?)))
                }
                other => Err(format!("'{other}' is nothing that the list service does")),
            },
            other => Err(format!("'{other}' is no fault")),
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (when, what) = text
            .split_once(": ")
            .ok_or("a fault is 'at TIME: ...' or 'when N listed: ...'")?;
        let mut words = Words(when.split_whitespace().peekable());
        let when = match words.next("when it comes")? {
            "at" => When::At(words.span()?),
            "when" => {
                let many = words.read("number")?;
                match words.next("listed or served")? {
                    "listed" => When::Listed(many),
                    "served" => When::Served(many),
                    other => return Err(format!("'{other}' is neither listed nor served")),
                }
            }
            other => return Err(format!("'{other}' is neither at nor when")),
        };
        let mut words = Words(what.split_whitespace().peekable());
        let kind = words.kind()?;
        let lasts = match words.0.next_if_eq(&"for") {
            Some(_) => Some(words.span()?),
            None => None,
        };
        match words.0.next() {
            Some(word) => Err(format!("'{word}' is too much")),
            None => Ok(Fault {
                raw: Raw { when, kind, lasts },
            }),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_are_read_as_they_are_written_and_what_is_wrong_is_named() {
        let read = |text: &str| text.parse::<Fault>();
        let cut = read("at 2s: link ingress:zone=0 <-> list silent loss 0.3 delay 1s for 3s")
            .expect("a cut");
        assert_eq!(
            (cut.when, cut.lasts),
            (
                When::At(Duration::from_secs(2)),
                Some(Duration::from_secs(3))
            )
        );
        let Kind::Link {
            both: true,
            condition,
            ..
        } = cut.kind
        else {
            panic!("{cut:?}")
        };
        assert!(
            condition.silent && condition.loss == 0.3 && condition.delay == Duration::from_secs(1)
        );
        let kill =
            read("when 12 listed: kill ingress:0.7 and start after 200ms old").expect("a kill");
        assert_eq!(kill.when, When::Listed(12));
        assert!(matches!(
            kill.kind,
            Kind::Kill {
                again: Some((_, Known::Old)),
                ..
            }
        ));
        for (wrong, why) in [
            ("kill ingress:1", "a fault is"),
            ("at two: kill ingress:1", "'two' is no time"),
            ("when 3 eaten: kill ingress:1", "'eaten' is neither"),
            ("at 1s: eat ingress:1", "'eat' is no fault"),
            ("at 1s: link list -> clients", "it says nothing"),
            ("at 1s: link list -> clients loss 2", "2 is no share"),
            ("at 1s: list turns away 0.5 for ever", "'ever' is no time"),
            ("at 1s: stop ingress:1 now", "'now' is too much"),
        ] {
            let told = read(wrong).expect_err(wrong);
            assert!(told.contains(why), "{wrong}: {told}");
        }
    }
}
