//! The messages of the etcd v3 API (`etcdserverpb` and `mvccpb`) that this project uses.
//!
//! Hand-written from the public description of the API, with the field numbers, so that the build needs no protobuf
//! compiler. Fields that are not listed here are ignored on receipt, as protobuf prescribes.

/// Paths of the gRPC methods.
pub mod path {
    /// Unary call with [`super::RangeRequest`].
    pub const RANGE: &str = "/etcdserverpb.KV/Range";
    /// Unary call with [`super::PutRequest`].
    pub const PUT: &str = "/etcdserverpb.KV/Put";
    /// Unary call with [`super::DeleteRangeRequest`].
    pub const DELETE_RANGE: &str = "/etcdserverpb.KV/DeleteRange";
    /// Unary call with [`super::CompactionRequest`].
    pub const COMPACT: &str = "/etcdserverpb.KV/Compact";
    /// Bidirectional stream of [`super::WatchRequest`] and [`super::WatchResponse`].
    pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
}

/// Header of each response: the cluster that responded, and the revision of its store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResponseHeader {
    /// Id of the cluster that responded.
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    /// Id of the cluster member that responded.
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    /// Revision of the member's store when it responded.
    #[prost(int64, tag = "3")]
    pub revision: i64,
    /// The member's Raft term when it responded.
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// A key with its value and its revisions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyValue {
    /// The key, which may be any bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Revision at which the key was created; 0 in a delete event.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// Revision of the key's last change.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// Version of the key: 1 when it is created, increased by each change, and reset to 0 by a deletion.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// The value, which may be any bytes; empty in a delete event.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// Id of the lease that the key is attached to; 0 if there is none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// Whether an event set or deleted its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum EventType {
    /// The key was created or its value was replaced.
    Put = 0,
    /// The key was deleted, by a request or because its lease expired.
    Delete = 1,
}

/// One change of a key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Event {
    /// The kind of change, as the number of an [`EventType`].
    #[prost(enumeration = "EventType", tag = "1")]
    pub r#type: i32,
    /// The key after the change; if it was deleted, only its `key` and `mod_revision` are set.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
    /// The key before the change, if the watch requested it.
    #[prost(message, optional, tag = "3")]
    pub prev_kv: Option<KeyValue>,
}

/// Reads the keys from `key` to `range_end` (exclusive).
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeRequest {
    /// The first key of the range, which need not exist.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive; empty to read `key` alone. [`prefix_end`] returns the end for a prefix.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// Maximum number of keys to return; 0 returns all.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// Revision at which the keys are read; 0 for the current one.
    #[prost(int64, tag = "4")]
    pub revision: i64,
    /// True if the member may respond from its own store, without consensus of the cluster.
    #[prost(bool, tag = "7")]
    pub serializable: bool,
}

/// Response to a [`RangeRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeResponse {
    /// The header. Its revision is the current one of the store, even if the keys were read at an older revision.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The keys, in byte order.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// True if the range has more keys than were returned.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// Number of keys in the range, independently of the limit.
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// Writes a key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutRequest {
    /// The key, which is created if it does not exist.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The new value, which replaces that of an existing key.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// Response to a [`PutRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutResponse {
    /// The header, with the revision at which the key was written.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Deletes the keys from `key` to `range_end` (exclusive).
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeleteRangeRequest {
    /// The first key of the range, which need not exist.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive; empty to delete `key` alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
}

/// Response to a [`DeleteRangeRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeleteRangeResponse {
    /// The header, with the revision at which the keys were deleted.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Number of keys that were deleted.
    #[prost(int64, tag = "2")]
    pub deleted: i64,
}

/// Compacts the store: removes the history before a revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CompactionRequest {
    /// The oldest revision that is kept.
    #[prost(int64, tag = "1")]
    pub revision: i64,
    /// True if the response waits until the history was removed from disk.
    #[prost(bool, tag = "2")]
    pub physical: bool,
}

/// Response to a [`CompactionRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct CompactionResponse {
    /// The header. A compaction does not increase the revision of the store.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// A message to the server on a watch stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchRequest {
    /// The request; `None` if it is of a kind that is not in [`watch_request::Union`].
    #[prost(oneof = "watch_request::Union", tags = "1, 2, 3")]
    pub request_union: Option<watch_request::Union>,
}

/// Types of the fields of [`WatchRequest`].
pub mod watch_request {
    /// The requests on a watch stream, which may carry several watches.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Union {
        /// Create a watch.
        #[prost(message, tag = "1")]
        Create(super::WatchCreateRequest),
        /// Cancel a watch.
        #[prost(message, tag = "2")]
        Cancel(super::WatchCancelRequest),
        /// Request a progress notification.
        #[prost(message, tag = "3")]
        Progress(super::WatchProgressRequest),
    }
}

/// Sent by the client to create a watch. The server answers with a [`WatchResponse`] in which `created` is true.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCreateRequest {
    /// The first key of the range, which need not exist.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive; empty to watch `key` alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// Revision of the first event to send; 0 for events after the creation of the watch.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    /// True if the server sends progress notifications at intervals while there are no events.
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    /// True if events include the key before the change.
    #[prost(bool, tag = "6")]
    pub prev_kv: bool,
    /// Id of the new watch; 0 if the server chooses one.
    #[prost(int64, tag = "7")]
    pub watch_id: i64,
    /// True if a response that is too large for one message may be split.
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// Sent by the client to cancel a watch. The server answers with a [`WatchResponse`] in which `canceled` is true.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCancelRequest {
    /// Id of the watch to cancel, from the response to its creation.
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// Sent by the client to request a progress notification: a [`WatchResponse`] without events.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchProgressRequest {}

/// A message from the server on a watch stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchResponse {
    /// The header. In a response without events, its revision is the one up to which all events were sent.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Id of the watch that the message concerns.
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// True if the watch was created; the response then has no events.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// True if the watch was cancelled; the response then has no events.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// The oldest revision that is kept, if the watch requested a compacted one; otherwise 0.
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    /// Why the server cancelled the watch; otherwise empty.
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    /// True if more events of the same response follow in the next message.
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    /// The changes, in order.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// The `range_end` of the range of all keys with a prefix: the prefix up to its last byte below 0xff, with that byte
/// incremented. If there is no such byte, a single zero byte, which means that the range has no end.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
