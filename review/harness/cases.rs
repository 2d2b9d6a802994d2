//! The cases.

mod crashing_part;
mod foreign_entry;
mod long_key;
mod one_holder;
mod revoked_key;

use std::{io, path::Path};

/// Plays a case. Returns true if the rule held.
pub fn play(case: &str, folder: &Path, trouble: bool) -> io::Result<bool> {
    match case {
        "one-holder" => one_holder::play(folder, trouble),
        "crashing-part" => crashing_part::play(folder, trouble),
        "foreign-entry" => foreign_entry::play(folder, trouble),
        "long-key" => long_key::play(folder, trouble),
        "revoked-key" => revoked_key::play(folder, trouble),
        _ => Err(io::Error::other("no such case")),
    }
}
