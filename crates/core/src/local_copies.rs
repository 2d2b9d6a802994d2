//! Where adapters were held before.

use {
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

/// Adapters remembered for one engine, as many as it keeps copies of.
const COPIES_PER_ENGINE_MAX: usize = 140;

/// Engines that have held an adapter lately. One that did loads it again from a copy of its own,
/// in a tenth of the time and without the weight store.
#[derive(Clone, Debug, Default)]
pub struct LocalCopies {
    by_engine: IndexMap<FastStr, IndexSet<FastStr>>,
}

impl LocalCopies {
    /// Notes that `engine` holds `adapters` now.
    pub fn record_resident<'a>(
        &mut self,
        engine: &FastStr,
        adapters: impl Iterator<Item = &'a FastStr>,
    ) {
        let remembered = self.by_engine.entry(engine.clone()).or_default();
        for adapter in adapters {
            // the newest stand last; those that stand at the end already need not move
            if !remembered.contains(adapter) {
                remembered.insert(adapter.clone());
            }
        }
        while remembered.len() > COPIES_PER_ENGINE_MAX {
            remembered.shift_remove_index(0);
        }
    }

    /// True when `engine` held `adapter` lately.
    #[must_use]
    pub fn has_copy(&self, engine: &str, adapter: &str) -> bool {
        self.by_engine.get(engine).is_some_and(|adapters| adapters.contains(adapter))
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.by_engine.retain(|engine, _| known(engine));
    }
}
