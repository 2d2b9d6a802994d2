//! Finds requests that crash targets, together with all other hosts.

use {
    super::{
        attempt::{self, HealthSignal},
        request::OutgoingRequest,
        target_starts::{self, ServingStart},
    },
    crate::{peers, state::Edge, watch},
    egret_core::{
        ConnectResult, CrashId, CrashVerdict, CutReason, EndStep, Fingerprint, Suspect, Target,
        Time, UnframedEnd, rendezvous_weight,
    },
    egret_runtime::{Body, CrashMsg, SuspectsMsg, events, now, with_deadline},
    faststr::FastStr,
    futures::{
        FutureExt,
        future::{Shared, join_all},
    },
    indexmap::{IndexMap, IndexSet},
    parking_lot::Mutex,
    std::{io::ErrorKind, sync::Arc, time::Duration},
    tokio::{net::TcpStream, sync::oneshot},
};

/// Timeout of a connection that shows whether a target has crashed.
const CHECK_TIMEOUT_MS: u64 = 150;

/// Pause before the second check of a target that still accepted a connection. A process that ends
/// may close its connections before its listener.
const SECOND_CHECK_PAUSE_MS: u64 = 100;

/// Other targets that refuse connections as well if this host is cut off and its target has not crashed.
const CONTROL_TARGETS: usize = 3;

/// Time for which it holds that a target is down.
const CHECK_VALID_MS: u64 = 300;

/// Time within which connections to one target break off together. A later break needs a check of its own:
/// that the target accepted connections before says nothing about it.
const JOINT_BREAKS_MS: u64 = 20;

/// Checks whether targets have crashed, by target.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    by_target: Mutex<IndexMap<FastStr, Check>>,
}

#[derive(Debug)]
struct Check {
    started_at: Time,
    results: CheckResults,
}

impl Check {
    fn covers_break(&self, broken_at: Time) -> bool {
        broken_at < self.started_at.after_ms(JOINT_BREAKS_MS) || self.results.show_down()
    }
}

// results of the two connections of a check: true if the connection was refused
#[derive(Clone, Debug)]
struct CheckResults {
    first: Shared<oneshot::Receiver<bool>>,
    second: Shared<oneshot::Receiver<bool>>,
}

impl CheckResults {
    // false also while there are no results
    fn show_down(&self) -> bool {
        [&self.first, &self.second].iter().any(|result| result.peek() == Some(&Ok(true)))
    }
}

/// Reason of a refusal.
pub(crate) const REFUSAL_REASON: &str = "its content crashed targets";

/// Whether a request that has arrived may be sent.
pub(crate) fn judge(edge: &Edge, out: &OutgoingRequest) -> CrashVerdict {
    let refused = edge.crash_reports.lock().first_refused(&out.suspects);
    let Some(refused) = refused else {
        return CrashVerdict::Allowed;
    };
    // without the host log, this host does not know how often it was tested
    let has_read_findings = edge.host_log_position.lock().caught_up_at > Time::ZERO;
    let is_tester = has_read_findings && peers::is_first_for(edge, &refused.to_string());
    let verdict = edge.crash_reports.lock().judge(now(), &out.suspects, is_tester);
    if verdict == CrashVerdict::Test {
        events::CRASH_TEST.warn(format_args!(
            "request={} route={} suspect={}",
            out.head.id, out.selected.route.name, refused
        ));
    }
    if is_tester {
        // it may need the grant of a test
        edge.crash_findings_changed.notify_one();
    }
    verdict
}

/// True if a request may not be sent, or sent again, because its content crashed targets.
pub(crate) fn is_refused(edge: &Edge, out: &OutgoingRequest, was_sent: bool) -> bool {
    if let Some(test) = out.crash_test.as_ref().filter(|_| !was_sent) {
        test.record_send();
        return false;
    }
    edge.crash_reports.lock().is_refused(&out.suspects)
}

