//! Errors about settings files name the file, the key and the valid values.

use {
    egret_runtime::load_settings,
    serde::Deserialize,
    std::{io::Write, path::Path},
    tempfile::NamedTempFile,
};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    outer: Outer,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Outer {
    count: u16,
}

fn load(text: &str) -> Result<Settings, String> {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    let faults = |settings: &Settings| {
        let wrong = settings.outer.count == 0;
        wrong.then(|| ("outer.count", "must be at least 1".to_owned())).into_iter().collect()
    };
    load_settings(file.path(), faults).map_err(|e| e.to_string())
}

#[test]
fn load_settings_accepts_valid_file() {
    assert_eq!(load("[outer]\ncount = 3\n").unwrap().outer.count, 3);
}

#[test]
fn load_settings_unknown_key_is_named() {
    let problem = load("[outer]\ncount = 3\ncuont = 4\n").unwrap_err();
    assert!(problem.contains("cuont") && problem.contains("count"), "{problem}");
}

#[test]
fn load_settings_wrong_type_is_named_with_its_key() {
    let problem = load("[outer]\ncount = \"many\"\n").unwrap_err();
    assert!(problem.contains("outer.count") && problem.contains("u16"), "{problem}");
}

#[test]
fn load_settings_invalid_value_is_explained() {
    let problem = load("[outer]\ncount = 0\n").unwrap_err();
    assert!(problem.contains("outer.count: must be at least 1"), "{problem}");
}

#[test]
fn load_settings_missing_file_is_named() {
    let missing = load_settings::<Settings>(Path::new("none.toml"), |_| Vec::new());
    assert!(missing.unwrap_err().to_string().contains("none.toml"));
}
