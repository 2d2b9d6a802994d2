//! Reads manifest files and reports errors with their lines.

use {
    egret_core::{Manifest, validate},
    serde::Serialize,
    std::{fs, path::Path},
    toml::de::{DeTable, DeValue},
};

/// An error in a manifest file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(crate) struct ManifestFileError {
    /// Line in the file, from 1; 0 when the error has no line.
    pub(crate) line: usize,
    /// Path of the key.
    pub(crate) key: String,
    /// What is wrong and what is valid.
    pub(crate) problem: String,
}

/// Reads and validates a manifest. Returns all its errors when it is invalid.
pub(crate) fn read_manifest(path: &Path) -> Result<Manifest, Vec<ManifestFileError>> {
    let error =
        |line, key: &str, problem: String| ManifestFileError { line, key: key.to_owned(), problem };
    let text = fs::read_to_string(path)
        .map_err(|e| vec![error(0, &path.display().to_string(), e.to_string())])?;
    let deserializer = toml::Deserializer::parse(&text).map_err(|e| {
        let line = e.span().map_or(0, |span| line_at_offset(&text, span.start));
        vec![error(line, "syntax", e.message().to_owned())]
    })?;
    let manifest: Manifest = serde_path_to_error::deserialize(deserializer).map_err(|e| {
        let line = e.inner().span().map_or(0, |span| line_at_offset(&text, span.start));
        vec![error(line, &e.path().to_string(), e.inner().message().to_owned())]
    })?;
    let errors: Vec<ManifestFileError> = validate(&manifest)
        .into_iter()
        .map(|e| error(line_of_key(&text, &e.key), &e.key, e.problem))
        .collect();
    if errors.is_empty() { Ok(manifest) } else { Err(errors) }
}

fn line_at_offset(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    1 + before.split(|byte| *byte == b'\n').count().saturating_sub(1)
}

/// Returns the line of the deepest part of `key` that is in the file, 0 for none.
fn line_of_key(text: &str, key: &str) -> usize {
    let Ok(table) = DeTable::parse(text) else {
        return 0;
    };
    let mut table = table.get_ref();
    let mut line = 0;
    for part in split_key(key) {
        let Some((name, value)) = table.iter().find(|(name, _)| name.get_ref() == part.as_str())
        else {
            break;
        };
        line = line_at_offset(text, name.span().start);
        let DeValue::Table(inner) = value.get_ref() else {
            break;
        };
        table = inner;
    }
    line
}

/// Splits a dotted key into its parts. A part with dots or slashes is quoted.
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
