//! Messages between starting nodes: status queries, replies, and gossip of the cohort.

use applewall_node_types::{NodeId, TimeSpan, Timestamp};
use rand::Rng;

use super::{PeerReply, StartingPeer, StartupScheduler, OVERLOAD_DURATION};
use crate::cohort::StartCohort;
use crate::event::{ListState, OutgoingMessage, Output};
use crate::{CohortMessage, Message, StatusMessage};

/// Time after its start during which a peer counts as starting: as long as it sends cohort messages.
const RECENT_START: TimeSpan = TimeSpan::from_seconds(2.0);
/// Time after its own start during which a node sends cohort messages: twice the time that gossip needs to converge.
const GOSSIP_PERIOD: TimeSpan = TimeSpan::from_seconds(2.0);
/// Time after its own start during which a node accepts cohort messages. A later message belongs to another startup and
/// would make this node's window longer than needed.
const GOSSIP_ACCEPT_PERIOD: TimeSpan = TimeSpan::from_seconds(4.0);
/// Interval between two cohort messages of a node: ten per second, out of the 40 datagrams per second that a node accepts.
const GOSSIP_INTERVAL: TimeSpan = TimeSpan::from_seconds(0.1);
/// Status messages contain the sender's age in tenths of a second.
const DECISECONDS_PER_SECOND: f64 = 10.0;
/// Cohort messages contain the time of the last start in milliseconds.
const MILLIS_PER_SECOND: f64 = 1000.0;

impl StartupScheduler {
    /// Sends a status query to the configured number of random peers, to find out which nodes are starting.
    pub(super) fn query_peers(&mut self, now: Timestamp) -> Output {
        let mut peers: Vec<NodeId> = Vec::new();
        while (peers.len() as u32) < self.queried_peers() {
            let peer = self.random_peer();
            if !peers.contains(&peer) {
                peers.push(peer);
            }
        }
        let message = Message::Status(self.status_message(now, true));
        let to_peer = |to| OutgoingMessage {
            to,
            message: message.clone(),
        };
        Output::messages(peers.into_iter().map(to_peer).collect())
    }

    /// A random node other than this one. The fleet must have at least two nodes.
    fn random_peer(&mut self) -> NodeId {
        let distance = 1 + self.rng.random_range(0..self.fleet_size - 1);
        self.node.successor(distance, self.fleet_size)
    }

    fn status_message(&self, now: Timestamp, wants_reply: bool) -> StatusMessage {
        let age = (now - self.started_at).max(TimeSpan::ZERO);
        let age_deciseconds = (age.as_seconds() * DECISECONDS_PER_SECOND) as u64;
        StatusMessage {
            wants_reply,
            age_deciseconds,
            revision: self.list.revision(),
            confirmed: matches!(self.list, ListState::Confirmed(_)),
            overloaded: self.is_overloaded(now),
            starting_peers: self.recently_starting_peers(now).count() as u32,
        }
    }

    fn recently_starting_peers(&self, now: Timestamp) -> impl Iterator<Item = &StartingPeer> {
        self.starting_peers
            .iter()
            .filter(move |peer| now - peer.received_at < RECENT_START)
    }

    /// Processes a peer's message. Ignores messages whose sender is this node or is outside the fleet.
    pub(super) fn receive(&mut self, now: Timestamp, from: NodeId, message: &Message) -> Output {
        if from.0 >= self.fleet_size || from == self.node {
            return Output::default();
        }
        match message {
            Message::Status(status) => self.receive_status(now, from, status),
            Message::Cohort(cohort) => {
                self.receive_cohort(now, cohort);
                Output::default()
            }
        }
    }

    fn receive_status(&mut self, now: Timestamp, from: NodeId, status: &StatusMessage) -> Output {
        // A peer's revision is only compared, never adopted, so that an incorrect message can only move a call within the
        // window.
        if status.confirmed {
            self.newest_peer_revision = self.newest_peer_revision.max(status.revision);
        }
        if status.overloaded {
            // Half of the time span, because the rejection that the peer reports may itself be almost that old.
            let reported_at = now - OVERLOAD_DURATION / 2.0;
            let latest = self
                .overloaded_at
                .map_or(reported_at, |known| known.max(reported_at));
            self.overloaded_at = Some(latest);
        }
        let max_recent_age = RECENT_START.as_seconds() * DECISECONDS_PER_SECOND;
        let started_recently = (status.age_deciseconds as f64) < max_recent_age;
        if started_recently {
            self.add_starting_peer(now, from, status);
        }
        if !status.wants_reply {
            self.add_reply(PeerReply {
                node: from,
                started_recently,
                starting_peers: status.starting_peers,
            });
            return Output::default();
        }
        if !self.reply_budget.try_take(now) {
            return Output::default();
        }
        let reply = Message::Status(self.status_message(now, false));
        let cohort = Message::Cohort(self.cohort_message(now));
        let to_sender = |message| OutgoingMessage { to: from, message };
        Output::messages([reply, cohort].map(to_sender).into())
    }

