//! Deltas of the adapters loaded on this host's engines, for heartbeats to other hosts.
//!
//! Adapter lists change often but little, and full lists would be most of the traffic between
//! hosts. Each link carries the full lists once and then only additions and removals. Frames of a
//! link arrive in order or not at all.

use {
    egret_runtime::{AdapterVersionMsg, EngineStateMsg, Link},
    faststr::FastStr,
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Heartbeats after which full lists are sent again, in case a receiver has lost one.
const FULL_LIST_EVERY_HEARTBEATS: u32 = 40;

/// Current state of an engine that this host owns.
#[derive(Clone, Debug)]
pub(crate) struct EngineState {
    pub(crate) engine: FastStr,
    pub(crate) can_load: bool,
    pub(crate) running: u32,
    pub(crate) adapters: Arc<IndexMap<FastStr, u64>>,
}

#[derive(Debug)]
struct SentState {
    link: Arc<Link>,
    adapters: IndexMap<FastStr, Arc<IndexMap<FastStr, u64>>>,
    heartbeats: u32,
}

/// The adapter lists last sent to each host.
#[derive(Debug, Default)]
pub(crate) struct AdapterDeltas {
    by_host: IndexMap<FastStr, SentState>,
}

impl AdapterDeltas {
    /// Returns the changes of `engines` to send to `host` over `link`, and records them as sent.
    pub(crate) fn changes_for(
        &mut self,
        host: &FastStr,
        link: &Arc<Link>,
        engines: &[EngineState],
    ) -> Vec<EngineStateMsg> {
        let empty = || SentState { link: link.clone(), adapters: IndexMap::new(), heartbeats: 0 };
        let sent = self.by_host.entry(host.clone()).or_insert_with(empty);
        if !Arc::ptr_eq(&sent.link, link) || sent.heartbeats >= FULL_LIST_EVERY_HEARTBEATS {
            *sent = empty();
        }
        sent.heartbeats += 1;
        sent.adapters.retain(|engine, _| engines.iter().any(|state| state.engine == *engine));
        let delta = |state: &EngineState| {
            let previous = sent.adapters.insert(state.engine.clone(), state.adapters.clone());
            engine_delta(state, previous.as_deref())
        };
        engines.iter().map(delta).collect()
    }

    /// Forgets what was sent to `host`, after a heartbeat that may not have arrived.
    pub(crate) fn forget(&mut self, host: &str) {
        self.by_host.swap_remove(host);
    }
}

fn engine_delta(state: &EngineState, sent: Option<&IndexMap<FastStr, u64>>) -> EngineStateMsg {
    let sent_version = |name: &FastStr| sent.and_then(|sent| sent.get(name));
    let added =
        state.adapters.iter().filter(|(name, version)| sent_version(name) != Some(*version));
    let resident = added
        .map(|(name, version)| AdapterVersionMsg { name: name.to_string(), version: *version });
    let removed =
        sent.into_iter().flat_map(IndexMap::keys).filter(|n| !state.adapters.contains_key(*n));
    EngineStateMsg {
        engine: state.engine.to_string(),
        can_load: state.can_load,
        running: state.running,
        resident_adapters: resident.collect(),
        removed_adapters: removed.map(ToString::to_string).collect(),
        is_complete: sent.is_none(),
    }
}
