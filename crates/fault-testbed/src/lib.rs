//! Trials of many real processes of the daemon on loopback, with faults between them.
//!
//! A trial file ([`trial`]) states sizes, traffic and faults ([`fault`]); [`mod@run`] runs it: it starts the daemon's processes
//! ([`process`]), fakes of the limit servers ([`instance`]) and of the list service ([`list_service`]), and [`clients`].
//! All traffic passes through proxies ([`tcp_proxy`], [`udp_proxy`]) that apply the condition of its link ([`network`]): loss,
//! delay, silence or resets. Requests, responses, attempts, faults and process exits are recorded in a [`journal`], the only
//! input of the checkers ([`check`]). The daemon's code is not linked.

pub mod capacity;
pub mod check;
pub mod clients;
mod environment;
pub mod fault;
pub mod instance;
pub mod journal;
pub mod list_service;
pub mod measure;
pub mod network;
pub mod process;
pub mod report;
pub mod run;
pub mod soak;
pub mod tcp_proxy;
pub mod topology;
pub mod trial;
pub mod udp_proxy;
