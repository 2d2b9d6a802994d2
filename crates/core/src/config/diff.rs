//! The difference between two manifests, as appended to the log.

use {
    super::manifest::{
        Adapter, BaseModel, EngineSpec, HostsOutOfService, Manifest, ServiceSpec, WeightStoreSpec,
    },
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// One step from a manifest to the next. A change of one adapter costs one record on the log,
/// regardless of the number of adapters.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum ManifestOp {
    /// Sets the weight store's limits.
    SetWeightStore {
        /// The new limits.
        store: WeightStoreSpec,
    },
    /// Adds a base model.
    PutBaseModel {
        /// Its name.
        name: FastStr,
        /// Its settings.
        base: BaseModel,
    },
    /// Removes a base model.
    RemoveBaseModel {
        /// Its name.
        name: FastStr,
    },
    /// Adds or replaces an adapter.
    PutAdapter {
        /// Its key, `base/adapter`.
        name: FastStr,
        /// Its versions.
        adapter: Adapter,
    },
    /// Removes an adapter.
    RemoveAdapter {
        /// Its key, `base/adapter`.
        name: FastStr,
    },
    /// Adds or replaces an engine.
    PutEngine {
        /// Its host name.
        name: FastStr,
        /// Its settings.
        engine: EngineSpec,
    },
    /// Removes an engine.
    RemoveEngine {
        /// Its host name.
        name: FastStr,
    },
    /// Adds or replaces a plain service.
    PutService {
        /// Its name.
        name: FastStr,
        /// Its targets.
        service: ServiceSpec,
    },
    /// Removes a plain service.
    RemoveService {
        /// Its name.
        name: FastStr,
    },
    /// Sets the hosts to retire or stop.
    SetHosts {
        /// The hosts.
        hosts: HostsOutOfService,
    },
}

impl ManifestOp {
    /// Applies this step to `manifest`.
    pub(crate) fn apply(&self, manifest: &mut Manifest) {
        match self {
            Self::SetWeightStore { store } => manifest.weight_store = store.clone(),
            Self::PutBaseModel { name, base } => put(&mut manifest.base_models, name, base),
            Self::RemoveBaseModel { name } => remove(&mut manifest.base_models, name),
            Self::PutAdapter { name, adapter } => put(&mut manifest.adapters, name, adapter),
            Self::RemoveAdapter { name } => remove(&mut manifest.adapters, name),
            Self::PutEngine { name, engine } => put(&mut manifest.engines, name, engine),
            Self::RemoveEngine { name } => remove(&mut manifest.engines, name),
            Self::PutService { name, service } => put(&mut manifest.services, name, service),
            Self::RemoveService { name } => remove(&mut manifest.services, name),
            Self::SetHosts { hosts } => manifest.hosts = hosts.clone(),
        }
    }
}

impl fmt::Display for ManifestOp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SetWeightStore { .. } => f.write_str("set weight_store"),
            Self::PutBaseModel { name, .. } => write!(f, "put base model {name}"),
            Self::RemoveBaseModel { name } => write!(f, "remove base model {name}"),
            Self::PutAdapter { name, adapter } => {
                write!(f, "put adapter {name} versions {:?}", adapter.versions)
            }
            Self::RemoveAdapter { name } => write!(f, "remove adapter {name}"),
            Self::PutEngine { name, .. } => write!(f, "put engine {name}"),
            Self::RemoveEngine { name } => write!(f, "remove engine {name}"),
            Self::PutService { name, .. } => write!(f, "put service {name}"),
            Self::RemoveService { name } => write!(f, "remove service {name}"),
            Self::SetHosts { hosts } => {
                write!(f, "set hosts retire {:?} stop {:?}", hosts.retire, hosts.stop)
            }
        }
    }
}

fn put<V: Clone>(map: &mut IndexMap<FastStr, V>, name: &FastStr, value: &V) {
    map.insert(name.clone(), value.clone());
}

fn remove<V>(map: &mut IndexMap<FastStr, V>, name: &FastStr) {
    map.shift_remove(name);
}

/// Returns the steps that lead from `old` to `new`. Removals come before additions. Items that
/// refer to others are removed before them and added after them, so that each reference stays
/// valid.
#[must_use]
pub fn diff(old: &Manifest, new: &Manifest) -> Vec<ManifestOp> {
    let mut ops = Vec::new();
    if old.weight_store != new.weight_store {
        let store = new.weight_store.clone();
        ops.push(ManifestOp::SetWeightStore { store });
    }
    ops.extend(removed(&old.services, &new.services, |name| ManifestOp::RemoveService { name }));
    ops.extend(removed(&old.engines, &new.engines, |name| ManifestOp::RemoveEngine { name }));
    ops.extend(removed(&old.adapters, &new.adapters, |name| ManifestOp::RemoveAdapter { name }));
    ops.extend(removed(&old.base_models, &new.base_models, |name| ManifestOp::RemoveBaseModel {
        name,
    }));
    ops.extend(changed(&old.base_models, &new.base_models, |name, base| {
        ManifestOp::PutBaseModel { name, base }
    }));
    ops.extend(changed(&old.adapters, &new.adapters, |name, adapter| ManifestOp::PutAdapter {
        name,
        adapter,
    }));
    ops.extend(changed(&old.engines, &new.engines, |name, engine| ManifestOp::PutEngine {
        name,
        engine,
    }));
    ops.extend(changed(&old.services, &new.services, |name, service| ManifestOp::PutService {
        name,
        service,
    }));
    if old.hosts != new.hosts {
        let hosts = new.hosts.clone();
        ops.push(ManifestOp::SetHosts { hosts });
    }
    ops
}

fn removed<V>(
    old: &IndexMap<FastStr, V>,
    new: &IndexMap<FastStr, V>,
    op: fn(FastStr) -> ManifestOp,
) -> Vec<ManifestOp> {
    let removed_names = old.keys().filter(|name| !new.contains_key(*name));
    removed_names.cloned().map(op).collect()
}

fn changed<V: Clone + PartialEq>(
    old: &IndexMap<FastStr, V>,
    new: &IndexMap<FastStr, V>,
    op: fn(FastStr, V) -> ManifestOp,
) -> Vec<ManifestOp> {
    let differs = |(name, value): &(&FastStr, &V)| old.get(*name) != Some(*value);
    new.iter().filter(differs).map(|(name, value)| op(name.clone(), value.clone())).collect()
}
