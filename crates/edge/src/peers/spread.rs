//! Exchanges rows with the contacts of this host.
//!
//! A contact that a link has just been opened to is asked what it knows. From then on it gets what is
//! new at each interval, and nothing twice. A name of a host is sent once on each link, and a number
//! stands for it afterwards.

use {
    super::{
        departures,
        fixed_repeats::{self, FixedRepeats},
        gossip, links, loads, places, routes, rows,
    },
    crate::{dispatch, state::Edge},
    egret_core::Time,
    egret_runtime::{
        AskProgressMsg, Body, Hello, Link, ProgressMsg, RowMsg, SourceDeltaMsg, SourceProgressMsg,
        SpreadMsg, events, now,
    },
    egret_spread::{Known, Member, Progress, Replica, RowDelta, SourceDelta, contacts, is_prober},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Interval in which a contact gets what is new.
const SPREAD_INTERVAL_MS: u64 = 150;

/// Intervals between heartbeats, and between choices of contacts.
const BEAT_ROUNDS: u64 = 3;

/// Intervals between reports to hosts of other data centres, since traffic between data centres is
/// expensive.
const REMOTE_ROUNDS: u64 = 2;

/// Rounds between two lists of the requests that are open at brittle targets. A list is to arrive well
/// before the one before it no longer binds this host to the issuer.
const PLACES_ROUNDS: u64 = 2;

/// Intervals between probes of the link to a contact.
const PROBE_ROUNDS: u64 = 8;

/// Delay of rows that are passed on at once, so that those that arrive together leave together.
const URGENT_DELAY_MS: u64 = 15;

/// Rows that a contact gets in one message, in bytes.
const MESSAGE_BYTES_MAX: usize = 64 * 1024;

/// Hosts that count as dead and are tried in one round.
const PROBED_MAX: usize = 4;

/// Longest wait for what a contact knows.
const PROGRESS_TIMEOUT_MS: u64 = 900;

/// Pause before a contact is asked again to begin anew.
const RESYNC_PAUSE_MS: u64 = 300;

// what this host has last reported to single hosts
#[derive(Default)]
struct SentReports {
    loads: loads::SentReports,
    places: places::IssuedTargets,
}

/// What this host exchanges with its contacts.
#[derive(Debug)]
pub(crate) struct Spread {
    pub(super) replica: Mutex<Replica>,
    contacts: Mutex<IndexMap<FastStr, Contact>>,
    inbound: Mutex<IndexMap<FastStr, Inbound>>,
    report_number: AtomicU64,
    urgent: Notify,
}

#[derive(Debug, Default)]
struct Contact {
    link: Option<Arc<Link>>,
    // none until the contact has said it
    known: Option<Known>,
    // number and epoch that stand for a host on the link
    numbers: IndexMap<FastStr, (u32, u64)>,
    has_got_first: bool,
    // number of fixed repeats that it knows of, none before the first report
    fixed_repeats_sent: Option<u64>,
}

// the receiving side of a link
#[derive(Debug)]
struct Inbound {
    hello: Arc<Hello>,
    // host and epoch by number
    names: IndexMap<u32, (FastStr, u64)>,
    resync_asked_at: Time,
}

impl Spread {
    /// Creates the state of the process `incarnation` of `host`.
    pub(crate) fn new(host: FastStr, incarnation: u64) -> Self {
        Self {
            replica: Mutex::new(Replica::new(host, incarnation, now())),
            contacts: Mutex::default(),
            inbound: Mutex::default(),
            report_number: AtomicU64::new(0),
            urgent: Notify::new(),
        }
    }

    pub(super) fn next_report_number(&self) -> u64 {
        self.report_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Passes new rows on at once.
    pub(crate) fn flush(&self) {
        self.urgent.notify_one();
    }

    /// The contacts of this host.
    pub(super) fn contact_hosts(&self) -> IndexSet<FastStr> {
        self.contacts.lock().keys().cloned().collect()
    }
}

/// Writes the rows of this host, and exchanges those of all with its contacts.
pub(super) async fn run(edge: Arc<Edge>) {
    let mut round = 0_u64;
    let mut next_round_at = now().after_ms(SPREAD_INTERVAL_MS);
    let mut written = rows::Written::default();
    let mut reports = SentReports::default();
    loop {
        let wait = Duration::from_millis(now().ms_until(next_round_at).max(1));
        if tokio::time::timeout(wait, edge.spread.urgent.notified()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(URGENT_DELAY_MS)).await;
        }
        if now() >= next_round_at {
            round += 1;
            next_round_at = now().after_ms(SPREAD_INTERVAL_MS);
            run_round(&edge, round, &mut reports);
        }
        gossip::send_updates(&edge);
        rows::write_own(&edge, &mut written);
        let hosts = edge.spread.contact_hosts();
        for host in hosts {
            send_news(&edge, &host);
        }
    }
}

fn run_round(edge: &Arc<Edge>, round: u64, reports: &mut SentReports) {
    if round % BEAT_ROUNDS == 1 {
        edge.spread.replica.lock().beat(now());
        edge.spread.replica.lock().forget_silent(now());
        choose_contacts(edge, round);
        loads::choose_aggregators(edge);
        routes::fetch_if_behind(edge);
        let contacts = edge.spread.contact_hosts();
        links::close_idle(edge, |host| contacts.contains(host));
    }
    if round.is_multiple_of(PROBE_ROUNDS) {
        for host in edge.spread.contact_hosts() {
            links::probe(edge, host);
        }
    }
    probe_other_link(edge, round);
    loads::report(edge, &mut reports.loads, round.is_multiple_of(REMOTE_ROUNDS));
    if round.is_multiple_of(PLACES_ROUNDS) {
        places::report(edge, &mut reports.places);
    }
}

// one link in each round, so that the cost does not grow with their number
fn probe_other_link(edge: &Arc<Edge>, round: u64) {
    let contacts = edge.spread.contact_hosts();
    let open: Vec<FastStr> = edge.links.hosts();
    let others: Vec<FastStr> = open.into_iter().filter(|host| !contacts.contains(host)).collect();
    if let Some(index) = usize::try_from(round).ok().and_then(|r| r.checked_rem(others.len())) {
        links::probe(edge, others[index].clone());
    }
}

fn choose_contacts(edge: &Arc<Edge>, round: u64) {
    let own = Member { host: edge.cfg.host.clone(), data_centre: edge.cfg.data_centre.clone() };
    let (mut live, mut dead) = (Vec::new(), Vec::new());
    {
        let peers = edge.peers.lock();
        for (host, peer) in peers.all() {
            if peers.may_be_live(host) {
                let data_centre = peer.record.data_centre.clone();
                live.push(Member { host: host.clone(), data_centre });
            } else {
                dead.push(host.clone());
            }
        }
    }
    let mut chosen = contacts(&own, &live);
    dead.retain(|host| is_prober(&own.host, host, &live));
    let offset = usize::try_from(round / BEAT_ROUNDS).unwrap_or(0) * PROBED_MAX;
    let probed =
        dead.iter().cycle().skip(offset % dead.len().max(1)).take(PROBED_MAX.min(dead.len()));
    chosen.extend(probed.cloned());
    let mut contacts = edge.spread.contacts.lock();
    contacts.retain(|host, _| chosen.contains(host));
    for host in chosen {
        contacts.entry(host).or_default();
    }
}

fn send_news(edge: &Arc<Edge>, host: &FastStr) {
    let Some(link) = edge.links.get(host) else {
        links::open(edge, host.clone());
        return;
    };
    let Some(mut contact) = take_contact(edge, host, &link) else {
        return;
    };
    let is_first = !std::mem::replace(&mut contact.has_got_first, true);
    let known = contact.known.as_mut().expect("a contact without it is not taken");
    let deltas = edge.spread.replica.lock().delta(now(), known, MESSAGE_BYTES_MAX);
    let mut message = SpreadMsg {
        sources: deltas.into_iter().map(|delta| to_message(delta, &mut contact.numbers)).collect(),
        ..SpreadMsg::default()
    };
    if is_first {
        // the host may have restarted
        message.departures = departures::all(edge);
        message.receiver_fixed_repeats = edge
            .peers
            .lock()
            .all()
            .get(host)
            .and_then(|peer| peer.fixed_repeats.as_ref().map(FixedRepeats::message));
        // or have missed crashes while it was cut off
        if let Some(crashes) = dispatch::crashes_message(edge) {
            link.notify(crashes);
        }
    }
    if let Some((count, repeats)) = edge.own_fixed_repeats(contact.fixed_repeats_sent) {
        contact.fixed_repeats_sent = Some(count);
        message.own_fixed_repeats = Some(repeats.message());
    }
    let is_empty = message == SpreadMsg::default();
    let body = Body::Spread(message);
    if !is_empty {
        links::record_sent(edge, host, &body);
    }
    // a contact whose message was not sent begins anew
    if is_empty || link.try_notify(body) {
        let mut contacts = edge.spread.contacts.lock();
        if let Some(place) = contacts.get_mut(host) {
            *place = contact;
        }
    }
}

// the contact, if it has said what it knows and its link takes more; its place is empty meanwhile
fn take_contact(edge: &Arc<Edge>, host: &FastStr, link: &Arc<Link>) -> Option<Contact> {
    let mut contacts = edge.spread.contacts.lock();
    let contact = contacts.get_mut(host)?;
    if !contact.link.as_ref().is_some_and(|known| Arc::ptr_eq(known, link)) {
        *contact = Contact { link: Some(link.clone()), ..Contact::default() };
        drop(contacts);
        tokio::spawn(ask_progress(edge.clone(), host.clone(), link.clone()));
        return None;
    }
    let is_taken = contact.known.is_some() && link.queued_frames() < links::QUEUED_MAX;
    is_taken.then(|| std::mem::take(contact))
}

async fn ask_progress(edge: Arc<Edge>, host: FastStr, link: Arc<Link>) {
    let question = Body::AskProgress(AskProgressMsg {});
    let answer = link.call(question, now().after_ms(PROGRESS_TIMEOUT_MS)).await;
    let Ok(Body::Progress(message)) = answer else {
        events::LINK_BROKEN.warn(format_args!("peer={host} did not say which rows it knows"));
        link.close();
        return;
    };
    let mut contacts = edge.spread.contacts.lock();
    let contact = contacts.get_mut(&host);
    let is_same = |contact: &&mut Contact| {
        contact.link.as_ref().is_some_and(|known| Arc::ptr_eq(known, &link))
    };
    if let Some(contact) = contact.filter(is_same) {
        contact.known = Some(known_from(message));
    }
    drop(contacts);
    edge.spread.flush();
}

fn known_from(message: ProgressMsg) -> Known {
    Known::new(message.sources.into_iter().map(|source| {
        let progress = Progress { epoch: source.epoch, version: source.version, beat: source.beat };
        (FastStr::from_string(source.host), progress)
    }))
}

/// Answers how far this host knows the rows of each host.
pub(super) fn own_progress(edge: &Edge) -> Body {
    let replica = edge.spread.replica.lock();
    let source = |(host, progress): (&FastStr, Progress)| SourceProgressMsg {
        host: host.to_string(),
        epoch: progress.epoch,
        version: progress.version,
        beat: progress.beat,
    };
    Body::Progress(ProgressMsg { sources: replica.progress().map(source).collect() })
}

/// Begins anew with a contact at which rows are missing.
pub(super) fn resync(edge: &Edge, host: &str, message: ProgressMsg) {
    if let Some(contact) = edge.spread.contacts.lock().get_mut(host) {
        contact.known = Some(known_from(message));
        contact.numbers.clear();
    }
    edge.spread.flush();
}

fn to_message(delta: SourceDelta, numbers: &mut IndexMap<FastStr, (u32, u64)>) -> SourceDeltaMsg {
    let next = u32::try_from(numbers.len()).unwrap_or(u32::MAX);
    let known = numbers.get(&delta.source).copied();
    let is_named = known.is_some_and(|(_, epoch)| epoch == delta.epoch);
    let index = known.map_or(next, |(index, _)| index);
    let (mut host, mut epoch) = (String::new(), 0);
    if !is_named {
        numbers.insert(delta.source.clone(), (index, delta.epoch));
        (host, epoch) = (delta.source.to_string(), delta.epoch);
    }
    let has_rows = delta.is_complete || !delta.rows.is_empty() || delta.from != delta.version;
    let (from, version) = if has_rows { (delta.from, delta.version) } else { (0, 0) };
    let row = |row: RowDelta| RowMsg {
        key: row.key.to_string(),
        version: row.version,
        age_ms: row.age_ms,
        value: row.value,
    };
    SourceDeltaMsg {
        index,
        host,
        epoch,
        beat: delta.beat,
        beat_age_ms: delta.beat_age_ms,
        from,
        version,
        is_complete: delta.is_complete,
        rows: delta.rows.into_iter().map(row).collect(),
    }
}

impl Inbound {
    fn new(hello: Arc<Hello>) -> Self {
        Self { hello, names: IndexMap::new(), resync_asked_at: Time::ZERO }
    }

    // none if the number was never explained
    fn delta(&mut self, message: SourceDeltaMsg) -> Option<SourceDelta> {
        if !message.host.is_empty() {
            let name = (FastStr::from_string(message.host), message.epoch);
            self.names.insert(message.index, name);
        }
        let (source, epoch) = self.names.get(&message.index)?.clone();
        let row = |row: RowMsg| RowDelta {
            key: FastStr::from_string(row.key),
            version: row.version,
            age_ms: row.age_ms,
            value: row.value,
        };
        Some(SourceDelta {
            source,
            epoch,
            beat: message.beat,
            beat_age_ms: message.beat_age_ms,
            from: message.from,
            version: message.version,
            is_complete: message.is_complete,
            rows: message.rows.into_iter().map(row).collect(),
        })
    }
}

/// Applies the rows that a contact has sent. Called in the order of the messages of a link.
pub(super) fn receive(edge: &Edge, hello: &Arc<Hello>, message: SpreadMsg) {
    let sender = FastStr::new(&hello.host);
    departures::merge_messages(edge, &sender, message.departures);
    let (own, receiver) = (message.own_fixed_repeats, message.receiver_fixed_repeats);
    fixed_repeats::receive(edge, &sender, own, receiver);
    edge.peers.lock().record_release(&sender, hello.release);
    let deltas: Vec<Option<SourceDelta>> = {
        let mut inbound = edge.spread.inbound.lock();
        let link = inbound.entry(sender.clone()).or_insert_with(|| Inbound::new(hello.clone()));
        if !Arc::ptr_eq(&link.hello, hello) {
            *link = Inbound::new(hello.clone());
        }
        message.sources.into_iter().map(|source| link.delta(source)).collect()
    };
    let (mut has_gap, mut is_urgent) = (false, false);
    for delta in deltas {
        let Some(delta) = delta else {
            has_gap = true;
            continue;
        };
        let source = delta.source.clone();
        let progress = Progress { epoch: delta.epoch, version: delta.version, beat: delta.beat };
        let (applied, beat_at) = {
            let mut replica = edge.spread.replica.lock();
            let applied = replica.apply(now(), delta);
            (applied, replica.last_beat_at(&source))
        };
        if let Some(contact) = edge.spread.contacts.lock().get_mut(&sender)
            && let Some(known) = contact.known.as_mut()
        {
            known.observe(&source, progress);
        }
        has_gap |= applied.has_gap;
        if let Some(beat_at) = beat_at.filter(|_| applied.is_later_beat) {
            edge.peers.lock().record_beat(&source, beat_at);
        }
        is_urgent |= rows::apply(edge, &source, &applied.changes);
    }
    if is_urgent {
        edge.spread.flush();
    }
    if has_gap {
        ask_resync(edge, &sender);
    }
}

fn ask_resync(edge: &Edge, sender: &FastStr) {
    {
        let mut inbound = edge.spread.inbound.lock();
        let Some(link) = inbound.get_mut(sender) else {
            return;
        };
        if now() < link.resync_asked_at.after_ms(RESYNC_PAUSE_MS) {
            return;
        }
        link.resync_asked_at = now();
    }
    links::notify(edge, sender, own_progress(edge));
}
