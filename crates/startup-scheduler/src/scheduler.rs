//! The scheduler: the state of one node, and how each input updates it.
//!
//! Owned by one task or protected by one lock. Invariant: a peer's message never changes the node's own list; it can only
//! move a call within the bounds of one fleet window.

mod call_times;
mod call_window;
mod cohort_size;
mod gossip;
mod reply_budget;
mod slot;

#[cfg(test)]
mod tests;

use applewall_node_types::{NodeId, TimeSpan, Timestamp};
use rand::rngs::SmallRng;
use rand::SeedableRng;

use self::reply_budget::ReplyBudget;
use crate::cohort::StartCohort;
use crate::event::{CohortSummary, Input, ListState, Output, Start};
use crate::Settings;

/// Time after a rejected call during which the list service counts as overloaded. Long enough to be reported in the first
/// status messages of a startup, and short compared with a fleet window.
const OVERLOAD_DURATION: TimeSpan = TimeSpan::from_seconds(2.0);

/// A peer that recently reported its own start.
#[derive(Clone, Copy, Debug)]
struct StartingPeer {
    node: NodeId,
    received_at: Timestamp,
    has_list: bool,
}

/// A peer's reply to this node's query.
#[derive(Clone, Copy, Debug)]
struct PeerReply {
    node: NodeId,
    started_recently: bool,
    /// Number of peers that reported their start to the replying node.
    starting_peers: u32,
}

/// Schedules one node's calls to the list service. See the [crate documentation](crate).
#[derive(Clone, Debug)]
pub struct StartupScheduler {
    calls_per_second: f64,
    /// Maximum number of peers that are queried at the start.
    max_queried_peers: u32,
    fleet_size: u32,
    node: NodeId,
    rng: SmallRng,
    started_at: Timestamp,
    /// When the last known node of the cohort started. Windows are counted from this time, which gossip makes the same on
    /// all nodes.
    cohort_started_at: Timestamp,
    unix_time_of_origin: TimeSpan,
    list: ListState,
    started_without_list: bool,
    starting_peers: Vec<StartingPeer>,
    replies: Vec<PeerReply>,
    cohort: StartCohort,
    last_gossip_at: Option<Timestamp>,
    /// The newest list revision that a peer has received from the list service.
    newest_peer_revision: Option<u64>,
    /// Number of consecutive failed calls.
    failures: u32,
    /// When the list service last rejected a call of this node or of a peer.
    overloaded_at: Option<Timestamp>,
    reply_budget: ReplyBudget,
}

impl StartupScheduler {
    /// Creates the scheduler of a node that starts at `start.now`. [`Input::Started`] must follow.
    pub fn new(settings: &Settings, start: Start) -> Self {
        let fleet_size = start.fleet_size.max(1);
        StartupScheduler {
            calls_per_second: settings.calls_per_s,
            max_queried_peers: settings.ask_peers,
            fleet_size,
            node: start.node,
            rng: SmallRng::seed_from_u64(start.seed),
            started_at: start.now,
            cohort_started_at: start.now,
            unix_time_of_origin: start.unix_time_of_origin,
            list: start.list,
            started_without_list: start.list == ListState::Missing,
            starting_peers: Vec::new(),
            replies: Vec::new(),
            cohort: StartCohort::new(fleet_size, start.node),
            last_gossip_at: None,
            newest_peer_revision: None,
            failures: 0,
            overloaded_at: None,
            reply_budget: ReplyBudget::new(start.now),
        }
    }

    /// Processes an input. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Timestamp, input: Input) -> Output {
        match input {
            Input::Started => self.query_peers(now),
            Input::MessageReceived { from, message } => self.receive(now, from, &message),
            Input::GossipTimer => self.gossip(now),
            Input::CallAnswered { revision, changed } => {
                Output::next_call_at(self.next_call_after_answer(now, revision, changed))
            }
            Input::CallFailed(failure) => {
                Output::next_call_at(self.next_call_after_failure(now, failure))
            }
            Input::ServiceChanged => {
                self.reset_for_new_service(now);
                Output::default()
            }
        }
    }

    /// Restarts the schedule for another list service. The node keeps its list, which counts as restored.
    fn reset_for_new_service(&mut self, now: Timestamp) {
        self.started_at = now;
        self.cohort_started_at = now;
        self.list = match self.list.revision() {
            None => ListState::Missing,
            Some(revision) => ListState::Restored(revision),
        };
        self.started_without_list = self.list == ListState::Missing;
        self.last_gossip_at = None;
        // Revisions of the new service are unrelated to those of the old one.
        self.newest_peer_revision = None;
        self.failures = 0;
        self.overloaded_at = None;
        self.cohort = StartCohort::new(self.fleet_size, self.node);
        self.starting_peers.clear();
        self.replies.clear();
    }

    fn is_overloaded(&self, now: Timestamp) -> bool {
        self.overloaded_at
            .is_some_and(|overloaded_at| now - overloaded_at < OVERLOAD_DURATION)
    }

    /// Counts of the nodes known to be starting together, including this one, for logging.
    pub fn cohort_summary(&self) -> CohortSummary {
        let known = self.cohort.counts();
        CohortSummary {
            started: known.started + 1,
            without_list: known.without_list + u32::from(self.started_without_list),
            is_complete: self.cohort.is_complete(),
        }
    }

    /// The state of the node's endpoint list, as changed by answers of the list service.
    pub fn list(&self) -> ListState {
        self.list
    }

    /// Number of peers that this node queries at its start: the configured number, or all peers of a small fleet.
    fn queried_peers(&self) -> u32 {
        self.max_queried_peers.min(self.fleet_size - 1)
    }
}
