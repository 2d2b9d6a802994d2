//! The configuration in force, computed from the records of the log.

use {
    super::{
        diff::ManifestOp,
        manifest::Manifest,
        validate::{ManifestError, validate},
    },
    crate::{ModelName, log_position::LogPosition},
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    thiserror::Error,
};

/// Number of recent changes whose results are kept, so that operators can look up their own.
const CHANGE_RESULTS_MAX: usize = 256;

/// A configuration in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Offset of the accepted change plus one; 0 before the first.
    pub revision: u64,
    /// Operator that made that change.
    pub operator: FastStr,
    /// What is declared.
    pub manifest: Manifest,
}

/// A change as appended by an operator's tool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Identifies this change, so that its result can be read from the stream after a lost append
    /// answer.
    pub id: FastStr,
    /// Operator that requests the change.
    pub operator: FastStr,
    /// Revision on which the change is based.
    pub base_revision: u64,
    /// The steps; either all of them apply or none.
    pub ops: Vec<ManifestOp>,
}

/// A record of the log's configuration stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// An operator's change.
    Change(ConfigChange),
    /// The configuration in force, appended again before the log drops the records it comes from.
    Snapshot(ConfigSnapshot),
}

/// A whole configuration and the offset up to which it reflects the stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// All records below this offset are included.
    pub as_of: u64,
    /// The configuration in force at that offset.
    pub config: Arc<Config>,
}

/// Reason for which a change was rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Rejection {
    /// Another change was accepted first.
    #[error("lost to revision {revision} by {operator}")]
    Conflict {
        /// Revision in force when this change was evaluated.
        revision: u64,
        /// Operator that made that revision.
        operator: FastStr,
    },
    /// The result would not be a valid manifest.
    #[error("invalid: {0}")]
    Invalid(ManifestError),
}

/// Result of a change: the revision it created, or the reason for its rejection.
pub type ChangeResult = Result<u64, Rejection>;

/// Configuration computed from the configuration stream. The result depends only on the records and
/// their order, so all processes that have read up to the same offset hold the same configuration.
///
/// When the log no longer keeps records that a reader needs, the reader keeps the configuration in
/// force and evaluates no change until a [`ConfigSnapshot`] closes the gap.
#[derive(Clone, Debug, Default)]
pub struct ConfigLog {
    current: Arc<Config>,
    change_results: IndexMap<FastStr, ChangeResult>,
    position: LogPosition<ConfigChange>,
}

impl ConfigLog {
    /// The configuration in force.
    #[must_use]
    pub fn current(&self) -> &Arc<Config> {
        &self.current
    }

    /// The configuration in force and the offset up to which it reflects the stream.
    #[must_use]
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot { as_of: self.position.folded_to(), config: self.current.clone() }
    }

    /// False while records are missing between the configuration in force and the records read.
    #[must_use]
    pub fn is_contiguous(&self) -> bool {
        self.position.is_contiguous()
    }

    /// Result of the change with this `id`, if it is among the recent ones.
    #[must_use]
    pub fn change_result(&self, id: &str) -> Option<&ChangeResult> {
        self.change_results.get(id)
    }

    /// Sets the first offset that the stream still holds.
    pub fn set_stream_start(&mut self, start: u64) {
        self.position.set_log_start(start);
    }

    /// Applies the record at `offset`. Returns true when a newer configuration came into force.
    pub fn apply_record(&mut self, offset: u64, record: ConfigRecord) -> bool {
        match record {
            ConfigRecord::Snapshot(snapshot) => {
                let newer = self.apply_snapshot(&snapshot);
                self.position.skip(offset);
                newer
            }
            ConfigRecord::Change(change) => {
                let ready = self.position.admit(offset, change);
                ready.is_some_and(|change| self.apply_change(offset, &change))
            }
        }
    }

    /// Applies a whole configuration from the stream or from a peer; an older one is ignored.
    /// Returns true when a newer configuration came into force.
    pub fn apply_snapshot(&mut self, snapshot: &ConfigSnapshot) -> bool {
        let before = self.current.revision;
        if snapshot.config.revision > before {
            self.current = snapshot.config.clone();
        }
        if let Some(pending) = self.position.apply_snapshot(snapshot.as_of) {
            for (offset, change) in pending {
                self.apply_change(offset, &change);
            }
        }
        self.current.revision > before
    }

    fn apply_change(&mut self, offset: u64, change: &ConfigChange) -> bool {
        let result = self.evaluate_change(offset + 1, change);
        let accepted = result.is_ok();
        self.change_results.insert(change.id.clone(), result);
        if self.change_results.len() > CHANGE_RESULTS_MAX {
            self.change_results.shift_remove_index(0);
        }
        accepted
    }

    fn evaluate_change(&mut self, revision: u64, change: &ConfigChange) -> ChangeResult {
        if change.base_revision != self.current.revision {
            return Err(Rejection::Conflict {
                revision: self.current.revision,
                operator: self.current.operator.clone(),
            });
        }
        let mut manifest = self.current.manifest.clone();
        for op in &change.ops {
            op.apply(&mut manifest);
        }
        if let Some(error) = validate(&manifest).into_iter().next() {
            return Err(Rejection::Invalid(error));
        }
        self.current = Arc::new(Config { revision, operator: change.operator.clone(), manifest });
        Ok(revision)
    }
}

impl Config {
    /// True when requests may name `model`.
    #[must_use]
    pub fn serves(&self, model: &ModelName) -> bool {
        let adapter = self.manifest.adapters.get(model.adapter_key().as_str());
        adapter.is_some_and(|a| a.versions.contains(&model.version))
    }
}
