//! The key-value store with its history and compaction. It does no I/O.

use std::collections::BTreeMap;

use applewall_etcd_proto as proto;
use tonic::Status;

pub(super) struct Store {
    pub(super) cluster_id: u64,
    pub(super) revision: i64,
    /// Lowest revision whose history is retained.
    pub(super) compacted: i64,
    /// Number of revisions whose history is retained; 0: all.
    pub(super) retained_revisions: i64,
    keys: BTreeMap<Vec<u8>, proto::KeyValue>,
    history: Vec<proto::Event>,
}

impl Store {
    pub(super) fn new(cluster_id: u64, retained_revisions: i64) -> Self {
        Store {
            cluster_id,
            revision: 1,
            compacted: 0,
            retained_revisions,
            keys: BTreeMap::new(),
            history: Vec::new(),
        }
    }

    pub(super) fn header(&self) -> Option<proto::ResponseHeader> {
        Some(proto::ResponseHeader {
            cluster_id: self.cluster_id,
            member_id: 1,
            revision: self.revision,
            raft_term: 2,
        })
    }

    /// Writes a key, or deletes it if the value is `None`; returns the new revision.
    pub(super) fn change(&mut self, key: &[u8], value: Option<Vec<u8>>) -> i64 {
        self.revision += 1;
        let event = match value {
            Some(value) => self.put(key, value),
            None => self.delete(key),
        };
        self.history.push(event);
        if self.retained_revisions > 0 {
            self.compact(self.revision - self.retained_revisions);
        }
        self.revision
    }

    fn put(&mut self, key: &[u8], value: Vec<u8>) -> proto::Event {
        let old = self.keys.get(key).cloned();
        let written = proto::KeyValue {
            key: key.to_vec(),
            create_revision: old
                .as_ref()
                .map_or(self.revision, |old| old.create_revision),
            mod_revision: self.revision,
            version: old.as_ref().map_or(0, |old| old.version) + 1,
            value,
            lease: 0,
        };
        self.keys.insert(key.to_vec(), written.clone());
        proto::Event {
            r#type: proto::EventType::Put as i32,
            kv: Some(written),
            prev_kv: old,
        }
    }

    fn delete(&mut self, key: &[u8]) -> proto::Event {
        let old = self.keys.remove(key);
        let removed = proto::KeyValue {
            key: key.to_vec(),
            mod_revision: self.revision,
            ..Default::default()
        };
        proto::Event {
            r#type: proto::EventType::Delete as i32,
            kv: Some(removed),
            prev_kv: old,
        }
    }

    /// Discards the history before a revision.
    pub(super) fn compact(&mut self, revision: i64) {
        if revision > self.compacted {
            self.compacted = revision;
            self.history
                .retain(|event| mod_revision(event) >= Some(revision));
        }
    }

    pub(super) fn range(
        &self,
        request: &proto::RangeRequest,
    ) -> Result<proto::RangeResponse, Status> {
        if request.revision > 0 && request.revision < self.compacted {
            return Err(Status::out_of_range(
                "etcdserver: mvcc: required revision has been compacted",
            ));
        }
        let revision = match request.revision {
            1.. => request.revision,
            _ => self.revision,
        };
        let keys = self.keys_at(revision).into_values();
        let matching = keys.filter(|entry| in_range(&entry.key, &request.key, &request.range_end));
        let matching: Vec<_> = matching.collect();
        let count = matching.len();
        let limit = match request.limit {
            1.. => request.limit as usize,
            _ => usize::MAX,
        };
        Ok(proto::RangeResponse {
            header: self.header(),
            more: limit < count,
            count: count as i64,
            kvs: matching.into_iter().take(limit).collect(),
        })
    }

    /// The keys as of a revision: later changes are undone, the latest first.
    fn keys_at(&self, revision: i64) -> BTreeMap<Vec<u8>, proto::KeyValue> {
        let mut keys = self.keys.clone();
        let later = |event: &&proto::Event| mod_revision(event) > Some(revision);
        for event in self.history.iter().rev().filter(later) {
            let Some(changed) = &event.kv else { continue };
            match &event.prev_kv {
                Some(before) => keys.insert(changed.key.clone(), before.clone()),
                None => keys.remove(&changed.key),
            };
        }
        keys
    }

    /// Events from a revision on whose keys are in the watch's range.
    pub(super) fn events(
        &self,
        watch: &proto::WatchCreateRequest,
        from_revision: i64,
    ) -> Vec<proto::Event> {
        let watched = |event: &&proto::Event| {
            event.kv.as_ref().is_some_and(|changed| {
                changed.mod_revision >= from_revision
                    && in_range(&changed.key, &watch.key, &watch.range_end)
            })
        };
        let mut events: Vec<_> = self.history.iter().filter(watched).cloned().collect();
        // Previous values are sent only if the watch requests them.
        if !watch.prev_kv {
            for event in &mut events {
                event.prev_kv = None;
            }
        }
        events
    }
}

fn mod_revision(event: &proto::Event) -> Option<i64> {
    event.kv.as_ref().map(|changed| changed.mod_revision)
}

fn in_range(key: &[u8], from: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        end => key >= from && key < end,
    }
}
