//! First and repeated sends of another host, as it tells its contacts.
//!
//! A host that restarts gets them back from the others, and so knows what its earlier process has
//! used up of the retry budget.

use {
    crate::state::Edge,
    egret_core::{EarlierSends, SendTotals, Time},
    egret_runtime::{EarlierSendsMsg, SendTotalsMsg, now},
    faststr::FastStr,
    indexmap::IndexMap,
    std::collections::VecDeque,
};

/// Sends of one process to one service within this time are kept together.
const SLOT_MS: u64 = 500;

/// Time for which sends are kept. It is longer than any window of a retry budget.
const RETENTION_MS: u64 = 20_000;

#[derive(Clone, Debug)]
struct Slot {
    at: Time,
    incarnation: u64,
    service: FastStr,
    sends: SendTotals,
}

/// Sends of a host in the last seconds, by all its processes.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendHistory {
    // the process of the last message, and its totals by service
    incarnation: u64,
    totals: IndexMap<FastStr, SendTotals>,
    slots: VecDeque<Slot>,
}

impl SendHistory {
    /// Applies the totals of a message.
    pub(crate) fn record(&mut self, incarnation: u64, totals: Vec<SendTotalsMsg>) {
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.totals.clear();
        }
        let now = now();
        while self.slots.front().is_some_and(|slot| now >= slot.at.after_ms(RETENTION_MS)) {
            self.slots.pop_front();
        }
        for message in totals {
            let service = FastStr::from_string(message.service);
            let total = SendTotals { first_sends: message.first_sends, repeats: message.repeats };
            let before = self.totals.insert(service.clone(), total).unwrap_or_default();
            let sends = SendTotals {
                first_sends: total.first_sends.saturating_sub(before.first_sends),
                repeats: total.repeats.saturating_sub(before.repeats),
            };
            if sends == SendTotals::default() {
                continue;
            }
            let is_same = |slot: &&mut Slot| {
                now < slot.at.after_ms(SLOT_MS)
                    && slot.incarnation == incarnation
                    && slot.service == service
            };
            if let Some(slot) = self.slots.iter_mut().rev().find(is_same) {
                slot.sends.first_sends += sends.first_sends;
                slot.sends.repeats += sends.repeats;
            } else {
                self.slots.push_back(Slot { at: now, incarnation, service, sends });
            }
        }
    }

    /// The sends, for the host itself.
    pub(crate) fn messages(&self) -> Vec<EarlierSendsMsg> {
        let message = |slot: &Slot| EarlierSendsMsg {
            incarnation: slot.incarnation,
            service: slot.service.to_string(),
            age_ms: now().ms_since(slot.at),
            first_sends: slot.sends.first_sends,
            repeats: slot.sends.repeats,
        };
        self.slots.iter().map(message).collect()
    }
}

/// Totals of this host, for its contacts.
pub(super) fn own_totals(edge: &Edge) -> Vec<SendTotalsMsg> {
    let windows = edge.retry_windows.lock();
    let message = |(service, sends): (&FastStr, SendTotals)| SendTotalsMsg {
        service: service.to_string(),
        first_sends: sends.first_sends,
        repeats: sends.repeats,
    };
    windows.iter().map(|(service, window)| message((service, window.totals()))).collect()
}

/// Goes on from the sends of earlier processes of this host, which the host `from` has reported.
pub(super) fn resume(edge: &Edge, from: &str, messages: Vec<EarlierSendsMsg>) {
    let mut by_service: IndexMap<FastStr, Vec<EarlierSends>> = IndexMap::new();
    let now_ms = now().as_millis();
    for message in messages.into_iter().filter(|m| m.incarnation != edge.incarnation) {
        let sends = EarlierSends {
            at: Time::from_millis(now_ms.saturating_sub(message.age_ms)),
            first_sends: message.first_sends,
            repeats: message.repeats,
        };
        by_service.entry(FastStr::from_string(message.service)).or_default().push(sends);
    }
    edge.resume_retry_windows(from, by_service);
}
