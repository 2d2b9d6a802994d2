//! Reads single fields of the flat JSON objects that the system sends.

fn value_of<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let rest = &text[text.find(&format!("\"{key}\""))? + key.len() + 2..];
    Some(rest.trim_start().strip_prefix(':')?.trim_start())
}

/// The text of a field without escapes.
pub fn text(object: &str, key: &str) -> Option<String> {
    let rest = value_of(object, key)?.strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

/// The number of a field.
pub fn number(object: &str, key: &str) -> Option<u64> {
    let rest = value_of(object, key)?;
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}
