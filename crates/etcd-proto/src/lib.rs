//! Messages of the etcd v3 API (`etcdserverpb` and `mvccpb`), as far as they are used here.
//!
//! Written as Rust from the public description of the API, field by field with its number, so that no build needs a
//! protobuf compiler. Fields that are not listed here are skipped when they are received, as protobuf prescribes.

/// Paths of the gRPC calls.
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

/// Which cluster answered, and at which revision of its store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResponseHeader {
    /// Id of the cluster that answered.
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    /// Id of the cluster member that answered.
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    /// Revision of the member's store when it answered.
    #[prost(int64, tag = "3")]
    pub revision: i64,
    /// The member's Raft term when it answered.
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// A key with its value and its history.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyValue {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Revision at which the key was created; 0 in the event of its deletion.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// Revision of the key's last change.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// Number of changes since the key was created; a deletion sets it to 0.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// The value.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// Id of the lease that the key is attached to; 0: none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// What an event did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum EventType {
    /// The key was created or its value replaced.
    Put = 0,
    /// The key was removed.
    Delete = 1,
}

/// One change of a key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Event {
    /// What happened, as a number of [`EventType`].
    #[prost(enumeration = "EventType", tag = "1")]
    pub r#type: i32,
    /// The key after the change.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
    /// The key before the change, if the watch asked for it.
    #[prost(message, optional, tag = "3")]
    pub prev_kv: Option<KeyValue>,
}

/// Reads the keys from `key` up to `range_end`, exclusive.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeRequest {
    /// The first key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The end of the range; empty: the first key alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// Most keys to return; 0: all.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// Revision of the store to read at; 0: the present one.
    #[prost(int64, tag = "4")]
    pub revision: i64,
    /// True: the member may answer from its own store, without agreement of the cluster.
    #[prost(bool, tag = "7")]
    pub serializable: bool,
}

/// Answer to a [`RangeRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeResponse {
    /// Who answered, and when.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The keys, in order.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// True if the limit left keys out.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// Number of keys in the range, whatever the limit.
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// Writes a key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutRequest {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Its new value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// Answer to a [`PutRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutResponse {
    /// Who answered, and at which revision the key was written.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Removes the keys from `key` up to `range_end`, exclusive.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeleteRangeRequest {
    /// The first key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The end of the range; empty: the first key alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
}

/// Answer to a [`DeleteRangeRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeleteRangeResponse {
    /// Who answered, and at which revision the keys were removed.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Number of keys that were removed.
    #[prost(int64, tag = "2")]
    pub deleted: i64,
}

/// Removes the history before a revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CompactionRequest {
    /// The oldest revision that is kept.
    #[prost(int64, tag = "1")]
    pub revision: i64,
    /// True: answer only once the history is removed from disk.
    #[prost(bool, tag = "2")]
    pub physical: bool,
}

/// Answer to a [`CompactionRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct CompactionResponse {
    /// Who answered, and when.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// A message to the registry on a watch stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchRequest {
    /// What is requested.
    #[prost(oneof = "watch_request::Union", tags = "1, 2, 3")]
    pub request_union: Option<watch_request::Union>,
}

/// Parts of [`WatchRequest`].
pub mod watch_request {
    /// The kinds of requests.
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

/// Creates a watch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCreateRequest {
    /// The first key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The end of the range; empty: the first key alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// Revision of the first event wanted; 0: from now on.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    /// True: send a progress notification from time to time while there are no events.
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    /// True: send the key before each change as well.
    #[prost(bool, tag = "6")]
    pub prev_kv: bool,
    /// Id that the watch gets; 0: the registry chooses one.
    #[prost(int64, tag = "7")]
    pub watch_id: i64,
    /// True: an answer that is too large for one message may be split.
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// Cancels a watch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCancelRequest {
    /// Id of the watch.
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// Requests a progress notification: a [`WatchResponse`] without events.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchProgressRequest {}

/// A message from the registry on a watch stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchResponse {
    /// Who answered, and up to which revision events were sent.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Id of the watch.
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// True: the watch was created; there are no events.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// True: the watch was cancelled; there are no events.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// Not 0: the watch asked for a compacted revision, and this is the oldest one kept.
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    /// Why the watch was cancelled.
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    /// True: further events of the same answer follow in the next response.
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    /// What changed, in order.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// The end of the range of all keys with a prefix: the prefix up to its last byte below 0xff, with that byte raised by
/// one; a single zero byte, which means no end, where there is no such byte.
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
