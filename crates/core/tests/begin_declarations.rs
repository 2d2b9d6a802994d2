//! Versions of streams whose origin no host knows, as the declarations of hosts prove them.

use {
    egret_core::{
        BeginDeclaration, BeginDeclarations, BeginEvidence, HostProcess, OwnDeclaration, Time,
        Unproved,
    },
    faststr::FastStr,
    indexmap::IndexSet,
};

const SERVICE: FastStr = FastStr::from_static_str("engines");

fn process(host: &str, incarnation: u64) -> HostProcess {
    HostProcess { host: FastStr::new(host), incarnation }
}

fn pairs(versions: &[&str]) -> Vec<(FastStr, FastStr)> {
    versions.iter().map(|version| (SERVICE, FastStr::new(version))).collect()
}

fn declaration(process: &HostProcess, generation: u64, versions: &[&str]) -> BeginDeclaration {
    OwnDeclaration::default().missing(process, generation, pairs(versions)).unwrap()
}

/// Declarations in generation 0 of the store, and evidence with these processes as the current ones.
fn scene(declared: &[(&str, &[&str])]) -> (BeginDeclarations, BeginEvidence) {
    let mut declarations = BeginDeclarations::default();
    let mut evidence = BeginEvidence::default();
    for (host, versions) in declared {
        declarations.merge(declaration(&process(host, 1), 0, versions));
        evidence.processes.insert(process(host, 1));
    }
    (declarations, evidence)
}

fn deny(evidence: &mut BeginEvidence, hosts: &[&str]) {
    evidence.denials.extend(hosts.iter().map(|host| process(host, 1)));
}

fn prove(declarations: &BeginDeclarations, evidence: &BeginEvidence) -> Result<FastStr, Unproved> {
    declarations.prove(0, &[SERVICE], evidence)
}

// Streams of a host that stood still while a second version appeared were refused everywhere.
#[test]
fn prove_silent_host_knows_one_version() {
    let (declarations, mut evidence) =
        scene(&[("h1", &["v1"]), ("h2", &["v1", "v2"]), ("h3", &["v1", "v2"])]);
    let to_ask = declarations.to_ask(0, &[SERVICE], &evidence).unwrap();
    assert_eq!(to_ask, IndexSet::from([process("h2", 1), process("h3", 1)]));
    deny(&mut evidence, &["h2"]);
    assert_eq!(prove(&declarations, &evidence), Err(Unproved::Ambiguous(2)));
    deny(&mut evidence, &["h3"]);
    assert_eq!(prove(&declarations, &evidence).unwrap(), "v1");
}

#[test]
fn prove_host_that_has_only_seen_newer_version() {
    let (declarations, mut evidence) = scene(&[("h1", &["v1"]), ("h2", &["v2"])]);
    assert_eq!(prove(&declarations, &evidence), Err(Unproved::Ambiguous(2)));
    deny(&mut evidence, &["h2"]);
    assert_eq!(prove(&declarations, &evidence).unwrap(), "v1");
}

#[test]
fn prove_host_that_knew_both_versions_is_gone() {
    // its copies may have been lost with it
    let (declarations, mut evidence) = scene(&[("h1", &["v1", "v2"]), ("h2", &["v1", "v2"])]);
    deny(&mut evidence, &["h2"]);
    assert_eq!(declarations.to_ask(0, &[SERVICE], &evidence), None);
    assert_eq!(prove(&declarations, &evidence), Err(Unproved::Ambiguous(2)));
}

#[test]
fn prove_nobody_can_have_begun_it() {
    let (declarations, mut evidence) = scene(&[("h1", &["v1"]), ("h2", &["v1"])]);
    deny(&mut evidence, &["h1", "h2"]);
    assert_eq!(prove(&declarations, &evidence), Err(Unproved::Ambiguous(0)));
}

#[test]
fn prove_host_of_earlier_release() {
    // it begins streams at any recorded version without a declaration
    let (declarations, mut evidence) = scene(&[("h1", &["v1"])]);
    evidence.processes.insert(process("h9", 4));
    assert_eq!(prove(&declarations, &evidence), Err(Unproved::Undeclared(process("h9", 4))));
    // nor is the declaration of another process its own
    let (declarations, mut evidence) = scene(&[("h1", &["v1"])]);
    evidence.processes = IndexSet::from([process("h1", 2)]);
    assert_eq!(prove(&declarations, &evidence), Err(Unproved::Undeclared(process("h1", 2))));
}

