//! The exact name of a model: base, adapter and version.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Longest base model or adapter name.
const NAME_BYTES_MAX: usize = 128;

/// The model that a request names and its answer must come from, written `base/adapter@version`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ModelName {
    /// Name of the base model.
    pub base: FastStr,
    /// Name of the adapter, unique within its base model.
    pub adapter: FastStr,
    /// Version of the adapter, from 1.
    pub version: u32,
}

/// Why a text is not a [`ModelName`].
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ModelNameError {
    /// The `@` with a version is missing.
    #[error("the version is missing: write base/adapter@version")]
    MissingVersion,
    /// What follows the `@` is not a whole number from 1.
    #[error("the version is not a whole number from 1")]
    InvalidVersion,
    /// The `/` between base model and adapter is missing.
    #[error("the adapter is missing: write base/adapter@version")]
    MissingAdapter,
    /// A part is empty, too long, or contains a character other than letters, digits, `-`, `_` and
    /// `.`.
    #[error("a name is 1 to 128 letters, digits, '-', '_' or '.'")]
    InvalidPart,
}

impl ModelName {
    /// Creates a name from parts that are known to be valid.
    #[must_use]
    pub fn new(base: FastStr, adapter: FastStr, version: u32) -> Self {
        Self { base, adapter, version }
    }

    /// The adapter's key within a configuration: `base/adapter`.
    #[must_use]
    pub fn adapter_key(&self) -> FastStr {
        FastStr::from_string(format!("{}/{}", self.base, self.adapter))
    }
}

/// True when `part` is a valid name of a base model or adapter.
pub(crate) fn is_valid_part(part: &str) -> bool {
    let is_valid_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=NAME_BYTES_MAX).contains(&part.len()) && part.chars().all(is_valid_char)
}

impl FromStr for ModelName {
    type Err = ModelNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (path, version) = text.rsplit_once('@').ok_or(ModelNameError::MissingVersion)?;
        let (base, adapter) = path.split_once('/').ok_or(ModelNameError::MissingAdapter)?;
        if !is_valid_part(base) || !is_valid_part(adapter) {
            return Err(ModelNameError::InvalidPart);
        }
        // only the canonical spelling is accepted: "+3" and "03" are not
        let number: u32 = version.parse().map_err(|_| ModelNameError::InvalidVersion)?;
        if number == 0 || number.to_string() != version {
            return Err(ModelNameError::InvalidVersion);
        }
        Ok(Self::new(FastStr::new(base), FastStr::new(adapter), number))
    }
}

impl TryFrom<String> for ModelName {
    type Error = ModelNameError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ModelName> for String {
    fn from(name: ModelName) -> Self {
        name.to_string()
    }
}

impl fmt::Display for ModelName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}@{}", self.base, self.adapter, self.version)
    }
}
