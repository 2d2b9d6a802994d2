//! Engines of the world: orders on their way, answers, restarts.

use super::*;

impl World {
    pub(super) fn send_order(&mut self, k: usize, what: u8) {
        if !self.keepers[k].alive || self.keepers[k].frozen || self.keepers[k].orders.is_empty() {
            return;
        }
        let index = usize::from(what) % self.keepers[k].orders.len();
        let (engine, order) = self.keepers[k].orders.remove(index);
        let fence = self.keepers[k].ownership.order_fence(self.now, &resource(engine));
        if fence != Some(order.fence) || self.now >= order.deadline {
            self.handle_answer(k, &Answer { engine, order, result: LoadResult::Failed });
            return;
        }
        let incarnation = self.keepers[k].incarnation;
        self.orders_in_flight.push(InFlightOrder { keeper: k, incarnation, engine, order });
        // an engine that ignores fencing numbers must not get an order late: the documented hole
        if !self.engines[engine].checks_fence {
            let last = u8::try_from(self.orders_in_flight.len() - 1).unwrap_or(u8::MAX);
            if self.orders_in_flight.last().is_some_and(|f| f.order.kind == OrderKind::Unload) {
                self.execute_order(last, 1);
            }
        }
    }

    pub(super) fn execute_order(&mut self, what: u8, how: u8) {
        if self.orders_in_flight.is_empty() {
            return;
        }
        let index = usize::from(what) % self.orders_in_flight.len();
        let flight = self.orders_in_flight.remove(index);
        let engine = &mut self.engines[flight.engine];
        let order = &flight.order;
        if order.fence < engine.fence && engine.checks_fence {
            self.deliver_answer(flight, LoadResult::Fenced);
            return;
        }
        engine.fence = engine.fence.max(order.fence);
        let done = match order.kind {
            OrderKind::Load => {
                let room = engine.resident.len() < 2 && !how.is_multiple_of(7);
                room && engine.resident.insert(order.model.clone())
            }
            OrderKind::Unload => {
                if engine.running.values().any(|m| *m == order.model) {
                    self.violation = Some(format!("unloaded {} while it serves", order.model));
                }
                engine.resident.shift_remove(&order.model);
                true
            }
        };
        let result = if done { LoadResult::Done } else { LoadResult::Failed };
        self.deliver_answer(flight, if how.is_multiple_of(5) { LoadResult::Lost } else { result });
    }

    pub(super) fn deliver_answer(&mut self, flight: InFlightOrder, result: LoadResult) {
        let keeper = &mut self.keepers[flight.keeper];
        if keeper.alive && keeper.incarnation == flight.incarnation {
            let (engine, order) = (flight.engine, flight.order);
            keeper.answers.push(Answer { engine, order, result });
        }
    }

    pub(super) fn handle_answer(&mut self, k: usize, answer: &Answer) {
        let now = self.now;
        let Some(slots) = self.keepers[k].engine_slots.get_mut(&answer.engine) else {
            return;
        };
        if slots.fence() != answer.order.fence {
            return;
        }
        let effects = match answer.order.kind {
            OrderKind::Load => slots.finish_load(now, &answer.order.model, answer.result),
            OrderKind::Unload => slots.finish_unload(now, &answer.order.model, answer.result),
        };
        self.apply_effects(k, answer.engine, effects);
    }

    pub(super) fn restart_engine(&mut self, g: usize, how: u8) {
        if !how.is_multiple_of(3) {
            return;
        }
        let engine = &mut self.engines[g];
        engine.epoch += 1;
        engine.fence = 0;
        engine.resident.clear();
        engine.running.clear();
        let cut: Vec<InFlightOrder> =
            self.orders_in_flight.extract_if(.., |f| f.engine == g).collect();
        for flight in cut {
            self.deliver_answer(flight, LoadResult::Lost);
        }
        for e in 0..ENTRIES {
            let broken: Vec<OpenTicket> =
                self.entries[e].running.extract_if(.., |o| o.engine == g).collect();
            for open in broken {
                self.release(&open, TicketEnd::Broken);
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
