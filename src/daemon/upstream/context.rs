//! The context that the pool provides to each attempt.

use std::sync::Arc;

use applewall::api::LoadField;
use tokio::sync::{mpsc, Semaphore};

use super::endpoint::{Timeouts, UpstreamEndpoint};
use super::response_monitor::ResponseMonitor;
use crate::engine::message::Message;

/// The context that the pool provides to an attempt, besides its connection.
pub(super) struct AttemptContext {
    /// The endpoint, to which a reusable connection is returned after the exchange.
    pub endpoint: Arc<UpstreamEndpoint>,
    /// Connection timeouts.
    pub timeouts: Arc<Timeouts>,
    /// The fields of a load report, in the order of the settings.
    pub load_report_fields: Arc<[LoadField]>,
    /// Slow-peer protection, if the operator enabled it.
    pub response_monitor: Option<ResponseMonitor>,
    /// Bounds the memory of prefetched bodies: one permit per byte, released when the body is dropped.
    pub prefetch: Arc<Semaphore>,
    /// The engine's queue, which receives the attempt's report.
    pub queue: mpsc::Sender<Message>,
}
