//! Entries of the world: requests, tickets, registration, kills.

use super::*;

impl World {
    pub(super) fn handle_grant(&mut self, k: usize, engine: usize, key: RequestKey, fence: u64) {
        let Some(e) = (0..ENTRIES).find(|e| name("entry", *e) == key.entry) else {
            return;
        };
        if self.entries[e].incarnation != key.incarnation {
            let slots = self.keepers[k].engine_slots.get_mut(&engine).expect("it granted");
            let effects = slots.release(self.now, &key, TicketEnd::Unused);
            self.apply_effects(k, engine, effects);
            return;
        }
        let number: u8 = key.request.bytes().last().unwrap_or(b'0') - b'0';
        let open = OpenTicket { key, engine, fence, model: model(number) };
        self.entries[e].inbox.push(open);
        self.start_granted(e);
    }

    /// Starts what was granted, unless a promise forbids it.
    pub(super) fn start_granted(&mut self, e: usize) {
        if self.entries[e].frozen {
            return;
        }
        for open in std::mem::take(&mut self.entries[e].inbox) {
            let promised = self.entries[e].min_fences.get(&open.engine).copied().unwrap_or(0);
            if open.fence < promised {
                self.release(&open, TicketEnd::Unused);
                continue;
            }
            let engine = &mut self.engines[open.engine];
            if engine.resident.contains(&open.model) {
                engine.running.insert(open.key.clone(), open.model.clone());
                self.entries[e].running.push(open);
            } else {
                self.release(&open, TicketEnd::NotResident);
            }
        }
    }

    /// Gives a ticket back to every keeper that holds one for it.
    pub(super) fn release(&mut self, open: &OpenTicket, end: TicketEnd) {
        for k in 0..KEEPERS {
            if !self.keepers[k].alive || self.keepers[k].frozen {
                continue;
            }
            let now = self.now;
            if let Some(slots) = self.keepers[k].engine_slots.get_mut(&open.engine) {
                let effects = slots.release(now, &open.key, end);
                self.apply_effects(k, open.engine, effects);
            }
        }
    }

    pub(super) fn request_ticket(&mut self, e: usize, k: usize, how: u8) {
        let ready = self.entries[e].knows_claims && !self.entries[e].frozen;
        if !ready || !self.keepers[k].alive || self.keepers[k].frozen {
            return;
        }
        let engine = usize::from(how) % ENGINES;
        let number = (how / 2) % MODELS;
        let entry = &mut self.entries[e];
        entry.requests += 1;
        let request = format!("{e}-{}-{}-{number}", entry.incarnation, entry.requests);
        let key = RequestKey {
            entry: name("entry", e),
            incarnation: entry.incarnation,
            request: FastStr::from_string(request),
            attempt: 1,
        };
        let waiting = TicketRequest {
            key,
            model: model(number),
            caller: "caller".into(),
            class: PriorityClass::Interactive,
            deadline: self.now.after_ms(60_000),
            fingerprint: Fingerprint(u64::from(how)),
            suspect: how.is_multiple_of(31),
            resident_copies: 1,
        };
        let (now, incarnation) = (self.now, self.entries[e].incarnation);
        let Some(slots) = self.keepers[k].engine_slots.get_mut(&engine) else {
            return;
        };
        if slots.has_registered(&name("entry", e), incarnation) {
            let effects = slots.acquire(now, waiting);
            self.apply_effects(k, engine, effects);
        }
    }

    pub(super) fn register(&mut self, k: usize, e: usize) {
        let reached = self.keepers[k].alive && !self.keepers[k].frozen;
        if !reached || self.entries[e].frozen || !self.entries[e].knows_claims {
            return;
        }
        let now = self.now;
        for engine in self.keepers[k].engine_slots.keys().copied().collect::<Vec<_>>() {
            let fence = self.keepers[k].engine_slots[&engine].fence();
            let entry = &mut self.entries[e];
            let promised = entry.min_fences.entry(engine).or_insert(0);
            *promised = (*promised).max(fence);
            let of_engine = entry.running.iter().filter(|o| o.engine == engine);
            let content = |o: &OpenTicket| {
                (o.key.clone(), o.model.clone(), FastStr::from("caller"), Fingerprint(1))
            };
            let open: Vec<_> = of_engine.map(content).collect();
            let incarnation = entry.incarnation;
            let slots = &mut self.keepers[k].engine_slots[&engine];
            let effects = slots.register_entry(now, &name("entry", e), incarnation, open);
            self.apply_effects(k, engine, effects);
        }
    }

    pub(super) fn finish(&mut self, e: usize, what: u8, how: u8) {
        if self.entries[e].frozen || self.entries[e].running.is_empty() {
            return;
        }
        let index = usize::from(what) % self.entries[e].running.len();
        let open = self.entries[e].running.remove(index);
        self.engines[open.engine].running.shift_remove(&open.key);
        if !how.is_multiple_of(4) {
            self.release(&open, TicketEnd::Done);
        }
    }

    pub(super) fn freeze_entry(&mut self, e: usize, how: u8) {
        self.entries[e].frozen = how.is_multiple_of(2);
        self.start_granted(e);
    }

    pub(super) fn kill_entry(&mut self, e: usize) {
        for open in std::mem::take(&mut self.entries[e].running) {
            // its connection closes, and the engine stops
            self.engines[open.engine].running.shift_remove(&open.key);
        }
        let incarnation = self.entries[e].incarnation + 1;
        self.entries[e] = Entry { incarnation, ..Entry::default() };
        self.learn_claims(e);
    }

    /// A new entry learns which claims stand: from the log, or from all keepers of the list.
    pub(super) fn learn_claims(&mut self, e: usize) {
        let mut claims = egret_core::Claims::default();
        if self.log_up {
            for (offset, record) in self.log.iter().enumerate() {
                claims.apply_record(offset as u64, record.clone());
            }
        } else if self.keepers.iter().any(|k| !k.alive || k.frozen) {
            return;
        }
        let entry = &mut self.entries[e];
        entry.knows_claims = true;
        for engine in 0..ENGINES {
            let of_log = claims.get(&resource(engine)).map_or(0, |h| h.fence);
            let shards = self.keepers.iter().filter_map(|k| k.engine_slots.get(&engine));
            let of_keepers = shards.map(EngineSlots::fence).max().unwrap_or(0);
            let fence = if self.log_up { of_log } else { of_keepers };
            entry.min_fences.insert(engine, fence);
        }
    }
}
