//! Heartbeats to other keepers, and permits borrowed from them.

use {
    crate::state::Keeper,
    egret_core::{Loan, Member},
    egret_runtime::{BeatMsg, Body, BorrowMsg, Hello, Link, SuspectMsg, ViewMsg, now},
    faststr::FastStr,
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::{Arc, LazyLock},
        time::Duration,
    },
};

/// How often heartbeats are sent, in milliseconds.
const BEAT_MS: u64 = 400;

/// How long the answer to a heartbeat may take, in milliseconds.
const ANSWER_MS: u64 = 1000;

/// Longest time to open a link, in milliseconds.
const CONNECT_MS: u64 = 800;

type Links = Mutex<IndexMap<FastStr, Arc<Link>>>;

static LINKS: LazyLock<Links> = LazyLock::new(Links::default);

/// Sends heartbeats for ever.
pub(crate) async fn beat(keeper: Arc<Keeper>) {
    loop {
        tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
        let watched: Vec<Member> = {
            let members = keeper.hosts.members().lock();
            let watched = members.watched(&keeper.host, keeper.cfg.ownership.watched);
            watched.into_iter().cloned().collect()
        };
        for member in watched {
            tokio::spawn(beat_one(keeper.clone(), member));
        }
    }
}

async fn beat_one(keeper: Arc<Keeper>, member: Member) {
    let Some(link) = link(&keeper, &member).await else {
        return;
    };
    let beat = BeatMsg {
        entry: false,
        revision: keeper.config.current().revision,
        suspects: suspects(&keeper),
        stopping: keeper.stopping(),
        ..BeatMsg::default()
    };
    let answer = link.call(Body::Beat(beat), now().after_ms(ANSWER_MS)).await;
    match answer {
        Ok(Body::View(view)) => heard(&keeper, &member.host, &view),
        // silent or broken: the next heartbeat opens a new link
        _ => forget(&member.host),
    }
}

fn heard(keeper: &Keeper, host: &FastStr, view: &ViewMsg) {
    keeper.hosts.members().lock().heard(now(), host, view.stopping);
    keeper.config.adopt(&view.config);
    merge_suspects(keeper, &view.suspects);
}

/// What this keeper knows of crash suspects.
pub(crate) fn suspects(keeper: &Keeper) -> Vec<SuspectMsg> {
    let records = keeper.suspects.lock().records(now());
    records.into_iter().map(SuspectMsg::from).collect()
}

/// Takes what another process knows of crash suspects.
pub(crate) fn merge_suspects(keeper: &Keeper, messages: &[SuspectMsg]) {
    let mut suspects = keeper.suspects.lock();
    for message in messages {
        suspects.merge(now(), (*message).into());
    }
}

/// Asks one of the other keepers, each time another one, for permits.
pub(crate) async fn borrow(keeper: Arc<Keeper>, count: usize) {
    let members: Vec<Member> = {
        let members = keeper.hosts.members().lock();
        let watched = members.watched(&keeper.host, keeper.cfg.ownership.watched);
        watched.into_iter().cloned().collect()
    };
    if members.is_empty() {
        return;
    }
    let turn = usize::try_from(now().as_millis() / 200).unwrap_or(0) % members.len();
    let Some(link) = link(&keeper, &members[turn]).await else {
        return;
    };
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let asked = now();
    let answer = link.call(Body::Borrow(BorrowMsg { count }), asked.after_ms(ANSWER_MS)).await;
    let Ok(Body::Loans(loans)) = answer else {
        return;
    };
    let mut permits = keeper.permits.lock();
    for loan in loans.loans {
        let number = u16::try_from(loan.number).unwrap_or(u16::MAX);
        let loan = Loan { number, use_ms: loan.use_ms, ready_in_ms: loan.ready_in_ms };
        permits.borrow(now(), asked, loan);
    }
}

async fn link(keeper: &Keeper, member: &Member) -> Option<Arc<Link>> {
    let open = LINKS.lock().get(&member.host).cloned();
    if let Some(link) = open.filter(|link| !link.closed()) {
        return Some(link);
    }
    let hello = Hello {
        host: keeper.host.to_string(),
        incarnation: keeper.incarnation,
        secret: keeper.cfg.secret.clone(),
    };
    let address = SocketAddr::new(member.ip, keeper.cfg.links.port());
    let link = Link::connect(address, &hello, now().after_ms(CONNECT_MS)).await.ok()?;
    let link = Arc::new(link);
    LINKS.lock().insert(member.host.clone(), link.clone());
    Some(link)
}

fn forget(host: &FastStr) {
    let link = LINKS.lock().swap_remove(host);
    if let Some(link) = link {
        link.close();
    }
}
