//! Seeded simulations of several nodes of the decision policy. All actions are hashed by section, and the hashes are compared
//! with `tests/golden/decisions.txt`: a refactoring must not change any decision, nor the order in which random numbers are
//! drawn.

#![expect(
    clippy::too_many_lines,
    reason = "the script of a simulation is one function"
)]

mod decision_play;
mod support;

use applewall::api::*;
use decision_play::{endpoints, Conditions, Simulation};
use support::fleet::encode_load_statistics;
use support::policy::{endpoint, MILLISECOND, SECOND};

const GOLDEN: &str = include_str!("golden/decisions.txt");

/// Simulates all sections for one size of fleet.
fn simulate(
    name: &str,
    seed: u64,
    node_count: u32,
    active_nodes: u32,
    messages_per_second: f64,
    lines: &mut String,
) {
    let usual = Conditions {
        demand: 40,
        datagrams_lost: 5,
        max_datagram_delay_ms: 40,
        ..Conditions::default()
    };
    let mut simulation = Simulation::new(seed, node_count, active_nodes, messages_per_second);
    simulation.advance(4 * SECOND, usual);
    simulation.section(lines, &format!("{name} calm"));
    simulation.advance(
        4 * SECOND,
        Conditions {
            failed: 8,
            overloaded: 5,
            timed_out: 5,
            reset: 4,
            connect_failed: 4,
            disconnecting: 10,
            ..usual
        },
    );
    simulation.section(lines, &format!("{name} faults"));
    simulation.advance(
        3 * SECOND,
        Conditions {
            failing_endpoint: Some(4),
            added_latency_ms: 30,
            ..usual
        },
    );
    simulation.section(lines, &format!("{name} one backend fails"));
    simulation.advance(
        5 * SECOND,
        Conditions {
            demand: 250,
            added_latency_ms: 500,
            overloaded: 10,
            timed_out: 10,
            ..usual
        },
    );
    simulation.section(lines, &format!("{name} overload"));
    simulation.advance(4 * SECOND, usual);
    simulation.section(lines, &format!("{name} recovery"));
    let started_at = simulation.now;
    simulation.handle_at_all(|| {
        Event::EndpointUpdate(
            EndpointUpdateKind::Delta,
            endpoints(Some((2, started_at)), &[0, 5])[..6].into(),
        )
    });
    simulation.advance(
        3 * SECOND,
        Conditions {
            demand: 80,
            ..usual
        },
    );
    simulation.handle_at_all(|| Event::EndpointUpdate(EndpointUpdateKind::Failed, [].into()));
    simulation.advance(SECOND, usual);
    simulation.section(lines, &format!("{name} drain and slow start"));
    simulation.handle_at_all(|| {
        Event::EndpointUpdate(
            EndpointUpdateKind::Snapshot,
            endpoints(None, &[])[3..].into(),
        )
    });
    let returned = endpoints(None, &[])[7].clone();
    simulation.handle(1, Event::ReturnedToService(returned), usual);
    simulation.handle(2, Event::ZoneTrafficShares(vec![0.25, 1.0]), usual);
    simulation.advance(
        3 * SECOND,
        Conditions {
            demand: 60,
            ..usual
        },
    );
    simulation.section(
        lines,
        &format!("{name} full list, maintenance, zone shares"),
    );
    simulation.advance(
        3 * SECOND,
        Conditions {
            datagrams_lost: 60,
            max_datagram_delay_ms: 900,
            demand: 90,
            ..usual
        },
    );
    simulation.section(lines, &format!("{name} lost and late datagrams"));
    simulation.hot_restart(1);
    simulation.advance(
        3 * SECOND,
        Conditions {
            demand: 70,
            ..usual
        },
    );
    simulation.section(lines, &format!("{name} hand-over"));
    // The clock jumps; then there are so few requests that customers without new ones are forgotten.
    simulation.now += 2 * SECOND;
    simulation.advance(12 * SECOND, Conditions { demand: 2, ..usual });
    simulation.advance(
        2 * SECOND,
        Conditions {
            demand: 120,
            added_latency_ms: 200,
            ..usual
        },
    );
    simulation.section(lines, &format!("{name} gap, forgetting, surge"));
}

