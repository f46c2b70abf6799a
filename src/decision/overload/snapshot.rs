//! Encoding of overload control in the state snapshot.

use serde::{Deserialize, Serialize};

use super::ladder::Ladder;
use super::pool::{LoadPool, PoolSnapshot};
use super::OverloadControl;
use crate::decision::decaying_rate::DecayingRate;

/// A [`Ladder`], whose field order is that of the state snapshot.
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub(in crate::decision) struct LadderSnapshot(Ladder);

impl LadderSnapshot {
    /// Returns true if the ladder has `tiers` tiers and the filters of this version.
    pub(in crate::decision) fn is_consistent(&self, tiers: usize) -> bool {
        self.0.is_consistent(tiers)
    }
}

/// Rate of arriving requests and pooled statistics, in the field order of the state snapshot.
#[derive(Serialize, Deserialize)]
pub(in crate::decision) struct LoadSnapshot {
    arrivals: DecayingRate,
    pool: PoolSnapshot,
}

impl OverloadControl {
    /// Returns the ladder to transfer.
    pub(in crate::decision) fn ladder_snapshot(&self) -> LadderSnapshot {
        LadderSnapshot(self.ladder.clone())
    }

    /// Returns the rate of arriving requests and the pooled statistics to transfer.
    pub(in crate::decision) fn load_snapshot(&self) -> LoadSnapshot {
        LoadSnapshot {
            arrivals: self.arrivals,
            pool: self.pool.to_snapshot(),
        }
    }

    /// Restores the overload control of another process.
    pub(in crate::decision) fn from_snapshots(ladder: LadderSnapshot, load: LoadSnapshot) -> Self {
        OverloadControl {
            ladder: ladder.0,
            pool: LoadPool::from_snapshot(load.pool),
            arrivals: load.arrivals,
        }
    }
}
