//! Recovery of an engine's state after a takeover or a restart of the engine.

use {
    super::{
        engine::{EngineSlots, Slot, SlotState},
        types::{Effect, RequestKey, Ticket},
    },
    crate::{Fingerprint, ModelName, Reason, Time},
    faststr::FastStr,
    indexmap::IndexSet,
};

impl EngineSlots {
    /// Sets the entry hosts that must register before anything is unloaded: every host that the
    /// host list shows or has recently shown.
    pub fn set_required_entries(&mut self, entries: IndexSet<FastStr>) {
        self.required_entries = entries;
    }

    /// True when every entry has registered its open tickets.
    #[must_use]
    pub fn may_evict(&self) -> bool {
        self.required_entries.iter().all(|entry| self.registered_entries.contains_key(entry))
    }

    /// Entries that have not registered yet.
    pub fn unregistered(&self) -> impl Iterator<Item = &FastStr> {
        self.required_entries.iter().filter(|entry| !self.registered_entries.contains_key(*entry))
    }

    /// True when `entry` has registered under this claim.
    #[must_use]
    pub fn has_registered(&self, entry: &str, incarnation: u64) -> bool {
        self.registered_entries.get(entry) == Some(&incarnation)
    }

    /// Takes over the open tickets of an entry, granted under earlier claims. The entry has
    /// promised to start nothing more under them. Tickets of its earlier incarnations are
    /// cancelled.
    pub fn register_entry(
        &mut self,
        now: Time,
        entry: &FastStr,
        incarnation: u64,
        open: Vec<(RequestKey, ModelName, FastStr, Fingerprint)>,
    ) -> Vec<Effect> {
        self.registered_entries.insert(entry.clone(), incarnation);
        for (key, model, caller, fingerprint) in open {
            self.adopt_ticket(now, key, model, caller, fingerprint);
        }
        let stale = |key: &RequestKey| key.entry == *entry && key.incarnation != incarnation;
        let stale_tickets: Vec<RequestKey> =
            self.tickets.keys().filter(|key| stale(key)).cloned().collect();
        self.queue.retain(|key, _| !stale(key));
        stale_tickets.iter().flat_map(|key| self.cancel(now, key)).collect()
    }

    fn adopt_ticket(
        &mut self,
        now: Time,
        key: RequestKey,
        model: ModelName,
        caller: FastStr,
        fingerprint: Fingerprint,
    ) {
        self.slots.entry(model.clone()).or_insert(Slot {
            state: SlotState::Ready,
            changed_at: now,
            last_used_at: now,
            resident_copies: 1,
        });
        let ticket = Ticket {
            model,
            caller,
            expires_at: now.after_ms(self.settings.ticket_ms),
            exclusive: false,
            cancelling: false,
            granted_at: now,
            fingerprint,
        };
        self.tickets.entry(key).or_insert(ticket);
    }

    /// Applies the engine's own list of resident adapters, requested at `requested_at`. `epoch`
    /// differs after each start of the engine. If the engine has restarted since the last list,
    /// returns the fingerprints of the requests that ran when it crashed.
    pub fn sync_resident(
        &mut self,
        now: Time,
        requested_at: Time,
        epoch: u64,
        resident: &IndexSet<ModelName>,
    ) -> (Vec<Fingerprint>, Vec<Effect>) {
        let restarted = self.epoch.is_some_and(|known| known != epoch);
        self.epoch = Some(epoch);
        self.down = false;
        let crashed =
            if restarted { self.take_crash_fingerprints(requested_at) } else { Vec::new() };
        self.broken_requests.retain(|(_, at)| *at >= requested_at);
        // Decisions made after the list was requested are newer than the list.
        let is_newer = |slot: &Slot| slot.changed_at >= requested_at;
        let is_in_flight = |slot: &Slot| match slot.state {
            SlotState::Loading { .. } | SlotState::Unloading { .. } => !restarted,
            SlotState::Unknown { settled_at } => requested_at < settled_at,
            SlotState::Ready => false,
        };
        self.slots
            .retain(|model, slot| resident.contains(model) || is_in_flight(slot) || is_newer(slot));
        for model in resident {
            self.mark_resident(now, requested_at, model);
        }
        (crashed, self.dispatch(now))
    }

    /// Records that the engine accepts no connections. Refuses all waiting requests at once and
    /// returns the fingerprints of the requests that ran on the engine.
    pub fn mark_down(&mut self, now: Time) -> (Vec<Fingerprint>, Vec<Effect>) {
        if self.down {
            return (Vec::new(), Vec::new());
        }
        self.down = true;
        // The start that follows belongs to the same crash.
        self.epoch = None;
        let crashed = self.take_crash_fingerprints(now);
        self.slots.clear();
        (crashed, self.refuse_all(Reason::NoTarget, self.settings.load_backoff_ms))
    }

    /// Fingerprints of requests whose connection broke and of those whose tickets are older than
    /// `before`.
    fn take_crash_fingerprints(&mut self, before: Time) -> Vec<Fingerprint> {
        let broken = std::mem::take(&mut self.broken_requests);
        let open = self.tickets.values().filter(|t| t.granted_at < before);
        let all = broken.into_iter().map(|(f, _)| f).chain(open.map(|t| t.fingerprint));
        let distinct: IndexSet<Fingerprint> = all.collect();
        distinct.into_iter().collect()
    }

    fn mark_resident(&mut self, now: Time, requested_at: Time, model: &ModelName) {
        let new_slot = Slot {
            state: SlotState::Ready,
            changed_at: now,
            last_used_at: now,
            resident_copies: 1,
        };
        // An unload ended after the list was requested; the next list shows its result.
        if self.last_unload_at >= requested_at && !self.slots.contains_key(model) {
            return;
        }
        let slot = self.slots.entry(model.clone()).or_insert(new_slot);
        if let SlotState::Unknown { settled_at } = slot.state
            && requested_at >= settled_at
        {
            slot.state = SlotState::Ready;
            slot.changed_at = now;
        }
    }

    pub(super) fn probe_unknown(&self, now: Time) -> Vec<Effect> {
        let is_due =
            |s: &Slot| matches!(s.state, SlotState::Unknown { settled_at } if now >= settled_at);
        if self.slots.values().any(is_due) { vec![Effect::Probe] } else { Vec::new() }
    }

    pub(super) fn cancel_expired(&mut self, now: Time) -> Vec<Effect> {
        let expired: Vec<RequestKey> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| now >= ticket.expires_at)
            .map(|(key, _)| key.clone())
            .collect();
        expired.iter().flat_map(|key| self.cancel(now, key)).collect()
    }
}
