//! The default settings file is valid and complete.

use {egret_entry::Settings, egret_runtime::load_settings, std::path::Path};

#[test]
fn default_settings_file_is_valid() {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../conf/entry.toml"));
    let settings = load_settings(path, Settings::faults).unwrap();
    assert_eq!(settings.host, "entry-1");
}
