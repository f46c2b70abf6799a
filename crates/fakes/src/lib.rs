//! Fakes of the clients and services that the daemon talks to, written from the descriptions of the protocols. They do not
//! use the daemon's code.
//!
//! Servers listen on loopback only and count what they receive. Fakes with random behavior take a seed. The program
//! `applewall-fake` runs a single fake, for manual tests of the daemon. The `measure-*` programs measure the daemon
//! against fakes and share the harness in [`measurement`].

pub mod clients;
pub mod consul;
pub mod daemon;
pub mod discovery;
pub mod etcd;
pub mod hot_restart_gate;
pub mod http;
pub mod instance;
pub mod measurement;
pub mod process_usage;
pub mod tcp_proxy;
pub mod wait;