/// Records that a request has run to its end, which shows that nothing of it crashes targets.
pub(crate) fn record_sound(edge: &Edge, out: &OutgoingRequest) {
    let cleared = edge.crash_reports.lock().record_sound(now(), out.suspects.iter().copied());
    send_sound(edge, &cleared);
}

// notifies all hosts that these suspects are sound, if there are any
fn send_sound(edge: &Edge, suspects: &[Suspect]) {
    if suspects.is_empty() {
        return;
    }
    edge.crash_findings_changed.notify_one();
    peers::report_crashes(edge, &sound_message(suspects, false));
}

fn sound_message(suspects: &[Suspect], is_reply: bool) -> SuspectsMsg {
    let (sound_contents, sound_parts) = fingerprints(suspects.iter());
    SuspectsMsg { sound_contents, sound_parts, is_reply, ..SuspectsMsg::default() }
}

// those of contents and those of prompt parts
fn fingerprints<'a>(suspects: impl Iterator<Item = &'a Suspect>) -> (Vec<u64>, Vec<u64>) {
    let (mut contents, mut parts) = (Vec::new(), Vec::new());
    for suspect in suspects {
        match suspect {
            Suspect::Content(fingerprint) => contents.push(fingerprint.0),
            Suspect::Part(fingerprint) => parts.push(fingerprint.0),
        }
    }
    (contents, parts)
}

fn suspects_from(contents: &[u64], parts: &[u64]) -> impl Iterator<Item = Suspect> {
    let contents = contents.iter().map(|fingerprint| Suspect::Content(Fingerprint(*fingerprint)));
    let parts = parts.iter().map(|fingerprint| Suspect::Part(Fingerprint(*fingerprint)));
    contents.chain(parts)
}

fn crash_message<'a>(
    (target, started_unix_ms): &CrashId,
    suspects: impl Iterator<Item = &'a Suspect>,
) -> CrashMsg {
    let (contents, parts) = fingerprints(suspects);
    CrashMsg { target: target.to_string(), started_unix_ms: *started_unix_ms, contents, parts }
}

/// The crashes known to this host, for a host that may not know them.
pub(crate) fn crashes_message(edge: &Edge) -> Option<Body> {
    let reports = edge.crash_reports.lock();
    let recurring = reports.recurring(now()).into_iter();
    let crashes: Vec<CrashMsg> =
        recurring.map(|(id, suspects)| crash_message(id, suspects.iter())).collect();
    let message = SuspectsMsg { crashes, ..SuspectsMsg::default() };
    (!message.crashes.is_empty()).then_some(Body::Suspects(message))
}

/// Applies what another host reports of crashes, and answers which of its suspects are sound.
pub(crate) fn apply_message(edge: &Edge, host: &str, message: &SuspectsMsg) {
    let mut sound = Vec::new();
    let cleared = {
        let mut reports = edge.crash_reports.lock();
        let cleared = reports
            .record_sound(now(), suspects_from(&message.sound_contents, &message.sound_parts));
        for crash in &message.crashes {
            let id = (FastStr::new(&crash.target), crash.started_unix_ms);
            sound.extend(reports.record_crash(
                now(),
                id,
                suspects_from(&crash.contents, &crash.parts),
            ));
        }
        cleared
    };
    edge.crash_findings_changed.notify_one();
    if message.is_reply {
        send_sound(edge, &cleared);
    }
    if !sound.is_empty() {
        peers::notify(edge, host, Body::Suspects(sound_message(&sound, true)));
    }
}

