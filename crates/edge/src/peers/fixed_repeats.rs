//! Fixed repeats that hosts have used up of the retry budget, as they tell their contacts.
//!
//! A host that restarts gets them back from a contact, and so need not wait for a window.

use {
    crate::state::Edge,
    egret_core::Time,
    egret_runtime::{FixedRepeatsMsg, ServiceRepeatsMsg, now},
    faststr::FastStr,
    indexmap::IndexMap,
};

/// Fixed repeats of a host, by service.
#[derive(Clone, Debug)]
pub(crate) struct FixedRepeats {
    /// The process that has reported them, which includes those of earlier ones.
    pub(crate) incarnation: u64,
    /// Times at which they were sent.
    pub(crate) by_service: IndexMap<FastStr, Vec<Time>>,
}

impl FixedRepeats {
    /// The repeats for another host.
    pub(super) fn message(&self) -> FixedRepeatsMsg {
        let services = self.by_service.iter().map(|(service, sent_at)| ServiceRepeatsMsg {
            service: service.to_string(),
            ages_ms: sent_at.iter().map(|at| now().ms_since(*at)).collect(),
        });
        FixedRepeatsMsg { incarnation: self.incarnation, services: services.collect() }
    }

    /// Reads the repeats from a message.
    pub(super) fn from_message(message: FixedRepeatsMsg) -> Self {
        let now_ms = now().as_millis();
        let sent_at = |ages_ms: Vec<u64>| {
            ages_ms.into_iter().map(|age| Time::from_millis(now_ms.saturating_sub(age))).collect()
        };
        let services = message.services.into_iter();
        let by_service =
            services.map(|s| (FastStr::from_string(s.service), sent_at(s.ages_ms))).collect();
        Self { incarnation: message.incarnation, by_service }
    }
}

/// Applies what a contact has sent: its own repeats, and those of earlier processes of this host.
pub(super) fn receive(
    edge: &Edge,
    sender: &FastStr,
    own: Option<FixedRepeatsMsg>,
    receiver: Option<FixedRepeatsMsg>,
) {
    if let Some(message) = own {
        edge.peers.lock().record_fixed_repeats(sender, FixedRepeats::from_message(message));
    }
    if let Some(message) = receiver.filter(|message| message.incarnation != edge.incarnation) {
        edge.resume_fixed_repeats(sender, &FixedRepeats::from_message(message));
    }
}
