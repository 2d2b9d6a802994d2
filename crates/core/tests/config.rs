//! Configuration: acceptance, racing changes, gaps, validation.

use {
    egret_core::{
        Adapter, BaseModel, ConfigChange, ConfigLog, ConfigRecord, Manifest, ManifestOp, Rejection,
        diff, validate,
    },
    faststr::FastStr,
};

fn change(id: &str, base_revision: u64, ops: Vec<ManifestOp>) -> ConfigRecord {
    let (id, operator) = (FastStr::new(id), FastStr::from_string(format!("op-{id}")));
    ConfigRecord::Change(ConfigChange { id, operator, base_revision, ops })
}

fn put_base(name: &'static str) -> ManifestOp {
    ManifestOp::PutBaseModel { name: name.into(), base: BaseModel {} }
}

fn put_adapter(name: &'static str) -> ManifestOp {
    ManifestOp::PutAdapter { name: name.into(), adapter: Adapter { versions: vec![1] } }
}

#[test]
fn apply_record_rejects_the_second_of_two_racing_changes() {
    let mut log = ConfigLog::default();
    assert!(log.apply_record(0, change("a", 0, vec![put_base("x")])));
    assert!(!log.apply_record(1, change("b", 0, vec![put_base("y")])));
    let conflict = Rejection::Conflict { revision: 1, operator: "op-a".into() };
    assert_eq!(log.change_result("b"), Some(&Err(conflict)));
    assert_eq!(log.current().revision, 1);
}

#[test]
fn apply_record_invalid_change_changes_nothing() {
    let mut log = ConfigLog::default();
    assert!(!log.apply_record(0, change("a", 0, vec![put_base("x"), put_adapter("z/a")])));
    assert!(matches!(log.change_result("a"), Some(Err(Rejection::Invalid(_)))));
    assert!(log.current().manifest.base_models.is_empty());
}

#[test]
fn apply_record_gap_waits_for_snapshot() {
    let mut writer = ConfigLog::default();
    writer.apply_record(0, change("a", 0, vec![put_base("x")]));
    let mut late = ConfigLog::default();
    late.set_stream_start(1);
    // This change is based on no configuration: a reader that evaluated it would accept what all
    // others reject.
    late.apply_record(1, change("b", 0, vec![put_base("y")]));
    assert_eq!(late.current().revision, 0);
    writer.apply_record(1, change("b", 0, vec![put_base("y")]));
    let snapshot = writer.snapshot();
    late.apply_record(2, ConfigRecord::Snapshot(snapshot));
    assert_eq!(late.current(), writer.current());
    assert!(late.is_contiguous());
}

#[test]
fn apply_record_late_snapshot_keeps_held_back_records() {
    // Guards against losing records that were read and held back when the log drops them too.
    let records = [
        change("a", 0, vec![put_base("x")]),
        change("b", 1, vec![put_base("y")]),
        change("c", 2, vec![put_base("z")]),
    ];
    let mut writer = ConfigLog::default();
    writer.apply_record(0, records[0].clone());
    let snapshot = writer.snapshot();
    let mut late = ConfigLog::default();
    late.set_stream_start(1);
    late.apply_record(1, records[1].clone());
    late.apply_record(2, records[2].clone());
    late.set_stream_start(3);
    late.apply_record(3, ConfigRecord::Snapshot(snapshot));
    assert_eq!(late.current().revision, 3);
}

#[test]
fn apply_snapshot_from_peer_never_goes_back() {
    let mut ahead = ConfigLog::default();
    ahead.apply_record(0, change("a", 0, vec![put_base("x")]));
    let old = ahead.snapshot();
    ahead.apply_record(1, change("b", 1, vec![put_base("y")]));
    assert!(!ahead.apply_snapshot(&old));
    assert_eq!(ahead.current().revision, 2);
    let mut behind = ConfigLog::default();
    assert!(behind.apply_snapshot(&ahead.snapshot()));
    // The records read later are already included.
    assert!(!behind.apply_record(0, change("a", 0, vec![put_base("x")])));
    assert_eq!(behind.current(), ahead.current());
}

#[test]
fn diff_leads_from_old_to_new() {
    let mut new = Manifest::default();
    new.base_models.insert("x".into(), BaseModel {});
    new.adapters.insert("x/a".into(), Adapter { versions: vec![1, 2] });
    let mut log = ConfigLog::default();
    assert!(log.apply_record(0, change("a", 0, diff(&Manifest::default(), &new))));
    assert_eq!(log.current().manifest, new);
    assert!(log.apply_record(1, change("b", 1, diff(&new, &Manifest::default()))));
    assert_eq!(log.current().manifest, Manifest::default());
}

#[test]
fn validate_reports_all_errors() {
    let mut manifest = Manifest::default();
    manifest.adapters.insert("none/a".into(), Adapter { versions: vec![1, 1] });
    manifest.adapters.insert("noslash".into(), Adapter { versions: vec![1] });
    manifest.weight_store.in_transit_max = 0;
    let keys: Vec<String> = validate(&manifest).into_iter().map(|error| error.key).collect();
    let expected = [
        "weight_store.in_transit_max",
        "adapters.\"none/a\"",
        "adapters.\"none/a\".versions",
        "adapters.\"noslash\"",
    ];
    assert_eq!(keys, expected);
}