/// Records that the connection of a request broke off, and checks whether its target accepts
/// connections: waiting for the next request would find a crash late or never. Returns once the
/// first connection has shown it, or the second one if something of the request was on a crash
/// before, or if another of its connections has broken off: it may then not be sent to a further
/// target unless this one still runs. Returns true if the target is down.
pub(crate) async fn handle_broken_connection(
    edge: &Arc<Edge>,
    out: &OutgoingRequest,
    target: &Arc<Target>,
) -> bool {
    events::CRASH_WITNESSED.info(format_args!(
        "request={} route={} target={} suspects={} parts={}",
        out.head.id,
        out.selected.route.name,
        target.id,
        out.suspects.iter().map(ToString::to_string).collect::<Vec<_>>().join(","),
        out.head.shared_prompt_parts.join(",")
    ));
    let broken_at = now();
    edge.broken_connections.lock().record_broken(broken_at, &target.id, out.suspects.clone());
    let results = check(edge, target, |earlier| earlier.covers_break(broken_at));
    let mut is_down = results.first.await == Ok(true);
    let has_broken_before = out.record_broken_send() > 1;
    let is_suspected =
        has_broken_before || edge.crash_reports.lock().is_suspected(now(), &out.suspects);
    if !is_down && is_suspected {
        is_down = results.second.await == Ok(true);
    }
    if is_down {
        // the connection of this request may have broken after the check had ended
        record_target_down(edge, target);
    }
    is_down
}

/// Judges the end of an answer that nothing but the end of its connection marks. Returns why it does
/// not count as whole, if it does not. If the target `seems_down` that is found without a pause.
pub(crate) async fn find_cut(
    edge: &Edge,
    out: &OutgoingRequest,
    target: &Target,
    seems_down: bool,
) -> Option<CutReason> {
    let route = &out.selected.route;
    let end = UnframedEnd::new(now(), out.deadline);
    let mut connect_at = end.first_connect_at(now(), seems_down);
    let cut = loop {
        tokio::time::sleep(Duration::from_millis(now().ms_until(connect_at))).await;
        // timers are a millisecond early at times
        let began_at = now().max(connect_at);
        let result = connect(edge, target).await;
        match end.decide(now(), began_at, result) {
            EndStep::ConnectAt(at) => connect_at = at,
            EndStep::Whole => break find_other_start(edge, out, target).await,
            EndStep::Cut(reason) => break Some(reason),
        }
    };
    if cut == Some(CutReason::TargetDown) {
        attempt::record_health(edge, target, HealthSignal::Unreachable);
        record_target_down(edge, target);
    }
    edge.counts.record_unframed_end(
        route.kind.is_stream(),
        match cut {
            None => "whole",
            Some(CutReason::TargetDown) => "target_down",
            Some(CutReason::Unproven) => "unproven",
        },
    );
    cut
}

// A target that was killed may be back under its address within the pause.
async fn find_other_start(
    edge: &Edge,
    out: &OutgoingRequest,
    target: &Target,
) -> Option<CutReason> {
    // plain services have no reports
    out.selected.service.engine.as_ref()?;
    match target_starts::find_serving(edge, target, out.deadline).await {
        ServingStart::Registered | ServingStart::Unknown => None,
        ServingStart::Other => Some(CutReason::TargetDown),
        ServingStart::Broken => Some(CutReason::Unproven),
    }
}

// starts a check, or returns one that was started before if `is_enough`
fn check(
    edge: &Arc<Edge>,
    target: &Arc<Target>,
    is_enough: impl Fn(&Check) -> bool,
) -> CheckResults {
    let mut checks = edge.crash_checks.by_target.lock();
    checks.retain(|_, check| now() < check.started_at.after_ms(CHECK_VALID_MS));
    if let Some(check) = checks.get(&target.id).filter(|check| is_enough(check)) {
        return check.results.clone();
    }
    let (first_tx, first_rx) = oneshot::channel();
    let (second_tx, second_rx) = oneshot::channel();
    let results = CheckResults { first: first_rx.shared(), second: second_rx.shared() };
    let check = Check { started_at: now(), results: results.clone() };
    checks.insert(target.id.clone(), check);
    drop(checks);
    // a task of its own, since the caller of the request may leave
    tokio::spawn(run_check(edge.clone(), target.clone(), first_tx, second_tx));
    results
}

