//! Loading and validation of settings files. Errors name the file, the key and the valid values.

use {
    serde::{Deserialize, de::DeserializeOwned},
    std::{fs, net::SocketAddr, path::Path},
    thiserror::Error,
};

/// Reason why a settings file is rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not TOML, has an unknown key, or a value of the wrong type.
    #[error("{file}: {key}: {problem}")]
    Malformed {
        /// Path of the file.
        file: String,
        /// Path of the key.
        key: String,
        /// The problem and the expected form.
        problem: String,
    },
    /// Values have the right type but are not valid.
    #[error("{}", faults.join("\n"))]
    Invalid {
        /// One line per fault: file, key, and valid values.
        faults: Vec<String>,
    },
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Destination of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum LogOutput {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output, written by a separate thread: a slow reader loses lines but does not
    /// block the program.
    Stdout,
}

/// Settings of the program's log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Destination of the lines.
    pub to: LogOutput,
    /// Format of the lines.
    pub format: LogFormat,
    /// The least severe level that is written: error, warn, info, debug.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { to: LogOutput::Stderr, format: LogFormat::Text, level: log::LevelFilter::Info }
    }
}

/// Settings of the audit trail.
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

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the append-only log.
    pub log: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
}

/// Reads settings from `path` and validates them with `faults`, which returns pairs of key and
/// problem.
///
/// # Errors
///
/// When the file can't be read or is not valid. The error names the file, the key and the valid
/// values.
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
