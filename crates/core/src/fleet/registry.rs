//! Targets as registered by themselves.

use {
    super::{
        changes::{ChangedTarget, ChangesApplied, Removals, TargetChanges},
        departures::{Departure, Departures},
        digest::SetDigest,
    },
    crate::{
        Time,
        hash::{mix_hashes, text_hash},
    },
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum TargetState {
    /// The target accepts new work.
    Ready,
    /// The target finishes its running work and leaves.
    Leaving,
}

/// A resident adapter, as its engine registers it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RegisteredAdapter {
    /// Name of the adapter, without its base model.
    pub name: FastStr,
    /// Its version.
    pub version: u64,
}

/// A resident base model, as its engine registers it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RegisteredModel {
    /// Name of the base model.
    pub name: FastStr,
    /// Its adapters.
    pub adapters: Vec<RegisteredAdapter>,
}

/// A target's latest registration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Identity of the target since its last start.
    pub id: FastStr,
    /// Service of the target.
    pub service: FastStr,
    /// Address for requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: FastStr,
    /// Version of the target's software, empty if unknown. Versions have no order.
    #[serde(default)]
    pub software_version: FastStr,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Whether the target accepts new work.
    pub state: TargetState,
    /// Unix time of the target's start, 0 if unknown.
    #[serde(rename = "born_ms")]
    pub started_unix_ms: u64,
    /// Position in the registry of an entry of the target. Later entries that change nothing else
    /// may follow it.
    #[serde(default)]
    pub registered_at: u64,
    /// Resident base models, if the target is an engine.
    pub models: Vec<RegisteredModel>,
}

/// Targets by id.
///
/// What a target has said about leaving holds for all its entries of the same start, also for one
/// that comes after it: the registry may come back from an older copy, and other hosts may know
/// less. A target whose entry ended is used again once it has written a new one.
///
/// An entry that vanishes around an outage of the registry may have lapsed only because the target
/// could not renew it. Such a target stays in use until `lapse_ms` after the registry is back,
/// unless it had announced that it leaves.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: IndexMap<FastStr, TargetEntry>,
    // all registry records before this offset are applied
    position: u64,
    removals_trusted_from: Time,
    departures: Departures,
    // of the listed targets
    digest: SetDigest,
    removals: Removals,
    // position of the records that are being applied
    changing_to: u64,
}

#[derive(Clone, Debug)]
struct TargetEntry {
    target: Arc<Target>,
    // set once the entry has vanished: time until which the target may still be used
    usable_until: Option<Time>,
    // its part in the digest; 0 while it is not listed
    hash: u64,
    // position before which its entry changed last, apart from what other hosts need not know
    changed_at: u64,
}

impl Fleet {
    /// Starts the grace period after the registry could not be read: entries that vanish before
    /// `until` may come back.
    pub fn extend_grace_period(&mut self, until: Time) {
        self.removals_trusted_from = self.removals_trusted_from.max(until);
    }

    /// Offset below which all registry records are applied. It orders the views of different hosts,
    /// however late a view arrives.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Records that the records applied from now on come before `position`.
    pub fn begin_changes(&mut self, position: u64) {
        self.changing_to = self.changing_to.max(position);
    }

    /// Records that all registry records before `position` are applied.
    pub fn advance_position(&mut self, position: u64) {
        self.position = self.position.max(position);
    }

    /// Distrusts registry records before `position`, since the registry has come back from a copy:
    /// they may be older than what is known.
    pub fn distrust_entries_before(&mut self, position: u64) {
        self.departures.distrust_entries_before(position);
        let ids: Vec<FastStr> = self.targets.keys().cloned().collect();
        for id in ids {
            self.update_digest(&id);
        }
    }

    // called after each change of the entry or the departure of the target `id`
    fn update_digest(&mut self, id: &str) {
        let Some(entry) = self.targets.get_mut(id) else {
            return;
        };
        let target = &entry.target;
        let is_ready = target.state == TargetState::Ready && self.departures.admits(target);
        let hash = if entry.usable_until.is_none() { target_hash(target, is_ready) } else { 0 };
        self.digest.replace(std::mem::replace(&mut entry.hash, hash), hash);
    }

    fn remove_entry(&mut self, id: &str) -> Option<Arc<Target>> {
        let entry = self.targets.swap_remove(id)?;
        self.digest.replace(entry.hash, 0);
        Some(entry.target)
    }

