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
const WHOLE_EVERY: u32 = 40;

/// An engine of this host as it is now.
#[derive(Clone, Debug)]
pub(crate) struct EngineNow {
    pub(crate) engine: FastStr,
    pub(crate) able: bool,
    pub(crate) running: u32,
    pub(crate) held: Arc<IndexMap<FastStr, u64>>,
}

#[derive(Debug)]
struct Told {
    link: Arc<Link>,
    held: IndexMap<FastStr, Arc<IndexMap<FastStr, u64>>>,
    beats: u32,
}

/// What each host was told.
#[derive(Debug, Default)]
pub(crate) struct HeldTold {
    by_host: IndexMap<FastStr, Told>,
}

impl HeldTold {
    /// What `host` is to be told of `engines` over `link`.
    pub(crate) fn changes(
        &mut self,
        host: &FastStr,
        link: &Arc<Link>,
        engines: &[EngineNow],
    ) -> Vec<EngineStateMsg> {
        let new = || Told { link: link.clone(), held: IndexMap::new(), beats: 0 };
        let told = self.by_host.entry(host.clone()).or_insert_with(new);
        if !Arc::ptr_eq(&told.link, link) || told.beats >= WHOLE_EVERY {
            *told = new();
        }
        told.beats += 1;
        told.held.retain(|engine, _| engines.iter().any(|now| now.engine == *engine));
        let message = |now: &EngineNow| {
            let before = told.held.insert(now.engine.clone(), now.held.clone());
            change(now, before.as_deref())
        };
        engines.iter().map(message).collect()
    }

    /// Notes that `host` may not have got what it was told last.
    pub(crate) fn lost(&mut self, host: &str) {
        self.by_host.swap_remove(host);
    }
}

fn change(now: &EngineNow, before: Option<&IndexMap<FastStr, u64>>) -> EngineStateMsg {
    let known = |name: &FastStr| before.and_then(|before| before.get(name));
    let new = now.held.iter().filter(|(name, version)| known(name) != Some(*version));
    let held =
        new.map(|(name, version)| AdapterVersionMsg { name: name.to_string(), version: *version });
    let gone = before.into_iter().flat_map(IndexMap::keys).filter(|n| !now.held.contains_key(*n));
    EngineStateMsg {
        engine: now.engine.to_string(),
        can_load: now.able,
        running: now.running,
        held_adapters: held.collect(),
        removed_adapters: gone.map(ToString::to_string).collect(),
        is_complete: before.is_none(),
    }
}
