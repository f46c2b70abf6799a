//! Scripted peers of the daemon, written from the protocol's description alone: nothing here knows the daemon's code.
//!
//! Each speaks bytes on sockets by a script with a seed, keeps counts of what crossed them, and listens on loopback
//! only. The program `applewall-fake` starts one, so that a person can try the daemon by hand.

pub mod clients;
pub mod consul;
pub mod daemon;
pub mod discovery;
pub mod etcd;
pub mod http;
pub mod instance;
pub mod tcp_proxy;
pub mod wait;
