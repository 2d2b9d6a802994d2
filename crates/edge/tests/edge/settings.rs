//! The default settings file is valid, and invalid files are refused with the name of the setting.

use {
    egret_edge::Settings,
    egret_runtime::load_settings,
    std::{fs, path::Path},
};

const DEFAULT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../conf/edge.toml");
const TEMPLATE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../platform/settings.toml");

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
        ("grace_s = 8", "grace_s = 0.1", "stop.grace_s"),
        ("fencing = \"checked\"", "fencing = \"maybe\"", "orders.fencing"),
        ("lease_ms = 3000", "lease = 3", "lease"),
        ("lease_ms = 3000", "lease_ms = -1", "lease_ms"),
        ("free = 54", "free = nan", "retries.free"),
        ("callers = \"127.0.1.1:7000\"", "callers = \"here\"", "listen.callers"),
    ] {
        assert!(text.contains(right), "{right} is not in the default file");
        fs::write(&file, text.replace(right, wrong)).unwrap();
        let refused = load_settings(&file, Settings::faults).unwrap_err().to_string();
        assert!(refused.contains(named), "{wrong}: {refused}");
        assert!(refused.contains("edge.toml"), "{refused}");
    }
}

/// The platform states each of its bounds as a whole number or a fraction. A template that glues
/// digits to a bound, or a setting that takes only whole numbers, keeps every host from starting.
#[test]
fn template_bounds_may_be_fractions() {
    let template = fs::read_to_string(TEMPLATE).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.toml");
    // a bound, in milliseconds, and rounded down and up
    let bounds = [("8", 8000, 8, 8), ("8.5", 8500, 8, 9), ("7.833333333333333", 7833, 7, 8)];
    for (bound, bound_ms, floor, ceil) in bounds {
        let filled = fill_in(&template, bound);
        fs::write(&file, &filled).unwrap();
        let settings = load_settings(&file, Settings::faults);
        let settings = settings.unwrap_or_else(|e| panic!("{e}\n{filled}"));
        assert_eq!(settings.stop.grace_ms(), bound_ms);
        assert_eq!(settings.retries.window_ms(), bound_ms);
        assert_eq!(settings.orders.ceiling_window_ms(), bound_ms);
        assert_eq!(settings.retries.free, floor);
        assert_eq!(settings.orders.lease_ms, ceil);
    }
}

// fills in the template as for a host on which all numbers are `number`, and all conditions hold
fn fill_in(template: &str, number: &str) -> String {
    let mut filled = String::new();
    let mut rest = template;
    let mut left_out = false;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").unwrap();
        if !left_out {
            filled.push_str(before);
        }
        rest = after;
        match name.chars().next() {
            Some('#') => {}
            Some('^') => left_out = true,
            Some('/') => left_out = false,
            _ if left_out => {}
            _ => filled.push_str(match name.split('|').next().unwrap() {
                "node_name" | "zone" => "\"a\"",
                "ip" => "127.0.0.1",
                "port_range.0" => "7380",
                "port_range.1" => "7381",
                "listen_addrs.front" | "listen_addrs.ready" | "platform.address" => {
                    "\"127.0.0.1:8149\""
                }
                "limits.memory_mb" | "limits.max_fds" => number,
                bound if bound.starts_with("bounds.") => number,
                other => panic!("{other} has no value here"),
            }),
        }
    }
    filled + rest
}
