//! Fault injection into a deployment in virtual time.

use {
    super::deployment::{Deployment, TIME_STEP_MS},
    crate::cli::Fault,
    egret_core::{Reason, TicketEnd},
    indexmap::IndexSet,
};

/// Factor on the duration of a load from a slow store.
const SLOW_STORE_FACTOR: u64 = 5;

/// Time until another keeper takes over an engine.
const TAKEOVER_MS: u64 = 5500;

impl Deployment {
    /// Injects the fault half-way through the run.
    pub(super) fn inject_fault(&mut self) {
        let halfway_ms = self.end.as_millis() / 2;
        if self.now.as_millis() != halfway_ms - halfway_ms % TIME_STEP_MS {
            return;
        }
        let count = self.nodes.len();
        match self.fault {
            Fault::None | Fault::Reversal | Fault::StoreSlow => {}
            Fault::EngineRestart => self.crash(0, false),
            Fault::EngineLost => self.crash(0, true),
            Fault::DataCentreLost => {
                (0..count).step_by(3).for_each(|number| self.crash(number, true));
            }
            Fault::KeepersLost => {
                (0..count).step_by(2).for_each(|number| self.lose_keeper(number));
            }
        }
    }

    fn crash(&mut self, number: usize, is_permanent: bool) {
        let node = &mut self.nodes[number];
        node.lost = is_permanent;
        node.epoch += 1;
        let aborted = node.engine.crash();
        let (now, epoch) = (self.now, node.epoch);
        // the slots detect the restart by a change of the epoch, so they need the old one first
        node.slots.sync_resident(
            now,
            now.after_ms(1),
            epoch - 1,
            &node.slots.resident().cloned().collect(),
        );
        let (_, effects) = node.slots.sync_resident(now, now.after_ms(1), epoch, &IndexSet::new());
        self.apply_effects(number, effects);
        self.orders.retain(|(_, n, _)| *n != number);
        for key in aborted {
            let slots = &mut self.nodes[number].slots;
            slots.release(now, &key, TicketEnd::Unused);
            self.outcome.broken += 1;
            // the entry retries the request
            if let Some((arrival, entry)) = self.requests.get(&key.request).copied() {
                self.views[entry].set_leaving(&self.nodes[number].name.clone(), true);
                self.send_request(&key.request, arrival, entry, key.attempt + 1);
            }
        }
    }

    /// Another keeper takes over the engine: it knows the resident adapters but not the demand.
    fn lose_keeper(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.can_load_at = self.now.after_ms(TAKEOVER_MS);
        let effects = node.slots.refuse_all(Reason::NoTarget, 0);
        self.apply_effects(number, effects);
    }

    pub(super) fn load_time_factor(&self) -> u64 {
        let (now, end) = (self.now.as_millis(), self.end.as_millis());
        let third_quarter = now >= end / 2 && now < end / 4 * 3;
        if self.fault == Fault::StoreSlow && third_quarter { SLOW_STORE_FACTOR } else { 1 }
    }
}
