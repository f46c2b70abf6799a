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

use crate::admin::{handle as admin_handle, listener as admin_listener};
use crate::config::operator::OperatorConfig;
use crate::config::{platform, reload};
use crate::discovery::{registry, startup, watch as endpoint_watch, zone_failover};
use crate::lifecycle::{hot_restart, inherited_socket, process_role, shared_directory, shutdown};
use crate::limits::ENGINE_QUEUE_CAPACITY;
use crate::server::{acceptor, slow_peers};
use crate::{clock, engine, peer_socket, resource_budget};

/// Runs the ingress until it is told to stop and all that it took is answered.
pub(crate) fn serve(
    config: platform::PlatformConfig,
    operator: OperatorConfig,
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
    mut config: platform::PlatformConfig,
    operator: OperatorConfig,
    file: Option<String>,
) -> Result<(), String> {
    // First of all: a SIGTERM that comes early must not kill.
    let signals = shutdown::Signals::new().map_err(|e| e.to_string())?;
    let inherited = inherited_socket::descriptor().map_err(|e| e.to_string())?;
    let place = inherited
        .is_some()
        .then(|| shared_directory::SharedDirectory::new(&config.name));
    if place.is_some() {
        // Two processes may be there at once, within the limits of one.
        (config.max_descriptors, config.max_memory_bytes) =
            (config.max_descriptors / 2, config.max_memory_bytes / 2);
    }
    let (stage, stages) = watch::channel(applewall_admin::LifecyclePhase::Serving);
    let (orders, drains, inboxes) = admin_handle::channels();
    let (ready, is_ready) = watch::channel(place.is_none());
    // Until it is known whether there has to be a list first.
    let (listed, is_listed) = watch::channel(false);
    let (other, others) = watch::channel(None);
    let desk = admin_handle::AdminHandle {
        control: orders.clone(),
        drain_requests: drains,
        phase: stages.clone(),
        ready: is_ready,
        has_endpoints: is_listed.clone(),
        shared_directory: place.clone(),
        other_process: others,
        maintenance_lock: Arc::default(),
    };
    // Before all that takes its time: until then READY is answered with a no.
    if let Some(listener) = config
        .admin_listen
        .as_mut()
        .map(admin_listener::bind)
        .transpose()
        .map_err(|e| e.to_string())?
    {
        tokio::spawn(admin_listener::serve(listener, desk.clone()));
    }
    let heritage = match &place {
        Some(place) => hot_restart::take_over(place).await,
        None => None,
    };
    let (estate, link, datagrams) = heritage.map_or(
        (None, None, None),
        hot_restart::ReceivedTransfer::into_parts,
    );
    let clock = estate
        .as_ref()
        .map_or_else(clock::Clock::start, |e| clock::Clock::resume_at(e.now_ns));
    let drained = estate.as_ref().is_some_and(|e| e.draining);
    let before = match (estate, &place) {
        (Some(estate), _) => engine::InitialState::HotRestart(estate),
        (None, Some(place)) => engine::InitialState::Maintenance(place.read_maintenance_set()),
        (None, None) if config.admin_listen.is_some() => {
            engine::InitialState::Maintenance(Default::default())
        }
        (None, None) => engine::InitialState::WithoutAdmin,
    };
    let (queue, inbox) = mpsc::channel(ENGINE_QUEUE_CAPACITY);
    let peers = peer_socket::PeerSocket::bind(&mut config, datagrams)
        .await?
        .map(Arc::new);
    let listener = match inherited {
        Some(socket) => {
            inherited_socket::listener(socket, &mut config.listen).map_err(|e| e.to_string())?
        }
        None => acceptor::bind(&mut config.listen).map_err(|e| e.to_string())?,
    };
    let known = &config.known_endpoints;
    let rev = (known.complete && !known.targets.is_empty()).then_some(known.revision);
    let zones = zone_failover::ZoneFailover::new(
        &operator.zones,
        &config.settings,
        config.seed,
        clock.now(),
    );
    let turn = startup::StartupSchedule::new(&operator, &config, rev, clock, peers.clone());
    listed.send_replace(turn.is_none() || rev.is_some());
    if let Some(turn) = &turn {
        tokio::spawn(turn.clone().publish_readiness(listed));
    }
    let (source, reloaded) = reload::ConfigReloader::new(&config, operator, file);
    let (discovery, operator) = (reloaded.discovery, reloaded.operator);
    let budget = resource_budget::ConnectionBudget::new(config.max_descriptors);
    let places = budget.permits();
    let table = registry::start(&operator, &config, clock, queue.clone());
    let merged = !table.same_channel(&queue);
    let pacers = slow_peers::follow_settings(
        operator,
        clock,
        places.clone(),
        slow_peers::Capacity {
            connections: budget.clients,
            memory_bytes: config.max_memory_bytes as u64,
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
    let mut engine = tokio::spawn(engine.run(inbox, inboxes.control));
    let (role, roles) = process_role::RoleOwner::new();
    if let Some(peers) = &peers {
        tokio::spawn(peers.clone().listen(
            queue.clone(),
            roles.clone(),
            turn.clone().map(|it| it as _),
        ));
    }
    let start = endpoint_watch::WatchStart {
        revision: rev.filter(|_| !merged),
        seed: config.seed,
        schedule: turn,
        pass_on_unchanged: merged,
    };
    tokio::spawn(endpoint_watch::follow(
        discovery,
        start,
        config.settings.clone(),
        clock,
        table,
    ));
    let successor = process_role::ProcessStatus {
        role: roles,
        shutdown_times: Arc::default(),
    };
    let longest = config
        .settings
        .policy
        .classes
        .iter()
        .map(|c| c.deadline_ns)
        .max()
        .unwrap_or(0);
    let termination =
        applewall_admin::ShutdownDeadlines::new(std::time::Duration::from_nanos(longest));
    tokio::spawn(
        shutdown::LifecycleDriver {
            signals,
            phase: stage,
            drain_requests: inboxes.drain_requests,
            status: successor.clone(),
            deadlines: termination,
            draining: drained,
            reloader: source,
        }
        .run(),
    );
    let door = acceptor::Acceptor::new(
        &config,
        acceptor::Dependencies {
            clock,
            permits: places,
            pacers,
            queue,
            phases: stages,
            has_endpoint_list: is_listed,
            status: successor,
        },
    );
    match place {
        Some(place) => {
            let (taken, all_taken) = oneshot::channel();
            let succession = hot_restart::HotRestart {
                shared_directory: place,
                role,
                other_process: other,
                admin: desk,
                control: orders,
                peers,
            };
            let took_over = link.is_some();
            tokio::spawn(succession.run(link, taken));
            let _ = all_taken.await;
            ready.send_replace(true);
            if took_over {
                tracing::info!("hot restart: taken over from the process before; ready");
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
