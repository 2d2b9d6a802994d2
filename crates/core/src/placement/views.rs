//! An entry's view of the engines.

use {
    crate::ModelName,
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

/// An engine as its keeper last reported it. The report may be outdated, so it guides the choice of
/// an engine and the keeper decides.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineView {
    /// Base model it runs.
    pub base: FastStr,
    /// Its data centre.
    pub data_centre: FastStr,
    /// Host of the keeper that owns it.
    pub keeper: FastStr,
    /// Fencing token of that keeper's claim.
    pub fencing_token: u64,
    /// Sequences it runs at once.
    pub batch: u32,
    /// Requests that run on it.
    pub running: u32,
    /// Requests that wait for it.
    pub queued: u32,
    /// Typical time a request runs, in milliseconds.
    pub service_ms: u64,
    /// Typical time from the request for an adapter until it is resident, in milliseconds.
    pub load_ms: u64,
    /// False while its keeper may not order loads.
    pub can_load: bool,
    /// True when it must get no new work.
    pub leaving: bool,
    /// Adapters resident or being loaded.
    pub resident: IndexSet<ModelName>,
}

impl EngineView {
    /// Time until a new request would start to run, in milliseconds, if its adapter is resident.
    #[must_use]
    pub fn queue_ms(&self) -> u64 {
        let ahead = u64::from(self.running + self.queued);
        let batch = u64::from(self.batch.max(1));
        let excess = (ahead + 1).saturating_sub(batch);
        excess * self.service_ms / batch
    }
}

/// All engines by host name, with an index by adapter.
#[derive(Clone, Debug, Default)]
pub struct EngineViews {
    engines: IndexMap<FastStr, EngineView>,
    engines_by_model: IndexMap<ModelName, Vec<FastStr>>,
}

impl EngineViews {
    /// The engine named `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&EngineView> {
        self.engines.get(name)
    }

    /// The engine named `name`, with its name.
    pub(super) fn get_pair(&self, name: &str) -> Option<(&FastStr, &EngineView)> {
        self.engines.get_key_value(name)
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = (&FastStr, &EngineView)> {
        self.engines.iter()
    }

    /// Engines on which `model` is resident or being loaded.
    #[must_use]
    pub fn engines_with(&self, model: &ModelName) -> &[FastStr] {
        self.engines_by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Replaces the view of an engine. A report under an older fencing token is ignored.
    pub fn update(&mut self, name: &FastStr, view: EngineView) {
        let old = self.engines.get(name);
        if old.is_some_and(|old| old.fencing_token > view.fencing_token) {
            return;
        }
        let old_models = old.map(|o| o.resident.clone()).unwrap_or_default();
        for model in old_models.difference(&view.resident) {
            self.unlink(model, name);
        }
        for model in view.resident.difference(&old_models) {
            self.engines_by_model.entry(model.clone()).or_default().push(name.clone());
        }
        self.engines.insert(name.clone(), view);
    }

    /// Counts a request that this process has just sent to an engine, so that its next choices do
    /// not wait for the keeper's report.
    pub fn record_sent(&mut self, name: &str, model: &ModelName) {
        let Some(view) = self.engines.get_mut(name) else {
            return;
        };
        view.queued += 1;
        if view.resident.insert(model.clone()) {
            let engine = FastStr::new(name);
            self.engines_by_model.entry(model.clone()).or_default().push(engine);
        }
    }

    /// Records that `model` was not resident on an engine.
    pub fn record_missing(&mut self, name: &str, model: &ModelName) {
        if let Some(view) = self.engines.get_mut(name) {
            view.resident.swap_remove(model);
        }
        self.unlink(model, name);
    }

    /// Sets whether an engine must get no new work.
    pub fn set_leaving(&mut self, name: &str, leaving: bool) {
        if let Some(view) = self.engines.get_mut(name) {
            view.leaving = leaving;
        }
    }

    /// Removes an engine.
    pub fn remove(&mut self, name: &str) {
        if let Some(view) = self.engines.shift_remove(name) {
            for model in &view.resident {
                self.unlink(model, name);
            }
        }
    }

    /// Removes engines that are not in `names`.
    pub fn retain(&mut self, names: &IndexSet<FastStr>) {
        let (kept, removed) = std::mem::take(&mut self.engines)
            .into_iter()
            .partition::<IndexMap<_, _>, _>(|(name, _)| names.contains(name));
        self.engines = kept;
        for (name, view) in removed {
            for model in &view.resident {
                self.unlink(model, &name);
            }
        }
    }

    fn unlink(&mut self, model: &ModelName, name: &str) {
        let Some(names) = self.engines_by_model.get_mut(model) else {
            return;
        };
        names.retain(|n| n != name);
        if names.is_empty() {
            self.engines_by_model.swap_remove(model);
        }
    }
}
