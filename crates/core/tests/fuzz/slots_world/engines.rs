//! Engines of the world: orders in flight, answers, restarts.

use super::*;

impl World {
    pub(super) fn send_order(&mut self, k: usize, subject: u8) {
        if !self.keepers[k].alive || self.keepers[k].frozen || self.keepers[k].orders.is_empty() {
            return;
        }
        let index = usize::from(subject) % self.keepers[k].orders.len();
        let (engine, order) = self.keepers[k].orders.remove(index);
        let fencing_token =
            self.keepers[k].ownership.order_fencing_token(self.now, &resource(engine));
        if fencing_token != Some(order.fencing_token) || self.now >= order.deadline {
            self.handle_answer(k, &Answer { engine, order, result: LoadResult::Failed });
            return;
        }
        let incarnation = self.keepers[k].incarnation;
        self.orders_in_flight.push(InFlightOrder { keeper: k, incarnation, engine, order });
        // Known gap: an engine that ignores fencing tokens carries out a late order, so an unload
        // is carried out at once here.
        if !self.engines[engine].checks_fence {
            let last = u8::try_from(self.orders_in_flight.len() - 1).unwrap_or(u8::MAX);
            if self.orders_in_flight.last().is_some_and(|f| f.order.kind == OrderKind::Unload) {
                self.execute_order(last, 1);
            }
        }
    }

    pub(super) fn execute_order(&mut self, subject: u8, variant: u8) {
        if self.orders_in_flight.is_empty() {
            return;
        }
        let index = usize::from(subject) % self.orders_in_flight.len();
        let in_flight = self.orders_in_flight.remove(index);
        let engine = &mut self.engines[in_flight.engine];
        let order = &in_flight.order;
        if order.fencing_token < engine.fencing_token && engine.checks_fence {
            self.deliver_answer(in_flight, LoadResult::Fenced);
            return;
        }
        engine.fencing_token = engine.fencing_token.max(order.fencing_token);
        let done = match order.kind {
            OrderKind::Load => {
                let has_free_slot = engine.resident.len() < 2 && !variant.is_multiple_of(7);
                has_free_slot && engine.resident.insert(order.model.clone())
            }
            OrderKind::Unload => {
                if engine.running.values().any(|m| *m == order.model) {
                    self.violation =
                        Some(format!("unloaded {} while a request runs on it", order.model));
                }
                engine.resident.shift_remove(&order.model);
                true
            }
        };
        let result = if done { LoadResult::Done } else { LoadResult::Failed };
        self.deliver_answer(
            in_flight,
            if variant.is_multiple_of(5) { LoadResult::Lost } else { result },
        );
    }

    pub(super) fn deliver_answer(&mut self, in_flight: InFlightOrder, result: LoadResult) {
        let keeper = &mut self.keepers[in_flight.keeper];
        if keeper.alive && keeper.incarnation == in_flight.incarnation {
            let (engine, order) = (in_flight.engine, in_flight.order);
            keeper.answers.push(Answer { engine, order, result });
        }
    }

    pub(super) fn handle_answer(&mut self, k: usize, answer: &Answer) {
        let now = self.now;
        let Some(slots) = self.keepers[k].engine_slots.get_mut(&answer.engine) else {
            return;
        };
        if slots.fencing_token() != answer.order.fencing_token {
            return;
        }
        let effects = match answer.order.kind {
            OrderKind::Load => slots.finish_load(now, &answer.order.model, answer.result),
            OrderKind::Unload => slots.finish_unload(now, &answer.order.model, answer.result),
        };
        self.apply_effects(k, answer.engine, effects);
    }

    pub(super) fn restart_engine(&mut self, index: usize, variant: u8) {
        if !variant.is_multiple_of(3) {
            return;
        }
        let engine = &mut self.engines[index];
        engine.epoch += 1;
        engine.fencing_token = 0;
        engine.resident.clear();
        engine.running.clear();
        let lost_orders: Vec<InFlightOrder> =
            self.orders_in_flight.extract_if(.., |f| f.engine == index).collect();
        for in_flight in lost_orders {
            self.deliver_answer(in_flight, LoadResult::Lost);
        }
        for e in 0..ENTRIES {
            let broken_tickets: Vec<OpenTicket> =
                self.entries[e].running.extract_if(.., |o| o.engine == index).collect();
            for ticket in broken_tickets {
                self.release(&ticket, TicketEnd::Broken);
            }
        }
    }

    pub(super) fn probe(&mut self, k: usize, engine: usize) {
        if !self.keepers[k].alive || self.keepers[k].frozen {
            return;
        }
        let (now, epoch) = (self.now, self.engines[engine].epoch);
        let resident = self.engines[engine].resident.clone();
        let Some(slots) = self.keepers[k].engine_slots.get_mut(&engine) else {
            return;
        };
        let (_, effects) = slots.sync_resident(now, now, epoch, &resident);
        self.apply_effects(k, engine, effects);
    }
}
