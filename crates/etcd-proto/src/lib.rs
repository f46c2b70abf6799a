//! Messages of the etcd v3 API (`etcdserverpb` and `mvccpb`), as far as they are used here.
//!
//! Written as Rust from the public description of the API, field by field with its number: no protobuf compiler runs
//! in any build. Fields that are not named here are skipped when they come, as protobuf has it.

#![expect(
    missing_docs,
    reason = "fields are documented as the module is reworked"
)]

/// Paths of the calls.
pub mod path {
    /// Unary: [`super::RangeRequest`].
    pub const RANGE: &str = "/etcdserverpb.KV/Range";
    /// Unary: [`super::PutRequest`].
    pub const PUT: &str = "/etcdserverpb.KV/Put";
    /// Unary: [`super::DeleteRangeRequest`].
    pub const DELETE_RANGE: &str = "/etcdserverpb.KV/DeleteRange";
    /// Unary: [`super::CompactionRequest`].
    pub const COMPACT: &str = "/etcdserverpb.KV/Compact";
    /// Both ways streamed: [`super::WatchRequest`], [`super::WatchResponse`].
    pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
}

/// Says which cluster answered, and at which revision of its store.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ResponseHeader {
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    #[prost(int64, tag = "3")]
    pub revision: i64,
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// A key with its value and its history.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyValue {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    #[prost(int64, tag = "4")]
    pub version: i64,
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// What an event did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum EventType {
    Put = 0,
    Delete = 1,
}

/// One change of a key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Event {
    #[prost(enumeration = "EventType", tag = "1")]
    pub r#type: i32,
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
    #[prost(message, optional, tag = "3")]
    pub prev_kv: Option<KeyValue>,
}

/// Reads the keys from `key` up to, not with, `range_end`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub limit: i64,
    #[prost(int64, tag = "4")]
    pub revision: i64,
    #[prost(bool, tag = "7")]
    pub serializable: bool,
}

/// See [`RangeRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct RangeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    #[prost(bool, tag = "3")]
    pub more: bool,
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// Writes a key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// See [`PutRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PutResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Removes keys.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeleteRangeRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
}

/// See [`DeleteRangeRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeleteRangeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub deleted: i64,
}

/// Forgets the history before a revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CompactionRequest {
    #[prost(int64, tag = "1")]
    pub revision: i64,
    #[prost(bool, tag = "2")]
    pub physical: bool,
}

/// See [`CompactionRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct CompactionResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// What goes up a watch's stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchRequest {
    #[prost(oneof = "watch_request::Union", tags = "1, 2, 3")]
    pub request_union: Option<watch_request::Union>,
}

/// Parts of [`WatchRequest`].
pub mod watch_request {
    /// One of them.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Union {
        #[prost(message, tag = "1")]
        Create(super::WatchCreateRequest),
        #[prost(message, tag = "2")]
        Cancel(super::WatchCancelRequest),
        #[prost(message, tag = "3")]
        Progress(super::WatchProgressRequest),
    }
}

/// Begins a watch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCreateRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    #[prost(bool, tag = "6")]
    pub prev_kv: bool,
    #[prost(int64, tag = "7")]
    pub watch_id: i64,
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// Ends a watch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchCancelRequest {
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// Asks for a progress notice.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchProgressRequest {}

/// What comes down a watch's stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WatchResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    #[prost(bool, tag = "3")]
    pub created: bool,
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// The end of the range of all keys that begin with a prefix: the prefix with its last byte below 0xff raised; a
/// single zero byte, which means no end, where there is none.
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
