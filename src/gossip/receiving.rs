//! Receiving: validation of messages and application of their records.

use super::codec::{self, CustomerRecord, Message, Record};
use super::Gossip;
use crate::api::{Action, NodeId};
use crate::decision::quota::QuotaLedger;
use crate::decision::Context;

impl Gossip {
    /// Decodes a message; `None` if any part is malformed or the sender is not a peer. The first message of a peer
    /// after its restart resets its known totals.
    pub(crate) fn accept(
        &mut self,
        context: &Context<'_>,
        from: NodeId,
        text: &str,
        quotas: &mut QuotaLedger,
    ) -> Option<Message> {
        let message = codec::decode(text)?;
        if from.0 >= context.settings().node_count || from == context.node() {
            return None;
        }
        if self.record_incarnation(from, message.incarnation) {
            quotas.restart_totals_of(from);
        }
        Some(message)
    }

    /// Passes a peer's record of a customer to the ledger, and sends the reply to a report, if any. Load statistics
    /// are ignored here, since they belong to no customer.
    pub(crate) fn receive_customer_record(
        &self,
        context: &mut Context<'_>,
        from: NodeId,
        received: CustomerRecord,
        quotas: &mut QuotaLedger,
        actions: &mut Vec<Action>,
    ) {
        let CustomerRecord { customer, record } = received;
        match record {
            Record::Usage(report) => {
                let answer = quotas.receive_report(context, from, customer, report);
                if let Some(correction) = answer.correction {
                    self.send_one(from, customer, Record::Aggregate(correction), actions);
                }
                if let Some(units) = answer.grant {
                    self.send_one(from, customer, Record::Grant(units), actions);
                }
            }
            Record::Aggregate(update) => quotas.receive_aggregate(context, from, customer, update),
            Record::Grant(units) => quotas.receive_grant(context, from, customer, units),
            Record::Statistics(_) => {}
        }
    }

    /// Records a peer's incarnation; returns true if it has changed since the peer's last message.
    fn record_incarnation(&mut self, peer: NodeId, incarnation: u32) -> bool {
        self.peer_incarnations
            .insert(peer, incarnation)
            .is_some_and(|known| known != incarnation)
    }
}
