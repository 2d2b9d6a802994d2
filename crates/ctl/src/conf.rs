//! Settings of egretctl.

use {egret_runtime::PlatformSettings, serde::Deserialize};

/// Settings of egretctl, as in `conf/egretctl.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// Addresses of the platform's services.
    pub(crate) platform: PlatformSettings,
    /// Port at which entries serve callers.
    pub(crate) entry_port: u16,
    /// Port at which keepers serve status.
    pub(crate) keeper_port: u16,
}

impl Settings {
    /// Invalid values, as pairs of key and problem.
    pub(crate) fn faults(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        if self.entry_port == 0 {
            faults.push(("entry_port", "must be the entries' HTTP port".to_owned()));
        }
        if self.keeper_port == 0 {
            faults.push(("keeper_port", "must be the keepers' HTTP port".to_owned()));
        }
        faults
    }
}
