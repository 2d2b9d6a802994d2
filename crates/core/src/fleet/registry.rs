//! Targets as they register themselves.

use {
    crate::Time,
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// An adapter that an engine holds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// Name of the adapter, without its base model.
    pub name: FastStr,
    /// Its version.
    pub version: u64,
}

/// A base model that an engine holds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeldModel {
    /// Name of the base model.
    pub name: FastStr,
    /// Its adapters.
    pub adapters: Vec<HeldAdapter>,
}

/// A target as it last described itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Identity of this start of the target.
    pub id: FastStr,
    /// Service it belongs to.
    pub service: FastStr,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: FastStr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Unix time of its start in milliseconds, 0 when it does not say.
    #[serde(rename = "born_ms")]
    pub started_unix_ms: u64,
    /// Base models that it holds, if it is an engine.
    pub models: Vec<HeldModel>,
}

/// Targets by id.
///
/// An entry that vanishes while the registry could not be read may have lapsed only because the
/// target could not renew it. Such a target stays in use until `lapse_ms` after the registry is
/// back, unless it had said that it leaves.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: IndexMap<FastStr, TargetEntry>,
    // records of the registry before this offset are reflected
    position: u64,
    removals_trusted_from: Time,
}

#[derive(Clone, Debug)]
struct TargetEntry {
    target: Arc<Target>,
    // set once its entry has vanished: until when it may still be used
    usable_until: Option<Time>,
}

impl Fleet {
    /// Notes that the registry is back after it could not be read: until `until`, entries that
    /// vanish may come back.
    pub fn extend_grace_period(&mut self, until: Time) {
        self.removals_trusted_from = self.removals_trusted_from.max(until);
    }

    /// Records of the registry before this offset are reflected. It orders what different hosts
    /// know, however late that is told.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Notes that all records before `position` are taken.
    pub fn advance_position(&mut self, position: u64) {
        self.position = self.position.max(position);
    }

    /// Takes an entry. Entries of an earlier start of the same id are ignored, and a target that
    /// leaves does not come back before it starts again.
    pub fn apply_entry(&mut self, mut target: Target) {
        if let Some(known) = self.targets.get(&target.id) {
            if target.started_unix_ms < known.target.started_unix_ms {
                return;
            }
            if target.started_unix_ms == known.target.started_unix_ms
                && known.target.state == TargetState::Leaving
            {
                target.state = TargetState::Leaving;
            }
        }
        let known = TargetEntry { target: Arc::new(target), usable_until: None };
        self.targets.insert(known.target.id.clone(), known);
    }

    /// Notes that the entry of `id` has vanished.
    pub fn handle_removed_entry(&mut self, now: Time, id: &str) {
        let Some(known) = self.targets.get_mut(id) else {
            return;
        };
        if known.target.state == TargetState::Leaving || now >= self.removals_trusted_from {
            self.targets.swap_remove(id);
        } else {
            known.usable_until = Some(self.removals_trusted_from);
        }
    }

    /// Notes that the entry of `id` names no target any more: it can't be read, or another
    /// writer has replaced it.
    pub fn remove_unreadable(&mut self, id: &str) {
        self.targets.swap_remove(id);
    }

    /// Takes a whole listing that reflects the records before `position`: what it lacks has
    /// vanished. False when more is known already.
    pub fn apply_listing(&mut self, now: Time, position: u64, targets: Vec<Target>) -> bool {
        if position < self.position {
            return false;
        }
        self.position = position;
        let listed: IndexSet<&FastStr> = targets.iter().map(|target| &target.id).collect();
        let missing = self.targets.keys().filter(|id| !listed.contains(id));
        let missing: Vec<FastStr> = missing.cloned().collect();
        for id in missing {
            self.handle_removed_entry(now, &id);
        }
        for target in targets {
            self.apply_entry(target);
        }
        true
    }

    /// Drops targets whose entries did not come back in time.
    pub fn remove_expired(&mut self, now: Time) {
        self.targets.retain(|_, known| known.usable_until.is_none_or(|at| now < at));
    }

    /// The target `id`, if it takes new work.
    #[must_use]
    pub fn ready(&self, id: &str) -> Option<&Arc<Target>> {
        self.get(id).filter(|t| t.state == TargetState::Ready)
    }

    /// The target `id`.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.targets.get(id).map(|known| &known.target)
    }

    /// Targets that take new work.
    pub fn all_ready(&self) -> impl Iterator<Item = &Arc<Target>> {
        let targets = self.targets.values().map(|known| &known.target);
        targets.filter(|t| t.state == TargetState::Ready)
    }

    /// Targets that stand in the registry, without those that may come back.
    pub fn all_listed(&self) -> impl Iterator<Item = &Arc<Target>> {
        let listed = self.targets.values().filter(|known| known.usable_until.is_none());
        listed.map(|known| &known.target)
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values().map(|known| &known.target)
    }
}
