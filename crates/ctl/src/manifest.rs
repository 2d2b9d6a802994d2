//! Reading a manifest file, with the line of each fault.

use {
    egret_core::{Manifest, validate},
    serde::Serialize,
    std::{fs, path::Path},
    toml::de::{DeTable, DeValue},
};

/// One fault of a manifest file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct ManifestFileError {
    /// Line in the file, from 1; 0 when it belongs to no line.
    pub(crate) line: usize,
    /// Path of the key.
    pub(crate) key: String,
    /// What is wrong and what would be right.
    pub(crate) problem: String,
}

/// Reads a manifest; all its faults when it can't be used.
pub(crate) fn read_manifest(path: &Path) -> Result<Manifest, Vec<ManifestFileError>> {
    let fault =
        |line, key: &str, problem: String| ManifestFileError { line, key: key.to_owned(), problem };
    let text = fs::read_to_string(path)
        .map_err(|e| vec![fault(0, &path.display().to_string(), e.to_string())])?;
    let reader = toml::Deserializer::parse(&text).map_err(|e| {
        let line = e.span().map_or(0, |span| line_at_offset(&text, span.start));
        vec![fault(line, "syntax", e.message().to_owned())]
    })?;
    let manifest: Manifest = serde_path_to_error::deserialize(reader).map_err(|e| {
        let line = e.inner().span().map_or(0, |span| line_at_offset(&text, span.start));
        vec![fault(line, &e.path().to_string(), e.inner().message().to_owned())]
    })?;
    let faults: Vec<ManifestFileError> = validate(&manifest)
        .into_iter()
        .map(|f| fault(line_of_key(&text, &f.key), &f.key, f.problem))
        .collect();
    if faults.is_empty() { Ok(manifest) } else { Err(faults) }
}

fn line_at_offset(text: &str, at: usize) -> usize {
    let before = &text.as_bytes()[..at.min(text.len())];
    1 + before.split(|byte| *byte == b'\n').count().saturating_sub(1)
}

/// The line of the deepest part of `key` that the file holds.
fn line_of_key(text: &str, key: &str) -> usize {
    let Ok(table) = DeTable::parse(text) else {
        return 0;
    };
    let mut table = table.get_ref();
    let mut found = 0;
    for part in split_key(key) {
        let Some((name, value)) = table.iter().find(|(name, _)| name.get_ref() == part.as_str())
        else {
            break;
        };
        found = line_at_offset(text, name.span().start);
        let DeValue::Table(inner) = value.get_ref() else {
            break;
        };
        table = inner;
    }
    found
}

/// The parts of a dotted key, in which a part with dots or slashes stands in quotes.
fn split_key(key: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut quoted = false;
    for c in key.chars() {
        match c {
            '"' => quoted = !quoted,
            '.' if !quoted => parts.push(String::new()),
            other => parts.last_mut().expect("never empty").push(other),
        }
    }
    parts
}