/// Simulates many endpoints, of which each node uses a subset, and rarer conditions.
fn simulate_many_endpoints(
    name: &str,
    seed: u64,
    node_count: u32,
    active_nodes: u32,
    lines: &mut String,
) {
    let usual = Conditions {
        demand: 60,
        datagrams_lost: 5,
        max_datagram_delay_ms: 40,
        ..Conditions::default()
    };
    let mut simulation = Simulation::new(seed, node_count, active_nodes, 40.0);
    let many_endpoints = |started: Option<u64>, ready: u32| -> Vec<Endpoint> {
        let endpoint = |number: u32| Endpoint {
            machine_type: MachineTypeId(number % 2),
            cell: CellId(i64::from(number % 7)),
            started_at_ns: started,
            state: if number < ready {
                EndpointState::Ready
            } else {
                EndpointState::Removed
            },
            ..endpoint(&format!("w{number}"), number % 3)
        };
        (0..48).map(endpoint).collect()
    };
    let started_at = simulation.now;
    simulation.handle_at_all(|| {
        Event::EndpointUpdate(
            EndpointUpdateKind::Snapshot,
            many_endpoints(Some(started_at), 48).into(),
        )
    });
    simulation.advance(
        5 * SECOND,
        Conditions {
            demand: 150,
            added_latency_ms: 60,
            ..usual
        },
    );
    simulation.section(lines, &format!("{name} all backends start at once"));
    simulation.advance(
        5 * SECOND,
        Conditions {
            reset: 70,
            connect_failed: 5,
            demand: 20,
            ..usual
        },
    );
    simulation.section(lines, &format!("{name} connections break"));
    simulation.advance(
        5 * SECOND,
        Conditions {
            failed: 75,
            demand: 60,
            ..usual
        },
    );
    simulation.section(lines, &format!("{name} retries run out"));
    simulation.advance(
        5 * SECOND,
        Conditions {
            failed: 40,
            added_latency_ms: 900,
            demand: 30,
            ..usual
        },
    );
    simulation.section(lines, &format!("{name} late failures of keyed requests"));
    simulation.handle_at_all(|| {
        Event::EndpointUpdate(
            EndpointUpdateKind::Snapshot,
            many_endpoints(None, 10).into(),
        )
    });
    simulation.advance(
        4 * SECOND,
        Conditions {
            timed_out: 15,
            ..usual
        },
    );
    simulation.handle_at_all(|| {
        Event::EndpointUpdate(EndpointUpdateKind::Delta, many_endpoints(None, 31).into())
    });
    simulation.advance(3 * SECOND, usual);
    simulation.section(lines, &format!("{name} most backends go, some come back"));
    for _ in 0..6 {
        simulation.now += 450 * MILLISECOND;
        simulation.advance(
            500 * MILLISECOND,
            Conditions {
                demand: 80,
                timed_out: 20,
                ..usual
            },
        );
    }
    simulation.section(lines, &format!("{name} the clock jumps"));
    let implausible =
        encode_load_statistics([900.0, 700.0, 0.0, 0.0, 0.0, 100.0, 400.0, 90.0, 700.0]);
    for _ in 0..20 {
        simulation.handle_at_all(|| Event::PeerMessage {
            from: NodeId(node_count - 1),
            text: implausible.clone(),
        });
        simulation.advance(200 * MILLISECOND, usual);
    }
    simulation.section(lines, &format!("{name} a peer's wild statistics"));
    simulation.advance(
        12 * SECOND,
        Conditions {
            demand: 3,
            overloaded: 50,
            added_latency_ms: 400,
            ..usual
        },
    );
    simulation.advance(8 * SECOND, Conditions { demand: 3, ..usual });
    simulation.section(lines, &format!("{name} little traffic"));
    simulation.advance(
        3 * SECOND,
        Conditions {
            demand: 300,
            ..usual
        },
    );
    simulation.advance(
        6 * SECOND,
        Conditions {
            demand: 10,
            ..usual
        },
    );
    simulation.section(lines, &format!("{name} a surge after silence"));
}

#[test]
fn every_decision_of_the_seeded_simulations_is_as_recorded() {
    let mut lines = String::new();
    simulate("small", 11, 4, 4, 100.0, &mut lines);
    simulate("medium", 12, 10, 10, 40.0, &mut lines);
    simulate("large", 13, 160, 12, 40.0, &mut lines);
    simulate("no messages taken in", 14, 4, 4, 0.0, &mut lines);
    simulate_many_endpoints("wide", 15, 160, 8, &mut lines);
    simulate_many_endpoints("wide small", 16, 3, 3, &mut lines);
    simulate_many_endpoints("wide sets", 17, 48, 12, &mut lines);
    assert_eq!(lines, GOLDEN, "decisions differ from the recorded ones");
}
