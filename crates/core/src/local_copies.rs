//! Engines that keep copies of adapters they held before.

use {
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

/// Adapters recorded per engine, as many as an engine keeps copies of.
const COPIES_PER_ENGINE_MAX: usize = 140;

/// The adapters that each engine has held recently. An engine loads such an adapter from its own
/// copy, in a tenth of the time and without the weight store.
#[derive(Clone, Debug, Default)]
pub struct LocalCopies {
    by_engine: IndexMap<FastStr, IndexSet<FastStr>>,
}

impl LocalCopies {
    /// Records that `engine` holds `adapters` now.
    pub fn record_resident<'a>(
        &mut self,
        engine: &FastStr,
        adapters: impl Iterator<Item = &'a FastStr>,
    ) {
        let copies = self.by_engine.entry(engine.clone()).or_default();
        for adapter in adapters {
            // the newest come last; adapters at the end already need not move
            if !copies.contains(adapter) {
                copies.insert(adapter.clone());
            }
        }
        while copies.len() > COPIES_PER_ENGINE_MAX {
            copies.shift_remove_index(0);
        }
    }

    /// True when `engine` has held `adapter` recently.
    #[must_use]
    pub fn has_copy(&self, engine: &str, adapter: &str) -> bool {
        self.by_engine.get(engine).is_some_and(|adapters| adapters.contains(adapter))
    }

    /// Removes the engines for which `known` is false.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.by_engine.retain(|engine, _| known(engine));
    }
}
