//! A long outage of discovery, with a drain that is told at its return.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::agent::Agent;
use crate::daemon::{self, Daemon, Launch};
use crate::moved::client;
use crate::record;
use crate::site::{self, Scratch, Server, Settings};

const INGRESSES: u32 = 3;
/// The ingresses start this long one after the other.
const START_SPREAD: Duration = Duration::from_millis(650);
const CLIENTS: u64 = 8;
const OUTAGE: Duration = Duration::from_secs(85);
/// The grace of drains and the slack of all time limits on sockets.
const JUDGED_AFTER: Duration = Duration::from_millis(550);

/// Plays the case; returns how many requests came to a limit server too long after its drain was told.
pub fn play(root: &Path, trouble: bool) -> std::io::Result<usize> {
    let scratch = Scratch::new()?;
    let heard = site::Heard::default();
    let mut servers = Vec::new();
    for number in 0..9 {
        let uid = format!("s-{number}");
        let server = Server {
            uid: uid.clone(),
            work: Duration::from_millis(60),
            heard: if number == 0 {
                heard.clone()
            } else {
                site::Heard::default()
            },
        };
        servers.push((uid, server.start()?));
    }
    let nodes = site::nodes(INGRESSES);
    let settings = Settings {
        idempotency: "retryable",
        nodes: INGRESSES,
    };
    let (mut agents, mut daemons): (Vec<Agent>, Vec<Daemon>) = (Vec::new(), Vec::new());
    for me in 0..INGRESSES {
        let node = &nodes[me as usize];
        // Each ingress has an agent on its own machine.
        let agent = Agent::start(&servers)?;
        let config = scratch.0.join(format!("config-{me}.json"));
        site::write_config(&config, &settings, me, &nodes, &agent)?;
        let launch = Launch {
            root,
            tmp: &scratch.0,
            name: &format!("n{me}"),
            config: &config,
            listen: node.listen,
            discovery: agent.address,
            operator: None,
            socket: None,
            log: scratch.0.join(format!("n{me}.log")),
        };
        daemons.push(launch.start()?);
        std::thread::sleep(START_SPREAD);
        agents.push(agent);
    }
    for node in &nodes {
        if !daemon::wait_ready(node.listen, Duration::from_secs(30)) {
            record::say("an ingress was not ready within 30 s");
            return Err(std::io::ErrorKind::TimedOut.into());
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = nodes
        .iter()
        .flat_map(|node| (1..=CLIENTS).map(|customer| (node.listen, customer)))
        .map(|(listen, customer)| {
            let stop = stop.clone();
            std::thread::spawn(move || client(customer, listen, &stop))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    if trouble {
        record::line("discovery is down: the agents say nothing");
        agents.iter().for_each(|agent| agent.set_silent(true));
    }
    std::thread::sleep(OUTAGE);
    record::line("discovery is there, and tells that s-0 is terminating");
    // Before the change, so that no agent has it earlier than it speaks.
    agents.iter().for_each(|agent| agent.set_silent(false));
    agents
        .iter()
        .for_each(|agent| agent.change("s-0", "terminating"));
    let told = Instant::now();
    std::thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::SeqCst);
    let mut answers = 0;
    for client in clients {
        answers += client.join().expect("a client");
    }
    for daemon in &mut daemons {
        if let Some(status) = daemon.ended() {
            record::say(&format!("an ingress ended by itself: {status}"));
        }
    }
    let heard = heard.lock().unwrap();
    let before = heard.iter().filter(|at| **at < told).count();
    let after = |limit: Duration| heard.iter().filter(|at| **at > told + limit).count();
    let last = heard
        .iter()
        .map(|at| at.saturating_duration_since(told))
        .max();
    record::say(&format!(
        "{answers} answers; s-0 got {before} requests before the drain was told, {} later than 0.55 s, the last {:?} after it",
        after(JUDGED_AFTER),
        last.unwrap_or_default()
    ));
    if before == 0 {
        return Err(std::io::Error::other("no traffic"));
    }
    Ok(after(JUDGED_AFTER))
}
