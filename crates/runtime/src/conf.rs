//! Settings files: read, checked, refused with file, key and what would be right.

use {
    serde::{Deserialize, de::DeserializeOwned},
    std::{fs, net::SocketAddr, path::Path},
    thiserror::Error,
};

/// Why a settings file was refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not TOML, has an unknown key, or a value of the wrong type.
    #[error("{file}: {key}: {problem}")]
    Malformed {
        /// The file.
        file: String,
        /// Path of the key.
        key: String,
        /// What is wrong, and what would be right.
        problem: String,
    },
    /// Values are of the right type but can't be used.
    #[error("{}", faults.join("\n"))]
    Invalid {
        /// One line for each fault: file, key, and what would be right.
        faults: Vec<String>,
    },
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum LogOutput {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output, by a thread of its own: a reader that is slow loses lines and holds up
    /// nothing.
    Stdout,
}

/// Settings of the program's own log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Where lines go.
    pub to: LogOutput,
    /// How lines are written.
    pub format: LogFormat,
    /// The least severe level that is written: error, warn, info, debug.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { to: LogOutput::Stderr, format: LogFormat::Text, level: log::LevelFilter::Info }
    }
}

/// The audit trail.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AuditSettings {
    /// Milliseconds between two appends to the log.
    pub interval_ms: u64,
}

impl Default for AuditSettings {
    fn default() -> Self {
        Self { interval_ms: 2000 }
    }
}

/// Where the platform's services are.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log.
    pub log: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
}

/// Reads settings from `path` and checks them with `faults`, which returns pairs of key and
/// problem.
///
/// # Errors
///
/// Says which file and key is at fault and what would be right.
pub fn load_settings<T: DeserializeOwned>(
    path: &Path,
    faults: impl Fn(&T) -> Vec<(&'static str, String)>,
) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsError::Unreadable { file: file.clone(), source })?;
    let malformed = |key: String, problem: String| SettingsError::Malformed {
        file: file.clone(),
        key,
        problem,
    };
    let reader = toml::Deserializer::parse(&text)
        .map_err(|e| malformed("syntax".to_owned(), e.to_string().trim().to_owned()))?;
    let settings: T = serde_path_to_error::deserialize(reader).map_err(|e| {
        let key = e.path().to_string();
        malformed(key, e.inner().message().to_owned())
    })?;
    let faults = faults(&settings);
    if faults.is_empty() {
        return Ok(settings);
    }
    let line = |(key, problem): (&'static str, String)| format!("{file}: {key}: {problem}");
    Err(SettingsError::Invalid { faults: faults.into_iter().map(line).collect() })
}
