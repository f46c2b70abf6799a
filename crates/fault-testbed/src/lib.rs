//! Trials of many real processes of the daemon on loopback, with faults between them.
//!
//! A trial ([`trial`]) names sizes, traffic and faults; [`run`] plays it: it starts the daemon's processes ([`process`]),
//! stand-ins for limit servers and the list service, and clients, and leads every way between two parts through links
//! ([`net`], [`pipe`], [`faces`]) that lose, delay, silence or reset. What crosses is written down in a journal
//! ([`journal`]); the verdict is the checkers' ([`check`]), which read nothing else. Nothing here links the daemon.

pub mod capacity;
pub mod check;
pub mod clients;
pub mod faces;
pub mod fault;
mod inject;
pub mod instance;
pub mod journal;
pub mod list;
pub mod measure;
pub mod net;
pub mod parts;
pub mod pipe;
pub mod process;
pub mod report;
pub mod run;
pub mod trial;
mod world;
