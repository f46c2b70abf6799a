//! What nodes tell each other while they start: status messages, their replies, and the cohort.

use rand::Rng;

use super::{
    OutgoingMessage, Output, PeerReply, Seconds, StartingPeer, StartupScheduler, OVERLOAD_MEMORY,
};
use crate::cohort::StartCohort;
use crate::{CohortMessage, ListState, Message, StatusMessage};

/// Time after its start for which a peer counts as starting.
const RECENT_START: Seconds = 2.0;
/// Time from its own start for which a node sends cohort messages.
const GOSSIP_PERIOD: Seconds = 2.0;
/// Time from its own start for which a node accepts them.
const GOSSIP_ACCEPT_PERIOD: Seconds = 4.0;
/// Time between two cohort messages of a node: ten of the 40 datagrams a second that each node accepts.
const GOSSIP_INTERVAL: Seconds = 0.1;

impl StartupScheduler {
    /// Asks as many random peers as are configured who else is starting.
    pub(super) fn ask_peers(&mut self, now: Seconds) -> Output {
        let others = self.fleet_size - 1;
        let mut peers: Vec<u32> = Vec::new();
        while (peers.len() as u32) < self.peers_to_ask.min(others) {
            let peer = (self.node + 1 + self.rng.random_range(0..others)) % self.fleet_size;
            if !peers.contains(&peer) {
                peers.push(peer);
            }
        }
        let message = Message::Status(self.status_message(now, true));
        let to_peer = |to| OutgoingMessage {
            to,
            message: message.clone(),
        };
        Output {
            messages: peers.into_iter().map(to_peer).collect(),
            next_call_at: None,
        }
    }

    fn status_message(&self, now: Seconds, wants_reply: bool) -> StatusMessage {
        StatusMessage {
            wants_reply,
            age_deciseconds: ((now - self.started_at).max(0.0) * 10.0) as u64,
            revision: self.list.revision(),
            confirmed: matches!(self.list, ListState::Confirmed(_)),
            overloaded: self.is_overloaded(now),
            starting_peers: self.recently_starting_peers(now).count() as u32,
        }
    }

    fn recently_starting_peers(&self, now: Seconds) -> impl Iterator<Item = &StartingPeer> {
        self.starting_peers
            .iter()
            .filter(move |peer| now - peer.heard_at < RECENT_START)
    }

    /// Processes a message of a peer; one that claims to come from this node, or from beyond the fleet, changes nothing.
    pub(super) fn receive(&mut self, now: Seconds, from: u32, message: &Message) -> Output {
        if from >= self.fleet_size || from == self.node {
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

    fn receive_status(&mut self, now: Seconds, from: u32, status: &StatusMessage) -> Output {
        // A wrong message can cause no more than one call too early, or one that is late within the window: a revision is
        // compared and never adopted.
        if status.confirmed {
            self.newest_peer_revision = self.newest_peer_revision.max(status.revision);
        }
        if status.overloaded {
            self.overloaded_at = self.overloaded_at.max(now - OVERLOAD_MEMORY / 2.0);
        }
        let started_recently = (status.age_deciseconds as f64) < RECENT_START * 10.0;
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
        Output {
            messages: [reply, cohort].map(to_sender).into(),
            next_call_at: None,
        }
    }

    fn add_starting_peer(&mut self, now: Seconds, from: u32, status: &StatusMessage) {
        self.starting_peers
            .retain(|peer| peer.node != from && now - peer.heard_at < RECENT_START);
        self.starting_peers.push(StartingPeer {
            node: from,
            heard_at: now,
            has_list: status.revision.is_some(),
        });
        // Once the service has sent it a list, a peer no longer says whether it started with one.
        if now - self.started_at < GOSSIP_ACCEPT_PERIOD && !status.confirmed {
            self.cohort.add(from, status.revision.is_none());
        }
    }

    fn add_reply(&mut self, reply: PeerReply) {
        let is_known = self.replies.iter().any(|known| known.node == reply.node);
        if !is_known && self.replies.len() < self.peers_to_ask as usize {
            self.replies.push(reply);
        }
    }

    fn receive_cohort(&mut self, now: Seconds, message: &CohortMessage) {
        // A message that comes later belongs to another start and would make this node's window longer than needed.
        if now - self.started_at >= GOSSIP_ACCEPT_PERIOD {
            return;
        }
        self.cohort.merge(message);
        // By the wall clock that all machines share: computed from ages, each hop's delay would add up. A sender whose
        // clock is off by more than a start lasts is ignored.
        let last_start = message.last_start_unix_ms as f64 / 1000.0 - self.unix_time_of_zero;
        if (last_start - self.started_at).abs() < GOSSIP_PERIOD {
            self.cohort_started_at = self.cohort_started_at.max(last_start.min(now));
        }
    }

    /// What is known of the cohort, for a peer that asks: of this node's own start while that lasts, and otherwise of the
    /// peers that told of theirs recently.
    fn cohort_message(&mut self, now: Seconds) -> CohortMessage {
        if self.is_gossiping(now) {
            let last_start_unix = self.cohort_started_at + self.unix_time_of_zero;
            return self.cohort.next_message(
                Some(self.started_without_list),
                (last_start_unix * 1000.0).max(0.0) as u64,
            );
        }
        let mut cohort = StartCohort::new(self.fleet_size, self.node);
        for peer in self.recently_starting_peers(now) {
            cohort.add(peer.node, !peer.has_list);
        }
        cohort.next_message(None, 0)
    }

    /// The next cohort message, if it is due; none after the node's start.
    pub(super) fn gossip(&mut self, now: Seconds) -> Output {
        let is_due = now - self.last_gossip_at >= GOSSIP_INTERVAL;
        if !self.is_gossiping(now) || !is_due || self.fleet_size < 2 {
            return Output::default();
        }
        self.last_gossip_at = now;
        let Some(to) = self.draw_gossip_peer() else {
            return Output::default();
        };
        let message = Message::Cohort(self.cohort_message(now));
        Output {
            messages: vec![OutgoingMessage { to, message }],
            next_call_at: None,
        }
    }

    /// A random peer of the cohort, which has use for the message; any peer while none is known.
    fn draw_gossip_peer(&mut self) -> Option<u32> {
        match self.cohort.counts().started {
            0 => {
                let distance = 1 + self.rng.random_range(0..self.fleet_size - 1);
                Some((self.node + distance) % self.fleet_size)
            }
            known => {
                let index = self.rng.random_range(0..known) as usize;
                self.cohort.peers().nth(index).map(|(peer, _)| peer)
            }
        }
    }

    /// True while the node's start lasts and [`Input::GossipTimer`](crate::Input::GossipTimer) has an effect.
    pub fn is_gossiping(&self, now: Seconds) -> bool {
        now - self.started_at < GOSSIP_PERIOD
    }
}
