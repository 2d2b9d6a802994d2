//! Entries of the world: requests, tickets, registration, kills.

use super::*;

impl World {
    pub(super) fn granted(&mut self, k: usize, engine: usize, key: RequestKey, fence: u64) {
        let Some(e) = (0..ENTRIES).find(|e| name("entry", *e) == key.entry) else {
            return;
        };
        if self.entries[e].incarnation != key.incarnation {
            let slots = self.keepers[k].shards.get_mut(&engine).expect("it granted");
            let effects = slots.release(self.now, &key, TicketEnd::Unused);
            self.effects(k, engine, effects);
            return;
        }
        let number: u8 = key.request.bytes().last().unwrap_or(b'0') - b'0';
        let open = Open { key, engine, fence, model: model(number) };
        self.entries[e].inbox.push(open);
        self.start_granted(e);
    }

    /// Starts what was granted, unless a promise forbids it.
    pub(super) fn start_granted(&mut self, e: usize) {
        if self.entries[e].frozen {
            return;
        }
        for open in std::mem::take(&mut self.entries[e].inbox) {
            let promised = self.entries[e].promised.get(&open.engine).copied().unwrap_or(0);
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
    pub(super) fn release(&mut self, open: &Open, end: TicketEnd) {
        for k in 0..KEEPERS {
            if !self.keepers[k].alive || self.keepers[k].frozen {
                continue;
            }
            let now = self.now;
            if let Some(slots) = self.keepers[k].shards.get_mut(&open.engine) {
                let effects = slots.release(now, &open.key, end);
                self.effects(k, open.engine, effects);
            }
        }
    }

    pub(super) fn ask(&mut self, e: usize, k: usize, how: u8) {
        let ready = self.entries[e].informed && !self.entries[e].frozen;
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
        let waiting = Waiting {
            key,
            model: model(number),
            caller: "caller".into(),
            class: PriorityClass::Interactive,
            deadline: self.now.after_ms(60_000),
            fingerprint: Fingerprint(u64::from(how)),
            suspect: how.is_multiple_of(31),
            copies: 1,
        };
        let (now, incarnation) = (self.now, self.entries[e].incarnation);
        let Some(slots) = self.keepers[k].shards.get_mut(&engine) else {
            return;
        };
        if slots.has_registered(&name("entry", e), incarnation) {
            let effects = slots.acquire(now, waiting);
            self.effects(k, engine, effects);
        }
    }

    pub(super) fn register(&mut self, k: usize, e: usize) {
        let reached = self.keepers[k].alive && !self.keepers[k].frozen;
        if !reached || self.entries[e].frozen || !self.entries[e].informed {
            return;
        }
        let now = self.now;
        for engine in self.keepers[k].shards.keys().copied().collect::<Vec<_>>() {
            let fence = self.keepers[k].shards[&engine].fence();
            let entry = &mut self.entries[e];
            let promised = entry.promised.entry(engine).or_insert(0);
            *promised = (*promised).max(fence);
            let of_engine = entry.running.iter().filter(|o| o.engine == engine);
            let content = |o: &Open| {
                (o.key.clone(), o.model.clone(), FastStr::from("caller"), Fingerprint(1))
            };
            let open: Vec<_> = of_engine.map(content).collect();
            let incarnation = entry.incarnation;
            let slots = &mut self.keepers[k].shards[&engine];
            let effects = slots.register(now, &name("entry", e), incarnation, open);
            self.effects(k, engine, effects);
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
        self.inform(e);
    }

    /// A new entry learns which claims stand: from the log, or from all keepers of the list.
    pub(super) fn inform(&mut self, e: usize) {
        let mut claims = egret_core::Claims::default();
        if self.log_up {
            for (offset, record) in self.log.iter().enumerate() {
                claims.observe(offset as u64, record.clone());
            }
        } else if self.keepers.iter().any(|k| !k.alive || k.frozen) {
            return;
        }
        let entry = &mut self.entries[e];
        entry.informed = true;
        for engine in 0..ENGINES {
            let of_log = claims.get(&resource(engine)).map_or(0, |h| h.fence);
            let shards = self.keepers.iter().filter_map(|k| k.shards.get(&engine));
            let of_keepers = shards.map(EngineSlots::fence).max().unwrap_or(0);
            let fence = if self.log_up { of_log } else { of_keepers };
            entry.promised.insert(engine, fence);
        }
    }
}
