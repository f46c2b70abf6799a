//! The real ingress: sockets round the decision module, by stage of a request.
//!
//! `accept` takes connections of service clients (`seats` knows which are silent, `framing` guards what they send),
//! `command` reads a request into the module's terms, `engine`
//! owns the module and all that is open, `instance` carries out attempts, `answer` writes what comes of it.
//! `name_table` follows discovery, `peers` carries datagrams, `shutdown` leads the way out. All of them reach
//! the engine by its queue only.

pub mod accept;
pub mod answer;
pub mod budget;
pub mod clock;
pub mod command;
pub mod config;
pub mod connection;
pub mod control;
pub mod engine;
pub mod framing;
pub mod instance;
pub mod listing;
pub mod message;
pub mod name_table;
pub mod pace;
pub mod peers;
pub mod registry;
pub mod reply;
pub mod seats;
pub mod shutdown;
pub mod withheld;

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use crate::operator::Operator;

/// Bodies hold this at most, in both directions.
pub const BODY_MOST: usize = 64 * 1024;
/// Messages that wait for the engine at most; senders wait for room, or drop what may be lost.
const QUEUE: usize = 1024;

/// Runs the ingress until it is told to stop and all that it took is answered.
pub fn serve(config: config::Config, operator: Operator, file: Option<String>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("cannot start the runtime: {e}"))?.block_on(run(config, operator, file))
}

async fn run(mut config: config::Config, operator: Operator, file: Option<String>) -> Result<(), String> {
    // First of all: a SIGTERM that comes early must not kill.
    let signals = shutdown::Signals::new()?;
    let clock = clock::Clock::start();
    let (queue, inbox) = mpsc::channel(QUEUE);
    let peers = peers::Peers::bind(&mut config).await?.map(Arc::new);
    let listener = accept::bind(&mut config.listen)?;
    let (source, discovery, operator) = config::Source::new(&config, operator, file);
    let budget = budget::Budget::new(config.sockets);
    let places = budget.places();
    let table = registry::begin(&operator, &config, clock, queue.clone());
    let merged = !table.same_channel(&queue);
    let pacers = pace::lead(operator, clock, places.clone(), (budget.clients, config.memory as u64));
    let engine = engine::Engine::new(&config, clock, peers.clone(), pacers.clone(), queue.clone());
    let (stage, stages) = watch::channel(applewall_control::Stage::Serving);
    let (orders, drains, inboxes) = control::queues();
    let operators = config.operator.as_mut().map(control::bind).transpose()?;
    tracing::info!("serving {}", config.summary());
    let mut engine = tokio::spawn(engine.run(inbox, inboxes.orders));
    let (_succession, succeeded) = watch::channel(false);
    if let Some(listener) = operators {
        let (told, ready) = watch::channel(true);
        let desk = control::Desk { orders, drains, stages: stages.clone(), ready };
        tokio::spawn(async move {
            control::serve(listener, desk).await;
            drop(told);
        });
    }
    if let Some(peers) = peers {
        tokio::spawn(peers.listen(queue.clone()));
    }
    let known = &config.known;
    let rev = (known.all && !known.targets.is_empty() && !merged).then_some(known.rev);
    let start = name_table::Start { rev, seed: config.seed };
    tokio::spawn(name_table::follow(discovery, start, config.facts.clone(), clock, table, merged));
    tokio::spawn(signals.lead(stage, inboxes.drains, succeeded, source));
    let door = accept::Door::new(&config, clock, places, pacers, queue, stages);
    tokio::select! {
        () = door.serve(listener) => {
            tracing::info!("stopped");
            Ok(())
        }
        // A panic of the module ends the program: nothing could be answered without it.
        ended = &mut engine => Err(format!("the engine stopped: {ended:?}")),
    }
}