    fn add_starting_peer(&mut self, now: Timestamp, from: NodeId, status: &StatusMessage) {
        self.starting_peers
            .retain(|peer| peer.node != from && now - peer.received_at < RECENT_START);
        self.starting_peers.push(StartingPeer {
            node: from,
            received_at: now,
            has_list: status.revision.is_some(),
        });
        // A peer with a confirmed list does not report whether it started with one.
        if now - self.started_at < GOSSIP_ACCEPT_PERIOD && !status.confirmed {
            self.cohort.add(from, status.revision.is_none());
        }
    }

    fn add_reply(&mut self, reply: PeerReply) {
        let is_known = self.replies.iter().any(|known| known.node == reply.node);
        if !is_known && self.replies.len() < self.max_queried_peers as usize {
            self.replies.push(reply);
        }
    }

    fn receive_cohort(&mut self, now: Timestamp, message: &CohortMessage) {
        if now - self.started_at >= GOSSIP_ACCEPT_PERIOD {
            return;
        }
        self.cohort.merge(message);
        // The message contains a Unix time, because an age would grow by the delay of each hop. Times from senders whose
        // clocks differ by more than the gossip period are ignored.
        let last_start_unix = message.last_start_unix_ms as f64 / MILLIS_PER_SECOND;
        let last_start =
            Timestamp::from_seconds(last_start_unix - self.unix_time_of_origin.as_seconds());
        if (last_start - self.started_at).abs() < GOSSIP_PERIOD {
            self.cohort_started_at = self.cohort_started_at.max(last_start.min(now));
        }
    }

    /// The next cohort message: about this node's own cohort while the node gossips, and otherwise about the peers that
    /// recently reported their start.
    fn cohort_message(&mut self, now: Timestamp) -> CohortMessage {
        if self.is_gossiping(now) {
            let last_start_unix = self.cohort_started_at + self.unix_time_of_origin;
            let last_start_unix_ms = last_start_unix.as_seconds() * MILLIS_PER_SECOND;
            return self.cohort.next_message(
                Some(self.started_without_list),
                last_start_unix_ms.max(0.0) as u64,
            );
        }
        let mut cohort = StartCohort::new(self.fleet_size, self.node);
        for peer in self.recently_starting_peers(now) {
            cohort.add(peer.node, !peer.has_list);
        }
        cohort.next_message(None, 0)
    }

    /// Sends the next cohort message if one is due. None are sent after the gossip period.
    pub(super) fn gossip(&mut self, now: Timestamp) -> Output {
        let is_due = self
            .last_gossip_at
            .is_none_or(|last_gossip_at| now - last_gossip_at >= GOSSIP_INTERVAL);
        if !self.is_gossiping(now) || !is_due || self.fleet_size < 2 {
            return Output::default();
        }
        self.last_gossip_at = Some(now);
        let Some(to) = self.random_gossip_peer() else {
            return Output::default();
        };
        let message = Message::Cohort(self.cohort_message(now));
        Output::messages(vec![OutgoingMessage { to, message }])
    }

    /// A random peer of the cohort, since only starting nodes use the message, or any peer while no other member is known.
    fn random_gossip_peer(&mut self) -> Option<NodeId> {
        match self.cohort.counts().started {
            0 => Some(self.random_peer()),
            known => {
                let index = self.rng.random_range(0..known) as usize;
                self.cohort.peers().nth(index).map(|(peer, _)| peer)
            }
        }
    }

    /// Whether the gossip period after the node's start is still running, so that
    /// [`Input::GossipTimer`](crate::Input::GossipTimer) has an effect.
    pub fn is_gossiping(&self, now: Timestamp) -> bool {
        now - self.started_at < GOSSIP_PERIOD
    }
}
