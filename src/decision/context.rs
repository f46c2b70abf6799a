//! The context of an event: the settings, the current time and the random generator.

use applewall_node_types::{TimeSpan, Timestamp};
use rand::rngs::SmallRng;
use rand::Rng;

use super::fleet_size::is_large_fleet;
use crate::api::{Class, ClassId, NodeId, Plan, PlanId, PolicySettings};

/// The settings, the current time and the random generator.
///
/// A method that takes `&mut Context` uses the random generator; one that takes `&Context` does not. The order in
/// which random numbers are drawn is part of the policy's behaviour: the same seed and events give the same actions.
pub(crate) struct Context<'a> {
    settings: &'a PolicySettings,
    now: Timestamp,
    started_at: Timestamp,
    rng: &'a mut SmallRng,
}

impl<'a> Context<'a> {
    /// `started_at`: when this process started, or the process whose state it took over.
    pub(crate) fn new(
        settings: &'a PolicySettings,
        now: Timestamp,
        started_at: Timestamp,
        rng: &'a mut SmallRng,
    ) -> Self {
        Context {
            settings,
            now,
            started_at,
            rng,
        }
    }

    /// Time of the event that is being handled.
    pub(crate) fn now(&self) -> Timestamp {
        self.now
    }

    /// When this process started, or the process whose state it took over.
    pub(crate) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Time since [`started_at`](Self::started_at).
    pub(crate) fn age(&self) -> TimeSpan {
        self.now - self.started_at
    }

    /// Draws a random number in [0, 1).
    pub(crate) fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// Draws a random index below `bound`.
    pub(crate) fn draw_index(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }

    /// Draws another node of the fleet.
    pub(crate) fn draw_peer(&mut self) -> NodeId {
        let distance = 1 + self.rng.random_range(0..self.settings.node_count - 1);
        NodeId((self.settings.node.0 + distance) % self.settings.node_count)
    }

    pub(crate) fn settings(&self) -> &'a PolicySettings {
        self.settings
    }

    pub(crate) fn class(&self, class: ClassId) -> &'a Class {
        self.settings.class(class)
    }

    pub(crate) fn plan(&self, plan: PlanId) -> &'a Plan {
        self.settings.plan(plan)
    }

    pub(crate) fn latency_objective(&self, class: ClassId) -> TimeSpan {
        TimeSpan::from_nanoseconds(self.class(class).latency_objective_ns)
    }

    /// The shortest latency objective of all classes; infinite without classes.
    pub(crate) fn shortest_objective(&self) -> TimeSpan {
        self.settings
            .classes
            .iter()
            .map(|class| TimeSpan::from_nanoseconds(class.latency_objective_ns))
            .fold(TimeSpan::INFINITE, TimeSpan::min)
    }

    /// Window over which the overload of an endpoint in slow start is counted.
    pub(crate) fn overload_window(&self) -> TimeSpan {
        TimeSpan::from_nanoseconds(self.settings.overload_window_ns)
    }

    /// Duration of slow start, after which an endpoint has its full capacity.
    pub(crate) fn slow_start_span(&self) -> TimeSpan {
        TimeSpan::from_nanoseconds(self.settings.slow_start_ns)
    }

    /// Number of this node.
    pub(crate) fn node(&self) -> NodeId {
        self.settings.node
    }

    /// Number of nodes in the fleet, at least 1.
    pub(crate) fn node_count(&self) -> u32 {
        self.settings.node_count.max(1)
    }

    /// Returns true if the fleet is too large for each node to report to all others.
    pub(crate) fn is_large_fleet(&self) -> bool {
        is_large_fleet(self.settings)
    }
}
