//! The settings files in `conf` are valid and complete.

use {egret_keeper::Settings, egret_runtime::load_settings, std::path::Path};

#[test]
fn default_settings_files_are_valid() {
    for name in ["keeper.toml", "keeper-cronometria.toml"] {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../conf");
        let settings = load_settings(&folder.join(name), Settings::faults).unwrap();
        assert_eq!(settings.host, "entry-1");
    }
}
