//! The newest announced version of each adapter.

use {
    super::digest::SetDigest,
    crate::hash::{mix_hashes, text_hash},
    faststr::FastStr,
    indexmap::IndexMap,
};

/// The newest version by adapter, with a digest that is kept up to date by change.
#[derive(Clone, Debug, Default)]
pub struct AdapterVersions {
    newest: IndexMap<FastStr, u64>,
    digest: SetDigest,
}

impl AdapterVersions {
    /// Applies an announced version. Returns true if it is newer than the known one.
    pub fn apply(&mut self, adapter: &FastStr, version: u64) -> bool {
        let before = self.newest.get(adapter).copied();
        if version <= before.unwrap_or(0) {
            return false;
        }
        let hash = |version| mix_hashes(text_hash(adapter), version);
        self.digest.replace(before.map_or(0, hash), hash(version));
        self.newest.insert(adapter.clone(), version);
        true
    }

    /// The newest version of `adapter`.
    #[must_use]
    pub fn get(&self, adapter: &str) -> Option<u64> {
        self.newest.get(adapter).copied()
    }

    /// The newest version of each adapter.
    #[must_use]
    pub fn all(&self) -> &IndexMap<FastStr, u64> {
        &self.newest
    }

    /// Digest of all adapters and their versions. It is the same for the same versions, in
    /// whatever order they were announced.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest.value()
    }
}
