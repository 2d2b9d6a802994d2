//! The owners of resources, computed from the log's claim stream.

use {
    crate::log_position::LogPosition,
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A resource that one keeper owns at a time.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// The adapter slots of an engine.
    Engine(FastStr),
    /// Permission to have one load in transit from the weight store.
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
    /// A keeper takes over a resource.
    Claim {
        /// The resource.
        resource: Resource,
        /// The keeper's host.
        keeper: FastStr,
        /// Distinguishes restarts of the keeper.
        incarnation: u64,
        /// Fencing token of the preceding claim; 0 for none. The first claim that follows it wins.
        follows: u64,
    },
    /// The owner releases a resource, so that the next claim need not wait for its lease to end.
    Release {
        /// The resource.
        resource: Resource,
        /// Fencing token of the owner.
        #[serde(rename = "fence")]
        fencing_token: u64,
        /// Milliseconds that the owner still had to wait before its first order, since the lease of
        /// an earlier owner may last as long.
        wait_ms: u64,
    },
    /// All owners, appended again before the log drops the claims they come from.
    Snapshot {
        /// All records below this offset are included.
        as_of: u64,
        /// The owners.
        #[serde(rename = "holdings")]
        owners: Vec<(Resource, OwnerRecord)>,
    },
    /// No resource has an owner from here on. Appended by a reader that found no snapshot in a
    /// stream whose oldest records the log has dropped.
    Reset,
}

/// Owner of a resource.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Offset of the claim plus one, which orders carry as fencing token.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// The keeper's host.
    pub keeper: FastStr,
    /// Distinguishes restarts of the keeper.
    pub incarnation: u64,
    /// Set once the owner has released the resource: milliseconds that the next owner has to wait
    /// for the leases of earlier owners.
    #[serde(rename = "released")]
    pub release_wait_ms: Option<u64>,
}

impl OwnerRecord {
    /// True while the owner has not released the resource.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.release_wait_ms.is_none()
    }
}

/// A resource whose owner changed, and its previous owner.
pub(crate) type OwnerChange = (Resource, Option<OwnerRecord>);

/// Owners by resource, up to the last record read from the claim stream.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    owners: IndexMap<Resource, OwnerRecord>,
    position: LogPosition<ClaimRecord>,
    snapshot_offset: u64,
}

impl Claims {
    /// The newest owner of `resource`, including one that has released it.
    #[must_use]
    pub fn get(&self, resource: &Resource) -> Option<&OwnerRecord> {
        self.owners.get(resource)
    }

    /// All owners.
    pub fn iter(&self) -> impl Iterator<Item = (&Resource, &OwnerRecord)> {
        self.owners.iter()
    }

    /// False while records are missing that the owners depend on.
    #[must_use]
    pub fn is_contiguous(&self) -> bool {
        self.position.is_contiguous()
    }

    /// Sets the first offset that the stream still holds.
    pub fn set_stream_start(&mut self, start: u64) {
        self.position.set_log_start(start);
    }

    /// A record of all owners, or none while records are missing.
    #[must_use]
    pub fn snapshot(&self) -> Option<ClaimRecord> {
        if !self.is_contiguous() {
            return None;
        }
        let pairs = self.owners.iter().map(|(r, owner)| (r.clone(), owner.clone()));
        Some(ClaimRecord::Snapshot { as_of: self.position.folded_to(), owners: pairs.collect() })
    }

    /// Offset of the newest snapshot read, and the number of records after it.
    #[must_use]
    pub fn snapshot_age(&self) -> (u64, u64) {
        let age = self.position.folded_to().saturating_sub(self.snapshot_offset);
        (self.snapshot_offset, age)
    }

    /// Applies the record at `offset`. Returns the resources whose owner changed, each with its
    /// previous owner.
    pub fn apply_record(&mut self, offset: u64, record: ClaimRecord) -> Vec<OwnerChange> {
        match record {
            ClaimRecord::Snapshot { as_of, owners } => {
                let changed = self.apply_snapshot(as_of, owners);
                self.position.skip(offset);
                self.snapshot_offset = self.snapshot_offset.max(offset);
                changed
            }
            ClaimRecord::Reset => self.reset(offset),
            other => {
                let ready = self.position.admit(offset, other);
                ready.and_then(|record| self.apply(offset, record)).into_iter().collect()
            }
        }
    }

    fn apply_snapshot(
        &mut self,
        as_of: u64,
        owners: Vec<(Resource, OwnerRecord)>,
    ) -> Vec<OwnerChange> {
        let Some(pending) = self.position.apply_snapshot(as_of) else {
            return Vec::new();
        };
        let before = std::mem::take(&mut self.owners);
        self.owners.extend(owners);
        for (offset, record) in pending {
            self.apply(offset, record);
        }
        self.changes_since(&before)
    }

    fn reset(&mut self, offset: u64) -> Vec<OwnerChange> {
        // A reader that waited for a snapshot agrees with all others from here on.
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
                let owner = OwnerRecord {
                    fencing_token: offset + 1,
                    keeper,
                    incarnation,
                    release_wait_ms: None,
                };
                self.claim(resource, follows, owner)
            }
            ClaimRecord::Release { resource, fencing_token, wait_ms } => {
                self.release(resource, fencing_token, wait_ms)
            }
            ClaimRecord::Snapshot { .. } | ClaimRecord::Reset => None,
        }
    }

    fn claim(
        &mut self,
        resource: Resource,
        follows: u64,
        owner: OwnerRecord,
    ) -> Option<OwnerChange> {
        let current = self.owners.get(&resource);
        if current.map_or(0, |owner| owner.fencing_token) != follows {
            return None;
        }
        let before = self.owners.insert(resource.clone(), owner);
        Some((resource, before))
    }

    fn release(
        &mut self,
        resource: Resource,
        fencing_token: u64,
        wait_ms: u64,
    ) -> Option<OwnerChange> {
        let owner = self.owners.get_mut(&resource)?;
        if owner.fencing_token != fencing_token || !owner.is_active() {
            return None;
        }
        let before = owner.clone();
        owner.release_wait_ms = Some(wait_ms);
        Some((resource, Some(before)))
    }
}
