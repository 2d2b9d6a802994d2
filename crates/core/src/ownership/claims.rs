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
        holdings: Vec<(Resource, Holding)>,
    },
    /// Everything counts as held by nobody from here on. Appended by a reader that found
    /// no snapshot in a stream whose oldest records are gone.
    Reset,
}

/// Who holds a resource.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// Offset of the claim plus one. Orders carry it as fencing number.
    pub fence: u64,
    /// The keeper's host.
    pub keeper: FastStr,
    /// Distinguishes restarts of the keeper.
    pub incarnation: u64,
    /// Set once the holder gave it up: milliseconds that the next one has to wait for rights of
    /// earlier holders.
    pub released: Option<u64>,
}

impl Holding {
    /// True while the holder has not given it up.
    #[must_use]
    pub fn stands(&self) -> bool {
        self.released.is_none()
    }
}

/// A holding that changed and the one before it.
pub(crate) type Changed = (Resource, Option<Holding>);

/// Holdings by resource, as far as the claim stream was read.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    holdings: IndexMap<Resource, Holding>,
    position: LogPosition<ClaimRecord>,
    snapshot_at: u64,
}

impl Claims {
    /// The newest holding of `resource`, also a released one.
    #[must_use]
    pub fn get(&self, resource: &Resource) -> Option<&Holding> {
        self.holdings.get(resource)
    }

    /// All holdings.
    pub fn iter(&self) -> impl Iterator<Item = (&Resource, &Holding)> {
        self.holdings.iter()
    }

    /// False while records are missing that the holdings depend on.
    #[must_use]
    pub fn contiguous(&self) -> bool {
        self.position.is_contiguous()
    }

    /// Notes that the stream can only be read from `start` on.
    pub fn starts_at(&mut self, start: u64) {
        self.position.set_log_start(start);
    }

    /// A record that repeats all holdings, none while records are missing.
    #[must_use]
    pub fn snapshot(&self) -> Option<ClaimRecord> {
        if !self.contiguous() {
            return None;
        }
        let pairs = self.holdings.iter().map(|(r, h)| (r.clone(), h.clone()));
        Some(ClaimRecord::Snapshot { as_of: self.position.folded_to(), holdings: pairs.collect() })
    }

    /// Offset of the newest snapshot read, and how many records came after it.
    #[must_use]
    pub fn snapshot_age(&self) -> (u64, u64) {
        let age = self.position.folded_to().saturating_sub(self.snapshot_at);
        (self.snapshot_at, age)
    }

    /// Takes the record at `offset`. Returns the resources whose holding changed, each with
    /// the holding before.
    pub fn observe(&mut self, offset: u64, record: ClaimRecord) -> Vec<Changed> {
        match record {
            ClaimRecord::Snapshot { as_of, holdings } => {
                let changed = self.adopt(as_of, holdings);
                self.position.skip(offset);
                self.snapshot_at = self.snapshot_at.max(offset);
                changed
            }
            ClaimRecord::Reset => self.reset(offset),
            other => {
                let due = self.position.admit(offset, other);
                due.and_then(|record| self.apply(offset, record)).into_iter().collect()
            }
        }
    }

    fn adopt(&mut self, as_of: u64, holdings: Vec<(Resource, Holding)>) -> Vec<Changed> {
        let Some(held_back) = self.position.apply_snapshot(as_of) else {
            return Vec::new();
        };
        let before = std::mem::take(&mut self.holdings);
        self.holdings.extend(holdings);
        for (offset, record) in held_back {
            self.apply(offset, record);
        }
        self.changes_from(&before)
    }

    fn reset(&mut self, offset: u64) -> Vec<Changed> {
        // a reader that waited for a snapshot agrees with all others from here on
        if self.position.apply_snapshot(offset + 1).is_none() {
            return Vec::new();
        }
        let before = std::mem::take(&mut self.holdings);
        self.changes_from(&before)
    }

    fn changes_from(&self, before: &IndexMap<Resource, Holding>) -> Vec<Changed> {
        let mut all: Vec<&Resource> = before.keys().chain(self.holdings.keys()).collect();
        all.sort();
        all.dedup();
        all.retain(|r| before.get(*r) != self.holdings.get(*r));
        all.into_iter().map(|r| (r.clone(), before.get(r).cloned())).collect()
    }

    fn apply(&mut self, offset: u64, record: ClaimRecord) -> Option<Changed> {
        match record {
            ClaimRecord::Claim { resource, keeper, incarnation, follows } => {
                let holding = Holding { fence: offset + 1, keeper, incarnation, released: None };
                self.claim(resource, follows, holding)
            }
            ClaimRecord::Release { resource, fence, wait_ms } => {
                self.release(resource, fence, wait_ms)
            }
            ClaimRecord::Snapshot { .. } | ClaimRecord::Reset => None,
        }
    }

    fn claim(&mut self, resource: Resource, follows: u64, holding: Holding) -> Option<Changed> {
        let current = self.holdings.get(&resource);
        if current.map_or(0, |h| h.fence) != follows {
            return None;
        }
        let before = self.holdings.insert(resource.clone(), holding);
        Some((resource, before))
    }

    fn release(&mut self, resource: Resource, fence: u64, wait_ms: u64) -> Option<Changed> {
        let holding = self.holdings.get_mut(&resource)?;
        if holding.fence != fence || !holding.stands() {
            return None;
        }
        let before = holding.clone();
        holding.released = Some(wait_ms);
        Some((resource, Some(before)))
    }
}
