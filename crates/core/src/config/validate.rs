//! Checks of a manifest, all errors at once.

use {
    super::manifest::{Manifest, ServiceSpec},
    crate::name::is_valid_part,
    indexmap::IndexSet,
    std::fmt,
    thiserror::Error,
};

/// One fault of a manifest: where it stands and what would be right.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct ManifestError {
    /// Path of the key, for instance `engines.engine-1.base`.
    pub key: String,
    /// What is wrong and what would be right.
    pub problem: String,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

/// Returns every fault of `manifest`, in the order of its keys.
#[must_use]
pub fn validate(manifest: &Manifest) -> Vec<ManifestError> {
    let mut faults = Vec::new();
    check_store(manifest, &mut faults);
    for name in manifest.base_models.keys() {
        check_name(&format!("base_models.{name}"), name, &mut faults);
    }
    check_adapters(manifest, &mut faults);
    check_engines(manifest, &mut faults);
    for (name, service) in &manifest.services {
        check_service(name, service, &mut faults);
    }
    faults
}

fn add_error(faults: &mut Vec<ManifestError>, key: &str, problem: &str) {
    faults.push(ManifestError { key: key.to_owned(), problem: problem.to_owned() });
}

fn check_name(key: &str, name: &str, faults: &mut Vec<ManifestError>) {
    if !is_valid_part(name) {
        add_error(faults, key, "a name is 1 to 128 letters, digits, '-', '_' or '.'");
    }
}

fn check_store(manifest: &Manifest, faults: &mut Vec<ManifestError>) {
    let store = &manifest.weight_store;
    if !(1..=64).contains(&store.in_transit_max) {
        add_error(faults, "weight_store.in_transit_max", "must be 1 to 64");
    }
    if store.loads_per_1000_s == 0 {
        add_error(faults, "weight_store.loads_per_1000_s", "must be at least 1");
    }
    if store.load_timeout_ms == 0 {
        add_error(faults, "weight_store.load_timeout_ms", "must be at least 1");
    }
}

fn check_adapters(manifest: &Manifest, faults: &mut Vec<ManifestError>) {
    for (key, adapter) in &manifest.adapters {
        let at = format!("adapters.\"{key}\"");
        let Some((base, name)) = key.split_once('/') else {
            add_error(faults, &at, "write the key as \"base/adapter\"");
            continue;
        };
        check_name(&at, name, faults);
        if !manifest.base_models.contains_key(base) {
            add_error(faults, &at, "its base is not among base_models");
        }
        let distinct: IndexSet<u32> = adapter.versions.iter().copied().collect();
        let versions_ok = !distinct.is_empty()
            && distinct.len() == adapter.versions.len()
            && !distinct.contains(&0);
        if !versions_ok {
            add_error(faults, &format!("{at}.versions"), "list each version once, from 1");
        }
    }
}

fn check_engines(manifest: &Manifest, faults: &mut Vec<ManifestError>) {
    for (name, engine) in &manifest.engines {
        let at = format!("engines.{name}");
        check_name(&at, name, faults);
        check_name(&format!("{at}.data_centre"), &engine.data_centre, faults);
        if !manifest.base_models.contains_key(&engine.base) {
            add_error(faults, &format!("{at}.base"), "is not among base_models");
        }
        if engine.adapter_slots == 0 {
            add_error(faults, &format!("{at}.adapter_slots"), "must be at least 1");
        }
        if engine.batch == 0 {
            add_error(faults, &format!("{at}.batch"), "must be at least 1");
        }
    }
}

fn check_service(name: &str, service: &ServiceSpec, faults: &mut Vec<ManifestError>) {
    let at = format!("services.{name}");
    check_name(&at, name, faults);
    if service.targets.is_empty() {
        add_error(faults, &format!("{at}.targets"), "needs at least one target");
    }
    for (host, target) in &service.targets {
        check_name(&format!("{at}.targets.{host}"), host, faults);
        let key = format!("{at}.targets.{host}.data_centre");
        check_name(&key, &target.data_centre, faults);
    }
}