    /// Digest of the listed targets: their ids, starts, and whether they accept new work. It is the
    /// same for the same targets, in whatever order they have changed.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest.value()
    }

    /// Applies an entry. Entries of an earlier start of the same id are ignored, and a target that
    /// leaves accepts no new work until it starts again.
    pub fn apply_entry(&mut self, target: Target) {
        if let Some(entry) = self.targets.get(&target.id)
            && target.started_unix_ms < entry.target.started_unix_ms
        {
            return;
        }
        if self.departures.admits(&target) {
            self.departures.forget(&target.id);
        }
        if target.state == TargetState::Leaving {
            self.departures.merge(Departure {
                target: target.id.clone(),
                started_unix_ms: target.started_unix_ms,
                is_announced: true,
                ended_before: None,
            });
        }
        let id = target.id.clone();
        let before = self.targets.get(&id);
        let hash = before.map_or(0, |entry| entry.hash);
        let same = before.filter(|entry| {
            entry.usable_until.is_none() && is_same_for_others(&entry.target, &target)
        });
        let changed_at = same.map(|entry| entry.changed_at);
        let entry = TargetEntry {
            target: Arc::new(target),
            usable_until: None,
            hash,
            changed_at: changed_at.unwrap_or(self.changing_to),
        };
        self.removals.forget(&id);
        self.targets.insert(id.clone(), entry);
        self.update_digest(&id);
        // an entry of a target that had left may admit it again, without any other difference
        if let Some(entry) = self.targets.get_mut(&id)
            && entry.hash != hash
        {
            entry.changed_at = self.changing_to;
        }
    }

    /// Records that the entry of `id` has changed, although it says the same as before.
    pub fn record_changed(&mut self, id: &str) {
        if let Some(entry) = self.targets.get_mut(id) {
            entry.changed_at = self.changing_to;
        }
    }

    /// Handles the removal of the entry of `id`.
    pub fn handle_removed_entry(&mut self, now: Time, id: &str) {
        self.removals.record(id, self.changing_to);
        let Some(entry) = self.targets.get_mut(id) else {
            return;
        };
        if now >= self.removals_trusted_from || !self.departures.admits(&entry.target) {
            self.remove(id);
        } else {
            entry.usable_until = Some(self.removals_trusted_from);
            self.update_digest(id);
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(target) = self.remove_entry(id) {
            self.departures.merge(Departure {
                target: target.id.clone(),
                started_unix_ms: target.started_unix_ms,
                is_announced: false,
                ended_before: Some(self.position),
            });
        }
    }

    /// Records that the start `started_unix_ms` of the target `id` has said in an answer that it
    /// leaves. Returns true if that was not known.
    pub fn record_leaving(&mut self, now: Time, id: &FastStr, started_unix_ms: u64) -> bool {
        let is_news = self.merge_departure(Departure {
            target: id.clone(),
            started_unix_ms,
            is_announced: true,
            ended_before: None,
        });
        if is_news {
            self.departures.repeat(now, id);
        }
        is_news
    }

    /// Merges a departure that another host knows. Returns true if it is news.
    pub fn merge_departure(&mut self, departure: Departure) -> bool {
        let entry = self.targets.get(&departure.target);
        let is_registered_again = entry.is_some_and(|entry| departure.admits(&entry.target));
        if is_registered_again {
            return false;
        }
        let id = departure.target.clone();
        let is_news = self.departures.merge(departure);
        self.update_digest(&id);
        is_news
    }

    /// Departures that are remembered.
    pub fn departures(&self) -> impl Iterator<Item = &Departure> {
        self.departures.all()
    }

    /// Departures that this host has learned from answers in the last seconds.
    pub fn recent_departures(&self, now: Time) -> impl Iterator<Item = &Departure> {
        self.departures.repeated(now)
    }

    /// Removes the target `id`, whose entry is unreadable or was replaced by another writer.
    pub fn remove_unreadable(&mut self, id: &str) {
        self.removals.record(id, self.changing_to);
        self.remove_entry(id);
    }

    /// Applies a complete listing that reflects the records before `position`; targets missing from
    /// it have vanished. Returns false if later records are already applied.
    pub fn apply_listing(&mut self, now: Time, position: u64, targets: Vec<Target>) -> bool {
        if position < self.position {
            return false;
        }
        self.position = position;
        self.changing_to = position;
        let listed_ids: IndexSet<&FastStr> = targets.iter().map(|target| &target.id).collect();
        let missing_ids = self.targets.keys().filter(|id| !listed_ids.contains(id));
        let missing_ids: Vec<FastStr> = missing_ids.cloned().collect();
        for id in missing_ids {
            self.handle_removed_entry(now, &id);
        }
        for target in targets {
            self.apply_entry(target);
        }
        // what has changed and changed back since the last position is not known
        self.removals.restart(position);
        true
    }

    /// The changes since `from`, or all entries if not all changes since then are known.
    #[must_use]
    pub fn changes_since(&self, from: u64) -> TargetChanges {
        let removed = self.removals.since(from);
        let is_complete = removed.is_none();
        let removed = removed.unwrap_or_default();
        let listed = self.targets.values().filter(|entry| entry.usable_until.is_none());
        let changed = listed.filter(|entry| is_complete || entry.changed_at > from);
        let changed: Vec<ChangedTarget> = changed
            .map(|entry| ChangedTarget {
                target: entry.target.clone(),
                changed_at: entry.changed_at,
            })
            .collect();
        let departures = if is_complete || from >= self.position {
            self.departures().cloned().collect()
        } else {
            let ids = changed.iter().map(|entry| &entry.target.id);
            let ids = ids.chain(removed.iter().map(|entry| &entry.id));
            ids.filter_map(|id| self.departures.get(id)).cloned().collect()
        };
        let (to, digest) = (self.position, self.digest());
        TargetChanges { from, to, is_complete, changed, removed, departures, digest }
    }

    /// The changes since `from` for a contact that is not known to lack them. If not all are known, it
    /// learns of this host's position only, and asks.
    #[must_use]
    pub fn changes_to_push(&self, from: u64) -> TargetChanges {
        if self.removals.since(from).is_some() {
            return self.changes_since(from);
        }
        let (position, digest) = (self.position, self.digest());
        TargetChanges { from: position, to: position, digest, ..TargetChanges::default() }
    }

    /// Applies changes that another host has passed on. Complete lists are applied by
    /// [`Self::apply_listing`], and departures by [`Self::merge_departure`].
    pub fn apply_changes(&mut self, now: Time, changes: &TargetChanges) -> ChangesApplied {
        if changes.to <= self.position {
            return ChangesApplied::Known;
        }
        if changes.from > self.position || changes.is_complete {
            return ChangesApplied::Gap;
        }
        self.position = changes.to;
        for removed in &changes.removed {
            self.changing_to = removed.changed_at;
            self.handle_removed_entry(now, &removed.id);
        }
        for changed in &changes.changed {
            self.changing_to = changed.changed_at;
            self.apply_entry(Target::clone(&changed.target));
            // it may have changed and changed back, which a contact need not know
            if let Some(entry) = self.targets.get_mut(&changed.target.id) {
                entry.changed_at = entry.changed_at.max(changed.changed_at);
            }
        }
        self.changing_to = changes.to;
        ChangesApplied::Applied
    }

    /// Removes targets whose entries did not come back in time, and forgets departures of long ago.
    pub fn remove_expired(&mut self, now: Time) {
        let is_expired = |entry: &TargetEntry| entry.usable_until.is_some_and(|at| now >= at);
        let expired = self.targets.iter().filter(|(_, entry)| is_expired(entry));
        let expired: Vec<FastStr> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.remove(&id);
        }
        let targets = &self.targets;
        self.departures.remove_expired(now, |id| targets.contains_key(id));
    }

    /// True if `target` accepts new work by its entry and by what is known of it otherwise.
    #[must_use]
    pub fn is_ready(&self, target: &Target) -> bool {
        target.state == TargetState::Ready && self.departures.admits(target)
    }

    /// The target `id`, if it accepts new work.
    #[must_use]
    pub fn ready(&self, id: &str) -> Option<&Arc<Target>> {
        self.get(id).filter(|t| self.is_ready(t))
    }

    /// The target `id`.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.targets.get(id).map(|entry| &entry.target)
    }

    /// Targets that accept new work.
    pub fn all_ready(&self) -> impl Iterator<Item = &Arc<Target>> {
        let targets = self.targets.values().map(|entry| &entry.target);
        targets.filter(|t| self.is_ready(t))
    }

    /// Targets with an entry in the registry, without those that may come back.
    pub fn all_listed(&self) -> impl Iterator<Item = &Arc<Target>> {
        let listed = self.targets.values().filter(|entry| entry.usable_until.is_none());
        listed.map(|entry| &entry.target)
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values().map(|entry| &entry.target)
    }
}

// Loaded adapters change often, and the owners of engines report them. A later entry that says the
// same is not passed on.
fn is_same_for_others(a: &Target, b: &Target) -> bool {
    let models = |target: &Target| target.models.iter().map(|m| m.name.clone()).collect::<Vec<_>>();
    a.service == b.service
        && a.address == b.address
        && a.data_centre == b.data_centre
        && a.software_version == b.software_version
        && a.slots == b.slots
        && a.state == b.state
        && a.started_unix_ms == b.started_unix_ms
        && models(a) == models(b)
}

fn target_hash(target: &Target, is_ready: bool) -> u64 {
    let state = target.started_unix_ms.wrapping_mul(2) | u64::from(is_ready);
    mix_hashes(text_hash(&target.id), state)
}
