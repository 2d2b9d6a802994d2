//! From the records of the log to the configuration in force.

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

/// Verdicts on changes kept for operators that ask what became of theirs.
const CHANGE_RESULTS_MAX: usize = 256;

/// A configuration in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Offset of the accepted change plus one; 0 before the first.
    pub revision: u64,
    /// Who made that change.
    pub operator: FastStr,
    /// What is declared.
    pub manifest: Manifest,
}

/// A change as an operator's tool appends it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Names this change, so that a lost append answer can be settled by reading.
    pub id: FastStr,
    /// Who asks for it.
    pub operator: FastStr,
    /// The revision it was planned against.
    pub base_revision: u64,
    /// The steps, all or none.
    pub ops: Vec<ManifestOp>,
}

/// A record of the log's configuration stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// An operator's change.
    Change(ConfigChange),
    /// The configuration in force, appended again before its records age out.
    Snapshot(ConfigSnapshot),
}

/// A whole configuration and the point of the stream that it reflects.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// All records below this offset are reflected.
    pub as_of: u64,
    /// The configuration in force there.
    pub config: Arc<Config>,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Rejection {
    /// Another change was accepted first.
    #[error("lost to revision {revision} by {operator}")]
    Conflict {
        /// The revision that stood when this change's record came.
        revision: u64,
        /// Who made it.
        operator: FastStr,
    },
    /// The result would not be a valid manifest.
    #[error("invalid: {0}")]
    Invalid(ManifestError),
}

/// What became of a change: the revision it made, or why it made none.
pub type ChangeResult = Result<u64, Rejection>;

/// Folds the configuration stream. The result depends on the records and their order only,
/// so every process that has read as far holds the same configuration.
///
/// A reader that can't see the records it needs, because the log no longer keeps them, keeps
/// what is in force and judges no change until a [`Snapshot`] closes the gap.
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

    /// The configuration in force with the point of the stream that it reflects.
    #[must_use]
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot { as_of: self.position.folded_to(), config: self.current.clone() }
    }

    /// False while records are missing between what is in force and what is read.
    #[must_use]
    pub fn is_contiguous(&self) -> bool {
        self.position.is_contiguous()
    }

    /// What became of the change named `id`, if it was read lately.
    #[must_use]
    pub fn change_result(&self, id: &str) -> Option<&ChangeResult> {
        self.change_results.get(id)
    }

    /// Notes that the stream can only be read from `start` on.
    pub fn set_stream_start(&mut self, start: u64) {
        self.position.set_log_start(start);
    }

    /// Takes the record at `offset`. Returns true when a newer configuration came into force.
    pub fn apply_record(&mut self, offset: u64, record: ConfigRecord) -> bool {
        match record {
            ConfigRecord::Snapshot(snapshot) => {
                let newer = self.apply_snapshot(&snapshot);
                self.position.skip(offset);
                newer
            }
            ConfigRecord::Change(change) => {
                let due = self.position.admit(offset, change);
                due.is_some_and(|change| self.apply_change(offset, &change))
            }
        }
    }

    /// Takes a whole configuration from the stream or from a peer; older ones are ignored.
    /// Returns true when it came into force.
    pub fn apply_snapshot(&mut self, snapshot: &ConfigSnapshot) -> bool {
        let before = self.current.revision;
        if snapshot.config.revision > before {
            self.current = snapshot.config.clone();
        }
        if let Some(held_back) = self.position.apply_snapshot(snapshot.as_of) {
            for (offset, change) in held_back {
                self.apply_change(offset, &change);
            }
        }
        self.current.revision > before
    }

    fn apply_change(&mut self, offset: u64, change: &ConfigChange) -> bool {
        let verdict = self.evaluate_change(offset + 1, change);
        let accepted = verdict.is_ok();
        self.change_results.insert(change.id.clone(), verdict);
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
        if let Some(fault) = validate(&manifest).into_iter().next() {
            return Err(Rejection::Invalid(fault));
        }
        self.current = Arc::new(Config { revision, operator: change.operator.clone(), manifest });
        Ok(revision)
    }
}

impl Config {
    /// True when `model` may be asked for.
    #[must_use]
    pub fn serves(&self, model: &ModelName) -> bool {
        let adapter = self.manifest.adapters.get(model.adapter_key().as_str());
        adapter.is_some_and(|a| a.versions.contains(&model.version))
    }
}
