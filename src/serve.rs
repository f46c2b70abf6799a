//! The real ingress: sockets round the decision module, by stage of a request.
//!
//! `accept` takes connections of service clients (`seats` knows which are silent, `framing` guards what they send),
//! `command` reads a request into the module's terms, `engine`
//! owns the module and all that is open, `instance` carries out attempts, `answer` writes what comes of it.
//! `name_table` follows discovery, `peers` carries datagrams, `shutdown` leads the way out, `control` hears the operators,
//! `succession` hands over to another process. All of them reach
//! the engine by its queue only.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};

use crate::admin::listener as admin_listener;
use crate::config::operator::Operator;
use crate::config::platform;
use crate::discovery::{registry, startup, watch as endpoint_watch, zone_failover};
use crate::lifecycle::{hot_restart, process_role, shared_directory, shutdown};
use crate::limits::ENGINE_QUEUE_CAPACITY;
use crate::server::{acceptor, slow_peers};
use crate::{clock, engine, peer_socket, resource_budget};

/// Runs the ingress until it is told to stop and all that it took is answered.
pub(crate) fn serve(
    config: platform::Config,
    operator: Operator,
    file: Option<String>,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(|e| format!("cannot start the runtime: {e}"))?
        .block_on(run(config, operator, file))
}

async fn run(
    mut config: platform::Config,
    operator: Operator,
    file: Option<String>,
) -> Result<(), String> {
    // First of all: a SIGTERM that comes early must not kill.
    let signals = shutdown::Signals::new()?;
    let inherited = shared_directory::named()?;
    let place = inherited
        .is_some()
        .then(|| shared_directory::Place::new(&config.name));
    if place.is_some() {
        // Two processes may be there at once, within the limits of one.
        (config.sockets, config.memory) = (config.sockets / 2, config.memory / 2);
    }
    let (stage, stages) = watch::channel(applewall_admin::LifecyclePhase::Serving);
    let (orders, drains, inboxes) = admin_listener::queues();
    let (ready, is_ready) = watch::channel(place.is_none());
    // Until it is known whether there has to be a list first.
    let (listed, is_listed) = watch::channel(false);
    let (other, others) = watch::channel(None);
    let desk = admin_listener::Desk {
        orders: orders.clone(),
        drains,
        stages: stages.clone(),
        ready: is_ready,
        listed: is_listed.clone(),
        place: place.clone(),
        other: others,
        turn: Arc::default(),
    };
    // Before all that takes its time: until then READY is answered with a no.
    if let Some(listener) = config
        .operator
        .as_mut()
        .map(admin_listener::bind)
        .transpose()?
    {
        tokio::spawn(admin_listener::serve(listener, desk.clone()));
    }
    let heritage = match &place {
        Some(place) => hot_restart::join(place).await,
        None => None,
    };
    let (estate, link, datagrams) =
        heritage.map_or((None, None, None), hot_restart::Heritage::parts);
    let clock = estate
        .as_ref()
        .map_or_else(clock::Clock::start, |e| clock::Clock::resume_at(e.now));
    let drained = estate.as_ref().is_some_and(|e| e.drained);
    let before = match (estate, &place) {
        (Some(estate), _) => engine::InitialState::HotRestart(estate),
        (None, Some(place)) => engine::InitialState::Maintenance(place.read()),
        (None, None) if config.operator.is_some() => {
            engine::InitialState::Maintenance(Default::default())
        }
        (None, None) => engine::InitialState::WithoutAdmin,
    };
    let (queue, inbox) = mpsc::channel(ENGINE_QUEUE_CAPACITY);
    let peers = peer_socket::PeerSocket::bind(&mut config, datagrams)
        .await?
        .map(Arc::new);
    let listener = match inherited {
        Some(socket) => shared_directory::listener(socket, &mut config.listen)?,
        None => acceptor::bind(&mut config.listen).map_err(|e| e.to_string())?,
    };
    let known = &config.known;
    let rev = (known.all && !known.targets.is_empty()).then_some(known.rev);
    let zones =
        zone_failover::Zoning::new(&operator.zones, &config.facts, config.seed, clock.now());
    let turn = startup::Turn::new(&operator, &config, rev, clock, peers.clone());
    listed.send_replace(turn.is_none() || rev.is_some());
    if let Some(turn) = &turn {
        tokio::spawn(turn.clone().tell(listed));
    }
    let (source, discovery, operator) = platform::Source::new(&config, operator, file);
    let budget = resource_budget::ConnectionBudget::new(config.sockets);
    let places = budget.permits();
    let table = registry::begin(&operator, &config, clock, queue.clone());
    let merged = !table.same_channel(&queue);
    let pacers = slow_peers::follow_settings(
        operator,
        clock,
        places.clone(),
        slow_peers::Capacity {
            connections: budget.clients,
            memory_bytes: config.memory as u64,
        },
    );
    let engine = engine::Engine::new(
        &config,
        engine::Dependencies {
            clock,
            peers: peers.clone(),
            pacers: pacers.clone(),
            queue: queue.clone(),
            initial_state: before,
            zones,
        },
    );
    tracing::info!("serving {}", config.summary());
    let mut engine = tokio::spawn(engine.run(inbox, inboxes.orders));
    let (role, roles) = watch::channel(process_role::Role::Sole);
    if let Some(peers) = &peers {
        tokio::spawn(
            peers
                .clone()
                .listen(queue.clone(), roles.clone(), turn.clone()),
        );
    }
    let start = endpoint_watch::Start {
        rev: rev.filter(|_| !merged),
        seed: config.seed,
        turn,
    };
    tokio::spawn(endpoint_watch::follow(
        discovery,
        start,
        config.facts.clone(),
        clock,
        table,
        merged,
    ));
    let successor = process_role::Successor {
        role: roles,
        stopping: Arc::default(),
    };
    let longest = config
        .facts
        .policy
        .classes
        .iter()
        .map(|c| c.deadline_ns)
        .max()
        .unwrap_or(0);
    let termination =
        applewall_admin::ShutdownDeadlines::new(std::time::Duration::from_nanos(longest));
    tokio::spawn(signals.lead(
        stage,
        inboxes.drains,
        (successor.clone(), termination),
        drained,
        source,
    ));
    let door = acceptor::Acceptor::new(
        &config,
        acceptor::Dependencies {
            clock,
            permits: places,
            pacers,
            queue,
            phases: stages,
            has_endpoint_list: is_listed,
            successor,
        },
    );
    match place {
        Some(place) => {
            let (taken, all_taken) = oneshot::channel();
            let succession = hot_restart::Succession {
                place,
                role,
                other,
                desk,
                orders,
                peers,
            };
            let took_over = link.is_some();
            tokio::spawn(succession.lead(link, taken));
            let _ = all_taken.await;
            ready.send_replace(true);
            if took_over {
                tracing::info!("succession: taken over from the process before; ready");
            }
        }
        // Nobody else comes: the role stays what it is for as long as the program runs.
        None => drop(tokio::spawn(async move { role.closed().await })),
    }
    tokio::select! {
        () = door.serve(listener) => {
            tracing::info!("stopped");
            Ok(())
        }
        // A panic of the module ends the program: nothing could be answered without it.
        ended = &mut engine => Err(format!("the engine stopped: {ended:?}")),
    }
}
