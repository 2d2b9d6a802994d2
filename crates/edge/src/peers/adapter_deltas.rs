//! What the engines of this host hold, told to the others as changes.
//!
//! Which adapters are where changes a little all the time, and whole lists would be most of what
//! hosts say to each other. Each link carries whole lists once and then what is new and what is
//! gone; frames of a link arrive in order or not at all.

use {
    egret_runtime::{AdapterVersionMsg, EngineStateMsg, Link},
    faststr::FastStr,
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Heartbeats after which lists are told whole again, in case a receiver has lost one.
const FULL_LIST_EVERY_HEARTBEATS: u32 = 40;

/// An engine of this host as it is now.
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

/// What each host was told.
#[derive(Debug, Default)]
pub(crate) struct AdapterDeltas {
    by_host: IndexMap<FastStr, SentState>,
}

impl AdapterDeltas {
    /// What `host` is to be told of `engines` over `link`.
    pub(crate) fn changes_for(
        &mut self,
        host: &FastStr,
        link: &Arc<Link>,
        engines: &[EngineState],
    ) -> Vec<EngineStateMsg> {
        let new = || SentState { link: link.clone(), adapters: IndexMap::new(), heartbeats: 0 };
        let told = self.by_host.entry(host.clone()).or_insert_with(new);
        if !Arc::ptr_eq(&told.link, link) || told.heartbeats >= FULL_LIST_EVERY_HEARTBEATS {
            *told = new();
        }
        told.heartbeats += 1;
        told.adapters.retain(|engine, _| engines.iter().any(|now| now.engine == *engine));
        let message = |now: &EngineState| {
            let before = told.adapters.insert(now.engine.clone(), now.adapters.clone());
            engine_delta(now, before.as_deref())
        };
        engines.iter().map(message).collect()
    }

    /// Notes that `host` may not have got what it was told last.
    pub(crate) fn forget(&mut self, host: &str) {
        self.by_host.swap_remove(host);
    }
}

fn engine_delta(now: &EngineState, before: Option<&IndexMap<FastStr, u64>>) -> EngineStateMsg {
    let known = |name: &FastStr| before.and_then(|before| before.get(name));
    let new = now.adapters.iter().filter(|(name, version)| known(name) != Some(*version));
    let held =
        new.map(|(name, version)| AdapterVersionMsg { name: name.to_string(), version: *version });
    let gone =
        before.into_iter().flat_map(IndexMap::keys).filter(|n| !now.adapters.contains_key(*n));
    EngineStateMsg {
        engine: now.engine.to_string(),
        can_load: now.can_load,
        running: now.running,
        held_adapters: held.collect(),
        removed_adapters: gone.map(ToString::to_string).collect(),
        is_complete: before.is_none(),
    }
}
