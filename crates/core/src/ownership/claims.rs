//! The fold of the log's claim stream.

use {
    crate::log_position::LogPosition,
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Something that one keeper holds at a time.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// The adapter slots of an engine.
    Engine(FastStr),
    /// The right to have one load in transit from the weight store.
    Permit(u16),
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Engine(name) => write!(f, "engine/{name}"),
            Self::Permit(number) => write!(f, "permit/{number}"),
        }
    }
}

/// A record of the claim stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ClaimRecord {
    /// A keeper takes a resource over.
    Claim {
        /// What it takes.
        resource: Resource,
        /// The keeper's host.
        keeper: FastStr,
        /// Distinguishes restarts of the keeper.
        incarnation: u64,
        /// Fencing number of the claim that this one follows; 0 for none. The first claim
        /// to follow another wins.
        follows: u64,
    },
    /// The holder gives a resource up: the next claim needs no waiting.
    Release {
        /// What it gives up.
        resource: Resource,
        /// Its own fencing number.
        fence: u64,
        /// Milliseconds that it would have had to wait itself before its first order: the right
        /// of a holder before it may last as long.
        wait_ms: u64,
    },
    /// All holdings, appended again before the log drops the claims they come from.
    Snapshot {
        /// All records below this offset are reflected.
        as_of: u64,
        /// The holdings.
        #[serde(rename = "holdings")]
        owners: Vec<(Resource, OwnerRecord)>,
    },
    /// Everything counts as held by nobody from here on. Appended by a reader that found
    /// no snapshot in a stream whose oldest records are gone.
    Reset,
}

/// Who holds a resource.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Offset of the claim plus one. Orders carry it as fencing number.
    pub fence: u64,
    /// The keeper's host.
    pub keeper: FastStr,
    /// Distinguishes restarts of the keeper.
    pub incarnation: u64,
    /// Set once the holder gave it up: milliseconds that the next one has to wait for rights of
    /// earlier holders.
    #[serde(rename = "released")]
    pub release_wait_ms: Option<u64>,
}

impl OwnerRecord {
    /// True while the holder has not given it up.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.release_wait_ms.is_none()
    }
}

/// A holding that changed and the one before it.
pub(crate) type OwnerChange = (Resource, Option<OwnerRecord>);

/// Holdings by resource, as far as the claim stream was read.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    owners: IndexMap<Resource, OwnerRecord>,
    position: LogPosition<ClaimRecord>,
    snapshot_offset: u64,
}

impl Claims {
    /// The newest holding of `resource`, also a released one.
    #[must_use]
    pub fn get(&self, resource: &Resource) -> Option<&OwnerRecord> {
        self.owners.get(resource)
    }

    /// All holdings.
    pub fn iter(&self) -> impl Iterator<Item = (&Resource, &OwnerRecord)> {
        self.owners.iter()
    }

    /// False while records are missing that the holdings depend on.
    #[must_use]
    pub fn is_contiguous(&self) -> bool {
        self.position.is_contiguous()
    }

    /// Notes that the stream can only be read from `start` on.
    pub fn set_stream_start(&mut self, start: u64) {
        self.position.set_log_start(start);
    }

    /// A record that repeats all holdings, none while records are missing.
    #[must_use]
    pub fn snapshot(&self) -> Option<ClaimRecord> {
        if !self.is_contiguous() {
            return None;
        }
        let pairs = self.owners.iter().map(|(r, h)| (r.clone(), h.clone()));
        Some(ClaimRecord::Snapshot { as_of: self.position.folded_to(), owners: pairs.collect() })
    }

    /// Offset of the newest snapshot read, and how many records came after it.
    #[must_use]
    pub fn snapshot_age(&self) -> (u64, u64) {
        let age = self.position.folded_to().saturating_sub(self.snapshot_offset);
        (self.snapshot_offset, age)
    }

    /// Takes the record at `offset`. Returns the resources whose holding changed, each with
    /// the holding before.
    pub fn apply_record(&mut self, offset: u64, record: ClaimRecord) -> Vec<OwnerChange> {
        match record {
            ClaimRecord::Snapshot { as_of, owners: holdings } => {
                let changed = self.apply_snapshot(as_of, holdings);
                self.position.skip(offset);
                self.snapshot_offset = self.snapshot_offset.max(offset);
                changed
            }
            ClaimRecord::Reset => self.reset(offset),
            other => {
                let due = self.position.admit(offset, other);
                due.and_then(|record| self.apply(offset, record)).into_iter().collect()
            }
        }
    }

    fn apply_snapshot(
        &mut self,
        as_of: u64,
        holdings: Vec<(Resource, OwnerRecord)>,
    ) -> Vec<OwnerChange> {
        let Some(held_back) = self.position.apply_snapshot(as_of) else {
            return Vec::new();
        };
        let before = std::mem::take(&mut self.owners);
        self.owners.extend(holdings);
        for (offset, record) in held_back {
            self.apply(offset, record);
        }
        self.changes_since(&before)
    }

    fn reset(&mut self, offset: u64) -> Vec<OwnerChange> {
        // a reader that waited for a snapshot agrees with all others from here on
        if self.position.apply_snapshot(offset + 1).is_none() {
            return Vec::new();
        }
        let before = std::mem::take(&mut self.owners);
        self.changes_since(&before)
    }

    fn changes_since(&self, before: &IndexMap<Resource, OwnerRecord>) -> Vec<OwnerChange> {
        let mut all: Vec<&Resource> = before.keys().chain(self.owners.keys()).collect();
        all.sort();
        all.dedup();
        all.retain(|r| before.get(*r) != self.owners.get(*r));
        all.into_iter().map(|r| (r.clone(), before.get(r).cloned())).collect()
    }

    fn apply(&mut self, offset: u64, record: ClaimRecord) -> Option<OwnerChange> {
        match record {
            ClaimRecord::Claim { resource, keeper, incarnation, follows } => {
                let holding =
                    OwnerRecord { fence: offset + 1, keeper, incarnation, release_wait_ms: None };
                self.claim(resource, follows, holding)
            }
            ClaimRecord::Release { resource, fence, wait_ms } => {
                self.release(resource, fence, wait_ms)
            }
            ClaimRecord::Snapshot { .. } | ClaimRecord::Reset => None,
        }
    }

    fn claim(
        &mut self,
        resource: Resource,
        follows: u64,
        holding: OwnerRecord,
    ) -> Option<OwnerChange> {
        let current = self.owners.get(&resource);
        if current.map_or(0, |h| h.fence) != follows {
            return None;
        }
        let before = self.owners.insert(resource.clone(), holding);
        Some((resource, before))
    }

    fn release(&mut self, resource: Resource, fence: u64, wait_ms: u64) -> Option<OwnerChange> {
        let holding = self.owners.get_mut(&resource)?;
        if holding.fence != fence || !holding.is_held() {
            return None;
        }
        let before = holding.clone();
        holding.release_wait_ms = Some(wait_ms);
        Some((resource, Some(before)))
    }
}
