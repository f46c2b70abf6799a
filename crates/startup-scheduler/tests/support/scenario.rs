//! Scenarios of the simulation.

use super::observed::Observed;
use super::simulation::Simulation;

/// A scenario: a fleet, the capacity of the list service, and the faults of the network and the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) fleet_size: u32,
    /// The configured call budget of the nodes.
    pub(crate) calls_per_second: f64,
    /// The service's actual capacity, relative to the configured budget.
    pub(crate) capacity: f64,
    /// Fraction of datagrams that are lost.
    pub(crate) loss_fraction: f64,
    /// Maximum delay of a datagram, s.
    pub(crate) max_delay: f64,
    /// Probability that a starting node restores a list.
    pub(crate) restored_fraction: f64,
    /// Fraction of the fleet that keeps running and does not start.
    pub(crate) running_fraction: f64,
    /// Time until which the service does not answer, s.
    pub(crate) silent_until: f64,
    /// Whether the service then answers or rejects all queued calls at once; otherwise they time out.
    pub(crate) answers_queued_calls: bool,
    /// Period over which the nodes start one after the other, s.
    pub(crate) start_stagger: f64,
    pub(crate) seed: u64,
}

/// A fleet of 300 nodes that all start at the same time and without a list.
pub(crate) const ALL_WITHOUT_LIST: Scenario = Scenario {
    fleet_size: 300,
    calls_per_second: 60.0,
    capacity: 1.1,
    loss_fraction: 0.05,
    max_delay: 0.035,
    restored_fraction: 0.0,
    running_fraction: 0.0,
    silent_until: 0.0,
    answers_queued_calls: false,
    start_stagger: 0.0,
    seed: 1,
};

impl Scenario {
    /// Number of nodes that keep running: those with the lowest ids.
    pub(super) fn running_nodes(&self) -> u32 {
        (f64::from(self.fleet_size) * self.running_fraction) as u32
    }

    /// Number of nodes that start.
    pub(crate) fn starting_nodes(&self) -> u32 {
        self.fleet_size - self.running_nodes()
    }

    /// Simulates the scenario until all nodes have their list or the simulation times out.
    pub(crate) fn run(self) -> Observed {
        let mut simulation = Simulation::new(self);
        simulation.run();
        simulation.observed
    }
}
