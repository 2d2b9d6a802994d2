//! Entries of the world: requests, tickets, registration, kills.

use super::*;

impl World {
    pub(super) fn handle_grant(
        &mut self,
        k: usize,
        engine: usize,
        key: RequestKey,
        fencing_token: u64,
    ) {
        let Some(e) = (0..ENTRIES).find(|e| name("entry", *e) == key.entry) else {
            return;
        };
        if self.entries[e].incarnation != key.incarnation {
            let slots = self.keepers[k]
                .engine_slots
                .get_mut(&engine)
                .expect("the keeper granted the ticket");
            let effects = slots.release(self.now, &key, TicketEnd::Unused);
            self.apply_effects(k, engine, effects);
            return;
        }
        let number: u8 = key.request.bytes().last().unwrap_or(b'0') - b'0';
        let ticket = OpenTicket { key, engine, fencing_token, model: model(number) };
        self.entries[e].inbox.push(ticket);
        self.start_granted(e);
    }

    /// Starts granted requests, unless their fencing token is below the entry's minimum for the
    /// engine.
    pub(super) fn start_granted(&mut self, e: usize) {
        if self.entries[e].frozen {
            return;
        }
        for ticket in std::mem::take(&mut self.entries[e].inbox) {
            let min_fencing_token =
                self.entries[e].min_fencing_tokens.get(&ticket.engine).copied().unwrap_or(0);
            if ticket.fencing_token < min_fencing_token {
                self.release(&ticket, TicketEnd::Unused);
                continue;
            }
            let engine = &mut self.engines[ticket.engine];
            if engine.resident.contains(&ticket.model) {
                engine.running.insert(ticket.key.clone(), ticket.model.clone());
                self.entries[e].running.push(ticket);
            } else {
                self.release(&ticket, TicketEnd::NotResident);
            }
        }
    }

    /// Releases a ticket at every reachable keeper of the engine.
    pub(super) fn release(&mut self, ticket: &OpenTicket, end: TicketEnd) {
        for k in 0..KEEPERS {
            if !self.keepers[k].alive || self.keepers[k].frozen {
                continue;
            }
            let now = self.now;
            if let Some(slots) = self.keepers[k].engine_slots.get_mut(&ticket.engine) {
                let effects = slots.release(now, &ticket.key, end);
                self.apply_effects(k, ticket.engine, effects);
            }
        }
    }

    pub(super) fn request_ticket(&mut self, e: usize, k: usize, variant: u8) {
        let can_send = self.entries[e].knows_claims && !self.entries[e].frozen;
        if !can_send || !self.keepers[k].alive || self.keepers[k].frozen {
            return;
        }
        let engine = usize::from(variant) % ENGINES;
        let number = (variant / 2) % MODELS;
        let entry = &mut self.entries[e];
        entry.requests += 1;
        let request_id = format!("{e}-{}-{}-{number}", entry.incarnation, entry.requests);
        let key = RequestKey {
            entry: name("entry", e),
            incarnation: entry.incarnation,
            request: FastStr::from_string(request_id),
            attempt: 1,
        };
        let request = TicketRequest {
            key,
            model: model(number),
            caller: "caller".into(),
            class: PriorityClass::Interactive,
            deadline: self.now.after_ms(60_000),
            fingerprint: Fingerprint(u64::from(variant)),
            suspect: variant.is_multiple_of(31),
            resident_copies: 1,
        };
        let (now, incarnation) = (self.now, self.entries[e].incarnation);
        let Some(slots) = self.keepers[k].engine_slots.get_mut(&engine) else {
            return;
        };
        if slots.has_registered(&name("entry", e), incarnation) {
            let effects = slots.acquire(now, request);
            self.apply_effects(k, engine, effects);
        }
    }

    pub(super) fn register(&mut self, k: usize, e: usize) {
        let is_reachable = self.keepers[k].alive && !self.keepers[k].frozen;
        if !is_reachable || self.entries[e].frozen || !self.entries[e].knows_claims {
            return;
        }
        let now = self.now;
        for engine in self.keepers[k].engine_slots.keys().copied().collect::<Vec<_>>() {
            let fencing_token = self.keepers[k].engine_slots[&engine].fencing_token();
            let entry = &mut self.entries[e];
            let min_fencing_token = entry.min_fencing_tokens.entry(engine).or_insert(0);
            *min_fencing_token = (*min_fencing_token).max(fencing_token);
            let of_engine = entry.running.iter().filter(|o| o.engine == engine);
            let registration = |o: &OpenTicket| {
                (o.key.clone(), o.model.clone(), FastStr::from("caller"), Fingerprint(1))
            };
            let open_tickets: Vec<_> = of_engine.map(registration).collect();
            let incarnation = entry.incarnation;
            let slots = &mut self.keepers[k].engine_slots[&engine];
            let effects = slots.register_entry(now, &name("entry", e), incarnation, open_tickets);
            self.apply_effects(k, engine, effects);
        }
    }

    pub(super) fn finish(&mut self, e: usize, subject: u8, variant: u8) {
        if self.entries[e].frozen || self.entries[e].running.is_empty() {
            return;
        }
        let index = usize::from(subject) % self.entries[e].running.len();
        let ticket = self.entries[e].running.remove(index);
        self.engines[ticket.engine].running.shift_remove(&ticket.key);
        if !variant.is_multiple_of(4) {
            self.release(&ticket, TicketEnd::Done);
        }
    }

    pub(super) fn freeze_entry(&mut self, e: usize, variant: u8) {
        self.entries[e].frozen = variant.is_multiple_of(2);
        self.start_granted(e);
    }

    pub(super) fn kill_entry(&mut self, e: usize) {
        for ticket in std::mem::take(&mut self.entries[e].running) {
            // Its connection closes, and the engine stops the request.
            self.engines[ticket.engine].running.shift_remove(&ticket.key);
        }
        let incarnation = self.entries[e].incarnation + 1;
        self.entries[e] = Entry { incarnation, ..Entry::default() };
        self.learn_claims(e);
    }

    /// A new entry learns the current claims: from the log, or from all listed keepers.
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
            let log_fencing_token =
                claims.get(&resource(engine)).map_or(0, |owner| owner.fencing_token);
            let slots = self.keepers.iter().filter_map(|k| k.engine_slots.get(&engine));
            let keeper_fencing_token = slots.map(EngineSlots::fencing_token).max().unwrap_or(0);
            let fencing_token = if self.log_up { log_fencing_token } else { keeper_fencing_token };
            entry.min_fencing_tokens.insert(engine, fencing_token);
        }
    }
}
