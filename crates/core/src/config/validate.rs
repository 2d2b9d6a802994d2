//! Validation of a manifest, which reports all errors at once.

use {
    super::manifest::{Manifest, ServiceSpec},
    crate::name::is_valid_part,
    indexmap::IndexSet,
    std::fmt,
    thiserror::Error,
};

/// An error in a manifest.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct ManifestError {
    /// Path of the key, for instance `engines.engine-1.base`.
    pub key: String,
    /// The error and what is expected instead.
    pub problem: String,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

/// Returns all errors of `manifest`, in the order of its keys.
#[must_use]
pub fn validate(manifest: &Manifest) -> Vec<ManifestError> {
    let mut errors = Vec::new();
    check_store(manifest, &mut errors);
    for name in manifest.base_models.keys() {
        check_name(&format!("base_models.{name}"), name, &mut errors);
    }
    check_adapters(manifest, &mut errors);
    check_engines(manifest, &mut errors);
    for (name, service) in &manifest.services {
        check_service(name, service, &mut errors);
    }
    errors
}

fn add_error(errors: &mut Vec<ManifestError>, key: &str, problem: &str) {
    errors.push(ManifestError { key: key.to_owned(), problem: problem.to_owned() });
}

fn check_name(key: &str, name: &str, errors: &mut Vec<ManifestError>) {
    if !is_valid_part(name) {
        add_error(errors, key, "a name is 1 to 128 letters, digits, '-', '_' or '.'");
    }
}

fn check_store(manifest: &Manifest, errors: &mut Vec<ManifestError>) {
    let store = &manifest.weight_store;
    if !(1..=64).contains(&store.in_transit_max) {
        add_error(errors, "weight_store.in_transit_max", "must be 1 to 64");
    }
    if store.loads_per_1000_s == 0 {
        add_error(errors, "weight_store.loads_per_1000_s", "must be at least 1");
    }
    if store.load_timeout_ms == 0 {
        add_error(errors, "weight_store.load_timeout_ms", "must be at least 1");
    }
}

fn check_adapters(manifest: &Manifest, errors: &mut Vec<ManifestError>) {
    for (key, adapter) in &manifest.adapters {
        let at = format!("adapters.\"{key}\"");
        let Some((base, name)) = key.split_once('/') else {
            add_error(errors, &at, "write the key as \"base/adapter\"");
            continue;
        };
        check_name(&at, name, errors);
        if !manifest.base_models.contains_key(base) {
            add_error(errors, &at, "its base is not among base_models");
        }
        let distinct: IndexSet<u32> = adapter.versions.iter().copied().collect();
        let versions_ok = !distinct.is_empty()
            && distinct.len() == adapter.versions.len()
            && !distinct.contains(&0);
        if !versions_ok {
            add_error(errors, &format!("{at}.versions"), "list each version once, from 1");
        }
    }
}

fn check_engines(manifest: &Manifest, errors: &mut Vec<ManifestError>) {
    for (name, engine) in &manifest.engines {
        let at = format!("engines.{name}");
        check_name(&at, name, errors);
        check_name(&format!("{at}.data_centre"), &engine.data_centre, errors);
        if !manifest.base_models.contains_key(&engine.base) {
            add_error(errors, &format!("{at}.base"), "is not among base_models");
        }
        if engine.adapter_slots == 0 {
            add_error(errors, &format!("{at}.adapter_slots"), "must be at least 1");
        }
        if engine.batch == 0 {
            add_error(errors, &format!("{at}.batch"), "must be at least 1");
        }
    }
}

fn check_service(name: &str, service: &ServiceSpec, errors: &mut Vec<ManifestError>) {
    let at = format!("services.{name}");
    check_name(&at, name, errors);
    if service.targets.is_empty() {
        add_error(errors, &format!("{at}.targets"), "needs at least one target");
    }
    for (host, target) in &service.targets {
        check_name(&format!("{at}.targets.{host}"), host, errors);
        let key = format!("{at}.targets.{host}.data_centre");
        check_name(&key, &target.data_centre, errors);
    }
}
