//! The default settings file is valid, and invalid files are refused with the name of the setting.

use {
    egret_edge::Settings,
    egret_runtime::load_settings,
    std::{fs, path::Path},
};

const DEFAULT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../conf/edge.toml");

#[test]
fn default_settings_file_is_valid() {
    let settings = load_settings(Path::new(DEFAULT), Settings::faults).unwrap();
    assert_eq!(settings.host, "edge-1");
}

#[test]
fn invalid_settings_are_named() {
    let text = fs::read_to_string(DEFAULT).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("edge.toml");
    for (right, wrong, named) in [
        ("host = \"edge-1\"", "host = \"\"", "host: empty"),
        ("ratio = 0.2", "ratio = -1.0", "retries.ratio"),
        ("window_s = 10", "window_s = 0", "retries.window_s"),
        ("grace_ms = 8000", "grace_ms = 100", "stop.grace_ms"),
        ("fencing = \"checked\"", "fencing = \"maybe\"", "orders.fencing"),
        ("lease_ms = 3000", "lease = 3", "lease"),
        ("callers = \"127.0.1.1:7000\"", "callers = \"here\"", "listen.callers"),
    ] {
        assert!(text.contains(right), "{right} is not in the default file");
        fs::write(&file, text.replace(right, wrong)).unwrap();
        let refused = load_settings(&file, Settings::faults).unwrap_err().to_string();
        assert!(refused.contains(named), "{wrong}: {refused}");
        assert!(refused.contains("edge.toml"), "{refused}");
    }
}