#[test]
fn prove_restored_store() {
    // the store has lost that the host knew the second version as well
    let (mut declarations, mut evidence) = scene(&[("h1", &["v1"])]);
    declarations.merge(declaration(&process("h2", 1), 1, &["v1", "v2"]));
    evidence.processes.insert(process("h2", 1));
    deny(&mut evidence, &["h2"]);
    let proved = declarations.prove(1, &[SERVICE], &evidence);
    assert_eq!(proved, Err(Unproved::Lost(process("h1", 1))));
    declarations.merge(declaration(&process("h1", 1), 1, &["v1", "v2"]));
    let proved = declarations.prove(1, &[SERVICE], &evidence);
    assert_eq!(proved, Err(Unproved::Ambiguous(2)));
}

#[test]
fn prove_earlier_process() {
    // the host was killed and has forgotten its streams
    let (mut declarations, mut evidence) = scene(&[("h1", &["v1", "v2"])]);
    declarations.merge(declaration(&process("h1", 2), 0, &["v1"]));
    evidence.processes = IndexSet::from([process("h1", 2)]);
    assert_eq!(prove(&declarations, &evidence), Err(Unproved::Ambiguous(2)));
    // until they are over; the clock of the host may have been set back between both
    evidence.settled_hosts.insert(FastStr::from_static_str("h1"));
    assert_eq!(declarations.superseded(&evidence), IndexSet::from([process("h1", 1)]));
    assert_eq!(prove(&declarations, &evidence).unwrap(), "v1");
    evidence.processes = IndexSet::from([process("h1", 1)]);
    assert_eq!(declarations.superseded(&evidence), IndexSet::from([process("h1", 2)]));
}

#[test]
fn prove_versions_appeared_while_all_hosts_were_down() {
    let (mut declarations, mut evidence) = scene(&[("h1", &["v1"]), ("h2", &["v1"])]);
    evidence.processes.clear();
    for host in ["h1", "h2"] {
        declarations.merge(declaration(&process(host, 2), 0, &["v1", "v2"]));
        evidence.processes.insert(process(host, 2));
        evidence.denials.insert(process(host, 2));
    }
    assert_eq!(prove(&declarations, &evidence).unwrap(), "v1");
}

#[test]
fn prove_host_gone_for_long() {
    let (declarations, mut evidence) = scene(&[("h1", &["v1", "v2"]), ("h2", &["v1"])]);
    assert_eq!(prove(&declarations, &evidence), Err(Unproved::Ambiguous(2)));
    evidence.silent_hosts.insert(FastStr::from_static_str("h1"));
    assert_eq!(prove(&declarations, &evidence).unwrap(), "v1");
    let last_heard_at = Time::from_millis(500);
    assert!(!BeginEvidence::is_over(last_heard_at.after_ms(39_999), last_heard_at));
    assert!(BeginEvidence::is_over(last_heard_at.after_ms(40_000), last_heard_at));
}

#[test]
fn prove_version_gone_for_long() {
    let (declarations, mut evidence) = scene(&[("h1", &["v0", "v1"]), ("h2", &["v1", "v2"])]);
    deny(&mut evidence, &["h2"]);
    assert_eq!(prove(&declarations, &evidence), Err(Unproved::Ambiguous(2)));
    evidence.versions = Some(["v1", "v2"].into_iter().map(FastStr::from_static_str).collect());
    assert_eq!(prove(&declarations, &evidence).unwrap(), "v1");
}

#[test]
fn missing_new_version_and_restored_store() {
    let mut own = OwnDeclaration::default();
    let host = process("h1", 1);
    assert_eq!(own.missing(&host, 0, Vec::new()), None);
    let first = own.missing(&host, 0, pairs(&["v1"])).unwrap();
    assert!(!own.allows_begin(&SERVICE, &FastStr::from_static_str("v1")));
    // the store came back from a copy between the write and its answer
    own.record_written(first.clone(), 1);
    assert!(!own.allows_begin(&SERVICE, &FastStr::from_static_str("v1")));
    own.record_written(first, 0);
    assert!(own.allows_begin(&SERVICE, &FastStr::from_static_str("v1")));
    assert_eq!(own.missing(&host, 0, pairs(&["v1"])), None);
    let second = own.missing(&host, 0, pairs(&["v2"])).unwrap();
    assert_eq!(second, declaration(&host, 0, &["v1", "v2"]));
    // an earlier write may take effect late, and a restored store lacks the last ones
    let again = own.missing(&host, 1, pairs(&["v1"])).unwrap();
    assert_eq!(again, declaration(&host, 1, &["v1"]));
}