async fn run_check(
    edge: Arc<Edge>,
    target: Arc<Target>,
    first_result: oneshot::Sender<bool>,
    second_result: oneshot::Sender<bool>,
) {
    let mut is_down = is_down_alone(&edge, &target).await;
    // the requests that waited for the results may have ended
    let _ = first_result.send(is_down);
    if !is_down {
        tokio::time::sleep(Duration::from_millis(SECOND_CHECK_PAUSE_MS)).await;
        is_down = is_down_alone(&edge, &target).await;
    }
    if is_down {
        attempt::record_health(&edge, &target, HealthSignal::Unreachable);
        record_target_down(&edge, &target);
    }
    let _ = second_result.send(is_down);
}

// true if the target refuses connections and others of its service do not
async fn is_down_alone(edge: &Edge, target: &Target) -> bool {
    connect(edge, target).await == ConnectResult::Refused
}

async fn connect(edge: &Edge, target: &Target) -> ConnectResult {
    match open_connection(target).await {
        None => return ConnectResult::NoAnswer,
        Some(true) => return ConnectResult::Accepted,
        Some(false) => {}
    }
    let others: Vec<Arc<Target>> = {
        let fleet = edge.fleet.read();
        let others = fleet.all_ready().filter(|t| t.service == target.service && t.id != target.id);
        others.cloned().collect()
    };
    // other ones for each target, so that targets that crash together do not control each other only
    let first = usize::try_from(rendezvous_weight("control", &target.id)).unwrap_or(usize::MAX);
    let controls = (0..CONTROL_TARGETS.min(others.len()))
        .map(|number| refuses_connections(&others[first.wrapping_add(number) % others.len()]));
    if others.is_empty() || join_all(controls).await.contains(&false) {
        return ConnectResult::Refused;
    }
    watch::record_unreached(edge, target);
    edge.broken_connections.lock().rule_out_crash(&target.id);
    ConnectResult::RefusedByAll
}

/// Checks a target to which no connection could be opened, if a request was on it lately.
pub(crate) fn check_unreached(edge: &Arc<Edge>, target: &Arc<Target>) {
    if edge.broken_connections.lock().has_broken(now(), &target.id) {
        check(edge, target, |_| true);
    }
}

// a target that does not answer at all may be cut off
async fn refuses_connections(target: &Target) -> bool {
    open_connection(target).await == Some(false)
}

// true if the target accepts a connection, false if it refuses; none if it does not answer in time or this
// host cannot try
async fn open_connection(target: &Target) -> Option<bool> {
    let deadline = now().after_ms(CHECK_TIMEOUT_MS);
    let connected = with_deadline(deadline, TcpStream::connect(target.address)).await;
    match connected? {
        Ok(_) => Some(true),
        Err(e) => match e.kind() {
            ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable => Some(false),
            _ => None,
        },
    }
}

/// Records that a target has crashed. The contents and prompt parts of the requests that
/// were running on it become suspects.
fn record_target_down(edge: &Edge, target: &Target) {
    let suspects = edge.broken_connections.lock().confirm_crash(now(), &target.id);
    if suspects.is_empty() {
        return;
    }
    let id = (target.id.clone(), target.started_unix_ms);
    let (sound, newly_refused) = {
        let mut reports = edge.crash_reports.lock();
        let refused_before: IndexSet<Suspect> = reports.refused().map(|(s, _)| s).collect();
        let sound = reports.record_crash(now(), id.clone(), suspects.iter().copied());
        let new = reports.refused().filter(|(suspect, _)| !refused_before.contains(suspect));
        (sound, new.collect::<Vec<_>>())
    };
    events::SUSPECTS_FOUND.warn(format_args!(
        "target={} contents={} sound={}",
        target.id,
        suspects.len(),
        sound.len()
    ));
    for (suspect, crashes) in newly_refused {
        events::SUSPECT_REFUSED.warn(format_args!("suspect={suspect} crashes={crashes}"));
    }
    edge.crash_findings_changed.notify_one();
    let unknown = suspects.iter().filter(|suspect| !sound.contains(suspect));
    let crash = crash_message(&id, unknown);
    let message = SuspectsMsg { crashes: vec![crash], ..SuspectsMsg::default() };
    peers::report_crashes(edge, &message);
}
