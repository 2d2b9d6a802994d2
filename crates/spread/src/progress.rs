//! What a host knows of the rows of others.

use {faststr::FastStr, indexmap::IndexMap};

/// How far a host knows the rows of one source. Later epochs come first, then later versions.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Progress {
    /// Epoch of the source, which rises with each start of its process.
    pub epoch: u64,
    /// Highest version up to which all rows are known.
    pub version: u64,
    /// Last heartbeat known.
    pub beat: u64,
}

impl Progress {
    pub(crate) fn join(self, other: Self) -> Self {
        match self.epoch.cmp(&other.epoch) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => Self {
                epoch: self.epoch,
                version: self.version.max(other.version),
                beat: self.beat.max(other.beat),
            },
        }
    }
}

/// What a contact knows, by source: from what it was sent, and from what it has sent itself.
#[derive(Clone, Debug, Default)]
pub struct Known {
    by_source: IndexMap<FastStr, Progress>,
}

impl Known {
    /// Creates what a contact has reported to know.
    #[must_use]
    pub fn new(reported: impl IntoIterator<Item = (FastStr, Progress)>) -> Self {
        Self { by_source: reported.into_iter().collect() }
    }

    /// Records that the contact knows the rows of `source` this far.
    pub fn observe(&mut self, source: &FastStr, progress: Progress) {
        let known = self.by_source.entry(source.clone()).or_default();
        *known = known.join(progress);
    }

    /// How far the contact knows the rows of `source`.
    #[must_use]
    pub fn get(&self, source: &str) -> Progress {
        self.by_source.get(source).copied().unwrap_or_default()
    }
}
